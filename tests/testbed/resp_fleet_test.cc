// Auditing of the RESP side of a run: the tests send commands to emulated nodes that follow or
// break a rule.
#include "testbed/servers/resp_fleet.h"

#include "rig_harness.h"
#include "testbed/load/load.h"

namespace balancer::testbed {
namespace {

std::string resp_scenario(const std::string& cluster = "", const std::string& incidents = "") {
  return "name = \"t\"\nlength_s = 3\nwarm_up_s = 0\n[[cluster]]\nname = \"c\"\nprimaries = 2\n" +
         cluster +
         "[[class]]\nname = \"read\"\ncluster = \"c\"\nprefix = \"k:\"\nwork_ms = 1\n"
         "[[class]]\nname = \"book\"\ncluster = \"c\"\nprefix = \"k:\"\nwork_ms = 1\n"
         "effect = \"unsafe\"\n[load]\nrate = 200\nkeys = 50\n" +
         incidents;
}

class RespFleetTest : public ::testing::Test {
 protected:
  void begin(const std::string& text) {
    scenario = parse_scenario(text, "t.toml");
    context = std::make_unique<Context>(io, scenario);
    fleet = std::make_unique<RespFleet>(*context, 0);
    fleet->fill(Arrivals(scenario).popular());
  }
  const ClassSpec& request_class(int k) const {
    return scenario.classes[static_cast<std::size_t>(k)];
  }
  RequestNumber sent(int k, const std::string& key, std::uint64_t effect) {
    return context->auditor.on_sent(context->now(), k, 0, effect,
                                    context->now() + std::chrono::seconds(20), key, 1e-3);
  }
  // Sends the request's command to the owner of its slot, or with `misdirected` to the other node,
  // and returns the reply.
  std::string ask(RequestNumber r, int k, const std::string& key, bool misdirected = false) {
    auto addresses = fleet->addresses();
    const bool first = cluster::slot_of(request_class(k).prefix + key) < cluster::kSlots / 2;
    tcp::socket socket(io);
    socket.connect(endpoint_of(addresses[first != misdirected ? 0 : 1]));
    asio::write(socket,
                asio::buffer(RespFleet::command(*context, request_class(k), r, key).wire()));
    std::string reply;
    resp::ReplyReader reader{resp::InputLimits{}};
    bool complete = false;
    std::array<char, 4096> chunk;
    std::function<void()> read = [&] {
      socket.async_read_some(asio::buffer(chunk), [&](auto e, auto n) {
        if (e) return;
        std::string_view input(chunk.data(), n);
        for (auto event = reader.next(input); event != resp::ReplyReader::Event::kMore;
             event = reader.next(input)) {
          if (event == resp::ReplyReader::Event::kEnd) complete = true;
          if (event == resp::ReplyReader::Event::kData) reply += reader.data();
        }
        if (!complete) read();
      });
    };
    read();
    EXPECT_TRUE(run_until(io, [&] { return complete; }));
    return reply;
  }
  std::uint64_t broken(int rule) const { return context->auditor.breach_count(rule); }

