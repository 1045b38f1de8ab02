// Races between two events, each pair in the order that is harder to handle.
// docs/design/crossings.md lists the pairs.
#include <algorithm>
#include <set>
#include <thread>

#include "dispatch_harness.h"

namespace balancer::node {
namespace {

using std::chrono::milliseconds;

// ---- a client disconnects while its request waits

class ClientDisconnectTest : public DispatchTest, public ::testing::WithParamInterface<bool> {
 protected:
  ScriptedCache cache{io};
  ScriptedOrigin origin{io};
};
INSTANTIATE_TEST_SUITE_P(ByFinAndReset, ClientDisconnectTest, ::testing::Bool());

TEST_P(ClientDisconnectTest, DropsRequestWaitingForAConnect) {
  begin();
  apply_list({listed("h", cache.server.local())});
  cache.server.pause_accepting();
  auto c = client(), other = client();
  c->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return limits->upstreams.used() == 1; }));
  const std::size_t bytes = limits->bytes.used();
  ASSERT_TRUE(disconnect_client(c, GetParam()));
  ASSERT_TRUE(wait([&] { return pool->open_requests() == 0; }));
  EXPECT_LE(limits->bytes.used(), bytes);
  other->send(get("k", "2"));
  cache.server.resume_accepting();
  ASSERT_TRUE(wait([&] { return cache.saw("2"); }));
  EXPECT_EQ(cache.ids, std::vector<std::string>{"2"});
  cache.answer("2", "v");
  ASSERT_TRUE(wait([&] { return other->in == FakeCache::value("2", "v"); }));
}

// The connection is established before the disconnect can be read: both are handled in one turn of
// the event loop.
TEST_P(ClientDisconnectTest, SendsNothingAfterADisconnectInTheTurnOfTheConnect) {
  begin();
  apply_list({listed("h", cache.server.local())});
  auto c = client(), other = client();
  c->send(get("k", "1"));
  while (limits->upstreams.used() == 0) io.run_one();
  if (GetParam()) c->socket.set_option(asio::socket_base::linger(true, 0));
  c->close();
  ASSERT_TRUE(wait([&] { return limits->clients.used() == 1 && pool->open_requests() == 0; }));
  other->send(get("k", "2"));
  ASSERT_TRUE(wait([&] { return cache.saw("2"); }));
  // The request was sent as soon as the connection was established or not at all, and never after
  // the disconnect.
  EXPECT_LE(std::count(cache.ids.begin(), cache.ids.end(), "1"), 1);
  EXPECT_EQ(cache.ids.back(), "2");
}

TEST_P(ClientDisconnectTest, DropsRequestQueuedAtTheConnectionLimit) {
  site.max_connections = 1;
  begin();
  apply_list({listed("h", cache.server.local())});
  auto first = client(), c = client(), last = client();
  first->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return cache.saw("1"); }));
  c->send(get("k", "2"));
  ASSERT_TRUE(wait([&] { return pool->open_requests() == 2; }));
  last->send(get("k", "3"));
  ASSERT_TRUE(wait([&] { return pool->open_requests() == 3; }));
  ASSERT_TRUE(disconnect_client(c, GetParam()));
  cache.answer("1", "v");
  ASSERT_TRUE(wait([&] { return cache.saw("3"); }));
  EXPECT_EQ(cache.ids, (std::vector<std::string>{"1", "3"}));
}

