#include "group_runtime/group_runtime.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "group_runtime/status.h"
#include "net/host_list.h"
#include "net/lease_clock.h"
#include "structures/persisted_names.h"

namespace balancer::group_runtime {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using std::chrono::milliseconds;

// Interval between two checks of eligibility. The delay of a check beyond it measures how late the
// event loop runs.
constexpr Duration kEligibilityInterval = milliseconds(50);

DatagramSocket::Endpoint udp_endpoint(const std::string& text) {
  const auto e = *parse_endpoint(text);
  return {e.address(), e.port()};
}

AddressSet networks_of(const GroupSettings& file) {
  AddressSet set;
  for (const auto& n : file.networks) set.insert(n);
  return set;
}

}  // namespace

GroupRuntime::GroupRuntime(asio::io_context& io, const GroupSettings& file, bool serves,
                           Callbacks owner)
    : io_(io),
      file_(file),
      serves_(serves),
      owner_(std::move(owner)),
      storage_(file.folder, file.lease_manager.times.duration, owner_.log),
      keys_(group::read_keys(file.key_file), file.key_change_time),
      eligibility_(file.eligibility),
      timer_(io),
      eligibility_timer_(io),
      started_at_(lease_now()) {
  storage_.open(lease_now());
  make_group_node();
  if (serves)
    for (const auto& a : file.addresses) announcers_[a.name].spec = &a;
  socket_ = std::make_unique<DatagramSocket>(
      io, udp_endpoint(file.listen), networks_of(file),
      [this](const DatagramSocket::Endpoint& from, std::string_view bytes) {
        on_datagram(from, bytes);
      });
  if (serves && file.bgp) {
    bgp_ = std::make_unique<BgpLinks>(
        io, *file.bgp, incarnation_ + 1, [this] { run_effects(); }, owner_.log);
    // Without an established session this member cannot announce an address.
    eligibility_.on_condition(lease_now(), lease::Eligibility::Condition::kRoutersConnected, false);
  }
  eligibility_check_at_ = lease_now();
  check_eligibility();
}

GroupRuntime::~GroupRuntime() { shut_down(); }

void GroupRuntime::make_group_node() {
  incarnation_ = storage_.incarnation();
  group::GroupNodeSettings s;
  s.name = file_.name;
  s.endpoint = file_.announce;
  s.incarnation = incarnation_;
  s.membership = file_.membership;
  s.lease_manager = file_.lease_manager;
  if (!serves_) s.lease_manager.addresses.clear();
  s.initial_voters = file_.initial_voters;
  s.may_hold_leases = serves_;
  const std::uint64_t seed = incarnation_ ^ std::hash<std::string>()(file_.name);
  group_node_.emplace(s, storage_.remembered(), storage_, seed, lease_now());
}

// A voter without durable storage grants no votes; everything else continues. Once the folder can
// be used, the voter resumes from its stored record, because it promised nothing in between.
void GroupRuntime::open_storage() {
  const Time now = lease_now();
  if (!storage_.open(now)) return;
  // After the wall clock was set back, the other members ignore this incarnation as outdated. A
  // member that holds no lease and is not leaving starts again as a later incarnation.
  if (storage_.incarnation() != incarnation_ && group_node_->is_idle() && !is_leaving_) {
    make_group_node();
  } else {
    group_node_->restore_voter(now, storage_.remembered());
  }
  run_effects();
}

// ---- datagrams

void GroupRuntime::on_datagram(const DatagramSocket::Endpoint& from, std::string_view bytes) {
  if (ended_) return;
  const auto plaintext = keys_.open(lease_now(), bytes);
  if (!plaintext) {
    ++unauthenticated_;
    return;
  }
  const auto datagram = group::decode(*plaintext);
  if (!datagram || datagram->sender == file_.name ||
      (!datagram->to.empty() && datagram->to != file_.name)) {
    ++unreadable_;
    return;
  }
  if (!replays_.accept(datagram->sender, datagram->incarnation, datagram->sequence)) {
    ++replayed_;
    return;
  }
  std::ostringstream endpoint;
  endpoint << from;
  group_node_->on_datagram(lease_now(), endpoint.str(), *datagram);
  run_effects();
}

