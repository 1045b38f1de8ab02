#include "lease/voter.h"

#include <gtest/gtest.h>

namespace balancer::lease {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Verdict = VoteReply::Verdict;

const VoterSet kThree{1, {"a", "b", "c"}};
const InstanceId kX{"x", 1}, kY{"y", 1};

VoteRequest lease(const InstanceId& holder, Term term, const std::string& address = "svc") {
  return {VoteRequest::Kind::kLease, address, term, holder, 7, 1, {}};
}
VoteRequest release(const InstanceId& holder, Term term, const std::string& successor = {}) {
  return {VoteRequest::Kind::kRelease, "svc", term, holder, 8, 1, successor};
}

class VoterTest : public ::testing::Test {
 protected:
  LeaseTimes times;
  Time now{seconds(100)};
  // With a record by which nothing was granted.
  Voter voter{"a", times, VoterRecord{kThree, {}}, kThree, now};
};

TEST_F(VoterTest, GrantsAnAddressToOneHolderAtATime) {
  auto d = voter.on_vote_request(now, lease(kX, 1));
  EXPECT_EQ(d.reply.verdict, Verdict::kGranted);
  EXPECT_TRUE(d.record_changed);
  EXPECT_EQ(d.reply.number, 7u);
  d = voter.on_vote_request(now + milliseconds(999), lease(kY, 2));
  EXPECT_EQ(d.reply.verdict, Verdict::kHeld);
  EXPECT_EQ(d.reply.remaining, milliseconds(1));
  EXPECT_EQ(d.reply.holder, kX);
  EXPECT_FALSE(d.record_changed);
  // Another address is another matter.
  EXPECT_EQ(voter.on_vote_request(now, lease(kY, 1, "other")).reply.verdict, Verdict::kGranted);
  EXPECT_EQ(voter.on_vote_request(now + seconds(1), lease(kY, 2)).reply.verdict, Verdict::kGranted);
}

TEST_F(VoterTest, LeavesTheRecordUnchangedOnRenewal) {
  voter.on_vote_request(now, lease(kX, 1));
  const auto d = voter.on_vote_request(now + milliseconds(900), lease(kX, 1));
  EXPECT_EQ(d.reply.verdict, Verdict::kGranted);
  EXPECT_FALSE(d.record_changed);
  EXPECT_EQ(voter.on_vote_request(now + milliseconds(1899), lease(kY, 2)).reply.verdict,
            Verdict::kHeld);
}

// A holder that learns of a newer term from a voter continues under one newer still.
TEST_F(VoterTest, GrantsANewerTermToThePresentHolder) {
  voter.on_vote_request(now, lease(kX, 1));
  const auto d = voter.on_vote_request(now + milliseconds(500), lease(kX, 4));
  EXPECT_EQ(d.reply.verdict, Verdict::kGranted);
  EXPECT_TRUE(d.record_changed);
  EXPECT_EQ(voter.on_vote_request(now + milliseconds(600), lease(kX, 1)).reply.verdict,
            Verdict::kHeld);
  EXPECT_EQ(voter.on_vote_request(now + milliseconds(600), lease(kY, 9)).reply.verdict,
            Verdict::kHeld);
  EXPECT_EQ(voter.on_vote_request(now + milliseconds(600), lease({"x", 2}, 9)).reply.verdict,
            Verdict::kHeld)
      << "another incarnation is another holder";
}

// A voter that returned to an old set by losing its record.
TEST_F(VoterTest, GrantsNothingUnderASetThatAMajorityHasLeft) {
  voter.on_voter_set_seen(2);
  EXPECT_EQ(voter.on_vote_request(now, lease(kX, 1)).reply.verdict, Verdict::kGranted)
      << "the next set may come to nothing";
  voter.on_voter_set_seen(3);
  EXPECT_EQ(voter.on_vote_request(now, lease(kX, 1)).reply.verdict, Verdict::kVoterSetMismatch);
  const VoterSet third{3, {"a", "c", "d"}};
  ReconfigurationRequest adopt;
  adopt.kind = ReconfigurationRequest::Kind::kAdopt;
  adopt.next = third;
  voter.on_reconfiguration(now, adopt);
  EXPECT_EQ(voter.record().voters, third);
  VoteRequest ask = lease(kX, 1);
  ask.voter_set_version = 3;
  EXPECT_EQ(voter.on_vote_request(now, ask).reply.verdict, Verdict::kGranted);
}

TEST_F(VoterTest, GrantsEachTermOnceAndTreatsIncarnationsAsDifferentHolders) {
  voter.on_vote_request(now, lease(kX, 5));
  const Time later = now + seconds(2);
  EXPECT_EQ(voter.on_vote_request(later, lease(kY, 5)).reply.verdict, Verdict::kOldTerm);
  EXPECT_EQ(voter.on_vote_request(later, lease(kY, 4)).reply.verdict, Verdict::kOldTerm);
  EXPECT_EQ(voter.on_vote_request(later, lease({"x", 2}, 5)).reply.verdict, Verdict::kOldTerm);
  EXPECT_EQ(voter.on_vote_request(later, lease({"x", 2}, 6)).reply.verdict, Verdict::kGranted);
}

TEST_F(VoterTest, ReservesAReleasedAddressForTheSuccessor) {
  voter.on_vote_request(now, lease(kX, 1));
  voter.on_vote_request(now, release(kY, 1));
  voter.on_vote_request(now, release(kX, 0));
  EXPECT_EQ(voter.on_vote_request(now, lease(kY, 2)).reply.verdict, Verdict::kHeld)
      << "not theirs to give";
  voter.on_vote_request(now, release(kX, 1, "z"));
  EXPECT_EQ(voter.on_vote_request(now, lease(kY, 2)).reply.verdict, Verdict::kHeld) << "kept for z";
  EXPECT_EQ(voter.on_vote_request(now, lease(kX, 1)).reply.verdict, Verdict::kHeld)
      << "a late renewal";
  EXPECT_EQ(voter.on_vote_request(now, lease({"z", 4}, 2)).reply.verdict, Verdict::kGranted);
  // A late release does not affect the lease that followed.
  voter.on_vote_request(now, release(kX, 1));
  EXPECT_EQ(voter.on_vote_request(now, lease(kY, 3)).reply.verdict, Verdict::kHeld);
}

TEST_F(VoterTest, EndsAReservationAfterTheOverlap) {
  voter.on_vote_request(now, lease(kX, 1));
  voter.on_vote_request(now, release(kX, 1, "z"));
  EXPECT_EQ(voter.on_vote_request(now + times.overlap, lease(kY, 2)).reply.verdict,
            Verdict::kGranted);
}

TEST_F(VoterTest, KeepsGrantsOverARestartWithItsRecord) {
  voter.on_vote_request(now, lease(kX, 3));
  const auto record = voter.record();
  const Time start = now + seconds(50);
  Voter again("a", times, record, kThree, start);
  EXPECT_EQ(again.on_vote_request(start + milliseconds(999), lease(kY, 4)).reply.verdict,
            Verdict::kHeld);
  EXPECT_EQ(again.on_vote_request(start, lease(kX, 3)).reply.verdict, Verdict::kGranted);
  Voter third("a", times, record, kThree, start);
  EXPECT_EQ(third.on_vote_request(start + seconds(1), lease(kY, 3)).reply.verdict,
            Verdict::kOldTerm);
  EXPECT_EQ(third.on_vote_request(start + seconds(1), lease(kY, 4)).reply.verdict,
            Verdict::kGranted);
}

TEST_F(VoterTest, GrantsNothingForALeaseAfterARestartWithoutItsRecord) {
  Voter empty("a", times, std::nullopt, kThree, now);
  const auto d = empty.on_vote_request(now + milliseconds(400), lease(kX, 1));
  EXPECT_EQ(d.reply.verdict, Verdict::kUnavailable);
  EXPECT_EQ(d.reply.remaining, milliseconds(600));
  EXPECT_EQ(empty.on_vote_request(now + seconds(1), lease(kX, 1)).reply.verdict, Verdict::kGranted);
}

TEST_F(VoterTest, AnswersQueriesWithoutAGrant) {
  VoteRequest query = lease(kX, 9);
  query.kind = VoteRequest::Kind::kQuery;
  auto d = voter.on_vote_request(now, query);
  EXPECT_EQ(d.reply.verdict, Verdict::kQueryAnswer);
  EXPECT_TRUE(d.reply.holder.empty());
  EXPECT_FALSE(d.record_changed);
  voter.on_vote_request(now, lease(kY, 2));
  d = voter.on_vote_request(now, query);
  EXPECT_EQ(d.reply.holder, kY);
  EXPECT_EQ(d.reply.term, 2u);
  EXPECT_EQ(d.reply.remaining, times.duration);
}

TEST_F(VoterTest, RejectsARequestUnderAnotherVoterSet) {
  VoteRequest ask = lease(kX, 1);
  ask.voter_set_version = 2;
  const auto d = voter.on_vote_request(now, ask);
  EXPECT_EQ(d.reply.verdict, Verdict::kVoterSetMismatch);
  EXPECT_EQ(d.reply.voters, kThree);
}

ReconfigurationRequest change(ReconfigurationRequest::Kind kind, std::uint64_t ballot,
                              const VoterSet& present, const VoterSet& next,
                              const std::string& by = "d1") {
  ReconfigurationRequest c;
  c.kind = kind;
  c.ballot = {ballot, by};
  c.current = present;
  c.next = next;
  return c;
}

const VoterSet kFour{2, {"a", "b", "c", "d"}}, kTwo{2, {"a", "c"}};

TEST_F(VoterTest, AcceptsASetOneStepAwayOnceItHasUsedItsOwnForALease) {
  using Kind = ReconfigurationRequest::Kind;
  EXPECT_TRUE(voter.on_reconfiguration(now, change(Kind::kPrepare, 1, kThree, {})).reply.ok);
  const auto accept = change(Kind::kAccept, 1, kThree, kFour);
  EXPECT_FALSE(voter.on_reconfiguration(now + milliseconds(999), accept).reply.ok)
      << "it has just started";
  const Time later = now + times.duration;
  for (const VoterSet& bad :
       {VoterSet{2, {"a", "b", "c", "d", "e"}}, VoterSet{3, {"a", "b", "c", "d"}},
        VoterSet{2, {"c", "b", "a", "d"}}, VoterSet{2, {"a", "b", "c"}}})
    EXPECT_FALSE(voter.on_reconfiguration(later, change(Kind::kAccept, 1, kThree, bad)).reply.ok);
  EXPECT_FALSE(
      voter.on_reconfiguration(later, change(Kind::kAccept, 1, kFour, {3, {"a", "b", "c"}}))
          .reply.ok)
      << "it goes by another set";
  const auto d = voter.on_reconfiguration(later, accept);
  EXPECT_TRUE(d.reply.ok && d.record_changed);
  EXPECT_EQ(voter.record().voters, kThree) << "accepted is not chosen";
  EXPECT_EQ(voter.record().accepted_voters, kFour);
  EXPECT_FALSE(voter.on_reconfiguration(later, accept).record_changed) << "told twice";
}

// A driver with a newer ballot learns what another left unfinished.
TEST_F(VoterTest, ReportsWhatWasAcceptedToANewerBallot) {
  using Kind = ReconfigurationRequest::Kind;
  const Time later = now + times.duration;
  voter.on_reconfiguration(later, change(Kind::kPrepare, 1, kThree, {}));
  voter.on_reconfiguration(later, change(Kind::kAccept, 1, kThree, kFour));
  auto r = voter.on_reconfiguration(later, change(Kind::kPrepare, 2, kThree, {}, "d2")).reply;
  EXPECT_TRUE(r.ok);
  EXPECT_EQ(r.accepted_voters, kFour);
  EXPECT_EQ(r.accepted_ballot, (Ballot{1, "d1"}));
  r = voter.on_reconfiguration(later, change(Kind::kAccept, 1, kThree, kTwo)).reply;
  EXPECT_FALSE(r.ok) << "it has promised the newer ballot";
  EXPECT_EQ(r.promised_ballot, (Ballot{2, "d2"}));
  EXPECT_EQ(voter.record().accepted_voters, kFour);
}

TEST_F(VoterTest, AdoptsAChosenSetAndClearsOlderBallots) {
  using Kind = ReconfigurationRequest::Kind;
  const Time later = now + times.duration;
  voter.on_reconfiguration(later, change(Kind::kAccept, 1, kThree, kFour));
  EXPECT_TRUE(voter.on_reconfiguration(later, change(Kind::kAdopt, 1, kThree, kFour)).reply.ok);
  EXPECT_EQ(voter.record().voters, kFour);
  EXPECT_TRUE(voter.record().promised_ballot.empty());
  const VoterSet five{3, {"a", "b", "c", "d", "e"}};
  EXPECT_FALSE(
      voter.on_reconfiguration(later + milliseconds(999), change(Kind::kAccept, 1, kFour, five))
          .reply.ok)
      << "not a lease yet";
  EXPECT_TRUE(
      voter.on_reconfiguration(later + seconds(1), change(Kind::kAccept, 1, kFour, five)).reply.ok);
  EXPECT_FALSE(voter.on_reconfiguration(later, change(Kind::kAdopt, 1, kThree, kTwo)).reply.ok)
      << "never back";
  // A voter that was away catches up, over several versions if need be.
  EXPECT_TRUE(
      voter.on_reconfiguration(later, change(Kind::kAdopt, 0, kThree, {7, {"x", "y"}})).reply.ok);
  EXPECT_FALSE(voter
                   .on_reconfiguration(later + seconds(9),
                                       change(Kind::kAccept, 1, {7, {"x", "y"}}, {8, {"x"}}))
                   .reply.ok)
      << "it is no voter any more";
}

TEST(VoterWithoutRecordTest, ReportsItsLossUntilAllVotersHaveAcceptedASet) {
  using Kind = ReconfigurationRequest::Kind;
  const LeaseTimes times;
  const Time now = seconds(100);
  Voter voter("a", times, std::nullopt, kThree, now);
  const Time later = now + times.duration;
  EXPECT_TRUE(
      voter.on_reconfiguration(later, change(Kind::kPrepare, 1, kThree, {})).reply.record_lost);
  voter.on_reconfiguration(later, change(Kind::kAccept, 1, kThree, kFour));
  Voter told(voter);
  EXPECT_TRUE(
      told.on_reconfiguration(later, change(Kind::kAdopt, 1, kThree, kFour)).reply.record_lost);
  auto accepted_by_all = change(Kind::kAdopt, 1, kThree, kFour);
  accepted_by_all.accepted_by_all = true;
  EXPECT_FALSE(voter.on_reconfiguration(later, accepted_by_all).reply.record_lost);
}

TEST_F(VoterTest, BoundsTheAddressesOnRecord) {
  for (int i = 0; i < 300; ++i) voter.on_vote_request(now, lease(kX, 1, "svc" + std::to_string(i)));
  EXPECT_EQ(voter.record().grants.size(), 256u);
}

}  // namespace
}  // namespace balancer::lease
