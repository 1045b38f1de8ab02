// The testbed program: complete rehearsals of a few seconds with the real balancer, and invalid
// input.
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "rig_harness.h"

namespace balancer::testbed {
namespace {

class RigProgramTest : public ::testing::Test {
 protected:
  void SetUp() override {
    char dir[] = "/tmp/balancer-rig-XXXXXX";
    ASSERT_NE(::mkdtemp(dir), nullptr);
    dir_ = dir;
  }
  void TearDown() override { std::filesystem::remove_all(dir_); }
  std::string write(const std::string& text) {
    std::ofstream(dir_ + "/s.toml") << text;
    return dir_ + "/s.toml";
  }
  // Runs the program and returns its exit code; stores its output in `out_`.
  int run(const std::string& arguments) {
    const std::string command =
        std::string(BALANCER_TESTBED) + " " + arguments + " >" + dir_ + "/out 2>&1";
    const int status = std::system(command.c_str());
    std::ifstream in(dir_ + "/out");
    std::ostringstream text;
    text << in.rdbuf();
    out_ = text.str();
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
  std::string rehearse() { return "rehearse " + dir_ + "/s.toml --quiet --out " + dir_ + "/r"; }
  std::string dir_, out_;
};

TEST_F(RigProgramTest, RehearsalWithRealBalancerBreaksNoRule) {
  write(
      scenario_text("[[incident]]\nwhat = \"pause\"\nhost = \"h1\"\nat_s = 1.5\nfor_s = 0.5\n"
                    "[[incident]]\nwhat = \"balancer-kill\"\nbalancer = 0\nat_s = 2\nfor_s = 0.3\n"
                    "[[incident]]\nwhat = \"balancer-restart\"\nbalancer = 1\nat_s = 1.2\n"
                    "[[incident]]\nwhat = \"balancer-reload\"\nat_s = 2.5\n",
                    "[balancers]\ncount = 2\n"));
  EXPECT_EQ(run(rehearse()), 0) << out_;
  EXPECT_NE(out_.find("requests lost 0, effects twice 0, drains 0, cold hosts 0"),
            std::string::npos)
      << out_;
  EXPECT_NE(out_.find("balancer n0: 2 start(s)"), std::string::npos) << out_;
  EXPECT_NE(out_.find("balancer n1: 2 start(s)"), std::string::npos) << out_;
  for (const char* file : {"report.json", "report.txt", "report.html", "n0.log"})
    EXPECT_GT(std::filesystem::file_size(dir_ + "/r/" + file), 0u) << file;
  EXPECT_EQ(run("report " + dir_ + "/r"), 0);
  EXPECT_NE(out_.find("requests lost 0"), std::string::npos);
}

// Faults between processes: links that stall in one direction or are reset, a balancer that is
// stopped and resumed, and half of the balancers killed and killed again during their restart.
TEST_F(RigProgramTest, FaultsBetweenProcessesBreakNoRule) {
  write(scenario_text(
      "[[incident]]\nwhat = \"link-stall\"\nway = \"to-balancer\"\nhost = \"h0\"\n"
      "share = 0.5\nat_s = 0.5\nfor_s = 1\n"
      "[[incident]]\nwhat = \"link-reset\"\nhost = \"h1\"\nfactor = 0.05\n"
      "at_s = 1\nfor_s = 1\n"
      "[[incident]]\nwhat = \"link-delay\"\nhost = \"origin\"\nfactor = 20\n"
      "at_s = 0.2\nfor_s = 1\n"
      "[[incident]]\nwhat = \"balancer-stop\"\nbalancer = 3\nat_s = 0.6\nfor_s = 1.4\n"
      "[[incident]]\nwhat = \"balancer-kill\"\nshare = 0.5\nat_s = 1.2\nfor_s = 0.3\n"
      "[[incident]]\nwhat = \"balancer-kill\"\nshare = 0.5\nat_s = 1.6\nfor_s = 0.3\n",
      "[balancers]\ncount = 4\n"));
  EXPECT_EQ(run(rehearse()), 0) << out_;
  EXPECT_NE(out_.find("requests lost 0, effects twice 0, drains 0, cold hosts 0"),
            std::string::npos)
      << out_;
  EXPECT_NE(out_.find("of all balancers together"), std::string::npos) << out_;
  EXPECT_NE(out_.find("  list calls"), std::string::npos) << out_;
}

// Returns the scenario cold-throng, shortened, with its incidents from the first seconds on.
std::string short_cold_throng() {
  std::ifstream in(BALANCER_SCENARIOS "/cold-throng.toml");
  std::ostringstream whole;
  whole << in.rdbuf();
  std::string text = whole.str();
  for (const auto& [from, to] :
       {std::pair("length_s = 20\n", "length_s = 7\n"), std::pair("at_s = 11\n", "at_s = 1\n"),
        std::pair("at_s = 12\n", "at_s = 2\n"), std::pair("at_s = 13\n", "at_s = 3\n")}) {
    const auto at = text.find(from);
    if (at == std::string::npos) {
      ADD_FAILURE() << from;
      continue;
    }
    text.replace(at, std::strlen(from), to);
  }
  return text;
}

// Twenty-four processes under a burst, with hosts that join cold and hosts that return cold. The
// work that all balancers together send to each cold host must stay within its bound.
TEST_F(RigProgramTest, FleetRespectsSlowStartOfColdHosts) {
  write(short_cold_throng());
  EXPECT_EQ(run(rehearse()), 0) << out_;
  EXPECT_NE(out_.find("cold hosts: the most that all balancers sent in one window"),
            std::string::npos)
      << out_;
  EXPECT_NE(out_.find(", cold hosts 0\n"), std::string::npos) << out_;
}

// The same with a planted defect: the balancers' configuration says that hosts start with full
// capacity.
TEST_F(RigProgramTest, DetectsFleetThatIgnoresSlowStart) {
  write(short_cold_throng());
  std::ofstream(dir_ + "/rampless")
      << "#!/bin/sh\nsed -i 's/\"startCapacity\":[0-9.]*/\"startCapacity\":1.0/' "
         "\"$ROUTER_CONFIG\" || exit 1\nexec '" BALANCER_PROGRAM "'\n";
  std::filesystem::permissions(dir_ + "/rampless", std::filesystem::perms::owner_all);
  EXPECT_EQ(run(rehearse() + " --program " + dir_ + "/rampless"), 1) << out_;
  EXPECT_EQ(out_.find(", cold hosts 0\n"), std::string::npos) << out_;
  EXPECT_NE(out_.find("was sent more than its bound"), std::string::npos) << out_;
}

TEST_F(RigProgramTest, DrawsRunnableScenario) {
  EXPECT_EQ(run("draw 7"), 0);
  const std::string first = out_;
  EXPECT_EQ(run("draw 7"), 0);
  EXPECT_EQ(out_, first) << "the same seed must give the same text";
  EXPECT_EQ(run("check " + write(out_)), 0) << out_;
  EXPECT_EQ(run("draw 0"), 2);
}

// The short form of bench/soak, whose seeds are run manually.
class SoakTest : public RigProgramTest, public ::testing::WithParamInterface<int> {};
INSTANTIATE_TEST_SUITE_P(Seeds, SoakTest, ::testing::Range(1, 5));

TEST_P(SoakTest, RepeatedRestartsBreakNoRule) {
  EXPECT_EQ(run("draw --soak " + std::to_string(GetParam())), 0);
  write(out_);
  EXPECT_EQ(run(rehearse()), 0) << out_;
}

// RESP alone, with a restarting balancer, and RESP together with memcache on the same balancers,
// while slots move and primaries fail over.
TEST_F(RigProgramTest, RehearsalsWithClustersBreakNoRule) {
  const std::string cluster =
      "[[cluster]]\nname = \"c\"\nreplicas = 1\npipeline = 8\nby_slot = true\n"
      "replica_lag_ms = 5\nslow_after_ms = 400\n";
  const std::string classes =
      "[[class]]\nname = \"cread\"\ncluster = \"c\"\nwork_ms = 0.5\naim_ms = 2000\n"
      "deadline_ms = 4000\n[[class]]\nname = \"cbook\"\ncluster = \"c\"\nwork_ms = 0.5\n"
      "aim_ms = 2000\ndeadline_ms = 4000\neffect = \"unsafe\"\n";
  const std::string incidents =
      "[[incident]]\nwhat = \"move-slots\"\ncluster = \"c\"\nat_s = 1\nfor_s = 2\nfactor = 40\n"
      "[[incident]]\nwhat = \"failover\"\ncluster = \"c\"\nat_s = 1.5\n"
      "[[incident]]\nwhat = \"failover\"\ncluster = \"c\"\nat_s = 2\nfor_s = 0.5\n"
      "[[incident]]\nwhat = \"jam\"\ncluster = \"c\"\nat_s = 2.6\nfor_s = 0.2\n";
  const std::string rest = "[rules]\nanswer_slack_ms = 400\n";
  write("name = \"t\"\nlength_s = 4\nwarm_up_s = 0\n[balancers]\ncount = 2\n" + cluster + classes +
        "[load]\nrate = 300\nkeys = 50\nretries = 2\n" + rest + incidents +
        "[[incident]]\nwhat = \"balancer-restart\"\nbalancer = 1\nat_s = 1.2\n");
  EXPECT_EQ(run(rehearse()), 0) << out_;
  EXPECT_NE(out_.find("requests lost 0, effects twice 0"), std::string::npos) << out_;
  EXPECT_NE(out_.find("balancer n1: 2 start(s)"), std::string::npos) << out_;
  write(scenario_text(classes + incidents, "[balancers]\ncount = 2\n" + cluster));
  EXPECT_EQ(run(rehearse()), 0) << out_;
  EXPECT_NE(out_.find("requests lost 0, effects twice 0"), std::string::npos) << out_;
}

// Every read misses, and the host takes 0.2 s to answer the miss, so that each origin fetch starts
// with 0.2 s less of the client's time limit.
TEST_F(RigProgramTest, FetchAfterSlowMissCarriesRemainingTime) {
  std::string text = scenario_text();
  const std::string kind = "name = \"std\"\n";
  text.insert(text.find(kind) + kind.size(), "slots = 64\nmemory_mb = 0.01\nmiss_us = 200000\n");
  write(text);
  EXPECT_EQ(run(rehearse()), 0) << out_;
  EXPECT_EQ(out_.find("told more time than is left        0 of      0,"), std::string::npos)
      << out_;
}

TEST_F(RigProgramTest, InvalidInputExitsWithTwoBeforeStart) {
  EXPECT_EQ(run("rehearse " + dir_ + "/none.toml"), 2);
  EXPECT_NE(out_.find("none.toml: cannot be read"), std::string::npos) << out_;
  write(scenario_text("[[incident]]\nwhat = \"eclipse\"\n"));
  EXPECT_EQ(run("check " + dir_ + "/s.toml"), 2);
  EXPECT_NE(out_.find("what: is none of kill"), std::string::npos) << out_;
  EXPECT_EQ(run(rehearse()), 2);
  EXPECT_FALSE(std::filesystem::exists(dir_ + "/r"));
  EXPECT_EQ(run("frobnicate"), 2);
  EXPECT_EQ(run("load " + dir_ + "/s.toml --to 10.0.0.1:1"), 2);
  write(scenario_text("", "[balancers]\ncount = 64\nsockets = 1000000\n"));
  EXPECT_EQ(run("check " + dir_ + "/s.toml"), 2);
  EXPECT_NE(out_.find("descriptors; this process may hold"), std::string::npos) << out_;
}

TEST_F(RigProgramTest, FailedBalancerStartPrintsItsLog) {
  write(scenario_text());
  std::ofstream(dir_ + "/dud") << "#!/bin/sh\necho no luck today\nexit 3\n";
  std::filesystem::permissions(dir_ + "/dud", std::filesystem::perms::owner_all);
  EXPECT_EQ(run(rehearse() + " --program " + dir_ + "/dud"), 2);
  EXPECT_NE(out_.find("no luck today"), std::string::npos) << out_;
}

TEST_F(RigProgramTest, InterruptStopsStartedProcesses) {
  std::string scenario = scenario_text();
  write(scenario.replace(scenario.find("length_s = 3"), 12, "length_s = 60"));
  const std::string folder = dir_ + "/r";
  const pid_t pid = ::fork();
  if (pid == 0) {
    const std::string file = dir_ + "/s.toml";
    ::execl(BALANCER_TESTBED, BALANCER_TESTBED, "rehearse", file.c_str(), "--quiet", "--out",
            folder.c_str(), static_cast<char*>(nullptr));
    ::_exit(127);
  }
  ASSERT_GT(pid, 0);
  const auto log = [&] {
    std::ifstream in(folder + "/n0.log");
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
  };
  for (int i = 0; i < 1500 && log().find("listening") == std::string::npos; ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  ::kill(pid, SIGINT);
  int status = 0;
  ASSERT_EQ(::waitpid(pid, &status, 0), pid);
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 2);
  EXPECT_NE(log().find("drain: begins on signal"), std::string::npos) << log();
}

}  // namespace
}  // namespace balancer::testbed
