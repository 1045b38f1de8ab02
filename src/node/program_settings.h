#pragma once

#include <optional>
#include <string>

#include "node/config.h"
#include "settings/operator.h"

namespace balancer::node {

// The platform's configuration and the operator's file; either may be missing, but not both.
struct ProgramSettings {
  std::optional<Config> config;
  Operator operator_settings;
};

// Reads both. `operator_file`: empty if there is none. With a platform's configuration its name and
// limits replace those of the operator's file. Throws std::runtime_error (FileError) with one line.
ProgramSettings load_settings(const std::string& operator_file);

// Prints what the program would listen on and connect to. Throws FileError if the group's keys
// cannot be read.
void print_settings(const ProgramSettings& settings);

}  // namespace balancer::node
