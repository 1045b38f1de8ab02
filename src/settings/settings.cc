#include "settings/settings.h"

#include <algorithm>

#include "settings/json.h"

namespace balancer {
namespace {

using namespace json;

Idempotency read_idempotency(std::string_view semantics) {
  if (semantics == "read_like") return Idempotency::kIdempotent;
  // Unknown values get the strictest treatment.
  return semantics == "idempotency_key" ? Idempotency::kIdempotencyKey : Idempotency::kNone;
}

DeduplicationScope read_scope(std::string_view key_scope) {
  if (key_scope == "all") return DeduplicationScope::kAll;
  return key_scope == "zone" ? DeduplicationScope::kZone : DeduplicationScope::kCell;
}

std::vector<std::string> read_names(object o, std::string_view field) {
  std::vector<std::string> names;
  if (const auto list = find(o, field))
    for (const element e : as<array>(*list, field))
      names.emplace_back(as<std::string_view>(e, field));
  return names;
}

RequestClass read_class(object c) {
  RequestClass request_class;
  request_class.latency_objective = get_time(c, "aim");
  request_class.deadline = get_time(c, "giveUp");
  request_class.idempotency = read_idempotency(get_or<std::string_view>(c, "semantics", ""));
  request_class.scope = read_scope(get_or<std::string_view>(c, "keyScope", ""));
  request_class.deduplication_window = get_time(c, "keyTtl");
  return request_class;
}

void read_classes(object o, SiteSettings& site) {
  for (const element e : require<array>(o, "classes")) {
    const auto c = as<object>(e, "classes");
    site.policy.classes.push_back(read_class(c));
    site.classes.emplace_back(get_or<std::string_view>(c, "name", ""));
  }
  if (site.policy.classes.empty()) throw_field_error("classes", "is empty");
}

void read_tenants(object o, SiteSettings& site) {
  const auto list = find(o, "tenants");
  if (!list) return;
  for (const element e : as<array>(*list, "tenants")) {
    const auto tenant = as<object>(e, "tenants");
    site.policy.tenant_quotas.push_back(get_or(tenant, "quotaPerS", 0.0));
    site.tenants.emplace_back(get_or<std::string_view>(tenant, "name", ""));
  }
}

void read_specifics(object o, SiteSettings& site) {
  const auto e = find(o, "specifics");
  if (!e) return;
  const auto specifics = as<object>(*e, "specifics");
  site.policy.cache_aside = get_or<std::string_view>(specifics, "mode", "") == "aside";
  site.origin_kind = get_or<std::int64_t>(specifics, "originKind", -1);
}

void read_limits(object o, SiteSettings& site) {
  const auto e = find(o, "policyLimits");
  if (!e) return;
  const auto limits = as<object>(*e, "policyLimits");
  Settings& policy = site.policy;
  policy.hedging = get_or(limits, "secondCopies", false);
  policy.max_attempts = bounded_int(get_or<std::int64_t>(limits, "maxAttempts", 1), "maxAttempts");
  if (get_or(limits, "retryAfter", false))
    policy.max_retry_after = get_time(limits, "maxRetryAfter");
  site.connect_timeout = get_time(limits, "connectTimeout");
  site.idle_close = get_time(limits, "connIdle");
  site.streams_per_connection =
      std::max(1, bounded_int(get_or<std::int64_t>(limits, "streamsPerConn", 1), "streamsPerConn"));
  site.max_open_requests = get_or<std::int64_t>(limits, "mostHeld", 0);
}

void read_rules(object o, Settings& policy) {
  const auto e = find(o, "rules");
  if (!e) return;
  const auto rules = as<object>(*e, "rules");
  policy.max_poll_interval = get_time(rules, "mustAskIn");
  policy.slow_start.warm_up_time = get_time(rules, "warmAfter");
  policy.slow_start.start_capacity = get_or(rules, "startCapacity", 1.0);
}

}  // namespace

// The only reader of the platform's field names; all other code uses the fields of SiteSettings.
SiteSettings read_settings(object o) {
  SiteSettings site;
  read_classes(o, site);
  read_tenants(o, site);
  site.policy.balancers =
      std::max(1, bounded_int(get_or<std::int64_t>(o, "balancers", 1), "balancers"));
  site.zones = read_names(o, "localities");
  site.kinds = read_names(o, "kinds");
  read_specifics(o, site);
  site.policy.discovery_is_polled = get_or<std::string_view>(o, "discovery", "") == "on_request";
  const auto weight_source = get_or<std::string_view>(o, "weightSource", "");
  site.policy.static_weights = weight_source == "nominal" || weight_source == "rough";
  read_limits(o, site);
  read_rules(o, site.policy);
  return site;
}

}  // namespace balancer
