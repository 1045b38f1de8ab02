#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "dissemination/replica.h"
#include "dissemination/source.h"
#include "structures/stable_hash.h"

// Simulation of a source and its replicas under one simulated clock and one seed. The network
// loses, duplicates and delays messages and can be partitioned; members can be killed, restarted
// and paused. An auditor compares every change that takes effect with the changes that the sources
// numbered, and every watermark with the cursors of the members. Used by the tests and by
// bench/dissemination.cc.
namespace balancer::dissemination {

// A histogram of durations with a resolution of 1 ms.
class LatencyCounts {
 public:
  void add(Duration d) {
    const auto ms = static_cast<std::size_t>(std::max<Duration::rep>(d.count() / 1'000'000, 0));
    if (ms >= counts_.size()) counts_.resize(ms + 1, 0);
    ++counts_[ms], ++total_;
  }
  // Returns milliseconds, rounded up.
  std::size_t quantile(double q) const {
    std::uint64_t seen = 0;
    for (std::size_t ms = 0; ms < counts_.size(); ++ms)
      if ((seen += counts_[ms]) > 0 && static_cast<double>(seen) >= q * static_cast<double>(total_))
        return ms + 1;
    return 0;
  }
  std::uint64_t total() const { return total_; }

 private:
  std::vector<std::uint64_t> counts_;
  std::uint64_t total_ = 0;
};

class DisseminationSim {
 public:
  struct Shape {
    int regions = 4, sites = 20, members = 200;
    std::uint32_t stripes = 64;
  };
  struct Faults {
    // Probabilities for each message; late: delayed by up to 400 ms.
    double loss = 0, twice = 0, late = 0;
  };
  struct Traffic {
    std::uint64_t sent_bytes = 0, received_bytes = 0, sent = 0, received = 0;
    std::uint64_t bytes() const { return sent_bytes + received_bytes; }
  };

  DisseminationSim(std::uint64_t seed, Shape shape, ReplicaSettings replica = {},
                   SourceSettings source = {})
      : random_(seed), shape_(shape), replica_settings_(replica), source_settings_(source) {
    replica_settings_.source = kSource;
    source_settings_.id = kSource;
    nodes_.resize(static_cast<std::size_t>(shape.members) + 1);
    for (int m = 0; m < shape.members; ++m) {
      const int site = m % shape.sites;
      Node& node = nodes_[static_cast<std::size_t>(m)];
      node.place = {name("m", m), name("r", site % shape.regions), name("s", site), true};
      index_[node.place.id] = m;
    }
    nodes_.back().place = {kSource, "control", "control", true};
    index_[kSource] = shape.members;
    rebuild_tree();
    for (int m = 0; m < shape.members; ++m) start(m, std::nullopt);
    start_source({}, 1);
  }
  static std::string name(const char* prefix, int i) {
    const std::string digits = std::to_string(i);
    return prefix + std::string(digits.size() < 5 ? 5 - digits.size() : 0, '0') + digits;
  }

  Faults faults;
  // Injects faults: may change a message, or drop it by returning false.
  std::function<bool(const MemberId& from, const MemberId& to, Message& message)> tamper;
  double purges_per_second = 59, configuration_per_second = 0.5;
  int configuration_keys = 1000;
  std::size_t value_bytes = 60;
  Duration detection{std::chrono::seconds(3)};  // until members see a change of reachability

  Time now() const { return now_; }
  int size() const { return shape_.members; }
  std::mt19937_64& random() { return random_; }
  void after(Duration delay, std::function<void()> then) {
    events_.push({now_ + delay, ++event_number_, -1, 0, nullptr,
                  std::make_shared<std::function<void()>>(std::move(then))});
  }

