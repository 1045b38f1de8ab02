#include "recovery/discovery_poll_scheduler.h"

#include <algorithm>
#include <utility>

namespace balancer::recovery {
namespace {

using std::chrono::milliseconds;

// A watch that has fallen silent looks like one with no news until its wait is over. Where a call
// costs nothing the wait is short, so that a drain is heard of well within its grace all the same.
constexpr milliseconds kPushedWait{1000};
constexpr milliseconds kRequestWait{5000};
// Of a watch behind one that was turned away: the service that is back may count its versions anew,
// and says so only at the end of the wait.
constexpr milliseconds kWaitAfterRefusal{2000};
// So long may pass without a sign of the service, behind the wait. A service that works through
// calls in turn may take its time-out of 2 s for a whole list; the answer to a watch costs it
// little, and there must be time for a call after one that is given up.
constexpr milliseconds kPushedPatience{500};
constexpr milliseconds kWholePatience{2000};
constexpr milliseconds kWatchPatience{1000};
// An answer that comes slowly is read for so long: a list of megabytes passes, and one that never
// ends leaves time for another call.
constexpr milliseconds kLongestAnswer{3000};
// A watch on request ends so long behind its wait, come what may.
constexpr milliseconds kLongestWatch{1500};
// A watch calls once a second where nothing happens. While discovery is away the fleet calls twice
// as often as that, and no more in any moment: what failed for one has most likely failed for all.
constexpr milliseconds kMinRetry{250};
constexpr milliseconds kMaxRetry{750};
// Answers that come at once and hold nothing new must not become a busy loop. The next call of a
// watch has 200 ms.
constexpr milliseconds kPause{50};

}  // namespace

DiscoveryPollScheduler::DiscoveryPollScheduler(Mode mode, std::uint64_t known_seq,
                                               std::uint64_t seed)
    : mode_(mode), retries_(kMinRetry, kMaxRetry), random_(seed), seq_(known_seq) {}

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
  whole_next_ = true;
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

Time DiscoveryPollScheduler::next() const {
  return phase_ == Phase::kIdle ? call_at_ : give_up_at_;
}

DiscoveryPollScheduler::Call DiscoveryPollScheduler::begin(Time now, bool connected) {
  call_ = {whole_next_, seq_, Duration{0}};
  if (!call_.whole) call_.wait = wait();
  begun_ = now;
  phase_ = Phase::kConnecting;
  give_up_at_ = now + patience();
  if (connected) await_answer(now);
  return call_;
}

Duration DiscoveryPollScheduler::wait() const {
  if (mode_ == Mode::kPushed) return kPushedWait;
  return was_rejected_ ? kWaitAfterRefusal : kRequestWait;
}

Duration DiscoveryPollScheduler::patience() const {
  if (mode_ == Mode::kPushed) return kPushedPatience;
  return call_.whole ? kWholePatience : kWatchPatience;
}

void DiscoveryPollScheduler::on_connected(Time now) {
  if (phase_ == Phase::kConnecting) await_answer(now);
}

void DiscoveryPollScheduler::await_answer(Time now) {
  phase_ = Phase::kWaiting;
  give_up_at_ = now + call_.wait + patience();
}

void DiscoveryPollScheduler::on_answer_bytes(Time now) {
  if (phase_ == Phase::kIdle) return;
  if (phase_ != Phase::kReading) answer_begun_ = now;
  phase_ = Phase::kReading;
  give_up_at_ = std::min(now + patience(), answer_begun_ + kLongestAnswer);
  if (mode_ == Mode::kOnRequest && !call_.whole)
    give_up_at_ = std::min(give_up_at_, begun_ + call_.wait + kLongestWatch);
}

bool DiscoveryPollScheduler::on_list(std::uint64_t seq, bool whole) {
  const bool counts = whole || seq > seq_;
  // A service that is behind what it has told counts its versions anew. A watch on the old version
  // would never hear of anything.
  whole_next_ = !whole && seq < seq_;
  if (counts) seq_ = seq;
  has_news_ = counts;
  return counts;
}

Duration DiscoveryPollScheduler::on_answered(Time now) {
  const Duration took = now - begun_;
  was_rejected_ = false;
  retries_.on_success();
  call_at(has_news_ || took > kPause ? now : now + kPause);
  return took;
}

bool DiscoveryPollScheduler::on_failure(Time now, Failure failure) {
  const bool was_silent_watch = phase_ != Phase::kIdle && !call_.whole && now >= give_up_at_;
  if (mode_ == Mode::kPushed) {
    // What the broken call would have told may have been told: the whole list leaves no doubt.
    whole_next_ = true;
    std::uniform_real_distribution<double> chance(0, 1);
    const double first = chance(random_), second = chance(random_);
    call_at(now + retries_.after_failure(first, second));
    return true;
  }
  was_rejected_ = failure == Failure::kRejected;
  // A service that counts its versions anew would keep a watch on the old one waiting for ever. The
  // whole list costs it more than changes do, so not where it only turned the call away.
  whole_next_ = whole_next_ || failure == Failure::kBroken;
  // Watches begin at different times, so that those which fell silent together do not end together.
  running_ = was_silent_watch;
  call_at(running_ ? now : Time::max());
  return running_;
}

}  // namespace balancer::recovery
