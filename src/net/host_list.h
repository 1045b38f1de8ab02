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

struct ListedHost {
  std::string id;
  std::optional<Endpoint> dial;  // none: it could not be read
  std::optional<UnixTime> born;  // its last start, as the list says it; none: long ago
  std::optional<Duration> age;   // since that start, where a process that saw it says so
  bool origin = false;
  int zone = 0;
  int cell = 0;
  HostState state = HostState::kServing;
  double weight = 1;
};

// Discovery's list, or what changed in it.
struct HostList {
  std::uint64_t seq = 0;
  bool whole = false;
  std::vector<ListedHost> hosts;      // entries that make no sense are left out
  std::optional<UnixTime> sent_at{};  // by the clock of whoever sent it
};

// "127.0.0.1:80" or "[::1]:80"; names are not looked up.
std::optional<Endpoint> parse_endpoint(std::string_view text);

}  // namespace balancer