  void run(Duration length) {
    const Time end = now_ + length;
    while (!events_.empty() && events_.top().at <= end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      handle(event);
    }
    now_ = end;
  }
  template <typename Done>
  bool run_until(Done&& done, Duration limit) {
    const Time end = now_ + limit;
    while (!done() && now_ < end) run(std::chrono::milliseconds(50));
    return done();
  }
  // Generates changes at the rates above for `length`.
  void load(Duration length) {
    arrivals(Channel::kPurge, now_ + length);
    arrivals(Channel::kConfiguration, now_ + length);
  }
  Sequence change(Channel channel) {
    if (!source_) return 0;
    char key[17];
    std::string value;
    if (channel == Channel::kPurge) {
      std::snprintf(key, sizeof key, "%016llx", static_cast<unsigned long long>(random_()));
    } else {
      std::snprintf(key, sizeof key, "config/%05u",
                    static_cast<unsigned>(random_() % configuration_keys));
      value = std::string(value_bytes, static_cast<char>('a' + random_() % 26));
    }
    const Sequence sequence = source_->append(now_, channel, key, value);
    if (sequence > 0) {
      auto& numbered = numbered_[source_->state().term].entries[index(channel)];
      numbered[sequence] = {source_->log(channel).range(sequence, sequence, 1).front(), now_, {}};
    }
    flush_source();
    return sequence;
  }

  // ---- faults of members
  void kill(int m) {
    Node& node = nodes_[at(m)];
    if (!node.replica) return;
    node.checkpoint = node.replica->checkpoint();
    node.replica.reset();
    ++node.epoch;
    note_fault(node);
  }
  void restart(int m, bool forgets = false) {
    Node& node = nodes_[at(m)];
    if (node.replica) kill(m);
    if (forgets) node.lost_state = true, node.sink = {};
    start(m, forgets ? std::nullopt : node.checkpoint);
    note_fault(node);
  }
  void pause(int m) {
    nodes_[at(m)].is_paused = true;
    note_fault(nodes_[at(m)]);
  }
  void resume(int m) {
    Node& node = nodes_[at(m)];
    node.is_paused = false;
    for (auto& event : std::exchange(node.inbox, {})) handle(event);
    wake(m);
    note_fault(node);
  }
  // Members in the same partition reach each other; the source is in partition 0.
  void set_part(int m, int part) {
    nodes_[at(m)].part = part;
    note_fault(nodes_[at(m)]);
  }
  std::vector<int> of_site(int site) const {
    std::vector<int> all;
    for (int m = site; m < shape_.members; m += shape_.sites) all.push_back(m);
    return all;
  }
  std::vector<int> of_region(int region) const {
    std::vector<int> all;
    for (int m = 0; m < shape_.members; ++m)
      if (m % shape_.sites % shape_.regions == region) all.push_back(m);
    return all;
  }
  // Messages from and to a slow member are delayed by `extra`.
  void set_slow(int m, Duration extra) { nodes_[at(m)].extra_delay = extra; }
  // Gives the member its own view of the membership, until the next change of the membership.
  void set_view(int m, std::shared_ptr<const RelayTree> tree) {
    if (nodes_[at(m)].replica) nodes_[at(m)].replica->set_tree(std::move(tree));
  }
  const MemberId& replica_id(int m) const { return nodes_[at(m)].place.id; }
  int index_of(const MemberId& id) const { return index_.at(id); }
  std::vector<MemberPlace> places() const {
    std::vector<MemberPlace> all;
    for (int m = 0; m < shape_.members; ++m) all.push_back(nodes_[at(m)].place);
    return all;
  }

  // ---- the source
  void kill_source() {
    if (source_) history_ = history();
    source_.reset();
    ++nodes_.back().epoch;
  }
  // Returns all changes that the source has numbered, sent or not.
  History history() const {
    if (!source_) return history_;
    History all;
    for (const Channel channel : kChannels) {
      const ChangeLog& log = source_->log(channel);
      all.entries[index(channel)] = log.range(log.oldest(), log.last(), SIZE_MAX);
    }
    return all;
  }
  // Starts a source with the given term and history.
  void start_source(const History& known, Term term) {
    source_settings_.term = term;
    ++nodes_.back().epoch;
    source_ = std::make_unique<Source>(source_settings_, tree_, known, now_);
    NumberedChanges& numbered = numbered_[term];
    numbered.starts = source_->state().starts;
    nodes_.back().armed = Time::max();
    flush_source();
  }
  Source* source() { return source_.get(); }

