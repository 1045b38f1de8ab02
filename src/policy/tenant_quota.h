#pragma once

#include <vector>

#include "structures/decaying_sum.h"
#include "structures/time.h"
#include "structures/token_bucket.h"

namespace balancer {

// Which requests lie within their tenants' quotas.
class TenantQuota {
 public:
  // `quotas`: requests per second over all of the `balancers`, by tenant.
  TenantQuota(const std::vector<double>& quotas, int balancers, Time now);

  // Counts a request of the tenant; whether it lies within the quota. Tenants without one always
  // do.
  bool admit(int tenant, Time now);

 private:
  double local_rate(int tenant, Time now) const;

  const std::vector<double> quotas_;  // requests per second
  const int balancers_;
  const double quota_sum_;
  std::vector<TokenBucket> buckets_;
  DecayingSum arrivals_;
  std::vector<DecayingSum> arrivals_by_tenant_;
};

}  // namespace balancer
