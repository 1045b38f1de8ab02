// The state tables of three voters and two candidates, walked: each choice of which message is
// delivered next, late, twice or never, of crashes (with and without the record), pauses and
// hand-overs, with clocks at the bounds of their drift.
//
// The exhaustive walk goes breadth first to a stated number of steps and merges states that are the
// same; BALANCER_MODEL_STEPS deepens it. Random walks go further.
#include <gtest/gtest.h>

#include <cstdlib>
#include <memory>
#include <optional>
#include <random>
#include <unordered_set>

#include "lease/lease_holder.h"
#include "lease/voter.h"
#include "lease/voter_reconfiguration.h"

namespace balancer::lease {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTick = milliseconds(250);
constexpr std::size_t kVoters = 4, kCandidates = 2,
                      kMaxOnTheWay = 12;  // the fourth at first only in name
const VoterSet kAll{1, {"a", "b", "c"}};
const std::string kNames[kVoters] = {"a", "b", "c", "d"};
const std::string kAddress = "svc";

LeaseTimes times() {
  LeaseTimes t;
  t.jitter_factor = 0;
  return t;
}

struct World {
  // Holders' clocks go as slowly, and voters' as fast, as the bound on drift lets them.
  static constexpr double kRates[kCandidates] = {0.99, 1.0};
  static constexpr double kVoterRate = 1.01;

  struct Packet {
    bool to_voter;
    int voter, candidate;
    std::uint64_t incarnation;  // of the candidate
    VoteRequest request;
    VoteReply reply;
    int driver = -1;  // else of a candidate
    ReconfigurationRequest reconfiguration_request{};
    ReconfigurationReply reconfiguration_reply{};
  };

  World() {
    for (std::size_t v = 0; v < kVoters; ++v) {
      disk[v] = VoterRecord{kAll, {}};
      voters[v].emplace(kNames[v], times(), disk[v], kAll, voter_now());
    }
    for (std::size_t c = 0; c < kCandidates; ++c) start(c);
  }

  void start(std::size_t c) {
    ++incarnations[c];
    paused[c] = false;
    candidates[c].emplace(kAddress, InstanceId{"n" + std::to_string(c), incarnations[c]}, times(),
                          kAll, 1, local(c));
    candidates[c]->set_candidacy(local(c), true, static_cast<int>(c));
  }
  Time local(std::size_t c) const {
    return Time(static_cast<Duration::rep>(static_cast<double>(now.count()) * kRates[c]));
  }
  Time voter_now() const {
    return Time(static_cast<Duration::rep>(static_cast<double>(now.count()) * kVoterRate));
  }
  int holders() const {
    int n = 0;
    for (std::size_t c = 0; c < kCandidates; ++c) n += candidates[c]->holds(local(c));
    return n;
  }

  // Two that let requests through, though neither is being handed over.
  bool two_serve() const {
    int serve = 0;
    for (std::size_t c = 0; c < kCandidates; ++c) {
      const LeaseHolder& t = *candidates[c];
      if (!t.may_serve(local(c), Duration{0})) continue;
      const auto since = t.graceful_release_since();
      serve += !since || local(c) - *since >= times().overlap;
    }
    return serve > 1;
  }

  void collect(std::size_t c) {
    for (const auto& s : candidates[c]->take_requests()) {
      Packet p{};
      p.to_voter = true;
      p.voter = s.voter[0] - 'a';
      p.candidate = static_cast<int>(c);
      p.incarnation = incarnations[c];
      p.request = s.request;
      net.push_back(std::move(p));
    }
    for (const auto& carry : candidates[c]->take_route_actions())
      if (carry.kind == RouteAction::Kind::kWithdraw) withdrawing[c] = true;
    // The oldest are lost.
    while (net.size() > kMaxOnTheWay) net.erase(net.begin());
  }

