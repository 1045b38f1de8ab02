#include "dispatch/server_pool.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace balancer {
namespace {

using boost::system::error_code;

// Connections are retired at this part of the time after which hosts close them.
constexpr int kRetirePart = 3;
constexpr Duration kTimerTick = std::chrono::milliseconds(1);
constexpr std::size_t kDuePerTurn = 64;
// Well below the gap that counts as a standstill.
constexpr Duration kLooks = std::chrono::milliseconds(400);
// How long a client that was there counts as there: no attempt begins later than this behind the
// close of its connection, however late the close is read.
constexpr Duration kSeenLately = std::chrono::milliseconds(50);

std::string ms(Duration d) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(d).count()) + " ms";
}

UpstreamTimes times_of(const SiteSettings& site) {
  constexpr Duration kConnect = std::chrono::seconds(1), kIdle = std::chrono::seconds(15);
  UpstreamTimes times;
  times.connect_timeout = site.connect_timeout > Duration{0} ? site.connect_timeout : kConnect;
  times.most = site.max_connections;
  times.sharing.retire_idle =
      (site.idle_close > Duration{0} ? site.idle_close : kIdle) / kRetirePart;
  times.sharing.max_depth = static_cast<std::size_t>(std::max(1, site.streams_per_connection));
  times.sharing.shared = site.shared_connections && times.sharing.max_depth > 1;
  times.sharing.max_unsafe = site.max_unsafe;
  times.sharing.slow_after = site.slow_after;
  return times;
}

}  // namespace

ServerPool::ServerPool(boost::asio::io_context& io, const Clock& clock, const SiteSettings& site,
                       std::uint64_t seed, Limits& limits, Dial dial,
                       std::function<void()> subscribe, RoutingExtension* routing_extension)
    : io_(io),
      clock_(clock),
      site_(site),
      subscribe_(std::move(subscribe)),
      routing_extension_(routing_extension),
      host_ages_(clock.wall_offset()),
      due_(clock.now(), kTimerTick),
      timer_(io),
      policy_(site.policy, seed, clock.now(), *this,
              routing_extension ? &routing_extension->placement() : nullptr),
      upstreams_(io, limits, *this, times_of(site), std::move(dial)),
      look_timer_(io),
      hold_timer_(io) {}

Duration ServerPool::longest_deadline(Duration most) const {
  Duration longest{0};
  for (const RequestClass& c : site_.policy.classes) longest = std::max(longest, c.deadline);
  return longest > Duration{0} ? std::min(longest, most) : most;
}

// ---- the module's actions

void ServerPool::send(RequestId id, std::string_view host, Time until) {
  Call& call = calls_.at(id);
  auto attempt = std::make_shared<Attempt>();
  attempt->request = id;
  attempt->number = call.attempts++;
  attempt->host = host;
  attempt->payload = call.payload;
  attempt->until = until;
  attempt->unsafe = call.unsafe;
  if (routing_extension_) routing_extension_->prepare(*attempt);
  if (const auto* host_now = policy_.host(host)) attempt->host_born = host_now->born();
  const RequestClass& request_class =
      site_.policy.classes[static_cast<std::size_t>(call.request_class)];
  if (request_class.idempotency == Idempotency::kIdempotencyKey) {
    if (call.may_run_since) {
      attempt->begin_by = *call.may_run_since + request_class.deduplication_window;
    } else {
      call.may_run_since = now();
    }
  }
  ++call.out;
  // Decided on what was known before a standstill.
  look();
  attempt->held = stall_guard_ && stall_guard_->is_holding() && host != origin_;
  const auto timer = due_.set(until, {attempt, 0});
  attempt->timer = {timer.place, timer.life};
  arm_timer();
  if (attempt->held) {
    held_.push_back(std::move(attempt));
  } else {
    upstreams_.start(std::move(attempt), host);
  }
}

void ServerPool::reject(RequestId id, Duration retry_after) {
  finish(id, {Response::Kind::kRejected, {}, retry_after, nullptr});
}

