#pragma once

#include <cstdint>
#include <random>

#include "recovery/retry_schedule.h"
#include "structures/time.h"

namespace balancer::recovery {

// When the service that lists the hosts is called, what it is asked for, and when a call that is
// out counts as silent. The bound that it keeps: a change is heard within 6 s from when the service
// has it and can be reached, whatever became of the calls before, and, for a watch that has fallen
// silent, 2 s after its wait if that is later; after a move to another address within 4 s. No I/O,
// no clock: times come with each call.
class DiscoveryPollScheduler {
 public:
  // kPushed: an agent nearby that answers at once, at no cost; this class calls it for ever.
  // kOnRequest: one service for all. After a failure its caller says when to call again.
  enum class Mode { kPushed, kOnRequest };
  // kBroken: the call ended without an answer. kRefused: it was answered, and turned away.
  enum class Failure { kBroken, kRejected };
  enum class Step { kNothing, kCall, kCancelCall };

  struct Call {
    bool whole = true;  // the whole list; else what is newer than `index`, for as long as `wait`
    std::uint64_t index = 0;
    Duration wait{0};
  };

  DiscoveryPollScheduler(Mode mode, std::uint64_t known_seq, std::uint64_t seed);

  // Calls from now on. False if it did already.
  bool start(Time now);
  void stop();
  bool running() const { return running_; }
  // Gives up the call that is out, and asks for the whole list at once: the service has moved, or
  // what is known may have become old.
  void restart(Time now);

  // What is due, and when the next thing is; Time::max() if nothing is.
  Step due(Time now) const;
  Time next() const;

  // A call goes out, on a connection that stands or on one that has to come up first.
  Call begin(Time now, bool connected);
  void on_connected(Time now);
  // Some bytes of its answer have come.
  void on_answer_bytes(Time now);
  // The answer holds this version. True if its entries count: versions are applied in their order,
  // and a whole list stands for itself.
  bool on_list(std::uint64_t seq, bool whole);
  // The answer to the call has been applied. Returns how long the call took.
  Duration on_answered(Time now);
  // The call has failed, also if it was given up. False where the caller has to call start() again.
  bool on_failure(Time now, Failure failure);

 private:
  enum class Phase { kIdle, kConnecting, kWaiting, kReading };

  void call_at(Time at);
  void await_answer(Time now);
  Duration wait() const;
  Duration patience() const;

  const Mode mode_;
  RetrySchedule retries_;
  std::mt19937_64 random_;
  std::uint64_t seq_;
  bool whole_next_ = true;  // the next call asks for the whole list
  bool running_ = false;
  bool was_rejected_ = false;   // the last call
  bool has_news_ = false;       // the last answer changed something
  Phase phase_ = Phase::kIdle;  // of the call that is out
  Call call_;
  Time begun_{0};
  Time answer_begun_{0};
  Time call_at_ = Time::max();     // while none is out
  Time give_up_at_ = Time::max();  // while one is
};

}  // namespace balancer::recovery
