#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "node_harness.h"
#include "proto/resp.h"

namespace balancer::node {

// A RESP server whose replies are chosen by the test: `on_command` is called with every data
// command in the order of its connection. CLUSTER commands report that `slot_owner` owns all slots.
class ScriptedNode {
 public:
  using Arguments = std::vector<std::string>;

  explicit ScriptedNode(asio::io_context& io) : server(io, [this](Peer& p) { on_data(p); }) {
    slot_owner = server.dial();
  }

  // Reads at most `bytes` further bytes of commands, then closes the connection.
  void close_after(std::size_t bytes) { bytes_until_close_ = bytes; }

  std::function<void(Peer&, const Arguments&)> on_command;
  std::string slot_owner;
  std::string id = std::string(40, '1');  // as reported by CLUSTER NODES and CLUSTER MYID
  bool answers_topology = true;           // answers CLUSTER commands other than MYID
  bool supports_my_id = true;
  std::string cluster_error;  // answer to all CLUSTER commands, as of a server of no cluster
  // CLUSTER subcommands that it supports besides INFO.
  std::vector<std::string> topology_subcommands = {"NODES"};
  std::vector<Arguments> commands;
  Server server;

 private:
  void on_data(Peer& p) {
    auto& reader = readers_.try_emplace(&p, resp::InputLimits{}).first->second;
    std::string received = std::exchange(p.in, {});
    bool closing = false;
    if (bytes_until_close_ && !received.starts_with("*2\r\n$7\r\nCLUSTER")) {
      closing = received.size() >= *bytes_until_close_;
      if (closing) received.resize(*bytes_until_close_);
      *bytes_until_close_ -= received.size();
    }
    reader.feed(received);
    for (auto item = reader.next(); item; item = reader.next()) {
      const auto& command = std::get<resp::Command>(*item);
      Arguments words;
      for (std::size_t i = 0; i < command.size(); ++i) words.emplace_back(command[i]);
      if (words[0] == "CLUSTER") {
        if (answers_topology || words[1] == "MYID") p.send(topology_reply(words[1]));
        continue;
      }
      commands.push_back(words);
      if (on_command) on_command(p, words);
    }
    if (closing) {
      bytes_until_close_.reset();
      p.close();
    }
  }

  std::string topology_reply(const std::string& subcommand) const {
    std::string reply;
    const auto text = [&reply](const std::string& t) { resp::append_bulk(reply, t); };
    const auto pair = [&](const std::string& key, const std::string& value) {
      text(key);
      text(value);
    };
    const auto colon = slot_owner.find(':');
    if (!cluster_error.empty()) {
      resp::append_error(reply, cluster_error);
    } else if (subcommand == "MYID" && supports_my_id) {
      text(id);
    } else if (subcommand == "INFO") {
      text("cluster_current_epoch:1\r\n");
    } else if (std::find(topology_subcommands.begin(), topology_subcommands.end(), subcommand) ==
               topology_subcommands.end()) {
      resp::append_error(reply, "ERR unknown subcommand");
    } else if (subcommand == "NODES") {
      text(id + " " + slot_owner + "@1 " +
           (slot_owner == server.dial() ? "myself,master" : "master") +
           " - 0 0 1 connected 0-16383\n");
    } else if (subcommand == "SHARDS") {
      reply = "*1\r\n*4\r\n";
      text("slots");
      reply += "*2\r\n:0\r\n:16383\r\n";
      text("nodes");
      reply += "*2\r\n";
      for (const bool replica : {false, true}) {
        reply += "*8\r\n";
        pair("ip", slot_owner.substr(0, colon));
        text("port");
        reply += replica ? ":1\r\n" : ":" + slot_owner.substr(colon + 1) + "\r\n";
        pair("role", replica ? "replica" : "master");
        pair("health", replica ? "loading" : "online");
      }
    } else {
      reply = "*1\r\n*3\r\n:0\r\n:16383\r\n*3\r\n";
      text(slot_owner.substr(0, colon));
      reply += ":" + slot_owner.substr(colon + 1) + "\r\n";
      text(id);
    }
    return reply;
  }

  std::map<Peer*, resp::CommandReader> readers_;
  std::optional<std::size_t> bytes_until_close_;
};

}  // namespace balancer::node
