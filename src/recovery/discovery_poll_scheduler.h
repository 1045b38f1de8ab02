#pragma once

#include <cstdint>
#include <random>

#include "recovery/retry_schedule.h"
#include "structures/time.h"

namespace balancer::recovery {

// When discovery is called, what it is asked for, and when a call in flight is cancelled. The bound
// that it keeps: a change is received within 6 s from when the service has it and can be reached,
// whatever became of the calls before, and, for a watch that hangs, 2 s after its wait if that is
// later; after discovery has moved to another address within 4 s. No I/O, no clock: times come with
// each call.
class DiscoveryPollScheduler {
 public:
  // kPushed: an agent nearby that answers at once, at no cost; this class calls it again after
  // failures. kOnRequest: one service for all that has to be polled; after a failure the owner says
  // when to call again.
  enum class Mode { kPushed, kOnRequest };
  // kBroken: the call ended without an answer. kRejected: it was answered with a rejection.
  enum class Failure { kBroken, kRejected };
  enum class Step { kNothing, kCall, kCancelCall };

  struct Call {
    // The complete list; else a watch for what is newer than `index`, for as long as `wait`.
    bool whole = true;
    std::uint64_t index = 0;
    Duration wait{0};
  };

  DiscoveryPollScheduler(Mode mode, std::uint64_t known_seq, std::uint64_t seed);

  // Starts calling. False if it was running.
  bool start(Time now);
  void stop();
  bool running() const { return running_; }
  // Cancels the call in flight, and asks for the complete list at once: the service has moved, or
  // what is known may be stale.
  void restart(Time now);

  // What is due now, and when something is due next; Time::max() if nothing is.
  Step due(Time now) const;
  Time next() const;

  // A call is sent, on an established connection or on one that has to be established first.
  Call begin(Time now, bool connected);
  void on_connected(Time now);
  // Bytes of its answer were received.
  void on_answer_bytes(Time now);
  // The answer holds this version. True if its entries are to be applied: versions are applied in
  // order, and a complete list always is.
  bool on_list(std::uint64_t seq, bool whole);
  // The answer to the call has been applied. Returns the call's duration.
  Duration on_answered(Time now);
  // The call has failed, or was cancelled. False where the owner has to call start() again.
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
  bool complete_list_next_ = true;  // the next call asks for the complete list
  bool running_ = false;
  bool was_rejected_ = false;   // the last call
  bool has_changes_ = false;    // the last answer was applied
  Phase phase_ = Phase::kIdle;  // of the call in flight
  Call call_;
  Time call_began_at_{0};
  Time answer_began_at_{0};
  Time call_at_ = Time::max();    // of the next call, while none is in flight
  Time cancel_at_ = Time::max();  // of the call in flight
};

}  // namespace balancer::recovery