// The request has been written completely behind another one: it stays in flight, and its answer
// does not affect the answers to other clients.
TEST_P(ClientDisconnectTest, DiscardsAnswerOfAPipelinedRequest) {
  site.max_connections = 1;
  site.streams_per_connection = 8;
  site.slow_after = std::chrono::hours(1);  // not overdue even on a slow machine
  begin();
  apply_list({listed("h", cache.server.local())});
  auto first = client(), c = client(), last = client();
  first->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return cache.saw("1"); }));
  c->send(get("k", "2"));
  ASSERT_TRUE(wait([&] { return cache.saw("2"); }));
  last->send(get("k", "3"));
  ASSERT_TRUE(wait([&] { return cache.saw("3"); }));
  ASSERT_TRUE(disconnect_client(c, GetParam()));
  for (const char* id : {"1", "2", "3"}) cache.answer(id, std::string("v") + id);
  ASSERT_TRUE(wait([&] { return first->in == FakeCache::value("1", "v1"); }));
  ASSERT_TRUE(wait([&] { return last->in == FakeCache::value("3", "v3"); }));
  EXPECT_EQ(cache.ids.size(), 3u);
}

TEST_P(ClientDisconnectTest, DropsRequestWaitingForACoalescedFetch) {
  cache.on_command = [&](Peer&, const std::string& id) { cache.miss(id); };
  begin();
  apply_list({listed("h", cache.server.local()), listed("o", origin.server.local(), true)});
  auto leader = client(), c = client();
  leader->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return origin.saw("1"); }));
  c->send(get("k", "2"));
  ASSERT_TRUE(wait([&] { return cache.saw("2"); }));
  ASSERT_TRUE(wait([&] { return pool->open_requests() == 2; }));
  ASSERT_TRUE(disconnect_client(c, GetParam()));
  origin.answer("1", "v");
  ASSERT_TRUE(wait([&] { return leader->in == FakeCache::value("1", "v"); }));
  leader->send(get("other", "3"));  // sent after anything that the answer triggers
  ASSERT_TRUE(wait([&] { return cache.saw("3"); }));
  EXPECT_EQ(cache.ids, (std::vector<std::string>{"1", "2", "3"}));
  EXPECT_FALSE(origin.saw("2"));
}

// The coalesced fetch has not been sent when its leader disconnects: it is withdrawn immediately,
// and a follower becomes the leader.
TEST_P(ClientDisconnectTest, PromotesAFollowerToLeaderOfAnUnsentFetch) {
  cache.on_command = [&](Peer&, const std::string& id) { cache.miss(id); };
  begin();
  apply_list({listed("h", cache.server.local()), listed("o", origin.server.local(), true)});
  origin.server.pause_accepting();
  auto c = client(), follower = client();
  c->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return limits->upstreams.used() == 2; }));
  follower->send(get("k", "2"));
  ASSERT_TRUE(wait([&] { return cache.saw("2") && pool->open_requests() == 2; }));
  ASSERT_TRUE(disconnect_client(c, GetParam()));
  origin.server.resume_accepting();
  ASSERT_TRUE(wait([&] { return origin.saw("2"); }));
  EXPECT_EQ(origin.ids, std::vector<std::string>{"2"});
  origin.answer("2", "v");
  ASSERT_TRUE(wait([&] { return follower->in == FakeCache::value("2", "v"); }));
}

TEST_P(ClientDisconnectTest, SendsNoRetryAfterABackOff) {
  begin();
  apply_list({listed("o", origin.server.local(), true)});
  auto c = client();
  origin.on_request = [&](Peer&, const std::string& id) {
    origin.never_ran(id);
    if (id == "1") c->close();
  };
  if (GetParam()) c->socket.set_option(asio::socket_base::linger(true, 0));
  c->send(put("k", "1"));
  ASSERT_TRUE(wait([&] { return limits->clients.used() == 0 && pool->open_requests() == 0; }));
  // The third attempt of another client's request is later than a second attempt of the first one
  // could be.
  auto other = client();
  other->send(put("k", "2"));
  ASSERT_TRUE(wait([&] { return std::count(origin.ids.begin(), origin.ids.end(), "2") == 3; }));
  EXPECT_EQ(std::count(origin.ids.begin(), origin.ids.end(), "1"), 1);
}

