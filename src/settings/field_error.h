#pragma once

#include <stdexcept>

namespace balancer {

// Invalid input; what() names the field and the error.
struct FieldError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// An error in a file that an operator wrote; what() is "FILE:LINE: KEY: REASON".
struct FileError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

}  // namespace balancer