  void tick() {
    now += kTick;
    for (std::size_t c = 0; c < kCandidates; ++c) {
      if (paused[c]) continue;
      if (std::exchange(withdrawing[c], false)) candidates[c]->on_withdrawn(local(c));
      for (int i = 0; i < 8 && candidates[c]->next() <= local(c); ++i)
        candidates[c]->on_timer(local(c));
      if (candidates[c]->state() == LeaseHolder::State::kIdle)
        candidates[c]->set_candidacy(local(c), true, static_cast<int>(c));
      collect(c);
    }
    for (std::size_t d = 0; d < kCandidates; ++d) {
      if (!drivers[d] || drivers[d]->next() > voter_now()) continue;
      drivers[d]->on_timer(voter_now());
      collect_driver(d);
    }
  }
  void deliver(std::size_t i, bool keep) {
    const Packet p = net[i];
    if (!keep) net.erase(net.begin() + static_cast<std::ptrdiff_t>(i));
    const auto c = static_cast<std::size_t>(p.candidate);
    if (p.driver >= 0) return deliver_change(p);
    if (p.to_voter) {
      // What changes is on disk before it is answered: a crash finds it there, and nothing else.
      const auto v = static_cast<std::size_t>(p.voter);
      auto d = voters[v]->on_vote_request(voter_now(), p.request);
      if (d.record_changed) disk[v] = voters[v]->record();
      Packet back = p;
      back.to_voter = false;
      back.reply = d.reply;
      // One that is no voter grants nothing, and says who is.
      if (p.request.kind == VoteRequest::Kind::kLease && !voters[v]->record().voters.has(kNames[v]))
        back.reply.verdict = VoteReply::Verdict::kVoterSetMismatch;
      net.push_back(std::move(back));
    } else if (p.incarnation == incarnations[c]) {
      candidates[c]->on_reply(local(c), kNames[p.voter], p.reply);
      collect(c);
    }
  }
  void deliver_change(const Packet& p) {
    const auto d = static_cast<std::size_t>(p.driver);
    if (p.to_voter) {
      const auto v = static_cast<std::size_t>(p.voter);
      auto decision = voters[v]->on_reconfiguration(voter_now(), p.reconfiguration_request);
      if (decision.record_changed) disk[v] = voters[v]->record();
      Packet back = p;
      back.to_voter = false;
      back.reconfiguration_reply = std::move(decision.reply);
      net.push_back(std::move(back));
      note_sets();
    } else if (drivers[d]) {
      drivers[d]->on_reply(voter_now(), kNames[p.voter], p.reconfiguration_reply);
      collect_driver(d);
    }
  }
  bool can_deliver(std::size_t i) const {
    const Packet& p = net[i];
    return p.to_voter || p.driver >= 0 || !paused[static_cast<std::size_t>(p.candidate)];
  }
  void crash_voter(std::size_t v, bool forgets) {
    if (forgets) disk[v].reset();
    voters[v].emplace(kNames[v], times(), disk[v], kAll, voter_now());
  }
  // A driver that wants a voter more, or one less; one that was at it is gone, wherever it was.
  void change_voters(std::size_t d, const std::string& name) {
    VoterSet present = kAll;
    for (const auto& v : voters)
      if (v->record().voters.version > present.version) present = v->record().voters;
    ++attempts;
    drivers[d].emplace("d" + std::to_string(d), attempts, present, name, !present.has(name),
                       attempts, voter_now());
    collect_driver(d);
  }
  void collect_driver(std::size_t d) {
    for (const auto& s : drivers[d]->take_requests()) {
      Packet p{};
      p.to_voter = true;
      p.voter = s.to[0] - 'a';
      p.driver = static_cast<int>(d);
      p.reconfiguration_request = s.request;
      net.push_back(std::move(p));
    }
    while (net.size() > kMaxOnTheWay) net.erase(net.begin());
  }
  // Whoever has heard a voter say by whom it goes may tell another.
  void catch_up(std::size_t from, std::size_t to) {
    ReconfigurationRequest adopt;
    adopt.kind = ReconfigurationRequest::Kind::kAdopt;
    adopt.next = voters[from]->record().voters;
    voters[to]->on_reconfiguration(voter_now(), adopt);
    disk[to] = voters[to]->record();
    note_sets();
  }
  // Each number is that of one set.
  void note_sets() {
    for (const auto& v : voters) {
      const VoterSet& s = v->record().voters;
      const auto [it, fresh] = sets.try_emplace(s.version, s);
      two_sets = two_sets || !(it->second == s);
    }
  }
  void hand_over(std::size_t c) {
    candidates[c]->hand_over(local(c), "n" + std::to_string(1 - c));
    if (!paused[1 - c]) candidates[1 - c]->on_invitation(local(1 - c), candidates[c]->term());
    collect(c);
  }

