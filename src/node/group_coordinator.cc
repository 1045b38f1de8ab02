#include "node/group_coordinator.h"

#include <algorithm>
#include <chrono>
#include <exception>
#include <utility>

namespace balancer::node {
namespace {

// Time in which connections are closed after a lease was lost. Requests on them are rejected.
constexpr std::chrono::milliseconds kLostLeaseDrain{200};

}  // namespace

GroupCoordinator::GroupCoordinator(boost::asio::io_context& io, const Clock& clock,
                                   const GroupSettings& settings, Services& services,
                                   const Log& log)
    : clock_(clock),
      settings_(settings),
      services_(services),
      log_(log),
      runtime_(io, settings, true,
               group_runtime::GroupRuntime::Callbacks{
                   [this](const std::string& address) { return open_listeners(address); },
                   [this](const std::string& address, bool is_graceful) {
                     close_listeners(address, is_graceful);
                   },
                   [this] { return services_.have_hosts(); }, log}),
      status_(
          io, group_runtime::status_socket_path(settings),
          [this](const std::string& line, const std::function<void(const std::string&)>& answer) {
            runtime_.run_command(line, answer);
          },
          log) {}

void GroupCoordinator::leave(const DrainTimes& times) {
  drain_times_ = times;
  runtime_.leave(times.exit_at - clock_.now());
}

bool GroupCoordinator::open_listeners(const std::string& service_address) {
  if (drain_times_) return false;
  try {
    services_.for_each_listener_of(service_address,
                                   [](ClientListener& listener) { listener.open(); });
    return true;
  } catch (const std::exception& error) {
    log_("lease " + service_address + ": its listener cannot be opened: " + error.what());
    close_listeners(service_address, false);
    return false;
  }
}

void GroupCoordinator::close_listeners(const std::string& service_address, bool is_graceful) {
  const Duration graceful_drain =
      settings_.drain - std::min<Duration>(kLastRequestTime, settings_.drain / 2);
  Time last = clock_.now() + (is_graceful ? graceful_drain : Duration{kLostLeaseDrain});
  if (drain_times_) last = std::min(last, drain_times_->last_close);
  services_.for_each_listener_of(
      service_address, [last](ClientListener& listener) { listener.stop_and_drain(last); });
}

}  // namespace balancer::node
