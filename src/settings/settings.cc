#include "settings/settings.h"

#include <algorithm>

#include "settings/json.h"

namespace balancer {
namespace {

using namespace json;

Idempotency read_repeat(std::string_view word) {
  if (word == "read_like") return Idempotency::kIdempotent;
  return word == "idempotency_key" ? Idempotency::kIdempotencyKey
                                   : Idempotency::kNone;  // unknown: the strictest
}

DeduplicationScope read_scope(std::string_view word) {
  if (word == "all") return DeduplicationScope::kAll;
  return word == "zone" ? DeduplicationScope::kZone : DeduplicationScope::kCell;
}

std::vector<std::string> read_names(object o, std::string_view field) {
  std::vector<std::string> names;
  if (const auto list = find(o, field))
    for (const element e : as<array>(*list, field))
      names.emplace_back(as<std::string_view>(e, field));
  return names;
}

}  // namespace

SiteSettings read_settings(object o) {
  SiteSettings site;
  Settings& s = site.policy;
  for (const element e : need<array>(o, "classes")) {
    const auto c = as<object>(e, "classes");
    RequestClass k;
    k.latency_objective = get_time(c, "aim");
    k.deadline = get_time(c, "giveUp");
    k.idempotency = read_repeat(get_or<std::string_view>(c, "semantics", ""));
    k.scope = read_scope(get_or<std::string_view>(c, "keyScope", ""));
    k.deduplication_window = get_time(c, "keyTtl");
    s.classes.push_back(k);
    site.classes.emplace_back(get_or<std::string_view>(c, "name", ""));
  }
  if (s.classes.empty()) bad("classes", "is empty");
  if (const auto e = find(o, "tenants"))
    for (const element tenant : as<array>(*e, "tenants")) {
      const auto t = as<object>(tenant, "tenants");
      s.tenant_quotas.push_back(get_or(t, "quotaPerS", 0.0));
      site.tenants.emplace_back(get_or<std::string_view>(t, "name", ""));
    }
  s.balancers = std::max(1, small(get_or<std::int64_t>(o, "balancers", 1), "balancers"));
  site.zones = read_names(o, "localities");
  site.kinds = read_names(o, "kinds");
  if (const auto e = find(o, "specifics")) {
    const auto specifics = as<object>(*e, "specifics");
    s.cache_aside = get_or<std::string_view>(specifics, "mode", "") == "aside";
    site.origin_kind = get_or<std::int64_t>(specifics, "originKind", -1);
  }
  s.discovery_is_polled = get_or<std::string_view>(o, "discovery", "") == "on_request";
  const auto weights = get_or<std::string_view>(o, "weightSource", "");
  s.static_weights = weights == "nominal" || weights == "rough";
  if (const auto e = find(o, "policyLimits")) {
    const auto limits = as<object>(*e, "policyLimits");
    s.hedging = get_or(limits, "secondCopies", false);
    s.max_attempts = small(get_or<std::int64_t>(limits, "maxAttempts", 1), "maxAttempts");
    if (get_or(limits, "retryAfter", false)) s.max_retry_after = get_time(limits, "maxRetryAfter");
    site.connect_timeout = get_time(limits, "connectTimeout");
    site.idle_close = get_time(limits, "connIdle");
    site.streams_per_connection =
        std::max(1, small(get_or<std::int64_t>(limits, "streamsPerConn", 1), "streamsPerConn"));
    site.max_held = get_or<std::int64_t>(limits, "mostHeld", 0);
  }
  if (const auto e = find(o, "rules")) {
    const auto rules = as<object>(*e, "rules");
    s.max_poll_interval = get_time(rules, "mustAskIn");
    s.slow_start.warm_up_time = get_time(rules, "warmAfter");
    s.slow_start.start_capacity = get_or(rules, "startCapacity", 1.0);
  }
  return site;
}

}  // namespace balancer
