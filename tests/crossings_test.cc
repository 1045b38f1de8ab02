// Two events that meet, each pair in the order that hurts; docs/design/crossings.md names them.
#include <algorithm>
#include <set>
#include <thread>

#include "dispatch_harness.h"

namespace balancer::node {
namespace {

using std::chrono::milliseconds;

// ---- a client leaves while its request waits

class LeavingClientTest : public DispatchTest, public ::testing::WithParamInterface<bool> {
 protected:
  ScriptedCache cache{io};
  ScriptedOrigin origin{io};
};
INSTANTIATE_TEST_SUITE_P(ByFinAndReset, LeavingClientTest, ::testing::Bool());

TEST_P(LeavingClientTest, BehindAConnectionThatComesUp) {
  begin();
  list({listed("h", cache.server.local())});
  cache.server.hold();
  auto c = client(), other = client();
  c->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return limits->upstreams.used() == 1; }));
  const std::size_t bytes = limits->bytes.used();
  ASSERT_TRUE(gone(c, GetParam()));
  ASSERT_TRUE(wait([&] { return pool->open_requests() == 0; }));
  EXPECT_LE(limits->bytes.used(), bytes);
  other->send(get("k", "2"));
  cache.server.let();
  ASSERT_TRUE(wait([&] { return cache.saw("2"); }));
  EXPECT_EQ(cache.ids, std::vector<std::string>{"2"});
  cache.answer("2", "v");
  ASSERT_TRUE(wait([&] { return other->in == FakeCache::value("2", "v"); }));
}

// The connection is up before the leaving can be read: both come in one turn of the loop.
TEST_P(LeavingClientTest, InTheTurnInWhichTheConnectionComesUp) {
  begin();
  list({listed("h", cache.server.local())});
  auto c = client(), other = client();
  c->send(get("k", "1"));
  while (limits->upstreams.used() == 0) io.run_one();
  if (GetParam()) c->socket.set_option(asio::socket_base::linger(true, 0));
  c->close();
  ASSERT_TRUE(wait([&] { return limits->clients.used() == 1 && pool->open_requests() == 0; }));
  other->send(get("k", "2"));
  ASSERT_TRUE(wait([&] { return cache.saw("2"); }));
  // It went out with the connection or not at all, and never behind the leaving.
  EXPECT_LE(std::count(cache.ids.begin(), cache.ids.end(), "1"), 1);
  EXPECT_EQ(cache.ids.back(), "2");
}

TEST_P(LeavingClientTest, BehindAnotherForAPlace) {
  site.max_connections = 1;
  begin();
  list({listed("h", cache.server.local())});
  auto first = client(), c = client(), last = client();
  first->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return cache.saw("1"); }));
  c->send(get("k", "2"));
  ASSERT_TRUE(wait([&] { return pool->open_requests() == 2; }));
  last->send(get("k", "3"));
  ASSERT_TRUE(wait([&] { return pool->open_requests() == 3; }));
  ASSERT_TRUE(gone(c, GetParam()));
  cache.answer("1", "v");
  ASSERT_TRUE(wait([&] { return cache.saw("3"); }));
  EXPECT_EQ(cache.ids, (std::vector<std::string>{"1", "3"}));
}

// Written whole behind another: it stays as it is, and what comes for it spoils nobody's answer.
TEST_P(LeavingClientTest, BehindAnotherOnItsConnection) {
  site.max_connections = 1;
  site.streams_per_connection = 8;
  site.slow_after = std::chrono::hours(1);  // also on a slow machine the first is not overdue
  begin();
  list({listed("h", cache.server.local())});
  auto first = client(), c = client(), last = client();
  first->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return cache.saw("1"); }));
  c->send(get("k", "2"));
  ASSERT_TRUE(wait([&] { return cache.saw("2"); }));
  last->send(get("k", "3"));
  ASSERT_TRUE(wait([&] { return cache.saw("3"); }));
  ASSERT_TRUE(gone(c, GetParam()));
  for (const char* id : {"1", "2", "3"}) cache.answer(id, std::string("v") + id);
  ASSERT_TRUE(wait([&] { return first->in == FakeCache::value("1", "v1"); }));
  ASSERT_TRUE(wait([&] { return last->in == FakeCache::value("3", "v3"); }));
  EXPECT_EQ(cache.ids.size(), 3u);
}

