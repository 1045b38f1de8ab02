#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/slots.h"
#include "proto/resp.h"

// One node's view of its cluster. The node may be outdated, partitioned or wrong, so a view is a
// claim.
namespace balancer::cluster {

struct Range {
  Slot first = 0, last = 0;  // both inclusive
};

// A primary with its replicas and slots, as the reporting node sees them.
struct Shard {
  std::string primary;  // "host:port"; empty: unknown
  std::vector<std::string> replicas;
  std::vector<Range> slots;
  std::uint64_t epoch = 0;  // configuration epoch; the epoch of the view if the reply has none
};

struct View {
  std::string from;         // address of the reporting node
  std::uint64_t epoch = 0;  // newest epoch that the reporting node has seen
  std::vector<Shard> shards;
  // The nodes' ids by address, as far as the reply has them. A process that takes the address of
  // another has another id.
  std::map<std::string, std::string> ids{};
};

// Returns the address "host:port" of a node that is named in a reply of `from`. An empty host
// stands for the host of `from`, as the specification defines. Returns an empty string if the host
// is "?" or longer than 255 bytes, or the port is missing, 0 or out of range.
std::string node_address(std::string_view host, std::string_view port, std::string_view from);

// Parse replies to CLUSTER NODES, SLOTS and SHARDS. Return nullopt if the reply as a whole cannot
// be parsed, and skip invalid entries. SLOTS and SHARDS report no epochs; their shards get `epoch`.
std::optional<View> parse_cluster_nodes(std::string_view text, std::string_view from);
std::optional<View> parse_cluster_slots(const resp::Value& answer, std::string_view from,
                                        std::uint64_t epoch);
std::optional<View> parse_cluster_shards(const resp::Value& answer, std::string_view from,
                                         std::uint64_t epoch);
// Returns `cluster_current_epoch` of a CLUSTER INFO reply; 0 if it is missing.
std::uint64_t parse_current_epoch(std::string_view info);

}  // namespace balancer::cluster
