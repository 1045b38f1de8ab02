// Groups under the simulated clock: elections, moves, partitions, pauses, crashes, lost records.
#include "fleet_simulation/group_sim.h"

#include <gtest/gtest.h>

#include <cstdlib>

namespace balancer::group {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kSvc = "svc0";

class GroupSimTest : public ::testing::Test {
 protected:
  void begin(std::uint64_t seed = 1, int instances = 5, int addresses = 1,
             lease::LeaseManagerSettings lease_manager = {}) {
    sim = std::make_unique<GroupSim>(seed, instances, addresses, 3, lease_manager);
    sim->check = [this, addresses] {
      for (int a = 0; a < addresses; ++a)
        for (const auto& who :
             {sim->holders("svc" + std::to_string(a)), sim->serving("svc" + std::to_string(a))})
          ASSERT_LE(who.size(), 1u) << who[0] << " and " << who[1] << "\n" << story();
    };
  }
  std::string story() const {
    std::string all;
    for (const auto& line : sim->lines()) all += line + "\n";
    for (const auto& name : sim->names()) {
      const auto* i = sim->instance(name);
      if (!i) continue;
      const auto text = [](const lease::VoterSet& v) {
        std::string t = "version " + std::to_string(v.version) + ":";
        for (const auto& n : v.names) t += " " + n;
        return t;
      };
      all += name + " goes by " + text(i->voter()->record().voters) + ", has heard of " +
             text(i->voters()) + "\n";
    }
    return all;
  }
  ::testing::AssertionResult owned(Duration limit = seconds(5)) {
    if (sim->run_until([&] { return sim->answered(kSvc); }, limit))
      return ::testing::AssertionSuccess();
    return ::testing::AssertionFailure() << "nobody has it\n" << story();
  }
  // How long until it is answered by somebody other than `old`.
  Duration until_new(const std::string& old) {
    const Time from = sim->now();
    EXPECT_TRUE(sim->run_until(
        [&] { return sim->answered(kSvc) && sim->router.owner(kSvc) != old; }, seconds(10)))
        << story();
    return sim->now() - from;
  }
  void run_random_faults(bool forget, bool change);
  std::unique_ptr<GroupSim> sim;
};

// With the default settings: no member of a group of the size that is designed for goes unheard.
TEST(MembershipSettingsTest, AllowsAThousandMembersByDefault) {
  membership::MemberUpdate self;
  self.name = "self";
  membership::MembershipProtocol group({}, self, 1, Time{0});
  constexpr std::size_t kOthers = 1024;
  for (std::size_t i = 0; i < kOthers; ++i) {
    membership::GossipMessage message;
    membership::MemberUpdate update;
    update.name = "n" + std::to_string(i);
    update.endpoint = "127.0.0.1:" + std::to_string(i + 1);
    message.updates.push_back(update);
    group.on_message(Time{0}, update.name, update.endpoint, message);
  }
  EXPECT_EQ(group.members().size(), 1 + kOthers);
}

TEST_F(GroupSimTest, ElectsOneHolderThatStays) {
  begin();
  ASSERT_TRUE(owned(seconds(3)));
  const auto first = sim->holder(kSvc);
  sim->run(seconds(60));
  EXPECT_EQ(sim->holder(kSvc), first);
  EXPECT_EQ(sim->instance(first)->lease_manager().lease_holder(kSvc)->elections_won(), 1u)
      << story();
}

TEST_F(GroupSimTest, MovesTheAddressOfAKilledHolderWithinTwoSeconds) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    begin(seed);
    ASSERT_TRUE(owned());
    sim->run(milliseconds(3000 + sim->random()() % 1000));
    const auto old = sim->holder(kSvc);
    sim->kill(old);
    EXPECT_LT(until_new(old), seconds(2)) << story();
  }
}

