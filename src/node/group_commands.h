#pragma once

#include <string>

#include "node/command_line.h"

namespace balancer::node {

// Runs a member of the file's group that votes and serves no clients, until SIGTERM or SIGINT.
// Throws std::runtime_error with a one-line message if it cannot start.
void run_voter(const std::string& operator_file);

// Sends the request to the running member and prints its answer. Returns whether the member carried
// out the request. Throws std::runtime_error with a one-line message if it cannot be reached.
bool query_address(const AddressQuery& query);

}  // namespace balancer::node
