#include "dispatch/host_start_times.h"

namespace balancer {

void HostStartTimes::on_list(Time now, const HostList& list) {
  if (list.sent_at) estimator_.on_unix_time(now, *list.sent_at);
  for (const ListedHost& host : list.hosts)
    if (host.born) estimator_.on_unix_time(now, *host.born + host.age.value_or(Duration{0}));
}

std::optional<HostStart> HostStartTimes::start_of(Time now, const ListedHost& host) const {
  if (!host.born) return std::nullopt;
  const Time started = host.age ? now - *host.age : estimator_.started(now, *host.born);
  return HostStart{*host.born, started};
}

}  // namespace balancer
