#include "policy/policy.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace balancer {
namespace {

using std::chrono::milliseconds;

// Half of the shortest aim is left for the cache's answer and the way.
constexpr double kTargetShare = 0.5;
// Work sent lately is summed with this decay; it only needs to span a few requests a host.
constexpr double kWorkMemory = 10;
// Retry budget: further attempts at caches may come to a tenth of the requests, as is usual, with a
// few in hand for a quiet balancer.
constexpr double kRetryShare = 0.1;
constexpr double kRetryDepth = 5;
// A key is hot when it alone asks for this share of what a host carries on average.
constexpr double kHotShare = 0.5;
// The fleet is strained when this share of the last answers (about as many as given) was slow.
constexpr double kStrained = 0.25;
constexpr double kStrainSamples = 32;
// More attempts than this get no connection: it is not a few hosts that are away.
constexpr double kShortOfConnections = 0.05;
// A tenant's unused share is kept this long, so that an uneven stream is not taken for a surplus.
constexpr double kQuotaSeconds = 5;
constexpr double kMinQuotaDepth = 3;
// As many failures in a row make a zone count as cut off: with every second attempt failing for
// other reasons, one run of them in 256.
constexpr int kZoneFailures = 8;
// Beyond this share of slow answers, of 1 s, it is not single hosts that are slow but the caches.
constexpr Duration kMaxSlow = milliseconds(300);
constexpr int kMaxShed = 3;  // ring points that may hand a key on
constexpr Duration kDemandPeriod = std::chrono::seconds(15);
constexpr Duration kFirstCallBackoff = milliseconds(250);
constexpr Duration kMaxCallBackoff = milliseconds(2000);  // a change is heard of within 6 s
constexpr Duration kResendBackoff = milliseconds(50);
// Who is to stay away does so for about this long: longer than most clients' time for one answer.
constexpr Duration kStayAway = milliseconds(2000);

Duration origin_target(const Settings& settings) {
  Duration shortest = Duration::max();
  for (const RequestClass& c : settings.classes) shortest = std::min(shortest, c.latency_objective);
  return from_seconds(kTargetShare * std::min(seconds(shortest), 3600.0));
}

}  // namespace

Policy::Policy(const Settings& settings, std::uint64_t seed, Time now, ActionSink& sink,
               Placement* placement)
    : settings_(settings),
      sink_(sink),
      random_(seed),
      now_(now),
      // Gates that sample in step across the fleet would all close and reopen together.
      gate_(origin_target(settings), now - from_seconds(0.5 * uniform())),
      cache_gate_(kMaxSlow, now - from_seconds(0.5 * uniform())),
      placement_(placement ? *placement : ring_),
      host_registry_(settings.static_weights, settings.cold.warm_after),
      demand_(kDemandPeriod, now),
      cache_work_(kWorkMemory, now),
      retry_budget_(kRetryDepth),
      arrivals_(kWorkMemory, now),
      arrivals_by_tenant_(settings.tenant_quotas.size(), arrivals_),
      quota_sum_(
          std::accumulate(settings.tenant_quotas.begin(), settings.tenant_quotas.end(), 0.0)) {
  // Full; the first request brings them down to their depth.
  quotas_.assign(settings_.tenant_quotas.size(), TokenBucket(now));
  // Balancers that start together must not all call the list at once.
  if (settings_.discovery_is_polled)
    timer(now + from_seconds(seconds(settings_.max_poll_interval) / 10 * uniform()),
          TimerKind::kSubscribe);
}

double Policy::uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }

std::uint64_t Policy::timer(Time at, TimerKind kind, RequestId id) {
  const std::uint64_t tag = timers_.push({kind, id});
  sink_.set_timer(at, tag);
  return tag;
}

// ---- the host list

