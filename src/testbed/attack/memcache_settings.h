#pragma once

#include <string>

namespace balancer::testbed::attack {

// The `settings` of a balancer under attack: the classes, times and policy limits of the example on
// the platform's wire page.
inline constexpr char kMemcacheSettings[] = R"({"balancers":2,"classes":[
  {"name":"rate-lookup","aim":300000000,"giveUp":750000000,"semantics":"read_like"},
  {"name":"quote-save","aim":1500000000,"giveUp":5000000000,"semantics":"idempotency_key",
   "keyScope":"all","keyTtl":10000000000},
  {"name":"booking-confirm","aim":2500000000,"giveUp":6000000000,"semantics":"non_idempotent"}],
  "tenants":[{"name":"indus-cargo","quotaPerS":72.0},{"name":"ravi-logistics","quotaPerS":72.0}],
  "localities":["lhr-gulberg","lhr-johar"],"kinds":["std","slow","origin"],
  "specifics":{"mode":"aside","originKind":2},"discovery":"pushed","weightSource":"nominal",
  "rules":{"drainGrace":2000000000,"mustAskIn":10000000000,"startCapacity":0.16,
    "warmAfter":22000000000},
  "policyLimits":{"secondCopies":true,"maxAttempts":6,"connectTimeout":150000000,
    "connIdle":15000000000,"streamsPerConn":32,"mostHeld":280070,"retryAfter":true,
    "maxRetryAfter":2000000000,"mayProbe":true}})";

// Returns the platform's file of a balancer with these settings.
std::string memcache_config(const std::string& listen, const std::string& discovery, int memory_mb,
                            int sockets);

}  // namespace balancer::testbed::attack
