#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <memory>
#include <utility>

#include "net/event_counters.h"
#include "net/memory_plan.h"
#include "net/resident_memory.h"

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
  // Returns the part that is reserved for this holder.
  std::size_t used_by(MemoryHolder holder) const {
    return used_by_[static_cast<std::size_t>(holder)];
  }
  std::size_t max() const { return max_; }
  // Lowering the maximum does not revoke reservations; they stay until they are released.
  void set_max(std::size_t max) { max_ = max; }

 private:
  friend class Reservation;
  std::size_t max_;
  std::size_t used_ = 0;
  std::array<std::size_t, kMemoryHolders> used_by_{};
};

// A part of a budget, released on destruction. The budget must outlive it.
class Reservation {
 public:
  Reservation() = default;
  // `holder` has a meaning in a budget of bytes only.
  explicit Reservation(Budget& budget, std::size_t n = 0,
                       MemoryHolder holder = MemoryHolder::kInput)
      : budget_(&budget), holder_(holder) {
    resize(n);
  }
  Reservation(Reservation&& other) noexcept
      : budget_(std::exchange(other.budget_, nullptr)),
        n_(std::exchange(other.n_, 0)),
        holder_(other.holder_) {}
  Reservation& operator=(Reservation&& other) noexcept {
    std::swap(budget_, other.budget_);
    std::swap(n_, other.n_);
    std::swap(holder_, other.holder_);
    return *this;
  }
  ~Reservation() { resize(0); }

  std::size_t size() const { return n_; }
  // No effect if the reservation has no budget.
  void resize(std::size_t n) {
    if (!budget_) return;
    std::size_t& of_holder = budget_->used_by_[static_cast<std::size_t>(holder_)];
    budget_->used_ += n;
    budget_->used_ -= n_;
    of_holder += n;
    of_holder -= n_;
    n_ = n;
  }

 private:
  Budget* budget_ = nullptr;
  std::size_t n_ = 0;
  MemoryHolder holder_ = MemoryHolder::kInput;
};

// The budgets of one process.
struct Limits {
  // `reserved_descriptors`: descriptors for optional components that this installation uses.
  Limits(std::size_t descriptors, std::size_t memory_mb, std::size_t reserved_descriptors = 0)
      : plan(memory_mb, descriptors),
        total_descriptors(descriptors),
        total_bytes(plan.accounted),
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
    share_bytes_ = max_bytes;
    apply_byte_limit();
  }
  std::size_t descriptors_used() const { return fixed + clients.used() + upstreams.used(); }

  // Subtracts the memory of known hosts from what reservations may hold. One pool knew `before`
  // hosts and now knows `after`.
  void change_hosts(std::size_t before, std::size_t after) {
    host_bytes_ += after * MemoryPlan::kBytesPerHost;
    host_bytes_ -= before * MemoryPlan::kBytesPerHost;
    apply_byte_limit();
  }
  // From now on uses are refused by the resident memory of the process too. For a process that
  // holds nothing beside these limits.
  void watch_resident_memory() { resident_ = std::make_unique<ResidentMemory>(); }
  // Returns the resident memory in bytes; 0 if it is not watched.
  std::size_t resident_bytes() const { return resident_ ? resident_->bytes() : 0; }
  // Returns freed memory to the system if the process is close to its limit.
  void release_free_memory() {
    if (resident_ && resident_bytes() > resident_limit() / 2) resident_->release_free_memory();
  }

  // Returns whether `n` further bytes may be held for this use.
  bool has_memory(MemoryUse use, std::size_t n) const {
    const auto index = static_cast<std::size_t>(use);
    // Two processes that share the limits may each have half of the memory, for whatever use: what
    // a process takes by itself does not shrink with its share.
    const bool is_shared = share_bytes_ < total_bytes;
    const auto last_use = static_cast<std::size_t>(MemoryUse::kAnswer);
    const std::size_t sixteenths = kResidentSixteenths[is_shared ? last_use : index];
    return bytes.used() + n <= bytes.max() / 8 * kAccountedEighths[index] &&
           resident_bytes() + n <= resident_limit() / 16 * sixteenths;
  }
  // Whether so much memory is in use that only clients without a request in flight may begin one.
  bool is_memory_short() const { return !has_memory(MemoryUse::kPipelining, 0); }
  // Whether so many client descriptors are in use that idle connections are closed early.
  bool are_client_descriptors_short() const { return clients.used() > clients.max() / 3; }

  // Descriptors for standard streams, epoll, timer, signals, the listener, discovery and the
  // measurement of memory.
  static constexpr std::size_t kBaseDescriptors = 24;

  const MemoryPlan plan;
  const std::size_t total_descriptors, total_bytes, fixed;
  Budget clients, upstreams;  // descriptors
  Budget bytes;               // all that peers can make the process hold; see MemoryHolder
  EventCounters events;       // why connections were closed, requests refused, attempts repeated

 private:
  std::size_t resident_limit() const {
    return share_bytes_ < total_bytes ? plan.total / 2 : plan.total;
  }
  void apply_byte_limit() { bytes.set_max(share_bytes_ - std::min(share_bytes_ / 2, host_bytes_)); }

  std::size_t share_bytes_ = 0;
  std::size_t host_bytes_ = 0;
  std::unique_ptr<ResidentMemory> resident_;
};

}  // namespace balancer