// A slow peer has received part of a write: the last byte must not be sent, and the connection must
// be closed.
TEST_P(ClientDisconnectTest, ClosesTheConnectionOfAPartlyWrittenRequest) {
  ScriptedOrigin slow(io, 4096);
  slow.server.reads = false;
  begin();
  apply_list({listed("o", slow.server.local(), true)});
  auto c = client();
  constexpr std::size_t kLong = 4u << 20;
  bool written = false;
  const std::string text = put("k", "1", kLong);
  asio::async_write(c->socket, asio::buffer(text), [&](auto e, auto) { written = !e; });
  ASSERT_TRUE(wait([&] { return written && slow.server.peers.size() == 1; }));
  ASSERT_TRUE(wait([&] { return pool->open_requests() == 1; }));
  ASSERT_TRUE(disconnect_client(c, GetParam()));
  Peer& p = *slow.server.peers.at(0);
  p.read();
  ASSERT_TRUE(wait([&] { return p.closed; }));
  EXPECT_LT(p.in.size(), kLong);
  EXPECT_TRUE(slow.ids.empty());
  EXPECT_EQ(limits->bytes.used(), 0u);
}

// The attempt is held after a stall when the client disconnects, and is never sent.
TEST_P(ClientDisconnectTest, DropsRequestHeldAfterAStall) {
  begin();
  apply_list({listed("h", cache.server.local())});
  bool is_discovery_polled = false;
  pool->enable_stall_guard([&] { is_discovery_polled = true; }, [](const std::string&) {});
  auto c = client(), other = client();
  ASSERT_TRUE(wait([&] { return limits->clients.used() == 2; }));
  c->send(get("k", "1"));
  std::this_thread::sleep_for(milliseconds(1100));  // stalls this process
  ASSERT_TRUE(wait([&] { return is_discovery_polled && pool->open_requests() == 1; }));
  ASSERT_TRUE(disconnect_client(c, GetParam()));
  pool->on_discovery_answer(Duration{0});
  other->send(get("k", "2"));
  ASSERT_TRUE(wait([&] { return cache.saw("2"); }));
  EXPECT_EQ(cache.ids, std::vector<std::string>{"2"});
}

// A disconnect is detected even while no input is read from the client.
enum class Unread { kFullPipeline, kAfterProtocolError, kMemoryLimit };
class UnreadClientTest : public DispatchTest,
                         public ::testing::WithParamInterface<std::tuple<Unread, bool>> {
 protected:
  ScriptedCache cache{io};
};
INSTANTIATE_TEST_SUITE_P(Kinds, UnreadClientTest,
                         ::testing::Combine(::testing::Values(Unread::kFullPipeline,
                                                              Unread::kAfterProtocolError,
                                                              Unread::kMemoryLimit),
                                            ::testing::Bool()));

TEST_P(UnreadClientTest, DetectsADisconnect) {
  const auto [unread, by_reset] = GetParam();
  site.max_connections = 1;
  begin();
  apply_list({listed("h", cache.server.local())});
  auto first = client();
  first->send(get("k", "first"));
  ASSERT_TRUE(wait([&] { return cache.saw("first"); }));
  auto c = client();
  std::string text;
  const int commands = unread == Unread::kFullPipeline ? 600 : 2;
  for (int i = 0; i < commands; ++i) text += get("k", "c" + std::to_string(i));
  if (unread == Unread::kAfterProtocolError) text += "frob\r\n" + get("k", "behind");
  c->send(text);
  const std::size_t taken = unread == Unread::kFullPipeline ? 257 : 3;
  ASSERT_TRUE(wait([&] { return pool->open_requests() == taken; }));
  if (unread == Unread::kMemoryLimit) {
    limits->bytes.set_max(1);
    c->send(get("k", "unread"));
    run_for(io, milliseconds(20));
  }
  ASSERT_TRUE(disconnect_client(c, by_reset));
  limits->bytes.set_max(16u << 20);
  ASSERT_TRUE(wait([&] { return pool->open_requests() == 1; }));
  cache.answer("first", "v");
  ASSERT_TRUE(wait([&] { return first->in == FakeCache::value("first", "v"); }));
  first->send(get("k", "last"));
  ASSERT_TRUE(wait([&] { return cache.saw("last"); }));
  EXPECT_EQ(cache.ids, (std::vector<std::string>{"first", "last"}));
}