TEST_P(LeavingClientTest, BehindAnothersFetch) {
  cache.on_command = [&](Peer&, const std::string& id) { cache.miss(id); };
  begin();
  list({listed("h", cache.server.local()), listed("o", origin.server.local(), true)});
  auto leader = client(), c = client();
  leader->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return origin.saw("1"); }));
  c->send(get("k", "2"));
  ASSERT_TRUE(wait([&] { return cache.saw("2"); }));
  ASSERT_TRUE(wait([&] { return pool->open_requests() == 2; }));
  ASSERT_TRUE(gone(c, GetParam()));
  origin.answer("1", "v");
  ASSERT_TRUE(wait([&] { return leader->in == FakeCache::value("1", "v"); }));
  leader->send(get("other", "3"));  // what the answer set off has gone out before this
  ASSERT_TRUE(wait([&] { return cache.saw("3"); }));
  EXPECT_EQ(cache.ids, (std::vector<std::string>{"1", "2", "3"}));
  EXPECT_FALSE(origin.saw("2"));
}

// The fetch that others wait for has not gone out: it is taken back at once, and one of them leads.
TEST_P(LeavingClientTest, AsTheLeaderOfAFetchThatWaits) {
  cache.on_command = [&](Peer&, const std::string& id) { cache.miss(id); };
  begin();
  list({listed("h", cache.server.local()), listed("o", origin.server.local(), true)});
  origin.server.hold();
  auto c = client(), follower = client();
  c->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return limits->upstreams.used() == 2; }));
  follower->send(get("k", "2"));
  ASSERT_TRUE(wait([&] { return cache.saw("2") && pool->open_requests() == 2; }));
  ASSERT_TRUE(gone(c, GetParam()));
  origin.server.let();
  ASSERT_TRUE(wait([&] { return origin.saw("2"); }));
  EXPECT_EQ(origin.ids, std::vector<std::string>{"2"});
  origin.answer("2", "v");
  ASSERT_TRUE(wait([&] { return follower->in == FakeCache::value("2", "v"); }));
}

TEST_P(LeavingClientTest, DuringABackOff) {
  begin();
  list({listed("o", origin.server.local(), true)});
  auto c = client();
  origin.on_request = [&](Peer&, const std::string& id) {
    origin.never_ran(id);
    if (id == "1") c->close();
  };
  if (GetParam()) c->socket.set_option(asio::socket_base::linger(true, 0));
  c->send(put("k", "1"));
  ASSERT_TRUE(wait([&] { return limits->clients.used() == 0 && pool->open_requests() == 0; }));
  // Another one's third try comes later than the first one's second could.
  auto other = client();
  other->send(put("k", "2"));
  ASSERT_TRUE(wait([&] { return std::count(origin.ids.begin(), origin.ids.end(), "2") == 3; }));
  EXPECT_EQ(std::count(origin.ids.begin(), origin.ids.end(), "1"), 1);
}

// A write that a slow peer has a part of: its last byte must not follow. The peer sees the end.
TEST_P(LeavingClientTest, PartlyWrittenToAPeerThatDoesNotRead) {
  ScriptedOrigin slow(io, 4096);
  slow.server.reads = false;
  begin();
  list({listed("o", slow.server.local(), true)});
  auto c = client();
  constexpr std::size_t kLong = 4u << 20;
  bool written = false;
  const std::string text = put("k", "1", kLong);
  asio::async_write(c->socket, asio::buffer(text), [&](auto e, auto) { written = !e; });
  ASSERT_TRUE(wait([&] { return written && slow.server.peers.size() == 1; }));
  ASSERT_TRUE(wait([&] { return pool->open_requests() == 1; }));
  ASSERT_TRUE(gone(c, GetParam()));
  Peer& p = *slow.server.peers.at(0);
  p.read();
  ASSERT_TRUE(wait([&] { return p.closed; }));
  EXPECT_LT(p.in.size(), kLong);
  EXPECT_TRUE(slow.ids.empty());
  EXPECT_EQ(limits->bytes.used(), 0u);
}

