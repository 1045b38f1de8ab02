#pragma once

#include "structures/time.h"

namespace balancer::recovery {

// Keeps a process from acting on stale information after a stall. When a process was stopped or its
// machine was suspended, it resumes with its old host list and with requests that arrived in the
// meantime, so its first decisions would be based on information as old as the stall. The guard
// detects a stall by the gap between two observations. It then holds new sends until discovery has
// answered a call that was made after the stall, or, if no answer arrives in time, lets the process
// continue with the old list. Uses no I/O, no threads and no clock of its own.
// docs/design/recovery.md
class StallGuard {
 public:
  struct Bounds {
    // Minimum gap between two observations that counts as a stall. Default: 1 s.
    Duration stall_threshold = std::chrono::seconds(1);
    // Longest hold, not counting further stalls. Default: 250 ms.
    Duration max_hold = std::chrono::milliseconds(250);
    // Data that is read within this time after a stall may have been waiting during the entire
    // stall. Default: 50 ms.
    Duration settle_time = std::chrono::milliseconds(50);
  };
  enum class Stage {
    kFresh,            // the host list is up to date
    kAwaitingRefresh,  // holding after a stall until discovery answers
    kStale             // discovery did not answer in time; continues with the old list
  };

  StallGuard(Time now, const Bounds& bounds) : bounds_(bounds), observed_at_(now) {}
  explicit StallGuard(Time now) : StallGuard(now, Bounds()) {}

  // Must be called at every entry point from the event loop, and much more often than
  // `stall_threshold` even without events. Returns true once per stall; the caller then has to call
  // discovery again.
  bool observe(Time now);
  // Records that discovery has answered a call that was made at `called_at`. Returns true if the
  // held sends may proceed. observe() must be called before this function and before
  // on_hold_expired(), since it may detect a stall.
  bool on_discovery_answer(Time called_at);
  // Called when hold_until() has passed. Returns true if the held sends may proceed.
  bool on_hold_expired(Time now);

  // Returns by how much a request that is read now may be older than it appears.
  Duration unnoticed_age(Time now) const {
    return stalls_ > 0 && now < resumed_at_ + bounds_.settle_time ? last_stall_ : Duration{0};
  }

  Stage stage() const { return stage_; }
  bool is_holding() const { return stage_ == Stage::kAwaitingRefresh; }
  Time hold_until() const { return hold_until_; }      // latest end of the current hold
  Duration last_stall() const { return last_stall_; }  // length of the last stall; 0 before any
  Time resumed_at() const { return resumed_at_; }      // end of the last stall
  int stalls() const { return stalls_; }               // since the process started

 private:
  const Bounds bounds_;
  Time observed_at_;
  Time resumed_at_{0}, hold_until_{0};
  Duration last_stall_{0};
  Stage stage_ = Stage::kFresh;
  int stalls_ = 0;
};

}  // namespace balancer::recovery
