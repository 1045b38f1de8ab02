#include "node/program_settings.h"

#include <cstdio>
#include <stdexcept>

#include "node/endpoint_text.h"
#include "proto/seal.h"

namespace balancer::node {
namespace {

void print_platform(const Config& config) {
  std::printf("memcache on %s, cache hosts as listed by %s\n", text_of(config.listen).c_str(),
              text_of(config.discovery).c_str());
  if (config.admin) std::printf("operators on %s\n", text_of(*config.admin).c_str());
}

void print_listener(const RespListener& listener) {
  std::printf("RESP on %s, pool %s%s%s\n", listener.address.c_str(), listener.pool.c_str(),
              listener.require_auth ? ", with passwords" : "",
              listener.service.empty() ? "" : (", while " + listener.service + " is held").c_str());
}

void print_pool(const RespPool& pool) {
  std::printf("pool %s: up to %zu connections to the cluster of", pool.name.c_str(),
              pool.site.max_connections);
  for (const auto& seed : pool.cluster.seeds) std::printf(" %s", seed.c_str());
  std::printf("\n");
}

void print_group(const GroupSettings& group) {
  group::read_keys(group.key_file);
  std::printf("group: %s, datagrams on %s, state in %s, voters", group.name.c_str(),
              group.listen.c_str(), group.folder.c_str());
  for (const auto& voter : group.initial_voters.names) std::printf(" %s", voter.c_str());
  std::printf("\n");
  for (const auto& address : group.addresses)
    std::printf(
        "address %s: %s\n", address.name.c_str(),
        address.prefix ? "announced to routers" : ("claimed by " + address.claim.front()).c_str());
  if (!group.bgp) return;
  for (const auto& router : group.bgp->routers)
    std::printf("router %s of AS %u\n", router.address.c_str(), router.as);
}

}  // namespace

ProgramSettings load_settings(const std::string& operator_file) {
  ProgramSettings settings;
  OperatorSettings& operator_settings = settings.operator_settings;
  if (!operator_file.empty()) operator_settings = load_operator(operator_file);
  if (has_config()) {
    settings.config = load_config();
    operator_settings.process = {settings.config->name, "", settings.config->memory_mb,
                                 settings.config->sockets};
    return settings;
  }
  if (operator_file.empty())
    throw std::runtime_error("neither ROUTER_CONFIG is set nor --operator given");
  if (operator_settings.listeners.empty())
    throw std::runtime_error(operator_file + ": has no [[listener]], and ROUTER_CONFIG is not set");
  return settings;
}

void print_settings(const ProgramSettings& settings) {
  const OperatorSettings& operator_settings = settings.operator_settings;
  if (settings.config) print_platform(*settings.config);
  for (const auto& listener : operator_settings.listeners) print_listener(listener);
  for (const auto& pool : operator_settings.pools) print_pool(pool);
  if (operator_settings.group) print_group(*operator_settings.group);
  std::printf("limits: %zu MB, %zu descriptors\n", operator_settings.process.memory_mb,
              operator_settings.process.sockets);
}

}  // namespace balancer::node