// Not begun, behind a standstill: held back, and never let go.
TEST_P(LeavingClientTest, HeldBackBehindAStandstill) {
  begin();
  list({listed("h", cache.server.local())});
  bool asked = false;
  pool->enable_stall_guard([&] { asked = true; }, [](const std::string&) {});
  auto c = client(), other = client();
  ASSERT_TRUE(wait([&] { return limits->clients.used() == 2; }));
  c->send(get("k", "1"));
  std::this_thread::sleep_for(milliseconds(1100));  // this process stands still
  ASSERT_TRUE(wait([&] { return asked && pool->open_requests() == 1; }));
  ASSERT_TRUE(gone(c, GetParam()));
  pool->on_discovery_answer(Duration{0});
  other->send(get("k", "2"));
  ASSERT_TRUE(wait([&] { return cache.saw("2"); }));
  EXPECT_EQ(cache.ids, std::vector<std::string>{"2"});
}

// Where nothing is read from a client, its leaving is heard all the same.
enum class Unread { kFullPipeline, kBehindAFault, kShortOfMemory };
class UnreadClientTest : public DispatchTest,
                         public ::testing::WithParamInterface<std::tuple<Unread, bool>> {
 protected:
  ScriptedCache cache{io};
};
INSTANTIATE_TEST_SUITE_P(Kinds, UnreadClientTest,
                         ::testing::Combine(::testing::Values(Unread::kFullPipeline,
                                                              Unread::kBehindAFault,
                                                              Unread::kShortOfMemory),
                                            ::testing::Bool()));

TEST_P(UnreadClientTest, IsHeardToLeave) {
  const auto [unread, by_reset] = GetParam();
  site.max_connections = 1;
  begin();
  list({listed("h", cache.server.local())});
  auto first = client();
  first->send(get("k", "first"));
  ASSERT_TRUE(wait([&] { return cache.saw("first"); }));
  auto c = client();
  std::string text;
  const int commands = unread == Unread::kFullPipeline ? 600 : 2;
  for (int i = 0; i < commands; ++i) text += get("k", "c" + std::to_string(i));
  if (unread == Unread::kBehindAFault) text += "frob\r\n" + get("k", "behind");
  c->send(text);
  const std::size_t taken = unread == Unread::kFullPipeline ? 257 : 3;
  ASSERT_TRUE(wait([&] { return pool->open_requests() == taken; }));
  if (unread == Unread::kShortOfMemory) {
    limits->bytes.set_max(1);
    c->send(get("k", "unread"));
    run_for(io, milliseconds(20));
  }
  ASSERT_TRUE(gone(c, by_reset));
  limits->bytes.set_max(16u << 20);
  ASSERT_TRUE(wait([&] { return pool->open_requests() == 1; }));
  cache.answer("first", "v");
  ASSERT_TRUE(wait([&] { return first->in == FakeCache::value("first", "v"); }));
  first->send(get("k", "last"));
  ASSERT_TRUE(wait([&] { return cache.saw("last"); }));
  EXPECT_EQ(cache.ids, (std::vector<std::string>{"first", "last"}));
}

// Its command and its end lie in the kernel together: nobody waits for it when it is read. The host
// has a connection at rest, so that what is taken goes out at once.
TEST_P(LeavingClientTest, WithItsCommandUnread) {
  begin();
  list({listed("h", cache.server.local())});
  auto other = client(), c = client();
  other->send(get("k", "0"));
  ASSERT_TRUE(wait([&] { return cache.saw("0") && limits->clients.used() == 2; }));
  cache.answer("0", "v");
  ASSERT_TRUE(wait([&] { return other->in == FakeCache::value("0", "v"); }));
  c->send(get("k", "1"));
  ASSERT_TRUE(delivered(*c));
  if (!GetParam()) c->socket.shutdown(tcp::socket::shutdown_send);
  ASSERT_TRUE(GetParam() || delivered(*c));
  ASSERT_TRUE(gone(c, GetParam()));
  other->send(get("k", "2"));
  ASSERT_TRUE(wait([&] { return cache.saw("2"); }));
  EXPECT_EQ(cache.ids, (std::vector<std::string>{"0", "2"}));
  EXPECT_EQ(pool->open_requests(), 1u);
}

