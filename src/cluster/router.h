#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cluster/slot_table.h"
#include "policy/placement.h"
#include "policy/policy.h"

namespace balancer::cluster {

struct RouterSettings {
  std::vector<std::string> seeds;  // "host:port"; asked for the slots first
  std::size_t max_nodes = 2048;
  int max_redirections = 5;  // per request
  // Between two refreshes of the slots, at least; after failed ones it doubles, up to the other.
  Duration refresh_interval = std::chrono::milliseconds(100);
  Duration refresh_backoff = std::chrono::seconds(5);
  Duration refresh_every = std::chrono::seconds(10);  // where nothing calls for one
};

// Which nodes may serve a request.
enum class Reads {
  kPrimary,  // its slot's owner
  kReplica,  // its replicas in turn; the owner only where none is known
  kAny,      // owner and replicas in turn
};

// The placement of a cluster: a slot table, the redirections of the requests under way, and when
// the table is to be asked for again. Follows the redirections of the public cluster specification.
class Router : public Placement {
 public:
  explicit Router(RouterSettings settings);

  // ---- requests, by the number that the policy knows them by

  void begin(RequestId request, Slot slot, Reads reads);
  // One that is for this node and no other.
  void begin_at(RequestId request, std::string_view node);
  void end(RequestId request) { trips_.erase(request); }

  enum class Verdict {
    kAnswer,      // not the cluster's: the client's answer
    kRedirected,  // nothing ran; walk() now offers the node that was named, and only that
    kLater,       // nothing ran, and there is nowhere to go on to now: walk() offers nothing
    kSpoilt,      // a redirection that cannot be read: proves nothing
  };
  // A whole error reply of `from`, without its type and line end.
  Verdict on_error(Time now, RequestId request, std::string_view from, std::string_view error);
  // An attempt at `node` found no connection, broke off or timed out: its slots may have moved.
  void on_broken(std::string_view node);
  // Whether the request's attempt at `node` must say ASKING first.
  bool asking(RequestId request, std::string_view node) const;
  // Whether it must say READONLY first.
  bool reads_replica(RequestId request, std::string_view node) const;

  // ---- Placement

  void insert(const std::vector<PlacedHost>& members) override;
  void erase(const std::set<Host>& hosts) override;
  std::uint64_t point(std::string_view key) const override;  // its slot in the low 14 bits
  bool keys_are_sticky() const override { return true; }
  bool walk(std::uint64_t point, RequestId request, Accept accept) const override;

  // ---- the slots

  // When the next refresh may begin; nothing while one is under way.
  std::optional<Time> refresh_at() const;
  // Returns the node to ask.
  std::string begin_refresh(Time now);
  // `view`: nothing if the node could not be asked.
  void end_refresh(Time now, const std::optional<View>& view);

  // Goes up whenever nodes came or went.
  std::uint64_t revision() const { return revision_; }
  std::vector<std::string> nodes() const;
  const SlotTable& table() const { return table_; }

  struct Counters {
    std::uint64_t moved = 0, asked = 0, later = 0, loops = 0, refreshes = 0, refreshes_failed = 0;
  };
  const Counters& counters() const { return counters_; }

 private:
  struct Trip {
    Slot slot;
    Reads reads;
    std::optional<NodeIndex> next;  // named by a redirection
    bool ask = false;               // and by ASK
    bool nowhere = false;           // there is nowhere to go on to
    std::vector<std::pair<NodeIndex, NodeIndex>> hops;
  };

  Verdict redirect(Trip& trip, NodeIndex from, NodeIndex to, bool ask);
  Verdict later(Trip* trip);
  void want_refresh() { wanted_ = true; }
  std::optional<Host> host_of(NodeIndex node) const;

  const RouterSettings settings_;
  SlotTable table_;
  std::vector<std::optional<Host>> hosts_;  // the policy's, by node
  std::unordered_map<RequestId, Trip> trips_;
  std::uint64_t revision_ = 1;

  bool wanted_ = true;
  bool refreshing_ = false;
  Time last_refresh_{0};
  int failed_refreshes_ = 0;   // in a row
  std::size_t turn_ = 0;       // whom to ask next
  std::string best_informed_;  // named by the last MOVED
  Counters counters_;
};

}  // namespace balancer::cluster
