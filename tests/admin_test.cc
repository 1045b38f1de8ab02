// Operators' HTTP calls: the response to each call, and that calls are answered even when clients
// and incomplete calls use up all connections.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "frontend/admin/calls.h"
#include "node_harness.h"

namespace balancer::node {
namespace {

using std::chrono::milliseconds;

// ---- calls, without sockets

struct AdminCallsTest : ::testing::Test {
  admin::HttpResponse call(std::string_view method, std::string_view target) {
    return admin::handle_call(method, target, operations);
  }
  bool serving = true;
  std::map<std::string, bool> overrides;
  std::vector<bool> drain_calls;
  const admin::Operations operations{[this] { return serving; },
                                     [this](std::string_view host, bool o) {
                                       if (host == "nobody") return false;
                                       overrides[std::string(host)] = o;
                                       return true;
                                     },
                                     [] { return std::string("{\"figures\":1}"); },
                                     [this](bool a) {
                                       drain_calls.push_back(a);
                                       return true;
                                     }};
};

TEST_F(AdminCallsTest, ExecutesEachCall) {
  EXPECT_EQ(call("GET", "/healthcheck").status, 200u);
  serving = false;
  EXPECT_EQ(call("GET", "/healthcheck").status, 503u);
  EXPECT_EQ(call("GET", "/stats").body, "{\"figures\":1}\n");
  EXPECT_EQ(call("POST", "/cache-hosts/s-1/maint").status, 200u);
  EXPECT_EQ(call("POST", "/cache-hosts/s%2d1%2F2%20%25/maint?why=disk").status, 200u);
  EXPECT_EQ(call("POST", "/cache-hosts/s-1/ready").status, 200u);
  EXPECT_EQ(overrides, (std::map<std::string, bool>{{"s-1", false}, {"s-1/2 %", true}}));
  EXPECT_EQ(call("POST", "/healthcheck/fail").status, 200u);
  EXPECT_EQ(call("POST", "/healthcheck/ok").status, 200u);
  EXPECT_EQ(drain_calls, (std::vector<bool>{true, false}));
}

TEST_F(AdminCallsTest, RejectsInvalidCalls) {
  const struct {
    const char *method, *target;
    unsigned status;
    const char* allow;
  } calls[] = {
      {"GET", "/", 404, ""},
      {"GET", "", 404, ""},
      {"GET", "/healthcheck/", 404, ""},
      {"GET", "/healthchecks", 404, ""},
      {"POST", "/cache-hosts/a/b/maint", 404, ""},
      {"POST", "/cache-hosts/a/out", 404, ""},
      {"POST", "/cache-hosts/nobody/maint", 404, ""},
      {"POST", "/cache-hosts/nobody/ready", 404, ""},
      {"POST", "/cache-hosts//maint", 400, ""},
      {"POST", "/cache-hosts/%/maint", 400, ""},
      {"POST", "/cache-hosts/%2/maint", 400, ""},
      {"POST", "/cache-hosts/%zz/maint", 400, ""},
      {"POST", "/healthcheck", 405, "GET, HEAD"},
      {"GET", "/healthcheck/fail", 405, "POST"},
      {"PUT", "/healthcheck/ok", 405, "POST"},
      {"GET", "/cache-hosts/a/maint", 405, "POST"},
      {"DELETE", "/cache-hosts/a/ready", 405, "POST"},
  };
  for (const auto& c : calls) {
    const auto a = call(c.method, c.target);
    EXPECT_EQ(a.status, c.status) << c.method << " " << c.target;
    EXPECT_EQ(a.allow, c.allow) << c.method << " " << c.target;
    EXPECT_TRUE(a.body.ends_with("\n"));
  }
  EXPECT_EQ(call("POST", "/cache-hosts/" + std::string(257, 'a') + "/maint").status, 400u);
  EXPECT_TRUE(overrides.empty());
  EXPECT_TRUE(drain_calls.empty());
}

// A host id that is not valid UTF-8 must neither make the response unreadable nor terminate the
// program.
TEST_F(AdminCallsTest, AcceptsAnyBytesInAHostId) {
  const auto a = call("POST", "/cache-hosts/%ff%00%22/maint");
  EXPECT_EQ(a.status, 200u);
  EXPECT_EQ(overrides.count(std::string("\xff\0\"", 3)), 1u);
}

// ---- over sockets

class AdminTest : public NodeTest {
 protected:
  AdminTest() { config.admin = Endpoint(asio::ip::make_address("127.0.0.1"), 0); }
  void begin_with(const std::string& hosts) {
    discovery.hosts = hosts;
    begin();
  }
  std::shared_ptr<Peer> connect_admin() { return Peer::connect(io, balancer->admin()); }
  // Sends `text` on a new connection. Returns the status of the response, or 0 if there is none.
  int call(const std::string& text) {
    auto c = connect_admin();
    c->send(text);
    if (!wait([&] { return c->closed; })) return 0;
    return c->in.starts_with("HTTP/1.1 ") ? std::stoi(c->in.substr(9, 3)) : 0;
  }
  static std::string post(const std::string& path) {
    return "POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
  }
  static std::string healthcheck() { return "GET /healthcheck HTTP/1.1\r\nHost: a\r\n\r\n"; }
  // A cache host that answers every command.
  FakeCache cache{
      io, [](const std::string&, const std::string& id) { return FakeCache::value(id, "v"); }};
};

TEST_F(AdminTest, RejectsMalformedAndOversizedCalls) {
  begin_with(host_entry("s-1", cache.server.dial()));
  EXPECT_EQ(call(healthcheck()), 200);
  EXPECT_EQ(call("HEAD /healthcheck HTTP/1.1\r\nHost: a\r\n\r\n"), 200);
  EXPECT_EQ(call("nonsense\r\n\r\n"), 400);
  EXPECT_EQ(call("GET /healthcheck HTTP/1.1\r\nX: " + std::string(16000, 'x') + "\r\n\r\n"), 431);
  EXPECT_EQ(call("POST /healthcheck/ok HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n"), 413);
  EXPECT_EQ(call(post("/cache-hosts/s-2/maint")), 404);
  EXPECT_EQ(call(post("/cache-hosts/s%2d1/maint")), 200);
}

// A complete call is answered although 200 connections have sent incomplete calls and clients use
// all descriptors that they may use. Exercises the descriptors reserved for calls and
// evict_session(); the test has not been run without them.
TEST_F(AdminTest, AnswersCallsDespiteManyIncompleteCallsAndClients) {
  limits =
      std::make_unique<Limits>(config.sockets, config.memory_mb, admin::AdminServer::kDescriptors);
  begin_with(host_entry("s-1", cache.server.dial()));
  std::vector<std::shared_ptr<Peer>> clients, incomplete;
  for (int i = 0; i < 300; ++i) clients.push_back(client());
  for (int i = 0; i < 200; ++i) {
    incomplete.push_back(connect_admin());
    incomplete.back()->send("GET /healthch");
  }
  const auto start = std::chrono::steady_clock::now();
  EXPECT_EQ(call(healthcheck()), 200);
  EXPECT_EQ(call(post("/cache-hosts/s-1/maint")), 200);
  // Below the five seconds after which incomplete calls time out.
  EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::seconds(4));
}

// The host is taken out of service while an attempt at it is in flight. When its
// connection closes, it must not be retried there.
TEST_F(AdminTest, DoesNotRetryAtAHostTakenOutOfService) {
  int attempts_at_host = 0;
  std::shared_ptr<Peer> at_host;
  Server unanswering(io, [&](Peer& p) {
    ++attempts_at_host;
    at_host = p.shared_from_this();
  });
  begin_with(host_entry("s-1", unanswering.dial()) + "," + host_entry("s-2", cache.server.dial()));
  std::shared_ptr<Peer> c = client();
  for (int i = 1; attempts_at_host == 0 && i < 100; ++i) {  // finds a key of s-1
    c->send(get("k" + std::to_string(i), std::to_string(i)));
    ASSERT_TRUE(wait([&] { return attempts_at_host > 0 || !c->in.empty(); }));
    run_for(io, milliseconds(5));
    c->in.clear();
  }
  EXPECT_EQ(call(post("/cache-hosts/s-1/maint")), 200);
  at_host->close();  // would be retried at s-1 if it were in service
  ASSERT_TRUE(wait([&] { return !c->in.empty(); }));
  EXPECT_TRUE(c->in.starts_with("VA 1 ")) << c->in;
  EXPECT_EQ(attempts_at_host, 1);
}

TEST_F(AdminTest, DrainsClientsAndAcceptsThemAgain) {
  begin_with(host_entry("s-1", cache.server.dial()));
  const auto noop = [&] {
    auto c = client();
    c->send("mn\r\n");
    EXPECT_TRUE(wait([&] { return c->in.find('\n') != std::string::npos; }));
    return c->in;
  };
  EXPECT_EQ(noop(), "MN\r\n");
  std::vector<std::shared_ptr<Peer>> held;
  for (int i = 0; i < 5; ++i) {
    held.push_back(client());
    held.back()->send(get("k", std::to_string(i)));
  }
  ASSERT_TRUE(wait([&] {
    return std::all_of(held.begin(), held.end(), [](const auto& p) { return !p->in.empty(); });
  }));
  EXPECT_EQ(call(post("/healthcheck/fail")), 200);
  EXPECT_EQ(noop(), "SERVER_ERROR draining\r\n");
  EXPECT_EQ(call(healthcheck()), 200) << "stays able to serve";
  auto late = client();
  late->send(get("k", "late"));
  ASSERT_TRUE(wait([&] { return !late->in.empty(); }));
  EXPECT_TRUE(late->in.starts_with("VA 1 ")) << "clients that still connect are served";
  ASSERT_TRUE(wait([&] {
    return late->closed &&
           std::all_of(held.begin(), held.end(), [](const auto& p) { return p->closed; });
  }));
  // Several calls in quick succession: the last one applies, and no further connection is closed.
  for (const char* word : {"ok", "fail", "fail", "ok", "ok"})
    EXPECT_EQ(call(post("/healthcheck/" + std::string(word))), 200);
  EXPECT_EQ(noop(), "MN\r\n");
  auto stays = client();
  stays->send(get("k", "stays"));
  ASSERT_TRUE(wait([&] { return !stays->in.empty(); }));
  run_for(io, milliseconds(2500));
  EXPECT_FALSE(stays->closed);
  // The process starts to terminate, as on SIGTERM, while clients are drained: the next call gets
  // 503.
  EXPECT_EQ(call(post("/healthcheck/fail")), 200);
  balancer->drain();
  EXPECT_EQ(call(post("/healthcheck/ok")), 503);
}

}  // namespace
}  // namespace balancer::node
