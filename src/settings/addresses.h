#pragma once

#include <string>

// Syntax checks of the network addresses in the operator's files. Host names are not resolved.
namespace balancer {

// Returns whether `text` is an IP address and port: "127.0.0.1:6400" or "[::1]:6400". `port_zero`:
// port 0 is allowed as well; the system then chooses the port.
bool is_address(const std::string& text, bool port_zero);
// Returns whether `text` is a network, "10.1.0.0/16" or "fd00::/8", or a single IP address. Bits
// beyond the prefix length must be zero.
bool is_network(const std::string& text);
// Returns whether `text` is a host name and a port.
bool is_host_name_and_port(const std::string& text);

}  // namespace balancer