// Cut off from everybody and the router, or from the voters alone: then it withdraws by itself.
TEST_F(GroupSimTest, MovesTheAddressOfAPartitionedHolderWithinTwoSeconds) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    begin(seed);
    ASSERT_TRUE(owned());
    sim->run(milliseconds(3000 + sim->random()() % 1000));
    const auto old = sim->holder(kSvc);
    sim->isolate(old, seed % 2 == 0);
    EXPECT_LT(until_new(old), seconds(2)) << story();
    sim->run(seconds(4));
    EXPECT_EQ(sim->router.routes[kSvc].count(old), 0u) << "it is still announced\n" << story();
    EXPECT_EQ(sim->instance(old)->lease_manager().lease_holder(kSvc)->state(),
              lease::LeaseHolder::State::kPartitioned);
    sim->heal();
    sim->run(seconds(20));
    const auto state = sim->instance(old)->lease_manager().lease_holder(kSvc)->state();
    EXPECT_TRUE(state == lease::LeaseHolder::State::kIdle ||
                state == lease::LeaseHolder::State::kCandidate)
        << "it is back, and looks now and then who holds it";
  }
}

// Cut off from the router only: the lease goes on, the announcement does not arrive. Whoever runs
// it says that it is not able.
TEST_F(GroupSimTest, HandsOverWhenTheHolderIsNotEligible) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    begin(seed);
    ASSERT_TRUE(owned());
    sim->run(seconds(3));
    const auto old = sim->holder(kSvc);
    sim->set_eligible(old, false);
    EXPECT_LT(until_new(old), milliseconds(300)) << story();
    sim->run(seconds(3));
    EXPECT_EQ(sim->router.routes[kSvc].size(), 1u);
  }
}

// The route leads to somebody at every moment of a move in order.
TEST_F(GroupSimTest, AnnouncesTheAddressThroughoutAGracefulMove) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    begin(seed);
    ASSERT_TRUE(owned());
    sim->run(seconds(3));
    const auto old = sim->holder(kSvc);
    Duration both{0};
    Time last = sim->now();
    sim->leave(old);
    EXPECT_TRUE(sim->run_until(
        [&] {
          EXPECT_FALSE(sim->router.owner(kSvc).empty()) << "a gap\n" << story();
          if (sim->router.routes[kSvc].size() > 1) both += sim->now() - last;
          last = sim->now();
          return sim->instance(old)->is_idle();
        },
        seconds(5)))
        << story();
    EXPECT_TRUE(sim->answered(kSvc)) << story();
    EXPECT_LE(both, milliseconds(320)) << "announced by both for longer than the overlap";
    EXPECT_NE(sim->router.owner(kSvc), old);
  }
}

// Stopped past its lease and continued: it finds out before it acts.
TEST_F(GroupSimTest, GivesUpAnExpiredLeaseAfterAPause) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    begin(seed);
    ASSERT_TRUE(owned());
    sim->run(seconds(3));
    const auto old = sim->holder(kSvc);
    sim->pause(old);
    EXPECT_LT(until_new(old), seconds(2));
    sim->run(seconds(10));
    sim->resume(old);  // the check after each event holds here too
    sim->run(milliseconds(1));
    EXPECT_FALSE(sim->instance(old)->lease_manager().lease_holder(kSvc)->should_listen());
    sim->run(seconds(2));
    EXPECT_EQ(sim->router.routes[kSvc].size(), 1u) << story();
  }
}

// Two, two and one, of which three vote: only a part with a majority of voters may hold it.
TEST_F(GroupSimTest, HoldsOnlyWithAMajorityOfVotersInAPartition) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    begin(seed);
    ASSERT_TRUE(owned());
    // n000 and n001 vote together; n002 votes with n003; n004 is alone.
    const auto part = [](const std::string& n) { return (n.back() - '0') / 2; };
    for (const auto& a : sim->names())
      for (const auto& b : sim->names())
        if (part(a) != part(b)) sim->cut.insert({a, b});
    sim->run(seconds(5));
    const auto holder = sim->holder(kSvc);
    EXPECT_TRUE(holder == "n000" || holder == "n001") << holder << "\n" << story();
    sim->heal();
    sim->run(seconds(5));
    EXPECT_TRUE(sim->answered(kSvc));
  }
}

TEST_F(GroupSimTest, MovesTheAddressOfAHolderThatNobodyHears) {
  begin(3);
  ASSERT_TRUE(owned());
  sim->run(seconds(3));
  const auto old = sim->holder(kSvc);
  // It hears everybody, and nobody hears it.
  for (const auto& other : sim->names())
    if (other != old) sim->cut.insert({old, other});
  EXPECT_LT(until_new(old), seconds(2)) << story();
}

