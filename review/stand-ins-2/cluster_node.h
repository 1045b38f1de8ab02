// One node of a RESP cluster after the public cluster specification. What it says of its cluster is
// the test's affair.
#pragma once

#include "resp.h"

namespace kit {

class ClusterNode {
 public:
  ClusterNode(std::string name, std::string id) : name_(std::move(name)), id_(std::move(id)) {}

  // What CLUSTER NODES answers, and the current epoch in CLUSTER INFO.
  std::function<std::string()> nodes;
  int epoch = 0;
  // Where a replica's MOVED leads; empty at the primary.
  std::string primary;

  const std::string& id() const { return id_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  int port() const { return port_; }
  // The process begins.
  void begin(int port) {
    listening_ = bind_socket(SOCK_STREAM, port);
    if (listening_ < 0) cannot_run("no port for node " + name_);
    port_ = port_of(listening_);
    is_up_ = true;
    std::thread([this, listening = listening_] {
      for (int socket; (socket = ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;) {
        const std::lock_guard guard(lock_);
        if (!is_up_) {
          ::close(socket);
          return;
        }
        open_.push_back(socket);
        std::thread([this, socket] { connection(socket); }).detach();
      }
    }).detach();
  }
  // The process dies: its connections are reset, and new ones are refused.
  void end() {
    const std::lock_guard guard(lock_);
    is_up_ = false;
    ::shutdown(listening_, SHUT_RDWR);
    ::close(listening_);
    // Each connection's thread closes its socket, which resets the connection.
    for (const int socket : open_) {
      const linger reset{1, 0};
      ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      ::shutdown(socket, SHUT_RD);
    }
    record("node %s has died", name_.c_str());
  }
  void put(const std::string& key, const std::string& value) {
    const std::lock_guard guard(lock_);
    values_[key] = value;
  }
  std::optional<std::string> value(const std::string& key) {
    const std::lock_guard guard(lock_);
    const auto it = values_.find(key);
    return it == values_.end() ? std::nullopt : std::optional(it->second);
  }
  int data_commands() const { return data_commands_; }

 private:
  void connection(int socket) {
    Reader reader(socket);
    Words words;
    while (is_up_ && read_command(reader, words) && is_up_) {
      const std::string command = upper(words[0]);
      const std::string sub = words.size() > 1 ? upper(words[1]) : "";
      std::string reply = "+OK\r\n";
      if (command == "CLUSTER" && sub == "MYID") {
        reply = bulk(id_);
      } else if (command == "CLUSTER" && sub == "NODES") {
        reply = bulk(nodes());
        record("node %s is asked for its cluster's slots", name_.c_str());
      } else if (command == "CLUSTER" && sub == "INFO") {
        reply = bulk("cluster_state:ok\r\ncluster_current_epoch:" + std::to_string(epoch) + "\r\n");
      } else if ((command == "GET" && words.size() == 2) ||
                 (command == "SET" && words.size() >= 3)) {
        ++data_commands_;
        const std::lock_guard guard(lock_);
        if (!primary.empty()) {
          reply = "-MOVED " + std::to_string(slot_of(words[1])) + " " + primary + "\r\n";
        } else if (command == "SET") {
          values_[words[1]] = words[2];
        } else {
          reply = values_.contains(words[1]) ? bulk(values_[words[1]]) : "$-1\r\n";
        }
        record("node %s runs %s %s", name_.c_str(), command.c_str(), words[1].c_str());
      }
      if (!write_all(socket, reply)) break;
    }
    const std::lock_guard guard(lock_);
    std::erase(open_, socket);
    ::close(socket);
  }
  const std::string name_, id_;
  std::mutex lock_;
  std::map<std::string, std::string> values_;
  std::vector<int> open_;
  int listening_ = -1, port_ = 0;
  std::atomic<bool> is_up_{false};
  std::atomic<int> data_commands_{0};
};

}  // namespace kit
