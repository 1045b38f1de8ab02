#include "lease/voter.h"

#include <gtest/gtest.h>

namespace balancer::lease {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Verdict = VoteReply::Verdict;

const Voters kThree{1, {"a", "b", "c"}};
const Holder kX{"x", 1}, kY{"y", 1};

VoteRequest lease(const Holder& holder, Term term, const std::string& address = "svc") {
  return {VoteRequest::Kind::kLease, address, term, holder, 7, 1, {}};
}
VoteRequest release(const Holder& holder, Term term, const std::string& successor = {}) {
  return {VoteRequest::Kind::kRelease, "svc", term, holder, 8, 1, successor};
}

class VoterTest : public ::testing::Test {
 protected:
  LeaseTimes times;
  Time now{seconds(100)};
  // One that remembers that nothing was promised.
  Voter voter{"a", times, VoterRecord{kThree, {}}, kThree, now};
};

TEST_F(VoterTest, PromisesAnAddressToOneAtATime) {
  auto d = voter.on_ask(now, lease(kX, 1));
  EXPECT_EQ(d.reply.verdict, Verdict::kGranted);
  EXPECT_TRUE(d.changed);
  EXPECT_EQ(d.reply.number, 7u);
  d = voter.on_ask(now + milliseconds(999), lease(kY, 2));
  EXPECT_EQ(d.reply.verdict, Verdict::kHeld);
  EXPECT_EQ(d.reply.left, milliseconds(1));
  EXPECT_EQ(d.reply.holder, kX);
  EXPECT_FALSE(d.changed);
  // Another address is another matter.
  EXPECT_EQ(voter.on_ask(now, lease(kY, 1, "other")).reply.verdict, Verdict::kGranted);
  EXPECT_EQ(voter.on_ask(now + seconds(1), lease(kY, 2)).reply.verdict, Verdict::kGranted);
}

TEST_F(VoterTest, ARenewalCostsNoWrite) {
  voter.on_ask(now, lease(kX, 1));
  const auto d = voter.on_ask(now + milliseconds(900), lease(kX, 1));
  EXPECT_EQ(d.reply.verdict, Verdict::kGranted);
  EXPECT_FALSE(d.changed);
  EXPECT_EQ(voter.on_ask(now + milliseconds(1899), lease(kY, 2)).reply.verdict, Verdict::kHeld);
}

// A holder that some voter has heard a newer term from goes on under a newer one still.
TEST_F(VoterTest, AHolderMayRaiseItsTerm) {
  voter.on_ask(now, lease(kX, 1));
  const auto d = voter.on_ask(now + milliseconds(500), lease(kX, 4));
  EXPECT_EQ(d.reply.verdict, Verdict::kGranted);
  EXPECT_TRUE(d.changed);
  EXPECT_EQ(voter.on_ask(now + milliseconds(600), lease(kX, 1)).reply.verdict, Verdict::kHeld);
  EXPECT_EQ(voter.on_ask(now + milliseconds(600), lease(kY, 9)).reply.verdict, Verdict::kHeld);
  EXPECT_EQ(voter.on_ask(now + milliseconds(600), lease({"x", 2}, 9)).reply.verdict, Verdict::kHeld)
      << "another life is another holder";
}

// One that came back to an old set by forgetting.
TEST_F(VoterTest, UnderASetThatAMajorityHasLeftItVotesNoMore) {
  voter.on_heard_of(2);
  EXPECT_EQ(voter.on_ask(now, lease(kX, 1)).reply.verdict, Verdict::kGranted)
      << "the next set may come to nothing";
  voter.on_heard_of(3);
  EXPECT_EQ(voter.on_ask(now, lease(kX, 1)).reply.verdict, Verdict::kVoters);
  const Voters third{3, {"a", "c", "d"}};
  Change adopt;
  adopt.kind = Change::Kind::kAdopt;
  adopt.next = third;
  voter.on_change(now, adopt);
  EXPECT_EQ(voter.record().voters, third);
  VoteRequest ask = lease(kX, 1);
  ask.voters = 3;
  EXPECT_EQ(voter.on_ask(now, ask).reply.verdict, Verdict::kGranted);
}

TEST_F(VoterTest, EachTermOnceAndEachLifeIsAnother) {
  voter.on_ask(now, lease(kX, 5));
  const Time later = now + seconds(2);
  EXPECT_EQ(voter.on_ask(later, lease(kY, 5)).reply.verdict, Verdict::kOldTerm);
  EXPECT_EQ(voter.on_ask(later, lease(kY, 4)).reply.verdict, Verdict::kOldTerm);
  EXPECT_EQ(voter.on_ask(later, lease({"x", 2}, 5)).reply.verdict, Verdict::kOldTerm);
  EXPECT_EQ(voter.on_ask(later, lease({"x", 2}, 6)).reply.verdict, Verdict::kGranted);
}

TEST_F(VoterTest, AReleaseFreesItAndKeepsItForTheSuccessor) {
  voter.on_ask(now, lease(kX, 1));
  voter.on_ask(now, release(kY, 1));
  voter.on_ask(now, release(kX, 0));
  EXPECT_EQ(voter.on_ask(now, lease(kY, 2)).reply.verdict, Verdict::kHeld) << "not theirs to give";
  voter.on_ask(now, release(kX, 1, "z"));
  EXPECT_EQ(voter.on_ask(now, lease(kY, 2)).reply.verdict, Verdict::kHeld) << "kept for z";
  EXPECT_EQ(voter.on_ask(now, lease(kX, 1)).reply.verdict, Verdict::kHeld) << "a late renewal";
  EXPECT_EQ(voter.on_ask(now, lease({"z", 4}, 2)).reply.verdict, Verdict::kGranted);
  // A release that comes late says nothing of the tenure behind it.
  voter.on_ask(now, release(kX, 1));
  EXPECT_EQ(voter.on_ask(now, lease(kY, 3)).reply.verdict, Verdict::kHeld);
}

TEST_F(VoterTest, WhatIsKeptForASuccessorIsNotKeptForLong) {
  voter.on_ask(now, lease(kX, 1));
  voter.on_ask(now, release(kX, 1, "z"));
  EXPECT_EQ(voter.on_ask(now + times.overlap, lease(kY, 2)).reply.verdict, Verdict::kGranted);
}

TEST_F(VoterTest, OneThatRemembersHoldsItsPromisesOverACrash) {
  voter.on_ask(now, lease(kX, 3));
  const auto record = voter.record();
  const Time start = now + seconds(50);
  Voter again("a", times, record, kThree, start);
  EXPECT_EQ(again.on_ask(start + milliseconds(999), lease(kY, 4)).reply.verdict, Verdict::kHeld);
  EXPECT_EQ(again.on_ask(start, lease(kX, 3)).reply.verdict, Verdict::kGranted);
  Voter third("a", times, record, kThree, start);
  EXPECT_EQ(third.on_ask(start + seconds(1), lease(kY, 3)).reply.verdict, Verdict::kOldTerm);
  EXPECT_EQ(third.on_ask(start + seconds(1), lease(kY, 4)).reply.verdict, Verdict::kGranted);
}

TEST_F(VoterTest, OneThatHasForgottenWaitsForAWholeLease) {
  Voter empty("a", times, std::nullopt, kThree, now);
  const auto d = empty.on_ask(now + milliseconds(400), lease(kX, 1));
  EXPECT_EQ(d.reply.verdict, Verdict::kWaiting);
  EXPECT_EQ(d.reply.left, milliseconds(600));
  EXPECT_EQ(empty.on_ask(now + seconds(1), lease(kX, 1)).reply.verdict, Verdict::kGranted);
}

TEST_F(VoterTest, QueriesPromiseNothing) {
  VoteRequest query = lease(kX, 9);
  query.kind = VoteRequest::Kind::kQuery;
  auto d = voter.on_ask(now, query);
  EXPECT_EQ(d.reply.verdict, Verdict::kTold);
  EXPECT_TRUE(d.reply.holder.none());
  EXPECT_FALSE(d.changed);
  voter.on_ask(now, lease(kY, 2));
  d = voter.on_ask(now, query);
  EXPECT_EQ(d.reply.holder, kY);
  EXPECT_EQ(d.reply.term, 2u);
  EXPECT_EQ(d.reply.left, times.lease);
}

TEST_F(VoterTest, AnotherSetOfVotersIsNoMajorityHere) {
  VoteRequest ask = lease(kX, 1);
  ask.voters = 2;
  const auto d = voter.on_ask(now, ask);
  EXPECT_EQ(d.reply.verdict, Verdict::kVoters);
  EXPECT_EQ(d.reply.voters, kThree);
}

Change change(Change::Kind kind, std::uint64_t ballot, const Voters& present, const Voters& next,
              const std::string& by = "d1") {
  Change c;
  c.kind = kind;
  c.ballot = {ballot, by};
  c.present = present;
  c.next = next;
  return c;
}

const Voters kFour{2, {"a", "b", "c", "d"}}, kTwo{2, {"a", "c"}};

TEST_F(VoterTest, AcceptsASuccessorOneStepAwayOnceItHasGoneByItsSetForALease) {
  using Kind = Change::Kind;
  EXPECT_TRUE(voter.on_change(now, change(Kind::kPrepare, 1, kThree, {})).reply.good);
  const auto accept = change(Kind::kAccept, 1, kThree, kFour);
  EXPECT_FALSE(voter.on_change(now + milliseconds(999), accept).reply.good)
      << "it has just started";
  const Time later = now + times.lease;
  for (const Voters& bad : {Voters{2, {"a", "b", "c", "d", "e"}}, Voters{3, {"a", "b", "c", "d"}},
                            Voters{2, {"c", "b", "a", "d"}}, Voters{2, {"a", "b", "c"}}})
    EXPECT_FALSE(voter.on_change(later, change(Kind::kAccept, 1, kThree, bad)).reply.good);
  EXPECT_FALSE(
      voter.on_change(later, change(Kind::kAccept, 1, kFour, {3, {"a", "b", "c"}})).reply.good)
      << "it goes by another set";
  const auto d = voter.on_change(later, accept);
  EXPECT_TRUE(d.reply.good && d.changed);
  EXPECT_EQ(voter.record().voters, kThree) << "accepted is not chosen";
  EXPECT_EQ(voter.record().accepted, kFour);
  EXPECT_FALSE(voter.on_change(later, accept).changed) << "told twice";
}

// Of two drivers the one that is behind hears what the other has half done.
TEST_F(VoterTest, ANewerBallotHearsWhatAnOlderHadAccepted) {
  using Kind = Change::Kind;
  const Time later = now + times.lease;
  voter.on_change(later, change(Kind::kPrepare, 1, kThree, {}));
  voter.on_change(later, change(Kind::kAccept, 1, kThree, kFour));
  auto r = voter.on_change(later, change(Kind::kPrepare, 2, kThree, {}, "d2")).reply;
  EXPECT_TRUE(r.good);
  EXPECT_EQ(r.accepted, kFour);
  EXPECT_EQ(r.accepted_at, (Ballot{1, "d1"}));
  r = voter.on_change(later, change(Kind::kAccept, 1, kThree, kTwo)).reply;
  EXPECT_FALSE(r.good) << "it has promised the newer ballot";
  EXPECT_EQ(r.promised, (Ballot{2, "d2"}));
  EXPECT_EQ(voter.record().accepted, kFour);
}

TEST_F(VoterTest, GoesByWhatWasChosenAndForgetsTheBallotsBefore) {
  using Kind = Change::Kind;
  const Time later = now + times.lease;
  voter.on_change(later, change(Kind::kAccept, 1, kThree, kFour));
  EXPECT_TRUE(voter.on_change(later, change(Kind::kAdopt, 1, kThree, kFour)).reply.good);
  EXPECT_EQ(voter.record().voters, kFour);
  EXPECT_TRUE(voter.record().promised.none());
  const Voters five{3, {"a", "b", "c", "d", "e"}};
  EXPECT_FALSE(
      voter.on_change(later + milliseconds(999), change(Kind::kAccept, 1, kFour, five)).reply.good)
      << "not a lease yet";
  EXPECT_TRUE(
      voter.on_change(later + seconds(1), change(Kind::kAccept, 1, kFour, five)).reply.good);
  EXPECT_FALSE(voter.on_change(later, change(Kind::kAdopt, 1, kThree, kTwo)).reply.good)
      << "never back";
  // One that was away catches up, over several sets if need be.
  EXPECT_TRUE(voter.on_change(later, change(Kind::kAdopt, 0, kThree, {7, {"x", "y"}})).reply.good);
  EXPECT_FALSE(
      voter.on_change(later + seconds(9), change(Kind::kAccept, 1, {7, {"x", "y"}}, {8, {"x"}}))
          .reply.good)
      << "it is no voter any more";
}

TEST(ForgetfulVoterTest, SaysSoUntilAllHaveAcceptedWithIt) {
  using Kind = Change::Kind;
  const LeaseTimes times;
  const Time now = seconds(100);
  Voter voter("a", times, std::nullopt, kThree, now);
  const Time later = now + times.lease;
  EXPECT_TRUE(voter.on_change(later, change(Kind::kPrepare, 1, kThree, {})).reply.forgot);
  voter.on_change(later, change(Kind::kAccept, 1, kThree, kFour));
  Voter told(voter);
  EXPECT_TRUE(told.on_change(later, change(Kind::kAdopt, 1, kThree, kFour)).reply.forgot);
  auto by_all = change(Kind::kAdopt, 1, kThree, kFour);
  by_all.by_all = true;
  EXPECT_FALSE(voter.on_change(later, by_all).reply.forgot);
}

TEST_F(VoterTest, ItKeepsPromisesForSoManyAddressesAndNoMore) {
  for (int i = 0; i < 300; ++i) voter.on_ask(now, lease(kX, 1, "svc" + std::to_string(i)));
  EXPECT_EQ(voter.record().promises.size(), 256u);
}

}  // namespace
}  // namespace balancer::lease
