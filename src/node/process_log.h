#pragma once

#include <functional>
#include <string>

namespace balancer::node {

using Log = std::function<void(const std::string& line)>;

// Redirects standard error, where log lines are written, to `file`; empty: leaves it unchanged. Can
// be called again after the file was renamed, to start a new file. Throws std::runtime_error if the
// file cannot be opened.
void open_log(const std::string& file);

// Returns a log that writes each line as "balancer NAME: LINE".
Log make_log(const std::string& name);

}  // namespace balancer::node
