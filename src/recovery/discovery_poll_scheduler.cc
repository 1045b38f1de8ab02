#include "recovery/discovery_poll_scheduler.h"

#include <algorithm>
#include <utility>

namespace balancer::recovery {
namespace {

using std::chrono::milliseconds;

// A watch whose connection hangs looks like one without changes until its wait is over. Where a
// call costs nothing the wait is short, so that a drain is known well within its grace period.
constexpr milliseconds kPushedWait{1000};
constexpr milliseconds kRequestWait{5000};
// Of a watch after a rejected one: the service that is back may have restarted its versions, and
// says so only at the end of the wait.
constexpr milliseconds kWaitAfterRejection{2000};
// Time without a byte from the service, beyond the wait, after which a call is cancelled. A service
// that serves calls in turn may take its time-out of 2 s for a complete list; the answer to a watch
// costs it little, and there must be time for a call after a cancelled one.
constexpr milliseconds kPushedTimeout{500};
constexpr milliseconds kCompleteListTimeout{2000};
constexpr milliseconds kWatchTimeout{1000};
// An answer that comes slowly is read for so long: a list of megabytes passes, and one that never
// ends leaves time for another call.
constexpr milliseconds kMaxAnswerTime{3000};
// A watch of a polled service ends so long after its wait in any case.
constexpr milliseconds kMaxWatchOverrun{1500};
// A watch calls once a second where nothing happens. While discovery is away the fleet calls twice
// as often as that, and evenly: what failed for one balancer has most likely failed for all.
constexpr milliseconds kMinRetryInterval{250};
constexpr milliseconds kMaxRetryInterval{750};
// Answers that come at once and hold nothing new must not become a busy loop. The next call of a
// watch has 200 ms.
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
  if (!call_.whole) call_.wait = wait();
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
  return call_.whole ? kCompleteListTimeout : kWatchTimeout;
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
  if (mode_ == Mode::kOnRequest && !call_.whole)
    cancel_at_ = std::min(cancel_at_, call_began_at_ + call_.wait + kMaxWatchOverrun);
}

bool DiscoveryPollScheduler::on_list(std::uint64_t seq, bool whole) {
  const bool applies = whole || seq > seq_;
  // A service whose version is behind what it sent before has restarted its versions. A watch on
  // the old version would never receive a change.
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
  const bool was_hung_watch = phase_ != Phase::kIdle && !call_.whole && now >= cancel_at_;
  if (mode_ == Mode::kPushed) {
    // The service may take the changes of the failed call for sent: the complete list leaves no
    // doubt.
    complete_list_next_ = true;
    std::uniform_real_distribution<double> chance(0, 1);
    const double first = chance(random_), second = chance(random_);
    call_at(now + retries_.after_failure(first, second));
    return true;
  }
  was_rejected_ = failure == Failure::kRejected;
  // A service that has restarted its versions would keep a watch on the old one waiting forever.
  // The complete list costs it more than changes do, so not where it only rejected the call.
  complete_list_next_ = complete_list_next_ || failure == Failure::kBroken;
  // Watches begin at different times, so that those which hang together do not end together.
  running_ = was_hung_watch;
  call_at(running_ ? now : Time::max());
  return running_;
}

}  // namespace balancer::recovery