void Policy::on_hosts(Time now, ListKind kind, const std::vector<HostEntry>& entries) {
  now_ = now;
  if (kind == ListKind::kRejected) {
    // Calling again at once, and in step with others, would keep the list service down.
    const double most = seconds(
        std::clamp(settings_.max_poll_interval / 4, kFirstCallBackoff * 4, kMaxCallBackoff));
    const double base = seconds(kFirstCallBackoff) * std::pow(2.0, std::min(rejected_calls_++, 10));
    timer(now + from_seconds(std::min(base, most) * (0.5 + uniform() / 2)), TimerKind::kSubscribe);
    return;
  }
  rejected_calls_ = 0;
  heed(host_registry_.on_list(kind, entries));
}

void Policy::heed(const std::vector<HostRegistry::HostChange>& news) {
  using Kind = HostRegistry::HostChange::Kind;
  health_.resize(host_registry_.size());
  std::vector<Placement::Member> joined;
  std::set<HostIndex> left;
  for (const auto& [kind, index, at] : news) {
    const Host& host = host_registry_[index];
    if (kind == Kind::kStarted || kind == Kind::kCalledBack) health_[index].on_start(at, uniform());
    if (kind == Kind::kOlder) health_[index].on_older(at);
    if (kind == Kind::kTakenOut || kind == Kind::kCalledBack) sink_.close_idle(host.id);
    if (kind == Kind::kJoined) joined.push_back({index, host.id, host.weight});
    if (kind == Kind::kForgotten) health_[index] = {};
    if (kind != Kind::kLeft) continue;
    if (std::erase_if(joined, [i = index](const auto& m) { return m.host == i; }) == 0)
      left.insert(index);
  }
  if (!left.empty()) placement_.erase(left);
  placement_.insert(joined);
}

bool Policy::on_maintenance(Time now, std::string_view id, bool out) {
  if (!host_registry_.may_speak_of(now, id)) return false;
  if (host_registry_.differs(id, out)) restore(now, id, {out, now});
  return true;
}

void Policy::restore(Time now, std::string_view id, OperatorOverride word) {
  now_ = now;
  heed(host_registry_.restore(id, word));
}

Policy::PolicyCheckpoint Policy::checkpoint(Time now) const {
  PolicyCheckpoint all{
      cache_work_.rate(now), gate_.admit_fraction(), cache_gate_.admit_fraction(), {}};
  for (HostIndex i = 0; i < host_registry_.size(); ++i)
    if (const double share = health_[i].share(now); share < 1)
      all.shares.emplace_back(host_registry_[i].id, share);
  return all;
}

// Begun blank it would give cold hosts nothing at first, and slow ones and the origin too much.
void Policy::restore(Time now, const PolicyCheckpoint& from) {
  cache_work_.add(now, from.work_rate * kWorkMemory);
  gate_.resume(from.origin);
  cache_gate_.resume(from.caches);
  for (const auto& [id, share] : from.shares)
    if (const auto listed = host_registry_.find(id)) health_[*listed].resume(now, share);
}

// ---- the four rules

// No effect twice: a second run of an unsafe request, or of a keyed one where no host remembers the
// first, would book or charge again.
bool Policy::retry_allowed(const RequestState& r, const Host& host) const {
  const RequestClass& c = class_of(r);
  if (!settings_.hedging && r.in_flight() > 0) return false;
  if (c.idempotency == Idempotency::kIdempotent) return true;
  for (const AttemptRecord& a : r.attempts) {
    if (a.state == AttemptState::kNeverRan || a.state == AttemptState::kMissed) continue;
    if (c.idempotency == Idempotency::kNone) return false;
    const Host& first = host_registry_[a.host];
    if (c.scope == DeduplicationScope::kZone && first.zone != host.zone) return false;
    if (c.scope == DeduplicationScope::kCell &&
        (first.cell != host.cell || first.zone != host.zone))
      return false;
    if (now_ >= a.sent_at + c.deduplication_window) return false;
  }
  return true;
}

// A refusal tells the client that a retry does no harm.
bool Policy::rejection_allowed(const RequestState& r) const {
  const RequestClass& c = class_of(r);
  if (c.idempotency == Idempotency::kIdempotent) return true;
  if (c.idempotency == Idempotency::kIdempotencyKey && c.scope == DeduplicationScope::kAll)
    return true;
  return r.in_flight() + r.count(AttemptState::kMayHaveRun) == 0;
}

