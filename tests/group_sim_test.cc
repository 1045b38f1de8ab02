// Groups of nodes under the simulated clock: elections, moves, partitions, pauses, crashes and lost
// records.
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
    sim->invariant_check = [this, addresses] {
      for (int a = 0; a < addresses; ++a)
        for (const auto& names :
             {sim->holders("svc" + std::to_string(a)), sim->serving("svc" + std::to_string(a))})
          ASSERT_LE(names.size(), 1u) << names[0] << " and " << names[1] << "\n"
                                      << describe_group();
    };
  }
  std::string describe_group() const {
    std::string all;
    for (const auto& line : sim->log_lines()) all += line + "\n";
    for (const auto& name : sim->names()) {
      const auto* i = sim->instance(name);
      if (!i) continue;
      const auto text = [](const lease::VoterSet& v) {
        std::string t = "version " + std::to_string(v.version) + ":";
        for (const auto& n : v.names) t += " " + n;
        return t;
      };
      all += name + " uses " + text(i->voter()->record().voters) + ", knows of " +
             text(i->voters()) + "\n";
    }
    return all;
  }
  ::testing::AssertionResult gets_owner(Duration limit = seconds(5)) {
    if (sim->run_until([&] { return sim->is_served(kSvc); }, limit))
      return ::testing::AssertionSuccess();
    return ::testing::AssertionFailure() << "no holder answers on the address\n"
                                         << describe_group();
  }
  // Returns how long it takes until a node other than `old` answers on the address.
  Duration time_to_new_owner(const std::string& old) {
    const Time from = sim->now();
    EXPECT_TRUE(sim->run_until(
        [&] { return sim->is_served(kSvc) && sim->router.owner(kSvc) != old; }, seconds(10)))
        << describe_group();
    return sim->now() - from;
  }
  void run_random_faults(bool lose_records, bool change);
  std::unique_ptr<GroupSim> sim;
};

// With the default settings, no member of a group of the intended size is ignored.
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
  ASSERT_TRUE(gets_owner(seconds(3)));
  const auto first = sim->holder(kSvc);
  sim->run(seconds(60));
  EXPECT_EQ(sim->holder(kSvc), first);
  EXPECT_EQ(sim->instance(first)->lease_manager().lease_holder(kSvc)->elections_won(), 1u)
      << describe_group();
}

TEST_F(GroupSimTest, MovesTheAddressOfAKilledHolderWithinTwoSeconds) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    begin(seed);
    ASSERT_TRUE(gets_owner());
    sim->run(milliseconds(3000 + sim->random()() % 1000));
    const auto old = sim->holder(kSvc);
    sim->kill(old);
    EXPECT_LT(time_to_new_owner(old), seconds(2)) << describe_group();
  }
}

// The holder is cut off from all nodes and the router, or from all nodes only; in the latter case
// it withdraws its own routes.
TEST_F(GroupSimTest, MovesTheAddressOfAPartitionedHolderWithinTwoSeconds) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    begin(seed);
    ASSERT_TRUE(gets_owner());
    sim->run(milliseconds(3000 + sim->random()() % 1000));
    const auto old = sim->holder(kSvc);
    sim->isolate(old, seed % 2 == 0);
    EXPECT_LT(time_to_new_owner(old), seconds(2)) << describe_group();
    sim->run(seconds(4));
    EXPECT_EQ(sim->router.routes[kSvc].count(old), 0u)
        << "the old holder still announces the address\n"
        << describe_group();
    EXPECT_EQ(sim->instance(old)->lease_manager().lease_holder(kSvc)->state(),
              lease::LeaseHolder::State::kPartitioned);
    sim->restore_network();
    sim->run(seconds(20));
    const auto state = sim->instance(old)->lease_manager().lease_holder(kSvc)->state();
    EXPECT_TRUE(state == lease::LeaseHolder::State::kIdle ||
                state == lease::LeaseHolder::State::kCandidate)
        << "the old holder is idle or a candidate again";
  }
}

// A holder that is cut off only from the router keeps its lease, but its announcement does not
// arrive. Its owner then reports that it is not eligible.
TEST_F(GroupSimTest, HandsOverWhenTheHolderBecomesIneligible) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    begin(seed);
    ASSERT_TRUE(gets_owner());
    sim->run(seconds(3));
    const auto old = sim->holder(kSvc);
    sim->set_eligible(old, false);
    EXPECT_LT(time_to_new_owner(old), milliseconds(300)) << describe_group();
    sim->run(seconds(3));
    EXPECT_EQ(sim->router.routes[kSvc].size(), 1u);
  }
}

