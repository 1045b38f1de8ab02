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
  // Starts with a record that has no grants.
  Voter voter{"a", times, VoterRecord{kThree, {}}, kThree, now};
};

TEST_F(VoterTest, GrantsAnAddressToOneHolderAtATime) {
  auto decision = voter.on_vote_request(now, lease(kX, 1));
  EXPECT_EQ(decision.reply.verdict, Verdict::kGranted);
  EXPECT_TRUE(decision.record_changed);
  EXPECT_EQ(decision.reply.number, 7u);
  decision = voter.on_vote_request(now + milliseconds(999), lease(kY, 2));
  EXPECT_EQ(decision.reply.verdict, Verdict::kHeld);
  EXPECT_EQ(decision.reply.remaining, milliseconds(1));
  EXPECT_EQ(decision.reply.holder, kX);
  EXPECT_FALSE(decision.record_changed);
  // Leases of different addresses are independent.
  EXPECT_EQ(voter.on_vote_request(now, lease(kY, 1, "other")).reply.verdict, Verdict::kGranted);
  EXPECT_EQ(voter.on_vote_request(now + seconds(1), lease(kY, 2)).reply.verdict, Verdict::kGranted);
}

TEST_F(VoterTest, LeavesTheRecordUnchangedOnRenewal) {
  voter.on_vote_request(now, lease(kX, 1));
  const auto decision = voter.on_vote_request(now + milliseconds(900), lease(kX, 1));
  EXPECT_EQ(decision.reply.verdict, Verdict::kGranted);
  EXPECT_FALSE(decision.record_changed);
  EXPECT_EQ(voter.on_vote_request(now + milliseconds(1899), lease(kY, 2)).reply.verdict,
            Verdict::kHeld);
}

// A holder that finds a newer term at a voter continues under an even newer one.
TEST_F(VoterTest, GrantsANewerTermToThePresentHolder) {
  voter.on_vote_request(now, lease(kX, 1));
  const auto decision = voter.on_vote_request(now + milliseconds(500), lease(kX, 4));
  EXPECT_EQ(decision.reply.verdict, Verdict::kGranted);
  EXPECT_TRUE(decision.record_changed);
  EXPECT_EQ(voter.on_vote_request(now + milliseconds(600), lease(kX, 1)).reply.verdict,
            Verdict::kHeld);
  EXPECT_EQ(voter.on_vote_request(now + milliseconds(600), lease(kY, 9)).reply.verdict,
            Verdict::kHeld);
  EXPECT_EQ(voter.on_vote_request(now + milliseconds(600), lease({"x", 2}, 9)).reply.verdict,
            Verdict::kHeld)
      << "another incarnation is another holder";
}

