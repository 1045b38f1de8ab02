#pragma once

#include "structures/time.h"

namespace balancer::recovery {

// Whether what a process knows of its surroundings may still be acted on. A process that was
// stopped, or whose machine was suspended (a stall), goes on with the host list that it had and
// with requests that came meanwhile: its first decisions would rest on facts that are as old as the
// stall. The guard detects a stall by the gap between two observations, holds what the process
// would send until discovery has answered a call that was made since, and lets it go on with what
// it has where no answer comes in time. No I/O, no threads, no clock of its own.
// docs/design/recovery.md
class StallGuard {
 public:
  struct Bounds {
    // A gap between two observations from which on it is a stall. Default: 1 s.
    Duration stall_threshold = std::chrono::seconds(1);
    // Longest hold, in time in which the process runs. Default: 250 ms.
    Duration max_hold = std::chrono::milliseconds(250);
    // What is read for so long after a stall may have been waiting during all of it. Default: 50
    // ms.
    Duration settle_time = std::chrono::milliseconds(50);
  };
  enum class Stage {
    kFresh,            // what is known is not in doubt
    kAwaitingRefresh,  // after a stall, until discovery has answered: holds
    kStale             // no answer came in time: goes on with what is known
  };

  StallGuard(Time now, const Bounds& bounds) : bounds_(bounds), observed_at_(now) {}
  explicit StallGuard(Time now) : StallGuard(now, Bounds()) {}

  // To be called wherever the event loop comes in, and far more often than `stall_threshold` where
  // nothing happens. True, once for each stall: discovery has to be called anew.
  bool observe(Time now);
  // Discovery has answered a call that was made at `called_at`. True: what was held may be sent.
  // observe() has to be called before this and on_hold_expired(): the stall may be detected there.
  bool on_discovery_answer(Time called_at);
  // The time of hold_until() has come. True: what was held may be sent.
  bool on_hold_expired(Time now);

  // How much older than it looks a request may be that is read now.
  Duration unnoticed_age(Time now) const {
    return stalls_ > 0 && now < resumed_at_ + bounds_.settle_time ? last_stall_ : Duration{0};
  }

  Stage stage() const { return stage_; }
  bool is_holding() const { return stage_ == Stage::kAwaitingRefresh; }
  Time hold_until() const { return hold_until_; }      // while it holds: its end at the latest
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