bool Policy::send(RequestState& r, HostIndex index, Time until) {
  const Host& host = host_registry_[index];
  if (r.finished || r.is_streaming || now_ >= r.deadline) return false;  // answered once
  if (static_cast<int>(r.attempts.size()) - r.withdrawn_attempts >= settings_.max_attempts)
    return false;
  if (!host.takes_new()) return false;        // drains
  if (!retry_allowed(r, host)) return false;  // no effect twice
  if (!may_take(r, index)) return false;      // cold hosts
  host_registry_.hold(index);
  health_[index].take(r.work);
  health_[index].on_sent(now_);
  r.attempts.push_back({index, now_});
  if (host.origin) gate_.on_sent(now_);
  sink_.send(r.id, host.id, std::min(until, r.deadline));
  return true;
}

void Policy::finish(RequestState& r) {
  if (r.finished || r.is_streaming) return;
  r.finished = true;
  if (rejection_allowed(r)) {
    sink_.reject(r.id, retry_after(r));
  } else {
    sink_.fail(r.id);
  }
}

// Clients that come back into an overload feed it, and those that come back late in their time do
// so for nothing: half a second for all cost a tenth of what diesel-surge's lookups can be worth.
// So as many are called back soon, within any aim, as the gates would let in, and the rest are to
// stay away until it is over. In step they would be the next overload.
Duration Policy::retry_after(const RequestState& r) {
  const double room =
      r.exceeds_quota ? 0 : std::min(gate_.admit_fraction(), cache_gate_.admit_fraction());
  const Duration wait = uniform() < room ? gate_.target() : kStayAway;
  return std::min(from_seconds(seconds(wait) * (0.5 + uniform())), settings_.max_retry_after);
}

// Cold hosts. Pushed over, one falls and stays down. The measure is what this balancer gives hosts
// of the same size; if each keeps to it, all together load a cold host like a warm one.
bool Policy::may_take(const RequestState& r, HostIndex index) {
  const Host& host = host_registry_[index];
  if (host.origin) return true;
  const double normal = host_registry_.weight() > 0
                            ? cache_work_.rate(now_) * host.weight / host_registry_.weight()
                            : 0;
  return health_[index].may_take(now_, settings_.cold, r.work, normal);
}

// ---- the life of a request

void Policy::on_request(Time now, const Request& q) {
  now_ = now;
  const RequestClass& c = settings_.classes[q.request_class];
  RequestState& r = requests_[q.id];
  r.id = q.id;
  r.request_class = q.request_class;
  r.key = q.key ? placement_.point(*q.key) : mix(q.id, 0);
  r.write = q.write;
  if (q.work) mean_work_ += 0.01 * (seconds(*q.work) - mean_work_);
  r.work = q.work ? std::max(seconds(*q.work), 0.0) : mean_work_;
  r.objective_at = now + c.latency_objective;
  r.deadline = now + q.time_left;
  r.deadline_timer = timer(r.deadline, TimerKind::kDeadline, r.id);
  retry_budget_ = std::min(retry_budget_ + kRetryShare, kRetryDepth);
  // One tenant's burst would jam the hosts for all, for the little its surplus is worth. Where
  // there is room it is served.
  r.exceeds_quota = !within_share(q.tenant) && strain_ > kStrained;
  if (r.exceeds_quota) {
    give_up(r);
  } else if (q.write && settings_.cache_aside) {
    send_write(r);
  } else {
    gate_.on_read(now);
    demand_.add(r.key, now);
    // Among hundreds of balancers each sees too little of any one host to judge it. Where most
    // answers of all are slow, what none of the jammed hosts can answer in time must not reach
    // them.
    cache_gate_.on_read(now);
    if (cache_gate_.admit(now)) {
      ask_cache(r);
    } else {
      bypass(r);
    }
  }
  erase_if_done(q.id);
}

