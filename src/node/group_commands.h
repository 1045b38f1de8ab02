#pragma once

#include <string>

#include "node/command_line.h"

namespace balancer::node {

// Runs a member of the file's group that votes and serves nothing, until SIGTERM or SIGINT. Throws
// std::runtime_error with one line if it cannot begin.
void run_voter(const std::string& operator_file);

// Asks the running member and prints its answer. Returns whether it did what was asked for. Throws
// std::runtime_error with one line if it cannot be asked.
bool query_address(const AddressQuery& query);

}  // namespace balancer::node