// The same where it was never accepted while it was there: another held the last place.
TEST_P(LeavingClientTest, WhileItWaitsToBeAccepted) {
  begin();
  list({listed("h", cache.server.local())});
  auto busy = client();
  busy->send(get("k", "0"));
  ASSERT_TRUE(wait([&] { return cache.saw("0"); }));
  limits->clients.set_max(1);
  auto c = client();
  c->send(get("k", "1"));
  if (GetParam()) c->socket.set_option(asio::socket_base::linger(true, 0));
  c->close();
  cache.answer("0", "v");
  ASSERT_TRUE(wait([&] { return busy->in == FakeCache::value("0", "v"); }));
  busy->close();
  auto last = client();
  last->send(get("k", "2"));
  ASSERT_TRUE(wait([&] { return cache.saw("2"); }));
  EXPECT_EQ(cache.ids, (std::vector<std::string>{"0", "2"}));
}

// ---- the list changes while an attempt waits

enum class Change { kDrains, kGoes, kRestarts, kMoves, kTakenOut };
class ListAndAttemptTest : public DispatchTest, public ::testing::WithParamInterface<Change> {
 protected:
  // The list after the change; `to`: the host that is left, or the new process of the old one.
  void change() {
    const Endpoint to = now.server.local();
    ListedHost h = listed("h", old.server.local());
    switch (GetParam()) {
      case Change::kDrains:
        h.state = HostState::kDraining;
        return list({h, listed("g", to)});
      case Change::kGoes:
        return list({listed("g", to)});
      case Change::kRestarts:
        h.born = UnixTime(std::chrono::hours(1));
        h.dial = to;
        return list({h});
      case Change::kMoves:
        h.dial = to;
        return list({h});
      case Change::kTakenOut:
        list({h, listed("g", to)});
        ASSERT_TRUE(pool->maintain("h", true));
    }
  }
  ScriptedCache old{io}, now{io};
};
INSTANTIATE_TEST_SUITE_P(Changes, ListAndAttemptTest,
                         ::testing::Values(Change::kDrains, Change::kGoes, Change::kRestarts,
                                           Change::kMoves, Change::kTakenOut));

// Decided anew, at once, and at no cost of a retry (here: no second attempt is allowed).
TEST_P(ListAndAttemptTest, OnAConnectionThatComesUp) {
  site.policy.max_attempts = 1;
  begin();
  list({listed("h", old.server.local())});
  old.server.hold();
  auto c = client();
  c->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return limits->upstreams.used() == 1; }));
  change();
  ASSERT_TRUE(wait([&] { return now.saw("1"); }));
  now.answer("1", "v");
  ASSERT_TRUE(wait([&] { return c->in == FakeCache::value("1", "v"); }));
  old.server.let();
  c->send(get("k", "2"));
  ASSERT_TRUE(wait([&] { return now.saw("2"); }));
  EXPECT_TRUE(old.ids.empty());
}

TEST_P(ListAndAttemptTest, ForAPlace) {
  site.policy.max_attempts = 1;
  site.max_connections = 1;
  begin();
  list({listed("h", old.server.local())});
  auto first = client(), c = client();
  first->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return old.saw("1"); }));
  c->send(get("k", "2"));
  ASSERT_TRUE(wait([&] { return pool->open_requests() == 2; }));
  change();
  old.answer("1", "v");  // what is out keeps its answer, and its connection takes nothing more
  ASSERT_TRUE(wait([&] { return first->in == FakeCache::value("1", "v"); }));
  ASSERT_TRUE(wait([&] { return now.saw("2"); }));
  EXPECT_EQ(old.ids, std::vector<std::string>{"1"});
}

// A connection that was in use at the time of the change leads to the old process or address.
TEST_P(ListAndAttemptTest, AConnectionInUseIsNotUsedAgain) {
  begin();
  list({listed("h", old.server.local())});
  auto c = client();
  c->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return old.saw("1"); }));
  change();
  old.answer("1", "v");
  ASSERT_TRUE(wait([&] { return c->in == FakeCache::value("1", "v"); }));
  c->send(get("k", "2"));
  ASSERT_TRUE(wait([&] { return now.saw("2"); }));
  EXPECT_EQ(old.ids, std::vector<std::string>{"1"});
}