  std::string fingerprint() const {
    std::string out = std::to_string(now.count()) + "|" + std::to_string(faults) + "|";
    for (std::size_t v = 0; v < kVoters; ++v)
      out += voters[v]->fingerprint() + (disk[v] ? "+" : "-") + "|";
    for (std::size_t c = 0; c < kCandidates; ++c)
      out += candidates[c]->fingerprint() + std::to_string(paused[c]) +
             std::to_string(withdrawing[c]) + std::to_string(incarnations[c]) + "|";
    std::vector<std::string> packets;
    for (const Packet& p : net) {
      std::string text = std::to_string(p.to_voter) + std::to_string(p.voter) +
                         std::to_string(p.candidate) + "," + std::to_string(p.incarnation) + "," +
                         std::to_string(static_cast<int>(p.request.kind)) + "," +
                         std::to_string(p.request.number) + "," + std::to_string(p.request.term) +
                         p.request.successor;
      if (!p.to_voter)
        text += "," + std::to_string(static_cast<int>(p.reply.verdict)) + "," +
                std::to_string(p.reply.term) + p.reply.holder.name +
                std::to_string(p.reply.remaining.count());
      packets.push_back(std::move(text));
    }
    std::sort(packets.begin(), packets.end());  // who comes first is a choice yet to be made
    for (const auto& text : packets) out += text + ";";
    return out;
  }