// A command and the close of its client are in the kernel's receive buffer together: when the
// command is read, its client has disconnected already. The host has an idle connection, so that a
// command that was accepted would be sent immediately.
TEST_P(ClientDisconnectTest, DropsAnUnreadCommand) {
  begin();
  apply_list({listed("h", cache.server.local())});
  auto other = client(), c = client();
  other->send(get("k", "0"));
  ASSERT_TRUE(wait([&] { return cache.saw("0") && limits->clients.used() == 2; }));
  cache.answer("0", "v");
  ASSERT_TRUE(wait([&] { return other->in == FakeCache::value("0", "v"); }));
  c->send(get("k", "1"));
  ASSERT_TRUE(delivered(*c));
  if (!GetParam()) c->socket.shutdown(tcp::socket::shutdown_send);
  ASSERT_TRUE(GetParam() || delivered(*c));
  ASSERT_TRUE(disconnect_client(c, GetParam()));
  other->send(get("k", "2"));
  ASSERT_TRUE(wait([&] { return cache.saw("2"); }));
  EXPECT_EQ(cache.ids, (std::vector<std::string>{"0", "2"}));
  EXPECT_EQ(pool->open_requests(), 1u);
}

// As above, but the client's connection was not accepted before the client closed it, as another
// client used the last descriptor.
TEST_P(ClientDisconnectTest, DropsTheCommandOfAnUnacceptedClient) {
  begin();
  apply_list({listed("h", cache.server.local())});
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

// ---- the endpoint list changes while an attempt waits

enum class Change { kDrained, kRemoved, kRestarted, kMoved, kOutOfService };
class EndpointListChangeTest : public DispatchTest, public ::testing::WithParamInterface<Change> {
 protected:
  // Applies the change. `to` is the address of the host that remains, or of the new process or
  // address of the original host.
  void change() {
    const Endpoint to = replacement.server.local();
    EndpointListEntry h = listed("h", original.server.local());
    switch (GetParam()) {
      case Change::kDrained:
        h.state = HostState::kDraining;
        return apply_list({h, listed("g", to)});
      case Change::kRemoved:
        return apply_list({listed("g", to)});
      case Change::kRestarted:
        h.started_at = UnixTime(std::chrono::hours(1));
        h.endpoint = to;
        return apply_list({h});
      case Change::kMoved:
        h.endpoint = to;
        return apply_list({h});
      case Change::kOutOfService:
        apply_list({h, listed("g", to)});
        ASSERT_TRUE(pool->set_out_of_service("h", true));
    }
  }
  ScriptedCache original{io}, replacement{io};
};
INSTANTIATE_TEST_SUITE_P(Changes, EndpointListChangeTest,
                         ::testing::Values(Change::kDrained, Change::kRemoved, Change::kRestarted,
                                           Change::kMoved, Change::kOutOfService));

// The policy decides on the attempt again immediately, without counting a retry: here, no second
// attempt is allowed.
TEST_P(EndpointListChangeTest, ReroutesAnAttemptWaitingForAConnect) {
  site.policy.max_attempts = 1;
  begin();
  apply_list({listed("h", original.server.local())});
  original.server.pause_accepting();
  auto c = client();
  c->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return limits->upstreams.used() == 1; }));
  change();
  ASSERT_TRUE(wait([&] { return replacement.saw("1"); }));
  replacement.answer("1", "v");
  ASSERT_TRUE(wait([&] { return c->in == FakeCache::value("1", "v"); }));
  original.server.resume_accepting();
  c->send(get("k", "2"));
  ASSERT_TRUE(wait([&] { return replacement.saw("2"); }));
  EXPECT_TRUE(original.ids.empty());
}