void GroupRuntime::send(const group::GroupNode::OutgoingDatagram& message) {
  const auto to = parse_endpoint(message.endpoint);
  if (!to) return;
  send({to->address(), to->port()}, {file_.name, incarnation_, 0, message.to, message.body});
}

// Splits gossip that does not fit into one datagram.
void GroupRuntime::send(const DatagramSocket::Endpoint& to, group::Datagram d) {
  d.sequence = ++sequence_;
  const std::string plaintext = encode(d);
  if (plaintext.size() + group::kSealedOverhead <= group::kMaxDatagram)
    return socket_->send(to, keys_.seal(lease_now(), plaintext));
  auto* const gossip = std::get_if<membership::GossipMessage>(&d.body);
  if (!gossip || gossip->updates.size() < 2) return;
  const auto half =
      gossip->updates.begin() + static_cast<std::ptrdiff_t>(gossip->updates.size() / 2);
  group::Datagram rest = d;
  rest.body = membership::GossipMessage{
      membership::GossipMessage::Kind::kGossip,
      0,
      {},
      {std::make_move_iterator(half), std::make_move_iterator(gossip->updates.end())}};
  gossip->updates.erase(half, gossip->updates.end());
  send(to, std::move(d));
  send(to, std::move(rest));
}

// ---- effects of the group node

// May be reentered through its callbacks: the outer call then repeats until no effects are left.
void GroupRuntime::run_effects() {
  if (ended_) return;
  if (std::exchange(effects_running_, true)) {
    effects_pending_ = true;
    return;
  }
  do {
    effects_pending_ = false;
    run_effects_once(lease_now());
  } while (effects_pending_);
  effects_running_ = false;
  arm_timer();
}

void GroupRuntime::run_effects_once(Time now) {
  for (const auto& s : group_node_->take_datagrams()) send(s);
  for (const auto& action : group_node_->take_route_actions()) apply_route_action(now, action);
  for (auto& [address, announcer] : announcers_) {
    if (!announcer.spec->prefix) run_commands(now, address, announcer);
    set_listening(now, address, announcer);
  }
  if (bgp_) {
    bgp_->run_actions();
    apply_bgp_events(now);
  }
  for (const auto& line : group_node_->take_log_lines()) owner_.log(line);
}

void GroupRuntime::apply_route_action(Time now, const lease::RouteAction& action) {
  using Kind = lease::RouteAction::Kind;
  const auto it = announcers_.find(action.address);
  if (it == announcers_.end()) return;
  RouteAnnouncer& announcer = it->second;
  if (action.kind == Kind::kAnnounce) {
    // The listeners must be open before routes lead clients to this member.
    set_listening(now, action.address, announcer);
    if (!announcer.listening) {
      group_node_->on_announcement_failed(now, action.address);
      effects_pending_ = true;
      return;
    }
    if (announcer.spec->prefix) {
      bgp_->speaker().announce(now, action.address, *announcer.spec->prefix, action.term);
    } else {
      announcer.commands.claim(now, action.term);
    }
  } else if (action.kind == Kind::kDeprefer) {
    if (announcer.spec->prefix) bgp_->speaker().deprefer(now, action.address);
  } else if (announcer.spec->prefix) {
    bgp_->speaker().withdraw(now, action.address);
  } else {
    announcer.commands.release(now);
  }
}

void GroupRuntime::apply_bgp_events(Time now) {
  using Kind = bgp::Speaker::Event::Kind;
  for (const auto& e : bgp_->speaker().take_events()) {
    effects_pending_ = true;
    if (e.kind == Kind::kAnnounced) {
      group_node_->on_announced(now, e.address);
    } else if (e.kind == Kind::kWithdrawn) {
      group_node_->on_withdrawn(now, e.address);
    } else {
      owner_.log("lease " + e.address +
                 ": announcement failed: too few routers acknowledged it in time");
      group_node_->on_announcement_failed(now, e.address);
    }
  }
}

