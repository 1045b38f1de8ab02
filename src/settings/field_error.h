#pragma once

#include <stdexcept>

namespace balancer {

// Input that is not what it should be; what() names the field and the fault.
struct FieldError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// What is wrong with a file that an operator wrote: "FILE:LINE: KEY: REASON".
struct FileError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

}  // namespace balancer
