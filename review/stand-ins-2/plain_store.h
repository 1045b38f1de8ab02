// A RESP store that is no part of any cluster: it says so to CLUSTER, and runs GET and SET.
#pragma once

#include "resp.h"

namespace kit {

class PlainStore {
 public:
  void put(const std::string& key, const std::string& value) {
    const std::lock_guard guard(lock_);
    values_[key] = value;
  }
  void begin(int port) {
    serve([this](int socket) { connection(socket); }, port);
  }
  int data_commands() const { return data_commands_; }

 private:
  void connection(int socket) {
    Reader reader(socket);
    Words words;
    while (read_command(reader, words)) {
      const std::string name = upper(words[0]);
      std::string reply = "-ERR unknown command\r\n";
      if (name == "CLUSTER") {
        reply = "-ERR This instance has cluster support disabled\r\n";
      } else if (name == "HELLO" || name == "PING") {
        reply = "+OK\r\n";
      } else if ((name == "GET" && words.size() == 2) || (name == "SET" && words.size() >= 3)) {
        ++data_commands_;
        record("the plain store runs %s %s", name.c_str(), words[1].c_str());
        const std::lock_guard guard(lock_);
        if (name == "SET") {
          values_[words[1]] = words[2];
          reply = "+OK\r\n";
        } else {
          reply = values_.contains(words[1]) ? bulk(values_[words[1]]) : "$-1\r\n";
        }
      }
      if (!write_all(socket, reply)) return;
    }
  }
  std::mutex lock_;
  std::map<std::string, std::string> values_;
  std::atomic<int> data_commands_{0};
};

}  // namespace kit
