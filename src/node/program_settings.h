#pragma once

#include <optional>
#include <string>

#include "node/config.h"
#include "settings/operator.h"

namespace balancer::node {

// The platform's configuration and the operator's file. At least one of them is present.
struct ProgramSettings {
  std::optional<Config> config;
  OperatorSettings operator_settings;
};

// Reads both. `operator_file`: path; empty: none. The name and limits of a platform configuration
// replace those of the operator's file. Throws std::runtime_error or FileError with a one-line
// message.
ProgramSettings load_settings(const std::string& operator_file);

// Prints what the program would listen on and connect to. Throws FileError if the group's keys
// cannot be read.
void print_settings(const ProgramSettings& settings);

}  // namespace balancer::node
