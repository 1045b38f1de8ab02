#include "policy/service_time_floor.h"

namespace balancer {
namespace {

// A shorter duration moves the estimate faster than a longer one, which keeps it near the shortest.
constexpr double kGainOfShorter = 0.3, kGainOfLonger = 0.02;
constexpr Duration kProbeInterval = std::chrono::milliseconds(100);

}  // namespace

void ServiceTimeFloor::on_served(Duration took) {
  const double difference = seconds(took) - floor_;
  floor_ += (difference < 0 ? kGainOfShorter : kGainOfLonger) * difference;
}

bool ServiceTimeFloor::is_too_short(Time now, Duration time_left) {
  if (seconds(time_left) >= floor_) return false;
  if (now - probed_at_ < kProbeInterval) return true;
  probed_at_ = now;
  return false;
}

}  // namespace balancer