void ServerPool::fail(RequestId id) { finish(id, {}); }

void ServerPool::set_timer(Time at, std::uint64_t tag) {
  if (module_timers_.empty()) first_tag_ = tag;
  module_timers_.resize(tag - first_tag_);  // tags that were passed over
  module_timers_.push_back(due_.set(at, {nullptr, tag}));
  arm_timer();
}

void ServerPool::drop_timer(std::uint64_t tag) {
  if (tag - first_tag_ >= module_timers_.size()) return;
  if (const auto& handle = module_timers_[tag - first_tag_]) due_.take_back(*handle);
  forget_timer(tag);
}

void ServerPool::forget_timer(std::uint64_t tag) {
  if (tag - first_tag_ >= module_timers_.size()) return;
  module_timers_[tag - first_tag_].reset();
  for (; !module_timers_.empty() && !module_timers_.front(); ++first_tag_)
    module_timers_.pop_front();
}

void ServerPool::close_idle(std::string_view host) { upstreams_.close_idle(host); }

// One timer of the event loop stands for all; it is set anew only where one comes due sooner.
void ServerPool::arm_timer() {
  const auto next = due_.next();
  if (!next || *next >= timer_at_) return;
  timer_at_ = *next;
  timer_.expires_at(clock_.steady(timer_at_));
  timer_.async_wait([this](const error_code& e) {
    if (!e) on_timer();
  });
}

void ServerPool::on_timer() {
  timer_at_ = Time::max();
  due_.advance(now(), [this](Due due) { due_now_.push_back(std::move(due)); });
  arm_timer();
  work_off();
}

// A jam's time-outs come due by the thousand. Worked off in one go they would hold up all other
// pools; in turns, others' events come between.
void ServerPool::work_off() {
  if (working_off_) return;
  for (std::size_t n = 0; n < kDuePerTurn && !due_now_.empty(); ++n) {
    const Due due = std::move(due_now_.front());
    due_now_.pop_front();
    if (due.attempt) {
      on_end(due.attempt, Result::kTimeout, {});
    } else {
      forget_timer(due.tag);
      policy_.on_timer(now(), due.tag);
    }
  }
  forget_finished();
  if (due_now_.empty()) return;
  working_off_ = true;
  boost::asio::post(io_, [this] {
    working_off_ = false;
    work_off();
  });
}

// ---- standstills

void ServerPool::enable_stall_guard(std::function<void()> confirm,
                                    std::function<void(const std::string&)> log) {
  stall_guard_.emplace(now());
  confirm_ = std::move(confirm);
  log_ = std::move(log);
  watch();
}

void ServerPool::watch() {
  look();
  look_timer_.expires_after(kLooks);
  look_timer_.async_wait([this](const error_code& e) {
    if (!e) watch();
  });
}

void ServerPool::look() {
  if (!stall_guard_ || !stall_guard_->observe(now())) return;
  confirm_();
  hold_timer_.expires_at(clock_.steady(stall_guard_->hold_until()));
  hold_timer_.async_wait([this](const error_code& e) {
    if (e) return;
    look();
    if (stall_guard_->on_hold_expired(now())) let_go("no list came; what was known goes on");
  });
}

void ServerPool::on_confirmed(Duration took) {
  look();
  if (stall_guard_ && stall_guard_->on_discovery_answer(now() - took))
    let_go("the list is confirmed");
}

// What was held back had been decided on an old list, so it is decided anew, which costs no host
// anything and counts as no retry.
void ServerPool::let_go(const char* why) {
  hold_timer_.cancel();
  const auto held = std::exchange(held_, {});
  log_("stood still for " + ms(stall_guard_->last_stall()) + "; " + why + " after " +
       ms(now() - stall_guard_->resumed_at()) + ", " + std::to_string(held.size()) +
       " attempt(s) held back");
  for (const AttemptPtr& attempt : held)
    on_end(attempt,
           may_send(*attempt) == SendPermission::kOver ? Result::kNotSent : Result::kWithdrawn, {});
}

