#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "settings/field_error.h"

namespace balancer::simulator_adapter {

// Input that is not the wire's; what() says what and where.
using WireError = FieldError;

// Hosts one Policy per instance and translates between it and the wire. It decides nothing.
class Wire {
 public:
  Wire();
  ~Wire();

  // Takes one batch, returns the reply without its newline.
  std::string handle(std::string_view line);

 private:
  struct Instance;
  struct Impl;
  std::unique_ptr<Impl> impl_;
  std::map<long long, std::unique_ptr<Instance>> instances_;
};

}  // namespace balancer::simulator_adapter
