#pragma once

#include <algorithm>
#include <cstddef>
#include <utility>

// Limits on the descriptors and bytes of one process, and the reservations made against them. Not
// thread-safe.
namespace balancer {

// The longest value, in bytes, that is collected completely before any of it is sent to a client.
// If such a value is truncated or malformed, the request can still be retried at another host.
inline constexpr std::size_t kMaxCollectedValue = 64u << 10;
// Request bodies longer than this, in bytes, reserve memory for their length before they are read.
inline constexpr std::size_t kSmallBody = 4u << 10;

// A limited number of units, parts of which can be reserved. Reserving never fails, even beyond the
// maximum: callers that can wait check room_for() first.
class Budget {
 public:
  explicit Budget(std::size_t max) : max_(max) {}
  Budget(const Budget&) = delete;
  Budget& operator=(const Budget&) = delete;

  bool room_for(std::size_t n) const { return used_ + n <= max_; }
  std::size_t used() const { return used_; }
  std::size_t max() const { return max_; }
  // Lowering the maximum does not revoke reservations; they stay until they are released.
  void set_max(std::size_t max) { max_ = max; }

 private:
  friend class Reservation;
  std::size_t max_;
  std::size_t used_ = 0;
};

// A part of a budget, released on destruction. The budget must outlive it.
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
  // No effect if the reservation has no budget.
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
  // `reserved_descriptors`: descriptors for optional components that this installation uses.
  Limits(std::size_t descriptors, std::size_t memory_mb, std::size_t reserved_descriptors = 0)
      : total_descriptors(descriptors),
        total_bytes((memory_mb << 20) / 2),
        fixed(reserved_descriptors + kBaseDescriptors),
        clients(0),
        upstreams(0),
        bytes(0) {
    set_process_share(total_descriptors, total_bytes, true);
  }

  // Sets the part of the limits that this process may use: all of it, except during a hot restart,
  // when two processes share it. `accepts_clients`: whether descriptors for new clients are needed.
  void set_process_share(std::size_t descriptors, std::size_t max_bytes, bool accepts_clients) {
    const std::size_t left = descriptors > fixed ? descriptors - fixed : 0;
    const std::size_t for_upstreams =
        accepts_clients ? left * 2 / 5 : left - std::min(left, clients.used());
    upstreams.set_max(for_upstreams);
    clients.set_max(left - for_upstreams);
    bytes.set_max(max_bytes);
  }
  std::size_t descriptors_used() const { return fixed + clients.used() + upstreams.used(); }

  // Descriptors for standard streams, epoll, timer, signals, the listener and discovery.
  static constexpr std::size_t kBaseDescriptors = 24;

  const std::size_t total_descriptors, total_bytes, fixed;
  Budget clients, upstreams;  // descriptors
  Budget bytes;               // bodies, values and unwritten responses
  // Whether so much memory is in use that only clients without a request in flight may begin one.
  bool is_memory_short() const { return bytes.used() > bytes.max() / 2; }
  // Whether so many client descriptors are in use that idle connections are closed early.
  bool are_client_descriptors_short() const { return clients.used() > clients.max() / 3; }
};

}  // namespace balancer