// ---- requests

void ServerPool::submit(const std::shared_ptr<ResponseSink>& caller, ResponseSlot ticket,
                        RequestSpec ask) {
  look();
  const Duration unnoticed = stall_guard_ ? stall_guard_->unnoticed_age(now()) : Duration{0};
  if (unnoticed >= ask.budget ||
      (site_.max_held > 0 && open_ >= static_cast<std::size_t>(site_.max_held)) ||
      !caller->may_forward() || !caller->is_connected()) {
    ask.payload->released();
    caller->on_response(ticket, *ask.payload,
                        {Response::Kind::kRejected, {}, Duration{0}, nullptr});
    return;
  }
  Request q;
  q.id = next_id_++;
  q.request_class = ask.request_class;
  q.tenant = ask.tenant;
  q.key = ask.key;
  q.write = ask.write;
  q.work = ask.work;
  // Behind a standstill a client's time may be over that has just been read of: its request lay in
  // the socket. Nothing of it has gone out, so that a refusal is true, and comes while it may.
  q.time_left = ask.budget - unnoticed;
  if (drain_end_) q.time_left = std::max(Duration{0}, std::min(q.time_left, *drain_end_ - now()));
  Call& call = calls_[q.id];
  call.caller = caller;
  call.ticket = ticket;
  call.payload = std::move(ask.payload);
  call.request_class = q.request_class;
  call.unsafe = site_.policy.classes[static_cast<std::size_t>(q.request_class)].idempotency ==
                Idempotency::kNone;
  call.seen_at = now();
  call.place = caller->open_.size();
  caller->open_.push_back(q.id);
  ++open_;
  if (routing_extension_) routing_extension_->on_request(q.id, *call.payload);
  policy_.on_request(now(), q);
  forget_finished();
}

void ServerPool::withdraw(ResponseSink& caller) {
  for (const RequestId id : std::vector(caller.open_)) {
    end_call(id, calls_.at(id));
    policy_.on_withdrawn(now(), id);
  }
  forget_finished();
}

void ServerPool::fail_open() {
  std::vector<RequestId> open;
  for (const auto& [id, call] : calls_)
    if (!call.over) open.push_back(id);
  for (const RequestId id : open) {
    fail(id);
    policy_.on_withdrawn(now(), id);
  }
  forget_finished();
}

void ServerPool::finish(RequestId id, Response final) {
  const auto it = calls_.find(id);
  if (it == calls_.end() || it->second.over) return;
  const auto caller = it->second.caller;
  const auto payload = it->second.payload;
  const ResponseSlot ticket = it->second.ticket;
  end_call(id, it->second);
  caller->on_response(ticket, *payload, std::move(final));
}

void ServerPool::end_call(RequestId id, Call& call) {
  call.over = true;
  --open_;
  // The last of its caller's list takes its place there.
  auto& open = call.caller->open_;
  calls_.at(open.back()).place = call.place;
  open[call.place] = open.back();
  open.pop_back();
  call.caller = nullptr;
  finished_.push_back(id);
}

// Requests are erased only here, after the module has returned: its actions name them until then.
void ServerPool::forget_finished() {
  for (const RequestId id : std::exchange(finished_, {})) {
    const auto it = calls_.find(id);
    if (it == calls_.end() || it->second.out > 0) continue;
    it->second.payload->released();
    if (routing_extension_) routing_extension_->on_forgotten(id);
    calls_.erase(it);
  }
}

// ---- attempts

// Where this process is late, what lets a request go on may be read before its client's close.
bool ServerPool::is_connected(const Call& call) const {
  if (now() - call.seen_at <= kSeenLately) return true;
  if (!call.caller->is_connected()) return false;
  call.seen_at = now();
  return true;
}

