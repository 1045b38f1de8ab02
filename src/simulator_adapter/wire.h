#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "settings/field_error.h"

namespace balancer::simulator_adapter {

// Input that violates the wire format. what() names the field, its location and the reason.
using WireError = FieldError;

// Runs one Policy per simulated balancer and translates between the policies and the simulator's
// JSON lines. The wire's field names are mapped to the policy's terms only here. This class makes
// no decisions of its own.
class Wire {
 public:
  Wire();
  ~Wire();

  // Processes one batch of events and returns the reply without its newline. Throws WireError;
  // instances may have processed a part of the batch by then.
  std::string handle(std::string_view line);

 private:
  struct Instance;
  struct Impl;
  std::unique_ptr<Impl> impl_;
  std::map<long long, std::unique_ptr<Instance>> instances_;
};

}  // namespace balancer::simulator_adapter
