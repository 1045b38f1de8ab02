#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/slots.h"
#include "proto/resp.h"

// What one node says of its cluster. Nodes may be behind, cut off, or lie: a view is a claim.
namespace balancer::cluster {

struct Range {
  Slot first = 0, last = 0;  // both included
};

// A primary and what it holds, as the viewer has it.
struct Shard {
  std::string primary;  // "host:port"; empty: none is known
  std::vector<std::string> replicas;
  std::vector<Range> slots;
  std::uint64_t epoch = 0;  // its configuration's; the view's own where that is not told
};

struct View {
  std::string from;         // the viewer's address
  std::uint64_t epoch = 0;  // the newest that the viewer has heard of
  std::vector<Shard> shards;
};

// An address as it stands in answers; the viewer's own host where none is given, as the
// specification has it. Empty if it makes no sense: "?", no port, or port 0.
std::string address_of(std::string_view host, std::string_view port, std::string_view from);

// Answers of CLUSTER NODES, SLOTS and SHARDS. Nothing if the answer as such cannot be read; entries
// that make no sense are left out. The latter two tell no epochs, and take `epoch`.
std::optional<View> read_nodes(std::string_view text, std::string_view from);
std::optional<View> read_slots(const resp::Value& answer, std::string_view from,
                               std::uint64_t epoch);
std::optional<View> read_shards(const resp::Value& answer, std::string_view from,
                                std::uint64_t epoch);
// `cluster_current_epoch` of CLUSTER INFO; 0 if it is not there.
std::uint64_t read_epoch(std::string_view info);

}  // namespace balancer::cluster