// The ordinary path: the key's owner on the ring, or the next point where the owner is away,
// ejected, still cold for this key, or has failed this request before.
void Policy::ask_cache(RequestState& r, std::optional<HostIndex> stored_at) {
  // Time-outs and full queues that each bring another attempt multiply the load that caused them.
  // The next point of a key that is not hot would most likely miss, so a wide open origin is asked
  // at once. A follower that asks again after a fetch is no retry.
  // Where a connection broke, the host and its copy are still there, as long as it is not ejected:
  // the key's owner is asked once more. No budget holds that back, since it is no sign of load and
  // comes once a request; where hosts break off because they are full it would double what they
  // get, until three in a row eject them.
  const bool broke = r.attempts.size() == 1 && r.attempts.back().connection_failed;
  // A host that names another has done no work and shows no load.
  const bool retry = !r.attempts.empty() && r.attempts.back().state != AttemptState::kMissed &&
                     !broke && !r.attempts.back().host_did_no_work;
  const std::size_t points = replicas(r.key);
  if (retry && (retry_budget_ < 1 || (points == 1 && gate_.admits_all()))) return bypass(r);
  std::optional<HostIndex> choice, ejected;
  std::size_t ejected_count = 0;
  int shed = 0;
  // A hot key overwhelms a single owner however many hosts there are, so its requests are spread
  // over the next points, enough of them to bring each one's part down to an ordinary share.
  auto skip = retry ? 0 : static_cast<std::size_t>(uniform() * static_cast<double>(points));
  auto accept = [&](HostIndex i) {
    const Host& host = host_registry_[i];
    HostHealth& health = health_[i];
    if (!host.takes_new() || !retry_allowed(r, host)) return false;
    for (const AttemptRecord& a : r.attempts)
      if (a.host == i && a.state != AttemptState::kMissed && !a.host_did_no_work && !broke)
        return false;
    // Slow start key by key: each key comes back once, as the host warms, and the rest stay where
    // they are cached.
    // A host too slow for its keys hands some on in the same manner: at every balancer the same
    // ones, so that the next point has them cached.
    const double rank = static_cast<double>(mix(r.key, stable_hash(host.id)) >> 11) * 0x1p-53;
    if (rank >= health.warmth(now_, settings_.cold) || !may_take(r, i)) return false;
    // All requests of a hot key going one way would leave a host jammed by it alone, or the key
    // refused while other hosts idle: of those each host hands on a part. So too where keys are
    // pinned: nothing is cached elsewhere, and the same ones would be refused again and again.
    if ((points > 1 || placement_.pinned() ? uniform() : rank) >= health.share(now_))
      return !choice && ++shed == kMaxShed;
    // What is stuck there shows a hung or swamped host long before its time-outs do: nothing more
    // goes there until it answers or they end.
    if (health.ejected(now_) || health.stuck(now_, gate_.target()) ||
        zones_[host.zone].health.ejected(now_)) {
      if (!ejected) ejected = i;
      // With most hosts ejected it is the judgement that has failed, not the hosts.
      return 2 * ++ejected_count > host_registry_.size();
    }
    choice = i;
    return stored_at ? i == *stored_at : skip-- == 0;
  };
  placement_.walk(r.key, r.id, accept);
  // Where one point after another is too slow for the key, the fleet is overloaded. Further points
  // would miss and load the origin too; an early refusal costs the least.
  if (!choice && shed == kMaxShed) return bypass(r);
  if (!choice) choice = ejected;
  if (!choice) {
    if (settings_.cache_aside && !r.write) return fetch(r);
    return give_up(r);
  }
  if (!send(r, *choice, r.deadline)) return give_up(r);
  if (retry) retry_budget_ -= 1;
  cache_work_.add(now_, r.work);
  r.slow_timer = timer(now_ + patience(r), TimerKind::kSlow, r.id);
}