TEST_P(EndpointListChangeTest, ReroutesAQueuedAttempt) {
  site.policy.max_attempts = 1;
  site.max_connections = 1;
  begin();
  apply_list({listed("h", original.server.local())});
  auto first = client(), c = client();
  first->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return original.saw("1"); }));
  c->send(get("k", "2"));
  ASSERT_TRUE(wait([&] { return pool->open_requests() == 2; }));
  change();
  original.answer("1", "v");  // still delivered; the connection carries nothing more
  ASSERT_TRUE(wait([&] { return first->in == FakeCache::value("1", "v"); }));
  ASSERT_TRUE(wait([&] { return replacement.saw("2"); }));
  EXPECT_EQ(original.ids, std::vector<std::string>{"1"});
}

// A connection that was in use at the time of the change leads to the original process or address,
// and must not be used again.
TEST_P(EndpointListChangeTest, AssignsNoAttemptToAnOldConnection) {
  begin();
  apply_list({listed("h", original.server.local())});
  auto c = client();
  c->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return original.saw("1"); }));
  change();
  original.answer("1", "v");
  ASSERT_TRUE(wait([&] { return c->in == FakeCache::value("1", "v"); }));
  c->send(get("k", "2"));
  ASSERT_TRUE(wait([&] { return replacement.saw("2"); }));
  EXPECT_EQ(original.ids, std::vector<std::string>{"1"});
}

// A request is to be written at the end of the event loop's turn. The list removes its host, and
// the tick that erases retired hosts runs before the write: it is due already, as the loop was
// late.
TEST_F(DispatchTest, ErasesARetiredHostInTheTurnOfAPostedWrite) {
  ScriptedCache cache(io), remaining(io);
  site.shared_connections = true;
  site.streams_per_connection = 4;
  begin();
  apply_list({listed("h", cache.server.local())});
  auto c = client();
  ASSERT_TRUE(wait([&] { return limits->clients.used() == 1; }));
  c->send(get("k", "1"));
  std::this_thread::sleep_for(milliseconds(60));
  while (limits->upstreams.used() == 0) io.run_one();
  apply_list({listed("g", remaining.server.local())});
  ASSERT_TRUE(wait([&] { return remaining.saw("1"); }));
  remaining.answer("1", "v");
  ASSERT_TRUE(wait([&] { return c->in == FakeCache::value("1", "v"); }));
  EXPECT_TRUE(cache.ids.empty());
}

// A write waits for a connection to the origin when the origin moves: it is sent to the new address
// immediately and exactly once.
TEST_F(DispatchTest, SendsAWaitingWriteToTheMovedOrigin) {
  ScriptedOrigin original(io), replacement(io);
  begin();
  apply_list({listed("o", original.server.local(), true)});
  original.server.pause_accepting();
  auto c = client();
  c->send(put("k", "1"));
  ASSERT_TRUE(wait([&] { return limits->upstreams.used() == 1; }));
  apply_list({listed("o", replacement.server.local(), true)});
  original.server.resume_accepting();
  ASSERT_TRUE(wait([&] { return replacement.saw("1"); }));
  replacement.answer("1", "r");
  ASSERT_TRUE(wait([&] { return c->in == "HD O1 cr\r\n"; }));
  EXPECT_TRUE(original.ids.empty());
  EXPECT_EQ(replacement.ids.size(), 1u);
}

// The same applies to a fetch, and with it to the requests that wait for the fetch.
TEST_F(DispatchTest, SendsAWaitingFetchToTheMovedOrigin) {
  ScriptedCache cache(io);
  ScriptedOrigin original(io), replacement(io);
  cache.on_command = [&](Peer&, const std::string& id) { cache.miss(id); };
  begin();
  apply_list({listed("h", cache.server.local()), listed("o", original.server.local(), true)});
  original.server.pause_accepting();
  auto c = client();
  c->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return limits->upstreams.used() == 2; }));
  apply_list({listed("h", cache.server.local()), listed("o", replacement.server.local(), true)});
  ASSERT_TRUE(wait([&] { return replacement.saw("1"); }));
  replacement.answer("1", "v");
  ASSERT_TRUE(wait([&] { return c->in == FakeCache::value("1", "v"); }));
  EXPECT_TRUE(original.ids.empty());
}

