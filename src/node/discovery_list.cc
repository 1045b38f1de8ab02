#include "node/discovery_list.h"

#include <algorithm>
#include <cmath>

#include "settings/json.h"

namespace balancer::node {
namespace {

using namespace json;

// Later times would overflow when converted to nanoseconds.
constexpr std::int64_t kMaxUnixMilliseconds = 9'000'000'000'000;
constexpr std::size_t kMaxHostId = 256;  // bytes

// Returns names.size() for unknown names.
int index_of(const std::vector<std::string>& names, std::string_view name) {
  return static_cast<int>(std::find(names.begin(), names.end(), name) - names.begin());
}

HostState read_state(std::string_view health) {
  if (health == "ready") return HostState::kServing;
  return health == "gone" ? HostState::kGone : HostState::kDraining;
}

// Meaning of the protocol's fields: `dial` is the host's address, `born_ms` the start of its
// process (ms since the Unix epoch), `class` its kind, `site` its zone, `block` its cell, and
// `share` its weight.
EndpointListEntry read_host(object o, const SiteSettings& site) {
  EndpointListEntry host;
  host.id = require<std::string_view>(o, "host");
  if (host.id.empty()) throw_field_error("host", "is empty");
  if (host.id.size() > kMaxHostId) throw_field_error("host", "is too long");
  host.state = read_state(require<std::string_view>(o, "health"));
  host.endpoint = parse_endpoint(get_or<std::string_view>(o, "dial", ""));
  if (!host.endpoint && host.state == HostState::kServing)
    throw_field_error("dial", "is not an IP address and port");
  const auto born_ms = get_or<std::int64_t>(o, "born_ms", 0);
  if (born_ms > 0 && born_ms < kMaxUnixMilliseconds)
    host.started_at = UnixTime(std::chrono::milliseconds(born_ms));
  const auto kind = get_or<std::string_view>(o, "class", "");
  host.is_origin = kind == "origin" || index_of(site.kinds, kind) == site.origin_kind;
  host.zone = index_of(site.zones, get_or<std::string_view>(o, "site", ""));
  host.cell = bounded_int(get_or<std::int64_t>(o, "block", 0), "block");
  host.weight = get_or(o, "share", 1.0);
  return host;
}

}  // namespace

HostList read_host_list(object o, const SiteSettings& site) {
  HostList list;
  const auto seq = require<std::int64_t>(o, "seq");
  if (seq < 0) throw_field_error("seq", "is negative");
  list.seq = static_cast<std::uint64_t>(seq);
  list.is_complete = require<bool>(o, "whole");
  for (const element e : require<array>(o, "hosts")) {
    try {
      list.hosts.push_back(read_host(as<object>(e, "hosts"), site));
    } catch (const FieldError&) {
      // An invalid entry must not prevent the use of the others.
    }
  }
  return list;
}

}  // namespace balancer::node