  Replica* replica(int m) { return nodes_[at(m)].replica.get(); }
  const Traffic& traffic(int m) const { return nodes_[at(m)].traffic; }
  const RelayTree& tree() const { return *tree_; }
  // Times from numbering to applying a change, at members without faults since it was numbered.
  LatencyCounts applied[2];
  // Returns, for each change, the time until the last such member applied it. Call it at the end.
  LatencyCounts everywhere(Channel channel) const {
    LatencyCounts counts;
    for (const auto& [term, numbered] : numbered_)
      for (const auto& [sequence, change] : numbered.entries[index(channel)])
        counts.add(change.longest);
    return counts;
  }
  std::uint64_t distrusts = 0, installs = 0, dropped_by_network = 0;
  std::vector<std::string> errors;  // found by the auditor

  bool is_current(int m) const {
    const Node& node = nodes_[at(m)];
    if (!node.replica || !source_) return false;
    for (const Channel channel : kChannels)
      if (node.replica->cursor(channel) !=
          Cursor{source_->state().term, source_->log(channel).last()})
        return false;
    return node.replica->freshness(now_).configuration_valid;
  }
  bool all_current() const {
    for (int m = 0; m < shape_.members; ++m)
      if (nodes_[at(m)].replica && !nodes_[at(m)].is_paused && nodes_[at(m)].part == 0 &&
          !is_current(m))
        return false;
    return true;
  }
  // To be called when no change is in flight: checks that every running member has the source's
  // configuration.
  void audit_configuration() {
    std::map<std::string, std::string> expected;
    for (const auto& [sequence, entry] : source_->configuration().entries())
      expected[entry->key] = entry->value;
    for (int m = 0; m < shape_.members; ++m)
      if (nodes_[at(m)].replica && nodes_[at(m)].sink.configuration != expected)
        fail(nodes_[at(m)], "has another configuration than the source");
  }
  // Checks that no change is reported in force everywhere that a member lacks.
  void audit_watermarks() {
    if (!source_ || source_->superseded()) return;
    for (const Channel channel : kChannels) {
      const Sequence least = source_->in_force(channel, 1).least;
      for (int m = 0; m < shape_.members; ++m) {
        const Node& node = nodes_[at(m)];
        if (least == 0 || node.lost_state) continue;
        const Cursor has = node.replica ? node.replica->cursor(channel)
                                        : Cursor{node.checkpoint->term,
                                                 node.checkpoint->sequences[index(channel)]};
        if (has.term != source_->state().term || has.sequence < least)
          fail(node, "lacks a change that is reported in force everywhere");
      }
    }
  }

 private:
  static constexpr const char* kSource = "source";
  static constexpr std::size_t kMaxInbox = 500, kMaxErrors = 20;

  // Records the changes that took effect at a member.
  struct Sink : ChangeSink {
    DisseminationSim* sim = nullptr;
    int member = 0;
    PerChannel<Sequence> applied{};
    std::map<std::string, std::string> configuration;
    void apply(Channel channel, const Entry& entry) override {
      sim->on_apply(member, channel, entry);
      applied[index(channel)] = entry.sequence;
      if (channel == Channel::kConfiguration) put(entry);
    }
    void on_purges_skipped(Sequence, Sequence through) override {
      ++sim->distrusts;
      applied[index(Channel::kPurge)] = through;
    }
    void install(const std::vector<EntryPtr>& entries, bool whole, Sequence through) override {
      ++sim->installs;
      if (whole) configuration.clear();
      for (const auto& entry : entries) put(*entry);
      applied[index(Channel::kConfiguration)] = through;
    }
    void put(const Entry& entry) {
      if (entry.value.empty())
        configuration.erase(entry.key);
      else
        configuration[entry.key] = entry.value;
    }
  };
  struct Envelope {
    MemberId from;
    Message message;
    std::size_t bytes = 0;
  };
  struct Event {
    Time at;
    std::uint64_t number;
    int node;  // -1: calls `then`
    std::uint64_t epoch;
    std::shared_ptr<const Envelope> envelope;  // null: a timer
    std::shared_ptr<std::function<void()>> then;
    bool operator<(const Event& other) const {
      return std::pair(at, number) > std::pair(other.at, other.number);
    }
  };
  struct Node {
    MemberPlace place;
    std::unique_ptr<Replica> replica;
    Sink sink;
    std::optional<Checkpoint> checkpoint;
    std::uint64_t epoch = 0;
    Time armed = Time::max();
    bool is_paused = false, lost_state = false;
    int part = 0;
    Duration extra_delay{0};
    Time last_fault_at{-1};  // times of changes numbered before it aren't measured
    std::vector<Event> inbox;
    Traffic traffic;
  };
  struct Change {
    EntryPtr entry;
    Time numbered{0};
    Duration longest{0};
  };
  struct NumberedChanges {
    PerChannel<Sequence> starts{};
    PerChannel<std::map<Sequence, Change>> entries;
  };

