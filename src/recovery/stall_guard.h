#pragma once

#include "structures/time.h"

namespace balancer::recovery {

// Whether what an instance knows of its surroundings may still be acted on. A process that was
// stopped, or whose machine stood still, goes on with the list that it had, and with requests that
// came meanwhile: what it decides in its first milliseconds rests on facts that are as old as its
// standstill. It finds out by the gap between two looks, holds what it would send until discovery
// has answered a call that was made since, and goes on as it is where none comes in time. No I/O,
// no threads, no clock of its own. docs/design/recovery.md
class StallGuard {
 public:
  struct Bounds {
    Duration still = std::chrono::seconds(1);  // no look for so long is a standstill
    // So long, of the time in which it runs, it may hold at most.
    Duration hold = std::chrono::milliseconds(250);
    // What is read for so long after it may have lain there all the time.
    Duration settle = std::chrono::milliseconds(50);
  };
  enum class Stage {
    kFresh,            // nothing speaks against what is known
    kAwaitingRefresh,  // it has stood still, and nothing has confirmed what is known
    kStale             // nor did anything in time: it goes on with what it has
  };

  StallGuard(Time now, const Bounds& bounds) : bounds_(bounds), observed_at_(now) {}
  explicit StallGuard(Time now) : StallGuard(now, Bounds()) {}

  // To be called wherever the event loop comes in, and far more often than `still` where nothing
  // happens. True, once for each standstill: what is known is to be asked for anew.
  bool observe(Time now);
  // Discovery has answered a call that was made at `asked`. True: what was held may go now. Before
  // this and the next a look is due: the standstill may be found out here.
  bool on_discovery_answer(Time asked);
  // The time of until() has come. True: what was held may go now.
  bool on_hold_over(Time now);

  // How much older than it looks a request may be that is read now.
  Duration unnoticed(Time now) const {
    return standstills_ > 0 && now < woken_ + bounds_.settle ? gap_ : Duration{0};
  }

  Stage stage() const { return stage_; }
  bool is_holding() const { return stage_ == Stage::kAwaitingRefresh; }
  Time until() const { return until_; }          // while it holds: when it ends at the latest
  Duration stood_still() const { return gap_; }  // the last time that it did
  Time woken() const { return woken_; }
  int standstills() const { return standstills_; }  // since its start

 private:
  const Bounds bounds_;
  Time observed_at_;
  Time woken_{0}, until_{0};
  Duration gap_{0};
  Stage stage_ = Stage::kFresh;
  int standstills_ = 0;
};

}  // namespace balancer::recovery
