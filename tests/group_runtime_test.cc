// Runs one balancer as a member of a group in the test's event loop: its listeners open and close
// with its lease, and requests that it reads after the lease has expired reach no server.
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

#include "group_runtime/status.h"
#include "resp_harness.h"
#include "store/store.h"
#include "testbed/loopback/loopback_block.h"

namespace balancer::node {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

class MemberTest : public RespNodeTest {
 protected:
  void SetUp() override {
    char name[] = "/tmp/balancer-member-XXXXXX";
    ASSERT_NE(::mkdtemp(name), nullptr);
    folder = name;
    std::ofstream(folder + "/key") << std::string(64, 'a') << "\n";
  }
  void TearDown() override {
    balancer.reset();
    std::filesystem::remove_all(folder);
  }
  // A block of its own, because the member's ports are listened on only some of the time.
  testbed::LoopbackBlock addresses;
  const asio::ip::address_v4 here = addresses.address();
  // Starts the only voter of a group, which claims its address by commands.
  void start_member(const std::string& claim = "true", const std::string& release = "true",
                    const std::string& group = "") {
    cluster = std::make_unique<RespCluster>(io, 1, 0);
    port = addresses.next_port();
    const std::string command = "[\"/bin/sh\", \"-c\", \"";
    text = "[process]\nname = \"n0\"\n[[pool]]\nname = \"p\"\nseeds = [\"" + cluster->address(0) +
           "\"]\nrefresh_interval_ms = 20\n[[pool.class]]\nname = \"all\"\ncommands = [\"READ\", "
           "\"WRITE\"]\n"
           "deadline_ms = " +
           std::to_string(deadline.count()) + "\n[[listener]]\nname = \"l\"\naddress = \"" +
           here.to_string() + ":" + std::to_string(port) +
           "\"\npool = \"p\"\nservice = \"svc\"\n[group]\nlisten = " + "\"" + here.to_string() +
           ":" + std::to_string(addresses.next_port()) +
           "\"\nnetworks = [\"127.0.0.0/8\"]\nkey_file = \"" + folder + "/key\"\nfolder = \"" +
           folder + "\"\nvoters = [\"n0\"]\nlease_ms = 1500\npatience_ms = 700\nlate_ms = 5000\n" +
           group + "\n[[address]]\nname = \"svc\"\nclaim = " + command + claim +
           "\"]\nrelease = " + command + release + "\"]\n";
    limits = std::make_unique<Limits>(512, 64, 64);
    balancer =
        std::make_unique<Balancer>(io, std::nullopt, *limits, parse_operator(text, "test.toml"),
                                   [this](const std::string& line) { log.push_back(line); });
  }
  // Shuts the member down, as SIGTERM does, and lets it run until it stops or the platform could
  // kill it: kKillAfterDeadline after the longest deadline, counted from the signal.
  void drain_until_kill(const std::function<void()>& after_signal = [] {}) {
    bool is_killed = false;
    asio::steady_timer kill_timer(io, std::min(deadline, kLongestDeadline) + kKillAfterDeadline);
    kill_timer.async_wait([&](const boost::system::error_code& error) {
      if (error) return;
      is_killed = true;
      io.stop();
    });
    balancer->drain();
    after_signal();
    if (!io.stopped()) io.run();
    stopped_in_time = !is_killed;
  }
  // Returns how often the command with the side effect "echo x >> $PWD/..." has run.
  std::ptrdiff_t lines_in(const std::string& file) const {
    std::ifstream in(folder + "/" + file);
    return std::count(std::istreambuf_iterator<char>(in), {}, '\n');
  }
  bool logged(const std::string& part) const {
    return std::any_of(log.begin(), log.end(),
                       [&](const std::string& l) { return l.find(part) != std::string::npos; });
  }
  bool listens() {
    boost::system::error_code error;
    tcp::socket s(io);
    s.connect({here, port}, error);
    return !error;
  }
  std::unique_ptr<RespClient> connect() {
    return std::make_unique<RespClient>(io, Endpoint(here, port));
  }
  // Returns a client whose requests are served. Retries, because on a busy machine the lease may be
  // lost and acquired again.
  std::unique_ptr<RespClient> connect_served() {
    std::unique_ptr<RespClient> c;
    EXPECT_TRUE(wait([&] {
      if (!listens()) return false;
      c = connect();
      return c->send_and_receive({"GET", "none"}).starts_with("$-1");
    }));
    return c;
  }
  const lease::LeaseHolder& lease_holder() const {
    return *balancer->group_runtime()->group_node().lease_manager().lease_holder("svc");
  }
  // Sends a command through the status socket, as `balancer address` does.
  json ask(const std::string& line) {
    std::string answer;
    std::atomic<bool> done = false;
    std::thread status_client([&] {
      try {
        answer = group_runtime::send_status_command(folder + "/n0.sock", line);
      } catch (const std::exception& e) {
        answer = json{{"error", e.what()}}.dump();
      }
      done = true;
    });
    EXPECT_TRUE(wait([&] { return done.load(); }));
    status_client.join();
    return json::parse(answer);
  }