TEST_F(GroupSimTest, KeepsTheAddressUntilTheLeaseEndsWithoutVoters) {
  lease::LeaseManagerSettings lease_manager;
  begin(4, 6, 1, lease_manager);
  ASSERT_TRUE(owned());
  sim->run(seconds(2));
  // Voters that hold nothing: the address goes to one that does not vote.
  for (const char* voter : {"n000", "n001", "n002"}) sim->set_eligible(voter, false);
  sim->run(seconds(3));
  const auto old = sim->holder(kSvc);
  ASSERT_GE(old, "n003");
  for (const char* voter : {"n000", "n001", "n002"}) sim->kill(voter);
  sim->run(milliseconds(500));
  EXPECT_TRUE(sim->answered(kSvc)) << "kept until the lease ends";
  sim->run(milliseconds(700));
  EXPECT_TRUE(sim->router.owner(kSvc).empty()) << "and released then";
  for (const char* voter : {"n000", "n001"}) sim->restart(voter);
  EXPECT_TRUE(owned(seconds(4))) << "two voters are a majority";
}

TEST_F(GroupSimTest, HasOneHolderWhileVotersRestartWithAndWithoutTheirRecords) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    begin(seed);
    ASSERT_TRUE(owned());
    for (int i = 0; i < 20; ++i) {
      const auto voter = GroupSim::name_of(static_cast<int>(sim->random()() % 3));
      if (!sim->instance(voter)) continue;
      sim->kill(voter);
      sim->run(milliseconds(sim->random()() % 1500));
      sim->restart(voter, sim->random()() % 2 == 0);
      sim->run(milliseconds(sim->random()() % 1500));
    }
    sim->run(seconds(5));
    EXPECT_TRUE(sim->answered(kSvc)) << story();
  }
}

TEST_F(GroupSimTest, GrantsNothingNewWhileVotersCannotWrite) {
  begin(5);
  ASSERT_TRUE(owned());
  sim->run(seconds(2));
  for (const char* voter : {"n000", "n001", "n002"}) sim->set_disk_full(voter, true);
  const auto old = sim->holder(kSvc);
  sim->run(seconds(5));
  EXPECT_EQ(sim->holder(kSvc), old) << "a renewal needs no write";
  sim->kill(old);
  sim->run(seconds(5));
  EXPECT_EQ(sim->holder(kSvc), "") << "nobody's promise can be kept";
  bool said = false;
  for (const auto& line : sim->lines())
    said = said || line.find("gives no vote") != std::string::npos;
  EXPECT_TRUE(said);
  for (const char* voter : {"n000", "n001", "n002"}) sim->set_disk_full(voter, false);
  EXPECT_TRUE(owned(seconds(5))) << story();
}

// What it could not write it has not promised, however often it is asked for again; and once it is
// asked to forget, nobody is harmed.
TEST_F(GroupSimTest, DoesNotConfirmAGrantThatWasNeverWritten) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    begin(seed);
    // From the start: two of three can write, and their majority elects.
    sim->set_disk_full("n001", true);
    ASSERT_TRUE(owned()) << story();
    const auto holder = sim->holder(kSvc);
    sim->run(seconds(3));
    EXPECT_EQ(sim->holder(kSvc), holder);
    EXPECT_LE(sim->instance(holder)->lease_manager().lease_holder(kSvc)->voters_reached(), 2u)
        << "the one that cannot write has answered";
    if (holder == "n001") continue;
    // Its crash forgets what it never wrote; with the other's it must not make a majority anew.
    sim->kill("n001");
    sim->restart("n001");
    sim->run(seconds(3));
    EXPECT_EQ(sim->holder(kSvc), holder);
  }
}

// One that is preferred and restarts every 3 s: it never gets what it would lose again.
TEST_F(GroupSimTest, MovesNothingToAPreferredInstanceThatFlaps) {
  lease::LeaseManagerSettings lease_manager;
  lease_manager.addresses = {{"vip", {"n003"}}};
  begin(6, 5, 0, lease_manager);
  sim->run(seconds(8));
  ASSERT_EQ(sim->holder("vip"), "n003");
  sim->kill("n003");
  ASSERT_TRUE(sim->run_until([&] { return !sim->holder("vip").empty(); }, seconds(3)));
  const auto heir = sim->holder("vip");
  for (int i = 0; i < 10; ++i) {
    sim->restart("n003");
    sim->run(seconds(3));
    EXPECT_EQ(sim->holder("vip"), heir) << story();
    sim->kill("n003");
  }
  sim->restart("n003");
  sim->run(seconds(12));
  EXPECT_EQ(sim->holder("vip"), "n003") << "once it stays it gets it back\n" << story();
}

