#include "dispatch/host_start_times.h"

namespace balancer {

void HostStartTimes::on_list(Time now, const HostList& list) {
  if (list.sent_at) estimator_.on_unix_time(now, *list.sent_at);
  for (const EndpointListEntry& host : list.hosts)
    if (host.started_at)
      estimator_.on_unix_time(now, *host.started_at + host.age.value_or(Duration{0}));
}

std::optional<HostStart> HostStartTimes::start_of(Time now, const EndpointListEntry& host) const {
  if (!host.started_at) return std::nullopt;
  const Time started = host.age ? now - *host.age : estimator_.started(now, *host.started_at);
  return HostStart{*host.started_at, started};
}

}  // namespace balancer