// A host starts draining when it has received half of a write: the write is completed there.
TEST_F(DispatchTest, FinishesAHalfWrittenAttemptAtADrainingHost) {
  ScriptedOrigin origin(io, 4096);
  origin.server.reads = false;
  begin();
  apply_list({listed("o", origin.server.local(), true)});
  auto c = client();
  const std::string text = put("k", "1", 4u << 20);
  asio::async_write(c->socket, asio::buffer(text), [](auto, auto) {});
  ASSERT_TRUE(wait([&] { return pool->open_requests() == 1 && origin.server.peers.size() == 1; }));
  ASSERT_TRUE(wait([&] { return origin.server.peers[0]->socket.available() > 0; }));
  apply_list({listed("o", origin.server.local(), true, HostState::kDraining)});
  origin.server.peers[0]->read();
  ASSERT_TRUE(wait([&] { return origin.saw("1"); }));
  origin.answer("1", "r");
  ASSERT_TRUE(wait([&] { return c->in == "HD O1 cr\r\n"; }));
}

// The origin sends a duplicate answer some milliseconds late, when the next fetch is in flight.
// HTTP does not identify the request of an answer. On a busy machine the connection may have been
// idle for kMinIdleBeforeReuse (20 ms) before the next fetch; then the test tries again.
TEST_F(DispatchTest, IgnoresALateDuplicateAnswerOfTheOrigin) {
  ScriptedCache cache(io);
  ScriptedOrigin origin(io);
  cache.on_command = [&](Peer&, const std::string& id) { cache.miss(id); };
  begin();
  apply_list({listed("h", cache.server.local()), listed("o", origin.server.local(), true)});
  auto c = client();
  bool is_in_time = false;
  for (int i = 0; i < 50 && !is_in_time; ++i) {
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
    is_in_time = std::chrono::steady_clock::now() - from < milliseconds(20);
    if (is_in_time) origin.answer(one, "first");
    run_for(io, milliseconds(5));
    origin.answer(two, "second");
    ASSERT_TRUE(wait([&] { return !c->in.empty(); }));
    EXPECT_EQ(c->in, FakeCache::value(two, "second"));
  }
  EXPECT_TRUE(is_in_time) << "the machine was too slow in every try";
}

