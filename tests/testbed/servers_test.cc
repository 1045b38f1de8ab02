// The emulated servers, with the test as their client over sockets.
#include <filesystem>
#include <fstream>
#include <set>

#include "rig_harness.h"
#include "testbed/group_net.h"
#include "testbed/report/report.h"

namespace balancer::testbed {
namespace {

class ServersTest : public ::testing::Test {
 protected:
  void begin(const std::string& extra = "") {
    scenario = parse_scenario(scenario_text(extra), "test.toml");
    context = std::make_unique<Context>(io, scenario);
    fleet = std::make_unique<Fleet>(*context);
    const std::string list = fleet->discovery().whole_list(0);
    h0 = dial(list, "h0");
    origin = dial(list, "origin");
  }
  static std::string dial(const std::string& list, const std::string& host) {
    const auto at = list.find("\"dial\":\"", list.find("\"host\":\"" + host + "\"")) + 8;
    return list.substr(at, list.find('"', at) - at);
  }
  struct Peer {
    explicit Peer(asio::io_context& loop) : socket(loop) {}
    tcp::socket socket;
    std::string in;
    bool closed = false;
    char chunk[8192];
    void read() {
      socket.async_read_some(asio::buffer(chunk), [this](auto e, auto n) {
        if (e) {
          closed = true;
          return;
        }
        in.append(chunk, n);
        read();
      });
    }
    void send(const std::string& text) {
      boost::system::error_code ignored;
      asio::write(socket, asio::buffer(text), ignored);
    }
  };
  std::unique_ptr<Peer> peer(const std::string& to) {
    auto p = std::make_unique<Peer>(io);
    p->socket.connect(endpoint_of(to));
    p->read();
    return p;
  }
  std::string request(int request_class, const std::string& key, RequestNumber* number = nullptr) {
    const auto r = context->auditor.on_sent(context->now(), request_class, 0, ++effects,
                                            context->now() + std::chrono::seconds(5), key, 0.002);
    if (number) *number = r;
    return context->wire_id(r);
  }
  std::string get(const std::string& key) {
    return "mg " + key + " v O" + request(0, key) + " Pc=read,d=900\r\n";
  }
  ::testing::AssertionResult wait(const std::function<bool()>& done) { return run_until(io, done); }
  // Applies the first incident, a pause, and returns once it has begun, even on a slow machine.
  void begin_pause() {
    fleet->strike(scenario.incidents[0]);
    const Time end = context->now() + std::chrono::milliseconds(20);
    ASSERT_TRUE(wait([&] { return context->now() > end; }));
    io.poll();
  }