TEST_F(GroupSimTest, SpreadsAddressesEvenlyAlsoAfterAFailure) {
  begin(7, 5, 10);
  sim->run(seconds(30));
  const auto count = [&] {
    std::map<std::string, int> n;
    for (int a = 0; a < 10; ++a) ++n[sim->holder("svc" + std::to_string(a))];
    return n;
  };
  for (const auto& [name, n] : count()) EXPECT_EQ(n, 2) << name << "\n" << story();
  sim->kill("n004");
  sim->run(seconds(30));
  const auto after = count();
  EXPECT_EQ(after.size(), 4u) << story();
  for (const auto& [name, n] : after) EXPECT_TRUE(n == 2 || n == 3) << name << " has " << n;
}

TEST_F(GroupSimTest, ChangesVotersInService) {
  begin(8);
  ASSERT_TRUE(owned());
  sim->run(seconds(3));
  std::string said;
  bool good = false;
  const auto change = [&](const std::string& name, bool add) {
    said.clear();
    good = false;
    sim->change_voters("n004", name, add, [&](bool done, const std::string& line) {
      said = line;
      good = done;
    });
    sim->run(seconds(7));
    return good;
  };
  const auto holder = sim->holder(kSvc);
  EXPECT_TRUE(change("n003", true)) << said;
  EXPECT_EQ(sim->instance("n000")->voters().names.size(), 4u);
  EXPECT_TRUE(change("n004", true)) << said;
  EXPECT_TRUE(change("n000", false)) << said;
  EXPECT_FALSE(change("n009", true));
  EXPECT_NE(said.find("no member"), std::string::npos) << said;
  EXPECT_FALSE(change("n000", false));
  EXPECT_NE(said.find("is no voter"), std::string::npos) << said;
  EXPECT_EQ(sim->holder(kSvc), holder) << "nothing moves\n" << story();
  sim->kill("n000");
  sim->kill("n001");
  sim->run(seconds(5));
  EXPECT_TRUE(sim->answered(kSvc)) << "three of four voters are left\n" << story();
  sim->restart("n000");
  sim->restart("n001");
  sim->run(seconds(8));
  EXPECT_EQ(sim->instance("n001")->voter()->record().voters.version, 4u)
      << "one that was away catches up";
}

TEST_F(GroupSimTest, SupersedesAnEarlierIncarnationOfAName) {
  begin(9);
  ASSERT_TRUE(owned());
  const auto before = sim->instance("n004")->membership().find("n004")->incarnation;
  sim->kill("n004");
  sim->restart("n004");
  sim->run(seconds(2));
  EXPECT_EQ(sim->instance("n000")->membership().find("n004")->incarnation, before + 1);
  EXPECT_EQ(sim->instance("n000")->membership().find("n004")->state,
            membership::MemberState::kAlive);
}

