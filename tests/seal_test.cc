// Tests of sealing, key rotation and replay protection, and of the codec of group datagrams.
#include "proto/seal.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <random>
#include <set>

#include "proto/group_wire.h"
#include "settings/field_error.h"

namespace balancer::group {
namespace {

using std::chrono::seconds;

Key key(unsigned char fill) {
  Key k;
  k.bytes.fill(fill);
  return k;
}

TEST(SealTest, OpensOnlyUnchangedDatagramsUnderItsKey) {
  const Time now{seconds(10)};
  const KeyRing ring({key(1)}, seconds(60)), other({key(2)}, seconds(60));
  const std::string sealed = ring.seal(now, "text");
  EXPECT_EQ(sealed.size(), 4 + kSealedOverhead);
  EXPECT_EQ(ring.open(now, sealed), "text");
  EXPECT_EQ(other.open(now, sealed), std::nullopt);
  EXPECT_NE(ring.seal(now, "text"), sealed) << "a nonce was used twice";
  for (std::size_t i = 0; i < sealed.size(); ++i) {
    std::string changed = sealed;
    changed[i] ^= 1;
    EXPECT_EQ(ring.open(now, changed), std::nullopt) << i;
    EXPECT_EQ(ring.open(now, sealed.substr(0, i)), std::nullopt) << i;
  }
  EXPECT_EQ(ring.open(now, sealed + "x"), std::nullopt);
  EXPECT_EQ(ring.open(now, ring.seal(now, "")), "");
}

// Members read the new key one after the other within the change time. At no time may a member
// reject another member's datagram.
TEST(SealTest, AcceptsEveryDatagramDuringAKeyRotation) {
  const Duration change = seconds(30);
  std::vector<KeyRing> members(5, KeyRing({key(1)}, change));
  for (int t = 0; t < 120; ++t) {
    const Time now{seconds(100 + t)};
    if (t % 6 == 0 && t / 6 < 5) members[static_cast<std::size_t>(t / 6)].reload(now, {key(2)});
    for (const auto& from : members)
      for (const auto& to : members)
        EXPECT_EQ(to.open(now, from.seal(now, "x")), "x") << "at " << t << " s";
  }
  const KeyRing old({key(1)}, change);
  const Time later{seconds(100 + 120)};
  EXPECT_EQ(members[0].open(later, old.seal(later, "x")), std::nullopt)
      << "the old key is still accepted";
}

// A member that never reads the new key can communicate with the others until the old key expires.
TEST(SealTest, RejectsMembersWithoutTheNewKeyOnlyAfterTheChangeTime) {
  KeyRing updated({key(1)}, seconds(30)), outdated({key(1)}, seconds(30));
  const Time at{seconds(100)};
  updated.reload(at, {key(2)});
  EXPECT_TRUE(outdated.open(at + seconds(29), updated.seal(at + seconds(29), "x")));
  EXPECT_FALSE(outdated.open(at + seconds(31), updated.seal(at + seconds(31), "x")));
  EXPECT_TRUE(updated.open(at + seconds(59), outdated.seal(at, "x")));
  EXPECT_FALSE(updated.open(at + seconds(61), outdated.seal(at, "x")));
}

TEST(SealTest, ReadsKeyFilesAndReportsTheLineOfAnError) {
  char name[] = "/tmp/balancer-keys-XXXXXX";
  ::close(::mkstemp(name));
  const auto result = [&](const std::string& text) {
    std::ofstream(name, std::ios::trunc) << text;
    try {
      return std::to_string(read_keys(name).size());
    } catch (const FileError& e) {
      return std::string(e.what()).substr(sizeof name - 1);
    }
  };
  const std::string good(64, 'a');
  EXPECT_EQ(result("# comment\n" + good + "\r\n\n" + std::string(64, '0') + "\n"), "2");
  EXPECT_EQ(result(""), ": contains no keys");
  EXPECT_EQ(result(good + "\n" + good + "b\n"), ":2: expected a key of 64 hexadecimal digits");
  EXPECT_EQ(result(std::string(62, 'a')), ":1: expected a key of 64 hexadecimal digits");
  EXPECT_EQ(result(std::string(64, 'x')), ":1: expected a key of 64 hexadecimal digits");
  std::string many;
  for (int i = 0; i < 9; ++i) many += good + "\n";
  EXPECT_EQ(result(many), ":9: too many keys, at most 8 are allowed");
  std::remove(name);
  EXPECT_THROW(read_keys(name), FileError);
}

TEST(ReplayGuardTest, AcceptsEachSequenceNumberOnceWithinTheWindow) {
  ReplayGuard guard;
  EXPECT_TRUE(guard.accept("a", 1, 1000));
  EXPECT_FALSE(guard.accept("a", 1, 1000));
  EXPECT_TRUE(guard.accept("a", 1, 1001));
  EXPECT_TRUE(guard.accept("a", 1, 999));
  EXPECT_FALSE(guard.accept("a", 1, 999));
  EXPECT_TRUE(guard.accept("a", 1, 874));
  EXPECT_FALSE(guard.accept("a", 1, 873)) << "older than the window";
  EXPECT_TRUE(guard.accept("b", 1, 1000)) << "another sender";
  EXPECT_FALSE(guard.accept("a", 0, 5000)) << "an earlier incarnation";
  EXPECT_TRUE(guard.accept("a", 2, 1));
  EXPECT_FALSE(guard.accept("a", 1, 1002));
}

TEST(ReplayGuardTest, MatchesAReferenceModelForRandomSequences) {
  for (unsigned seed = 1; seed <= 50; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    ReplayGuard guard;
    std::set<std::uint64_t> seen;
    std::uint64_t newest = 500;
    ASSERT_TRUE(guard.accept("a", 1, newest));
    seen.insert(newest);
    for (int i = 0; i < 3000; ++i) {
      const std::uint64_t n = random() % 3 == 0 ? newest + random() % 150
                                                : newest - std::min(newest - 1, random() % 140);
      const bool is_new = (n > newest || newest - n < 128) && seen.count(n) == 0;
      ASSERT_EQ(guard.accept("a", 1, n), is_new) << n << " after " << newest;
      seen.insert(n);
      newest = std::max(newest, n);
    }
  }
}

// Members of a group are replaced over time. Former members must not keep new members out, and
// active members must not be evicted in their place.
TEST(ReplayGuardTest, EvictsTheSenderThatWasSilentForLongest) {
  ReplayGuard guard(3);
  EXPECT_TRUE(guard.accept("a", 1, 1));
  EXPECT_TRUE(guard.accept("b", 1, 1));
  EXPECT_TRUE(guard.accept("c", 1, 1));
  EXPECT_TRUE(guard.accept("a", 1, 2)) << "b has been silent for longest now";
  EXPECT_FALSE(guard.accept("b", 1, 1)) << "a replay must not count as activity";
  EXPECT_TRUE(guard.accept("d", 1, 1));
  EXPECT_FALSE(guard.accept("a", 1, 2));
  EXPECT_FALSE(guard.accept("c", 1, 1));
  EXPECT_FALSE(guard.accept("d", 1, 1));
  EXPECT_TRUE(guard.accept("b", 1, 1)) << "evicted, so accepted like an unknown sender";
}

TEST(ReplayGuardTest, RemembersEveryMemberOfTheLargestGroup) {
  ReplayGuard guard;
  for (const std::uint64_t sequence : {1, 2})
    for (int member = 0; member < membership::kMaxMembers; ++member)
      ASSERT_TRUE(guard.accept("n" + std::to_string(member), 1, sequence)) << member;
  for (int member = 0; member < membership::kMaxMembers; ++member)
    ASSERT_FALSE(guard.accept("n" + std::to_string(member), 1, 2)) << member;
}

// ---- datagrams

std::vector<Datagram> samples() {
  std::vector<Datagram> all;
  const auto add = [&all](auto body) {
    all.push_back({"n1", 77, all.size() + 1, "n2", std::move(body)});
  };
  add(membership::GossipMessage{
      membership::GossipMessage::Kind::kPingRequest,
      9,
      "n3",
      {{"n1", "127.0.0.1:1", 5, 2, membership::MemberState::kSuspect, std::string("\0\x01", 2)}}});
  lease::VoteRequest request;
  request.kind = lease::VoteRequest::Kind::kRelease;
  request.address = "svc";
  request.term = 7;
  request.holder = {"n1", 3};
  request.number = 12;
  request.voter_set_version = 1;
  request.successor = "n2";
  add(request);
  lease::VoteReply reply;
  reply.verdict = lease::VoteReply::Verdict::kHeld;
  reply.address = "svc";
  reply.number = 12;
  reply.term = 7;
  reply.holder = {"n3", 4};
  reply.remaining = std::chrono::milliseconds(250);
  reply.voters = {2, {"n1", "n2", "n3"}};
  add(reply);
  add(lease::TransferMessage{lease::TransferMessage::Kind::kAnnounces, "svc", 8});
  add(lease::ReconfigurationRequest{lease::ReconfigurationRequest::Kind::kAccept,
                                    3,
                                    {7, "n1"},
                                    {1, {"a", "b", "c"}},
                                    {2, {"a", "b"}},
                                    true});
  add(lease::ReconfigurationReply{lease::ReconfigurationRequest::Kind::kAccept,
                                  3,
                                  true,
                                  true,
                                  {1, {"a", "b", "c"}},
                                  {8, "n2"},
                                  {7, "n1"},
                                  {2, {"a", "b"}},
                                  "a reason"});
  return all;
}

TEST(GroupWireTest, RoundTripsEveryType) {
  for (const Datagram& d : samples()) {
    const auto read = decode(encode(d));
    ASSERT_TRUE(read);
    EXPECT_EQ(encode(*read), encode(d));
    EXPECT_EQ(read->body.index(), d.body.index());
    EXPECT_EQ(read->sender, "n1");
  }
  const auto reply = decode(encode(samples()[2]));
  const auto& r = std::get<lease::VoteReply>(reply->body);
  EXPECT_EQ(r.remaining, std::chrono::milliseconds(250));
  EXPECT_EQ(r.voters.names.size(), 3u);
  EXPECT_EQ(r.holder, (lease::InstanceId{"n3", 4}));
  const MemberMeta meta{true, false, 3, {{"svc", 7}}};
  const auto m = decode_meta(encode(meta));
  ASSERT_TRUE(m);
  EXPECT_EQ(m->held_terms, meta.held_terms);
  EXPECT_TRUE(m->eligible);
  lease::VoterRecord record{{2, {"a", "b"}}, {{"svc", {5, {"n1", 9}}}}};
  EXPECT_EQ(decode_record(encode(record)), record);
  record.promised_ballot = {9, "n2"};
  record.accepted_ballot = {7, "n1"};
  record.accepted_voters = {3, {"a"}};
  record.record_lost = true;
  EXPECT_EQ(decode_record(encode(record)), record);
}

TEST(GroupWireTest, RejectsMalformedInput) {
  EXPECT_FALSE(decode(""));
  EXPECT_FALSE(decode("nonsense"));
  auto is_rejected = [](auto&& change) {
    Datagram d = samples()[1];
    change(d, std::get<lease::VoteRequest>(d.body));
    return !decode(encode(d)).has_value();
  };
  EXPECT_FALSE(is_rejected([](auto&, auto&) {}));
  EXPECT_TRUE(is_rejected([](auto& d, auto&) { d.sender.clear(); }));
  EXPECT_TRUE(is_rejected([](auto& d, auto&) { d.sender = "a\nb"; }));
  EXPECT_TRUE(is_rejected([](auto& d, auto&) { d.sequence = 0; }));
  EXPECT_TRUE(is_rejected([](auto&, auto& a) { a.address.clear(); }));
  EXPECT_TRUE(is_rejected([](auto&, auto& a) { a.address = std::string(65, 'x'); }));
  EXPECT_TRUE(
      is_rejected([](auto&, auto& a) { a.kind = static_cast<lease::VoteRequest::Kind>(9); }));
  EXPECT_TRUE(is_rejected([](auto&, auto& a) { a.successor = "\x7f"; }));
  Datagram unsorted = samples()[5];
  std::get<lease::ReconfigurationReply>(unsorted.body).voters.names = {"b", "a"};
  EXPECT_FALSE(decode(encode(unsorted)));
  EXPECT_FALSE(decode_record("x"));
  EXPECT_FALSE(decode_record(encode(lease::VoterRecord{})));
}

}  // namespace
}  // namespace balancer::group