  asio::io_context io{1};
  Scenario scenario;
  std::unique_ptr<Context> context;
  std::unique_ptr<RespFleet> fleet;
};

TEST_F(RespFleetTest, CorrectRepliesBreakNoRule) {
  begin(resp_scenario());
  const auto book = sent(1, "a", 1);
  const auto booked = ask(book, 1, "a");
  context->auditor.on_reply(context->now(), book, Reply::kServed, booked);
  const auto read = sent(0, "a", 2);
  const auto got = ask(read, 0, "a");
  EXPECT_NE(got.find(context->wire_id(book)), std::string::npos);
  context->auditor.on_reply(context->now(), read, Reply::kServed, got);
  for (int rule = 1; rule <= 4; ++rule) EXPECT_EQ(broken(rule), 0u);
  EXPECT_EQ(context->auditor.totals().runs, 2u);
}

TEST_F(RespFleetTest, ReplyOfAnotherRequestCountsAsLost) {
  begin(resp_scenario());
  const auto one = sent(0, "a", 1), two = sent(0, "b", 2);
  ask(one, 0, "a");
  const auto other = ask(two, 0, "b");
  context->auditor.on_reply(context->now(), one, Reply::kServed, other + "x");
  EXPECT_EQ(broken(1), 1u);
}

TEST_F(RespFleetTest, DetectsRepeatedNonIdempotentWrite) {
  begin(resp_scenario());
  const auto book = sent(1, "a", 1);
  ask(book, 1, "a");
  EXPECT_EQ(broken(2), 0u);
  ask(book, 1, "a");
  EXPECT_EQ(broken(2), 2u) << "one breach for the repeated attempt, one for the repeated effect";
}

TEST_F(RespFleetTest, RedirectedCommandCountsAsNotRun) {
  begin(resp_scenario());
  const auto book = sent(1, "a", 1);
  EXPECT_TRUE(ask(book, 1, "a", true).starts_with("-MOVED "));
  EXPECT_TRUE(ask(book, 1, "a").starts_with(":"));
  EXPECT_EQ(broken(2), 0u);
  EXPECT_EQ(context->auditor.totals().never_ran, 1u);
}

TEST_F(RespFleetTest, DetectsCommandThatNoClientSent) {
  begin(resp_scenario());
  RequestNumber unknown = 77;
  ask(unknown, 0, "a");
  EXPECT_EQ(broken(1), 1u);
}

// The clients connect directly to the nodes, which also answer CLUSTER SLOTS.
TEST_F(RespFleetTest, ClusterModeClientsUseSlotOwner) {
  begin(resp_scenario("pipeline = 8\nby_slot = true\n"));
  scenario.balancers = 2;
  Tally tally(scenario);
  std::vector<tcp::endpoint> to;
  for (const auto& a : fleet->addresses()) to.push_back(endpoint_of(a));
  Load load(*context, tally, {to[0], to[1]}, {to});
  load.start();
  EXPECT_TRUE(run_until(io, [&] { return load.done(); }));
  for (int rule = 1; rule <= 4; ++rule) EXPECT_EQ(broken(rule), 0u) << rule;
  const auto served = context->auditor.totals().served;
  EXPECT_GT(served, 300u);
  // Clients choose nodes at random until the first answer to CLUSTER SLOTS.
  EXPECT_LT(fleet->redirections(), 50u);
  EXPECT_LT(load.connections(), 40u);
}

TEST_F(RespFleetTest, ReplicasApplyWritesAfterLag) {
  begin(resp_scenario("replicas = 1\nreplica_lag_ms = 150\n"));
  const auto book = sent(1, "a", 1);
  ask(book, 1, "a");
  const int owner = cluster::slot_of("k:a") < cluster::kSlots / 2 ? 0 : 1;
  tcp::socket socket(io);
  socket.connect(endpoint_of(fleet->addresses()[static_cast<std::size_t>(2 + owner)]));
  const auto read = [&] {
    const auto r = sent(0, "k:a", 9);
    asio::write(socket,
                asio::buffer("READONLY\r\n" +
                             RespFleet::command(*context, request_class(0), r, "a").wire()));
    std::string got;
    std::array<char, 4096> chunk;
    bool complete = false;
    std::function<void()> more = [&] {
      socket.async_read_some(asio::buffer(chunk), [&](auto e, auto n) {
        got.append(chunk.data(), e ? 0 : n);
        // +OK, then an array of one or two strings.
        complete = e || (got.size() >= 9 && got.ends_with("\r\n") &&
                         std::count(got.begin(), got.end(), '\n') >= 2 * (got[6] - '0') + 2);
        if (!complete) more();
      });
    };
    more();
    EXPECT_TRUE(run_until(io, [&] { return complete; }));
    return got;
  };
  const auto first = read();
  EXPECT_TRUE(
      run_until(io, [&] { return read().find(context->wire_id(book)) != std::string::npos; }));
  EXPECT_EQ(first.find("-MOVED"), std::string::npos);
}

TEST(RespScenarioTest, RejectsInvalidClusters) {
  const auto fault = [](const std::string& text) {
    try {
      parse_scenario(text, "t.toml");
      return std::string();
    } catch (const ScenarioError& e) {
      return std::string(e.what());
    }
  };
  EXPECT_EQ(fault(resp_scenario()), "");
  const auto with = [&](const std::string& more) { return fault(resp_scenario("", more)); };
  EXPECT_NE(
      with("[[incident]]\nwhat = \"failover\"\ncluster = \"c\"\nat_s = 1\n").find("no replica"),
      std::string::npos);
  EXPECT_NE(with("[[incident]]\nwhat = \"jam\"\ncluster = \"d\"\nat_s = 1\nfor_s = 1\n")
                .find("no cluster has the name 'd'"),
            std::string::npos);
  EXPECT_NE(fault(resp_scenario() + "[[class]]\nname = \"x\"\ncluster = \"c\"\nprefix = \"k:\"\n")
                .find("cannot be told apart"),
            std::string::npos);
  EXPECT_NE(
      fault(resp_scenario() + "[[class]]\nname = \"x\"\ncluster = \"c\"\neffect = \"keyed\"\n")
          .find("discard no repeats"),
      std::string::npos);
}

}  // namespace
}  // namespace balancer::testbed
