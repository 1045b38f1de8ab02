#include "fleet_simulation/plant.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <utility>

namespace balancer::fleet_simulation {
namespace {

using testbed::End;
using testbed::What;

constexpr Duration kMinTimeLeft = std::chrono::milliseconds(5);
constexpr Duration kHoldPeriod = std::chrono::milliseconds(10);
constexpr std::size_t kMaxHostsToFill = 2;  // hosts that store a value fetched from the origin
constexpr std::size_t kMaxMissed = 50'000;  // requests for which misses are recorded
constexpr Duration kRestartTime = std::chrono::seconds(1);

std::size_t index(int n) { return static_cast<std::size_t>(n); }

// Returns the settings that a balancer gets from the platform; corresponds to
// `Fleet::settings_json`.
Settings settings_of(const testbed::Scenario& s) {
  Settings out;
  out.balancers = s.balancers;
  for (const testbed::ClassSpec& c : s.classes) {
    RequestClass k;
    k.latency_objective = c.aim;
    k.deadline = c.deadline;
    k.idempotency = c.effect == testbed::Effect::kSafe    ? Idempotency::kIdempotent
                    : c.effect == testbed::Effect::kKeyed ? Idempotency::kIdempotencyKey
                                                          : Idempotency::kNone;
    k.deduplication_window = c.window;
    out.classes.push_back(k);
  }
  for (const testbed::TenantSpec& t : s.tenants)
    out.tenant_quotas.push_back(t.quota_per_s > 0 ? t.quota_per_s : 1e9);
  out.cache_aside = true;
  out.discovery_is_polled = false;
  out.hedging = true;
  out.max_attempts = s.max_attempts;
  out.max_retry_after = s.max_retry_after;
  out.slow_start.start_capacity = 1;
  for (const testbed::KindSpec& k : s.kinds) {
    out.slow_start.start_capacity = std::min(out.slow_start.start_capacity, k.host.cold_share);
    out.slow_start.warm_up_time = std::max(out.slow_start.warm_up_time, k.host.cold_time);
  }
  return out;
}

}  // namespace

struct Plant::Call {
  testbed::Wish wish;
  testbed::Random random{0};
  bool honours_retry_after = true;
  Time ends{0};
  double worth = 0;
  int tries = 0;
};

struct Plant::Try {
  CallPtr call;
  int balancer = 0;
  int life = 0;
  bool over = false;
  bool missed = false;
  int sent = 0, out = 0;
};

struct Plant::Attempt {
  RequestId request = 0;
  int number = 0;
  int balancer = 0, life = 0;
  std::size_t host = 0;
  int host_life = 0;
  std::string key;
  double work = 0;
  bool write = false, hit = false;
  bool ended = false;  // as the balancer sees it
  bool here = false;   // accepted by the host and not completed
  Time sent{0};
};

struct Plant::Balancer : ActionSink {
  Balancer(Plant& p, int n) : plant(p), number(n) {}
  void send(RequestId id, std::string_view host, Time until) override {
    plant.send(number, id, host, until);
  }
  void reject(RequestId id, Duration wait) override { plant.finish(id, End::kRefused, wait); }
  void fail(RequestId id) override { plant.finish(id, End::kFailed, Duration{0}); }
  void set_timer(Time time, std::uint64_t tag) override { plant.set_timer(number, time, tag); }
  void poll_endpoint_list() override {}
  void close_idle(std::string_view) override {}

