#pragma once

#include <functional>
#include <string>

namespace balancer::node {

using Log = std::function<void(const std::string& line)>;

// Log lines go to standard error, which is the operator's log file where one is named. Opens the
// file anew, so that a file that was renamed is left. Throws std::runtime_error if it cannot.
void open_log(const std::string& file);

// Writes each line as "balancer NAME: LINE".
Log make_log(const std::string& name);

}  // namespace balancer::node
