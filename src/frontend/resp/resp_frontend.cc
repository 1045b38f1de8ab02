#include "frontend/resp/resp_frontend.h"

#include <algorithm>
#include <cstdio>

#include "frontend/resp/resp_session.h"
#include "policy/hash_ring.h"

namespace balancer {
namespace {

using cluster::CommandInfo;
using cluster::CommandKind;
using cluster::Slot;

// Returns a node id of 40 hexadecimal digits, derived from the address.
std::string node_id(std::string_view address) {
  std::string id;
  for (std::uint64_t i = 0; i < 3; ++i) {
    char digits[17];
    std::snprintf(digits, sizeof digits, "%016llx",
                  static_cast<unsigned long long>(mix(stable_hash(address), i)));
    id += digits;
  }
  return id.substr(0, 40);
}

}  // namespace

RespFrontend::RespFrontend(const RespListener& settings, const RespPool& pool,
                           const std::string& announce, Limits& limits, RequestSink& core,
                           const cluster::SlotTable& slots)
    : settings_(settings),
      pool_(pool),
      limits_(limits),
      core_(core),
      slots_(slots),
      bounds_{.bulk = settings.max_bulk,
              .elements = 64u << 10,
              .total = 2 * settings.max_bulk + (64u << 10),
              .line = 64u << 10,
              .depth = 8},
      reply_bounds_{.bulk = pool.max_value,
                    .elements = 256u << 10,
                    .total = 2 * pool.max_value + (64u << 10),
                    .line = 64u << 10,
                    .depth = 16} {
  std::vector<std::string> all = settings.peers;
  all.push_back(announce);
  std::sort(all.begin(), all.end());
  all.erase(std::unique(all.begin(), all.end()), all.end());
  for (std::size_t i = 0; i < all.size(); ++i) {
    const auto colon = all[i].rfind(':');
    std::string host = all[i].substr(0, colon);
    if (host.starts_with('[')) host = host.substr(1, host.size() - 2);
    const auto part = [&all](std::size_t n) { return n * cluster::kSlots / all.size(); };
    advertised_nodes_.push_back({all[i], std::move(host), node_id(all[i]),
                                 static_cast<std::uint16_t>(std::stoul(all[i].substr(colon + 1))),
                                 static_cast<Slot>(part(i)), static_cast<Slot>(part(i + 1) - 1)});
    if (all[i] == announce) self_index_ = i;
  }
}

std::unique_ptr<ProtocolHandler> RespFrontend::make_handler() {
  return std::make_unique<RespSession>(*this);
}

int RespFrontend::class_of(const CommandInfo& info, std::string_view key) const {
  const std::string_view kind = info.kind == CommandKind::kRead ? "READ" : "WRITE";
  for (std::size_t i = 0; i < pool_.classes.size(); ++i) {
    const RespClass& c = pool_.classes[i];
    if (!key.starts_with(c.prefix)) continue;
    for (const auto& word : c.commands)
      if (word == info.name || word == kind) return static_cast<int>(i);
  }
  return static_cast<int>(pool_.classes.size()) - 1;  // all writes; not reached
}

}  // namespace balancer