// A write waits for an origin that is another by now: it goes there, at once and once.
// A request is to be written at the end of the turn, the list drops its host, and the tick that
// sweeps up comes before that end: it is due already, as the loop was late.
TEST_F(DispatchTest, AHostIsSweptUpInTheTurnInWhichSomethingIsToBeWritten) {
  ScriptedCache cache(io), left(io);
  site.shared_connections = true;
  site.streams_per_connection = 4;
  begin();
  list({listed("h", cache.server.local())});
  auto c = client();
  ASSERT_TRUE(wait([&] { return limits->clients.used() == 1; }));
  c->send(get("k", "1"));
  std::this_thread::sleep_for(milliseconds(60));
  while (limits->upstreams.used() == 0) io.run_one();
  list({listed("g", left.server.local())});
  ASSERT_TRUE(wait([&] { return left.saw("1"); }));
  left.answer("1", "v");
  ASSERT_TRUE(wait([&] { return c->in == FakeCache::value("1", "v"); }));
  EXPECT_TRUE(cache.ids.empty());
}

TEST_F(DispatchTest, AWriteFollowsTheOrigin) {
  ScriptedOrigin old(io), now(io);
  begin();
  list({listed("o", old.server.local(), true)});
  old.server.hold();
  auto c = client();
  c->send(put("k", "1"));
  ASSERT_TRUE(wait([&] { return limits->upstreams.used() == 1; }));
  list({listed("o", now.server.local(), true)});
  old.server.let();
  ASSERT_TRUE(wait([&] { return now.saw("1"); }));
  now.answer("1", "r");
  ASSERT_TRUE(wait([&] { return c->in == "HD O1 cr\r\n"; }));
  EXPECT_TRUE(old.ids.empty());
  EXPECT_EQ(now.ids.size(), 1u);
}

// So does a fetch, and with it who waits for it.
TEST_F(DispatchTest, AFetchFollowsTheOrigin) {
  ScriptedCache cache(io);
  ScriptedOrigin old(io), now(io);
  cache.on_command = [&](Peer&, const std::string& id) { cache.miss(id); };
  begin();
  list({listed("h", cache.server.local()), listed("o", old.server.local(), true)});
  old.server.hold();
  auto c = client();
  c->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return limits->upstreams.used() == 2; }));
  list({listed("h", cache.server.local()), listed("o", now.server.local(), true)});
  ASSERT_TRUE(wait([&] { return now.saw("1"); }));
  now.answer("1", "v");
  ASSERT_TRUE(wait([&] { return c->in == FakeCache::value("1", "v"); }));
  EXPECT_TRUE(old.ids.empty());
}

// Half of a write is at its host when that begins to drain: it has begun there, and goes on.
TEST_F(DispatchTest, WhatHasBegunAtAHostGoesOnThere) {
  ScriptedOrigin origin(io, 4096);
  origin.server.reads = false;
  begin();
  list({listed("o", origin.server.local(), true)});
  auto c = client();
  const std::string text = put("k", "1", 4u << 20);
  asio::async_write(c->socket, asio::buffer(text), [](auto, auto) {});
  ASSERT_TRUE(wait([&] { return pool->open_requests() == 1 && origin.server.peers.size() == 1; }));
  ASSERT_TRUE(wait([&] { return origin.server.peers[0]->socket.available() > 0; }));
  list({listed("o", origin.server.local(), true, HostState::kDraining)});
  origin.server.peers[0]->read();
  ASSERT_TRUE(wait([&] { return origin.saw("1"); }));
  origin.answer("1", "r");
  ASSERT_TRUE(wait([&] { return c->in == "HD O1 cr\r\n"; }));
}