// How many hosts share the key's requests. One standard deviation is taken off the count and as
// many requests as there are ordinary parts are added to the total, so that a chance repeat, or the
// first one after a start, does not make a key hot.
std::size_t Policy::replicas(std::uint64_t key) {
  const auto n = static_cast<double>(demand_.count(key));
  const double parts = static_cast<double>(host_registry_.size()) / kHotShare;
  const double share = (n - std::sqrt(n)) / (static_cast<double>(demand_.total()) + parts);
  return static_cast<std::size_t>(std::max(1.0, std::ceil(share * parts)));
}

// Whether the request lies within its tenant's share. This balancer's part of that is an even one,
// or larger where the front gives it more of all others' requests than an even part: among hundreds
// some see several times the mean, and would turn away what nobody has too much of. A burst of the
// tenant's own does not raise it.
bool Policy::within_share(int tenant) {
  if (tenant < 0 || tenant >= static_cast<int>(quotas_.size())) return true;
  arrivals_.add(now_, 1);
  arrivals_by_tenant_[tenant].add(now_, 1);
  const double even = settings_.tenant_quotas[tenant] / settings_.balancers;
  const double others = arrivals_.rate(now_) - arrivals_by_tenant_[tenant].rate(now_);
  const double others_even = quota_sum_ / settings_.balancers - even;
  const double rate = even * (others_even > 0 ? std::max(1.0, others / others_even) : 1);
  return quotas_[tenant].take(now_, rate, std::max(kMinQuotaDepth, kQuotaSeconds * rate));
}

void Policy::record_latency(HostIndex host, bool slow) {
  health_[host].on_answer(now_, slow);
  strain_ += (slow - strain_) / kStrainSamples;
  cache_gate_.on_sample(now_, slow ? 1 : 0);
}

// How long a cache may take before it counts as slow: the origin's target, for the same reason, and
// what the request itself needs, on a host of half the usual speed.
Duration Policy::patience(const RequestState& r) const {
  return gate_.target() + from_seconds(2 * r.work);
}

// After a miss. One fetch of a key is out at a time; the others wait for it and ask the cache
// again.
void Policy::fetch(RequestState& r) {
  const auto it = fetches_.find(r.key);
  if (it != fetches_.end() && it->second.leader != r.id) {
    if (!r.awaits_fetch) it->second.followers.push_back(r.id);
    r.awaits_fetch = true;
    return;
  }
  if (!send_metered(r)) return give_up(r);
  fetches_.try_emplace(r.key, Fetch{r.id, {}});
}

// A request for which the caches have no room. As long as the gate is wide open the origin has
// some, and to refuse would waste it. Such a fetch is stored nowhere, so nothing waits for it.
void Policy::bypass(RequestState& r) {
  if (!settings_.cache_aside || r.write || !gate_.admits_all() || !send_metered(r)) give_up(r);
}

bool Policy::send_metered(RequestState& r) {
  const auto target = host_registry_.origin();
  // Where not all can be fetched the turn is for one whose answer may yet come within its aim.
  if (!gate_.admits_all() && now_ + gate_.target() >= r.objective_at) return false;
  return target && gate_.admit(now_) && send(r, *target, r.deadline);
}

void Policy::settle_fetch(const RequestState& leader, bool stored) {
  const auto it = fetches_.find(leader.key);
  if (it == fetches_.end() || it->second.leader != leader.id) return;
  std::optional<HostIndex> stored_at;
  for (const AttemptRecord& a : leader.attempts)
    if (a.state == AttemptState::kMissed && !stored_at) stored_at = a.host;
  const std::vector<RequestId> followers = std::move(it->second.followers);
  fetches_.erase(it);
  for (const RequestId id : followers) {
    const auto at = requests_.find(id);
    if (at == requests_.end() || at->second.finished) continue;
    at->second.awaits_fetch = false;
    if (stored) {
      ask_cache(at->second, stored_at);
    } else {
      fetch(at->second);  // the first of them leads the next try
    }
    erase_if_done(id);
  }
}

void Policy::send_write(RequestState& r) {
  if (const auto target = host_registry_.origin(); !target || !send(r, *target, r.deadline))
    give_up(r);
}

