#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "group/group_node.h"

// Simulation of a group of nodes under one simulated clock. Each node has a local clock with its
// own rate and offset. The network loses, delays, duplicates and reorders datagrams, and a router
// stores the announced routes. A run is determined by its seed.
namespace balancer::group {

class GroupSim {
 public:
  struct Faults {
    // Probabilities for each datagram: lost, duplicated, or delayed by up to 200 ms.
    double loss = 0, duplicate = 0, delay = 0;
  };
  struct Router {
    std::map<std::string, std::map<std::string, lease::Term>> routes;  // address, instance
    // Returns the instance to which traffic is routed, which is the one that announces the newest
    // term; empty if no instance announces the address.
    std::string owner(const std::string& address) const {
      const auto it = routes.find(address);
      std::string best;
      lease::Term term = 0;
      if (it != routes.end())
        for (const auto& [name, t] : it->second)
          if (best.empty() || t > term) best = name, term = t;
      return best;
    }
  };

  GroupSim(std::uint64_t seed, int instances, int addresses, int voters = 3,
           lease::LeaseManagerSettings lease_manager = {})
      : random_(seed) {
    for (int i = 0; i < addresses; ++i)
      lease_manager.addresses.push_back({"svc" + std::to_string(i), {}});
    lease_manager_ = lease_manager;
    for (int v = 0; v < voters; ++v) initial_voters_.names.push_back(name_of(v));
    std::sort(initial_voters_.names.begin(), initial_voters_.names.end());
    for (int i = 0; i < instances; ++i) {
      Node& n = nodes_[name_of(i)];
      n.name = name_of(i);
      n.rate = std::uniform_real_distribution<>(0.99, 1.01)(random_);
      n.offset = Duration(static_cast<Duration::rep>(random_() % 1'000'000'000'000));
      n.disk = lease::VoterRecord{initial_voters_, {}};
    }
    for (auto& [name, n] : nodes_) start(n);
  }
  static std::string name_of(int i) {
    return "n" + std::string(i < 10 ? "0" : "") + (i < 100 ? "0" : "") + std::to_string(i);
  }

  Faults faults;
  Router router;
  // Links (from, to) that drop all datagrams; the router has the name "router".
  std::set<std::pair<std::string, std::string>> dropped_links;
  std::function<void()> invariant_check;  // called after each event
  std::uint64_t datagrams = 0, bytes = 0, writes = 0, max_datagram = 0;

  Time now() const { return now_; }
  void at(Time when, std::function<void()> then) {
    events_.push({when, ++sequence_, std::move(then)});
  }
  void after(Duration delay, std::function<void()> then) { at(now_ + delay, std::move(then)); }
  void run(Duration length) {
    const Time end = now_ + length;
    while (!events_.empty() && events_.top().at <= end) {
      const auto event = events_.top();
      events_.pop();
      now_ = event.at;
      event.then();
      if (invariant_check) invariant_check();
    }
    now_ = end;
  }
  template <typename Done>
  bool run_until(Done&& done, Duration limit) {
    const Time end = now_ + limit;
    while (!done() && now_ < end) run(std::chrono::milliseconds(1));
    return done();
  }

  // ---- faults and commands
  void kill(const std::string& name) {
    Node& n = nodes_.at(name);
    n.instance.reset();
    ++n.epoch;
    drop_routes_after(n, Duration{0});  // its connections are closed at once
  }
  void restart(const std::string& name, bool loses_record = false) {
    Node& n = nodes_.at(name);
    if (loses_record) n.disk.reset();
    start(n);
  }
  void pause(const std::string& name) {
    Node& n = nodes_.at(name);
    n.paused = true;
    // The router closes a silent session after its hold time.
    drop_routes_after(n, std::chrono::seconds(3));
  }
  void resume(const std::string& name) {
    Node& n = nodes_.at(name);
    n.paused = false;
    for (auto& d : std::exchange(n.inbox, {})) receive(n, d.first, d.second);
    arm(n, now_);
  }
  void isolate(const std::string& name, bool from_router, bool from_others = true) {
    for (const auto& [other, n] : nodes_)
      if (other != name && from_others) {
        dropped_links.insert({name, other});
        dropped_links.insert({other, name});
      }
    if (from_router) {
      dropped_links.insert({name, "router"});
      drop_routes_after(nodes_.at(name), std::chrono::seconds(3));
    }
  }
  void restore_network() {
    dropped_links.clear();
    // The sessions reconnect and announce all held addresses again.
    for (auto& [name, n] : nodes_)
      if (n.instance && !n.paused)
        for (const auto& [address, term] : n.instance->lease_manager().held_terms())
          router.routes[address][name] = term;
  }
  void set_disk_full(const std::string& name, bool full) { nodes_.at(name).disk_full = full; }
  void set_eligible(const std::string& name, bool eligible) {
    Node& n = nodes_.at(name);
    n.eligible = eligible;
    if (n.instance) n.instance->on_eligible(local(n), eligible, "told so");
    if (n.instance) process_output(n);
  }
  void leave(const std::string& name) {
    Node& n = nodes_.at(name);
    n.instance->leave(local(n));
    process_output(n);
  }