  static std::size_t at(int m) { return static_cast<std::size_t>(m); }
  bool chance(double p) { return p > 0 && std::uniform_real_distribution<>(0, 1)(random_) < p; }
  Duration between(double low_ms, double high_ms) {
    return from_seconds(std::uniform_real_distribution<>(low_ms, high_ms)(random_) / 1000);
  }
  void fail(const Node& node, const std::string& what) {
    if (errors.size() < kMaxErrors)
      errors.push_back(std::to_string(now_.count() / 1'000'000) + " ms " + node.place.id + " " +
                       what);
  }

  void arrivals(Channel channel, Time until) {
    const double rate = channel == Channel::kPurge ? purges_per_second : configuration_per_second;
    if (rate <= 0) return;
    const Duration gap = from_seconds(std::exponential_distribution<>(rate)(random_));
    if (now_ + gap > until) return;
    after(gap, [this, channel, until] {
      change(channel);
      arrivals(channel, until);
    });
  }

  // ---- the members' common view of the membership
  void note_fault(Node& node) {
    node.last_fault_at = now_;
    if (rebuild_due_) return;
    rebuild_due_ = true;
    after(detection, [this] {
      rebuild_due_ = false;
      for (int m = 0; m < shape_.members; ++m) {
        Node& n = nodes_[at(m)];
        n.place.reachable = n.replica && !n.is_paused && n.part == 0;
      }
      rebuild_tree();
    });
  }
  void rebuild_tree() {
    tree_ = std::make_shared<RelayTree>(places(), shape_.stripes);
    for (Node& node : nodes_)
      if (node.replica) node.replica->set_tree(tree_);
    if (source_) source_->set_tree(tree_);
  }

  void start(int m, const std::optional<Checkpoint>& checkpoint) {
    Node& node = nodes_[at(m)];
    ++node.epoch;
    node.is_paused = false;
    node.inbox.clear();
    node.sink.sim = this;
    node.sink.member = m;
    ReplicaSettings settings = replica_settings_;
    settings.id = node.place.id;
    node.replica = std::make_unique<Replica>(settings, tree_, checkpoint, node.sink, now_);
    node.armed = Time::max();
    flush(m);
  }