void GroupRuntime::run_commands(Time now, const std::string& address, RouteAnnouncer& announcer) {
  using Kind = CommandAnnouncer::Action::Kind;
  if (announcer.commands.next_timer_at() <= now) announcer.commands.on_timer(now);
  for (const auto& action : announcer.commands.take_actions()) {
    effects_pending_ = true;
    switch (action.kind) {
      case Kind::kClaim:
        start_command(address, announcer, announcer.spec->claim, "claim");
        break;
      case Kind::kRelease:
        start_command(address, announcer, announcer.spec->release, "release");
        break;
      case Kind::kAbort:
        if (announcer.running_command)
          announcer.running_command->abort("aborted: the address is being released");
        break;
      case Kind::kAnnounced:
        group_node_->on_announced(now, address);
        break;
      case Kind::kWithdrawn:
        group_node_->on_withdrawn(now, address);
        break;
      case Kind::kFailed:
        group_node_->on_announcement_failed(now, address);
        break;
      case Kind::kReleaseAbandoned:
        owner_.log("lease " + address + ": release command failed " +
                   std::to_string(CommandAnnouncer::kMaxReleaseAttempts) +
                   " times and is not retried: the address may still be claimed on this machine");
        group_node_->on_withdrawn(now, address);
        break;
    }
  }
}

void GroupRuntime::start_command(const std::string& address, RouteAnnouncer& announcer,
                                 const std::vector<std::string>& arguments, const char* name) {
  const std::vector<std::string> environment{
      std::string(kAddressVariable) + "=" + address,
      std::string(kTermVariable) + "=" + std::to_string(announcer.commands.term())};
  announcer.running_command =
      std::make_unique<Command>(io_, arguments, environment, announcer.spec->command_limit,
                                [this, address, name](const std::string& error) {
                                  if (!error.empty())
                                    owner_.log(std::string("lease ")
                                                   .append(address)
                                                   .append(": ")
                                                   .append(name)
                                                   .append(" command failed: ")
                                                   .append(error));
                                  RouteAnnouncer& finished = announcers_.at(address);
                                  finished.running_command.reset();
                                  finished.commands.on_command_ended(lease_now(), error);
                                  run_effects();
                                });
}

// The listeners are open from the claim until the route is withdrawn.
void GroupRuntime::set_listening(Time now, const std::string& address, RouteAnnouncer& announcer) {
  const auto* lease_holder = group_node_->lease_manager().lease_holder(address);
  const bool wanted =
      lease_holder && (lease_holder->should_listen() ||
                       lease_holder->state() == lease::LeaseHolder::State::kReleasing);
  if (wanted == announcer.listening) return;
  if (wanted) {
    announcer.listening = owner_.listen(address);
    return;
  }
  announcer.listening = false;
  owner_.unlisten(address, lease_holder && lease_holder->may_serve(now, file_.drain));
}

bool GroupRuntime::may_serve(const std::string& address) const {
  const auto* lease_holder = group_node_->lease_manager().lease_holder(address);
  return lease_holder && lease_holder->may_serve(lease_now(), file_.drain);
}

// ---- timers

void GroupRuntime::arm_timer() {
  if (ended_) return;
  Time next = group_node_->next_timer_at();
  for (const auto& [address, announcer] : announcers_)
    next = std::min(next, announcer.commands.next_timer_at());
  if (next == timer_due_) return;
  timer_due_ = next;
  if (next == Time::max()) {
    timer_.cancel();
    return;
  }
  timer_.expires_after(std::max(next - lease_now(), Duration{0}));
  timer_.async_wait([this](const error_code& e) {
    if (e || ended_) return;
    timer_due_ = Time::max();
    group_node_->on_timer(lease_now());
    run_effects();
  });
}