// The origin answers a second time, some milliseconds late, when the next fetch is out: HTTP does
// not tell whose answer it is. On a busy machine the connection may have rested meanwhile, and
// another try is made.
TEST_F(DispatchTest, ALateSecondAnswerOfTheOriginIsNobodysValue) {
  ScriptedCache cache(io);
  ScriptedOrigin origin(io);
  cache.on_command = [&](Peer&, const std::string& id) { cache.miss(id); };
  begin();
  list({listed("h", cache.server.local()), listed("o", origin.server.local(), true)});
  auto c = client();
  bool at_once = false;
  for (int i = 0; i < 50 && !at_once; ++i) {
    const std::string one = "a" + std::to_string(i), two = "b" + std::to_string(i);
    c->in.clear();
    c->send(get("k" + one, one));
    ASSERT_TRUE(wait([&] { return origin.saw(one); }));
    const auto from = std::chrono::steady_clock::now();
    origin.answer(one, "first");
    ASSERT_TRUE(wait([&] { return c->in == FakeCache::value(one, "first"); }));
    c->in.clear();
    c->send(get("k" + two, two));
    ASSERT_TRUE(wait([&] { return origin.saw(two); }));
    at_once = std::chrono::steady_clock::now() - from < milliseconds(20);
    if (at_once) origin.answer(one, "first");
    run_for(io, milliseconds(5));
    origin.answer(two, "second");
    ASSERT_TRUE(wait([&] { return !c->in.empty(); }));
    EXPECT_EQ(c->in, FakeCache::value(two, "second"));
  }
  EXPECT_TRUE(at_once) << "the machine never was fast enough";
}

// An answer comes while its request is being written. It cannot be that request's: nobody is served
// with it, and what may have run by then is not sent again.
TEST_F(DispatchTest, AnAnswerAheadOfItsRequestIsNone) {
  ScriptedOrigin origin(io, 4096);
  origin.server.reads = false;
  begin();
  list({listed("o", origin.server.local(), true)});
  auto c = client();
  const std::string text = put("k", "1", 4u << 20);
  asio::async_write(c->socket, asio::buffer(text), [](auto, auto) {});
  ASSERT_TRUE(wait([&] { return pool->open_requests() == 1 && origin.server.peers.size() == 1; }));
  ASSERT_TRUE(wait([&] { return origin.server.peers[0]->socket.available() > 0; }));
  origin.server.peers[0]->send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nr");
  ASSERT_TRUE(wait([&] { return !c->in.empty(); }));
  EXPECT_EQ(c->in, "SERVER_ERROR failed\r\n");
  EXPECT_EQ(origin.server.peers.size(), 1u);
}

// ---- a keyed write is decided on within the time in which repeats are discarded, and its turn to
// be written comes behind it

TEST_F(DispatchTest, AKeyedRepeatIsNotWrittenBehindItsWindow) {
  ScriptedOrigin origin(io);
  begin();
  list({listed("o", origin.server.local(), true)});
  origin.on_request = [&](Peer& p, const std::string&) {
    if (origin.ids.size() > 1) return;
    origin.server.hold();
    p.close();  // it may have run, and is sent again at once: to a connection that does not come up
  };
  auto c = client();
  const Time start = clock.now();
  c->send(put("k", "1", 2, "c=save,k=key"));
  ASSERT_TRUE(wait([&] { return origin.saw("1") && limits->upstreams.used() == 1; }));
  ASSERT_TRUE(wait([&] { return clock.now() - start > milliseconds(301); }));
  origin.server.let();
  ASSERT_TRUE(wait([&] { return !c->in.empty(); }));
  EXPECT_TRUE(c->in == "SERVER_ERROR failed\r\n" || c->in == "SERVER_ERROR busy\r\n") << c->in;
  EXPECT_EQ(origin.ids.size(), 1u);
}

// ---- an idle connection's end, and the next request

TEST_F(DispatchTest, AnUnsafeWriteCrossesNoCloseThatHasCome) {
  ScriptedOrigin origin(io);
  begin();
  list({listed("o", origin.server.local(), true)});
  origin.on_request = [&](Peer&, const std::string& id) { origin.answer(id, "r" + id); };
  auto c = client();
  c->send(put("k", "1"));
  ASSERT_TRUE(wait([&] { return c->in == "HD O1 cr1\r\n"; }));
  const Time since = clock.now();
  ASSERT_TRUE(
      wait([&] { return clock.now() - since > milliseconds(30); }));  // it may be used again
  // In one turn of the loop: the close first, then the request.
  origin.from.at("1")->close();
  c->in.clear();
  c->send(put("k", "2"));
  ASSERT_TRUE(wait([&] { return !c->in.empty(); }));
  EXPECT_EQ(c->in, "HD O2 cr2\r\n");
  EXPECT_EQ(origin.ids, (std::vector<std::string>{"1", "2"}));
}

