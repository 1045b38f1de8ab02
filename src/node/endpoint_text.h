#pragma once

#include <sstream>
#include <string>

#include "net/host_list.h"

namespace balancer::node {

// Formats the endpoint as "127.0.0.1:80" or "[::1]:80".
inline std::string text_of(const Endpoint& endpoint) {
  std::ostringstream out;
  out << endpoint;
  return out.str();
}

}  // namespace balancer::node
