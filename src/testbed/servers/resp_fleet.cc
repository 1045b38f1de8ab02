#include "testbed/servers/resp_fleet.h"

#include <algorithm>

namespace balancer::testbed {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kReadBase = 1'000'000'000'000;
// Time to move one key of a migrating slot, and time until other nodes learn of a finished move.
constexpr Duration kKeyMoveTime = milliseconds(2), kPropagationDelay = milliseconds(100);
// Time until the death of a primary is detected, and then until it rejoins as a replica.
constexpr Duration kDetectionDelay = milliseconds(200), kRejoinDelay = std::chrono::seconds(1);

}  // namespace

RespFleet::RespFleet(Context& context, int number)
    : context_(context),
      spec_(context.scenario.clusters[static_cast<std::size_t>(number)]),
      number_(number),
      random_(context.scenario.seed, 300 + static_cast<std::uint64_t>(number)),
      cluster_(context.io, spec_.primaries, spec_.replicas, spec_.lag) {
  cluster_.observer = this;
  for (int i = 0; i < cluster_.size(); ++i) {
    const std::string name = spec_.name + "-" + std::to_string(i);
    nodes_.push_back(std::make_unique<Node>(
        Node{name, context.auditor.add_host(name), spec_.speed.draw(random_), Engine(context)}));
    start(i);
  }
}

void RespFleet::start(int node) {
  HostSpec one;
  one.cores = 1;
  one.slots = 1;
  one.waiting = 1 << 20;
  Node& n = *nodes_[static_cast<std::size_t>(node)];
  one.speed = n.speed;
  n.engine.start(one, false);
}

void RespFleet::fill(const std::vector<std::string>& keys) {
  keys_.assign(keys.rbegin(), keys.rend());
  std::vector<std::string> prefixes;
  for (const ClassSpec& c : context_.scenario.classes)
    if (c.cluster == number_ &&
        std::find(prefixes.begin(), prefixes.end(), c.prefix) == prefixes.end())
      prefixes.push_back(c.prefix);
  for (const auto& prefix : prefixes)
    for (const auto& key : keys)
      cluster_.fill(resp::Command::from_args({"RPUSH", prefix + key, "first of " + key}));
}

// ---- requests

resp::Command RespFleet::command(const Context& context, const ClassSpec& request_class,
                                 RequestNumber r, std::string_view key) {
  const std::string name = request_class.prefix + std::string(key);
  if (request_class.write()) return resp::Command::from_args({"RPUSH", name, context.wire_id(r)});
  return resp::Command::from_args({"LRANGE", name, "-3", std::to_string(kReadBase + r)});
}

std::optional<RequestNumber> RespFleet::request_of(const resp::Command& c) const {
  if (c.size() == 3) return context_.number_of(c[2]);
  const auto n = c.size() == 4 ? resp::parse_int64(c[3]) : std::nullopt;
  if (!n || *n < kReadBase || *n - kReadBase > UINT32_MAX) return std::nullopt;
  const auto r = static_cast<RequestNumber>(*n - kReadBase);
  return context_.auditor.known(r) ? std::optional(r) : std::nullopt;
}

int RespFleet::on_command(int node, const resp::Command& c, std::function<void()> run) {
  Node& n = *nodes_[static_cast<std::size_t>(node)];
  ++n.commands;
  const auto r = request_of(c);
  if (!r) {
    context_.auditor.on_forged(context_.now(), n.audit_id, c.wire());
    run();
    return -1;
  }
  const int name = next_open_++;
  open_[name] = {*r, context_.auditor.on_arrived(context_.now(), *r, n.audit_id)};
  // `run` is posted, because the caller needs the returned name before it runs.
  n.engine.submit(context_.auditor.work_of(*r), 0,
                  {nullptr, [this, run = std::move(run)](Time) { asio::post(context_.io, run); }});
  return name;
}

void RespFleet::on_reply(int node, const resp::Command&, int name, bool ran,
                         std::string_view reply) {
  const auto open = open_.extract(name);
  if (open.empty() || node < 0) return;
  const auto [r, attempt] = open.mapped();
  const Time now = context_.now();
  if (!ran) return context_.auditor.on_never_ran(now, r, attempt, reply.substr(0, 40));
  context_.auditor.on_begun(now, r, attempt, false);
  context_.auditor.on_made(now, r, attempt, reply);
}

