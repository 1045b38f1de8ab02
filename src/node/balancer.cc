#include "node/balancer.h"

#include <algorithm>
#include <utility>

namespace silverpin::node {
namespace {

using boost::system::error_code;
using std::chrono::milliseconds;

// Connections are retired at this part of the time after which hosts close them.
constexpr int kRetirePart = 3;

// At a planned restart new connections come for up to 0.4 s, and the kill no sooner after the
// signal than the longest deadline, of 3 s at most, and 0.7 s more.
constexpr milliseconds kDrainAccept{600};
constexpr milliseconds kLongestDeadline{3000};
constexpr milliseconds kDrainAnswer{400};  // behind that deadline
constexpr milliseconds kDrainExit{550};
constexpr milliseconds kDrainTick{10};
// Connections in use are given back from this part of the longest deadline on, and the last so long
// before it, that its last request has time for an answer: this and kDrainAnswer.
constexpr int kGiveBackPart = 2;
constexpr milliseconds kGiveBackLast{200};

Duration longest_deadline(const SiteSettings& site) {
  Duration longest{0};
  for (const RequestClass& c : site.policy.classes) longest = std::max(longest, c.deadline);
  return longest > Duration{0} ? std::min<Duration>(longest, kLongestDeadline) : kLongestDeadline;
}

UpstreamTimes times_of(const SiteSettings& site) {
  constexpr Duration kConnect = std::chrono::seconds(1), kIdle = std::chrono::seconds(15);
  return {site.connect_timeout > Duration{0} ? site.connect_timeout : kConnect,
          (site.idle_close > Duration{0} ? site.idle_close : kIdle) / kRetirePart,
          site.streams_per_connection};
}

int index_of(const std::vector<std::string>& names, std::string_view name) {
  const auto it = std::find(names.begin(), names.end(), name);
  return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

}  // namespace

Balancer::Balancer(boost::asio::io_context& io, const Config& config, Limits& limits)
    : io_(io),
      site_(config.site),
      limits_(limits),
      timer_(io),
      policy_(site_.policy, config.seed, clock_.now(), *this),
      upstreams_(io, limits_, *this, times_of(site_)),
      discovery_(io, config.discovery, site_, config.known ? config.known->seq : 0,
                 {[this](const HostList& list) { on_list(list); },
                  [this] {
                    policy_.on_hosts(now(), ListKind::kRefused, {});
                    forget_finished();
                  }}),
      drain_timer_(io),
      longest_deadline_(longest_deadline(site_)) {
  if (config.known) on_list(*config.known);
  listener_.reset(new ClientListener(io, config.listen, limits_, *this));
  if (!site_.policy.list_on_request) discovery_.start();
}

// ---- the module's actions

void Balancer::send(RequestId id, std::string_view host, Time until) {
  Call& call = calls_.at(id);
  auto attempt = std::make_shared<Attempt>();
  attempt->request = id;
  attempt->number = call.attempts++;
  attempt->command = call.command;
  attempt->until = until;
  attempt->unsafe = call.unsafe;
  ++call.out;
  attempt->timer = std::make_shared<boost::asio::steady_timer>(io_, clock_.steady(until));
  attempt->timer->async_wait([this, attempt](const error_code& e) {
    if (!e) on_end(attempt, Result::kTimeout, {});
  });
  upstreams_.start(std::move(attempt), host);
}

void Balancer::refuse(RequestId id, Duration retry_after) {
  std::string answer = "SERVER_ERROR busy";
  const auto ms = std::chrono::ceil<milliseconds>(retry_after).count();
  if (ms > 0) answer += " " + std::to_string(ms);
  finish(id, answer += "\r\n");
}

void Balancer::fail(RequestId id) { finish(id, "SERVER_ERROR failed\r\n"); }

void Balancer::set_timer(Time at, std::uint64_t tag) {
  due_.push({at, tag});
  if (at < timer_at_) arm_timer();
}

void Balancer::subscribe() { discovery_.subscribe(); }

void Balancer::close_idle(std::string_view host) { upstreams_.close_idle(host); }

void Balancer::arm_timer() {
  timer_at_ = due_.top().at;
  timer_.expires_at(clock_.steady(timer_at_));
  timer_.async_wait([this](const error_code& e) {
    if (e) return;
    timer_at_ = Time::max();
    while (!due_.empty() && due_.top().at <= now()) {
      const auto tag = due_.top().tag;
      due_.pop();
      policy_.on_timer(now(), tag);
    }
    forget_finished();
    if (!due_.empty() && due_.top().at < timer_at_) arm_timer();
  });
}

// ---- clients

std::string_view Balancer::submit(const std::shared_ptr<ClientSession>& session, std::uint64_t slot,
                                  std::shared_ptr<const memcache::Command> command) {
  // Hosts tell requests apart by the clients' ids. Two with one id would get each other's answers,
  // be it a mistake or an attempt to steal one.
  if (ids_.count(command->id) > 0) return "id in use";
  Request q;
  q.klass = index_of(site_.classes, command->prop("c"));
  if (q.klass < 0) return "unknown class";
  const RequestClass& klass = site_.policy.classes[static_cast<std::size_t>(q.klass)];
  q.write = command->kind == memcache::Command::Kind::kSet;
  if (q.write && klass.repeat == Repeat::kKeyed && command->prop("k").empty())
    return "keyed write without a key";
  q.budget = klass.deadline;
  if (const auto d = command->prop("d"); !d.empty()) {
    const auto ms = memcache::parse_number(d);
    if (!ms) return "bad time";
    // No client waits longer than its class does; a larger figure would keep timers for hours.
    const Duration asked = milliseconds(std::min<std::uint64_t>(*ms, 3'600'000));
    q.budget = klass.deadline > Duration{0} ? std::min(asked, klass.deadline) : asked;
  }
  if (const auto h = command->prop("h"); !h.empty()) {
    const auto us = memcache::parse_number(h);
    if (!us) return "bad hint";
    q.work = std::chrono::microseconds(std::min<std::uint64_t>(*us, 3'600'000'000));
  }
  const auto tenant = command->prop("t");
  q.tenant = tenant.empty() ? 0 : index_of(site_.tenants, tenant);
  q.key = command->key;
  if (site_.most_held > 0 && by_slot_.size() >= static_cast<std::size_t>(site_.most_held)) {
    session->answer(slot, "SERVER_ERROR busy\r\n");
    return {};
  }
  // What is taken while draining must be answered before the end.
  if (draining_since_)
    q.budget = std::max(Duration{0}, std::min(q.budget, *draining_since_ + longest_deadline_ +
                                                            kDrainAnswer - now()));
  q.id = next_id_++;
  Call& call = calls_[q.id];
  call.session = session;
  call.slot = slot;
  call.command = std::move(command);
  call.unsafe = klass.repeat == Repeat::kUnsafe;
  by_slot_.emplace(std::pair(session.get(), slot), q.id);
  ids_.insert(call.command->id);
  policy_.on_request(now(), q);
  forget_finished();
  return {};
}

void Balancer::withdraw(ClientSession& session, std::uint64_t slot) {
  const auto it = by_slot_.find({&session, slot});
  if (it == by_slot_.end()) return;
  const RequestId id = it->second;
  Call& call = calls_.at(id);
  end_call(id, call);
  policy_.on_withdrawn(now(), id);
  forget_finished();
}

void Balancer::on_session_closed(const std::shared_ptr<ClientSession>& session) {
  listener_->on_session_closed(session);
}

void Balancer::finish(RequestId id, std::string answer) {
  const auto it = calls_.find(id);
  if (it == calls_.end() || it->second.over) return;
  const auto session = it->second.session;
  const auto slot = it->second.slot;
  end_call(id, it->second);
  session->answer(slot, std::move(answer));
}

void Balancer::end_call(RequestId id, Call& call) {
  call.over = true;
  by_slot_.erase({call.session.get(), call.slot});
  call.session = nullptr;
  finished_.push_back(id);
}

// Requests are erased only here, after the module has returned: its actions name them until then.
void Balancer::forget_finished() {
  for (const RequestId id : std::exchange(finished_, {})) {
    const auto it = calls_.find(id);
    if (it == calls_.end() || it->second.out > 0) continue;
    ids_.erase(it->second.command->id);
    calls_.erase(it);
  }
}

// ---- attempts

bool Balancer::wanted(const Attempt& attempt) const {
  const auto it = calls_.find(attempt.request);
  return it != calls_.end() && !it->second.over;
}

void Balancer::on_end(const AttemptPtr& attempt, Result result, std::string value) {
  if (std::exchange(attempt->ended, true)) return;
  attempt->timer->cancel();
  if (result == Result::kTimeout || result == Result::kCancelled)
    if (const auto connection = attempt->connection.lock()) connection->abandon(attempt);
  const RequestId id = attempt->request;
  Call& call = calls_.at(id);
  --call.out;
  if (result == Result::kOk && !call.over) {
    const auto& command = *call.command;
    if (command.kind == memcache::Command::Kind::kGet) {
      std::string answer = "VA " + std::to_string(value.size()) + " O" + command.id + "\r\n";
      answer += value;
      finish(id, answer += "\r\n");
    } else {
      finish(id, "HD O" + command.id + " c" + value + "\r\n");
    }
  }
  if (call.over) finished_.push_back(id);
  policy_.on_outcome(now(), {id, attempt->number, result, call.over});
  forget_finished();
}

// ---- the host list

void Balancer::on_list(const HostList& list) {
  upstreams_.apply(list);
  std::vector<HostEntry> entries;
  for (const ListedHost& host : list.hosts)
    entries.push_back(
        {host.id, host.started_at, host.origin, host.zone, host.cell, host.state, host.weight});
  policy_.on_hosts(now(), list.whole ? ListKind::kWhole : ListKind::kChanges, entries);
  forget_finished();
}

void Balancer::reload(const Config& config) {
  if (draining_since_) return;
  discovery_.move(config.discovery);
}

// ---- the end

void Balancer::drain() {
  if (draining_since_) return;
  draining_since_ = now();
  const Time last =
      *draining_since_ + std::max<Duration>(longest_deadline_ - kGiveBackLast, kDrainAccept);
  listener_->drain(std::min<Time>(*draining_since_ + longest_deadline_ / kGiveBackPart, last),
                   last);
  arm_drain();
}

void Balancer::arm_drain() {
  drain_timer_.expires_after(kDrainTick);
  drain_timer_.async_wait([this](const error_code& e) {
    if (e) return;
    const Duration since = now() - *draining_since_;
    if (since >= kDrainAccept) listener_->stop();
    if (since >= longest_deadline_ + kDrainAnswer) {
      // Those whose deadline lies beyond the end; a failure promises nothing.
      std::vector<RequestId> left;
      for (const auto& [slot, id] : by_slot_) left.push_back(id);
      for (const RequestId id : left) {
        fail(id);
        policy_.on_withdrawn(now(), id);
      }
      forget_finished();
    }
    if (since >= longest_deadline_ + kDrainExit ||
        (since >= kDrainAccept && listener_->sessions() == 0)) {
      discovery_.stop();
      io_.stop();
      return;
    }
    arm_drain();
  });
}

}  // namespace silverpin::node
