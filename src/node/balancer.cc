#include "node/balancer.h"

#include <chrono>
#include <utility>

#include "node/memory_watch.h"

namespace balancer::node {
namespace {

// A process that has received no endpoint list after this time accepts clients without one.
constexpr std::chrono::milliseconds kMaxWaitForList{3000};

}  // namespace

Balancer::Balancer(boost::asio::io_context& io, const std::optional<Config>& config, Limits& limits,
                   OperatorSettings operator_settings, const Log& log)
    : io_(io),
      limits_(limits),
      log_(log),
      operator_settings_(std::move(operator_settings)),
      open_timer_(io) {
  if (config && config->admin) start_admin(*config);
  hot_restart::Predecessor predecessor = query_predecessor(config);
  services_ = std::make_unique<Services>(io, config, operator_settings_, clock_, limits,
                                         forwarding_checks(), log_);
  operator_calls_ = std::make_unique<OperatorCalls>(clock_, *services_, log_);
  if (admin_ && !config->folder.empty())
    hot_restart_ = std::make_unique<HotRestartCoordinator>(
        io, clock_, *config, limits, *services_, *operator_calls_, std::move(predecessor), log_);
  if (operator_settings_.group)
    group_ =
        std::make_unique<GroupCoordinator>(io, clock_, *operator_settings_.group, *services_, log_);
  drain_ = std::make_unique<DrainCoordinator>(io, clock_, *services_, hot_restart_.get(),
                                              group_.get(), [this] { stop(); });
  if (services_->memcache()) services_->memcache()->start_discovery();
  open_when_ready();
}

void Balancer::start_admin(const Config& config) {
  admin::Operations operations;
  operations.is_serving = [this] {
    return is_open_ && services_->memcache()->has_list() && !is_terminating_;
  };
  operations.statistics = [this] { return statistics_json(limits_); };
  operations.override_host = [this](std::string_view host, bool out_of_service) {
    return operator_calls_->override_host(host, out_of_service);
  };
  operations.set_client_drain = [this](bool enabled) {
    return operator_calls_->set_client_drain(enabled);
  };
  admin_ = std::make_unique<admin::AdminServer>(io_, *config.admin, std::move(operations));
}

hot_restart::Predecessor Balancer::query_predecessor(const std::optional<Config>& config) const {
  if (!admin_ || config->folder.empty()) return {};
  return hot_restart::query_predecessor(config->folder, config->name, log_);
}

Services::MakeForwardingCheck Balancer::forwarding_checks() {
  return [this](const std::string& service_address) -> ForwardingCheck {
    if (service_address.empty()) return {};
    return [this, service_address] { return group_ && group_->may_serve(service_address); };
  };
}

// While a predecessor serves, this process leaves the clients to it until it has an endpoint list.
void Balancer::open_when_ready() {
  if (!hot_restart_ || !hot_restart_->has_predecessor() || services_->memcache()->has_list())
    return open();
  services_->memcache()->set_on_first_list([this] { open(); });
  open_timer_.expires_after(kMaxWaitForList);
  open_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) open();
  });
}

void Balancer::open() {
  if (is_terminating_ || std::exchange(is_open_, true)) return;
  open_timer_.cancel();
  const bool reuse_port = admin_ != nullptr;
  services_->for_each_listener_of("", [this, reuse_port](ClientListener& listener) {
    Descriptor passed = hot_restart_ ? hot_restart_->take_socket(listener.local()) : Descriptor();
    if (!passed) return listener.open(reuse_port);
    listener.open(std::move(passed));
  });
  if (operator_calls_->is_draining_clients()) operator_calls_->drain_connections();
  if (hot_restart_) hot_restart_->serve();
}

// Applies during a drain too, because attempts of requests in flight still need the endpoint list.
void Balancer::reload(const Config& config) {
  if (services_->memcache()) services_->memcache()->move_discovery(config.discovery);
}

std::vector<std::string> Balancer::reload(const OperatorSettings& operator_settings) {
  if (group_) group_->reload();
  return operator_settings_.apply_reload(operator_settings);
}

void Balancer::drain(std::optional<Time> signalled_at) {
  if (std::exchange(is_terminating_, true)) return;
  operator_calls_->on_term();
  const DrainTimes times =
      drain_times(signalled_at.value_or(clock_.now()), services_->longest_deadline(kMaxDeadline));
  drain_->start(times);
  if (group_) group_->leave(times);
}

void Balancer::stop() {
  services_->stop();
  if (group_) group_->stop();
  if (hot_restart_) hot_restart_->stop();
  io_.stop();
}

}  // namespace balancer::node