// The voter may have returned to an old set by losing its record.
TEST_F(VoterTest, GrantsNothingUnderASetThatAMajorityHasLeft) {
  voter.on_voter_set_seen(2);
  EXPECT_EQ(voter.on_vote_request(now, lease(kX, 1)).reply.verdict, Verdict::kGranted)
      << "the next set may never be chosen";
  voter.on_voter_set_seen(3);
  EXPECT_EQ(voter.on_vote_request(now, lease(kX, 1)).reply.verdict, Verdict::kVoterSetMismatch);
  const VoterSet third{3, {"a", "c", "d"}};
  ReconfigurationRequest adopt;
  adopt.kind = ReconfigurationRequest::Kind::kAdopt;
  adopt.next = third;
  voter.on_reconfiguration(now, adopt);
  EXPECT_EQ(voter.record().voters, third);
  VoteRequest request = lease(kX, 1);
  request.voter_set_version = 3;
  EXPECT_EQ(voter.on_vote_request(now, request).reply.verdict, Verdict::kGranted);
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
      << "released by another instance, or under another term";
  voter.on_vote_request(now, release(kX, 1, "z"));
  EXPECT_EQ(voter.on_vote_request(now, lease(kY, 2)).reply.verdict, Verdict::kHeld)
      << "reserved for z";
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

TEST_F(VoterTest, KeepsGrantsAfterARestartWithItsRecord) {
  voter.on_vote_request(now, lease(kX, 3));
  const auto record = voter.record();
  const Time start = now + seconds(50);
  Voter restarted("a", times, record, kThree, start);
  EXPECT_EQ(restarted.on_vote_request(start + milliseconds(999), lease(kY, 4)).reply.verdict,
            Verdict::kHeld);
  EXPECT_EQ(restarted.on_vote_request(start, lease(kX, 3)).reply.verdict, Verdict::kGranted);
  Voter restarted_later("a", times, record, kThree, start);
  EXPECT_EQ(restarted_later.on_vote_request(start + seconds(1), lease(kY, 3)).reply.verdict,
            Verdict::kOldTerm);
  EXPECT_EQ(restarted_later.on_vote_request(start + seconds(1), lease(kY, 4)).reply.verdict,
            Verdict::kGranted);
}

TEST_F(VoterTest, GrantsNothingForTheLengthOfALeaseAfterARestartWithoutItsRecord) {
  Voter empty("a", times, std::nullopt, kThree, now);
  const auto decision = empty.on_vote_request(now + milliseconds(400), lease(kX, 1));
  EXPECT_EQ(decision.reply.verdict, Verdict::kUnavailable);
  EXPECT_EQ(decision.reply.remaining, milliseconds(600));
  EXPECT_EQ(empty.on_vote_request(now + seconds(1), lease(kX, 1)).reply.verdict, Verdict::kGranted);
}

TEST_F(VoterTest, AnswersQueriesWithoutGrantingALease) {
  VoteRequest query = lease(kX, 9);
  query.kind = VoteRequest::Kind::kQuery;
  auto decision = voter.on_vote_request(now, query);
  EXPECT_EQ(decision.reply.verdict, Verdict::kQueryAnswer);
  EXPECT_TRUE(decision.reply.holder.empty());
  EXPECT_FALSE(decision.record_changed);
  voter.on_vote_request(now, lease(kY, 2));
  decision = voter.on_vote_request(now, query);
  EXPECT_EQ(decision.reply.holder, kY);
  EXPECT_EQ(decision.reply.term, 2u);
  EXPECT_EQ(decision.reply.remaining, times.duration);
}

TEST_F(VoterTest, RejectsARequestUnderAnotherVoterSet) {
  VoteRequest request = lease(kX, 1);
  request.voter_set_version = 2;
  const auto decision = voter.on_vote_request(now, request);
  EXPECT_EQ(decision.reply.verdict, Verdict::kVoterSetMismatch);
  EXPECT_EQ(decision.reply.voters, kThree);
}

ReconfigurationRequest reconfiguration(ReconfigurationRequest::Kind kind, std::uint64_t ballot,
                                       const VoterSet& current, const VoterSet& next,
                                       const std::string& proposer = "d1") {
  ReconfigurationRequest request;
  request.kind = kind;
  request.ballot = {ballot, proposer};
  request.current = current;
  request.next = next;
  return request;
}

const VoterSet kFour{2, {"a", "b", "c", "d"}}, kTwo{2, {"a", "c"}};

TEST_F(VoterTest, AcceptsASuccessorSetOnceItHasUsedTheCurrentOneForALease) {
  using Kind = ReconfigurationRequest::Kind;
  EXPECT_TRUE(
      voter.on_reconfiguration(now, reconfiguration(Kind::kPrepare, 1, kThree, {})).reply.ok);
  const auto accept = reconfiguration(Kind::kAccept, 1, kThree, kFour);
  EXPECT_FALSE(voter.on_reconfiguration(now + milliseconds(999), accept).reply.ok)
      << "the voter has used the set for less than a lease";
  const Time later = now + times.duration;
  for (const VoterSet& invalid :
       {VoterSet{2, {"a", "b", "c", "d", "e"}}, VoterSet{3, {"a", "b", "c", "d"}},
        VoterSet{2, {"c", "b", "a", "d"}}, VoterSet{2, {"a", "b", "c"}}})
    EXPECT_FALSE(voter.on_reconfiguration(later, reconfiguration(Kind::kAccept, 1, kThree, invalid))
                     .reply.ok);
  EXPECT_FALSE(
      voter
          .on_reconfiguration(later, reconfiguration(Kind::kAccept, 1, kFour, {3, {"a", "b", "c"}}))
          .reply.ok)
      << "the voter uses another set";
  const auto decision = voter.on_reconfiguration(later, accept);
  EXPECT_TRUE(decision.reply.ok && decision.record_changed);
  EXPECT_EQ(voter.record().voters, kThree) << "an accepted set is not yet chosen";
  EXPECT_EQ(voter.record().accepted_voters, kFour);
  EXPECT_FALSE(voter.on_reconfiguration(later, accept).record_changed) << "repeated request";
}

// A driver with a newer ballot finds out which set another driver has left unfinished.
TEST_F(VoterTest, ReportsTheAcceptedSetToANewerBallot) {
  using Kind = ReconfigurationRequest::Kind;
  const Time later = now + times.duration;
  voter.on_reconfiguration(later, reconfiguration(Kind::kPrepare, 1, kThree, {}));
  voter.on_reconfiguration(later, reconfiguration(Kind::kAccept, 1, kThree, kFour));
  auto reply =
      voter.on_reconfiguration(later, reconfiguration(Kind::kPrepare, 2, kThree, {}, "d2")).reply;
  EXPECT_TRUE(reply.ok);
  EXPECT_EQ(reply.accepted_voters, kFour);
  EXPECT_EQ(reply.accepted_ballot, (Ballot{1, "d1"}));
  reply = voter.on_reconfiguration(later, reconfiguration(Kind::kAccept, 1, kThree, kTwo)).reply;
  EXPECT_FALSE(reply.ok) << "the voter has promised the newer ballot";
  EXPECT_EQ(reply.promised_ballot, (Ballot{2, "d2"}));
  EXPECT_EQ(voter.record().accepted_voters, kFour);
}

TEST_F(VoterTest, AdoptsAChosenSetAndClearsOlderBallots) {
  using Kind = ReconfigurationRequest::Kind;
  const Time later = now + times.duration;
  voter.on_reconfiguration(later, reconfiguration(Kind::kAccept, 1, kThree, kFour));
  EXPECT_TRUE(
      voter.on_reconfiguration(later, reconfiguration(Kind::kAdopt, 1, kThree, kFour)).reply.ok);
  EXPECT_EQ(voter.record().voters, kFour);
  EXPECT_TRUE(voter.record().promised_ballot.empty());
  const VoterSet five{3, {"a", "b", "c", "d", "e"}};
  EXPECT_FALSE(voter
                   .on_reconfiguration(later + milliseconds(999),
                                       reconfiguration(Kind::kAccept, 1, kFour, five))
                   .reply.ok)
      << "the set has been used for less than a lease";
  EXPECT_TRUE(
      voter.on_reconfiguration(later + seconds(1), reconfiguration(Kind::kAccept, 1, kFour, five))
          .reply.ok);
  EXPECT_FALSE(
      voter.on_reconfiguration(later, reconfiguration(Kind::kAdopt, 1, kThree, kTwo)).reply.ok)
      << "an older set is not adopted";
  // A voter that was unreachable catches up, over several versions if necessary.
  EXPECT_TRUE(
      voter.on_reconfiguration(later, reconfiguration(Kind::kAdopt, 0, kThree, {7, {"x", "y"}}))
          .reply.ok);
  EXPECT_FALSE(
      voter
          .on_reconfiguration(later + seconds(9),
                              reconfiguration(Kind::kAccept, 1, {7, {"x", "y"}}, {8, {"x"}}))
          .reply.ok)
      << "the voter is not in the set any more";
}

TEST(VoterWithoutRecordTest, ReportsTheLostRecordUntilAllVotersHaveAcceptedASet) {
  using Kind = ReconfigurationRequest::Kind;
  const LeaseTimes times;
  const Time now = seconds(100);
  Voter voter("a", times, std::nullopt, kThree, now);
  const Time later = now + times.duration;
  EXPECT_TRUE(voter.on_reconfiguration(later, reconfiguration(Kind::kPrepare, 1, kThree, {}))
                  .reply.record_lost);
  voter.on_reconfiguration(later, reconfiguration(Kind::kAccept, 1, kThree, kFour));
  Voter informed(voter);
  EXPECT_TRUE(informed.on_reconfiguration(later, reconfiguration(Kind::kAdopt, 1, kThree, kFour))
                  .reply.record_lost);
  auto accepted_by_all = reconfiguration(Kind::kAdopt, 1, kThree, kFour);
  accepted_by_all.accepted_by_all = true;
  EXPECT_FALSE(voter.on_reconfiguration(later, accepted_by_all).reply.record_lost);
}

TEST_F(VoterTest, BoundsTheNumberOfAddressesInTheRecord) {
  for (int i = 0; i < 300; ++i) voter.on_vote_request(now, lease(kX, 1, "svc" + std::to_string(i)));
  EXPECT_EQ(voter.record().grants.size(), 256u);
}

}  // namespace
}  // namespace balancer::lease