// ---- incidents

void RespFleet::strike(const IncidentSpec& i) {
  switch (i.what) {
    case What::kMoveSlots:
      return move_slots(i, context_.now() + i.length);
    case What::kFailover:
      return fail_over(i);
    default:
      for (auto& n : nodes_) n->engine.freeze();
      context_.after(i.length, [this] {
        for (auto& n : nodes_) n->engine.thaw();
      });
  }
}

std::vector<int> RespFleet::owners() const {
  std::vector<int> all;
  for (std::uint32_t s = 0; s < cluster::kSlots; ++s) {
    const int o = cluster_.owner(static_cast<cluster::Slot>(s));
    if (cluster_.up(o) && std::find(all.begin(), all.end(), o) == all.end()) all.push_back(o);
  }
  return all;
}

// On average, half of the moves take the slot of a popular key, so that moves coincide with
// requests.
void RespFleet::move_slots(const IncidentSpec& i, Time until) {
  if (context_.now() >= until) return;
  context_.after(from_seconds(1 / std::max(i.factor, 0.1)),
                 [this, &i, until] { move_slots(i, until); });
  const auto all = owners();
  if (all.size() < 2) return;
  const auto& classes = context_.scenario.classes;
  const auto request_class = std::find_if(
      classes.begin(), classes.end(), [this](const ClassSpec& c) { return c.cluster == number_; });
  const bool popular = random_.chance(0.5) && !keys_.empty() && request_class != classes.end();
  const auto slot =
      popular ? cluster::slot_of(request_class->prefix +
                                 keys_[random_.below(std::min<std::size_t>(keys_.size(), 50))])
              : static_cast<cluster::Slot>(random_.below(cluster::kSlots));
  const int to = all[random_.below(all.size())], from = cluster_.owner(slot);
  if (to == from || !cluster_.up(from) || cluster_.moving_to(slot)) return;
  cluster_.begin_move(slot, to);
  move_next_key(slot);
}

void RespFleet::move_next_key(cluster::Slot slot) {
  context_.after(kKeyMoveTime, [this, slot] {
    if (!cluster_.moving_to(slot)) return;  // a failover has cancelled the move
    if (cluster_.move_key(slot)) return move_next_key(slot);
    cluster_.end_move(slot);
    propagate_later();
  });
}

void RespFleet::propagate_later() {
  context_.after(kPropagationDelay, [this] {
    for (int n = 0; n < cluster_.size(); ++n)
      if (!uninformed_.count(n)) cluster_.update_node(n);
  });
}

// Fails over a random primary. If the incident has a length, the old primary keeps accepting
// commands for that time; otherwise it is killed.
void RespFleet::fail_over(const IncidentSpec& i) {
  std::vector<int> candidates;
  for (const int o : owners()) {
    const auto& replicas = cluster_.replicas(o);
    if (std::any_of(replicas.begin(), replicas.end(), [this](int r) { return cluster_.up(r); }))
      candidates.push_back(o);
  }
  if (candidates.empty()) return;
  const int old = candidates[random_.below(candidates.size())];
  uninformed_.insert(old);
  const auto update_map = [this, old] {
    uninformed_.erase(old);
    cluster_.update_node(old);
  };
  if (i.length > Duration{0}) {
    cluster_.fail_over(old);
    propagate_later();
    return context_.after(i.length, update_map);
  }
  cluster_.kill(old);
  nodes_[static_cast<std::size_t>(old)]->engine.stop();
  context_.after(kDetectionDelay, [this, old] {
    cluster_.fail_over(old);
    propagate_later();
  });
  context_.after(kDetectionDelay + kRejoinDelay, [this, old, update_map] {
    start(old);
    cluster_.restart(old);
    update_map();
  });
}

std::vector<RespFleet::NodeFigures> RespFleet::figures() const {
  std::vector<NodeFigures> all;
  for (const auto& n : nodes_) {
    const double running = n->engine.model() ? n->engine.model()->work_done() : 0;
    all.push_back({n->name, n->speed, n->engine.done_before() + running, n->commands});
  }
  return all;
}

}  // namespace balancer::testbed