// Traffic is routed to some instance at every moment of a graceful move.
TEST_F(GroupSimTest, AnnouncesTheAddressThroughoutAGracefulMove) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    begin(seed);
    ASSERT_TRUE(gets_owner());
    sim->run(seconds(3));
    const auto old = sim->holder(kSvc);
    Duration both{0};
    Time last = sim->now();
    sim->leave(old);
    EXPECT_TRUE(sim->run_until(
        [&] {
          EXPECT_FALSE(sim->router.owner(kSvc).empty()) << "traffic is routed to no instance\n"
                                                        << describe_group();
          if (sim->router.routes[kSvc].size() > 1) both += sim->now() - last;
          last = sim->now();
          return sim->instance(old)->is_idle();
        },
        seconds(5)))
        << describe_group();
    EXPECT_TRUE(sim->is_served(kSvc)) << describe_group();
    EXPECT_LE(both, milliseconds(320)) << "announced by both for longer than the overlap";
    EXPECT_NE(sim->router.owner(kSvc), old);
  }
}

// A holder that is paused beyond the end of its lease and resumed notices the expiry before it
// acts.
TEST_F(GroupSimTest, StopsUsingAnExpiredLeaseAfterAPause) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    begin(seed);
    ASSERT_TRUE(gets_owner());
    sim->run(seconds(3));
    const auto old = sim->holder(kSvc);
    sim->pause(old);
    EXPECT_LT(time_to_new_owner(old), seconds(2));
    sim->run(seconds(10));
    sim->resume(old);  // the check after each event applies here too
    sim->run(milliseconds(1));
    EXPECT_FALSE(sim->instance(old)->lease_manager().lease_holder(kSvc)->should_listen());
    sim->run(seconds(2));
    EXPECT_EQ(sim->router.routes[kSvc].size(), 1u) << describe_group();
  }
}

// The group splits into parts of two, two and one, with three voters in all: only a part with a
// majority of the voters may hold the address.
TEST_F(GroupSimTest, HasAHolderOnlyInAPartWithAMajorityOfVoters) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    begin(seed);
    ASSERT_TRUE(gets_owner());
    // n000 and n001 vote together; n002 votes with n003; n004 is alone.
    const auto part_of = [](const std::string& n) { return (n.back() - '0') / 2; };
    for (const auto& a : sim->names())
      for (const auto& b : sim->names())
        if (part_of(a) != part_of(b)) sim->dropped_links.insert({a, b});
    sim->run(seconds(5));
    const auto holder = sim->holder(kSvc);
    EXPECT_TRUE(holder == "n000" || holder == "n001") << holder << "\n" << describe_group();
    sim->restore_network();
    sim->run(seconds(5));
    EXPECT_TRUE(sim->is_served(kSvc));
  }
}

TEST_F(GroupSimTest, MovesTheAddressOfAHolderWhoseMessagesAreLost) {
  begin(3);
  ASSERT_TRUE(gets_owner());
  sim->run(seconds(3));
  const auto old = sim->holder(kSvc);
  // The holder receives from all nodes, but none receives from it.
  for (const auto& other : sim->names())
    if (other != old) sim->dropped_links.insert({old, other});
  EXPECT_LT(time_to_new_owner(old), seconds(2)) << describe_group();
}

TEST_F(GroupSimTest, KeepsTheAddressUntilTheLeaseEndsWhenVotersFail) {
  lease::LeaseManagerSettings lease_manager;
  begin(4, 6, 1, lease_manager);
  ASSERT_TRUE(gets_owner());
  sim->run(seconds(2));
  // Ineligible voters hold no address, so it moves to a node that does not vote.
  for (const char* voter : {"n000", "n001", "n002"}) sim->set_eligible(voter, false);
  sim->run(seconds(3));
  const auto old = sim->holder(kSvc);
  ASSERT_GE(old, "n003");
  for (const char* voter : {"n000", "n001", "n002"}) sim->kill(voter);
  sim->run(milliseconds(500));
  EXPECT_TRUE(sim->is_served(kSvc)) << "the address is held until the lease ends";
  sim->run(milliseconds(700));
  EXPECT_TRUE(sim->router.owner(kSvc).empty()) << "the address is released when the lease ends";
  for (const char* voter : {"n000", "n001"}) sim->restart(voter);
  EXPECT_TRUE(gets_owner(seconds(4))) << "two voters are a majority";
}

