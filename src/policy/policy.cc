#include "policy/policy.h"

#include <algorithm>
#include <set>
#include <utility>

#include "policy/client_retry_after.h"
#include "structures/stable_hash.h"

namespace balancer {
namespace {

// Share of the shortest latency objective used as the fetch target; the rest is left for the
// cache's answer and the network.
constexpr double kOriginTargetShare = 0.5;
constexpr double kMaxOriginObjectiveSeconds = 3600;
// Target of the admission to the caches: a share of 0.3 slow answers, expressed as 300 ms because
// the controller takes a duration. A larger share means that the caches as a whole are slow, and
// not only single hosts.
constexpr Duration kSlowAnswerTarget = std::chrono::milliseconds(300);
// If the admission controllers of a fleet sampled at the same times, they would all close and
// reopen together.
constexpr double kSamplingJitterSeconds = 0.5;
// Attempts at the origin from which on no client may add more than its share.
constexpr int kBusyOriginAttempts = 16;
constexpr double kOverloadedSlowAnswerRatio = 0.25;
constexpr double kInitialMeanWorkSeconds = 0.05;
constexpr double kMeanWorkGain = 0.01;

Duration origin_target(const Settings& settings) {
  Duration shortest = Duration::max();
  for (const RequestClass& c : settings.classes) shortest = std::min(shortest, c.latency_objective);
  return from_seconds(kOriginTargetShare * std::min(seconds(shortest), kMaxOriginObjectiveSeconds));
}

Time jittered_start(Time now, UniformRandom& random) {
  return now - from_seconds(kSamplingJitterSeconds * random.next());
}

}  // namespace

Policy::Policy(const Settings& settings, std::uint64_t seed, Time now, ActionSink& sink,
               Placement* placement)
    : settings_(settings),
      sink_(sink),
      random_(seed),
      now_(now),
      origin_admission_(origin_target(settings), jittered_start(now, random_)),
      cache_admission_(kSlowAnswerTarget, jittered_start(now, random_)),
      placement_(placement ? *placement : ring_),
      host_registry_(settings.static_weights, settings.slow_start.warm_up_time),
      slow_start_(settings.slow_start, host_registry_, now),
      retry_policy_(settings_, host_registry_),
      host_selector_(
          {placement_, host_registry_, retry_policy_, outliers_, zones_, slow_start_, random_}),
      attempt_observer_(
          {host_registry_, outliers_, zones_, origin_admission_, cache_admission_, random_}),
      hot_keys_(now),
      tenant_quota_(settings.tenant_quotas, settings.balancers, now),
      poll_backoff_(settings.max_poll_interval),
      mean_work_(kInitialMeanWorkSeconds) {
  if (settings_.discovery_is_polled)
    add_timer(now + poll_backoff_.initial_delay(random_.next()), TimerKind::kPollHosts);
}

std::uint64_t Policy::add_timer(Time at, TimerKind kind, RequestId id) {
  const std::uint64_t tag = timers_.push({kind, id});
  sink_.set_timer(at, tag);
  return tag;
}

const HostRegistry::Host* Policy::host(std::string_view id) const {
  const auto at = host_registry_.find(id);
  return at ? &host_registry_[*at] : nullptr;
}

// ---- hosts

void Policy::on_hosts(Time now, ListKind kind, const std::vector<HostEntry>& entries) {
  now_ = now;
  if (kind == ListKind::kRejected) {
    add_timer(now + poll_backoff_.after_rejection(random_.next()), TimerKind::kPollHosts);
    return;
  }
  poll_backoff_.on_list();
  apply(host_registry_.on_list(kind, entries));
}

// Updates the placement once for all changes. A host that joined and left again within them is
// never inserted.
void Policy::apply(const std::vector<HostRegistry::HostChange>& changes) {
  using Kind = HostRegistry::HostChange::Kind;
  outliers_.resize(host_registry_.size());
  slow_start_.resize();
  std::vector<Placement::PlacedHost> joined;
  std::set<HostIndex> left;
  for (const HostRegistry::HostChange& change : changes) {
    apply(change);
    const HostIndex index = change.host;
    const Host& host = host_registry_[index];
    if (change.kind == Kind::kJoined) joined.push_back({index, host.id, host.weight});
    if (change.kind != Kind::kLeft) continue;
    if (std::erase_if(joined, [index](const auto& m) { return m.host == index; }) == 0)
      left.insert(index);
  }
  if (!left.empty()) placement_.erase(left);
  placement_.insert(joined);
}

void Policy::apply(const HostRegistry::HostChange& change) {
  using Kind = HostRegistry::HostChange::Kind;
  switch (change.kind) {
    case Kind::kReturnedToService:
    case Kind::kStarted:
      outliers_[change.host].on_restart();
      slow_start_.on_start(change.host, change.at, random_.next());
      if (change.kind == Kind::kReturnedToService) sink_.close_idle(host_registry_[change.host].id);
      break;
    case Kind::kStartedEarlier:
      slow_start_.on_earlier_start(change.host, change.at);
      break;
    case Kind::kTakenOutOfService:
      sink_.close_idle(host_registry_[change.host].id);
      break;
    case Kind::kRemoved:
      outliers_[change.host] = {};
      slow_start_.reset(change.host);
      break;
    case Kind::kJoined:
    case Kind::kLeft:
      break;
  }
}

bool Policy::set_out_of_service(Time now, std::string_view id, bool out) {
  if (!host_registry_.prepare_override(now, id)) return false;
  if (host_registry_.differs_from_override(id, out)) restore(now, id, {out, now});
  return true;
}

void Policy::restore(Time now, std::string_view id, OperatorOverride operator_override) {
  now_ = now;
  apply(host_registry_.restore(id, operator_override));
}

Policy::PolicyCheckpoint Policy::checkpoint(Time now) const {
  PolicyCheckpoint checkpoint{slow_start_.work_rate(now),
                              origin_admission_.admit_fraction(),
                              cache_admission_.admit_fraction(),
                              {}};
  for (HostIndex i = 0; i < host_registry_.size(); ++i)
    if (const double factor = outliers_[i].load_factor(now); factor < 1)
      checkpoint.load_factors.emplace_back(host_registry_[i].id, factor);
  return checkpoint;
}

// Without this state the process would initially send nothing to hosts in slow start, and too much
// to slow hosts and to the origin.
void Policy::restore(Time now, const PolicyCheckpoint& from) {
  slow_start_.restore_work_rate(now, from.work_rate);
  origin_admission_.restore(from.origin_admit_fraction);
  cache_admission_.restore(from.caches_admit_fraction);
  for (const auto& [id, factor] : from.load_factors)
    if (const auto listed = host_registry_.find(id))
      outliers_[*listed].restore_load_factor(now, factor);
}

// ---- the only functions that send attempts and final answers

bool Policy::send(RequestState& request, HostIndex index, Time until) {
  const Host& host = host_registry_[index];
  if (request.finished || request.is_streaming || now_ >= request.deadline) return false;
  if (!retry_policy_.has_attempts_left(request)) return false;
  if (!host.accepts_attempts()) return false;
  if (!retry_policy_.may_attempt(request, host, now_)) return false;
  if (!slow_start_.has_budget(index, now_, request.work)) return false;
  host_registry_.add_reference(index);
  slow_start_.spend(index, request.work);
  outliers_[index].on_sent(now_);
  request.attempts.push_back({index, now_});
  if (host.is_origin) origin_admission_.on_sent(now_);
  sink_.send(request.id, host.id, std::min(until, request.deadline));
  return true;
}

void Policy::reject_or_fail(RequestState& request) {
  if (request.finished || request.is_streaming) return;
  request.finished = true;
  if (!retry_policy_.may_reject(request)) {
    sink_.fail(request.id);
    return;
  }
  const double admit_fraction = request.exceeds_quota ? 0
                                                      : std::min(origin_admission_.admit_fraction(),
                                                                 cache_admission_.admit_fraction());
  const double admit_draw = random_.next();
  const double jitter = random_.next();
  sink_.reject(request.id, client_retry_after(admit_fraction, origin_admission_.target(),
                                              admit_draw, jitter, settings_.max_retry_after));
}

// Does nothing while an attempt is in flight, since that attempt may still succeed.
void Policy::reject_or_fail_if_idle(RequestState& request) {
  if (request.in_flight() == 0) reject_or_fail(request);
}

// ---- routing of requests

void Policy::on_request(Time now, const Request& arrived) {
  now_ = now;
  RequestState& request = requests_[arrived.id];
  request.id = arrived.id;
  request.request_class = arrived.request_class;
  request.key = arrived.key ? placement_.point(*arrived.key) : mix(arrived.id, 0);
  request.write = arrived.is_write;
  request.exceeds_client_share = arrived.exceeds_client_share;
  if (arrived.work) mean_work_ += kMeanWorkGain * (seconds(*arrived.work) - mean_work_);
  request.work = arrived.work ? std::max(seconds(*arrived.work), 0.0) : mean_work_;
  request.objective_at = now + settings_.classes[arrived.request_class].latency_objective;
  request.deadline = now + arrived.time_left;
  request.deadline_timer = add_timer(request.deadline, TimerKind::kDeadline, request.id);
  retry_policy_.on_request();
  route(request, arrived.tenant);
  erase_if_done(arrived.id);
}

void Policy::route(RequestState& request, int tenant) {
  // A burst of one tenant must not overload the hosts for all others. Requests beyond the quota are
  // only rejected under overload; otherwise they are served.
  const bool within_quota = tenant_quota_.admit(tenant, now_);
  request.exceeds_quota =
      !within_quota && attempt_observer_.slow_answer_ratio() > kOverloadedSlowAnswerRatio;
  if (request.exceeds_quota) {
    reject_or_fail_if_idle(request);
  } else if (request.write && settings_.cache_aside) {
    send_write(request);
  } else {
    route_read(request);
  }
}

// With hundreds of balancers, each one sees too few answers of any single host to assess it. When a
// large share of all answers is slow, the requests that the overloaded hosts cannot answer in time
// must not reach them.
void Policy::route_read(RequestState& request) {
  origin_admission_.on_read(now_);
  hot_keys_.on_read(request.key, now_);
  cache_admission_.on_read(now_);
  if (!is_shed_first(request, cache_admission_) && cache_admission_.admit(now_)) {
    send_to_cache(request);
  } else {
    fetch_bypassing_caches(request);
  }
}

void Policy::send_write(RequestState& request) {
  const auto origin = host_registry_.origin();
  const bool is_shed = request.attempts.empty() && is_shed_first(request, origin_admission_);
  if (is_shed || !origin || !send(request, *origin, request.deadline))
    reject_or_fail_if_idle(request);
}

// While not everything is admitted, or the origin lags behind, one client that sends more than the
// others must not take their places: its further requests are rejected before theirs, and take no
// part of what is admitted.
bool Policy::is_shed_first(const RequestState& request,
                           const AdmissionController& admission) const {
  return request.exceeds_client_share && (!admission.admits_all() || is_origin_busy());
}

// Shows at once, or within one target time, what the admission controller learns in seconds.
bool Policy::is_origin_busy() const {
  const auto origin = host_registry_.origin();
  if (!origin) return false;
  return host_registry_[*origin].references >= kBusyOriginAttempts ||
         outliers_[*origin].has_stalled_attempts(now_, origin_admission_.target());
}

// Sends the request to a cache host, the regular path. `stored_at`: the host that has just stored
// the fetched key, if any.
void Policy::send_to_cache(RequestState& request, std::optional<HostIndex> stored_at) {
  if (!request.write && cache_service_time_.is_too_short(now_, time_left(request)))
    return reject_or_fail_if_idle(request);
  HostQuery query;
  query.now = now_;
  query.spread = hot_keys_.spread(request.key, host_registry_.size());
  query.is_retry = retry_policy_.is_retry(request);
  query.retries_same_host = retry_policy_.retries_same_host(request);
  query.stored_at = stored_at;
  query.stall_threshold = origin_admission_.target();
  // The next candidate most likely misses for a key that is not hot, so the key is fetched directly
  // if the origin admits everything.
  const bool next_would_miss = query.spread == 1 && origin_admission_.admits_all();
  if (query.is_retry && (!retry_policy_.has_budget() || next_would_miss))
    return fetch_bypassing_caches(request);
  const HostSelection selection = host_selector_.select(request, query);
  if (selection.is_overloaded) return fetch_bypassing_caches(request);
  if (!selection.host) {
    if (settings_.cache_aside && !request.write) return fetch_after_miss(request);
    return reject_or_fail_if_idle(request);
  }
  if (!send(request, *selection.host, request.deadline)) return reject_or_fail_if_idle(request);
  if (query.is_retry) retry_policy_.spend_budget();
  slow_start_.on_cache_work(now_, request.work);
  request.slow_timer = add_timer(now_ + slow_threshold(request), TimerKind::kSlow, request.id);
}

// Only one fetch of a key is in flight at a time; other requests wait for it and then query the
// cache again.
void Policy::fetch_after_miss(RequestState& request) {
  if (fetches_.has_other_leader(request.key, request.id)) {
    if (request.fetch_place == 0) request.fetch_place = fetches_.follow(request.key, request.id);
    return;
  }
  if (!send_admitted_fetch(request)) return reject_or_fail_if_idle(request);
  fetches_.lead(request.key, request.id);
}

// Handles a request for which the caches have no capacity. While the origin admits everything it
// has spare capacity, which a rejection would waste. The result of such a fetch is not stored in a
// cache, so no other request waits for it.
void Policy::fetch_bypassing_caches(RequestState& request) {
  const bool may_fetch = settings_.cache_aside && !request.write && origin_admission_.admits_all();
  if (!may_fetch || !send_admitted_fetch(request)) reject_or_fail_if_idle(request);
}

bool Policy::send_admitted_fetch(RequestState& request) {
  const auto origin = host_registry_.origin();
  if (is_shed_first(request, origin_admission_)) return false;
  if (fetch_service_time_.is_too_short(now_, time_left(request))) return false;
  // When not everything is admitted, only requests that can still meet their latency objective are
  // fetched.
  const bool would_be_late = now_ + origin_admission_.target() >= request.objective_at;
  if (!origin_admission_.admits_all() && would_be_late) return false;
  return origin && origin_admission_.admit(now_) && send(request, *origin, request.deadline);
}

// ---- handling of ended and slow attempts

void Policy::on_outcome(Time now, const Outcome& outcome) {
  now_ = now;
  const auto it = requests_.find(outcome.id);
  if (it == requests_.end()) return;
  RequestState& request = it->second;
  if (outcome.attempt < 0 || outcome.attempt >= static_cast<int>(request.attempts.size())) return;
  AttemptRecord& attempt = request.attempts[outcome.attempt];
  if (attempt.state != AttemptState::kInFlight) return;
  const OutcomeRule& rule = outcome_rule(outcome.result);
  if (!attempt.is_answering) outliers_[attempt.host].on_ended(attempt.sent_at);
  attempt.state = rule.state;
  attempt.was_reset = outcome.result == Result::kReset;
  attempt.host_did_no_work = rule.next == NextStep::kResendUnbudgeted;
  request.withdrawn_attempts += outcome.result == Result::kWithdrawn;
  request.is_overtaken = request.is_overtaken || outcome.is_overtaken;
  attempt_observer_.on_outcome(now, attempt, rule, outcome.result);
  close_idle_if_scarce(attempt.host);
  const bool from_origin = host_registry_[attempt.host].is_origin;
  const bool served = rule.next == NextStep::kAnswered;
  if (served && !request.write && !attempt.is_answering)
    (from_origin ? fetch_service_time_ : cache_service_time_).on_served(now - attempt.sent_at);
  if (outcome.finished || served) request.finished = true;
  const AttemptRecord ended = attempt;  // a copy: a further attempt may reallocate the list
  const bool refetches = !request.finished && continue_request(request, ended, rule.next);
  if (from_origin && !refetches) complete_fetch(request, served);
  erase_if_done(outcome.id);
}

// Hosts accept a limited number of connections. Idle connections of the many balancers of a large
// fleet would use them up.
void Policy::close_idle_if_scarce(HostIndex index) {
  const Host& host = host_registry_[index];
  if (attempt_observer_.connections_are_scarce() && !host.is_origin && outliers_[index].is_idle())
    sink_.close_idle(host.id);
}

// Returns whether the key that this request fetches was requested from the origin again.
bool Policy::continue_request(RequestState& request, const AttemptRecord& attempt, NextStep step) {
  const bool from_origin = host_registry_[attempt.host].is_origin;
  if (step == NextStep::kFetch && settings_.cache_aside && !request.write) {
    fetch_after_miss(request);
  } else if (step == NextStep::kRejectOrFail || now_ >= request.deadline) {
    reject_or_fail_if_idle(request);
  } else if (from_origin && request.write) {
    continue_write(request, attempt);
  } else if (from_origin) {
    if (refetch(request, step)) return true;
    reject_or_fail_if_idle(request);
  } else {
    send_to_cache(request);
  }
  return false;
}

void Policy::continue_write(RequestState& request, const AttemptRecord& attempt) {
  if (attempt.state != AttemptState::kNeverRan || attempt.host_did_no_work)
    return send_write(request);
  const Duration backoff = RetryPolicy::resend_backoff(request, random_.next());
  add_timer(now_ + backoff, TimerKind::kResend, request.id);
}

// An unreadable or incomplete answer does not rule out another fetch. It counts against the retry
// budget and needs admission like any other fetch.
bool Policy::refetch(RequestState& request, NextStep step) {
  if (step == NextStep::kRetryOrRefetch) {
    if (!retry_policy_.has_budget()) return false;
    retry_policy_.spend_budget();
  } else if (step != NextStep::kResendUnbudgeted) {
    return false;
  }
  return send_admitted_fetch(request);
}

// After a successful fetch the followers query the cache host that has stored the key. After a
// failed fetch the first follower becomes the leader of the next one.
void Policy::complete_fetch(const RequestState& leader, bool stored) {
  const auto missed =
      std::find_if(leader.attempts.begin(), leader.attempts.end(),
                   [](const AttemptRecord& a) { return a.state == AttemptState::kMissed; });
  const std::optional<HostIndex> stored_at =
      missed == leader.attempts.end() ? std::nullopt : std::optional(missed->host);
  for (const RequestId id : fetches_.complete(leader.key, leader.id)) {
    const auto at = requests_.find(id);
    if (at == requests_.end() || at->second.finished) continue;
    RequestState& follower = at->second;
    follower.fetch_place = 0;
    if (stored) {
      send_to_cache(follower, stored_at);
    } else {
      fetch_after_miss(follower);
    }
    erase_if_done(id);
  }
}

void Policy::on_first_byte(Time now, RequestId id, std::optional<int> number) {
  now_ = now;
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  RequestState& request = it->second;
  request.is_streaming = true;
  if (!number || *number >= static_cast<int>(request.attempts.size())) return;
  AttemptRecord& attempt = request.attempts[*number];
  if (std::exchange(attempt.is_answering, true)) return;
  outliers_[attempt.host].on_ended(attempt.sent_at);
  attempt_observer_.on_first_byte(now, attempt);
  if (host_registry_[attempt.host].is_origin) complete_fetch(request, true);
}

// The budget of retries bounds what stalled answers add to the load.
void Policy::on_answer_stalled(Time now, RequestId id, int number) {
  now_ = now;
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  RequestState& request = it->second;
  if (request.finished || request.is_streaming ||
      number >= static_cast<int>(request.attempts.size()))
    return;
  if (!retry_policy_.may_send_beside_stalled(request) || !retry_policy_.has_budget()) return;
  if (!host_registry_[request.attempts[number].host].is_origin) {
    send_to_cache(request);
  } else if (send_admitted_fetch(request)) {
    retry_policy_.spend_budget();
  }
  erase_if_done(id);
}

void Policy::on_request_cancelled(Time now, RequestId id) {
  now_ = now;
  const auto it = requests_.find(id);
  if (it != requests_.end()) it->second.finished = true;
  erase_if_done(id);
}

void Policy::on_timer(Time now, std::uint64_t tag) {
  now_ = now;
  const auto timer = timers_.take(tag);
  if (!timer) return;
  if (timer->kind == TimerKind::kPollHosts) return sink_.poll_endpoint_list();
  const auto at = requests_.find(timer->id);
  if (at == requests_.end() || at->second.finished) return;
  RequestState& request = at->second;
  switch (timer->kind) {
    case TimerKind::kDeadline:
      reject_or_fail(request);
      break;
    case TimerKind::kSlow:
      on_slow_attempt(request);
      break;
    case TimerKind::kResend:
      if (request.in_flight() == 0) send_write(request);
      break;
    case TimerKind::kPollHosts:
      break;
  }
  erase_if_done(timer->id);
}

void Policy::on_slow_attempt(RequestState& request) {
  AttemptRecord& last = request.attempts.back();
  if (host_registry_[last.host].is_origin || last.state != AttemptState::kInFlight ||
      last.counted_slow || request.is_streaming || now_ - last.sent_at < slow_threshold(request))
    return;
  attempt_observer_.on_slow(now_, last);
  last.counted_slow = true;
  if (retry_policy_.may_hedge(request, now_)) send_to_cache(request);
}

// A request is kept until its last attempt has ended, because late outcomes still provide
// information about the hosts.
void Policy::erase_if_done(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || !it->second.finished || it->second.in_flight() > 0) return;
  if (it->second.fetch_place > 0) fetches_.unfollow(it->second.key, it->second.fetch_place);
  const std::vector<AttemptRecord> attempts = std::move(it->second.attempts);
  for (const std::uint64_t tag : {it->second.deadline_timer, it->second.slow_timer})
    if (timers_.take(tag)) sink_.cancel_timer(tag);
  requests_.erase(it);
  for (const AttemptRecord& attempt : attempts) {
    if (!host_registry_.release_reference(attempt.host)) continue;
    outliers_[attempt.host] = {};
    slow_start_.reset(attempt.host);
  }
}

// Returns the time after which an attempt at a cache counts as slow: the origin's target plus the
// time that the request takes on a host of half the usual speed.
Duration Policy::slow_threshold(const RequestState& request) const {
  return origin_admission_.target() + from_seconds(2 * request.work);
}

}  // namespace balancer
