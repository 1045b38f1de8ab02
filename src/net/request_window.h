#pragma once

#include <algorithm>
#include <cstddef>

namespace balancer {

// How many requests one client may have in flight: additive increase, multiplicative decrease. The
// window halves with each request that is refused or fails, and grows by one once as many requests
// as it has places were served. A client that sends more than can be served, or requests that
// cannot be served in their time, has little in flight then, and leaves servers and memory to the
// others. Its further requests wait in its connection.
class RequestWindow {
 public:
  std::size_t size() const { return size_; }
  void on_served() {
    if (++served_ < size_) return;
    served_ = 0;
    size_ = std::min(size_ + 1, kMax);
  }
  void on_not_served() {
    served_ = 0;
    size_ = std::max(size_ / 2, kMin);
  }

 private:
  static constexpr std::size_t kMin = 4, kMax = 256;

  std::size_t size_ = kMax;
  std::size_t served_ = 0;  // since the size changed last
};

}  // namespace balancer
