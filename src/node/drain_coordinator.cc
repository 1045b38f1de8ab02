#include "node/drain_coordinator.h"

#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

namespace balancer::node {
namespace {

constexpr std::chrono::milliseconds kTick{10};

}  // namespace

DrainCoordinator::DrainCoordinator(boost::asio::io_context& io, const Clock& clock,
                                   Services& services, HotRestartCoordinator* hot_restart,
                                   GroupCoordinator* group, std::function<void()> on_drained)
    : io_(io),
      clock_(clock),
      services_(services),
      hot_restart_(hot_restart),
      group_(group),
      on_drained_(std::move(on_drained)),
      timer_(io) {}

void DrainCoordinator::start(const DrainTimes& times) {
  times_ = times;
  if (hot_restart_) hot_restart_->on_term();
  services_.for_each_pool([this](ServerPool& pool) { pool.drain(times_.fail_at); });
  services_.for_each_listener(
      [this](ClientListener& listener) { listener.drain(times_.first_close, times_.last_close); });
  arm_tick();
}

void DrainCoordinator::arm_tick() {
  timer_.expires_after(kTick);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) on_tick();
  });
}

void DrainCoordinator::on_tick() {
  const Time now = clock_.now();
  const Progress progress = advance(now);
  if (!is_finished(now, progress)) return arm_tick();
  // Posted, so that answers from the current iteration of the event loop are written first.
  boost::asio::post(io_, on_drained_);
}

DrainCoordinator::Progress DrainCoordinator::advance(Time now) {
  Progress progress;
  if (!has_serving_successor()) stop_accepting(now, progress);
  services_.for_each_listener(
      [&progress](ClientListener& listener) { progress.sessions += listener.sessions(); });
  // Fails the requests whose deadline is after the exit of the process.
  if (now >= times_.fail_at) {
    services_.for_each_pool([](ServerPool& pool) { pool.fail_open_requests(); });
    services_.for_each_listener([](ClientListener& listener) { listener.reject_unread(); });
  }
  return progress;
}

// The listeners of a service address accept until the address is released, as its clients know no
// other place to connect to, but not beyond the time at which their requests can be answered.
void DrainCoordinator::stop_accepting(Time now, Progress& progress) {
  const auto stop = [&progress](ClientListener& listener) {
    progress.has_unaccepted = !listener.stop() || progress.has_unaccepted;
  };
  if (now >= times_.last_close) {
    services_.for_each_listener(stop);
  } else if (now >= times_.accepts_until) {
    services_.for_each_listener_of("", stop);
  }
}

bool DrainCoordinator::is_finished(Time now, const Progress& progress) const {
  if (now >= times_.exit_at) return true;
  const bool accepts_no_more = now >= times_.accepts_until || has_serving_successor();
  return accepts_no_more && progress.sessions == 0 && !progress.has_unaccepted &&
         (!group_ || group_->has_left()) && (!hot_restart_ || hot_restart_->is_flushed());
}

}  // namespace balancer::node
