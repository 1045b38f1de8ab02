#include "policy/tenant_quota.h"

#include <algorithm>
#include <numeric>

namespace balancer {
namespace {

constexpr double kArrivalMemorySeconds = 10;
// Time for which unused quota is kept, so that uneven traffic within the quota is not rejected.
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

// Returns this balancer's share of the tenant's quota, in requests per second. It is an equal
// share, scaled up if more than an equal share of all other tenants' requests arrives here: among
// hundreds of balancers some receive several times the mean and would otherwise reject requests
// that are within the quota. The tenant's own requests are not counted, so its own burst does not
// increase its share.
double TenantQuota::local_rate(int tenant, Time now) const {
  const double equal_share = quotas_[tenant] / balancers_;
  const double others = arrivals_.rate(now) - arrivals_by_tenant_[tenant].rate(now);
  const double others_equal_share = quota_sum_ / balancers_ - equal_share;
  return equal_share * (others_equal_share > 0 ? std::max(1.0, others / others_equal_share) : 1);
}

}  // namespace balancer