// All of it at once, under a bad network. The invariant is checked after each event; at the end,
// once all is well, the address has an owner within the bound.
void GroupSimTest::run_random_faults(bool forget, bool change) {
  const char* more = std::getenv("BALANCER_GROUP_RUNS");
  const int runs = more ? std::atoi(more) : 25;
  for (int seed = 1; seed <= runs && !HasFatalFailure(); ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    begin(static_cast<std::uint64_t>(seed), 5, 2);
    sim->faults = {0.1, 0.05, 0.1};
    auto& random = sim->random();
    for (int step = 0; step < 40; ++step) {
      const auto name = GroupSim::name_of(static_cast<int>(random() % 5));
      const bool up = sim->instance(name) != nullptr;
      switch (random() % (change ? 10 : 8)) {
        case 0:
          if (up) sim->kill(name);
          break;
        case 1:
          if (!up) sim->restart(name, forget && random() % 4 == 0);
          break;
        case 2:
          if (up && !sim->paused(name)) sim->pause(name);
          break;
        case 3:
          if (up && sim->paused(name)) sim->resume(name);
          break;
        case 4:
          sim->isolate(name, random() % 2, random() % 4 > 0);
          break;
        case 5:
          sim->heal();
          break;
        case 6:
          if (up && !sim->paused(name)) sim->set_eligible(name, random() % 2);
          break;
        case 7:
          sim->set_disk_full(name, random() % 3 == 0);
          break;
        default:
          if (up && !sim->paused(name)) {
            const auto other = GroupSim::name_of(static_cast<int>(random() % 5));
            const auto& now = sim->instance(name)->voters();
            if (now.has(other) ? now.names.size() > 2 : now.names.size() < 5)
              sim->change_voters(name, other, !now.has(other), [](bool, const std::string&) {});
          }
      }
      sim->run(milliseconds(random() % 1200));
    }
    sim->heal();
    sim->faults = {};
    for (const auto& name : sim->names()) {
      sim->set_disk_full(name, false);
      if (!sim->instance(name)) sim->restart(name);
      if (sim->paused(name)) sim->resume(name);
      sim->set_eligible(name, true);
    }
    EXPECT_TRUE(owned(seconds(8))) << story();
    // What was behind with the voters has caught up.
    EXPECT_TRUE(sim->run_until(
        [&] {
          const auto& newest = sim->instance("n000")->voters();
          std::size_t by_it = 0;
          for (const auto& name : newest.names)
            by_it += sim->instance(name)->voter()->record().voters == newest;
          return by_it == newest.names.size();
        },
        seconds(20)))
        << story();
  }
}

TEST_F(GroupSimTest, HasOneHolderUnderRandomFaults) { run_random_faults(true, false); }
TEST_F(GroupSimTest, HasOneHolderUnderRandomFaultsAndVoterChanges) {
  run_random_faults(false, true);
}

// A large group, 7 of which vote: all know of all, a death is known, messages stay within their
// bound. BALANCER_GROUP_SIZE=310 is the size that is promised; it takes half a minute.
TEST_F(GroupSimTest, DetectsAFailureInALargeGroup) {
  const char* more = std::getenv("BALANCER_GROUP_SIZE");
  const int size = more ? std::atoi(more) : 100;
  sim = std::make_unique<GroupSim>(1, size, 3, 7);
  sim->run(seconds(20));
  for (const int i : {0, size / 2, size - 1})
    EXPECT_EQ(sim->instance(GroupSim::name_of(i))->membership().members().size(),
              static_cast<std::size_t>(size));
  for (int a = 0; a < 3; ++a) EXPECT_EQ(sim->holders("svc" + std::to_string(a)).size(), 1u);
  const auto datagrams = sim->datagrams, bytes = sim->bytes, writes = sim->writes;
  sim->run(seconds(10));
  std::printf(
      "%d members at rest: %.1f datagrams and %.0f bytes a second each, %llu writes, "
      "datagrams of %llu bytes at most\n",
      size, static_cast<double>(sim->datagrams - datagrams) / (10 * size),
      static_cast<double>(sim->bytes - bytes) / (10 * size),
      static_cast<unsigned long long>(sim->writes - writes),
      static_cast<unsigned long long>(sim->max_datagram));
  EXPECT_LT(sim->max_datagram + 45, kMaxDatagram);
  EXPECT_EQ(sim->writes, writes) << "nothing is written at rest";
  const Time killed = sim->now();
  const auto victim = GroupSim::name_of(size * 2 / 3);
  sim->kill(victim);
  EXPECT_TRUE(sim->run_until(
      [&] {
        int know = 0;
        for (const auto& name : sim->names())
          if (auto* i = sim->instance(name))
            if (const auto* m = i->membership().find(victim))
              know += m->state == membership::MemberState::kDead;
        return know == size - 1;
      },
      seconds(60)));
  std::printf("all know of a death after %.1f s\n", balancer::seconds(sim->now() - killed));
  for (const auto& name : sim->names()) {
    if (auto* i = sim->instance(name)) {
      int dead = 0;
      for (const auto& [n, m] : i->membership().members())
        dead += m.state == membership::MemberState::kDead;
      EXPECT_EQ(dead, 1) << name << " takes others for dead too";
    }
  }
}

}  // namespace
}  // namespace balancer::group
