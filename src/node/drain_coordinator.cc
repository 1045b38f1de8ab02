#include "node/drain_coordinator.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

#include "node/drain_times.h"

namespace balancer::node {
namespace {

using std::chrono::milliseconds;

// The platform sends new connections for up to 400 ms after the signal, and kills the process at
// the earliest 700 ms after the longest deadline, which is 3 s at most.
// With a group, the drain starts after GroupRuntime::leave(), which completes up to a lease and an
// overlap after the signal.
constexpr milliseconds kAcceptTime{600};
constexpr milliseconds kMaxDeadline{3000};
// Times after the longest deadline at which open requests fail and at which the process exits.
constexpr milliseconds kAnswerGrace{400}, kExitGrace{550};
constexpr milliseconds kTick{10};
// The first connections are closed after the longest deadline divided by this.
constexpr int kFirstCloseDivisor = 2;

}  // namespace

DrainCoordinator::DrainCoordinator(boost::asio::io_context& io, const Clock& clock,
                                   Services& services, HotRestartCoordinator* hot_restart,
                                   std::function<void()> on_drained)
    : io_(io),
      clock_(clock),
      services_(services),
      hot_restart_(hot_restart),
      on_drained_(std::move(on_drained)),
      timer_(io) {}

void DrainCoordinator::start() {
  started_at_ = clock_.now();
  longest_deadline_ = services_.longest_deadline(kMaxDeadline);
  if (hot_restart_) hot_restart_->on_term();
  services_.for_each_pool(
      [this](ServerPool& pool) { pool.drain(started_at_ + longest_deadline_ + kAnswerGrace); });
  const Time last =
      started_at_ + std::max<Duration>(longest_deadline_ - kLastRequestTime, kAcceptTime);
  const Time first = std::min<Time>(started_at_ + longest_deadline_ / kFirstCloseDivisor, last);
  services_.for_each_listener(
      [first, last](ClientListener& listener) { listener.drain(first, last); });
  arm_tick();
}

void DrainCoordinator::arm_tick() {
  timer_.expires_after(kTick);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) on_tick();
  });
}

void DrainCoordinator::on_tick() {
  const Duration elapsed = clock_.now() - started_at_;
  const Progress progress = advance(elapsed);
  if (!is_finished(elapsed, progress)) return arm_tick();
  // Posted, so that answers from the current iteration of the event loop are written first.
  boost::asio::post(io_, on_drained_);
}

DrainCoordinator::Progress DrainCoordinator::advance(Duration elapsed) {
  Progress progress;
  services_.for_each_listener([&](ClientListener& listener) {
    if (elapsed >= kAcceptTime && !has_serving_successor())
      progress.has_unaccepted = !listener.stop() || progress.has_unaccepted;
    progress.sessions += listener.sessions();
  });
  // Fails the requests whose deadline is after the exit of the process.
  if (elapsed >= longest_deadline_ + kAnswerGrace) {
    services_.for_each_pool([](ServerPool& pool) { pool.fail_open_requests(); });
    services_.for_each_listener([](ClientListener& listener) { listener.reject_unread(); });
  }
  return progress;
}

bool DrainCoordinator::is_finished(Duration elapsed, const Progress& progress) const {
  if (elapsed >= longest_deadline_ + kExitGrace) return true;
  const bool accepts_no_more = elapsed >= kAcceptTime || has_serving_successor();
  return accepts_no_more && progress.sessions == 0 && !progress.has_unaccepted &&
         (!hot_restart_ || hot_restart_->is_flushed());
}

}  // namespace balancer::node
