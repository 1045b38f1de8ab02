#pragma once

#include <chrono>
#include <cmath>
#include <cstdint>

// Time and random numbers for the whole testbed. All random numbers come from the scenario's seed
// through the code of this file, so that a scenario has the same arrivals and fleet on every
// machine.
namespace balancer::testbed {

using Duration = std::chrono::nanoseconds;
using Time = std::chrono::nanoseconds;  // since the start of the run
inline constexpr Time kNever = Time::max();

inline double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }
inline double millis(Duration d) { return 1e3 * seconds(d); }
inline Duration from_seconds(double s) {
  return Duration(static_cast<Duration::rep>(std::llround(s * 1e9)));
}

// SplitMix64 (Steele, Lea, Flood 2014): small, of sufficient quality, and identical on all
// platforms.
class Random {
 public:
  explicit Random(std::uint64_t seed, std::uint64_t stream = 0)
      : state_(seed * 0x9e3779b97f4a7c15u ^ (stream + 1) * 0xbf58476d1ce4e5b9u) {
    next();
  }
  std::uint64_t next() {
    std::uint64_t z = state_ += 0x9e3779b97f4a7c15u;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return z ^ (z >> 31);
  }
  double uniform() { return static_cast<double>(next() >> 11) * 0x1p-53; }  // in [0, 1)
  double uniform(double low, double high) { return low + (high - low) * uniform(); }
  std::size_t below(std::size_t n) { return static_cast<std::size_t>(next() % n); }
  bool chance(double p) { return uniform() < p; }
  double exponential(double mean) { return -mean * std::log1p(-uniform()); }
  double normal() {  // Box-Muller; uses one value of the pair
    const double r = std::sqrt(-2 * std::log1p(-uniform()));
    return r * std::cos(2 * 3.14159265358979323846 * uniform());
  }
  // Returns a log-normal value with this mean and coefficient of variation.
  double lognormal(double mean, double cv) {
    if (cv <= 0) return mean;
    const double s2 = std::log1p(cv * cv);
    return mean * std::exp(std::sqrt(s2) * normal() - s2 / 2);
  }

 private:
  std::uint64_t state_;
};

}  // namespace balancer::testbed