  Plant& plant;
  const int number;
  std::optional<Policy> policy;
  int life = 0;
  bool listed = true;        // as available, by the front-end load balancer
  double traffic_share = 1;  // share of the traffic, relative to the other balancers'
};

struct Plant::Host {
  std::string id;
  int zone = 0;
  bool origin = false;
  testbed::HostSpec spec;
  double miss_work = 0;
  std::size_t memory = 0;
  std::optional<testbed::HostModel> model;
  testbed::ObjectStore objects{0};
  std::optional<Time> started_at;
  HostState state = HostState::kServing;
  int life = 0;
  std::uint64_t step = 0;  // number of the latest armed step
  double done_before = 0;
};

Plant::Plant(const testbed::Scenario& scenario, const Options& options)
    : scenario_(scenario),
      options_(options),
      settings_(settings_of(scenario)),
      random_(scenario.seed, 20),
      arrivals_(scenario),
      tally_(scenario),
      cold_loads_(scenario) {
  for (const testbed::IncidentSpec& i : scenario.incidents) {
    switch (i.what) {
      case What::kKill:
      case What::kRestart:
      case What::kHang:
      case What::kSlow:
      case What::kFlush:
      case What::kBurst:
      case What::kDemand:
      case What::kBalancerKill:
        break;
      default:
        throw std::invalid_argument(std::string("the plant does not play '") + name_of(i.what) +
                                    "'");
    }
  }
  if (options.ignores_warmth) settings_.slow_start = {};
  testbed::Random speeds(scenario.seed, 1);
  int number = 0;
  for (const testbed::KindSpec& kind : scenario.kinds)
    for (int i = 0; i < kind.count; ++i, ++number) {
      auto host = std::make_unique<Host>();
      host->id = "h" + std::to_string(number);
      host->zone = number % static_cast<int>(scenario.zones.size());
      host->spec = kind.host;
      host->spec.speed = kind.speed.draw(speeds);
      host->miss_work = kind.miss_us * 1e-6;
      host->memory = static_cast<std::size_t>(kind.memory_mb * (1 << 20));
      hosts_.push_back(std::move(host));
    }
  auto origin = std::make_unique<Host>();
  origin->id = "origin";
  origin->origin = true;
  origin->spec = scenario.origin.host;
  hosts_.push_back(std::move(origin));
  for (std::size_t h = 0; h < hosts_.size(); ++h) start_host(h, false);
  for (const std::string& key : arrivals_.popular())
    for (const auto& host : hosts_)
      if (!host->origin)
        host->objects.put(
            key, static_cast<std::size_t>(
                     (scenario.load.value_bytes.low + scenario.load.value_bytes.high) / 2));
  testbed::Random traffic_shares(scenario.seed, 21);
  for (int b = 0; b < scenario.balancers; ++b) {
    balancers_.push_back(std::make_unique<Balancer>(*this, b));
    balancers_.back()->traffic_share = traffic_shares.lognormal(1, options_.unevenness);
    start_balancer(b);
  }
  for (const testbed::IncidentSpec& i : scenario_.incidents)
    at(i.at, [this, &i] { start_incident(i); });
  at(options_.sample_period, [this] { sample(); });
  if (options_.fixed_origin_admit_fraction || options_.fixed_caches_admit_fraction)
    restore_held_fractions();
  arrive();
}

Plant::~Plant() = default;

void Plant::at(Time time, std::function<void()> act) {
  events_.push({std::max(time, now_), next_event_++, std::move(act)});
}

void Plant::after(Duration wait, std::function<void()> act) { at(now_ + wait, std::move(act)); }

void Plant::run() {
  // Requests that are open at the scenario's end get 8 s more to finish.
  const Time last = scenario_.length + std::chrono::seconds(8);
  while (!events_.empty() && events_.top().at <= last) {
    const auto act = std::move(const_cast<Event&>(events_.top()).act);
    now_ = events_.top().at;
    events_.pop();
    act();
  }
}

// ---- clients

void Plant::arrive() {
  testbed::Wish wish = arrivals_.next();
  if (wish.due > scenario_.length) return;
  const Time due = wish.due;
  at(due, [this, wish = std::move(wish)]() mutable {
    const testbed::ClassSpec& request_class = scenario_.classes[index(wish.request_class)];
    auto call = std::make_shared<Call>();
    call->random = testbed::Random(wish.seed);
    call->honours_retry_after = call->random.chance(scenario_.load.honour);
    call->ends = wish.due + request_class.deadline;
    call->worth = tally_.worth_of(wish.due, wish.request_class, wish.tenant, wish.work);
    call->wish = std::move(wish);
    tally_.on_asked(call->wish.due, call->wish.request_class, call->wish.tenant, call->worth);
    start_try(call);
    arrive();
  });
}

int Plant::pick_balancer(int zone) {
  std::vector<int> here, anywhere;
  for (const auto& b : balancers_) {
    if (!b->listed) continue;
    anywhere.push_back(b->number);
    if (b->number % static_cast<int>(scenario_.zones.size()) == zone) here.push_back(b->number);
  }
  const auto& from = here.empty() ? anywhere : here;
  if (from.empty()) return -1;
  if (options_.unevenness <= 0) return from[random_.below(from.size())];
  double all = 0;
  for (const int b : from) all += balancers_[index(b)]->traffic_share;
  double at = random_.uniform(0, all);
  for (const int b : from)
    if ((at -= balancers_[index(b)]->traffic_share) < 0) return b;
  return from.back();
}

void Plant::start_try(const CallPtr& call) {
  const testbed::ClassSpec& request_class = scenario_.classes[index(call->wish.request_class)];
  const testbed::Range& share = scenario_.load.try_share;
  const Duration try_time =
      from_seconds(seconds(request_class.deadline) * call->random.uniform(share.low, share.high));
  const Time until = std::min(call->ends, now_ + try_time);
  ++call->tries;
  if (until - now_ < kMinTimeLeft) return end(call, End::kFailed);
  const int b = pick_balancer(call->wish.zone);
  if (b < 0 || !balancers_[index(b)]->policy) return try_over(call, End::kFailed, Duration{0});
  tally_.on_try();
  ++tries_sent_;
  const RequestId id = next_request_++;
  Try t;
  t.call = call;
  t.balancer = b;
  t.life = balancers_[index(b)]->life;
  tries_.emplace(id, std::move(t));
  after(options_.one_way_delay, [this, b, id, call, until] { submit(b, id, call, until); });
}

void Plant::try_over(const CallPtr& call, End how, Duration retry_after) {
  const testbed::ClassSpec& request_class = scenario_.classes[index(call->wish.request_class)];
  if (how == End::kInAim)
    return end(call, now_ <= call->wish.due + request_class.aim ? End::kInAim
                     : now_ <= call->ends                       ? End::kLate
                                                                : End::kFailed);
  const bool is_retry_safe = how == End::kRefused ||
                             request_class.effect == testbed::Effect::kSafe ||
                             (request_class.effect == testbed::Effect::kKeyed &&
                              now_ < call->wish.due + request_class.window);
  const testbed::LoadSpec& load = scenario_.load;
  double pause = 0;
  if (load.backoff == testbed::Backoff::kFixed) pause = load.backoff_ms;
  if (load.backoff == testbed::Backoff::kExponential)
    pause = load.backoff_ms * std::pow(2, call->tries - 1) * call->random.uniform(0.5, 1.5);
  Duration wait = from_seconds(1e-3 * pause);
  if (call->honours_retry_after)
    wait = std::max(wait, std::min(retry_after, scenario_.max_retry_after));
  if (!is_retry_safe || call->tries > load.retries || now_ + wait + kMinTimeLeft > call->ends)
    return end(call, how);
  after(wait, [this, call] { start_try(call); });
}

void Plant::end(const CallPtr& call, End how) {
  tally_.on_end(call->wish.due, now_, call->wish.request_class, call->wish.tenant, call->worth,
                how);
}

// ---- balancers

std::vector<HostEntry> Plant::complete_host_list() const {
  std::vector<HostEntry> list;
  for (std::size_t h = 0; h < hosts_.size(); ++h)
    if (hosts_[h]->state != HostState::kGone) list.push_back(entry_of(h));
  return list;
}

HostEntry Plant::entry_of(std::size_t h) const {
  const Host& host = *hosts_[h];
  HostEntry e;
  e.id = host.id;
  e.is_origin = host.origin;
  e.zone = host.zone;
  e.state = host.state;
  if (host.started_at) e.start = HostStart::exactly(*host.started_at);
  return e;
}

void Plant::start_balancer(int b) {
  Balancer& balancer = *balancers_[index(b)];
  ++balancer.life;
  balancer.policy.emplace(
      settings_, testbed::Random(scenario_.seed * 1000 + index(b), index(balancer.life)).next(),
      now_, balancer);
  balancer.listed = true;
  balancer.policy->on_hosts(now_, ListKind::kComplete, complete_host_list());
}

// Open attempts of the balancer continue at the hosts; its clients' connections are closed.
void Plant::kill_balancer(int b) {
  Balancer& balancer = *balancers_[index(b)];
  if (!balancer.policy) return;
  ++balancer.life;
  balancer.policy.reset();
  std::vector<std::pair<RequestId, CallPtr>> open;
  for (auto& [id, t] : tries_)
    if (t.balancer == b && !t.over) {
      t.over = true;
      open.emplace_back(id, t.call);
    }
  std::sort(open.begin(), open.end(),
            [](const auto& x, const auto& y) { return x.first < y.first; });
  std::erase_if(tries_, [b](const auto& t) { return t.second.balancer == b; });
  for (const auto& [id, call] : open) {
    ++excused_;
    after(options_.one_way_delay,
          [this, call = call] { try_over(call, End::kFailed, Duration{0}); });
  }
}

void Plant::submit(int b, RequestId id, const CallPtr& call, Time until) {
  Balancer& balancer = *balancers_[index(b)];
  const auto t = tries_.find(id);
  if (t == tries_.end() || t->second.life != balancer.life) return;  // killed in the meantime
  Request q;
  q.id = id;
  q.request_class = call->wish.request_class;
  q.tenant = call->wish.tenant;
  q.key = call->wish.key;
  q.is_write = scenario_.classes[index(q.request_class)].write();
  if (call->wish.hint > 0) q.work = from_seconds(call->wish.hint);
  q.time_left = until - now_ - 2 * options_.one_way_delay;
  ++current_sample_.tries;
  balancer.policy->on_request(now_, q);
}

void Plant::set_timer(int b, Time time, std::uint64_t tag) {
  at(time, [this, b, tag, life = balancers_[index(b)]->life] {
    Balancer& balancer = *balancers_[index(b)];
    if (balancer.policy && balancer.life == life) balancer.policy->on_timer(now_, tag);
  });
}

void Plant::send(int b, RequestId id, std::string_view host, Time until) {
  std::size_t h = 0;
  while (hosts_[h]->id != host) ++h;
  Try& t = tries_.at(id);
  ++t.out;
  ++attempts_sent_;
  const std::uint64_t number = next_attempt_++;
  Attempt a;
  a.request = id;
  a.number = t.sent++;
  a.balancer = b;
  a.life = t.life;
  a.host = h;
  a.key = t.call->wish.key;
  a.work = t.call->wish.work;
  a.write = scenario_.classes[index(t.call->wish.request_class)].write();
  a.sent = now_;
  attempts_.emplace(number, std::move(a));
  after(options_.one_way_delay, [this, number] { take(number); });
  at(until, [this, number] { attempt_over(number, Result::kTimeout); });
}

// Handles the policy's final decision on a request: schedules its delivery to the client.
void Plant::finish(RequestId id, End how, Duration retry_after) {
  const auto it = tries_.find(id);
  if (it == tries_.end() || it->second.over) return;
  Try& t = it->second;
  t.over = true;
  ++answers_;
  if (how == End::kFailed) {
    ++current_sample_.failed;
  } else if (how == End::kRefused) {
    ++(t.sent == 0 ? current_sample_.refused_on_arrival : current_sample_.refused_later);
  }
  after(options_.one_way_delay,
        [this, call = t.call, how, retry_after] { try_over(call, how, retry_after); });
  if (t.out == 0) {
    // The policy may still refer to the request until its present call has returned.
    after(Duration{0}, [this, id] {
      const auto at = tries_.find(id);
      if (at != tries_.end() && at->second.out == 0) tries_.erase(at);
    });
  }
}

void Plant::attempt_over(std::uint64_t number, Result result) {
  const auto it = attempts_.find(number);
  if (it == attempts_.end() || it->second.ended) return;
  it->second.ended = true;
  const Attempt a = it->second;
  if (result == Result::kTimeout && a.here && hosts_[a.host]->life == a.host_life &&
      hosts_[a.host]->model) {
    step(a.host);
    if (hosts_[a.host]->model->cancel(now_, number)) attempts_.erase(number);
    step(a.host);
  } else if (!a.here) {
    attempts_.erase(number);
  }
  Balancer& balancer = *balancers_[index(a.balancer)];
  const auto t = tries_.find(a.request);
  if (balancer.life != a.life || t == tries_.end()) return;
  --t->second.out;
  if (result == Result::kOk && !t->second.over) finish(a.request, End::kInAim, Duration{0});
  balancer.policy->on_outcome(now_, {a.request, a.number, result, t->second.over});
  const auto left = tries_.find(a.request);
  if (left != tries_.end() && left->second.over && left->second.out == 0) tries_.erase(left);
}

// ---- hosts

void Plant::start_host(std::size_t h, bool cold) {
  Host& host = *hosts_[h];
  ++host.life;
  host.model.emplace(host.spec, now_, cold);
  if (!host.origin) host.objects = testbed::ObjectStore(host.memory);
  host.state = HostState::kServing;
  if (!cold) return;
  host.started_at = now_;
  cold_loads_.on_start(now_, static_cast<int>(h), host.id, host.spec);
}

void Plant::kill_host(std::size_t h) {
  Host& host = *hosts_[h];
  if (!host.model) return;
  host.done_before += host.model->work_done();
  host.model.reset();
  ++host.life;
  host.state = HostState::kGone;
  std::vector<std::uint64_t> lost;
  for (auto& [number, a] : attempts_)
    if (a.host == h && a.here) lost.push_back(number);
  std::sort(lost.begin(), lost.end());
  for (const std::uint64_t number : lost) {
    attempts_.at(number).here = false;
    answer(number, Result::kReset);
  }
}

void Plant::take(std::uint64_t number) {
  const auto it = attempts_.find(number);
  if (it == attempts_.end()) return;
  Attempt& a = it->second;
  Host& host = *hosts_[a.host];
  if (!host.model) return answer(number, Result::kConnectFailed);
  step(a.host);
  a.host_life = host.life;
  double work = 0;
  if (host.origin) {
    testbed::Random draw(scenario_.seed ^ stable_hash(a.key) ^ a.request, 8);
    work = 1e-3 * draw.lognormal(a.write ? scenario_.origin.write_ms : scenario_.origin.read_ms,
                                 scenario_.origin.cv);
  } else {
    a.hit = host.objects.find(a.key).has_value();
    work = a.hit ? a.work : host.miss_work;
    cold_loads_.on_request(now_, static_cast<int>(a.host), a.work, host.model->warmth(now_),
                           a.balancer);
  }
  switch (host.model->submit(now_, number, work, a.balancer)) {
    case testbed::HostModel::Answer::kTaken:
      a.here = true;
      return step(a.host);
    case testbed::HostModel::Answer::kBusy:
      return answer(number, Result::kRejected);
    case testbed::HostModel::Answer::kDown: {
      ++fallen_;
      const std::size_t h = a.host;
      answer(number, Result::kReset);
      kill_host(h);
      HostEntry e = entry_of(h);
      return notify_balancers(e, host.id);
    }
  }
}

void Plant::step(std::size_t h) {
  Host& host = *hosts_[h];
  if (!host.model) return;
  const int life = host.life;
  for (const auto& event : host.model->advance(now_))
    if (event.kind == testbed::HostModel::Event::Kind::kDone) done(event.job);
  if (!host.model || host.life != life) return;
  const Time next = host.model->next();
  const std::uint64_t mine = ++host.step;
  if (next == testbed::kNever) return;
  at(next, [this, h, mine] {
    if (hosts_[h]->step == mine) step(h);
  });
}

void Plant::done(std::uint64_t number) {
  const auto it = attempts_.find(number);
  if (it == attempts_.end()) return;
  Attempt& a = it->second;
  a.here = false;
  Host& host = *hosts_[a.host];
  Result result = Result::kOk;
  if (!host.origin) {
    if (!a.hit) {
      result = Result::kMiss;
      auto& missed = missed_hosts_[a.request];
      if (missed.empty()) missed_order_.push_back(a.request);
      if (missed.size() < kMaxHostsToFill) missed.push_back(a.host);
      // Values that the origin fetches for clients that gave up are stored as well.
      for (; missed_order_.size() > kMaxMissed; missed_order_.pop_front())
        missed_hosts_.erase(missed_order_.front());
    }
  } else if (a.write) {
    ++current_sample_.writes;
    for (const auto& h : hosts_) h->objects.drop(a.key);
  } else {
    const double took = seconds(now_ - a.sent);
    current_sample_.mean_fetch_time += took;
    current_sample_.max_fetch_time = std::max(current_sample_.max_fetch_time, took);
    ++current_sample_.fetches;
    if (const auto missed = missed_hosts_.find(a.request); missed != missed_hosts_.end()) {
      const testbed::Range& v = scenario_.load.value_bytes;
      for (const std::size_t h : missed->second)
        hosts_[h]->objects.put(a.key, static_cast<std::size_t>((v.low + v.high) / 2));
      missed_hosts_.erase(missed);
    }
  }
  answer(number, result);
}

void Plant::answer(std::uint64_t number, Result result) {
  const auto it = attempts_.find(number);
  if (it == attempts_.end()) return;
  if (it->second.ended) {
    attempts_.erase(it);
    return;
  }
  after(options_.one_way_delay, [this, number, result] {
    attempt_over(number, result);
    attempts_.erase(number);
  });
}

// ---- incidents

std::vector<std::size_t> Plant::affected_hosts(const testbed::IncidentSpec& i) const {
  std::vector<std::size_t> all;
  for (std::size_t h = 0; h + 1 < hosts_.size(); ++h) {
    int number = static_cast<int>(h);
    std::string kind;
    for (const testbed::KindSpec& k : scenario_.kinds) {
      if (number < k.count && kind.empty()) kind = k.name;
      number -= k.count;
    }
    const Host& host = *hosts_[h];
    if ((i.host.empty() || i.host == host.id) && (i.kind.empty() || i.kind == kind) &&
        (i.zone.empty() || i.zone == scenario_.zones[index(host.zone)].name))
      all.push_back(h);
  }
  testbed::Random draw(scenario_.seed, 1000 + static_cast<std::uint64_t>(i.line));
  for (std::size_t n = all.size(); n > 1; --n) std::swap(all[n - 1], all[draw.below(n)]);
  all.resize(std::min(
      all.size(), static_cast<std::size_t>(std::ceil(i.share * static_cast<double>(all.size())))));
  std::sort(all.begin(), all.end());
  return all;
}

void Plant::notify_balancers(const HostEntry& entry, const std::string& id) {
  for (std::size_t b = 0; b < balancers_.size(); ++b) {
    const testbed::Range& delay = scenario_.discovery.delay_ms;
    after(from_seconds(1e-3 * delay.draw(random_)),
          [this, b, entry, id, life = balancers_[b]->life] {
            Balancer& balancer = *balancers_[b];
            if (!balancer.policy || balancer.life != life) return;
            HostEntry e = entry;
            e.id = id;
            balancer.policy->on_hosts(now_, ListKind::kChanges, {e});
          });
  }
}

void Plant::start_incident(const testbed::IncidentSpec& i) {
  if (i.what == What::kBurst || i.what == What::kDemand) return;  // part of arrivals_
  if (i.what == What::kBalancerKill) {
    Duration delay{0};
    for (const int b : scenario_.balancers_struck(i)) {
      const Duration away = i.length > Duration{0} ? i.length : kRestartTime;
      after(delay, [this, b, away] {
        kill_balancer(b);
        after(from_seconds(scenario_.load.front_notice_s), [this, b] {
          balancers_[index(b)]->listed = balancers_[index(b)]->policy.has_value();
        });
        after(away, [this, b] { start_balancer(b); });
      });
      delay += i.stagger;
    }
    return;
  }
  const auto targets = i.host == "origin" ? std::vector{hosts_.size() - 1} : affected_hosts(i);
  Duration delay{0};
  for (const std::size_t h : targets) {
    after(delay, [this, h, &i] {
      Host& host = *hosts_[h];
      if (!host.model) return;
      step(h);
      switch (i.what) {
        case What::kSlow:
          host.model->set_slowness(now_, i.factor);
          after(i.length, [this, h, life = host.life] {
            Host& slowed = *hosts_[h];
            if (!slowed.model || slowed.life != life) return;
            step(h);
            slowed.model->set_slowness(now_, 1);
            step(h);
          });
          break;
        case What::kHang:
          host.model->freeze(now_);
          after(i.length, [this, h, life = host.life] {
            Host& hung = *hosts_[h];
            if (!hung.model || hung.life != life) return;
            hung.model->thaw(now_);
            step(h);
          });
          break;
        case What::kFlush: {
          testbed::Random draw(scenario_.seed, 5000 + static_cast<std::uint64_t>(i.line));
          const auto salt = draw.next();
          host.objects.drop_if([&](const std::string& key) {
            return testbed::Random(stable_hash(key), salt).chance(i.factor);
          });
          break;
        }
        default:
          kill_host(h);
          notify_balancers(entry_of(h), host.id);
          if (i.what == What::kKill) return;
          after(i.length > Duration{0} ? i.length : kRestartTime, [this, h] {
            start_host(h, true);
            notify_balancers(entry_of(h), hosts_[h]->id);
          });
          return;
      }
      step(h);
    });
    delay += i.stagger;
  }
}

// ---- signals

void Plant::restore_held_fractions() {
  for (const auto& b : balancers_) {
    if (!b->policy) continue;
    const Policy::PolicyCheckpoint l = b->policy->checkpoint(now_);
    b->policy->restore(now_,
                       {0,
                        options_.fixed_origin_admit_fraction.value_or(l.origin_admit_fraction),
                        options_.fixed_caches_admit_fraction.value_or(l.caches_admit_fraction),
                        {}});
  }
  after(kHoldPeriod, [this] { restore_held_fractions(); });
}

void Plant::sample() {
  int alive = 0;
  for (const auto& b : balancers_) {
    if (!b->policy) continue;
    ++alive;
    const Policy::PolicyCheckpoint l = b->policy->checkpoint(now_);
    current_sample_.origin_admit_fraction += l.origin_admit_fraction;
    current_sample_.caches_admit_fraction += l.caches_admit_fraction;
    current_sample_.origin_fraction_min =
        std::min(current_sample_.origin_fraction_min, l.origin_admit_fraction);
    current_sample_.origin_fraction_max =
        std::max(current_sample_.origin_fraction_max, l.origin_admit_fraction);
  }
  current_sample_.origin_admit_fraction /= std::max(1, alive);
  current_sample_.caches_admit_fraction /= std::max(1, alive);
  if (current_sample_.fetches > 0) current_sample_.mean_fetch_time /= current_sample_.fetches;
  double done = 0, capacity = 0;
  for (std::size_t h = 0; h < hosts_.size(); ++h) {
    step(h);
    const Host& host = *hosts_[h];
    if (host.origin) {
      current_sample_.origin_queue = host.model ? host.model->in_work() + host.model->waiting() : 0;
    } else {
      done += host.done_before + (host.model ? host.model->work_done() : 0);
      capacity += host.spec.cores * host.spec.speed;
    }
  }
  current_sample_.caches_busy =
      (done - std::exchange(work_done_before_, done)) / capacity / seconds(options_.sample_period);
  current_sample_.at = now_;
  samples_.push_back(std::exchange(current_sample_, {}));
  if (now_ < scenario_.length) after(options_.sample_period, [this] { sample(); });
}

}  // namespace balancer::fleet_simulation
