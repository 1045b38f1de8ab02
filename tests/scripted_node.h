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

// A RESP server of which the test decides each answer: `on_command` is given every data command in
// the order of its connection. Says of itself that all slots are those of `owner`.
class ScriptedNode {
 public:
  using Words = std::vector<std::string>;

  explicit ScriptedNode(asio::io_context& io) : server(io, [this](Peer& p) { on_data(p); }) {
    owner = server.dial();
  }

  // Reads no more than so many further bytes of commands, then breaks the connection off.
  void cut_after(std::size_t bytes) { left_ = bytes; }

  std::function<void(Peer&, const Words&)> on_command;
  std::string owner;
  std::vector<std::string> map_commands = {"NODES"};  // that it knows, beside INFO
  std::vector<Words> commands;
  Server server;

 private:
  void on_data(Peer& p) {
    auto& reader = readers_.try_emplace(&p, resp::Bounds{}).first->second;
    std::string in = std::exchange(p.in, {});
    bool cut = false;
    if (left_ && !in.starts_with("*2\r\n$7\r\nCLUSTER")) {
      cut = in.size() >= *left_;
      if (cut) in.resize(*left_);
      *left_ -= in.size();
    }
    reader.feed(in);
    for (auto item = reader.next(); item; item = reader.next()) {
      const auto& c = std::get<resp::Command>(*item);
      Words words;
      for (std::size_t i = 0; i < c.size(); ++i) words.emplace_back(c[i]);
      if (words[0] == "CLUSTER") {
        const std::string out = map(words[1]);
        p.send(out);
        continue;
      }
      commands.push_back(words);
      if (on_command) on_command(p, words);
    }
    if (cut) {
      left_.reset();
      p.close();
    }
  }

  std::string map(const std::string& word) const {
    std::string out;
    const auto text = [&out](const std::string& t) { resp::append_bulk(out, t); };
    const auto pair = [&](const std::string& key, const std::string& value) {
      text(key);
      text(value);
    };
    const auto colon = owner.find(':');
    if (word == "INFO") {
      text("cluster_current_epoch:1\r\n");
    } else if (std::find(map_commands.begin(), map_commands.end(), word) == map_commands.end()) {
      resp::append_error(out, "ERR unknown subcommand");
    } else if (word == "NODES") {
      text(std::string(40, '1') + " " + owner + "@1 " +
           (owner == server.dial() ? "myself,master" : "master") + " - 0 0 1 connected 0-16383\n");
    } else if (word == "SHARDS") {
      out = "*1\r\n*4\r\n";
      text("slots");
      out += "*2\r\n:0\r\n:16383\r\n";
      text("nodes");
      out += "*2\r\n";
      for (const bool replica : {false, true}) {
        out += "*8\r\n";
        pair("ip", owner.substr(0, colon));
        text("port");
        out += replica ? ":1\r\n" : ":" + owner.substr(colon + 1) + "\r\n";
        pair("role", replica ? "replica" : "master");
        pair("health", replica ? "loading" : "online");
      }
    } else {
      out = "*1\r\n*3\r\n:0\r\n:16383\r\n*3\r\n";
      text(owner.substr(0, colon));
      out += ":" + owner.substr(colon + 1) + "\r\n";
      text(std::string(40, '1'));
    }
    return out;
  }

  std::map<Peer*, resp::CommandReader> readers_;
  std::optional<std::size_t> left_;
};

}  // namespace balancer::node
