// A new lease duration is introduced by restarts, one member after the other, while the address is
// held. Holder and voters go by different durations meanwhile: the address must not get two
// holders, and its holder must not lose it.
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lease/lease_holder.h"
#include "lease/voter.h"

namespace balancer::lease {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Verdict = VoteReply::Verdict;

const VoterSet kVoters{1, {"a", "b", "c"}};

LeaseTimes times_with(Duration duration) {
  LeaseTimes times;
  times.duration = duration;
  return times;
}

// ---- one voter

class VoterDurationTest : public ::testing::Test {
 protected:
  static constexpr Duration kLong = seconds(20), kShort = seconds(1);

  VoteRequest request(const std::string& holder, Term term) {
    return {VoteRequest::Kind::kLease, "svc", term, {holder, 1}, 7, 1, {}};
  }
  VoteReply reply(Voter& asked, const std::string& holder, Term term) {
    return asked.on_vote_request(now, request(holder, term)).reply;
  }
  Voter restarted(const Voter& before, Duration duration) {
    return Voter("a", times_with(duration), before.record(), kVoters, now);
  }

  Time now{seconds(100)};
  Voter voter{"a", times_with(kLong), VoterRecord{kVoters, {}}, kVoters, now};
};

TEST_F(VoterDurationTest, KeepsALongGrantAfterARestartWithAShorterDuration) {
  EXPECT_EQ(reply(voter, "x", 1).remaining, kLong);
  Voter later = restarted(voter, kShort);
  now += kLong - milliseconds(1);
  EXPECT_EQ(reply(later, "y", 2).verdict, Verdict::kHeld);
  now += milliseconds(1);
  EXPECT_EQ(reply(later, "y", 2).verdict, Verdict::kGranted);
}

TEST_F(VoterDurationTest, DoesNotShortenAGrantByRenewingIt) {
  reply(voter, "x", 1);
  Voter later = restarted(voter, kShort);
  now += seconds(5);
  EXPECT_EQ(reply(later, "x", 1).remaining, kLong - seconds(5));
  EXPECT_EQ(reply(later, "x", 3).remaining, kLong - seconds(5)) << "under a raised term";
  Voter again = restarted(later, kShort);
  EXPECT_EQ(reply(again, "x", 3).remaining, kLong) << "the record does not tell when it ends";
  now += kLong;
  EXPECT_EQ(reply(again, "x", 3).remaining, kShort);
  Voter last = restarted(again, kShort);
  EXPECT_EQ(reply(last, "x", 3).remaining, kShort);
}

TEST_F(VoterDurationTest, RecordsALongerDurationBeforeItIsStated) {
  Voter first("a", times_with(kShort), VoterRecord{kVoters, {}}, kVoters, now);
  reply(first, "x", 1);
  Voter later = restarted(first, kLong);
  const auto decision = later.on_vote_request(now, request("x", 1));
  EXPECT_EQ(decision.reply.remaining, kLong);
  EXPECT_TRUE(decision.record_changed);
  EXPECT_EQ(later.record().grants.at("svc").duration, kLong);
  EXPECT_FALSE(later.on_vote_request(now, request("x", 1)).record_changed);
}

// Leases under the set before may last as long as any grant on record.
TEST_F(VoterDurationTest, AcceptsASuccessorSetOnlyOnceTheLongestGrantHasEnded) {
  reply(voter, "x", 1);
  Voter later = restarted(voter, kShort);
  ReconfigurationRequest accept;
  accept.kind = ReconfigurationRequest::Kind::kAccept;
  accept.ballot = {1, "a"};
  accept.current = kVoters;
  accept.next = {2, {"a", "b", "c", "d"}};
  now += kLong - milliseconds(1);
  EXPECT_FALSE(later.on_reconfiguration(now, accept).reply.ok);
  now += milliseconds(1);
  EXPECT_TRUE(later.on_reconfiguration(now, accept).reply.ok);
}

// ---- a group

struct Rollout {
  const char* name;
  Duration before, after;
};

class LeaseRolloutTest : public ::testing::TestWithParam<Rollout> {
 protected:
  static constexpr Duration kStep = milliseconds(10);

  void SetUp() override {
    for (const auto& name : kVoters.names) start_voter(name, GetParam().before);
    for (const auto& name : {"x", "y"}) start_holder(name, GetParam().before);
  }
  // A voter starts with its record, if it ran before.
  void start_voter(const std::string& name, Duration duration) {
    const auto running = voters.find(name);
    const VoterRecord record =
        running == voters.end() ? VoterRecord{kVoters, {}} : running->second->record();
    voters[name] = std::make_unique<Voter>(name, times_with(duration), record, kVoters, now);
  }
  void start_holder(const std::string& name, Duration duration) {
    holders[name] = std::make_unique<LeaseHolder>("svc", InstanceId{name, ++incarnation},
                                                  times_with(duration), kVoters, incarnation, now);
  }
  // Runs the group; messages arrive at once.
  void run_for(Duration duration) {
    for (const Time end = now + duration; now < end; now += kStep) {
      int holding = 0;
      for (auto& [name, holder] : holders) {
        holder->set_candidacy(now, true, name == "x" ? 0 : 1);
        if (holder->next_timer_at() <= now) holder->on_timer(now);
        deliver(*holder);
        if (!holder->take_route_actions().empty() &&
            holder->state() == LeaseHolder::State::kReleasing)
          holder->on_withdrawn(now);
        holding += holder->may_serve(now, Duration{0});
      }
      ASSERT_LE(holding, 1) << "two holders " << seconds_since_start() << " s in";
    }
  }
  double seconds_since_start() const { return std::chrono::duration<double>(now - kStart).count(); }

  static constexpr Time kStart{seconds(100)};
  Time now = kStart;
  std::uint64_t incarnation = 0;
  std::map<std::string, std::unique_ptr<Voter>> voters;
  std::map<std::string, std::unique_ptr<LeaseHolder>> holders;

 private:
  void deliver(LeaseHolder& holder) {
    for (const auto& out : holder.take_requests())
      holder.on_reply(now, out.voter,
                      voters.at(out.voter)->on_vote_request(now, out.request).reply);
  }
};

TEST_P(LeaseRolloutTest, KeepsOneHolder) {
  run_for(seconds(2));
  ASSERT_TRUE(holders.at("x")->holds(now));
  const Term term = holders.at("x")->term();
  for (const auto& name : kVoters.names) {
    start_voter(name, GetParam().after);
    run_for(milliseconds(300));
  }
  start_holder("y", GetParam().after);
  run_for(seconds(45));
  EXPECT_TRUE(holders.at("x")->holds(now)) << holders.at("x")->reason();
  EXPECT_EQ(holders.at("x")->term(), term) << "the lease was lost in between";
  // The old holder is the last to restart; the address moves.
  start_holder("x", GetParam().after);
  run_for(std::max(GetParam().before, GetParam().after) + seconds(2));
  EXPECT_TRUE(holders.at("x")->holds(now) || holders.at("y")->holds(now));
}

INSTANTIATE_TEST_SUITE_P(Durations, LeaseRolloutTest,
                         ::testing::Values(Rollout{"Shorter", seconds(20), seconds(1)},
                                           Rollout{"ALittleShorter", seconds(2), seconds(1)},
                                           Rollout{"Longer", seconds(1), seconds(20)},
                                           Rollout{"Same", seconds(1), seconds(1)}),
                         [](const auto& rollout) { return std::string(rollout.param.name); });

}  // namespace
}  // namespace balancer::lease
