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

// What this instance is able to do is looked at this often; the look's own delay is the event
// loop's lateness.
constexpr Duration kLook = milliseconds(50);

DatagramSocket::Endpoint udp(const std::string& text) {
  const auto e = *parse_endpoint(text);
  return {e.address(), e.port()};
}

AddressSet networks_of(const GroupFile& file) {
  AddressSet set;
  for (const auto& n : file.networks) set.insert(n);
  return set;
}

}  // namespace

GroupRuntime::GroupRuntime(asio::io_context& io, const GroupFile& file, bool serves, Owner owner)
    : io_(io),
      file_(file),
      serves_(serves),
      owner_(std::move(owner)),
      storage_(file.folder, file.lease_manager.times.duration, owner_.log),
      keys_(group::read_keys(file.key_file), file.key_change),
      eligibility_(file.eligibility),
      timer_(io),
      look_timer_(io),
      began_(lease_now()) {
  storage_.open(lease_now());
  make_instance();
  if (serves)
    for (const auto& a : file.addresses) carriers_[a.name].spec = &a;
  socket_ = std::make_unique<DatagramSocket>(
      io, udp(file.listen), networks_of(file),
      [this](const DatagramSocket::Endpoint& from, std::string_view bytes) {
        on_datagram(from, bytes);
      });
  if (serves && file.bgp) {
    bgp_ = std::make_unique<BgpLinks>(
        io, *file.bgp, life_ + 1, [this] { work(); }, owner_.log);
    // Until a session is up this instance can announce nothing.
    eligibility_.on_condition(lease_now(), lease::Eligibility::Condition::kRoutersConnected, false);
  }
  look_at_ = lease_now();
  look();
}

GroupRuntime::~GroupRuntime() { end(); }

void GroupRuntime::make_instance() {
  life_ = storage_.incarnation();
  group::GroupNodeSettings s;
  s.name = file_.name;
  s.endpoint = file_.announce;
  s.incarnation = life_;
  s.membership = file_.membership;
  s.lease_manager = file_.lease_manager;
  if (!serves_) s.lease_manager.addresses.clear();
  s.initial_voters = file_.founding;
  s.may_hold_leases = serves_;
  const std::uint64_t seed = life_ ^ std::hash<std::string>()(file_.name);
  group_node_.emplace(s, storage_.remembered(), storage_, seed, lease_now());
}

// A voter that cannot remember gives no vote; all else goes on. Once its folder can be used it
// votes like one that has just started: what it reads then is the last that it has promised.
void GroupRuntime::open_storage() {
  const Time now = lease_now();
  if (!storage_.open(now)) return;
  // Where the wall clock was set back since, the others hear nothing of this incarnation: it holds
  // nothing, and begins again as a later one.
  if (storage_.incarnation() != life_ && group_node_->is_idle() && !left_) {
    make_instance();
  } else {
    group_node_->restore_voter(now, storage_.remembered());
  }
  work();
}

// ---- datagrams

void GroupRuntime::on_datagram(const DatagramSocket::Endpoint& from, std::string_view bytes) {
  if (ended_) return;
  const auto plain = keys_.open(lease_now(), bytes);
  if (!plain) {
    ++unsealed_;
    return;
  }
  const auto datagram = group::decode(*plain);
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
  work();
}

void GroupRuntime::send(const group::GroupNode::OutgoingDatagram& out) {
  const auto to = parse_endpoint(out.endpoint);
  if (!to) return;
  send({to->address(), to->port()}, {file_.name, life_, 0, out.to, out.body});
}

