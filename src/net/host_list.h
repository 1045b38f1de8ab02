#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "policy/policy.h"

namespace balancer {

using Endpoint = boost::asio::ip::tcp::endpoint;

// An entry of the endpoint list.
struct EndpointListEntry {
  std::string id;
  std::optional<Endpoint> endpoint;    // nullopt: the address could not be parsed
  std::optional<UnixTime> started_at;  // last start according to the list; nullopt: long ago
  std::optional<Duration> age;  // time since that start, if reported by a process that observed it
  bool is_origin = false;
  int zone = 0;
  int cell = 0;
  HostState state = HostState::kServing;
  double weight = 1;
};

// The endpoint list from discovery, or a change to it.
struct HostList {
  std::uint64_t seq = 0;
  bool is_complete = false;
  std::vector<EndpointListEntry> hosts;  // without invalid entries
  std::optional<UnixTime> sent_at{};     // by the sender's clock
};

// Parses "127.0.0.1:80" or "[::1]:80". Returns nullopt for anything else; names are not resolved.
std::optional<Endpoint> parse_endpoint(std::string_view text);

}  // namespace balancer