  void change_voters(const std::string& by, const std::string& name, bool add,
                     std::function<void(bool, const std::string&)> done) {
    Node& n = nodes_.at(by);
    n.instance->reconfigure_voters(local(n), name, add, std::move(done));
    process_output(n);
  }

  // ---- observation
  GroupNode* instance(const std::string& name) { return nodes_.at(name).instance.get(); }
  bool paused(const std::string& name) const { return nodes_.at(name).paused; }
  std::vector<std::string> names() const {
    std::vector<std::string> all;
    for (const auto& [name, n] : nodes_) all.push_back(name);
    return all;
  }
  // Returns the nodes that hold a valid lease by their own clocks.
  std::vector<std::string> holders(const std::string& address) const {
    std::vector<std::string> all;
    for (const auto& [name, n] : nodes_)
      if (n.instance)
        if (const auto* t = n.instance->lease_manager().lease_holder(address);
            t && t->holds(local(n)))
          all.push_back(name);
    return all;
  }
  // Returns the nodes that forward requests for the address, except during the overlap of a
  // graceful release.
  std::vector<std::string> serving(const std::string& address) const {
    std::vector<std::string> all;
    for (const auto& [name, n] : nodes_) {
      const auto* t = n.instance ? n.instance->lease_manager().lease_holder(address) : nullptr;
      if (!t || n.paused || !t->may_serve(local(n), Duration{0})) continue;
      const auto since = t->graceful_release_since();
      if (!since || local(n) - *since >= lease_manager_.times.overlap) all.push_back(name);
    }
    return all;
  }
  std::string holder(const std::string& address) const {
    const auto all = holders(address);
    return all.empty() ? "" : all.front();
  }
  // Returns whether traffic is routed to a node that runs, is reachable and holds the lease.
  bool is_served(const std::string& address) const {
    const auto owner = router.owner(address);
    if (owner.empty()) return false;
    const Node& n = nodes_.at(owner);
    const auto* t = n.instance ? n.instance->lease_manager().lease_holder(address) : nullptr;
    return t && !n.paused && t->holds(local(n)) && dropped_links.count({owner, "router"}) == 0;
  }
  const std::vector<std::string>& log_lines() const { return lines_; }
  std::mt19937_64& random() { return random_; }

 private:
  struct Node : VoterRecordStore {
    std::string name;
    double rate = 1;
    Duration offset{0};
    std::unique_ptr<GroupNode> instance;
    std::optional<lease::VoterRecord> disk;
    std::uint64_t incarnation = 0, epoch = 0;
    Time armed = Time::max();
    bool paused = false, eligible = true, disk_full = false;
    std::vector<std::pair<std::string, Datagram>> inbox;
    GroupSim* sim = nullptr;
    bool save(const lease::VoterRecord& record) override {
      if (disk_full) return false;
      ++sim->writes;
      disk = record;
      return true;
    }
  };
  struct Event {
    Time at;
    std::uint64_t sequence;
    std::function<void()> then;
    bool operator<(const Event& other) const {
      return std::pair(at, sequence) > std::pair(other.at, other.sequence);
    }
  };

  Time local(const Node& n) const {
    return n.offset +
           Duration(static_cast<Duration::rep>(static_cast<double>(now_.count()) * n.rate));
  }
  Time true_time(const Node& n, Time t) const {
    return Time(static_cast<Duration::rep>(static_cast<double>((t - n.offset).count()) / n.rate)) +
           Duration{1000};
  }

