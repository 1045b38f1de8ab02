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

// A RESP cluster in one process on loopback: slots, migration key by key, redirections, replicas,
// failover and epochs, after the public cluster specification. Each node acts by its own map, which
// others' news reach only by spread(). Whoever drives it scripts moves and faults, and reads the
// log of what ran where.
class RespCluster {
 public:
  // Ports are given by the system. Node i < primaries is a primary; its replicas follow in turn,
  // and come to know of each change `lag` after their primary; at 0 they are never behind.
  RespCluster(asio::io_context& io, int primaries, int replicas, Duration lag = Duration{0});
  ~RespCluster();
  RespCluster(const RespCluster&) = delete;
  RespCluster& operator=(const RespCluster&) = delete;

  int size() const { return static_cast<int>(nodes_.size()); }
  std::string address(int node) const;
  std::vector<std::string> addresses() const;
  int owner(cluster::Slot slot) const { return truth_[slot].owner; }
  const std::vector<int>& replicas(int primary) const;
  bool up(int node) const;

  // ---- what happens to the cluster

  // SETSLOT MIGRATING and IMPORTING at the two, then keys one by one, then SETSLOT NODE.
  void begin_move(cluster::Slot slot, int to);
  bool move_key(cluster::Slot slot);  // false: none is left
  void end_move(cluster::Slot slot);
  std::optional<int> moving_to(cluster::Slot slot) const;
  // One of its replicas takes its slots over with a new epoch. The old one, if it is still up, goes
  // on as it was until it hears.
  int fail_over(int primary);
  // Every node hears of everything.
  void spread();
  // One node hears of everything; it becomes a replica of whoever took its slots over.
  void tell(int node);
  void kill(int node);  // its connections break; its data stays
  void restart(int node, bool empty_mapped = false);

  // ---- faults, asked for each command of a client but the handshakes

  enum class Fault {
    kNone,
    kCloseBefore,  // closes without running it
    kCloseAfter,   // runs it, and closes without a reply
    kHalfReply,    // runs it, sends half of the reply, closes
    kSilent,       // runs it, and never replies
    kGarbage,      // noise in front of the reply
    kLie,          // names itself
    kSlow,         // replies `slow_by` later; what comes behind it on the connection waits
  };
  Duration slow_by{std::chrono::milliseconds(50)};
  std::function<Fault(int node, const resp::Command& command)> fault;

  // Whoever times and judges the data commands of clients, transactions left out. Without one each
  // runs as it comes.
  class Observer {
   public:
    virtual ~Observer() = default;
    // One has come whole. Calls `run` when its turn has come, once, at once or from the event loop;
    // until then nothing behind it on its connection is looked at. Returns its own name for it.
    virtual int on_command(int node, const resp::Command& command, std::function<void()> run) = 0;
    // Answered with `reply`, having run here, or not.
    virtual void on_reply(int node, const resp::Command& command, int name, bool ran,
                          std::string_view reply) = 0;
  };
  Observer* observer = nullptr;
  // As if it had been written to its slot's owner, and its replicas knew.
  void fill(const resp::Command& command);

  struct Run {
    int node;
    std::string command, key, argument;  // the second word behind the name, if there is one
  };
  const std::vector<Run>& runs() const { return runs_; }  // of writes
  std::uint64_t commands() const { return commands_; }    // data commands that came, to any node
  std::uint64_t redirections() const { return redirections_; }
  std::uint64_t map_questions() const { return map_questions_; }

 private:
  class Node;
  class Connection;
  struct Claim {
    int owner = 0;
    std::uint64_t epoch = 0;
  };
  using Map = std::array<Claim, cluster::kSlots>;

  // What replicas are still to hear of: of `node`'s store, at this time.
  struct News {
    Time at;
    int to;
    std::string key;
    std::shared_ptr<const RespStore::Copy> copy;
  };
  void replicate(Node& primary, std::string_view key);
  void follow(Node& replica, Node& primary);
  void deliver();

  Time now() const { return std::chrono::steady_clock::now() - began_; }

  asio::io_context& io_;
  const std::chrono::steady_clock::time_point began_ = std::chrono::steady_clock::now();
  const Duration lag_;
  std::deque<News> news_;  // in the order of their times
  asio::steady_timer news_timer_{io_};
  Map truth_;
  std::uint64_t epoch_ = 1;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<Run> runs_;
  std::uint64_t commands_ = 0, redirections_ = 0, map_questions_ = 0;
};

}  // namespace balancer::testbed