// Nothing more to try. An attempt still out may yet answer.
void Policy::give_up(RequestState& r) {
  if (r.in_flight() == 0) finish(r);
}

void Policy::apply_to_zone(const Host& host, ZoneSignal signal) {
  // Where a zone is cut off, to find it out host by host costs each balancer an attempt per host.
  Zone& zone = zones_[host.zone];
  if (signal == ZoneSignal::kUnreachable) {
    if (++zone.failures >= kZoneFailures) zone.health.on_failure(now_, uniform());
  } else if (signal == ZoneSignal::kReachable) {
    zone.failures = 0;
    zone.health.on_success();
  }
}

void Policy::apply_to_origin(const AttemptRecord& attempt, OriginSignal signal) {
  if (signal == OriginSignal::kNone) {
    gate_.on_dropped(attempt.sent_at, now_);
  } else {
    gate_.on_done(attempt.sent_at, now_, signal == OriginSignal::kFailed);
  }
}

void Policy::apply_to_host(const AttemptRecord& attempt, HostSignal signal) {
  HostHealth& health = health_[attempt.host];
  switch (signal) {
    case HostSignal::kNone:
      break;
    case HostSignal::kInTime:
      health.on_success();
      if (!attempt.counted_slow) record_latency(attempt.host, false);
      break;
    case HostSignal::kOverloaded:
      if (!attempt.counted_slow) record_latency(attempt.host, true);
      break;
    case HostSignal::kError:
      health.on_error(now_, uniform());
      break;
    case HostSignal::kFailure:
      health.on_failure(now_, uniform());
      break;
  }
}

void Policy::observe_outcome(const AttemptRecord& attempt, const OutcomeRule& rule, Result result) {
  const Host& host = host_registry_[attempt.host];
  if (!host.origin) apply_to_zone(host, rule.zone);
  // What was learnt from the first byte is not learnt again from the end.
  if (host.origin) {
    if (!attempt.is_answering) apply_to_origin(attempt, rule.origin);
  } else if (!attempt.is_answering || rule.host != HostSignal::kInTime) {
    apply_to_host(attempt, rule.host);
  }
  // Hosts take so many connections: idle ones of a large fleet's balancers would keep the rest out.
  unconnected_ += ((result == Result::kConnectFailed) - unconnected_) / kStrainSamples;
  if (unconnected_ > kShortOfConnections && !host.origin && health_[attempt.host].idle())
    sink_.close_idle(host.id);
}

void Policy::on_outcome(Time now, const Outcome& o) {
  now_ = now;
  const auto it = requests_.find(o.id);
  if (it == requests_.end()) return;
  RequestState& r = it->second;
  if (o.attempt < 0 || o.attempt >= static_cast<int>(r.attempts.size())) return;
  AttemptRecord& attempt = r.attempts[o.attempt];
  if (attempt.state != AttemptState::kInFlight) return;
  const OutcomeRule& rule = outcome_rule(o.result);
  if (!attempt.is_answering) health_[attempt.host].on_ended(attempt.sent_at);
  attempt.state = rule.state;
  attempt.connection_failed = o.result == Result::kReset;
  attempt.host_did_no_work = rule.next == NextStep::kSendElsewhere;
  r.withdrawn_attempts += o.result == Result::kWithdrawn;
  observe_outcome(attempt, rule, o.result);
  const bool from_origin = host_registry_[attempt.host].origin;
  const bool served = rule.next == NextStep::kAnswered;
  if (o.finished || served) r.finished = true;
  const AttemptRecord ended = attempt;  // further attempts may move the list
  const bool refetches = !r.finished && continue_request(r, ended, rule.next);
  if (from_origin && !refetches) settle_fetch(r, served);
  erase_if_done(o.id);
}

