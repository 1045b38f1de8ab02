// Reading of files and messages of the previous version (revision 272e1b7). The bytes are in
// tests/data/previous_version; tests/data/README.md describes how they were produced.
#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "group_runtime/voter_storage.h"
#include "hot_restart/override_store.h"
#include "proto/group_wire.h"
#include "proto/hot_restart_wire.h"
#include "proto/seal.h"
#include "store/store.h"

namespace balancer {
namespace {

using namespace std::chrono_literals;

const std::string kFolder = BALANCER_TEST_DATA "/previous_version/";
const lease::VoterSet kVoters{7, {"a/0", "b/0", "c/0"}};
const lease::VoterSet kNextVoters{8, {"a/0", "b/0", "c/0", "d/0"}};
const lease::InstanceId kHolder{"a/0", 1764750000001};

std::string read_file(const std::string& name) {
  std::ifstream in(kFolder + name, std::ios::binary);
  EXPECT_TRUE(in) << name;
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

class PreviousVersionStorageTest : public ::testing::Test {
 protected:
  void SetUp() override {
    char made[] = "/tmp/balancer-previous-XXXXXX";
    ASSERT_NE(::mkdtemp(made), nullptr);
    folder_ = made;
  }
  void TearDown() override { std::filesystem::remove_all(folder_); }

  void copy(const std::string& name) {
    std::filesystem::copy(kFolder + name, folder_,
                          std::filesystem::copy_options::overwrite_existing);
  }
  void expect_voter_record() {
    std::vector<std::string> log;
    group_runtime::VoterStorage storage(folder_, 1s,
                                        [&](const std::string& line) { log.push_back(line); });
    ASSERT_TRUE(storage.open(Time{0}));
    // One more than the incarnation of the last start, which is later than any current time.
    EXPECT_EQ(storage.incarnation(), 4102444800125u);
    ASSERT_TRUE(storage.remembered());
    const lease::VoterRecord& record = *storage.remembered();
    EXPECT_EQ(record.voters, kVoters);
    ASSERT_EQ(record.grants.size(), 2u);
    EXPECT_EQ(record.grants.at("192.0.2.10"), (lease::VoterRecord::Grant{41, kHolder}));
    EXPECT_EQ(record.grants.at("2001:db8::10"),
              (lease::VoterRecord::Grant{3, {"b/0", 1764750000002}}));
    EXPECT_EQ(record.promised_ballot, (lease::Ballot{9, "b/0"}));
    EXPECT_EQ(record.accepted_ballot, (lease::Ballot{8, "a/0"}));
    EXPECT_EQ(record.accepted_voters, kNextVoters);
    EXPECT_TRUE(record.record_lost);
    EXPECT_TRUE(log.empty()) << log.front();
  }

  std::string folder_;
};

TEST_F(PreviousVersionStorageTest, ReadsVoterRecord) {
  copy("group.db");
  expect_voter_record();
}

TEST_F(PreviousVersionStorageTest, ReadsVoterRecordOfAKilledProcessFromItsWriteAheadLog) {
  copy("killed/group.db");
  copy("killed/group.db-wal");
  expect_voter_record();
}

TEST_F(PreviousVersionStorageTest, OpensTheStoreWithItsContents) {
  copy("group.db");
  store::Store store(folder_, "group");
  EXPECT_FALSE(store.is_new());
  EXPECT_EQ(store.moved_aside_to(), "");
  EXPECT_EQ(store.get("life"), "4102444800124");
  EXPECT_TRUE(store.get("voter"));
}

TEST_F(PreviousVersionStorageTest, ReadsOperatorOverrides) {
  copy("silverpin-127%2e0%2e0%2e1%3a11211.words");
  const auto read = hot_restart::OverrideStore::read(folder_, "127.0.0.1:11211");
  ASSERT_TRUE(read);
  ASSERT_EQ(read->size(), 300u);
  for (int i = 0; i < 300; ++i)
    EXPECT_EQ((*read)[static_cast<std::size_t>(i)],
              (hot_restart::OperatorOverride{"host-" + std::to_string(i), i % 3 == 0,
                                             std::chrono::seconds(1000 + i)}));
}

// Up to version 0.7.0 the file was a single message.
TEST_F(PreviousVersionStorageTest, ReadsOperatorOverridesOfASingleMessage) {
  std::filesystem::copy_file(kFolder + "operator-overrides-one-message",
                             folder_ + "/silverpin-n.words");
  const auto read = hot_restart::OverrideStore::read(folder_, "n");
  ASSERT_TRUE(read);
  EXPECT_EQ((*read), (std::vector<hot_restart::OperatorOverride>{{"s-1", true, 90s},
                                                                 {"s-2", false, 1500ms}}));
}

// ---- datagrams of a group

// Decrypts the datagram and checks its envelope. Returns the body, or nullopt if it is not a T.
template <class T>
std::optional<T> open_datagram(const std::string& name, std::uint64_t sequence,
                               const std::string& to = "b/0") {
  group::Key key;
  for (std::size_t i = 0; i < key.bytes.size(); ++i) key.bytes[i] = static_cast<unsigned char>(i);
  const auto plain = group::KeyRing({key}, 60s).open(Time{0}, read_file("datagram-" + name));
  if (!plain) return std::nullopt;
  const auto datagram = group::decode(*plain);
  if (!datagram) return std::nullopt;
  EXPECT_EQ(datagram->sender, "a/0");
  EXPECT_EQ(datagram->incarnation, 1764750000001u);
  EXPECT_EQ(datagram->sequence, sequence);
  EXPECT_EQ(datagram->to, to);
  EXPECT_EQ(encode(*datagram), *plain) << "this version encodes the message differently";
  const T* const body = std::get_if<T>(&datagram->body);
  return body ? std::optional<T>(*body) : std::nullopt;
}

TEST(PreviousVersionDatagramTest, ReadsGossipWithUpdates) {
  using membership::MemberState;
  const auto gossip = open_datagram<membership::GossipMessage>("gossip", 1, "");
  ASSERT_TRUE(gossip);
  EXPECT_EQ(static_cast<int>(gossip->kind), 2);
  EXPECT_EQ(gossip->number, 77u);
  EXPECT_EQ(gossip->target, "c/0");
  ASSERT_EQ(gossip->updates.size(), 4u);
  const std::string endpoints[] = {"127.0.0.1:7946", "127.0.0.2:7946", "[::1]:7946",
                                   "127.0.0.4:7946"};
  const MemberState states[] = {MemberState::kAlive, MemberState::kSuspect, MemberState::kDead,
                                MemberState::kLeft};
  for (std::size_t i = 0; i < 4; ++i) {
    const membership::MemberUpdate& update = gossip->updates[i];
    EXPECT_EQ(update.name, std::string(1, static_cast<char>('a' + i)) + "/0");
    EXPECT_EQ(update.endpoint, endpoints[i]);
    EXPECT_EQ(update.incarnation, 1764750000001u + i);
    EXPECT_EQ(update.sequence, 5 + i);
    EXPECT_EQ(update.state, states[i]);
    EXPECT_EQ(update.meta, i == 0 ? read_file("member-meta") : "");
  }
}

TEST(PreviousVersionDatagramTest, ReadsEveryKindOfGossip) {
  const int kinds[] = {0, 1, 3, 4};  // a ping, its acknowledgement, a join, updates alone
  for (std::size_t i = 0; i < 4; ++i) {
    const auto gossip =
        open_datagram<membership::GossipMessage>("gossip-" + std::to_string(i), 2 + i);
    ASSERT_TRUE(gossip) << i;
    EXPECT_EQ(static_cast<int>(gossip->kind), kinds[i]);
    EXPECT_EQ(gossip->number, 100 + i);
    EXPECT_EQ(gossip->target, "");
    EXPECT_TRUE(gossip->updates.empty());
  }
}

TEST(PreviousVersionDatagramTest, ReadsMemberMetadata) {
  const std::string bytes = read_file("member-meta");
  const auto meta = group::decode_meta(bytes);
  ASSERT_TRUE(meta);
  EXPECT_TRUE(meta->eligible);
  EXPECT_TRUE(meta->is_voter);
  EXPECT_EQ(meta->voter_set_version, 7u);
  EXPECT_EQ(meta->held_terms,
            (std::map<std::string, lease::Term>{{"192.0.2.10", 41}, {"2001:db8::10", 3}}));
  EXPECT_EQ(encode(*meta), bytes);
}

TEST(PreviousVersionDatagramTest, ReadsVoteRequests) {
  for (std::size_t kind = 0; kind < 3; ++kind) {
    const auto request =
        open_datagram<lease::VoteRequest>("vote-request-" + std::to_string(kind), 6 + kind);
    ASSERT_TRUE(request) << kind;
    EXPECT_EQ(static_cast<std::size_t>(request->kind), kind);
    EXPECT_EQ(request->address, "192.0.2.10");
    EXPECT_EQ(request->term, 41u);
    EXPECT_EQ(request->holder, kHolder);
    EXPECT_EQ(request->number, 1234u);
    EXPECT_EQ(request->voter_set_version, 7u);
    EXPECT_EQ(request->successor, kind == 2 ? "c/0" : "");
  }
}

TEST(PreviousVersionDatagramTest, ReadsVoteReplies) {
  for (std::size_t verdict = 0; verdict < 6; ++verdict) {
    const auto reply =
        open_datagram<lease::VoteReply>("vote-reply-" + std::to_string(verdict), 9 + verdict);
    ASSERT_TRUE(reply) << verdict;
    EXPECT_EQ(static_cast<std::size_t>(reply->verdict), verdict);
    EXPECT_EQ(reply->address, "192.0.2.10");
    EXPECT_EQ(reply->number, 1234u);
    EXPECT_EQ(reply->term, 41u);
    EXPECT_EQ(reply->holder, kHolder);
    EXPECT_EQ(reply->remaining, 350ms);
    EXPECT_EQ(reply->voters, kVoters);
  }
}

TEST(PreviousVersionDatagramTest, ReadsTransferMessages) {
  for (std::size_t kind = 0; kind < 2; ++kind) {
    const auto transfer =
        open_datagram<lease::TransferMessage>("transfer-" + std::to_string(kind), 15 + kind);
    ASSERT_TRUE(transfer) << kind;
    EXPECT_EQ(static_cast<std::size_t>(transfer->kind), kind);
    EXPECT_EQ(transfer->address, "192.0.2.10");
    EXPECT_EQ(transfer->term, 42u);
  }
}

TEST(PreviousVersionDatagramTest, ReadsReconfigurationRequests) {
  for (std::size_t kind = 0; kind < 3; ++kind) {
    const auto change = open_datagram<lease::ReconfigurationRequest>(
        "voter-change-" + std::to_string(kind), 17 + kind);
    ASSERT_TRUE(change) << kind;
    EXPECT_EQ(static_cast<std::size_t>(change->kind), kind);
    EXPECT_EQ(change->number, 55u);
    EXPECT_EQ(change->ballot, (lease::Ballot{9, "b/0"}));
    EXPECT_EQ(change->current, kVoters);
    EXPECT_EQ(change->next, kind == 0 ? lease::VoterSet{} : kNextVoters);
    EXPECT_EQ(change->accepted_by_all, kind == 2);
  }
}

TEST(PreviousVersionDatagramTest, ReadsReconfigurationReplies) {
  for (std::size_t kind = 0; kind < 3; ++kind) {
    const auto answer = open_datagram<lease::ReconfigurationReply>(
        "voter-changed-" + std::to_string(kind), 20 + kind);
    ASSERT_TRUE(answer) << kind;
    EXPECT_EQ(static_cast<std::size_t>(answer->kind), kind);
    EXPECT_EQ(answer->number, 55u);
    EXPECT_EQ(answer->ok, kind != 1);
    EXPECT_EQ(answer->record_lost, kind == 0);
    EXPECT_EQ(answer->voters, kVoters);
    EXPECT_EQ(answer->promised_ballot, (lease::Ballot{9, "b/0"}));
    EXPECT_EQ(answer->accepted_ballot, (lease::Ballot{8, "a/0"}));
    EXPECT_EQ(answer->accepted_voters, kNextVoters);
    EXPECT_EQ(answer->rejection_reason, kind == 1 ? "a newer ballot" : "");
  }
}

// ---- hot restart

// Expects that the stored bytes decode to `expected`, and that it is encoded as the same bytes.
template <class T>
void expect_message(const std::string& name, const T& expected) {
  const std::string bytes = read_file("hot-restart-" + name);
  const auto message = hot_restart::decode(bytes);
  ASSERT_TRUE(message) << name;
  ASSERT_TRUE(std::holds_alternative<T>(*message)) << name;
  EXPECT_TRUE(std::get<T>(*message) == expected) << name;
  EXPECT_EQ(hot_restart::encode(expected), bytes) << name;
}

TEST(PreviousVersionHotRestartTest, ReadsMessages) {
  using hot_restart::OperatorOverride;
  expect_message("hello", hot_restart::Hello{1, "127.0.0.1:11211"});
  expect_message("busy", hot_restart::Busy{});
  expect_message("serving", hot_restart::Serving{});
  expect_message("override-out", OperatorOverride{"s-1", true, 90s});
  expect_message("override-in", OperatorOverride{"s-2", false, 1500ms});
  expect_message("away", hot_restart::ClientDrain{true});
  expect_message("back", hot_restart::ClientDrain{false});
  expect_message("held", hot_restart::ResourceShare{200, 30u << 20});
  expect_message("connection", hot_restart::PassedConnection{"127.0.0.1:11211", "mg half\r", 17});
}

TEST(PreviousVersionHotRestartTest, ReadsSnapshot) {
  const std::string bytes = read_file("hot-restart-snapshot");
  const auto message = hot_restart::decode(bytes);
  ASSERT_TRUE(message);
  ASSERT_TRUE(std::holds_alternative<hot_restart::Snapshot>(*message));
  const auto& snapshot = std::get<hot_restart::Snapshot>(*message);
  EXPECT_EQ(snapshot.version, 1u);
  EXPECT_FALSE(snapshot.has_more);
  ASSERT_EQ(snapshot.hosts.size(), 3u);
  const auto& first = snapshot.hosts[0];
  EXPECT_EQ(first.id, "s-1");
  EXPECT_EQ(first.address, std::string("\x7f\0\0\1", 4));
  EXPECT_EQ(first.port, 11311);
  EXPECT_EQ(first.started_at, UnixTime(1764750000123456789ns));
  EXPECT_EQ(first.time_since_start, 3661s);
  EXPECT_FALSE(first.is_origin);
  EXPECT_EQ(first.zone, 2);
  EXPECT_EQ(first.cell, 5);
  EXPECT_EQ(first.state, 0);
  EXPECT_EQ(first.weight, 1.5);
  EXPECT_EQ(first.load_factor, 0.25);
  const auto& second = snapshot.hosts[1];
  EXPECT_EQ(second.id, "s-2");
  EXPECT_EQ(second.address, std::string("\x20\x01\x0d\xb8\0\0\0\0\0\0\0\0\0\0\0\1", 16));
  EXPECT_EQ(second.port, 11312);
  EXPECT_EQ(second.started_at, UnixTime(1764750007000000000ns));
  EXPECT_EQ(second.time_since_start, std::nullopt);
  EXPECT_FALSE(second.is_origin);
  EXPECT_EQ(second.zone, 3);
  EXPECT_EQ(second.cell, 6);
  EXPECT_EQ(second.state, 1);
  EXPECT_EQ(second.weight, 1.0);
  EXPECT_EQ(second.load_factor, 1.0);
  const auto& origin = snapshot.hosts[2];
  EXPECT_EQ(origin.id, "origin");
  EXPECT_EQ(origin.address, "");
  EXPECT_EQ(origin.port, 8080);
  EXPECT_EQ(origin.started_at, std::nullopt);
  EXPECT_EQ(origin.time_since_start, std::nullopt);
  EXPECT_TRUE(origin.is_origin);
  EXPECT_EQ(origin.zone, 0);
  EXPECT_EQ(origin.cell, 0);
  EXPECT_EQ(origin.state, 2);
  EXPECT_EQ(origin.weight, 2.0);
  EXPECT_EQ(origin.load_factor, 0.0);
  EXPECT_EQ(snapshot.overrides, (std::vector<hot_restart::OperatorOverride>{
                                    {"s-1", true, 90s}, {"s-2", false, 1500ms}}));
  EXPECT_EQ(snapshot.list_sequence, 4711u);
  EXPECT_TRUE(snapshot.has_list);
  EXPECT_TRUE(snapshot.client_drain);
  EXPECT_EQ(snapshot.resources_held, (hot_restart::ResourceShare{200, 30u << 20}));
  EXPECT_EQ(snapshot.work_rate, 12.5);
  EXPECT_EQ(snapshot.origin_admit_fraction, 0.375);
  EXPECT_EQ(snapshot.caches_admit_fraction, 0.5);
  EXPECT_EQ(snapshot.listeners, (std::vector<std::string>{"127.0.0.1:11211", "[::1]:11211"}));
  EXPECT_EQ(hot_restart::encode(snapshot), bytes);
}

}  // namespace
}  // namespace balancer