// The other order: the request is written, and the close comes behind it. It may have run.
TEST_F(DispatchTest, AnUnsafeWriteThatMetACloseIsNotRepeated) {
  ScriptedOrigin origin(io);
  begin();
  list({listed("o", origin.server.local(), true)});
  origin.on_request = [&](Peer& p, const std::string& id) {
    if (id == "1") return origin.answer(id, "r1");
    p.close();
  };
  auto c = client();
  c->send(put("k", "1"));
  ASSERT_TRUE(wait([&] { return c->in == "HD O1 cr1\r\n"; }));
  c->in.clear();
  c->send(put("k", "2"));
  ASSERT_TRUE(wait([&] { return !c->in.empty(); }));
  EXPECT_EQ(c->in, "SERVER_ERROR failed\r\n");
  EXPECT_EQ(std::count(origin.ids.begin(), origin.ids.end(), "2"), 1);
}

// ---- a client's connection is closed, its command comes whole

// The rest of a command comes in the turn in which its time is over, or in which its place is
// needed. The loop is late, so that the ticks are due; the test's own timer is the first of them.
TEST_F(DispatchTest, ACommandThatBecomesWholeInTheTurnOfItsEndIsAnswered) {
  times.first_command = milliseconds(100);
  begin();
  std::shared_ptr<Peer> c;
  for (int i = 0; i < 50 && limits->clients.used() == 0; ++i) {  // a slow machine: closed already
    c = client();
    c->send("m");
    ASSERT_TRUE(wait([&] { return limits->clients.used() == 1; }));
    run_for(io, milliseconds(5));  // read
  }
  asio::steady_timer first(io, std::chrono::steady_clock::now() - std::chrono::hours(1));
  first.async_wait([&](auto) {
    c->send("n\r\n");
    EXPECT_TRUE(delivered(*c));
  });
  std::this_thread::sleep_for(milliseconds(180));
  ASSERT_TRUE(wait([&] { return !c->in.empty() || c->closed; }));
  EXPECT_EQ(c->in, "MN\r\n");
}

TEST_F(DispatchTest, ACommandThatBecomesWholeIsNotClosedForItsPlace) {
  begin();
  auto c = client();
  c->send("m");
  ASSERT_TRUE(wait([&] { return limits->clients.used() == 1; }));
  run_for(io, milliseconds(1050));  // a slow writer
  limits->clients.set_max(1);
  auto other = client();
  other->send("mn\r\n");
  // Between the moment in which the loop has heard of the newcomer, and its acceptance.
  c->send("n\r\n");
  ASSERT_TRUE(delivered(*c));
  EXPECT_FALSE(listener->stop());
  ASSERT_TRUE(wait([&] { return !c->in.empty() || c->closed; }));
  EXPECT_EQ(c->in, "MN\r\n");
}

// ---- a drain

// What waits to be accepted has been taken as far as its clients can tell.
TEST_F(DispatchTest, WhoWaitsToBeAcceptedIsHeardBeforeTheEnd) {
  begin();
  std::vector<std::shared_ptr<Peer>> crowd;
  for (int i = 0; i < 90; ++i) {
    crowd.push_back(client());
    crowd.back()->send("mn\r\n");
  }
  EXPECT_EQ(listener->sessions(), 0u);
  EXPECT_TRUE(listener->stop());
  ASSERT_TRUE(wait([&] {
    return std::all_of(crowd.begin(), crowd.end(), [](auto& p) { return p->in == "MN\r\n"; });
  }));
}

// Without room the listener stays until there is some.
TEST_F(DispatchTest, WhoFindsNoRoomIsHeardOnceThereIsSome) {
  ScriptedCache cache(io);
  begin();
  list({listed("h", cache.server.local())});
  auto busy = client();
  busy->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return cache.saw("1"); }));
  limits->clients.set_max(1);
  auto late = client();
  late->send("mn\r\n");
  EXPECT_FALSE(listener->stop());
  cache.answer("1", "v");
  ASSERT_TRUE(wait([&] { return busy->in == FakeCache::value("1", "v"); }));
  busy->close();
  ASSERT_TRUE(wait([&] { return late->in == "MN\r\n"; }));
  EXPECT_TRUE(listener->stop());
}