// What does not fit one datagram goes in two.
void GroupRuntime::send(const DatagramSocket::Endpoint& to, group::Datagram d) {
  d.sequence = ++sequence_;
  const std::string plain = encode(d);
  if (plain.size() + group::kSealedOverhead <= group::kMaxDatagram)
    return socket_->send(to, keys_.seal(lease_now(), plain));
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

// ---- what the instance wants

// May be called from inside any of what it calls.
void GroupRuntime::work() {
  if (ended_) return;
  if (std::exchange(working_, true)) {
    again_ = true;
    return;
  }
  do {
    again_ = false;
    work_once(lease_now());
  } while (again_);
  working_ = false;
  arm();
}

void GroupRuntime::work_once(Time now) {
  for (const auto& s : group_node_->take_datagrams()) send(s);
  for (const auto& c : group_node_->take_route_actions()) carry(now, c);
  for (auto& [address, carrier] : carriers_) {
    if (!carrier.spec->prefix) carry_commands(now, address, carrier);
    set_listening(now, address, carrier);
  }
  if (bgp_) {
    bgp_->carry_out();
    take_bgp_events(now);
  }
  for (const auto& line : group_node_->take_log_lines()) owner_.log(line);
  if (left_ && (group_node_->is_idle() || now >= leave_by_)) {
    asio::post(io_, std::exchange(left_, nullptr));
  }
}

void GroupRuntime::carry(Time now, const lease::RouteAction& what) {
  using Kind = lease::RouteAction::Kind;
  const auto it = carriers_.find(what.address);
  if (it == carriers_.end()) return;
  Carrier& c = it->second;
  if (what.kind == Kind::kAnnounce) {
    // Nobody is led here before somebody listens.
    set_listening(now, what.address, c);
    if (!c.listening) {
      group_node_->on_claim_failed(now, what.address);
      again_ = true;
      return;
    }
    if (c.spec->prefix) {
      bgp_->speaker().announce(now, what.address, *c.spec->prefix, what.term);
    } else {
      c.commands.claim(now, what.term);
    }
  } else if (what.kind == Kind::kDeprefer) {
    if (c.spec->prefix) bgp_->speaker().fade(now, what.address);
  } else if (c.spec->prefix) {
    bgp_->speaker().withdraw(now, what.address);
  } else {
    c.commands.release(now);
  }
}

void GroupRuntime::take_bgp_events(Time now) {
  using Kind = bgp::Speaker::Event::Kind;
  for (const auto& e : bgp_->speaker().take_events()) {
    again_ = true;
    if (e.kind == Kind::kAnnounced) {
      group_node_->on_announced(now, e.address);
    } else if (e.kind == Kind::kWithdrawn) {
      group_node_->on_withdrawn(now, e.address);
    } else {
      owner_.log("address " + e.address + ": too few routers have taken it in time");
      group_node_->on_claim_failed(now, e.address);
    }
  }
}

void GroupRuntime::carry_commands(Time now, const std::string& address, Carrier& carrier) {
  using Kind = CommandCarrier::Action::Kind;
  if (carrier.commands.next() <= now) carrier.commands.on_timer(now);
  for (const auto& a : carrier.commands.take_actions()) {
    again_ = true;
    const auto run = [&](const std::vector<std::string>& words, const char* what) {
      carrier.running = std::make_unique<Command>(
          io_, words,
          std::vector<std::string>{
              std::string(kAddressVariable) + "=" + address,
              std::string(kTermVariable) + "=" + std::to_string(carrier.commands.term())},
          carrier.spec->command_limit, [this, address, what](const std::string& why) {
            if (!why.empty())
              owner_.log(std::string("address ")
                             .append(address)
                             .append(": ")
                             .append(what)
                             .append(" ")
                             .append(why));
            Carrier& c = carriers_.at(address);
            c.running.reset();
            c.commands.on_end(lease_now(), why);
            work();
          });
    };
    switch (a.kind) {
      case Kind::kClaim:
        run(carrier.spec->claim, "claim");
        break;
      case Kind::kRelease:
        run(carrier.spec->release, "release");
        break;
      case Kind::kCut:
        if (carrier.running) carrier.running->cut("was not needed any more");
        break;
      case Kind::kAnnounced:
        group_node_->on_announced(now, address);
        break;
      case Kind::kWithdrawn:
        group_node_->on_withdrawn(now, address);
        break;
      case Kind::kFailed:
        group_node_->on_claim_failed(now, address);
        break;
      case Kind::kGivenUp:
        owner_.log("address " + address + ": release has failed " +
                   std::to_string(CommandCarrier::kMaxReleases) +
                   " times and is not tried again: it may still be claimed here");
        group_node_->on_withdrawn(now, address);
        break;
    }
  }
}

// Listened on from the claim to the withdrawal.
void GroupRuntime::set_listening(Time now, const std::string& address, Carrier& carrier) {
  const auto* lease_holder = group_node_->lease_manager().lease_holder(address);
  const bool wanted =
      lease_holder && (lease_holder->should_listen() ||
                       lease_holder->state() == lease::LeaseHolder::State::kReleasing);
  if (wanted == carrier.listening) return;
  if (wanted) {
    carrier.listening = owner_.listen(address);
    return;
  }
  carrier.listening = false;
  owner_.unlisten(address, lease_holder && lease_holder->may_serve(now, file_.drain));
}

bool GroupRuntime::may_serve(const std::string& address) const {
  const auto* lease_holder = group_node_->lease_manager().lease_holder(address);
  return lease_holder && lease_holder->may_serve(lease_now(), file_.drain);
}

// ---- time

void GroupRuntime::arm() {
  if (ended_) return;
  Time next = group_node_->next();
  for (const auto& [address, c] : carriers_) next = std::min(next, c.commands.next());
  if (left_) next = std::min(next, leave_by_);
  if (next == timer_at_) return;
  timer_at_ = next;
  if (next == Time::max()) {
    timer_.cancel();
    return;
  }
  timer_.expires_after(std::max(next - lease_now(), Duration{0}));
  timer_.async_wait([this](const error_code& e) {
    if (e || ended_) return;
    timer_at_ = Time::max();
    group_node_->on_timer(lease_now());
    work();
  });
}

void GroupRuntime::look() {
  open_storage();
  const Time now = lease_now();
  using Condition = lease::Eligibility::Condition;
  eligibility_.on_lateness(now, now - look_at_);
  eligibility_.on_condition(now, Condition::kHostsListed,
                            !owner_.hosts_listed || owner_.hosts_listed());
  if (bgp_)
    eligibility_.on_condition(now, Condition::kRoutersConnected,
                              bgp_->speaker().up(now) >= file_.bgp->speaker.routers_needed);
  const bool eligible = eligibility_.eligible(now);
  group_node_->on_eligible(now, eligible, eligibility_.reason());
  work();
  look_at_ = now + kLook;
  arm_look();
}

void GroupRuntime::arm_look() {
  look_timer_.expires_after(kLook);
  look_timer_.async_wait([this](const error_code& e) {
    if (!e && !ended_) look();
  });
}

// ---- ends

void GroupRuntime::reload() { keys_.reload(lease_now(), group::read_keys(file_.key_file)); }

void GroupRuntime::leave(std::function<void()> done) {
  const auto& times = file_.lease_manager.times;
  leave_by_ = lease_now() + times.duration + times.overlap;
  left_ = std::move(done);
  eligibility_.on_condition(lease_now(), lease::Eligibility::Condition::kNotDraining, false);
  group_node_->leave(lease_now());
  work();
}

void GroupRuntime::end() {
  if (ended_) return;
  group_node_->announce_departure(lease_now());
  for (const auto& s : group_node_->take_datagrams()) send(s);
  ended_ = true;
  if (bgp_) bgp_->stop("it ends");
  timer_.cancel();
  look_timer_.cancel();
  for (auto& [address, c] : carriers_) c.running.reset();
  socket_->close();
}

// ---- what operators see

void GroupRuntime::command(const std::string& line,
                           const std::function<void(const std::string&)>& answer) {
  std::istringstream words(line);
  std::string verb, what, name, more;
  words >> verb;
  if (verb == "status" && !(words >> more)) return answer(status());
  if (verb == "voters" && (words >> what >> name) && (what == "add" || what == "remove") &&
      !(words >> more)) {
    const bool add = what == "add";
    group_node_->change_voters(
        lease_now(), name, add,
        [answer](bool done, const std::string& outcome) { answer(outcome_json(done, outcome)); });
    return work();
  }
  if (verb == "move" && (words >> what)) {
    words >> name;
    if (!(words >> more)) {
      const std::string why = group_node_->move(lease_now(), what, name);
      answer(outcome_json(why.empty(), why.empty() ? "it is being handed over" : why));
      return work();
    }
  }
  answer(
      outcome_json(false, "status, move ADDRESS [INSTANCE], voters add NAME, voters remove NAME"));
}

std::string GroupRuntime::status() const {
  StatusFigures f;
  f.name = file_.name;
  f.life = life_;
  f.serves = serves_;
  f.eligible = eligibility_.reason();
  f.up_for = lease_now() - began_;
  f.datagrams = socket_->counters();
  f.unsealed = unsealed_;
  f.replayed = replayed_;
  f.unreadable = unreadable_;
  f.writes = storage_.writes();
  f.longest_write = storage_.longest_write();
  f.remembers = storage_.is_open();
  return status_json(f, *group_node_, file_, bgp_ ? &bgp_->speaker() : nullptr, lease_now());
}

}  // namespace balancer::group_runtime
