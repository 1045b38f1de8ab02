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
  std::vector<std::string> seeds;  // "host:port"; queried for the slots first
  std::size_t max_nodes = 2048;
  int max_redirections = 5;  // per request
  // Minimum time between two refreshes of the slots. Doubles after each failed refresh, up to
  // `max_refresh_backoff`.
  Duration min_refresh_interval = std::chrono::milliseconds(100);
  Duration max_refresh_backoff = std::chrono::seconds(5);
  Duration refresh_period = std::chrono::seconds(10);  // if nothing requests one earlier
};

// Which nodes may serve a request.
enum class ReadPreference {
  kPrimary,  // the owner of its slot
  kReplica,  // the owner's replicas in turn; the owner only if no replica is known
  kAny,      // owner and replicas in turn
};

// The placement of a cluster. Holds the slot table and the redirections of the requests in flight,
// and determines when the table is refreshed. Follows redirections as the public cluster
// specification defines.
class Router : public Placement {
 public:
  explicit Router(RouterSettings settings);

  // ---- requests, identified by the policy's request id

  void begin(RequestId request, Slot slot, ReadPreference reads);
  // Begins a request that only this node may serve.
  void begin_at_node(RequestId request, std::string_view node);
  void end(RequestId request) { routes_.erase(request); }

  enum class Verdict {
    kAnswer,       // not a cluster error: the client's answer
    kRedirected,   // nothing ran; visit_candidates() now offers only the node that was named
    kUnavailable,  // nothing ran, and no node can serve it now; visit_candidates() offers none
    kMalformed,    // a redirection that cannot be parsed: it may have run
  };
  // Interprets a complete error reply of `from`, given without its type byte and line end.
  Verdict on_error(Time now, RequestId request, std::string_view from, std::string_view error);
  // Requests a refresh after an attempt at `node` failed to connect, was reset or timed out: its
  // slots may have moved.
  void on_attempt_failed(std::string_view node);
  // Whether ASKING must be sent before the request's attempt at `node`.
  bool asking(RequestId request, std::string_view node) const;
  // Whether the node is to serve the request as a replica, on a connection with READONLY.
  bool reads_replica(RequestId request, std::string_view node) const;

  // ---- Placement

  void insert(const std::vector<PlacedHost>& members) override;
  void erase(const std::set<Host>& hosts) override;
  std::uint64_t point(std::string_view key) const override;  // the key's slot in the low 14 bits
  bool keys_are_sticky() const override { return true; }
  bool visit_candidates(std::uint64_t point, RequestId request,
                        CandidateVisitor accept) const override;

  // ---- the slots

  // Returns when the next refresh is due; nullopt while one is in progress.
  std::optional<Time> refresh_at() const;
  // Returns the address of the node to query; empty if no node is known.
  std::string begin_refresh(Time now);
  // Merges the view that the node returned; nullopt if the query failed. A view of another cluster
  // counts as a failure.
  void end_refresh(Time now, const std::optional<View>& view);

  // Increases whenever a node is added or removed, or replaced by another process.
  std::uint64_t revision() const { return revision_; }
  std::vector<std::string> nodes() const;
  // Returns the nodes' addresses, each with the number of processes that were seen there before.
  std::vector<std::pair<std::string, std::uint64_t>> processes() const;
  // Returns the id of the node at the address; empty if it is not known.
  std::string node_id(std::string_view address) const;
  const SlotTable& table() const { return table_; }

  struct Counters {
    std::uint64_t moved = 0, ask = 0, unavailable = 0, loops = 0, refreshes = 0,
                  refreshes_failed = 0, foreign_views = 0;
  };
  const Counters& counters() const { return counters_; }

 private:
  struct RequestRoute {
    Slot slot;
    ReadPreference reads;
    std::optional<NodeIndex> next;  // named by the last redirection
    bool ask = false;               // that redirection was ASK
    bool unavailable = false;       // no node can serve the request now
    std::vector<std::pair<NodeIndex, NodeIndex>> hops;
  };

  Verdict redirect(RequestRoute& route, NodeIndex from, NodeIndex to, bool ask);
  Verdict mark_unavailable(RequestRoute* route);
  void request_refresh() { refresh_requested_ = true; }
  std::optional<Host> host_of(NodeIndex node) const;

  const RouterSettings settings_;
  SlotTable table_;
  std::vector<std::optional<Host>> hosts_;  // the policy's host, by node index
  std::unordered_map<RequestId, RequestRoute> routes_;
  std::uint64_t revision_ = 1;

  bool refresh_requested_ = true;
  bool refreshing_ = false;
  Time last_refresh_{0};
  int failed_refreshes_ = 0;            // consecutive
  std::size_t next_refresh_index_ = 0;  // round-robin position for the next refresh
  std::string last_moved_target_;       // node named by the last MOVED; queried by the next refresh
  Counters counters_;
};

}  // namespace balancer::cluster