  void start(Node& n) {
    n.sim = this;
    ++n.epoch;
    n.paused = false;
    n.inbox.clear();
    GroupNodeSettings s;
    s.name = n.name;
    s.endpoint = n.name + ":1";
    s.incarnation = ++n.incarnation;
    for (int i = 0; i < 3; ++i) s.membership.seeds.push_back(name_of(i) + ":1");
    s.lease_manager = lease_manager_;
    s.initial_voters = initial_voters_;
    n.instance = std::make_unique<GroupNode>(s, n.disk, n, random_(), local(n));
    n.instance->on_eligible(local(n), n.eligible, "starts");
    n.armed = Time::max();
    process_output(n);
  }

  // Processes the node's pending datagrams, route actions and log lines, and arms its timer.
  void process_output(Node& n) {
    for (auto& s : n.instance->take_datagrams()) send(n, std::move(s));
    for (const auto& c : n.instance->take_route_actions()) execute(n, c);
    for (auto& line : n.instance->take_log_lines())
      lines_.push_back(std::to_string(now_.count() / 1'000'000) + " ms " + n.name + " " + line);
    arm(n, true_time(n, n.instance->next_timer_at()));
  }
  void arm(Node& n, Time when) {
    when = std::max(when, now_);
    if (when >= n.armed && n.armed >= now_) return;
    n.armed = when;
    at(when, [this, &n, epoch = n.epoch, when] {
      if (epoch != n.epoch || !n.instance || n.paused || n.armed != when) return;
      n.armed = Time::max();
      n.instance->on_timer(local(n));
      process_output(n);
    });
  }
  void send(Node& from, GroupNode::OutgoingDatagram s) {
    const std::string to = s.endpoint.substr(0, s.endpoint.find(':'));
    const auto it = nodes_.find(to);
    ++datagrams;
    Datagram d{from.name, from.incarnation, ++sequence_, s.to, std::move(s.body)};
    const auto size = encode(d).size();
    bytes += size;
    max_datagram = std::max<std::uint64_t>(max_datagram, size);
    if (it == nodes_.end() || dropped_links.count({from.name, to}) > 0 || chance(faults.loss))
      return;
    const int copies = chance(faults.duplicate) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      Duration delay = std::chrono::microseconds(100 + random_() % 1500);
      if (chance(faults.delay)) delay += std::chrono::microseconds(random_() % 200'000);
      after(delay, [this, &to_node = it->second, endpoint = from.name + ":1", d] {
        if (!to_node.instance) return;
        if (to_node.paused) {
          if (to_node.inbox.size() < 500) to_node.inbox.emplace_back(endpoint, d);
          return;
        }
        receive(to_node, endpoint, d);
      });
    }
  }
  void receive(Node& n, const std::string& endpoint, const Datagram& d) {
    n.instance->on_datagram(local(n), endpoint, d);
    process_output(n);
  }
  void execute(Node& n, const lease::RouteAction& c) {
    using Kind = lease::RouteAction::Kind;
    const Duration takes = std::chrono::microseconds(500 + random_() % 5000);
    const auto epoch = n.epoch;
    if (c.kind == Kind::kDeprefer) return;
    after(takes, [this, &n, c, epoch] {
      if (epoch != n.epoch || !n.instance || n.paused) return;
      const bool reaches = dropped_links.count({n.name, "router"}) == 0;
      if (c.kind == Kind::kAnnounce) {
        if (reaches && n.instance->lease_manager().lease_holder(c.address)->should_listen())
          router.routes[c.address][n.name] = c.term;
        n.instance->on_announced(local(n), c.address);
      } else {
        if (reaches) router.routes[c.address].erase(n.name);
        n.instance->on_withdrawn(local(n), c.address);
      }
      process_output(n);
    });
  }
  void drop_routes_after(Node& n, Duration delay) {
    after(delay, [this, &n, epoch = n.epoch] {
      const bool silent = epoch != n.epoch || !n.instance || n.paused ||
                          dropped_links.count({n.name, "router"}) > 0;
      if (!silent || (epoch != n.epoch && n.instance && !n.paused)) return;
      for (auto& [address, by] : router.routes) by.erase(n.name);
    });
  }
  bool chance(double p) { return p > 0 && std::uniform_real_distribution<>(0, 1)(random_) < p; }

  std::mt19937_64 random_;
  lease::LeaseManagerSettings lease_manager_;
  lease::VoterSet initial_voters_;
  std::map<std::string, Node> nodes_;
  std::priority_queue<Event> events_;
  Time now_{std::chrono::seconds(1000)};
  std::uint64_t sequence_ = 0;
  std::vector<std::string> lines_;
};

}  // namespace balancer::group