// An answer arrives while the request is still being written. It cannot belong to that request, so
// no client receives it, and the request, which may have run, is not sent again.
TEST_F(DispatchTest, IgnoresAnAnswerReceivedBeforeItsRequestIsWritten) {
  ScriptedOrigin origin(io, 4096);
  origin.server.reads = false;
  begin();
  apply_list({listed("o", origin.server.local(), true)});
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

// ---- a keyed retry is decided on within its deduplication window, but could only be written after
// it

TEST_F(DispatchTest, WritesNoKeyedRetryAfterItsDeduplicationWindow) {
  ScriptedOrigin origin(io);
  begin();
  apply_list({listed("o", origin.server.local(), true)});
  origin.on_request = [&](Peer& p, const std::string&) {
    if (origin.ids.size() > 1) return;
    origin.server.pause_accepting();
    // The write may have run and is retried immediately, on a connection that is not established.
    p.close();
  };
  auto c = client();
  const Time start = clock.now();
  c->send(put("k", "1", 2, "c=save,k=key"));
  ASSERT_TRUE(wait([&] { return origin.saw("1") && limits->upstreams.used() == 1; }));
  ASSERT_TRUE(wait([&] { return clock.now() - start > milliseconds(301); }));
  origin.server.resume_accepting();
  ASSERT_TRUE(wait([&] { return !c->in.empty(); }));
  EXPECT_TRUE(c->in == "SERVER_ERROR failed\r\n" || c->in == "SERVER_ERROR busy\r\n") << c->in;
  EXPECT_EQ(origin.ids.size(), 1u);
}

// ---- an idle connection is closed, and the next request arrives

TEST_F(DispatchTest, SendsNoNonIdempotentWriteOnAClosedConnection) {
  ScriptedOrigin origin(io);
  begin();
  apply_list({listed("o", origin.server.local(), true)});
  origin.on_request = [&](Peer&, const std::string& id) { origin.answer(id, "r" + id); };
  auto c = client();
  c->send(put("k", "1"));
  ASSERT_TRUE(wait([&] { return c->in == "HD O1 cr1\r\n"; }));
  const Time since = clock.now();
  ASSERT_TRUE(
      wait([&] { return clock.now() - since > milliseconds(30); }));  // beyond kMinIdleBeforeReuse
  // In one turn of the event loop, first the close and then the request.
  origin.from.at("1")->close();
  c->in.clear();
  c->send(put("k", "2"));
  ASSERT_TRUE(wait([&] { return !c->in.empty(); }));
  EXPECT_EQ(c->in, "HD O2 cr2\r\n");
  EXPECT_EQ(origin.ids, (std::vector<std::string>{"1", "2"}));
}

// The other order: the request is written before the close arrives, so it may have run.
TEST_F(DispatchTest, RetriesNoNonIdempotentWriteThatCrossedAClose) {
  ScriptedOrigin origin(io);
  begin();
  apply_list({listed("o", origin.server.local(), true)});
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

// ---- a client completes its command when its connection is about to be closed

// The rest of a command arrives in the turn of the event loop in which the command times out. The
// loop is late, so that the session's tick is due; the test's own timer fires before it.
TEST_F(DispatchTest, AnswersACommandThatIsCompletedInTheTurnOfItsTimeout) {
  times.first_command = milliseconds(100);
  begin();
  std::shared_ptr<Peer> c;
  // Repeated if the session has been closed already, as on a slow machine.
  for (int i = 0; i < 50 && limits->clients.used() == 0; ++i) {
    c = client();
    c->send("m");
    ASSERT_TRUE(wait([&] { return limits->clients.used() == 1; }));
    run_for(io, milliseconds(5));  // reads the input
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

// The rest of a command arrives in the turn in which a new client needs the descriptor.
TEST_F(DispatchTest, KeepsAClientThatCompletesItsCommandWhenDescriptorsAreShort) {
  begin();
  auto c = client();
  c->send("m");
  ASSERT_TRUE(wait([&] { return limits->clients.used() == 1; }));
  run_for(io, milliseconds(1050));  // a slow writer, which may be closed for others
  limits->clients.set_max(1);
  auto other = client();
  other->send("mn\r\n");
  // After the event loop has been notified of the new client and before it is accepted.
  c->send("n\r\n");
  ASSERT_TRUE(delivered(*c));
  EXPECT_FALSE(listener->stop());
  ASSERT_TRUE(wait([&] { return !c->in.empty() || c->closed; }));
  EXPECT_EQ(c->in, "MN\r\n");
}

// ---- a drain

// To their clients, connections in the backlog look accepted, so they must be answered.
TEST_F(DispatchTest, AnswersClientsInTheBacklogBeforeItStops) {
  begin();
  std::vector<std::shared_ptr<Peer>> clients;
  for (int i = 0; i < 90; ++i) {
    clients.push_back(client());
    clients.back()->send("mn\r\n");
  }
  EXPECT_EQ(listener->sessions(), 0u);
  EXPECT_TRUE(listener->stop());
  ASSERT_TRUE(wait([&] {
    return std::all_of(clients.begin(), clients.end(), [](auto& p) { return p->in == "MN\r\n"; });
  }));
}

// While no descriptor is free, the listener stays open.
TEST_F(DispatchTest, AnswersClientsInTheBacklogOnceDescriptorsAreFree) {
  ScriptedCache cache(io);
  begin();
  apply_list({listed("h", cache.server.local())});
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

// A request arrives between the decision to close a drained connection and the close.
TEST_F(DispatchTest, AnswersARequestReceivedBeforeADrainedConnectionCloses) {
  begin();
  auto c = client();
  c->send("mn\r\n");
  ASSERT_TRUE(wait([&] { return c->in == "MN\r\n"; }));
  listener->drain(clock.now(), clock.now());  // posts the close
  c->send("mn\r\n");
  ASSERT_TRUE(wait([&] { return c->closed; }));
  EXPECT_EQ(c->in, "MN\r\nMN\r\n");
}

// The other order: the connection is closed first; the client sees a graceful close and loses
// nothing.
TEST_F(DispatchTest, ClosesADrainedConnectionGracefully) {
  begin();
  auto c = client();
  c->send("mn\r\n");
  ASSERT_TRUE(wait([&] { return c->in == "MN\r\n"; }));
  listener->drain(clock.now(), clock.now());
  ASSERT_TRUE(wait([&] { return c->closed && listener->sessions() == 0; }));
  EXPECT_EQ(c->in, "MN\r\n");
}

class ProcessShutdownTest : public NodeTest {};

// A process that stalls during its drain resumes after the end of the drain. It fails the open
// requests and ends in one turn of the event loop, and several answers to one client must be
// written in it.
TEST_F(ProcessShutdownTest, WritesAnswersOfItsLastEventLoopTurn) {
  FakeCache cache(io, [](const auto&, const auto&) { return std::string(); });
  discovery.hosts = host_entry("h1", cache.server.dial());
  begin();
  auto c = client();
  c->send(get("k1", "1") + get("k2", "2") + get("k3", "3"));
  ASSERT_TRUE(wait([&] { return cache.ids.size() >= 3; }));
  balancer->drain();
  std::this_thread::sleep_for(milliseconds(3700));
  ASSERT_TRUE(wait([&] { return io.stopped(); }));
  // The program would exit here, so answers that have not been written by now would be lost.
  c->on_data = [](Peer&) {};
  c->socket.non_blocking(true);
  PausableServer::read_now(*c);
  EXPECT_EQ(std::count(c->in.begin(), c->in.end(), '\n'), 3) << c->in;
}

// The address of discovery changes while this process drains. It must still follow the endpoint
// list, as the hosts of its remaining requests may start draining.
TEST_F(ProcessShutdownTest, AppliesAReloadDuringADrain) {
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

// The memory limit is reached, and a client has sent a complete request. The request must be
// rejected within its deadline, as it has not run, instead of being closed without an answer.
class MemoryLimitTest : public DispatchTest {
 protected:
  void SetUp() override {
    for (RequestClass& request_class : site.policy.classes)
      request_class.deadline = milliseconds(1000);
    begin();
    apply_list({listed("h", cache.server.local()), listed("o", origin.server.local(), true)});
    hold = Reservation(limits->bytes, limits->bytes.max());
  }
  void expect_rejected(const std::string& request) {
    auto c = client();
    const Time from = clock.now();
    c->send(request);
    ASSERT_TRUE(wait([&] { return !c->in.empty() || c->closed; }));
    EXPECT_EQ(c->in, "SERVER_ERROR busy\r\n");
    EXPECT_LT(clock.now() - from, milliseconds(1500)) << "rejected after the client's deadline";
    EXPECT_TRUE(origin.heads.empty() && cache.lines.empty());
  }
  Reservation hold;
  ScriptedCache cache{io};
  ScriptedOrigin origin{io};
};

TEST_F(MemoryLimitTest, RejectsARead) { expect_rejected(get("k", "1")); }
TEST_F(MemoryLimitTest, RejectsALongWrite) { expect_rejected(put("k", "1", 200u << 10)); }

}  // namespace
}  // namespace balancer::node