  Scenario scenario;
  asio::io_context io{1};
  std::unique_ptr<Context> context;
  std::unique_ptr<Fleet> fleet;
  std::string h0, origin;
  std::uint64_t effects = 0;
};

TEST_F(ServersTest, AnswersHitsMissesAndNoopsInOrder) {
  begin();
  fleet->warm_with({"kept"});
  auto p = peer(h0);
  p->send(get("kept") + get("other") + "mn\r\n");
  ASSERT_TRUE(wait([&] { return p->in.ends_with("MN\r\n"); }));
  EXPECT_TRUE(p->in.starts_with("VA ")) << p->in;
  EXPECT_NE(p->in.find("\r\nEN O"), std::string::npos)
      << "the no-op was answered before the request ahead of it";
}

// A value that the origin serves is stored at the host that missed it; a write removes it.
TEST_F(ServersTest, OriginReadFillsMissAndWriteInvalidates) {
  begin();
  auto cache = peer(h0), source = peer(origin);
  const std::string id = request(0, "k");
  cache->send("mg k v O" + id + " Pc=read,d=900\r\n");
  ASSERT_TRUE(wait([&] { return cache->in == "EN O" + id + "\r\n"; }));
  source->send("GET /k HTTP/1.1\r\nHost: o\r\nX-Trace-Id: " + id + "\r\nX-Props: c=read\r\n\r\n");
  ASSERT_TRUE(wait([&] { return source->in.find(id + ".origin.1.") != std::string::npos; }));
  cache->in.clear();
  cache->send(get("k"));
  ASSERT_TRUE(wait([&] { return cache->in.starts_with("VA "); }));
  source->in.clear();
  const std::string write = request(2, "k");
  source->send("PUT /k HTTP/1.1\r\nHost: o\r\nX-Trace-Id: " + write +
               "\r\nX-Props: c=book\r\nContent-Length: 2\r\n\r\nab");
  ASSERT_TRUE(wait([&] { return source->in.ends_with(write + ".origin.0"); }));
  cache->in.clear();
  cache->send(get("k"));
  ASSERT_TRUE(wait([&] { return cache->in.starts_with("EN "); }));
  EXPECT_EQ(context->auditor.breach_count(1) + context->auditor.breach_count(2), 0u);
}

TEST_F(ServersTest, OriginDeduplicatesKeyedWrite) {
  begin();
  auto source = peer(origin);
  RequestNumber number = 0;
  const std::string id = request(1, "k", &number);
  for (int i = 0; i < 2; ++i) {
    source->in.clear();
    source->send("PUT /k HTTP/1.1\r\nHost: o\r\nX-Trace-Id: " + id +
                 "\r\nX-Props: c=save,k=1\r\nContent-Length: 2\r\n\r\nab");
    ASSERT_TRUE(
        wait([&] { return source->in.find(".origin." + std::to_string(i)) != std::string::npos; }));
  }
  EXPECT_EQ(context->auditor.totals().repeats_discarded, 1u);
  EXPECT_EQ(context->auditor.breach_count(2), 0u);
}

TEST_F(ServersTest, MalformedInputClosesOnlyItsConnection) {
  begin();
  fleet->warm_with({"k"});
  auto good = peer(h0);
  for (const std::string& text :
       {std::string("\x01\x02\r\n"), std::string(10'000, 'x'), std::string("ms k -1 O1\r\n")}) {
    auto bad = peer(h0);
    bad->send(text);
    ASSERT_TRUE(wait([&] { return bad->closed; }));
  }
  for (const std::string& text : {std::string("\x16\x03\x01 nonsense\r\n\r\n"),
                                  "GET /" + std::string(100'000, 'x') + " HTTP/1.1\r\n\r\n"}) {
    auto bad = peer(origin);
    bad->send(text);
    ASSERT_TRUE(wait([&] { return bad->closed; }));
    auto worse = peer(fleet->discovery().dial(0));
    worse->send(text);
    ASSERT_TRUE(wait([&] { return worse->closed; }));
  }
  good->send(get("k"));
  ASSERT_TRUE(wait([&] { return good->in.starts_with("VA "); }));
  EXPECT_EQ(context->auditor.breach_count(1), 3u)
      << "commands that no client sent are reported to the auditor";
}

// Requests sent to a paused host run once it resumes, even though their connection has been closed.
TEST_F(ServersTest, PausedHostRunsRequestsOfClosedConnection) {
  begin("[[incident]]\nwhat = \"pause\"\nhost = \"h0\"\nat_s = 0\nfor_s = 1\n");
  fleet->warm_with({"k"});
  fleet->strike(scenario.incidents[0]);
  ASSERT_TRUE(wait(
      [&, end = context->now() + std::chrono::milliseconds(50)] { return context->now() > end; }));
  {
    auto p = peer(h0);
    p->send(get("k") + get("k") + get("k"));
    p->socket.shutdown(tcp::socket::shutdown_send);
    EXPECT_TRUE(p->in.empty());
    boost::system::error_code ignored;
    p->socket.close(ignored);
    io.poll();
  }
  EXPECT_EQ(context->auditor.totals().runs, 0u);
  ASSERT_TRUE(wait([&] { return context->auditor.totals().runs == 3; }));
  EXPECT_GE(context->now(), std::chrono::seconds(1));
}

// A paused host cannot know when a request arrived during the pause, so the earliest possible time
// counts. Here the connection itself waited in the backlog, and the request on it is the client's
// second attempt.
TEST_F(ServersTest, RequestDuringPauseCountsFromPauseStart) {
  begin("[[incident]]\nwhat = \"pause\"\nhost = \"h0\"\nat_s = 0\nfor_s = 0.5\n");
  begin_pause();
  RequestNumber number = 0;
  const std::string id = request(0, "k", &number);
  context->auditor.on_arrived(context->now(), number, 1);
  auto p = peer(h0);
  p->send("mg k v O" + id + " Pc=read,d=5000\r\n");
  ASSERT_TRUE(wait([&] { return !p->in.empty(); }));
  EXPECT_GE(context->now(), std::chrono::milliseconds(500));
  const Check check = context->auditor.checks().front();
  EXPECT_EQ(check.cases, 1u);
  EXPECT_EQ(check.broken, 0u) << check.example;
}

// A request that arrives after a pause counts from its actual arrival, even on a connection that
// was open and idle during the pause.
TEST_F(ServersTest, RequestAfterPauseCountsFromArrival) {
  begin("[[incident]]\nwhat = \"pause\"\nhost = \"h0\"\nat_s = 0\nfor_s = 0.2\n");
  auto p = peer(h0);
  p->send("mn\r\n");
  ASSERT_TRUE(wait([&] { return p->in == "MN\r\n"; }));
  begin_pause();
  auto other = peer(h0);
  other->send("mn\r\n");
  ASSERT_TRUE(wait([&] { return other->in == "MN\r\n"; })) << "the host has resumed";
  EXPECT_GE(context->now(), std::chrono::milliseconds(200));
  RequestNumber number = 0;
  const std::string id = request(0, "k", &number);
  context->auditor.on_client_gone(context->now(), number);
  ASSERT_TRUE(wait(
      [&, end = context->now() + std::chrono::milliseconds(150)] { return context->now() > end; }));
  p->in.clear();
  p->send("mg k v O" + id + " Pc=read,d=5000\r\n");
  ASSERT_TRUE(wait([&] { return !p->in.empty(); }));
  EXPECT_EQ(context->auditor.checks().at(1).broken, 1u)
      << "the attempt began long after the client's close";
}

TEST_F(ServersTest, RefusesOrIgnoresConnections) {
  begin(
      "[[incident]]\nwhat = \"refuse\"\nhost = \"h0\"\nat_s = 0\nfor_s = 0.3\n"
      "[[incident]]\nwhat = \"silent\"\nhost = \"h1\"\nat_s = 0\nfor_s = 0.5\n");
  const std::string h1 = dial(fleet->discovery().whole_list(0), "h1");
  for (const IncidentSpec& i : scenario.incidents) fleet->strike(i);
  ASSERT_TRUE(wait(
      [&, end = context->now() + std::chrono::milliseconds(100)] { return context->now() > end; }));
  tcp::socket refused(io), silent(io);
  boost::system::error_code error;
  refused.connect(endpoint_of(h0), error);
  EXPECT_EQ(error, asio::error::connection_refused);
  bool up = false;
  silent.async_connect(endpoint_of(h1), [&](auto e) { up = !e; });
  const Time before = context->now();
  ASSERT_TRUE(wait([&] { return up; }));  // the kernel retries after one second
  EXPECT_GT(context->now() - before, std::chrono::milliseconds(300));
  fleet->warm_with({"k"});
  auto p = peer(h0);
  p->send(get("k"));
  ASSERT_TRUE(wait([&] { return p->in.starts_with("VA "); }));
}

TEST_F(ServersTest, DiscoveryAnswersWatchesWithChanges) {
  begin("[[incident]]\nwhat = \"restart\"\nhost = \"h1\"\nat_s = 0\nfor_s = 0.3\ndrain_s = 0.3\n");
  auto p = peer(fleet->discovery().dial(0));
  p->send("GET /discovery/hosts HTTP/1.1\r\nHost: d\r\n\r\n");
  ASSERT_TRUE(wait([&] { return p->in.ends_with("]}"); }));
  EXPECT_NE(p->in.find("\"whole\":true"), std::string::npos);
  std::size_t seq = std::stoul(p->in.substr(p->in.find("\"seq\":") + 6));
  fleet->strike(scenario.incidents[0]);
  for (const char* health : {"draining", "gone", "ready"}) {
    p->in.clear();
    p->send("GET /discovery/hosts?index=" + std::to_string(seq) +
            "&wait=20000 HTTP/1.1\r\nHost: d\r\n\r\n");
    ASSERT_TRUE(wait([&] { return p->in.ends_with("]}"); }));
    EXPECT_NE(p->in.find(std::string("\"health\":\"") + health), std::string::npos) << p->in;
    EXPECT_NE(p->in.find("\"whole\":false"), std::string::npos);
    const std::size_t next = std::stoul(p->in.substr(p->in.find("\"seq\":") + 6));
    EXPECT_GT(next, seq);
    seq = next;
  }
  EXPECT_EQ(p->in.find("\"born_ms\":0}"), std::string::npos) << "a restarted host has a start time";
}

// A failed check makes the verdict fail even if no rule is broken, and the report shows its first
// case.
TEST_F(ServersTest, FailedCheckAppearsInReportAndVerdict) {
  begin();
  Tally tally(scenario);
  Load load(*context, tally, {});
  RunFigures run{scenario,
                 context->auditor,
                 context->stampede,
                 context->cold_loads,
                 tally,
                 load,
                 *fleet,
                 {},
                 {},
                 {},
                 {}};
  run.restarts.push_back({"late starts", 20, 2, 2, "the second"});
  EXPECT_EQ(report_exit_code(report_json(run)), 0);
  EXPECT_EQ(report_text(report_json(run)).find("the second"), std::string::npos);
  run.restarts.back().broken = 3;
  const std::string json = report_json(run), text = report_text(json);
  EXPECT_EQ(report_exit_code(json), 1);
  EXPECT_NE(text.find("late starts"), std::string::npos) << text;
  EXPECT_NE(text.find("3 of     20,     2 allowed: FAILED\n    the second\n"), std::string::npos)
      << text;
}

// Hosts and balancers are down at times, and group members start late. Meanwhile the kernel must
// not assign their ports to other sockets, and a concurrent run must not use their addresses.
TEST_F(ServersTest, ConcurrentRunsShareNoAddress) {
  begin();
  char folder[] = "/tmp/balancer-servers-XXXXXX";
  ASSERT_NE(::mkdtemp(folder), nullptr);
  Context other_context(io, scenario);
  Fleet other_fleet(other_context);
  constexpr int kInstances = 3;
  const GroupNet group(*context, folder, kInstances, kInstances, 1);
  const GroupNet other_group(other_context, folder, kInstances, kInstances, 1);
  std::uint32_t low = 0, high = 0;
  std::ifstream("/proc/sys/net/ipv4/ip_local_port_range") >> low >> high;
  std::set<std::string> all;
  const auto add = [&](const tcp::endpoint& e) {
    EXPECT_TRUE(e.port() < low || e.port() > high)
        << e << " is in the kernel's ephemeral port range";
    EXPECT_TRUE(all.insert(text_of(e)).second) << e << " is used twice";
  };
  for (Fleet* f : {fleet.get(), &other_fleet}) {
    const std::string list = f->discovery().whole_list(0);
    for (const char* host : {"h0", "h1", "origin"}) add(endpoint_of(dial(list, host)));
    add(endpoint_of(f->discovery().dial(0)));
  }
  for (const GroupNet* g : {&group, &other_group})
    for (int i = 0; i < kInstances; ++i) {
      add(g->direct_endpoint(i));
      const std::string tables = g->config_tables(i), key = "\nlisten = \"";
      const auto at = tables.find(key) + key.size();
      add(endpoint_of(tables.substr(at, tables.find('"', at) - at)));
    }
  for (int i = 0; i < kInstances; ++i)
    EXPECT_NE(group.direct_endpoint(i).address(), other_group.direct_endpoint(i).address());
  std::filesystem::remove_all(folder);
}

// The text and HTML reports are generated from the JSON report; malformed JSON is an error.
TEST_F(ServersTest, GeneratesReportsFromJson) {
  begin();
  Tally tally(scenario);
  tally.on_asked(std::chrono::seconds(1), 0, 0, 2);
  tally.on_end(std::chrono::seconds(1), std::chrono::milliseconds(1040), 0, 0, 2, End::kInAim);
  context->auditor.on_lost(context->now(),
                           context->auditor.on_sent(context->now(), 2, 0, 1,
                                                    std::chrono::seconds(1), "k<&\"\x01\xff", 1),
                           "a <test> & \"more\"");
  Load load(*context, tally, {});
  RunFigures run{scenario,
                 context->auditor,
                 context->stampede,
                 context->cold_loads,
                 tally,
                 load,
                 *fleet,
                 {},
                 {},
                 {},
                 {}};
  run.balancers.push_back({"n0", 1, {}, {{std::chrono::seconds(1), 5, 0.1, 9}}});
  const std::string json = report_json(run);
  EXPECT_EQ(report_exit_code(json), 1) << "a request was lost";
  const std::string text = report_text(json), page = report_html(json);
  EXPECT_NE(text.find("requests lost 1"), std::string::npos) << text;
  EXPECT_NE(text.find("a <test>"), std::string::npos) << text;
  EXPECT_EQ(page.find("a <test>"), std::string::npos);
  EXPECT_NE(page.find("a &lt;test&gt; &amp;"), std::string::npos);
  EXPECT_EQ(page.find("http://"), std::string::npos);
  EXPECT_EQ(page.find("https://"), std::string::npos);
  for (const std::string& bad :
       {std::string(), std::string("{"), std::string("{}"), json.substr(0, json.size() / 2)})
    EXPECT_THROW(report_text(bad), std::runtime_error);
}

}  // namespace
}  // namespace balancer::testbed