TEST_F(GroupSimTest, HasOneHolderWhileVotersRestartWithAndWithoutTheirRecords) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    begin(seed);
    ASSERT_TRUE(gets_owner());
    for (int i = 0; i < 20; ++i) {
      const auto voter = GroupSim::name_of(static_cast<int>(sim->random()() % 3));
      if (!sim->instance(voter)) continue;
      sim->kill(voter);
      sim->run(milliseconds(sim->random()() % 1500));
      sim->restart(voter, sim->random()() % 2 == 0);
      sim->run(milliseconds(sim->random()() % 1500));
    }
    sim->run(seconds(5));
    EXPECT_TRUE(sim->is_served(kSvc)) << describe_group();
  }
}

TEST_F(GroupSimTest, GrantsNoNewLeaseWhileVotersCannotWrite) {
  begin(5);
  ASSERT_TRUE(gets_owner());
  sim->run(seconds(2));
  for (const char* voter : {"n000", "n001", "n002"}) sim->set_disk_full(voter, true);
  const auto old = sim->holder(kSvc);
  sim->run(seconds(5));
  EXPECT_EQ(sim->holder(kSvc), old) << "a renewal needs no write";
  sim->kill(old);
  sim->run(seconds(5));
  EXPECT_EQ(sim->holder(kSvc), "") << "no voter can store a new grant";
  bool logged = false;
  for (const auto& line : sim->log_lines())
    logged = logged || line.find("grants no votes") != std::string::npos;
  EXPECT_TRUE(logged);
  for (const char* voter : {"n000", "n001", "n002"}) sim->set_disk_full(voter, false);
  EXPECT_TRUE(gets_owner(seconds(5))) << describe_group();
}

// A voter that could not write a grant does not confirm it, however often the request is repeated,
// and loses it in a crash without harm.
TEST_F(GroupSimTest, DoesNotConfirmAGrantThatWasNeverWritten) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    begin(seed);
    // The disk is full from the start: the other two of three voters can write, and their majority
    // elects a holder.
    sim->set_disk_full("n001", true);
    ASSERT_TRUE(gets_owner()) << describe_group();
    const auto holder = sim->holder(kSvc);
    sim->run(seconds(3));
    EXPECT_EQ(sim->holder(kSvc), holder);
    EXPECT_LE(sim->instance(holder)->lease_manager().lease_holder(kSvc)->voters_reached(), 2u)
        << "the voter that cannot write has answered";
    if (holder == "n001") continue;
    // The crash loses the grants that were never written; these must not add up to a majority.
    sim->kill("n001");
    sim->restart("n001");
    sim->run(seconds(3));
    EXPECT_EQ(sim->holder(kSvc), holder);
  }
}

// A preferred instance that restarts every 3 s is not assigned an address that it would lose again.
TEST_F(GroupSimTest, MovesNoAddressToAFlappingPreferredInstance) {
  lease::LeaseManagerSettings lease_manager;
  lease_manager.addresses = {{"vip", {"n003"}}};
  begin(6, 5, 0, lease_manager);
  sim->run(seconds(8));
  ASSERT_EQ(sim->holder("vip"), "n003");
  sim->kill("n003");
  ASSERT_TRUE(sim->run_until([&] { return !sim->holder("vip").empty(); }, seconds(3)));
  const auto successor = sim->holder("vip");
  for (int i = 0; i < 10; ++i) {
    sim->restart("n003");
    sim->run(seconds(3));
    EXPECT_EQ(sim->holder("vip"), successor) << describe_group();
    sim->kill("n003");
  }
  sim->restart("n003");
  sim->run(seconds(12));
  EXPECT_EQ(sim->holder("vip"), "n003")
      << "the address returns once the preferred instance is settled\n"
      << describe_group();
}

TEST_F(GroupSimTest, SpreadsAddressesEvenlyBeforeAndAfterAFailure) {
  begin(7, 5, 10);
  sim->run(seconds(30));
  const auto count = [&] {
    std::map<std::string, int> n;
    for (int a = 0; a < 10; ++a) ++n[sim->holder("svc" + std::to_string(a))];
    return n;
  };
  for (const auto& [name, n] : count()) EXPECT_EQ(n, 2) << name << "\n" << describe_group();
  sim->kill("n004");
  sim->run(seconds(30));
  const auto after = count();
  EXPECT_EQ(after.size(), 4u) << describe_group();
  for (const auto& [name, n] : after) EXPECT_TRUE(n == 2 || n == 3) << name << " has " << n;
}