  // SIGKILL comes no sooner than this after the longest deadline (PROTOCOL, "Figures").
  static constexpr milliseconds kKillAfterDeadline{700}, kLongestDeadline{3000};

  std::string folder, text;
  milliseconds deadline{20000};
  bool stopped_in_time = false;
  std::uint16_t port = 0;
  std::vector<std::string> log;
};

TEST_F(MemberTest, ListensOnlyWhileItHoldsTheAddress) {
  start_member();
  EXPECT_FALSE(listens()) << "a voter that has just started without a record waits before it votes";
  auto c = connect_served();
  EXPECT_EQ(c->send_and_receive({"SET", "k", "v"}), "+OK\r\n");
  // The member renews its lease: it holds the address for several lease durations.
  const Time until = lease_holder().valid_until() + seconds(3);
  EXPECT_TRUE(wait([&] { return lease_holder().valid_until() > until; }));
  EXPECT_EQ(c->send_and_receive({"GET", "k"}), "$1\r\nv\r\n");
}

// The event loop is blocked for longer than the lease, as in a stopped process, and then reads
// requests that clients sent meanwhile. They must be rejected and reach no server.
TEST_F(MemberTest, RejectsRequestsReadAfterTheLeaseExpired) {
  start_member();
  auto c = connect_served();
  ASSERT_EQ(c->send_and_receive({"RPUSH", "k", "before"}), ":1\r\n");
  c->send(wire({"RPUSH", "k", "late"}) + wire({"GET", "other"}));
  std::this_thread::sleep_for(milliseconds(2100));
  EXPECT_TRUE(c->next().starts_with("-TRYAGAIN"));
  EXPECT_TRUE(c->next().starts_with("-TRYAGAIN"));
  EXPECT_EQ(count_runs("late"), 0);
  EXPECT_EQ(count_runs("before"), 1);
  // The member closes its clients' connections and acquires the address again.
  EXPECT_TRUE(wait([&] { return c->closed(); }));
  ASSERT_TRUE(wait([this] { return lease_holder().elections_won() >= 2 && listens(); }));
  auto again = connect_served();
  EXPECT_EQ(again->send_and_receive({"RPUSH", "k", "after"}), ":2\r\n");
}

// A request whose attempt was sent before the lease expired is answered on the client's connection.
TEST_F(MemberTest, AnswersRequestsSentBeforeTheLeaseExpired) {
  start_member();
  auto c = connect_served();
  cluster->fault = [](int, const resp::Command& command) {
    return command.size() > 2 && command[2] == "slow" ? RespCluster::Fault::kSlow
                                                      : RespCluster::Fault::kNone;
  };
  c->send(wire({"RPUSH", "k", "slow"}));
  ASSERT_TRUE(wait([this] { return count_runs("slow") == 1; }));
  std::this_thread::sleep_for(milliseconds(2100));
  EXPECT_EQ(c->next(), ":1\r\n");
  EXPECT_EQ(count_runs("slow"), 1);
}

TEST_F(MemberTest, IsNoHolderAfterTheClaimCommandFailed) {
  start_member("exit 3", "echo released >> " + std::string("$SILVERPIN_ADDRESS.done; true"));
  ASSERT_TRUE(wait([this] { return logged("claim command failed: exit code 3"); }));
  ASSERT_TRUE(
      wait([this] { return lease_holder().state() != lease::LeaseHolder::State::kHolder; }));
  std::filesystem::remove("svc.done");
}

TEST_F(MemberTest, KillsAClaimCommandThatRunsTooLong) {
  start_member("sleep 30", "true", "");
  // command_limit_ms defaults to one second; the lease may end before or after that.
  ASSERT_TRUE(wait([this] {
    return logged("claim command failed: timed out") ||
           logged("claim command failed: aborted: the address is being released") ||
           logged("claim command failed: ended by signal");
  }));
}

TEST_F(MemberTest, ReleasesTheAddressBeforeItStopsOnDrain) {
  start_member("true", "touch " + std::string("$PWD/released; true"));
  auto c = connect_served();
  ASSERT_EQ(c->send_and_receive({"SET", "k", "v"}), "+OK\r\n");
  balancer->drain();
  EXPECT_EQ(c->send_and_receive({"GET", "k"}), "$1\r\nv\r\n") << "accepted connections continue";
  EXPECT_TRUE(wait([this] { return !lease_holder().should_listen(); }));
  EXPECT_TRUE(wait([&] { return c->closed(); }));
  EXPECT_TRUE(wait([this] { return io.stopped(); }));
  std::filesystem::remove("released");
}

// The release of the address takes most of a second. The drain counts from the signal all the same:
// a request that is forwarded to a node that hangs is answered before the process can be killed. A
// second signal changes nothing.
TEST_F(MemberTest, AnswersBeforeTheKillWhileTheAddressIsReleased) {
  deadline = kLongestDeadline;
  start_member("true", "sleep 0.8");
  auto waiting = connect_served();
  cluster->fault = [](int, const resp::Command&) { return Fault::kSilent; };
  drain_until_kill([&] {
    run_for(io, milliseconds(500));
    balancer->drain();
    run_for(io, milliseconds(600));
    waiting->send(wire({"RPUSH", "k", "late"}));
  });
  EXPECT_TRUE(stopped_in_time) << "SIGKILL came before the end of the drain";
  EXPECT_EQ(waiting->next(), "-ERR failed, it may have run\r\n");
  EXPECT_EQ(count_runs("late"), 1);
}

// A connection without a request is closed while a request on it could still be answered, although
// the connections of a released address may otherwise stay for drain_ms.
TEST_F(MemberTest, ClosesIdleConnectionsInTimeWhileTheAddressIsReleased) {
  deadline = milliseconds(1000);
  start_member("true", "sleep 0.6");
  auto idle = connect_served();
  drain_until_kill([&] {
    run_for(io, deadline);
    EXPECT_TRUE(idle->closed());
  });
  EXPECT_TRUE(stopped_in_time);
}

// A release command that hangs, and so is cut off and tried again, does not delay the end. The log
// says that the address may still be claimed.
TEST_F(MemberTest, EndsInTimeAndSaysSoIfTheReleaseCommandHangs) {
  deadline = milliseconds(1000);
  start_member("true", "sleep 30");
  auto waiting = connect_served();
  cluster->fault = [](int, const resp::Command&) { return Fault::kSilent; };
  waiting->send(wire({"RPUSH", "k", "late"}));
  ASSERT_TRUE(wait([this] { return count_runs("late") == 1; }));
  drain_until_kill();
  EXPECT_TRUE(stopped_in_time) << "SIGKILL came before the end of the drain";
  EXPECT_TRUE(logged("the process ends before its release command has succeeded"));
}

// A release that fails is tried again before the process ends, although no client is connected.
TEST_F(MemberTest, RetriesAFailedReleaseBeforeItEnds) {
  start_member("true", "echo x >> " + folder + "/tries; [ $(wc -l < " + folder + "/tries) -ge 8 ]");
  connect_served();
  drain_until_kill();
  EXPECT_TRUE(stopped_in_time);
  EXPECT_EQ(lines_in("tries"), 8);
  EXPECT_FALSE(logged("may still be claimed"));
}

// All ten attempts of a release that keeps failing fit into the time before the process is killed.
TEST_F(MemberTest, FitsAllAttemptsOfAReleaseIntoTheDrain) {
  deadline = milliseconds(1000);
  start_member("true", "echo x >> " + folder + "/tries; exit 1");
  connect_served();
  drain_until_kill();
  EXPECT_TRUE(stopped_in_time);
  EXPECT_EQ(lines_in("tries"), CommandAnnouncer::kMaxReleaseAttempts);
  EXPECT_TRUE(logged("release command failed 10 times and is not retried"));
}

// After the wall clock was set back, the incarnation must still grow: the other members ignore an
// outdated incarnation. Leases do not use the wall clock.
TEST_F(MemberTest, IncarnationGrowsAfterTheWallClockWasSetBack) {
  const std::uint64_t ahead =
      static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(
                                     std::chrono::system_clock::now().time_since_epoch())
                                     .count()) +
      86'400'000;
  store::Store(folder, "group").put("life", std::to_string(ahead));
  start_member();
  connect_served();
  EXPECT_EQ(ask("status")["life"].get<std::uint64_t>(), ahead + 1);
}

