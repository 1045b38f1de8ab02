#include "recovery/discovery_poll_scheduler.h"

#include <algorithm>
#include <utility>

namespace balancer::recovery {
namespace {

using std::chrono::milliseconds;

// A watch on a hung connection looks like a watch without changes until its wait has passed. In
// pushed mode, where calls cost nothing, the wait is short, so that a drain is received well within
// its grace period.
constexpr milliseconds kPushedWait{1000};
constexpr milliseconds kRequestWait{5000};
// Wait of a watch after a rejected one. The recovered service may have restarted its version
// numbers, which shows only at the end of the wait.
constexpr milliseconds kWaitAfterRejection{2000};
// Time without a byte from the service, in addition to the wait, after which a call is cancelled. A
// service that serves calls one at a time may take up to 2 s, its own time-out, for a complete
// list. The answer to a watch costs the service little, and after a cancelled call there must be
// time for another one.
constexpr milliseconds kPushedTimeout{500};
constexpr milliseconds kCompleteListTimeout{2000};
constexpr milliseconds kWatchTimeout{1000};
// Maximum time for reading a slow answer: enough for a list of megabytes, and short enough that an
// answer that never ends leaves time for another call.
constexpr milliseconds kMaxAnswerTime{3000};
// Maximum time that a watch of a polled service may take beyond its wait.
constexpr milliseconds kMaxWatchOverrun{1500};
// A watch without changes makes one call per second. While discovery is unavailable the fleet calls
// twice as often, spread evenly over time, since a failure most likely affects all balancers at
// once.
constexpr milliseconds kMinRetryInterval{250};
constexpr milliseconds kMaxRetryInterval{750};
// Minimum interval between calls, so that immediate answers without changes do not cause a busy
// loop. The next call of a watch has 200 ms.
constexpr milliseconds kMinCallInterval{50};

}  // namespace

DiscoveryPollScheduler::DiscoveryPollScheduler(Mode mode, std::uint64_t known_seq,
                                               std::uint64_t seed)
    : mode_(mode), retries_(kMinRetryInterval, kMaxRetryInterval), random_(seed), seq_(known_seq) {}

bool DiscoveryPollScheduler::start(Time now) {
  if (std::exchange(running_, true)) return false;
  call_at(now);
  return true;
}

void DiscoveryPollScheduler::stop() {
  running_ = false;
  call_at(Time::max());
}

void DiscoveryPollScheduler::restart(Time now) {
  complete_list_next_ = true;
  retries_.on_success();
  call_at(running_ ? now : Time::max());
}

void DiscoveryPollScheduler::call_at(Time at) {
  phase_ = Phase::kIdle;
  call_at_ = at;
}

DiscoveryPollScheduler::Step DiscoveryPollScheduler::due(Time now) const {
  if (now < next()) return Step::kNothing;
  return phase_ == Phase::kIdle ? Step::kCall : Step::kCancelCall;
}

Time DiscoveryPollScheduler::next() const { return phase_ == Phase::kIdle ? call_at_ : cancel_at_; }

DiscoveryPollScheduler::Call DiscoveryPollScheduler::begin(Time now, bool connected) {
  call_ = {complete_list_next_, seq_, Duration{0}};
  if (!call_.wants_complete_list) call_.wait = wait();
  call_began_at_ = now;
  phase_ = Phase::kConnecting;
  cancel_at_ = now + answer_timeout();
  if (connected) await_answer(now);
  return call_;
}

Duration DiscoveryPollScheduler::wait() const {
  if (mode_ == Mode::kPushed) return kPushedWait;
  return was_rejected_ ? kWaitAfterRejection : kRequestWait;
}

Duration DiscoveryPollScheduler::answer_timeout() const {
  if (mode_ == Mode::kPushed) return kPushedTimeout;
  return call_.wants_complete_list ? kCompleteListTimeout : kWatchTimeout;
}

void DiscoveryPollScheduler::on_connected(Time now) {
  if (phase_ == Phase::kConnecting) await_answer(now);
}

void DiscoveryPollScheduler::await_answer(Time now) {
  phase_ = Phase::kWaiting;
  cancel_at_ = now + call_.wait + answer_timeout();
}

void DiscoveryPollScheduler::on_answer_bytes(Time now) {
  if (phase_ == Phase::kIdle) return;
  if (phase_ != Phase::kReading) answer_began_at_ = now;
  phase_ = Phase::kReading;
  cancel_at_ = std::min(now + answer_timeout(), answer_began_at_ + kMaxAnswerTime);
  if (mode_ == Mode::kOnRequest && !call_.wants_complete_list)
    cancel_at_ = std::min(cancel_at_, call_began_at_ + call_.wait + kMaxWatchOverrun);
}

bool DiscoveryPollScheduler::on_list(std::uint64_t seq, bool whole) {
  const bool applies = whole || seq > seq_;
  // A version lower than an earlier one means that the service has restarted its version numbers. A
  // watch on the old version would never receive a change.
  complete_list_next_ = !whole && seq < seq_;
  if (applies) seq_ = seq;
  has_changes_ = applies;
  return applies;
}

Duration DiscoveryPollScheduler::on_answered(Time now) {
  const Duration took = now - call_began_at_;
  was_rejected_ = false;
  retries_.on_success();
  call_at(has_changes_ || took > kMinCallInterval ? now : now + kMinCallInterval);
  return took;
}

bool DiscoveryPollScheduler::on_failure(Time now, Failure failure) {
  const bool was_hung_watch =
      phase_ != Phase::kIdle && !call_.wants_complete_list && now >= cancel_at_;
  if (mode_ == Mode::kPushed) {
    // The service may assume that the changes of the failed call were delivered, so the complete
    // list is requested.
    complete_list_next_ = true;
    std::uniform_real_distribution<double> chance(0, 1);
    const double first = chance(random_), second = chance(random_);
    call_at(now + retries_.after_failure(first, second));
    return true;
  }
  was_rejected_ = failure == Failure::kRejected;
  // If the service has restarted its version numbers, a watch on the old version would wait
  // forever, so the complete list is requested. It costs the service more than changes do, so it is
  // not requested if the service only rejected the call.
  complete_list_next_ = complete_list_next_ || failure == Failure::kBroken;
  // Watches of different balancers start at different times, so watches that hang at the same time
  // do not end at the same time, and a hung watch can be repeated without a delay.
  running_ = was_hung_watch;
  call_at(running_ ? now : Time::max());
  return running_;
}

}  // namespace balancer::recovery
