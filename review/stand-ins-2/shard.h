// Two nodes of a RESP cluster after the public cluster specification: one owns all slots, the other
// is its replica, and an orderly failover (CLUSTER FAILOVER) changes their roles. A replica applies
// each change some time after its primary; before a failover it has caught up. A replica answers
// reads on connections that have sent READONLY, and everything else with MOVED.
#pragma once

#include "resp.h"

namespace kit {

class Shard {
 public:
  explicit Shard(double lag_ms) : lag_ms_(lag_ms) {
    for (int i = 0; i < 2; ++i) ports[i] = serve([this, i](int socket) { connection(i, socket); });
  }
  std::string address(int node) const { return "127.0.0.1:" + std::to_string(ports[node]); }
  int primary() {
    const std::lock_guard guard(lock_);
    return primary_;
  }
  // The replica takes all slots with a new epoch; the old primary becomes its replica and keeps its
  // connections, as in an orderly failover.
  void fail_over() {
    const std::lock_guard guard(lock_);
    apply_changes(true);
    epochs_[1 - primary_] = ++epoch_;
    primary_ = 1 - primary_;
    record("cluster: node %d is the primary now, node %d its replica", primary_, 1 - primary_);
  }
  int ports[2] = {0, 0};

 private:
  struct Change {
    double at;
    std::string key, value;
  };
  void apply_changes(bool all) {
    while (!changes_.empty() && (all || changes_.front().at <= now())) {
      data_[1 - primary_][changes_.front().key] = changes_.front().value;
      changes_.erase(changes_.begin());
    }
  }
  static std::string id(int node) { return std::string(39, '0') + static_cast<char>('a' + node); }
  std::string nodes_text(int self) const {
    std::string out;
    for (int i = 0; i < 2; ++i) {
      out += id(i) + " " + address(i) + "@" + std::to_string(ports[i] + 10000) + " " +
             (i == self ? "myself," : "") + (i == primary_ ? "master -" : "slave " + id(primary_)) +
             " 0 0 " + std::to_string(epochs_[i == primary_ ? i : primary_]) + " connected" +
             (i == primary_ ? " 0-16383" : "") + "\n";
    }
    return out;
  }
  void connection(int self, int socket) {
    Reader reader(socket);
    Words words;
    bool readonly = false;
    while (read_command(reader, words)) {
      const std::string name = upper(words[0]);
      const std::string sub = words.size() > 1 ? upper(words[1]) : "";
      std::string reply = "+OK\r\n";
      {
        const std::lock_guard guard(lock_);
        apply_changes(false);
        const bool is_primary = self == primary_;
        const std::string moved =
            words.size() > 1 ? "-MOVED " + std::to_string(slot_of(words[1])) + " " +
                                   address(primary_) + "\r\n"
                             : "";
        if (name == "CLUSTER" && sub == "MYID") {
          reply = bulk(id(self));
        } else if (name == "CLUSTER" && sub == "NODES") {
          reply = bulk(nodes_text(self));
          record("node %d tells the slots: node %d owns them", self, primary_);
        } else if (name == "CLUSTER" && sub == "INFO") {
          reply = bulk("cluster_state:ok\r\ncluster_current_epoch:" + std::to_string(epoch_) + "\r\n");
        } else if (name == "READONLY" || name == "READWRITE") {
          readonly = name == "READONLY";
          record("node %d got %s", self, name.c_str());
        } else if (name == "GET" && words.size() == 2) {
          if (!is_primary && !readonly) {
            reply = moved;
          } else {
            const auto it = data_[self].find(words[1]);
            reply = it == data_[self].end() ? "$-1\r\n" : bulk(it->second);
          }
          record("node %d (%s) got GET %s on a connection %s READONLY, answers %s", self,
                 is_primary ? "primary" : "replica", words[1].c_str(), readonly ? "with" : "without",
                 reply[0] == '-' ? "MOVED" : reply.c_str() + reply.find('\n') + 1);
        } else if (name == "SET" && words.size() >= 3) {
          if (!is_primary) {
            reply = moved;
          } else {
            data_[self][words[1]] = words[2];
            changes_.push_back({now() + lag_ms_, words[1], words[2]});
          }
        }
      }
      if (!write_all(socket, reply)) return;
    }
  }
  const double lag_ms_;
  std::mutex lock_;
  int primary_ = 0;
  int epoch_ = 1;
  int epochs_[2] = {1, 0};
  std::vector<Change> changes_;  // that the replica has not applied yet
  std::map<std::string, std::string> data_[2];
};

}  // namespace kit
