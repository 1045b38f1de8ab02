#pragma once

#include <string>

// What of the operator's files is an address; names are not looked up.
namespace balancer {

// "127.0.0.1:6400" or "[::1]:6400". `port_zero`: port 0 will do, and the system gives one.
bool is_address(const std::string& text, bool port_zero);
// "10.1.0.0/16", "fd00::/8" or a single address; bits behind the prefix must be zero.
bool is_network(const std::string& text);
// A host's name and a port, in the place of an address.
bool is_name(const std::string& text);

}  // namespace balancer
