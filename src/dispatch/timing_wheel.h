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

// Timers by the thousand, most of which are taken back before they are due: a hierarchical timing
// wheel (Varghese and Lauck 1987, scheme 7) of kLevels wheels with 64 slots each. Setting and
// taking back cost the same however many are pending. A timer comes due at the first multiple of
// the tick at or behind its time, never before it; those of one tick in no order. The furthest time
// is about 64^kLevels ticks away; later ones wait in the last slot and are looked at again there.
//
// No clock and no thread: the owner asks next() and calls advance(). Not to be called from inside
// the function that advance() is given, but for set() and take_back().
template <typename T>
class TimingWheel {
 public:
  // Names a pending timer. Of one that has come due or was taken back it names nothing, for as long
  // as the wheel lives.
  struct Handle {
    std::uint32_t place = kNone;
    std::uint32_t life = 0;
  };

  TimingWheel(Time now, Duration tick) : tick_(tick), at_(floor(now)) {}

  Handle set(Time due, T value) {
    std::uint32_t n;
    if (free_ != kNone) {
      n = free_;
      free_ = nodes_[n].next;
    } else {
      n = static_cast<std::uint32_t>(nodes_.size());
      nodes_.emplace_back();
    }
    Node& node = nodes_[n];
    node.value = std::move(value);
    node.due = std::max(ceil(due), at_ + 1);
    node.pending = true;
    link(n);
    ++size_;
    return {n, node.life};
  }

  // Returns its value, or nothing if it is not pending any more.
  std::optional<T> take_back(Handle h) {
    if (h.place >= nodes_.size()) return std::nullopt;
    Node& node = nodes_[h.place];
    if (!node.pending || node.life != h.life) return std::nullopt;
    unlink(h.place);
    return release(h.place);
  }

  // A time at which advance() is to be called at the latest; nothing is due before it. It may be
  // early, where timers have to be moved to a finer wheel first.
  std::optional<Time> next() const {
    std::optional<std::int64_t> first;
    for (std::size_t level = 0; level < kLevels; ++level) {
      if (filled_[level] == 0) continue;
      const auto shift = kBits * level;
      const auto now = at_ >> shift;
      // The slots ahead of the present one, in turn.
      const auto turned = std::rotr(filled_[level], static_cast<int>((now + 1) & kMask));
      const auto tick = (now + 1 + std::countr_zero(turned)) << shift;
      if (!first || tick < *first) first = tick;
    }
    if (!first) return std::nullopt;
    return Time(*first * tick_.count());
  }

  // Hands the value of each timer that is due by `now` to `fire`.
  template <typename F>
  void advance(Time now, F&& fire) {
    const auto until = floor(now);
    while (at_ < until) {
      const auto to = next();
      const auto tick = to ? to->count() / tick_.count() : until + 1;
      if (tick > until) {
        at_ = until;
        return;
      }
      at_ = tick;
      // From the coarsest wheel that turned: what it holds for now goes to finer ones.
      for (std::size_t level = kLevels; level-- > 1;) {
        if ((at_ & ((std::int64_t{1} << (kBits * level)) - 1)) != 0) continue;
        for (auto n = empty(level, (at_ >> (kBits * level)) & kMask); n != kNone;) {
          const auto following = nodes_[n].next;
          link(n);
          n = following;
        }
      }
      due_.clear();
      for (auto n = empty(0, at_ & kMask); n != kNone; n = nodes_[n].next) due_.push_back(n);
      for (const auto n : due_) nodes_[n].slot = kDue;
      for (std::size_t i = 0; i < due_.size(); ++i) {
        // One that was taken back by an earlier one's turn has another life by now.
        if (nodes_[due_[i]].slot == kDue) fire(release(due_[i]));
      }
    }
  }

  std::size_t size() const { return size_; }

 private:
  static constexpr std::size_t kLevels = 5, kBits = 6, kSlots = 64;
  static constexpr std::int64_t kMask = kSlots - 1;
  static constexpr std::uint32_t kNone = UINT32_MAX, kDue = UINT32_MAX - 1;

  struct Node {
    T value{};
    std::int64_t due = 0;
    std::uint32_t next = kNone, previous = kNone, slot = kNone, life = 0;
    bool pending = false;
  };

  std::int64_t floor(Time t) const { return t.count() / tick_.count(); }
  std::int64_t ceil(Time t) const { return (t.count() + tick_.count() - 1) / tick_.count(); }

  void link(std::uint32_t n) {
    Node& node = nodes_[n];
    // A level is fine enough where the time lies within one turn of its wheel. What is due at this
    // very tick goes to the slot that is being emptied.
    std::size_t level = 0;
    while (level + 1 < kLevels &&
           (node.due >> (kBits * level)) - (at_ >> (kBits * level)) >= std::int64_t{kSlots})
      ++level;
    auto slot = node.due >> (kBits * level);
    slot = std::min(slot, (at_ >> (kBits * level)) + kMask);
    const auto place = static_cast<std::uint32_t>(level * kSlots + (slot & kMask));
    node.slot = place;
    node.previous = kNone;
    node.next = heads_[place];
    if (node.next != kNone) nodes_[node.next].previous = n;
    heads_[place] = n;
    filled_[level] |= std::uint64_t{1} << (slot & kMask);
  }

  void unlink(std::uint32_t n) {
    Node& node = nodes_[n];
    if (node.slot == kDue) return;
    if (node.next != kNone) nodes_[node.next].previous = node.previous;
    if (node.previous != kNone) {
      nodes_[node.previous].next = node.next;
    } else {
      heads_[node.slot] = node.next;
      if (node.next == kNone)
        filled_[node.slot / kSlots] &= ~(std::uint64_t{1} << (node.slot % kSlots));
    }
  }

  T release(std::uint32_t n) {
    Node& node = nodes_[n];
    T value = std::exchange(node.value, T{});
    node.pending = false;
    node.slot = kNone;
    ++node.life;
    node.next = free_;
    free_ = n;
    --size_;
    return value;
  }

  // Takes all out of a slot; returns the first of the chain.
  std::uint32_t empty(std::size_t level, std::int64_t slot) {
    const auto place = level * kSlots + static_cast<std::size_t>(slot);
    filled_[level] &= ~(std::uint64_t{1} << slot);
    return std::exchange(heads_[place], kNone);
  }

  static constexpr std::array<std::uint32_t, kLevels * kSlots> no_heads() {
    std::array<std::uint32_t, kLevels * kSlots> a{};
    a.fill(kNone);
    return a;
  }

  const Duration tick_;
  std::int64_t at_;  // ticks up to this one have come due
  std::vector<Node> nodes_;
  std::uint32_t free_ = kNone;
  std::array<std::uint32_t, kLevels* kSlots> heads_ = no_heads();
  std::array<std::uint64_t, kLevels> filled_{};
  std::vector<std::uint32_t> due_;
  std::size_t size_ = 0;
};

}  // namespace balancer
