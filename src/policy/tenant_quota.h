#pragma once

#include <vector>

#include "structures/decaying_sum.h"
#include "structures/time.h"
#include "structures/token_bucket.h"

namespace balancer {

// Checks requests against the quotas of their tenants.
class TenantQuota {
 public:
  // `quotas`: requests per second by tenant, summed over all `balancers`.
  TenantQuota(const std::vector<double>& quotas, int balancers, Time now);

  // Counts a request of the tenant and returns whether it is within the quota; always true for
  // tenants without a quota.
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
