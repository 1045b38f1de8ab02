#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/slots.h"
#include "testbed/servers/resp_store.h"

namespace balancer::testbed {

namespace asio = boost::asio;

// A RESP cluster emulated in one process on loopback, after the public cluster specification:
// slots, migration key by key, redirections, replicas, failover and epochs. Each node acts on its
// own slot map, which spread() and tell() bring up to date. The owner scripts moves and faults and
// reads the log of executed writes.
class RespCluster {
 public:
  // The kernel assigns the ports. Nodes below `primaries` are primaries; the replicas follow and
  // are assigned to them in turn. Replicas apply each change `lag` after their primary; with a lag
  // of 0 they share its data.
  RespCluster(asio::io_context& io, int primaries, int replicas, Duration lag = Duration{0});
  ~RespCluster();
  RespCluster(const RespCluster&) = delete;
  RespCluster& operator=(const RespCluster&) = delete;

  int size() const { return static_cast<int>(nodes_.size()); }
  std::string address(int node) const;
  std::vector<std::string> addresses() const;
  int owner(cluster::Slot slot) const { return actual_map_[slot].owner; }
  const std::vector<int>& replicas(int primary) const;
  bool up(int node) const;

  // ---- changes to the cluster

  // A slot migration: begin_move() is SETSLOT MIGRATING and IMPORTING at the two nodes, move_key()
  // moves one key, end_move() moves the remaining keys and is SETSLOT NODE.
  void begin_move(cluster::Slot slot, int to);
  bool move_key(cluster::Slot slot);  // returns false if no key is left
  void end_move(cluster::Slot slot);
  std::optional<int> moving_to(cluster::Slot slot) const;
  // Promotes a live replica, which takes over the slots with a new epoch. Returns its node, or -1
  // if there is none. The old primary, if it is still up, acts as before until tell() updates it.
  int fail_over(int primary);
  // Gives every node the current slot map.
  void spread();
  // Gives one node the current slot map. A primary that has lost all slots becomes a replica of the
  // node that took them over.
  void update_node(int node);
  void kill(int node);  // closes its connections; its data stays
  void restart(int node, bool clear_map = false);

  // ---- faults, chosen by `fault` for each client command other than handshakes

  enum class Fault {
    kNone,
    kCloseBefore,       // closes the connection without running the command
    kCloseAfter,        // runs the command and closes without a reply
    kHalfReply,         // runs the command, sends half of the reply and closes
    kSilent,            // runs the command and never replies
    kGarbage,           // sends garbage before the reply
    kWrongRedirection,  // replies MOVED to itself
    kSlow,              // replies after `slow_reply_delay`; later commands on the connection wait
  };
  Duration slow_reply_delay{std::chrono::milliseconds(50)};
  std::function<Fault(int node, const resp::Command& command)> fault;
  bool refuses_readwrite = false;  // answers READWRITE with an error

  // Schedules and audits the data commands of clients, except transactions. Without an observer
  // each command runs on arrival.
  class Observer {
   public:
    virtual ~Observer() = default;
    // Called when a complete command has arrived. Must call `run` exactly once, immediately or
    // later from the event loop; later commands on the connection wait until then. Returns an
    // identifier that on_reply() receives as `request_id`.
    virtual int on_command(int node, const resp::Command& command, std::function<void()> run) = 0;
    // Called with the reply. `ran`: whether the command ran at this node.
    virtual void on_reply(int node, const resp::Command& command, int request_id, bool ran,
                          std::string_view reply) = 0;
  };
  Observer* observer = nullptr;
  // Runs a write at the owner of its slot and at the owner's replicas, without counting it.
  void fill(const resp::Command& command);

  struct Run {
    int node;
    std::string command, key, argument;  // `argument`: the second word after the name, if any
  };
  const std::vector<Run>& runs() const { return runs_; }  // executed writes
  std::uint64_t commands() const { return commands_; }    // data commands received by all nodes
  std::uint64_t redirections() const { return redirections_; }
  std::uint64_t map_queries() const { return map_queries_; }
  std::uint64_t connections() const { return connections_; }  // accepted by all nodes
  // AUTH, HELLO, READONLY, READWRITE and ASKING received by all nodes.
  std::uint64_t setup_commands() const { return setup_commands_; }

 private:
  class Node;
  class Connection;
  struct Claim {
    int owner = 0;
    std::uint64_t epoch = 0;
  };
  using Map = std::array<Claim, cluster::kSlots>;

  // A change that replica `to` applies at time `at`.
  struct PendingChange {
    Time at;
    int to;
    std::string key;
    std::shared_ptr<const RespStore::Copy> copy;
  };
  void replicate(Node& primary, std::string_view key);
  void copy_from_primary(Node& replica, Node& primary);
  void apply_pending_changes();

  Time now() const { return std::chrono::steady_clock::now() - start_time_; }

  asio::io_context& io_;
  const std::chrono::steady_clock::time_point start_time_ = std::chrono::steady_clock::now();
  const Duration lag_;
  std::deque<PendingChange> pending_changes_;  // ordered by time
  asio::steady_timer replication_timer_{io_};
  Map actual_map_;
  std::uint64_t epoch_ = 1;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<Run> runs_;
  std::uint64_t commands_ = 0, redirections_ = 0, map_queries_ = 0;
  std::uint64_t connections_ = 0, setup_commands_ = 0;
};

}  // namespace balancer::testbed
