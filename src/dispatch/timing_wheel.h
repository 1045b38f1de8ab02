#pragma once

#include <array>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "structures/time.h"

namespace balancer {

// A hierarchical timing wheel (Varghese and Lauck 1987, scheme 7) of kLevels wheels with kSlots
// slots each, for many timers most of which are cancelled before they expire. Setting and
// cancelling take constant time. A timer fires at the first multiple of the tick at or after its
// time, never before it; timers of the same tick fire in no particular order. The wheel spans about
// kSlots^kLevels ticks; later timers wait in the last slot and are placed again from there.
//
// Has no clock and no thread: the owner calls advance() by the time that next() returns. The
// callback passed to advance() may call set() and cancel(), but no other member function.
template <typename T>
class TimingWheel {
 public:
  // Identifies a pending timer. Once that timer has fired or was cancelled, the handle stays
  // invalid for the lifetime of the wheel.
  struct Handle {
    std::uint32_t index = kNone;
    std::uint32_t generation = 0;
  };

  TimingWheel(Time now, Duration tick) : tick_(tick), now_tick_(floor(now)) {}

  Handle set(Time due, T value) {
    const std::uint32_t index = allocate();
    Node& node = nodes_[index];
    node.value = std::move(value);
    node.due_tick = std::max(ceil(due), now_tick_ + 1);
    node.is_pending = true;
    link(index);
    ++size_;
    return {index, node.generation};
  }

  // Cancels the timer and returns its value, or nothing if it is no longer pending.
  std::optional<T> cancel(Handle handle) {
    if (handle.index >= nodes_.size()) return std::nullopt;
    const Node& node = nodes_[handle.index];
    if (!node.is_pending || node.generation != handle.generation) return std::nullopt;
    unlink(handle.index);
    return release(handle.index);
  }

  // Returns the time by which advance() must be called, or nothing if no timer is pending. No timer
  // is due before it. It may be earlier than the first timer, when timers have to move to a finer
  // wheel first.
  std::optional<Time> next() const {
    std::optional<std::int64_t> first;
    for (std::size_t level = 0; level < kLevels; ++level) {
      if (filled_[level] == 0) continue;
      const auto shift = kBits * level;
      const auto now = now_tick_ >> shift;
      // Rotates the bitmap so that bit 0 is the slot after the current one.
      const auto rotated = std::rotr(filled_[level], static_cast<int>((now + 1) & kMask));
      const auto tick = (now + 1 + std::countr_zero(rotated)) << shift;
      if (!first || tick < *first) first = tick;
    }
    if (!first) return std::nullopt;
    return Time(*first * tick_.count());
  }

  // Calls `fire` with the value of each timer that is due by `now`.
  template <typename F>
  void advance(Time now, F&& fire) {
    const auto until = floor(now);
    while (now_tick_ < until) {
      const auto next_time = next();
      const auto next_tick = next_time ? next_time->count() / tick_.count() : until + 1;
      if (next_tick > until) {
        now_tick_ = until;
        return;
      }
      now_tick_ = next_tick;
      move_to_finer_wheels();
      fire_current_slot(fire);
    }
  }

  std::size_t size() const { return size_; }

 private:
  static constexpr std::size_t kLevels = 5;
  static constexpr std::size_t kBits = 6;  // bits of a slot number
  static constexpr std::size_t kSlots = std::size_t{1} << kBits;
  static constexpr std::int64_t kMask = kSlots - 1;
  static constexpr std::uint32_t kNone = UINT32_MAX;
  // Value of Node::slot for a timer that is about to fire.
  static constexpr std::uint32_t kFiring = UINT32_MAX - 1;

  struct Node {
    T value{};
    std::int64_t due_tick = 0;
    std::uint32_t next = kNone;
    std::uint32_t previous = kNone;
    std::uint32_t slot = kNone;
    std::uint32_t generation = 0;
    bool is_pending = false;
  };

  std::int64_t floor(Time t) const { return t.count() / tick_.count(); }
  std::int64_t ceil(Time t) const { return (t.count() + tick_.count() - 1) / tick_.count(); }