// Returns whether the origin is asked again for the key that this request fetches.
bool Policy::continue_request(RequestState& r, const AttemptRecord& attempt, NextStep step) {
  const bool from_origin = host_registry_[attempt.host].origin;
  if (step == NextStep::kFetch && settings_.cache_aside && !r.write) {
    fetch(r);
  } else if (step == NextStep::kRejectOrFail || now_ >= r.deadline) {
    give_up(r);
  } else if (from_origin && r.write) {
    after_write_attempt(r, attempt);
  } else if (from_origin) {
    if (refetch(r, step)) return true;
    give_up(r);
  } else {
    ask_cache(r);
  }
  return false;
}

void Policy::after_write_attempt(RequestState& r, const AttemptRecord& attempt) {
  if (attempt.state != AttemptState::kNeverRan || attempt.host_did_no_work) return send_write(r);
  const double backoff = seconds(kResendBackoff) * std::pow(2.0, r.attempts.size());
  timer(now_ + from_seconds(backoff * (0.5 + uniform())), TimerKind::kResend, r.id);
}

// An answer that could not be read or broke off says nothing against a further fetch, within the
// budget that keeps retries from adding up, and past the gate like every other.
bool Policy::refetch(RequestState& r, NextStep step) {
  if (step == NextStep::kRetryFetchToo) {
    if (retry_budget_ < 1) return false;
    retry_budget_ -= 1;
  } else if (step != NextStep::kSendElsewhere) {
    return false;
  }
  return send_metered(r);
}

void Policy::on_first_byte(Time now, RequestId id, std::optional<int> number) {
  now_ = now;
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  RequestState& r = it->second;
  r.is_streaming = true;
  if (!number || *number >= static_cast<int>(r.attempts.size())) return;
  AttemptRecord& attempt = r.attempts[*number];
  if (std::exchange(attempt.is_answering, true)) return;
  health_[attempt.host].on_ended(attempt.sent_at);
  const OutcomeRule& rule = outcome_rule(Result::kOk);
  if (host_registry_[attempt.host].origin) {
    apply_to_origin(attempt, rule.origin);
    settle_fetch(r, true);
  } else {
    apply_to_host(attempt, rule.host);
  }
}

void Policy::on_withdrawn(Time now, RequestId id) {
  now_ = now;
  const auto it = requests_.find(id);
  if (it != requests_.end()) it->second.finished = true;
  erase_if_done(id);
}

void Policy::on_timer(Time now, std::uint64_t tag) {
  now_ = now;
  const auto t = timers_.take(tag);
  if (!t) return;
  if (t->kind == TimerKind::kSubscribe) return sink_.subscribe();
  const auto at = requests_.find(t->id);
  if (at == requests_.end() || at->second.finished) return;
  RequestState& r = at->second;
  switch (t->kind) {
    case TimerKind::kDeadline:
      finish(r);
      break;
    case TimerKind::kSlow:
      on_slow(r);
      break;
    default:
      if (r.in_flight() == 0) send_write(r);
  }
  erase_if_done(t->id);
}

void Policy::on_slow(RequestState& r) {
  AttemptRecord& last = r.attempts.back();
  if (host_registry_[last.host].origin || last.state != AttemptState::kInFlight ||
      last.counted_slow || r.is_streaming || now_ - last.sent_at < patience(r))
    return;
  apply_to_host(last, HostSignal::kOverloaded);
  last.counted_slow = true;
  if (r.in_flight() == 1 && now_ < r.objective_at &&
      class_of(r).idempotency == Idempotency::kIdempotent && settings_.hedging)
    ask_cache(r);
}

// A request stays known until its last attempt has ended: late outcomes still tell of the hosts.
void Policy::erase_if_done(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || !it->second.finished || it->second.in_flight() > 0) return;
  const auto attempts = std::move(it->second.attempts);
  for (const std::uint64_t tag : {it->second.deadline_timer, it->second.slow_timer})
    if (timers_.take(tag)) sink_.drop_timer(tag);
  requests_.erase(it);
  for (const AttemptRecord& a : attempts)
    if (host_registry_.release(a.host)) health_[a.host] = {};
}

}  // namespace balancer