// A connection is to be given back; a request comes between the decision and the close.
TEST_F(DispatchTest, ARequestThatComesBeforeTheCloseIsAnswered) {
  begin();
  auto c = client();
  c->send("mn\r\n");
  ASSERT_TRUE(wait([&] { return c->in == "MN\r\n"; }));
  listener->drain(clock.now(), clock.now());  // posts the close
  c->send("mn\r\n");
  ASSERT_TRUE(wait([&] { return c->closed; }));
  EXPECT_EQ(c->in, "MN\r\nMN\r\n");
}

// The other order: given back first, the client finds an end in order and nothing lost.
TEST_F(DispatchTest, AConnectionIsGivenBackInOrder) {
  begin();
  auto c = client();
  c->send("mn\r\n");
  ASSERT_TRUE(wait([&] { return c->in == "MN\r\n"; }));
  listener->drain(clock.now(), clock.now());
  ASSERT_TRUE(wait([&] { return c->closed && listener->sessions() == 0; }));
  EXPECT_EQ(c->in, "MN\r\n");
}

class ProcessEndTest : public NodeTest {};

// A process that stands still in its drain wakes behind its last moment: what is open is failed and
// the process ends in one turn, and several answers of one client leave together.
TEST_F(ProcessEndTest, WhatIsAnsweredInTheLastTurnLeaves) {
  FakeCache cache(io, [](const auto&, const auto&) { return std::string(); });
  discovery.hosts = host_entry("h1", cache.server.dial());
  begin();
  auto c = client();
  c->send(get("k1", "1") + get("k2", "2") + get("k3", "3"));
  ASSERT_TRUE(wait([&] { return cache.ids.size() >= 3; }));
  balancer->drain();
  std::this_thread::sleep_for(milliseconds(3700));
  ASSERT_TRUE(wait([&] { return io.stopped(); }));
  // The program would end here: what has not left by now never does.
  c->on_data = [](Peer&) {};
  c->socket.non_blocking(true);
  LateServer::read_now(*c);
  EXPECT_EQ(std::count(c->in.begin(), c->in.end(), '\n'), 3) << c->in;
}

// Discovery moves while this process is leaving: what is still out has hosts that may come to
// drain.
TEST_F(ProcessEndTest, AReloadIsHeardInADrain) {
  FakeCache cache(io, [](const auto&, const auto&) { return std::string(); });
  discovery.hosts = host_entry("h1", cache.server.dial());
  begin();
  auto c = client();
  c->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return cache.ids.size() == 1; }));
  FakeDiscovery next(io);
  next.hosts = discovery.hosts;
  balancer->drain();
  Config moved = config;
  moved.discovery = next.server.local();
  balancer->reload(moved);
  ASSERT_TRUE(wait([&] { return next.calls > 0; }));
}

// The memory is full, and a client has written its whole request. It is told within its time that
// nothing has run, and not closed unheard.
class ShortOfMemoryTest : public DispatchTest {
 protected:
  void SetUp() override {
    for (RequestClass& request_class : site.policy.classes)
      request_class.deadline = milliseconds(1000);
    begin();
    list({listed("h", cache.server.local()), listed("o", origin.server.local(), true)});
    hold = Reservation(limits->bytes, limits->bytes.max());
  }
  void expect_refused(const std::string& request) {
    auto c = client();
    const Time from = clock.now();
    c->send(request);
    ASSERT_TRUE(wait([&] { return !c->in.empty() || c->closed; }));
    EXPECT_EQ(c->in, "SERVER_ERROR busy\r\n");
    EXPECT_LT(clock.now() - from, milliseconds(1500)) << "its client had left by then";
    EXPECT_TRUE(origin.heads.empty() && cache.lines.empty());
  }
  Reservation hold;
  ScriptedCache cache{io};
  ScriptedOrigin origin{io};
};

TEST_F(ShortOfMemoryTest, AReadIsRefused) { expect_refused(get("k", "1")); }
TEST_F(ShortOfMemoryTest, ALongWriteIsRefused) { expect_refused(put("k", "1", 200u << 10)); }

}  // namespace
}  // namespace balancer::node