TEST_F(MemberTest, StatusReportsHolderAndReasonOfEachAddress) {
  start_member();
  ASSERT_TRUE(
      wait([this] { return lease_holder().state() == lease::LeaseHolder::State::kHolder; }));
  json j = ask("status");
  EXPECT_EQ(j["name"], "n0");
  ASSERT_EQ(j["addresses"].size(), 1u);
  EXPECT_EQ(j["addresses"][0]["holder"], "n0");
  EXPECT_EQ(j["addresses"][0]["state"], "holder");
  EXPECT_EQ(j["addresses"][0]["why"], "elected");
  EXPECT_EQ(j["addresses"][0]["voters_reached"], 1);
  EXPECT_NE(group_runtime::status_text(j.dump()).find("svc"), std::string::npos);
  EXPECT_TRUE(ask("move svc").contains("error")) << "there is no other member";
  EXPECT_TRUE(ask("voters remove n0").contains("error")) << "it is the last voter";
  EXPECT_TRUE(ask("voters add nobody").contains("error"));
  EXPECT_TRUE(ask("frob").contains("error"));
  EXPECT_TRUE(ask(std::string(2000, 'x')).contains("error"));
  struct stat s {};
  ASSERT_EQ(::stat((folder + "/n0.sock").c_str(), &s), 0);
  EXPECT_EQ(s.st_mode & 0777, 0600u);
}