  Time now{milliseconds(100'000)};
  int faults = 0;
  std::optional<Voter> voters[kVoters];
  std::optional<VoterRecord> disk[kVoters];
  std::optional<LeaseHolder> candidates[kCandidates];
  std::uint64_t incarnations[kCandidates] = {0, 0};
  bool paused[kCandidates] = {false, false};
  bool withdrawing[kCandidates] = {false, false};
  std::vector<Packet> net;
  std::optional<VoterReconfiguration> drivers[kCandidates];
  std::uint64_t attempts = 0;
  std::map<std::uint32_t, VoterSet> sets;  // that anybody has gone by, by number
  bool two_sets = false;                   // had one number
};

// Calls `visit` with each world that is one step away and the step's name.
template <typename Visit>
void each_step(const World& w, int max_faults, Visit&& visit) {
  const auto step = [&](const std::string& name, int faults, auto&& act) {
    if (w.faults + faults > max_faults) return;
    World next(w);
    next.faults += faults;
    act(next);
    visit(next, name);
  };
  step("tick", 0, [](World& n) { n.tick(); });
  for (std::size_t i = 0; i < w.net.size(); ++i) {
    if (!w.can_deliver(i)) continue;
    step("deliver " + std::to_string(i), 0, [i](World& n) { n.deliver(i, false); });
    step("deliver and keep " + std::to_string(i), 1, [i](World& n) { n.deliver(i, true); });
  }
  for (std::size_t v = 0; v < kAll.names.size(); ++v) {
    step("crash voter " + std::to_string(v), 1, [v](World& n) { n.crash_voter(v, false); });
    step("crash and forget " + std::to_string(v), 1, [v](World& n) { n.crash_voter(v, true); });
  }
  for (std::size_t c = 0; c < kCandidates; ++c) {
    if (w.paused[c]) {
      step("resume " + std::to_string(c), 0, [c](World& n) { n.paused[c] = false; });
    } else {
      step("pause " + std::to_string(c), 1, [c](World& n) { n.paused[c] = true; });
      step("restart " + std::to_string(c), 1, [c](World& n) { n.start(c); });
      if (w.candidates[c]->state() == LeaseHolder::State::kHolder)
        step("hand over " + std::to_string(c), 1, [c](World& n) { n.hand_over(c); });
    }
  }
}

// Everything arrives until nothing is on its way.
void settle(World& w) {
  for (int i = 0; i < 100 && !w.net.empty(); ++i)
    for (std::size_t n = 0; n < w.net.size(); ++n)
      if (w.can_deliver(n)) {
        w.deliver(n, false);
        break;
      }
}

// Where the walks begin.
std::vector<std::pair<std::string, World>> situations() {
  std::vector<std::pair<std::string, World>> all;
  World w;
  all.emplace_back("nothing has happened", w);
  w.tick();
  all.emplace_back("both ask who holds it", w);
  World voting(w);
  for (int i = 0; i < 40; ++i)
    for (std::size_t n = 0; n < voting.net.size(); ++n)
      if (voting.net[n].request.kind == VoteRequest::Kind::kQuery) {
        voting.deliver(n, false);
        break;
      }
  EXPECT_FALSE(voting.net.empty());
  all.emplace_back("both ask for votes", voting);
  for (int i = 0; i < 20 && !w.candidates[0]->holds(w.local(0)); ++i, w.tick()) settle(w);
  EXPECT_TRUE(w.candidates[0]->holds(w.local(0)));
  all.emplace_back("one holds, a renewal is on its way", w);
  World renewed(w);
  settle(renewed);
  World over(renewed);
  over.hand_over(0);
  all.emplace_back("it hands over", over);
  World paused(renewed);
  paused.paused[0] = true;
  for (int i = 0; i < 3; ++i) paused.tick();
  all.emplace_back("the holder has stood still for most of its lease", paused);
  World waking(paused);
  waking.tick();
  waking.tick();
  all.emplace_back("and for longer, and the other asks", waking);
  World alone(renewed);
  for (int i = 0; i < 2; ++i) alone.net.clear(), alone.tick();
  all.emplace_back("its renewals do not arrive", alone);
  return all;
}

TEST(LeaseModelTest, HasAtMostOneHolderInEveryStateWithinABoundOfSteps) {
  const char* deeper = std::getenv("BALANCER_MODEL_STEPS");
  const int steps = deeper ? std::atoi(deeper) : 3;
  constexpr int kFaults = 2;
  std::size_t held = 0;
  for (const auto& [name, start] : situations()) {
    SCOPED_TRACE(name);
    std::vector<World> level = {start};
    level[0].faults = 0;
    std::unordered_set<std::size_t> seen;
    std::size_t transitions = 0;
    for (int depth = 0; depth < steps; ++depth) {
      std::vector<World> next;
      for (const World& w : level)
        each_step(w, kFaults, [&](World& n, const std::string& step) {
          ++transitions;
          ASSERT_LE(n.holders(), 1) << step << " at depth " << depth << "\n" << n.fingerprint();
          ASSERT_FALSE(n.two_serve()) << step << " at depth " << depth << "\n" << n.fingerprint();
          held += n.holders() == 1;
          if (!seen.insert(std::hash<std::string>()(n.fingerprint())).second) return;
          if (depth + 1 < steps) next.push_back(n);
        });
      if (HasFatalFailure()) return;
      level = std::move(next);
    }
    std::printf("%s: %d steps, %d faults at most, %zu states, %zu transitions\n", name.c_str(),
                steps, kFaults, seen.size(), transitions);
  }
  EXPECT_GT(held, 0u);
}

// Far into runs, by chance: with each message as likely to come now, later, twice or never.
TEST(LeaseModelTest, HasAtMostOneHolderInLongRandomRuns) {
  const char* more = std::getenv("BALANCER_MODEL_RUNS");
  const int runs = more ? std::atoi(more) : 400;
  std::size_t elections = 0;
  for (int seed = 1; seed <= runs; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    World w;
    for (int i = 0; i < 1000; ++i) {
      const auto roll = random() % 100;
      const auto c = random() % kCandidates;
      if (roll < 9) {
        w.tick();
      } else if (roll < 95) {
        if (w.net.empty()) continue;
        const auto i_th = random() % w.net.size();
        if (w.can_deliver(i_th)) w.deliver(i_th, random() % 10 == 0);
      } else if (roll < 96) {
        w.crash_voter(random() % kVoters, random() % 4 == 0);
      } else if (roll < 97) {
        // One that stands still wakes sooner or later.
        w.paused[c] = !w.paused[c] && random() % 2;
      } else if (roll < 98) {
        if (random() % 4 == 0) w.start(c);
      } else if (w.candidates[c]->state() == LeaseHolder::State::kHolder) {
        w.hand_over(c);
      }
      ASSERT_LE(w.holders(), 1) << "step " << i << "\n" << w.fingerprint();
      ASSERT_FALSE(w.two_serve()) << "step " << i << "\n" << w.fingerprint();
    }
    for (const auto& t : w.candidates) elections += t->elections_won();
  }
  EXPECT_GT(elections, static_cast<std::size_t>(runs)) << "hardly anybody was ever elected";
}

// The same while voters come and go by the wishes of two drivers that know nothing of each other
// and may be gone at any moment. Nobody forgets here: one that has come back to an old set by
// forgetting, and hears of no newer one, is what the operators' page warns of.
TEST(LeaseModelTest, HasAtMostOneHolderAndOneSetAVersionWhileVotersChange) {
  const char* more = std::getenv("BALANCER_MODEL_RUNS");
  const int runs = more ? std::atoi(more) : 400;
  std::size_t elections = 0, changes = 0;
  for (int seed = 1; seed <= runs; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    World w;
    for (int i = 0; i < 1500; ++i) {
      const auto roll = random() % 100;
      const auto c = random() % kCandidates;
      if (roll < 9) {
        w.tick();
      } else if (roll < 95) {
        if (w.net.empty()) continue;
        const auto i_th = random() % w.net.size();
        if (w.can_deliver(i_th)) w.deliver(i_th, random() % 10 == 0);
      } else if (roll < 96) {
        w.crash_voter(random() % kVoters, false);
      } else if (roll < 97) {
        w.paused[c] = !w.paused[c] && random() % 2;
      } else if (roll < 98) {
        if (random() % 4 == 0) w.start(c);
      } else {
        if (random() % 4 == 0) w.change_voters(c, kNames[random() % kVoters]);
        if (random() % 4 == 0) w.catch_up(random() % kVoters, random() % kVoters);
      }
      ASSERT_FALSE(w.two_sets) << "step " << i << ": two sets have one number";
      ASSERT_LE(w.holders(), 1) << "step " << i << "\n" << w.fingerprint();
      ASSERT_FALSE(w.two_serve()) << "step " << i << "\n" << w.fingerprint();
    }
    for (const auto& t : w.candidates) elections += t->elections_won();
    for (const auto& v : w.voters) changes += v->record().voters.version - 1;
  }
  EXPECT_GT(elections, static_cast<std::size_t>(runs)) << "hardly anybody was ever elected";
  EXPECT_GT(changes, static_cast<std::size_t>(runs)) << "hardly any change was taken over";
}

// The walk is able to find a fault: with voters that forget ballots two sets have one version.
TEST(LeaseModelTest, FindsTwoSetsWithOneVersionIfBallotsAreForgotten) {
  bool found = false;
  for (int seed = 1; seed <= 400 && !found; ++seed) {
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    World w;
    for (int i = 0; i < 1500 && !found; ++i) {
      const auto roll = random() % 100;
      if (roll < 9) {
        w.tick();
      } else if (roll < 94) {
        if (w.net.empty()) continue;
        const auto i_th = random() % w.net.size();
        if (w.can_deliver(i_th)) w.deliver(i_th, false);
      } else if (roll < 97) {
        const auto v = random() % kVoters;
        VoterRecord forgetful = w.voters[v]->record();
        forgetful.promised_ballot = forgetful.accepted_ballot = {};
        forgetful.accepted_voters = {};
        w.voters[v].emplace(kNames[v], times(), forgetful, kAll, w.voter_now());
      } else {
        w.change_voters(random() % kCandidates, kNames[random() % kVoters]);
      }
      found = w.two_sets;
    }
  }
  EXPECT_TRUE(found);
}

// The walk is able to find a fault: with a voter that breaks its grant there are two holders.
TEST(LeaseModelTest, FindsTwoHoldersIfAVoterBreaksItsGrant) {
  bool found = false;
  for (int seed = 1; seed <= 200 && !found; ++seed) {
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    World w;
    for (int i = 0; i < 600 && !found; ++i) {
      const auto roll = random() % 100;
      if (roll < 20) {
        w.tick();
      } else if (!w.net.empty() && roll < 95) {
        const auto i_th = random() % w.net.size();
        if (w.can_deliver(i_th)) w.deliver(i_th, false);
      } else {
        // It forgets, and votes at once.
        const auto v = random() % kVoters;
        w.voters[v].emplace(kNames[v], times(), VoterRecord{kAll, {}}, kAll, w.voter_now());
      }
      found = w.holders() > 1;
    }
  }
  EXPECT_TRUE(found);
}

}  // namespace
}  // namespace balancer::lease
