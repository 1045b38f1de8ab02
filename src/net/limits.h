#pragma once

#include <algorithm>
#include <cstddef>
#include <utility>

// The limits on descriptors and bytes of one process, and what is reserved of them. One thread uses
// them.
namespace balancer {

// The longest value that is collected before any of it reaches a client, in bytes: until then it
// can be retried elsewhere if it breaks off or makes no sense.
inline constexpr std::size_t kMaxCollectedValue = 64u << 10;
// Request bodies beyond this reserve their length ahead, in bytes.
inline constexpr std::size_t kSmallBody = 4u << 10;

// A number of units of which parts are reserved. Reserving never fails: callers ask room_for()
// first where they can wait.
class Budget {
 public:
  explicit Budget(std::size_t max) : max_(max) {}
  Budget(const Budget&) = delete;
  Budget& operator=(const Budget&) = delete;

  bool room_for(std::size_t n) const { return used_ + n <= max_; }
  std::size_t used() const { return used_; }
  std::size_t max() const { return max_; }
  // Reservations beyond a lower maximum stay until they are released.
  void set_max(std::size_t max) { max_ = max; }

 private:
  friend class Reservation;
  std::size_t max_;
  std::size_t used_ = 0;
};

// A part of a budget, released on destruction. The budget outlives it.
class Reservation {
 public:
  Reservation() = default;
  explicit Reservation(Budget& budget, std::size_t n = 0) : budget_(&budget) { resize(n); }
  Reservation(Reservation&& other) noexcept
      : budget_(std::exchange(other.budget_, nullptr)), n_(std::exchange(other.n_, 0)) {}
  Reservation& operator=(Reservation&& other) noexcept {
    std::swap(budget_, other.budget_);
    std::swap(n_, other.n_);
    return *this;
  }
  ~Reservation() {
    if (budget_) budget_->used_ -= n_;
  }

  std::size_t size() const { return n_; }
  // Without effect on one that has no budget.
  void resize(std::size_t n) {
    if (!budget_) return;
    budget_->used_ += n;
    budget_->used_ -= n_;
    n_ = n;
  }

 private:
  Budget* budget_ = nullptr;
  std::size_t n_ = 0;
};

// The budgets of one process.
struct Limits {
  // `reserved_descriptors`: for parts that not every installation has.
  Limits(std::size_t descriptors, std::size_t memory_mb, std::size_t reserved_descriptors = 0)
      : total_descriptors(descriptors),
        total_bytes((memory_mb << 20) / 2),
        fixed(reserved_descriptors + kBaseDescriptors),
        clients(0),
        upstreams(0),
        bytes(0) {
    share(total_descriptors, total_bytes, true);
  }

  // Sets what this process may use: all, except during a hot restart, where two processes share.
  // `accepts_clients`: whether it needs descriptors for new ones.
  void share(std::size_t descriptors, std::size_t max_bytes, bool accepts_clients) {
    const std::size_t left = descriptors > fixed ? descriptors - fixed : 0;
    const std::size_t for_upstreams =
        accepts_clients ? left * 2 / 5 : left - std::min(left, clients.used());
    upstreams.set_max(for_upstreams);
    clients.set_max(left - for_upstreams);
    bytes.set_max(max_bytes);
  }
  std::size_t descriptors_used() const { return fixed + clients.used() + upstreams.used(); }

  // Standard streams, epoll, timer, signals, the listener and discovery.
  static constexpr std::size_t kBaseDescriptors = 24;

  const std::size_t total_descriptors, total_bytes, fixed;
  Budget clients, upstreams;  // descriptors
  Budget bytes;               // bodies, values, and answers that clients have not read yet
  // Beyond this only clients that have no request in flight may begin one.
  bool bytes_short() const { return bytes.used() > bytes.max() / 2; }
  // Beyond this idle client connections are closed early.
  bool clients_short() const { return clients.used() > clients.max() / 3; }
};

}  // namespace balancer
