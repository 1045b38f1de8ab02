#include "address/voter.h"

#include <gtest/gtest.h>

namespace silverpin::address {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Verdict = Reply::Verdict;

const Voters kThree{1, {"a", "b", "c"}};
const Holder kX{"x", 1}, kY{"y", 1};

Ask lease(const Holder& holder, Term term, const std::string& address = "svc") {
  return {Ask::Kind::kLease, address, term, holder, 7, 1, {}};
}
Ask release(const Holder& holder, Term term, const std::string& successor = {}) {
  return {Ask::Kind::kRelease, "svc", term, holder, 8, 1, successor};
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
  Ask query = lease(kX, 9);
  query.kind = Ask::Kind::kQuery;
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
  Ask ask = lease(kX, 1);
  ask.voters = 2;
  const auto d = voter.on_ask(now, ask);
  EXPECT_EQ(d.reply.verdict, Verdict::kVoters);
  EXPECT_EQ(d.reply.voters, kThree);
}

TEST_F(VoterTest, VotersChangeOneAtATimeAndALeaseApart) {
  const Voters four{2, {"a", "b", "c", "d"}}, five{3, {"a", "b", "c", "d", "e"}};
  EXPECT_NE(voter.on_change(now, kThree, {"a", "b"}, four), "") << "it has just started";
  const Time later = now + times.lease;
  EXPECT_NE(voter.on_change(later, kThree, {"a"}, four), "") << "no majority";
  EXPECT_NE(voter.on_change(later, kThree, {"a", "x", "y"}, four), "") << "no majority of voters";
  EXPECT_NE(voter.on_change(later, kThree, {"a", "b"}, {2, {"a", "b", "c", "d", "e"}}), "");
  EXPECT_NE(voter.on_change(later, kThree, {"a", "b"}, {3, {"a", "b", "c", "d"}}), "");
  EXPECT_NE(voter.on_change(later, kThree, {"a", "b"}, {2, {"c", "b", "a", "d"}}), "")
      << "unsorted";
  EXPECT_EQ(voter.on_change(later, kThree, {"a", "b"}, four), "");
  EXPECT_EQ(voter.record().voters, four);
  EXPECT_EQ(voter.on_change(later, kThree, {"a", "b"}, four), "") << "told twice";
  EXPECT_NE(voter.on_change(later + milliseconds(999), four, {"a", "b", "c"}, five), "");
  EXPECT_EQ(voter.on_change(later + seconds(1), four, {"a", "b", "c"}, five), "");
}

TEST_F(VoterTest, OneThatIsBehindCatchesUpBeforeItGoesOn) {
  const Voters four{2, {"a", "b", "c", "d"}}, three{3, {"a", "c", "d"}};
  const Time later = now + seconds(5);
  EXPECT_NE(voter.on_change(later, four, {"b", "c", "d"}, three), "");
  EXPECT_EQ(voter.record().voters, four);
  EXPECT_NE(voter.on_change(later, four, {"b", "c", "d"}, three), "") << "not a lease old";
  EXPECT_EQ(voter.on_change(later + seconds(1), four, {"b", "c", "d"}, three), "");
}

TEST_F(VoterTest, ItKeepsPromisesForSoManyAddressesAndNoMore) {
  for (int i = 0; i < 300; ++i) voter.on_ask(now, lease(kX, 1, "svc" + std::to_string(i)));
  EXPECT_EQ(voter.record().promises.size(), 256u);
}

}  // namespace
}  // namespace silverpin::address
