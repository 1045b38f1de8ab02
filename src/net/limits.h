#pragma once

#include <algorithm>
#include <cstddef>
#include <utility>

// The budgets of descriptors and bytes. One thread uses them; leases give back what they took.
namespace balancer {

// Room for the longest value. Values are collected whole, so that one that breaks off or makes no
// sense can still be asked for elsewhere, and nothing of it ever reaches a client.
inline constexpr std::size_t kWholeValue = 64u << 10;
// Bodies beyond this are paid for from the byte budget ahead.
inline constexpr std::size_t kSmallBody = 4u << 10;

class Budget {
 public:
  explicit Budget(std::size_t max) : max_(max) {}
  Budget(const Budget&) = delete;
  Budget& operator=(const Budget&) = delete;

  bool room_for(std::size_t n) const { return used_ + n <= max_; }
  std::size_t used() const { return used_; }
  std::size_t max() const { return max_; }
  // What is used beyond it stays so until it is given back.
  void set_max(std::size_t max) { max_ = max; }

 private:
  friend class Lease;
  std::size_t max_;
  std::size_t used_ = 0;
};

class Lease {
 public:
  Lease() = default;
  explicit Lease(Budget& budget, std::size_t n = 0) : budget_(&budget) { resize(n); }
  Lease(Lease&& other) noexcept
      : budget_(std::exchange(other.budget_, nullptr)), n_(std::exchange(other.n_, 0)) {}
  Lease& operator=(Lease&& other) noexcept {
    std::swap(budget_, other.budget_);
    std::swap(n_, other.n_);
    return *this;
  }
  ~Lease() {
    if (budget_) budget_->used_ -= n_;
  }

  std::size_t size() const { return n_; }
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

struct Limits {
  // `set_aside`: descriptors of parts that not every installation has.
  Limits(std::size_t sockets, std::size_t memory_mb, std::size_t set_aside = 0)
      : total_descriptors(sockets),
        total_bytes((memory_mb << 20) / 2),
        fixed(set_aside + kReserved),
        clients(0),
        upstreams(0),
        bytes(0) {
    share(total_descriptors, total_bytes, true);
  }

  // Of all descriptors and bytes, this process may hold so many: all, but where another one works
  // beside it. `takes_clients`: whether it needs room for new ones.
  void share(std::size_t descriptors, std::size_t max_bytes, bool takes_clients) {
    const std::size_t left = descriptors > fixed ? descriptors - fixed : 0;
    const std::size_t up = takes_clients ? left * 2 / 5 : left - std::min(left, clients.used());
    upstreams.set_max(up);
    clients.set_max(left - up);
    bytes.set_max(max_bytes);
  }
  std::size_t descriptors_used() const { return fixed + clients.used() + upstreams.used(); }

  // Standard streams, epoll, timer, signals, the listener and discovery.
  static constexpr std::size_t kReserved = 24;

  const std::size_t total_descriptors, total_bytes, fixed;
  // Each request in work has a client's descriptor and mostly one or two to hosts.
  Budget clients, upstreams;
  Budget bytes;  // bodies, values and what waits for clients to read it
  // Beyond it only clients that have nothing in work may begin a request.
  bool bytes_short() const { return bytes.used() > bytes.max() / 2; }
  // Beyond it connections that are not likely to be used again go early.
  bool clients_short() const { return clients.used() > clients.max() / 3; }
};

}  // namespace balancer
