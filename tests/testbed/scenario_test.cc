// Tests that scenarios are checked before anything starts, and that errors name file, line, key and
// reason.
#include "testbed/model/scenario.h"

#include <filesystem>
#include <map>
#include <set>

#include "rig_harness.h"
#include "testbed/model/arrivals.h"
#include "testbed/model/scenario_generator.h"

namespace balancer::testbed {
namespace {

std::string error_of(const std::string& text) {
  try {
    parse_scenario(text, "x.toml");
  } catch (const ScenarioError& e) {
    return e.what();
  }
  return "none";
}

TEST(ScenarioTest, ParsesTheSmallScenario) {
  const Scenario s = parse_scenario(scenario_text(), "x.toml");
  EXPECT_EQ(s.hosts(), 2);
  EXPECT_EQ(s.classes[2].effect, Effect::kUnsafe);
  EXPECT_EQ(s.classes[1].window, std::chrono::seconds(5));
  EXPECT_EQ(s.rules.drain_grace, std::chrono::milliseconds(100));
}

TEST(ScenarioTest, LoadsAllShippedScenarios) {
  int n = 0;
  for (const auto& file : std::filesystem::directory_iterator(BALANCER_SCENARIOS)) {
    SCOPED_TRACE(file.path().string());
    EXPECT_NO_THROW(load_scenario(file.path()));
    ++n;
  }
  EXPECT_GE(n, 8);
}

TEST(ScenarioTest, ErrorsNameFileLineKeyAndReason) {
  const std::string good = "name = \"x\"\n[[class]]\nname = \"c\"\n[[kind]]\nname = \"k\"\n";
  EXPECT_EQ(error_of(good), "none");
  const std::vector<std::pair<std::string, std::string>> all{
      {"nane = \"x\"\n", "x.toml:1: name: is missing"},
      {"name = \"x\"\n", "x.toml:1: class: at least one is required"},
      {"name = 7\n" + good.substr(11), "x.toml:1: name: must be text"},
      {"name = \"a b\"\n" + good.substr(11),
       "x.toml:1: name: may hold letters, digits, '-', '_' and '.' only"},
      {good + "speeed = 1\n", "x.toml:6: speeed: is not known here"},
      {good + "cores = 0\n", "x.toml:6: cores: is 0; it must lie from 1 to 256"},
      {good + "cores = 1.5\n", "x.toml:6: cores: must be a whole number"},
      {good + "cores = \"two\"\n", "x.toml:6: cores: must be a whole number"},
      {good + "speed = [2, 1]\n", "x.toml:6: speed: has its ends in the wrong order"},
      {good + "speed = [1]\n", "x.toml:6: speed: must be a number or [low, high]"},
      {good + "cancel = \"some\"\n", "x.toml:6: cancel: is none of none, queued, all"},
      {good + "zones = [1, 2]\n", "x.toml:6: zones: must hold a number for each zone"},
      {good + "[load]\nrate = nan\n", "x.toml:7: rate: is nan; it must lie from 0.1 to 20000"},
      {good + "[load\n", "x.toml:6: "},
      {good + "[[incident]]\nat_s = 1\n", "x.toml:6: what: is missing"},
      {good + "[[incident]]\nwhat = \"pause\"\n",
       "x.toml:6: for_s: is missing: this incident needs a length"},
      {good + "[[incident]]\nwhat = \"pause\"\nfor_s = 1\nhost = \"h1\"\n",
       "x.toml:9: host: must be 'origin' or h0 to h0"},
      {good + "[[incident]]\nwhat = \"pause\"\nfor_s = 1\nkind = \"z\"\n",
       "x.toml:9: kind: no kind has the name 'z'"},
      {good + "[[incident]]\nwhat = \"balancer-kill\"\nbalancer = 3\n",
       "x.toml:8: balancer: must lie from 0 to 0"},
      {good + "[[incident]]\nwhat = \"demand\"\nfor_s = 1\nkind = \"k\"\n",
       "x.toml:7: what: 'demand' does not affect hosts"},
      {good + "[[incident]]\nwhat = \"pause\"\nat_s = 21\nfor_s = 1\n",
       "x.toml:8: at_s: is 21; it must lie from 0 to 20"},
      {good + "[load]\n[[load]]\n", "x.toml:7: "},
  };
  for (const auto& [text, error] : all)
    EXPECT_TRUE(error_of(text).starts_with(error))
        << "wanted " << error << "\ngot    " << error_of(text);
}

TEST(ScenarioTest, RefusesAScenarioThatNeedsTooManyDescriptors) {
  Scenario s = parse_scenario(scenario_text(), "x.toml");
  EXPECT_NO_THROW(check_machine(s, 100'000));
  try {
    check_machine(s, 200);
    FAIL();
  } catch (const ScenarioError& e) {
    EXPECT_NE(std::string(e.what()).find(std::to_string(s.descriptors())), std::string::npos)
        << e.what();
  }
}

// Parsing any bytes gives a scenario or a ScenarioError.
TEST(ScenarioTest, ParsesAnyTextToAScenarioOrAnError) {
  const std::string good = scenario_text("[[incident]]\nwhat = \"pause\"\nat_s = 1\nfor_s = 1\n");
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    Random random(seed);
    std::string text = good;
    for (std::size_t n = 1 + random.below(6); n > 0; --n) {
      const std::size_t at = random.below(text.size());
      if (random.chance(0.5)) {
        text[at] = static_cast<char>(random.below(256));
      } else if (random.chance(0.5)) {
        text.erase(at, random.below(30));
      } else {
        text.insert(at, good.substr(random.below(good.size()), random.below(40)));
      }
    }
    const std::string error = error_of(text);
    EXPECT_TRUE(error == "none" || error.starts_with("x.toml:")) << error;
  }
}

// ---- arrivals

TEST(ArrivalsTest, GivesTheSameStreamForTheSameSeed) {
  const Scenario s = parse_scenario(scenario_text(), "x.toml");
  Arrivals a(s), b(s);
  for (int i = 0; i < 1000; ++i) {
    const Wish x = a.next(), y = b.next();
    EXPECT_EQ(x.due, y.due);
    EXPECT_EQ(x.key, y.key);
    EXPECT_EQ(x.work, y.work);
    EXPECT_EQ(x.seed, y.seed);
  }
}

TEST(ArrivalsTest, FollowsTheRateOfTheScenario) {
  const Scenario s = parse_scenario(
      scenario_text("[[tenant]]\nname = \"a\"\nshare = 1\n[[tenant]]\nname = \"b\"\nshare = 1\n"
                    "[[incident]]\nwhat = \"demand\"\nat_s = 1\nfor_s = 1\nfactor = 3\n"
                    "[[incident]]\nwhat = \"burst\"\ntenant = \"b\"\nat_s = 2\nfor_s = 1\nfactor = "
                    "5\n"),
      "x.toml");
  std::map<int, int> by_second, of_b;
  std::map<std::string, int> keys;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Scenario one = s;
    one.seed = seed;
    Arrivals arrivals(one);
    for (Wish w = arrivals.next(); w.due < std::chrono::seconds(3); w = arrivals.next()) {
      const int second = static_cast<int>(seconds(w.due));
      ++by_second[second];
      of_b[second] += w.tenant;
      ++keys[w.key];
    }
  }
  EXPECT_NEAR(by_second[0], 20 * 150, 300);
  EXPECT_NEAR(by_second[1], 20 * 450, 600);
  EXPECT_NEAR(by_second[2], 20 * 450, 600);
  EXPECT_NEAR(of_b[0], by_second[0] / 2, 200);
  EXPECT_NEAR(of_b[2], by_second[2] * 5 / 6, 300);
  int most = 0, all = 0;
  for (const auto& [key, n] : keys) {
    most = std::max(most, n);
    all += n;
  }
  // With Zipf exponent 1, the first of 50 keys gets 1 / H(50) = 22% of the requests.
  EXPECT_NEAR(most, all * 0.222, all * 0.03);
}

// Every seed gives a valid scenario, with a load below the capacity of the hosts and without a
// discovery outage while hosts come and go. Over the seeds at least 20 kinds of incidents occur.
TEST(ScenarioGeneratorTest, GeneratesAValidScenarioForEverySeed) {
  std::set<What> seen;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    const std::string text = draw_scenario(seed);
    EXPECT_EQ(text, draw_scenario(seed));
    const Scenario s = parse_scenario(text, "drawn.toml");
    EXPECT_GE(s.incidents.size(), 3u);
    EXPECT_LE(s.incidents.size(), 8u);
    double can = 0;
    for (const KindSpec& k : s.kinds) can += k.count * k.host.cores * k.speed.low;
    EXPECT_LT(s.load.rate * 0.88 * 0.03, can);
    bool down = false, moves = false;
    for (const IncidentSpec& i : s.incidents) {
      seen.insert(i.what);
      down = down || i.what == What::kDiscoveryDown;
      moves = moves || i.what <= What::kReplace;
      EXPECT_LE(i.at + i.length, s.length - std::chrono::seconds(2));
    }
    EXPECT_FALSE(down && moves);
  }
  EXPECT_GE(seen.size(), 20u);
}

// The same seed gives the same choice of balancers, as many as the incident's share states.
TEST(ScenarioTest, ChoosesAffectedBalancersByShare) {
  Scenario s = parse_scenario(scenario_text("[[incident]]\nwhat = \"balancer-stop\"\nat_s = 1\n"
                                            "for_s = 1\nshare = 0.6\n",
                                            "[balancers]\ncount = 12\n"),
                              "x.toml");
  const auto struck = s.balancers_struck(s.incidents[0]);
  EXPECT_EQ(struck.size(), 8u);
  EXPECT_TRUE(std::is_sorted(struck.begin(), struck.end()));
  EXPECT_EQ(struck, s.balancers_struck(s.incidents[0]));
  std::set<std::vector<int>> choices;
  for (s.seed = 1; s.seed <= 20; ++s.seed) choices.insert(s.balancers_struck(s.incidents[0]));
  EXPECT_GT(choices.size(), 10u);
  EXPECT_THROW(
      parse_scenario(scenario_text("[[incident]]\nwhat = \"link-stall\"\nat_s = 1\n"), "x.toml"),
      ScenarioError)
      << "a stall without an end";
  EXPECT_THROW(parse_scenario(scenario_text("[[incident]]\nwhat = \"link-delay\"\nat_s = 1\n"
                                            "for_s = 1\nway = \"up\"\n"),
                              "x.toml"),
               ScenarioError);
}

}  // namespace
}  // namespace balancer::testbed