// A second process with the same name and folder fails at its start and reports why.
TEST_F(MemberTest, SecondProcessInTheSameFolderFailsToStart) {
  start_member();
  std::string why;
  Limits others(512, 64, 64);
  try {
    OperatorSettings second = parse_operator(text, "test.toml");
    second.group->listen = here.to_string() + ":" + std::to_string(addresses.next_port());
    Balancer other(io, std::nullopt, others, std::move(second));
  } catch (const std::exception& e) {
    why = e.what();
  }
  EXPECT_NE(why.find("another process answers there"), std::string::npos) << why;
}

// Disk full, read-only folder and similar: the member logs one line and grants no votes.
TEST_F(MemberTest, VoterWithoutUsableFolderGrantsNoVote) {
  std::filesystem::create_directory(folder + "/group.db");  // a folder where the file should be
  start_member();
  EXPECT_TRUE(logged("grants no votes")) << "logged at the start";
  run_for(io, milliseconds(4000));
  EXPECT_EQ(lease_holder().elections_won(), 0u);
  EXPECT_FALSE(listens());
  EXPECT_EQ(ask("status")["voter"]["remembers"], false);
}

TEST_F(MemberTest, ReloadKeepsTheKeysWhenTheKeyFileIsInvalid) {
  start_member();
  std::ofstream(folder + "/key") << "nonsense\n";
  try {
    balancer->reload(parse_operator(text, "test.toml"));
    FAIL() << "the key file was accepted";
  } catch (const FileError& e) {
    EXPECT_NE(std::string(e.what()).find("/key:1: "), std::string::npos) << e.what();
  }
  std::ofstream(folder + "/key") << std::string(64, 'b') << "\n" << std::string(64, 'a') << "\n";
  EXPECT_TRUE(balancer->reload(parse_operator(text, "test.toml")).empty());
  EXPECT_EQ(balancer->reload(parse_operator(text + "prefer = [\"n1\"]\n", "test.toml")),
            std::vector<std::string>{"the group of balancers"});
}

}  // namespace
}  // namespace balancer::node