void GroupRuntime::check_eligibility() {
  open_storage();
  const Time now = lease_now();
  using Condition = lease::Eligibility::Condition;
  eligibility_.on_lateness(now, now - eligibility_check_at_);
  eligibility_.on_condition(now, Condition::kHostsListed,
                            !owner_.hosts_listed || owner_.hosts_listed());
  if (bgp_)
    eligibility_.on_condition(now, Condition::kRoutersConnected,
                              bgp_->speaker().routers_up(now) >= file_.bgp->speaker.min_routers);
  const bool eligible = eligibility_.eligible(now);
  group_node_->on_eligible(now, eligible, eligibility_.reason());
  run_effects();
  eligibility_check_at_ = now + kEligibilityInterval;
  arm_eligibility_timer();
}

void GroupRuntime::arm_eligibility_timer() {
  eligibility_timer_.expires_after(kEligibilityInterval);
  eligibility_timer_.async_wait([this](const error_code& e) {
    if (!e && !ended_) check_eligibility();
  });
}

// ---- shutdown

void GroupRuntime::reload() { keys_.reload(lease_now(), group::read_keys(file_.key_file)); }

void GroupRuntime::leave(Duration time_left) {
  const Time now = lease_now();
  is_leaving_ = true;
  for (auto& [address, announcer] : announcers_)
    announcer.commands.limit_release(now, now + time_left);
  eligibility_.on_condition(now, lease::Eligibility::Condition::kNotDraining, false);
  group_node_->leave(now);
  run_effects();
}

bool GroupRuntime::has_left() const {
  return is_leaving_ && group_node_->is_idle() &&
         std::all_of(announcers_.begin(), announcers_.end(), [](const auto& entry) {
           return entry.second.commands.state() == CommandAnnouncer::State::kIdle;
         });
}

void GroupRuntime::shut_down() {
  if (ended_) return;
  for (const auto& [address, announcer] : announcers_)
    if (is_leaving_ && announcer.commands.state() != CommandAnnouncer::State::kIdle)
      owner_.log("lease " + address +
                 ": the process ends before its release command has succeeded: the address may "
                 "still be claimed on this machine");
  group_node_->announce_departure(lease_now());
  for (const auto& s : group_node_->take_datagrams()) send(s);
  ended_ = true;
  if (bgp_) bgp_->stop("it ends");
  timer_.cancel();
  eligibility_timer_.cancel();
  for (auto& [address, announcer] : announcers_) announcer.running_command.reset();
  socket_->close();
}

// ---- operator commands and status

void GroupRuntime::run_command(const std::string& line,
                               const std::function<void(const std::string&)>& answer) {
  std::istringstream words(line);
  std::string verb, argument, name, excess;
  words >> verb;
  if (verb == "status" && !(words >> excess)) return answer(status());
  if (verb == "voters" && (words >> argument >> name) &&
      (argument == "add" || argument == "remove") && !(words >> excess)) {
    const bool add = argument == "add";
    group_node_->reconfigure_voters(
        lease_now(), name, add,
        [answer](bool done, const std::string& outcome) { answer(outcome_json(done, outcome)); });
    return run_effects();
  }
  if (verb == "move" && (words >> argument)) {
    words >> name;
    if (!(words >> excess)) {
      const std::string refusal = group_node_->move(lease_now(), argument, name);
      answer(outcome_json(refusal.empty(), refusal.empty() ? "handover started" : refusal));
      return run_effects();
    }
  }
  answer(
      outcome_json(false, "status, move ADDRESS [INSTANCE], voters add NAME, voters remove NAME"));
}

std::string GroupRuntime::status() const {
  StatusFigures f;
  f.name = file_.name;
  f.incarnation = incarnation_;
  f.serves = serves_;
  f.eligibility = eligibility_.reason();
  f.uptime = lease_now() - started_at_;
  f.datagrams = socket_->counters();
  f.unauthenticated = unauthenticated_;
  f.replayed = replayed_;
  f.unreadable = unreadable_;
  f.writes = storage_.writes();
  f.longest_write = storage_.longest_write();
  f.storage_open = storage_.is_open();
  return status_json(f, *group_node_, file_, bgp_ ? &bgp_->speaker() : nullptr, lease_now());
}

}  // namespace balancer::group_runtime
