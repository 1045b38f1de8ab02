#pragma once

#include <cstdint>
#include <random>

#include "recovery/retry_schedule.h"
#include "structures/time.h"

namespace balancer::recovery {

// Decides when discovery is called, what is requested, and when a call in flight is cancelled. It
// guarantees that a change is received within 6 s after the service has it and is reachable,
// regardless of the outcome of earlier calls; for a hung watch, within 2 s after the end of its
// wait if that is later; and within 4 s after discovery has moved to another address. Uses no I/O
// and no clock: the time is passed with each call.
class DiscoveryPollScheduler {
 public:
  // kPushed: a local agent that answers immediately and at no cost; this class schedules the call
  // after a failure. kOnRequest: one service for all balancers that has to be polled; after a
  // failure the owner decides when to call again.
  enum class Mode { kPushed, kOnRequest };
  // kBroken: the call ended without an answer. kRejected: the service rejected the call.
  enum class Failure { kBroken, kRejected };
  enum class Step { kNothing, kCall, kCancelCall };

  struct Call {
    // Requests the complete list; otherwise watches for changes newer than `known_version`, for up
    // to `wait`.
    bool wants_complete_list = true;
    std::uint64_t known_version = 0;
    Duration wait{0};
  };

  DiscoveryPollScheduler(Mode mode, std::uint64_t known_seq, std::uint64_t seed);

  // Starts calling. Returns false if it was already running.
  bool start(Time now);
  void stop();
  bool running() const { return running_; }
  // Cancels the call in flight and requests the complete list immediately, because the service has
  // moved or the known list may be stale.
  void restart(Time now);

  // Returns the step that is due now.
  Step due(Time now) const;
  // Returns the time at which the next step is due; Time::max() if there is none.
  Time next() const;

  // Starts a call and returns what to request. `connected`: whether the connection is already
  // established; otherwise on_connected() follows.
  Call begin(Time now, bool connected);
  void on_connected(Time now);
  // Records that bytes of the answer were received.
  void on_answer_bytes(Time now);
  // Records the version of the received answer. Returns whether its entries should be applied:
  // changes only if their version is newer, a complete list always.
  bool on_list(std::uint64_t seq, bool whole);
  // Records that the answer has been applied. Returns the duration of the call.
  Duration on_answered(Time now);
  // Records that the call has failed or was cancelled. Returns false if the owner has to call
  // start() again.
  bool on_failure(Time now, Failure failure);

 private:
  enum class Phase { kIdle, kConnecting, kWaiting, kReading };

  void call_at(Time at);
  void await_answer(Time now);
  Duration wait() const;
  Duration answer_timeout() const;

  const Mode mode_;
  RetrySchedule retries_;
  std::mt19937_64 random_;
  std::uint64_t seq_;
  bool complete_list_next_ = true;  // the next call requests the complete list
  bool running_ = false;
  bool was_rejected_ = false;   // whether the last call was rejected
  bool has_changes_ = false;    // whether the last answer was applied
  Phase phase_ = Phase::kIdle;  // phase of the call in flight
  Call call_;
  Time call_began_at_{0};
  Time answer_began_at_{0};
  Time call_at_ = Time::max();    // time of the next call, while none is in flight
  Time cancel_at_ = Time::max();  // when the call in flight is cancelled
};

}  // namespace balancer::recovery