TEST_F(GroupSimTest, ChangesVotersWhileServing) {
  begin(8);
  ASSERT_TRUE(gets_owner());
  sim->run(seconds(3));
  std::string message;
  bool succeeded = false;
  const auto change = [&](const std::string& name, bool add) {
    message.clear();
    succeeded = false;
    sim->change_voters("n004", name, add, [&](bool done, const std::string& line) {
      message = line;
      succeeded = done;
    });
    sim->run(seconds(7));
    return succeeded;
  };
  const auto holder = sim->holder(kSvc);
  EXPECT_TRUE(change("n003", true)) << message;
  EXPECT_EQ(sim->instance("n000")->voters().names.size(), 4u);
  EXPECT_TRUE(change("n004", true)) << message;
  EXPECT_TRUE(change("n000", false)) << message;
  EXPECT_FALSE(change("n009", true));
  EXPECT_NE(message.find("no member"), std::string::npos) << message;
  EXPECT_FALSE(change("n000", false));
  EXPECT_NE(message.find("is not a voter"), std::string::npos) << message;
  EXPECT_EQ(sim->holder(kSvc), holder) << "the address does not move\n" << describe_group();
  sim->kill("n000");
  sim->kill("n001");
  sim->run(seconds(5));
  EXPECT_TRUE(sim->is_served(kSvc)) << "three of four voters are left\n" << describe_group();
  sim->restart("n000");
  sim->restart("n001");
  sim->run(seconds(8));
  EXPECT_EQ(sim->instance("n001")->voter()->record().voters.version, 4u)
      << "a voter that was down during a change catches up";
}

TEST_F(GroupSimTest, SupersedesAnEarlierIncarnationOfAName) {
  begin(9);
  ASSERT_TRUE(gets_owner());
  const auto before = sim->instance("n004")->membership().find("n004")->incarnation;
  sim->kill("n004");
  sim->restart("n004");
  sim->run(seconds(2));
  EXPECT_EQ(sim->instance("n000")->membership().find("n004")->incarnation, before + 1);
  EXPECT_EQ(sim->instance("n000")->membership().find("n004")->state,
            membership::MemberState::kAlive);
}

// Combines all faults on a lossy network. At most one holder is allowed after each event; once all
// faults have been removed, the address must have an owner within the time limit.
void GroupSimTest::run_random_faults(bool lose_records, bool change) {
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
          if (!up) sim->restart(name, lose_records && random() % 4 == 0);
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
          sim->restore_network();
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
    sim->restore_network();
    sim->faults = {};
    for (const auto& name : sim->names()) {
      sim->set_disk_full(name, false);
      if (!sim->instance(name)) sim->restart(name);
      if (sim->paused(name)) sim->resume(name);
      sim->set_eligible(name, true);
    }
    EXPECT_TRUE(gets_owner(seconds(8))) << describe_group();
    // Voters with an old set must adopt the newest one.
    EXPECT_TRUE(sim->run_until(
        [&] {
          const auto& newest = sim->instance("n000")->voters();
          std::size_t using_newest = 0;
          for (const auto& name : newest.names)
            using_newest += sim->instance(name)->voter()->record().voters == newest;
          return using_newest == newest.names.size();
        },
        seconds(20)))
        << describe_group();
  }
}

TEST_F(GroupSimTest, HasOneHolderUnderRandomFaults) { run_random_faults(true, false); }
TEST_F(GroupSimTest, HasOneHolderUnderRandomFaultsAndVoterChanges) {
  run_random_faults(false, true);
}

// A large group with 7 voters: every member knows all others and detects a failure, and messages
// stay within their size limit. BALANCER_GROUP_SIZE=310 is the size that the project guarantees;
// that run takes half a minute.
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
  EXPECT_EQ(sim->writes, writes) << "no record is written at rest";
  const Time killed = sim->now();
  const auto victim = GroupSim::name_of(size * 2 / 3);
  sim->kill(victim);
  EXPECT_TRUE(sim->run_until(
      [&] {
        int detected_by = 0;
        for (const auto& name : sim->names())
          if (auto* i = sim->instance(name))
            if (const auto* m = i->membership().find(victim))
              detected_by += m->state == membership::MemberState::kDead;
        return detected_by == size - 1;
      },
      seconds(60)));
  std::printf("all members detected the failure after %.1f s\n",
              balancer::seconds(sim->now() - killed));
  for (const auto& name : sim->names()) {
    if (auto* i = sim->instance(name)) {
      int dead = 0;
      for (const auto& [n, m] : i->membership().members())
        dead += m.state == membership::MemberState::kDead;
      EXPECT_EQ(dead, 1) << name << " considers other members dead too";
    }
  }
}

}  // namespace
}  // namespace balancer::group
