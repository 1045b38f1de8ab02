// A read that did not get its answer is not sent again behind a later write of its client to the
// same slot: its answer would show what the write has left. Every way in which a first attempt can
// end without an answer is played, with the write ended and with the write in flight.
#include <ostream>

#include "scripted_cluster.h"

namespace balancer::node {
namespace {

constexpr std::chrono::milliseconds kQuiet{60};  // longer than a repeated read would take

// The slots are not asked for again during a test: the redirections alone say who owns them.
constexpr const char* kPool =
    "refresh_interval_ms = 60000\n"
    "[[pool.class]]\nname = \"any\"\ncommands = [\"HGET\"]\nreads = \"any\"\naim_ms = 20000\n"
    "deadline_ms = 20000\n"
    "[[pool.class]]\nname = \"hedged\"\ncommands = [\"STRLEN\"]\naim_ms = 2000\n"
    "deadline_ms = 20000\n"
    "[[pool.class]]\nname = \"reads\"\ncommands = [\"READ\"]\naim_ms = 20000\n"
    "deadline_ms = 20000\n"
    "[[pool.class]]\nname = \"writes\"\ncommands = [\"WRITE\"]\naim_ms = 20000\n"
    "deadline_ms = 20000\n";

class ReadOrderTest : public ScriptedClusterTest {
 protected:
  struct Received {
    Peer* peer;
    Words words;
  };

  void SetUp() override {
    a.on_command = [this](Peer& p, const Words& w) { at_a.push_back({&p, w}); };
    b.on_command = [this](Peer& p, const Words& w) { at_b.push_back({&p, w}); };
    start(kPool);
  }
  // Sends the read and the write of one pipeline; both arrive at node a on one connection.
  void send_pipeline(const Words& read, const Words& write) {
    user = client();
    user->send(wire(read) + wire(write));
    ASSERT_TRUE(wait([&] { return at_a.size() == 2; }));
    ASSERT_EQ(at_a[0].peer, at_a[1].peer);
    ASSERT_EQ(at_a[0].words, read);
    connection = at_a[0].peer;
  }
  // Waits for both replies and for anything that is still sent to a node.
  void collect() {
    ASSERT_TRUE(wait([&] { return user->replies.size() == 2; }));
    run_for(io, kQuiet);
  }
  std::string moved_to_b() const { return "-MOVED " + slot + " " + b.server.dial() + "\r\n"; }