// Hosts are asked for in the module's own book, which has heard of them first.
SendPermission ServerPool::may_send(const Attempt& attempt) const {
  const auto it = calls_.find(attempt.request);
  // Behind a standstill its time may have passed before its time-out has come round.
  if (it == calls_.end() || it->second.over || attempt.until - now() < kMinAttemptTime ||
      now() >= attempt.begin_by || !it->second.caller->may_forward() || !is_connected(it->second))
    return SendPermission::kOver;
  const auto* host = policy_.host(attempt.host);
  const bool same = host && host->takes_new() && host->born() == attempt.host_born;
  return same ? SendPermission::kGo : SendPermission::kElsewhere;
}

// The first byte is the answer: no other attempt may serve from here on. From now on both sides'
// pace counts, and neither the attempt's time nor the request's.
void ServerPool::on_begin(const AttemptPtr& attempt, const StreamPtr& stream) {
  const auto it = calls_.find(attempt->request);
  if (attempt->ended || it == calls_.end() || it->second.over) return stream->abandon();
  due_.take_back({attempt->timer.place, attempt->timer.life});
  Response final{Response::Kind::kServed, {}, Duration{0}, stream};
  finish(attempt->request, std::move(final));
  policy_.on_first_byte(now(), attempt->request, attempt->number);
  forget_finished();
}

void ServerPool::on_end(const AttemptPtr& attempt, Result result, std::string value) {
  if (std::exchange(attempt->ended, true)) return;
  due_.take_back({attempt->timer.place, attempt->timer.life});
  if (result == Result::kTimeout || result == Result::kCancelled) {
    // What never had a connection, or was not written whole there, has not run.
    const auto connection = attempt->connection.lock();
    if (connection ? connection->abandon(attempt) : !attempt->assigned) result = Result::kNotSent;
  }
  if (routing_extension_) result = routing_extension_->judge(*attempt, result, value);
  const RequestId id = attempt->request;
  Call& call = calls_.at(id);
  --call.out;
  call.may_have_run = call.may_have_run || !(never_ran(result) || result == Result::kMiss);
  if (call.out == 0 && !call.may_have_run) call.may_run_since.reset();
  if (result == Result::kOk && !call.over)
    finish(id, {Response::Kind::kServed, std::move(value), Duration{0}, nullptr});
  if (call.over) finished_.push_back(id);
  policy_.on_outcome(now(), {id, attempt->number, result, call.over});
  forget_finished();
}

// ---- the host list

void ServerPool::on_list(const HostList& list) {
  upstreams_.apply(list);
  learn_unix_time(list);
  std::vector<HostEntry> entries;
  for (const ListedHost& host : list.hosts) {
    if (host.origin) origin_ = host.id;
    entries.push_back(
        {host.id, start_of(host), host.origin, host.zone, host.cell, host.state, host.weight});
  }
  policy_.on_hosts(now(), list.whole ? ListKind::kComplete : ListKind::kChanges, entries);
  upstreams_.review();
  forget_finished();
}

void ServerPool::learn_unix_time(const HostList& list) {
  if (list.sent_at) host_ages_.on_unix_time(now(), *list.sent_at);
  for (const ListedHost& host : list.hosts)
    if (host.born) host_ages_.on_unix_time(now(), *host.born + host.age.value_or(Duration{0}));
}

std::optional<HostStart> ServerPool::start_of(const ListedHost& host) const {
  if (!host.born) return std::nullopt;
  const Time at = host.age ? now() - *host.age : host_ages_.started(now(), *host.born);
  return HostStart{*host.born, at};
}

std::optional<Duration> ServerPool::age_of(std::string_view id) const {
  const auto* host = policy_.host(id);
  if (!host || !host->start) return std::nullopt;
  return now() - host->start->at;
}

bool ServerPool::maintain(std::string_view host, bool out) {
  const bool known = policy_.on_maintenance(now(), host, out);
  upstreams_.review();
  return known;
}

void ServerPool::restore(std::string_view host, Policy::OperatorOverride word) {
  policy_.restore(now(), host, word);
  upstreams_.review();
}

void ServerPool::on_list_refused() {
  policy_.on_hosts(now(), ListKind::kRejected, {});
  forget_finished();
}

}  // namespace balancer
