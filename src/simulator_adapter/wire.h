#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "settings/field_error.h"

namespace balancer::simulator_adapter {

// Input that does not follow the wire; what() says which field, where and why.
using WireError = FieldError;

// Runs one Policy per simulated balancer and translates between it and the simulator's JSON lines.
// The wire's field names are mapped to the policy's terms here and nowhere else. It decides
// nothing.
class Wire {
 public:
  Wire();
  ~Wire();

  // Takes one batch of events, returns the reply without its newline. Throws WireError; instances
  // may then have taken a part of the batch.
  std::string handle(std::string_view line);

 private:
  struct Instance;
  struct Impl;
  std::unique_ptr<Impl> impl_;
  std::map<long long, std::unique_ptr<Instance>> instances_;
};

}  // namespace balancer::simulator_adapter
