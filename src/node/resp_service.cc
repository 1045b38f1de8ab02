#include "node/resp_service.h"

#include <stdexcept>
#include <string>
#include <utility>

namespace balancer::node {
namespace {

Endpoint endpoint_of(const RespListener& settings) {
  const auto endpoint = parse_endpoint(settings.address);
  if (!endpoint)
    throw std::runtime_error("listener " + settings.name +
                             ": the address is not an IP address and port");
  return *endpoint;
}

SessionTimeouts session_times(const RespListener& settings) {
  return {settings.idle_close, settings.idle_close, settings.idle_close};
}

}  // namespace

RespService::RespService(boost::asio::io_context& io, const Clock& clock,
                         const RespListener& settings, const RespPool& pool_settings,
                         ClusterPool& pool, Limits& limits, ForwardingCheck may_forward)
    : settings_(settings),
      listener_(
          io, endpoint_of(settings), limits, clock, pool.servers(),
          [this] { return front_.make_handler(); }, session_times(settings),
          std::move(may_forward)),
      front_(settings, pool_settings, announced_address(), limits, pool.servers(),
             pool.router().table()) {}

std::string RespService::announced_address() {
  if (settings_.service.empty() && endpoint_of(settings_).port() == 0) listener_.open();
  if (!settings_.announce.empty()) return settings_.announce;
  const std::string host_and_colon = settings_.address.substr(0, settings_.address.rfind(':') + 1);
  return host_and_colon + std::to_string(listener_.local().port());
}

}  // namespace balancer::node