  std::vector<Received> at_a, at_b;
  std::unique_ptr<RespClient> user;
  Peer* connection = nullptr;
  const std::string slot = std::to_string(cluster::slot_of("{k}"));
};

// How the first attempt of the read ends.
struct FirstAttempt {
  const char* name;
  Words read;
  std::string reply;  // %b: the address of node b
  bool breaks_connection = false;
};
void PrintTo(const FirstAttempt& first, std::ostream* out) { *out << first.name; }

const FirstAttempt kFirstAttempts[] = {
    {"TryAgainForTwoKeys", {"MGET", "{k}1", "{k}2"}, "-TRYAGAIN Multiple keys request\r\n"},
    {"TryAgain", {"EXISTS", "{k}1", "{k}2"}, "-TRYAGAIN Multiple keys request\r\n"},
    {"Moved", {"GET", "{k}1"}, "-MOVED %s %b\r\n"},
    {"Ask", {"GET", "{k}1"}, "-ASK %s %b\r\n"},
    {"AskForTwoKeys", {"MGET", "{k}1", "{k}2"}, "-ASK %s %b\r\n"},
    {"Loading", {"GET", "{k}1"}, "-LOADING the dataset is being loaded\r\n"},
    {"ClusterDown", {"GET", "{k}1"}, "-CLUSTERDOWN the cluster is down\r\n"},
    {"MasterDown", {"GET", "{k}1"}, "-MASTERDOWN the link with the primary is down\r\n"},
    {"ReadOnly", {"GET", "{k}1"}, "-READONLY this is a replica\r\n"},
    {"NoAuth", {"GET", "{k}1"}, "-NOAUTH authentication required\r\n"},
    {"UnreadableRedirection", {"GET", "{k}1"}, "-MOVED to nowhere\r\n"},
    {"Reset", {"GET", "{k}1"}, "", true},
    {"UnreadableReply", {"GET", "{k}1"}, "?\r\n", true},
};

class RepeatedReadTest : public ReadOrderTest, public ::testing::WithParamInterface<FirstAttempt> {
 protected:
  std::string reply() const {
    std::string text = GetParam().reply;
    for (const auto& [mark, value] :
         {std::pair<std::string, std::string>{"%s", slot}, {"%b", b.server.dial()}})
      if (const auto at = text.find(mark); at != std::string::npos) text.replace(at, 2, value);
    return text;
  }
  // The read was not sent again, and its client was told so; the write ran once.
  void expect_no_repeated_read() {
    EXPECT_EQ(at_a.size(), 2u) << "sent again: " << at_a.back().words[0];
    EXPECT_TRUE(at_b.empty()) << "sent again: " << at_b.back().words[0];
    EXPECT_TRUE(user->replies[0].starts_with("-TRYAGAIN busy, nothing has run"))
        << user->replies[0];
  }
};

// The replies to both arrive together, so that the write has ended when the read is decided on.
TEST_P(RepeatedReadTest, IsNotSentBehindAWriteThatHasEnded) {
  send_pipeline(GetParam().read, {"SET", "{k}1", "later"});
  connection->send(reply() + (GetParam().breaks_connection ? "" : "+OK\r\n"));
  if (GetParam().breaks_connection) connection->close();
  collect();
  expect_no_repeated_read();
  EXPECT_EQ(user->replies[1],
            GetParam().breaks_connection ? "-ERR failed, it may have run\r\n" : "+OK\r\n");
}

// The write has reached its node, whose reply to it comes later.
TEST_P(RepeatedReadTest, IsNotSentBehindAWriteInFlight) {
  if (GetParam().breaks_connection) return;  // the write ends with the connection
  send_pipeline(GetParam().read, {"SET", "{k}1", "later"});
  connection->send(reply());
  run_for(io, kQuiet);
  EXPECT_EQ(at_a.size(), 2u) << "sent again: " << at_a.back().words[0];
  EXPECT_TRUE(at_b.empty()) << "sent again: " << at_b.back().words[0];
  connection->send("+OK\r\n");
  collect();
  expect_no_repeated_read();
  EXPECT_EQ(user->replies[1], "+OK\r\n");
}

INSTANTIATE_TEST_SUITE_P(FirstAttempts, RepeatedReadTest, ::testing::ValuesIn(kFirstAttempts),
                         [](const auto& tested) { return tested.param.name; });

// A transaction that writes counts as a write, and one that only reads as a read.
TEST_F(ReadOrderTest, RepeatsNoReadingTransactionBehindAWritingOne) {
  user = client();
  user->send(wire({"MULTI"}) + wire({"GET", "{k}1"}) + wire({"EXEC"}) + wire({"MULTI"}) +
             wire({"SET", "{k}1", "later"}) + wire({"EXEC"}));
  ASSERT_TRUE(wait([&] { return at_a.size() == 6; }));
  at_a[0].peer->close();
  ASSERT_TRUE(wait([&] { return user->replies.size() == 6; }));
  run_for(io, kQuiet);
  EXPECT_EQ(at_a.size(), 6u);
  EXPECT_TRUE(user->replies[2].starts_with("-TRYAGAIN")) << user->replies[2];
  EXPECT_EQ(user->replies[5], "-ERR failed, it may have run\r\n");
}

// The keys of an MGET that are asked for one by one keep the place of the MGET: a write that came
// in the meantime is a later one.
TEST_F(ReadOrderTest, RepeatsNoSingleKeyOfAnMgetBehindALaterWrite) {
  user = client();
  user->send(wire({"MGET", "{k}1", "{k}2"}));
  ASSERT_TRUE(wait([&] { return at_a.size() == 1; }));
  at_a[0].peer->send("-TRYAGAIN Multiple keys request\r\n");
  ASSERT_TRUE(wait([&] { return at_a.size() == 3; })) << "the keys are asked for one by one";
  user->send(wire({"DEL", "{k}1"}));
  run_for(io, kQuiet);
  at_a[1].peer->send("*1\r\n$5\r\nfirst\r\n");
  ASSERT_TRUE(wait([&] { return at_a.size() == 4; }));
  EXPECT_EQ(at_a[3].words[0], "DEL");
  at_a[2].peer->close();  // the second key and the DEL are unanswered
  collect();
  EXPECT_EQ(at_a.size(), 4u) << "sent again: " << at_a.back().words[0];
  EXPECT_TRUE(user->replies[0].starts_with("-TRYAGAIN")) << user->replies[0];
  EXPECT_EQ(user->replies[1], "-ERR failed, it may have run\r\n");
}

// Both are redirected, the replies arriving one after the other. The write has provably not run,
// so the read waits for that proof and goes first.
TEST_F(ReadOrderTest, SendsReadAndWriteInOrderIfBothAreRedirected) {
  send_pipeline({"GET", "{k}1"}, {"SET", "{k}1", "later"});
  connection->send(moved_to_b());
  run_for(io, kQuiet);
  EXPECT_TRUE(at_b.empty()) << "sent before the fate of the write was known";
  connection->send(moved_to_b());
  ASSERT_TRUE(wait([&] { return at_b.size() == 2; }));
  EXPECT_EQ(at_b[0].words[0], "GET");
  EXPECT_EQ(at_b[1].words[0], "SET");
  EXPECT_EQ(at_b[0].peer, at_b[1].peer);
  at_b[0].peer->send("$5\r\nfirst\r\n+OK\r\n");
  collect();
  EXPECT_EQ(user->replies[0], "$5\r\nfirst\r\n");
  EXPECT_EQ(user->replies[1], "+OK\r\n");
}

// While a read is at the old owner, the slot's move becomes known, and a later write goes to the
// new owner and ends. The old owner then redirects the read.
TEST_F(ReadOrderTest, RepeatsNoReadBehindAWriteAtTheNewOwner) {
  user = client();
  user->send(wire({"GET", "{k}1"}));
  ASSERT_TRUE(wait([&] { return at_a.size() == 1; }));
  a.slot_owner = b.slot_owner = b.server.dial();
  auto other = client();
  other->send(wire({"GET", "{k}other"}));
  ASSERT_TRUE(wait([&] { return at_a.size() == 2; }));
  at_a[1].peer->send(moved_to_b());
  ASSERT_TRUE(wait([&] { return at_b.size() == 1; }));
  user->send(wire({"SET", "{k}1", "later"}));
  ASSERT_TRUE(wait([&] { return at_b.size() == 2; }));
  at_b[0].peer->send("$-1\r\n");
  at_b[1].peer->send("+OK\r\n");
  run_for(io, kQuiet);
  at_a[0].peer->send(moved_to_b());
  collect();
  EXPECT_EQ(at_b.size(), 2u) << "sent again: " << at_b.back().words[0];
  EXPECT_TRUE(user->replies[0].starts_with("-TRYAGAIN")) << user->replies[0];
  EXPECT_EQ(user->replies[1], "+OK\r\n");
}

// A slow read is hedged. While a later write of its client is in flight, the second attempt could
// overtake that write's answer at the new owner of the slot.
TEST_F(ReadOrderTest, SendsNoHedgedReadBehindAWriteInFlight) {
  send_pipeline({"STRLEN", "{k}1"}, {"SET", "{k}1", "later"});
  a.slot_owner = b.slot_owner = b.server.dial();
  auto other = client();
  other->send(wire({"GET", "{k}other"}));
  ASSERT_TRUE(wait([&] { return at_a.size() == 3; }));
  at_a[2].peer->send(moved_to_b());
  ASSERT_TRUE(wait([&] { return at_b.size() == 1; }));
  run_for(io, std::chrono::milliseconds(2500));  // beyond the aim of the class
  EXPECT_EQ(at_b.size(), 1u) << "sent again: " << at_b.back().words[0];
  connection->send(":5\r\n+OK\r\n");
  collect();
  EXPECT_EQ(user->replies[0], ":5\r\n");
  EXPECT_EQ(user->replies[1], "+OK\r\n");
}

// A read that a replica may serve runs on other connections than writes, so a later write waits
// until the read has ended, with all its attempts.
TEST_F(ReadOrderTest, HoldsAWriteBackBehindAReadThatAReplicaMayServe) {
  user = client();
  user->send(wire({"HGET", "{k}1", "f"}) + wire({"SET", "{k}1", "later"}));
  ASSERT_TRUE(wait([&] { return at_a.size() == 1; }));
  at_a[0].peer->close();  // the read goes out again
  ASSERT_TRUE(wait([&] { return at_a.size() == 2; }));
  EXPECT_EQ(at_a[1].words[0], "HGET");
  run_for(io, kQuiet);
  EXPECT_EQ(at_a.size(), 2u);
  at_a[1].peer->send("$5\r\nfirst\r\n");
  ASSERT_TRUE(wait([&] { return at_a.size() == 3; }));
  EXPECT_EQ(at_a[2].words[0], "SET");
  at_a[2].peer->send("+OK\r\n");
  collect();
  EXPECT_EQ(user->replies[0], "$5\r\nfirst\r\n");
  EXPECT_EQ(user->replies[1], "+OK\r\n");
}

// Reads go out again as before if no later write of their client to that slot is under way: after
// an earlier write, a write to another slot, or a write of another client.
TEST_F(ReadOrderTest, RepeatsAReadWithoutALaterWriteToItsSlot) {
  user = client();
  auto other = client();
  user->send(wire({"GET", "{k}1"}) + wire({"SET", "{another}1", "v"}));
  other->send(wire({"SET", "{k}1", "of another client"}));
  ASSERT_TRUE(wait([&] { return at_a.size() == 3; }));
  for (auto& received : std::vector(at_a)) received.peer->close();
  ASSERT_TRUE(wait([&] { return at_a.size() == 4; }));
  EXPECT_EQ(at_a[3].words[0], "GET");
  at_a[3].peer->send("$5\r\nfirst\r\n");
  collect();
  EXPECT_EQ(user->replies[0], "$5\r\nfirst\r\n");
}

}  // namespace
}  // namespace balancer::node
