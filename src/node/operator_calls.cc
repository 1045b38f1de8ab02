#include "node/operator_calls.h"

#include <chrono>
#include <utility>

namespace balancer::node {
namespace {

using std::chrono::milliseconds;

// The platform's clients look up their balancers every 100 ms and may open connections to this one
// for another 200 ms. From 2 s after the call, no connection may accept a request.
constexpr milliseconds kClientDrainFirst{300}, kClientDrainLast{1800};

std::string override_line(std::string_view host, bool out_of_service) {
  return "override " + std::string(host) + ": " +
         (out_of_service ? "out of service" : "back in service") + ", by an operator";
}

}  // namespace

bool OperatorCalls::override_host(std::string_view host, bool out_of_service) {
  MemcacheService* const memcache = services_.memcache();
  if (!memcache || !memcache->pool().set_out_of_service(host, out_of_service)) return false;
  log_(override_line(host, out_of_service));
  if (!hot_restart_) return true;
  const auto& all = memcache->pool().overrides();
  if (const auto at = all.find(host); at != all.end())
    hot_restart_->notify_peers(hot_restart::OperatorOverride{at->first, at->second.out_of_service,
                                                             clock_.now() - at->second.since});
  hot_restart_->persist_overrides(overrides());
  return true;
}

bool OperatorCalls::set_client_drain(bool enabled) {
  if (is_terminating_) return false;
  if (std::exchange(is_draining_clients_, enabled) == enabled) return true;
  log_(enabled ? "drain: clients are asked to reconnect elsewhere, by an operator"
               : "drain: clients are accepted again, by an operator");
  if (hot_restart_) hot_restart_->notify_peers(hot_restart::ClientDrain{enabled});
  if (services_.memcache()) services_.memcache()->front().set_client_drain(enabled);
  if (enabled) {
    drain_connections();
  } else {
    services_.for_each_listener([](ClientListener& listener) { listener.cancel_drain(); });
  }
  return true;
}

void OperatorCalls::drain_connections() {
  const Time now = clock_.now();
  services_.for_each_listener([now](ClientListener& listener) {
    listener.drain(now + kClientDrainFirst, now + kClientDrainLast);
  });
}

std::vector<hot_restart::OperatorOverride> OperatorCalls::overrides() const {
  std::vector<hot_restart::OperatorOverride> all;
  for (const auto& [host, in_force] : services_.memcache()->pool().overrides())
    all.push_back({host, in_force.out_of_service, clock_.now() - in_force.since});
  return all;
}

void OperatorCalls::restore(const hot_restart::OperatorOverride& restored) {
  services_.memcache()->pool().restore(restored.host,
                                       {restored.out_of_service, clock_.now() - restored.age});
}

void OperatorCalls::on_peer_override(const hot_restart::OperatorOverride& changed) {
  restore(changed);
  log_(override_line(changed.host, changed.out_of_service) + " at the other process");
}

}  // namespace balancer::node
