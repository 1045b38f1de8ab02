#pragma once

#include <cstdint>
#include <random>

namespace balancer {

// The policy's only source of randomness: a given seed and sequence of events always lead to the
// same sequence of decisions.
class UniformRandom {
 public:
  explicit UniformRandom(std::uint64_t seed) : engine_(seed) {}

  // Returns a random number in [0, 1).
  double next() { return static_cast<double>(engine_() >> 11) * 0x1p-53; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace balancer
