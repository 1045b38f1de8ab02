#include "policy/tenant_quota.h"

#include <algorithm>
#include <numeric>

namespace balancer {
namespace {

constexpr double kArrivalMemorySeconds = 10;
// Unused quota is kept for so long, so that an uneven stream is not taken for a surplus.
constexpr double kBurstSeconds = 5;
constexpr double kMinBurst = 3;  // requests

}  // namespace

TenantQuota::TenantQuota(const std::vector<double>& quotas, int balancers, Time now)
    : quotas_(quotas),
      balancers_(balancers),
      quota_sum_(std::accumulate(quotas.begin(), quotas.end(), 0.0)),
      buckets_(quotas.size(), TokenBucket(now)),
      arrivals_(kArrivalMemorySeconds, now),
      arrivals_by_tenant_(quotas.size(), arrivals_) {}

bool TenantQuota::admit(int tenant, Time now) {
  if (tenant < 0 || tenant >= static_cast<int>(quotas_.size())) return true;
  arrivals_.add(now, 1);
  arrivals_by_tenant_[tenant].add(now, 1);
  const double rate = local_rate(tenant, now);
  return buckets_[tenant].take(now, rate, std::max(kMinBurst, kBurstSeconds * rate));
}

// This balancer's part of the tenant's quota, in requests per second: an even one, or larger where
// more than an even part of all other tenants' requests arrives here. Among hundreds of balancers
// some see several times the mean and would reject what lies within the quota. A burst of the
// tenant's own does not raise it.
double TenantQuota::local_rate(int tenant, Time now) const {
  const double even = quotas_[tenant] / balancers_;
  const double others = arrivals_.rate(now) - arrivals_by_tenant_[tenant].rate(now);
  const double others_even = quota_sum_ / balancers_ - even;
  return even * (others_even > 0 ? std::max(1.0, others / others_even) : 1);
}

}  // namespace balancer