  // ---- events
  void handle(const Event& event) {
    if (event.node < 0) return (*event.then)();
    Node& node = nodes_[at(event.node)];
    const bool is_source = event.node == shape_.members;
    if (!event.envelope) {
      if (event.epoch != node.epoch || event.at != node.armed || node.is_paused) return;
      node.armed = Time::max();
      if (is_source && source_)
        source_->on_timer(now_), flush_source();
      else if (node.replica)
        node.replica->on_timer(now_), flush(event.node);
      return;
    }
    if (node.is_paused) {
      if (node.inbox.size() < kMaxInbox) node.inbox.push_back(event);
      return;
    }
    const Envelope& e = *event.envelope;
    if (is_source ? !source_ : !node.replica) return;
    node.traffic.received_bytes += e.bytes;
    ++node.traffic.received;
    if (is_source)
      source_->on_message(now_, e.from, e.message, e.bytes), flush_source();
    else
      node.replica->on_message(now_, e.from, e.message, e.bytes), flush(event.node);
  }
  void wake(int m) {
    Node& node = nodes_[at(m)];
    node.armed = Time::max();
    if (node.replica) node.replica->on_timer(now_), flush(m);
  }
  void flush(int m) {
    Node& node = nodes_[at(m)];
    audit_cursor(node);
    for (auto& item : node.replica->take_sends(now_)) send(m, std::move(item));
    arm(m, node.replica->next(now_));
  }
  void flush_source() {
    if (!source_) return;
    for (auto& item : source_->take_sends(now_)) send(shape_.members, std::move(item));
    arm(shape_.members, source_->next(now_));
  }
  void arm(int m, Time when) {
    Node& node = nodes_[at(m)];
    if (when == Time::max()) return;
    when = std::max(when, now_);
    if (when >= node.armed && node.armed >= now_) return;
    node.armed = when;
    events_.push({when, ++event_number_, m, node.epoch, nullptr, nullptr});
  }
  void send(int from, SendQueue::Item item) {
    Node& sender = nodes_[at(from)];
    sender.traffic.sent_bytes += item.bytes;
    ++sender.traffic.sent;
    const auto it = index_.find(item.to);
    if (it == index_.end()) return;
    const Node& receiver = nodes_[at(it->second)];
    if (sender.part != receiver.part || chance(faults.loss)) return;
    if (tamper && !tamper(sender.place.id, item.to, item.message)) return;
    auto envelope = std::make_shared<const Envelope>(
        Envelope{sender.place.id, std::move(item.message), item.bytes});
    for (int copies = chance(faults.twice) ? 2 : 1; copies > 0; --copies) {
      Duration delay = sender.place.site == receiver.place.site       ? between(0.2, 1)
                       : sender.place.region == receiver.place.region ? between(1, 5)
                                                                      : between(20, 120);
      if (chance(faults.late)) delay += between(0, 400);
      delay += sender.extra_delay + receiver.extra_delay;
      events_.push({now_ + delay, ++event_number_, it->second, 0, envelope, nullptr});
    }
  }

  // ---- the auditor
  Change* find_numbered(Term term, Channel channel, Sequence sequence) {
    for (auto it = numbered_.find(term); it != numbered_.end(); --it) {
      if (sequence > it->second.starts[index(channel)]) {
        const auto found = it->second.entries[index(channel)].find(sequence);
        return found == it->second.entries[index(channel)].end() ? nullptr : &found->second;
      }
      if (it == numbered_.begin()) break;
    }
    return nullptr;
  }
  void on_apply(int m, Channel channel, const Entry& entry) {
    Node& node = nodes_[at(m)];
    if (entry.sequence > node.sink.applied[index(channel)] + 1) fail(node, "skipped a change");
    const Term term = node.replica->cursor(channel).term;
    Change* change = find_numbered(term, channel, entry.sequence);
    if (!change || change->entry->key != entry.key || change->entry->value != entry.value)
      return fail(node, "applied what the source of term " + std::to_string(term) +
                            " didn't number " + std::to_string(entry.sequence));
    if (node.last_fault_at >= change->numbered) return;
    const Duration took = now_ - change->numbered;
    applied[index(channel)].add(took);
    change->longest = std::max(change->longest, took);
  }
  void audit_cursor(Node& node) {
    for (const Channel channel : kChannels) {
      const Sequence cursor = node.replica->cursor(channel).sequence;
      Sequence& done = node.sink.applied[index(channel)];
      if (cursor > done) fail(node, "has a cursor beyond the changes that it applied");
      done = cursor;
    }
    if (node.lost_state && node.replica->freshness(now_).configuration_valid)
      node.lost_state = false;
  }

  std::mt19937_64 random_;
  const Shape shape_;
  ReplicaSettings replica_settings_;
  SourceSettings source_settings_;
  std::vector<Node> nodes_;  // the source is the last node
  std::unordered_map<MemberId, int> index_;
  std::shared_ptr<const RelayTree> tree_;
  std::unique_ptr<Source> source_;
  History history_;
  std::map<Term, NumberedChanges> numbered_;
  std::priority_queue<Event> events_;
  Time now_{std::chrono::seconds(1000)};
  std::uint64_t event_number_ = 0;
  bool rebuild_due_ = false;
};

}  // namespace balancer::dissemination