  std::uint32_t allocate() {
    if (free_head_ == kNone) {
      nodes_.emplace_back();
      return static_cast<std::uint32_t>(nodes_.size() - 1);
    }
    return std::exchange(free_head_, nodes_[free_head_].next);
  }

  // Moves the timers in the current slot of each wheel that has advanced to finer wheels, starting
  // with the coarsest.
  void move_to_finer_wheels() {
    for (std::size_t level = kLevels; level-- > 1;) {
      if ((now_tick_ & ((std::int64_t{1} << (kBits * level)) - 1)) != 0) continue;
      for (auto n = detach_slot(level, (now_tick_ >> (kBits * level)) & kMask); n != kNone;) {
        const auto following = nodes_[n].next;
        link(n);
        n = following;
      }
    }
  }

  template <typename F>
  void fire_current_slot(F&& fire) {
    due_.clear();
    for (auto n = detach_slot(0, now_tick_ & kMask); n != kNone; n = nodes_[n].next)
      due_.push_back(n);
    for (const auto n : due_) nodes_[n].slot = kFiring;
    for (std::size_t i = 0; i < due_.size(); ++i) {
      // Skips timers that were cancelled by the callback of an earlier one.
      if (nodes_[due_[i]].slot == kFiring) fire(release(due_[i]));
    }
  }

  void link(std::uint32_t n) {
    Node& node = nodes_[n];
    // Chooses the finest level whose wheel reaches the timer's time within one turn. A timer that
    // is due at the current tick is placed in the slot that fire_current_slot() empties next.
    std::size_t level = 0;
    while (level + 1 < kLevels &&
           (node.due_tick >> (kBits * level)) - (now_tick_ >> (kBits * level)) >=
               std::int64_t{kSlots})
      ++level;
    auto slot = node.due_tick >> (kBits * level);
    slot = std::min(slot, (now_tick_ >> (kBits * level)) + kMask);
    const auto head = static_cast<std::uint32_t>(level * kSlots + (slot & kMask));
    node.slot = head;
    node.previous = kNone;
    node.next = heads_[head];
    if (node.next != kNone) nodes_[node.next].previous = n;
    heads_[head] = n;
    filled_[level] |= std::uint64_t{1} << (slot & kMask);
  }

  void unlink(std::uint32_t n) {
    Node& node = nodes_[n];
    if (node.slot == kFiring) return;
    if (node.next != kNone) nodes_[node.next].previous = node.previous;
    if (node.previous != kNone) {
      nodes_[node.previous].next = node.next;
      return;
    }
    heads_[node.slot] = node.next;
    if (node.next == kNone)
      filled_[node.slot / kSlots] &= ~(std::uint64_t{1} << (node.slot % kSlots));
  }

  T release(std::uint32_t n) {
    Node& node = nodes_[n];
    T value = std::exchange(node.value, T{});
    node.is_pending = false;
    node.slot = kNone;
    ++node.generation;
    node.next = free_head_;
    free_head_ = n;
    --size_;
    return value;
  }

  // Empties a slot and returns the first node of its list.
  std::uint32_t detach_slot(std::size_t level, std::int64_t slot) {
    const auto head = level * kSlots + static_cast<std::size_t>(slot);
    filled_[level] &= ~(std::uint64_t{1} << slot);
    return std::exchange(heads_[head], kNone);
  }

  static constexpr std::array<std::uint32_t, kLevels * kSlots> empty_heads() {
    std::array<std::uint32_t, kLevels * kSlots> heads{};
    heads.fill(kNone);
    return heads;
  }

  const Duration tick_;
  std::int64_t now_tick_;  // timers due up to this tick have fired
  std::vector<Node> nodes_;
  std::uint32_t free_head_ = kNone;
  std::array<std::uint32_t, kLevels* kSlots> heads_ = empty_heads();
  std::array<std::uint64_t, kLevels> filled_{};
  std::vector<std::uint32_t> due_;
  std::size_t size_ = 0;
};

}  // namespace balancer
