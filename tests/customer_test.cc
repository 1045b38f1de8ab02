// Random platform settings within the documented bounds, from a printed seed: the balancer starts,
// answers each request once and never repeats an unsafe one. Invalid settings are rejected with an
// error that names the field.
#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "dispatch_harness.h"

namespace balancer::node {
namespace {

class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : random_(seed) {}
  int below(int n) { return static_cast<int>(random_() % static_cast<std::uint64_t>(n)); }
  bool chance(int percent) { return below(100) < percent; }
  std::int64_t one_of(std::vector<std::int64_t> all) { return all[random_() % all.size()]; }
  // Returns a name of characters that are allowed in a request's property list.
  std::string name() {
    static constexpr std::string_view kCharacters = "abzAZ09-_.:;/@!$%&()*+?[]{}|~^#<>'`";
    std::string text;
    for (int i = 1 + below(chance(20) ? 60 : 8); i > 0; --i)
      text += kCharacters[random_() % kCharacters.size()];
    return text;
  }

 private:
  std::mt19937_64 random_;
};

struct ClassSpec {
  std::string name, semantics;
};

struct RandomSettings {
  std::string settings;
  std::vector<ClassSpec> classes;
  std::vector<std::string> tenants;
};

std::string json_string(const std::string& s) { return "\"" + s + "\""; }

RandomSettings random_platform_settings(RandomSource& d) {
  constexpr std::int64_t kMs = 1'000'000;
  RandomSettings c;
  const int uniform_kind = d.below(5);  // 0 to 2: all classes are of this kind
  std::string classes;
  std::set<std::string> names;
  for (int i = 1 + d.below(5); i > 0; --i) {
    ClassSpec k{d.name(), ""};
    if (!names.insert(k.name).second) continue;
    static const std::vector<std::string> kinds = {"read_like", "idempotency_key", "non_idempotent",
                                                   "of_a_later_version"};
    k.semantics = uniform_kind < 3 ? kinds[static_cast<std::size_t>(uniform_kind)]
                                   : kinds[static_cast<std::size_t>(d.below(4))];
    const auto deadline = d.one_of({300, 500, 1500, 3000, 60000}) * kMs;
    classes += (classes.empty() ? "" : ",") + std::string("{\"name\":") + json_string(k.name) +
               ",\"semantics\":" + json_string(k.semantics) +
               ",\"giveUp\":" + std::to_string(deadline);
    if (d.chance(80)) classes += ",\"aim\":" + std::to_string(deadline / d.one_of({1, 2, 10}));
    if (d.chance(70)) classes += ",\"keyTtl\":" + std::to_string(d.one_of({0, 1, 200, 5000}) * kMs);
    if (d.chance(70))
      classes +=
          ",\"keyScope\":" + json_string(std::vector<std::string>{
                                 "all", "zone", "cell"}[static_cast<std::size_t>(d.below(3))]);
    if (d.chance(30)) classes += ",\"worth\":0.0,\"lateWorth\":0,\"streaming\":false";
    c.classes.push_back(k);
    classes += "}";
  }
  std::string& s = c.settings;
  s = "{\"classes\":[" + classes + "]";
  if (d.chance(70)) {
    std::string tenants;
    for (int i = d.below(4); i > 0; --i) {
      c.tenants.push_back(d.name());
      tenants +=
          (tenants.empty() ? "" : ",") + std::string("{\"name\":") + json_string(c.tenants.back());
      if (d.chance(60)) tenants += ",\"quotaPerS\":" + std::string(d.chance(30) ? "0" : "50.5");
      if (d.chance(50)) tenants += ",\"share\":0.25";
      tenants += "}";
    }
    s += ",\"tenants\":[" + tenants + "]";
  }
  if (d.chance(80)) s += ",\"balancers\":" + std::to_string(d.one_of({0, 1, 2, 310}));
  if (d.chance(60)) s += ",\"localities\":[\"z\"]";
  s += ",\"kinds\":[\"std\",\"origin\"],\"specifics\":{\"mode\":\"aside\",\"originKind\":1}";
  if (d.chance(50)) s += ",\"weightSource\":\"nominal\"";
  if (d.chance(50)) s += ",\"fees\":{\"probe\":0,\"waste\":0.0},\"goal\":{}";
  if (d.chance(80)) {
    s += ",\"policyLimits\":{\"unknown\":true";
    if (d.chance(70)) s += ",\"maxAttempts\":" + std::to_string(d.one_of({1, 2, 6}));
    if (d.chance(50)) s += ",\"secondCopies\":" + std::string(d.chance(50) ? "true" : "false");
    if (d.chance(50)) s += ",\"mayProbe\":false,\"cancel\":false";
    if (d.chance(50))
      s += ",\"retryAfter\":true,\"maxRetryAfter\":" + std::to_string(d.one_of({0, 1, 2000}) * kMs);
    if (d.chance(60))
      s += ",\"connectTimeout\":" + std::to_string(d.one_of({0, 50, 150, 3000}) * kMs);
    if (d.chance(60))
      s += ",\"connIdle\":" + std::to_string(d.one_of({0, 1, 60, 15000, 86400000}) * kMs);
    if (d.chance(60)) s += ",\"streamsPerConn\":" + std::to_string(d.one_of({0, 1, 2, 32, 100000}));
    if (d.chance(60)) s += ",\"mostHeld\":" + std::to_string(d.one_of({0, 1, 1000}));
    s += "}";
  }
  if (d.chance(70)) {
    s += ",\"rules\":{\"unknown\":0";
    if (d.chance(60)) s += ",\"startCapacity\":" + std::string(d.chance(30) ? "0" : "0.16");
    if (d.chance(60)) s += ",\"warmAfter\":" + std::to_string(d.one_of({0, 22000}) * kMs);
    if (d.chance(60)) s += ",\"mustAskIn\":" + std::to_string(d.one_of({0, 10000}) * kMs);
    s += "}";
  }
  s += "}";
  return c;
}

class RandomSettingsTest : public DispatchTest,
                           public ::testing::WithParamInterface<std::uint64_t> {};
INSTANTIATE_TEST_SUITE_P(Seeds, RandomSettingsTest, ::testing::Range<std::uint64_t>(1, 61));

TEST_P(RandomSettingsTest, AnswersEachRequestOnceAndRepeatsNoUnsafeOne) {
  RandomSource d(GetParam());
  const RandomSettings random_settings = random_platform_settings(d);
  SCOPED_TRACE("seed " + std::to_string(GetParam()) + ": " + random_settings.settings);
  site = settings(random_settings.settings);
  ScriptedCache cache(io);
  ScriptedOrigin origin(io);
  std::map<std::string, int> may_have_run;
  int turn = 0;
  cache.on_command = [&](Peer& p, const std::string& id) {
    switch (++turn % 4) {
      case 0:
        return cache.answer(id, "v");
      case 1:
        return p.send("SERVER_ERROR busy\r\n");
      case 2:
        return p.close();
      default:
        cache.miss(id);
    }
  };
  std::set<std::string> repeated;
  origin.on_request = [&](Peer& p, const std::string& id) {
    if (id[0] == 'u' && may_have_run[id] > 0) repeated.insert(id);
    switch (++turn % 4) {
      case 0:
        return origin.never_ran(id);
      case 1:
        ++may_have_run[id];
        return p.close();
      default:
        ++may_have_run[id];
        origin.answer(id, "v");
    }
  };
  begin();
  apply_list({listed("h", cache.server.local()), listed("o", origin.server.local(), true)});
  int request_count = 0;
  for (int round = 0; round < 3; ++round) {
    for (const ClassSpec& k : random_settings.classes) {
      for (const bool write : {false, true}) {
        const bool safe = k.semantics == "read_like", keyed = k.semantics == "idempotency_key";
        const std::string id = std::string(safe    ? "s"
                                           : keyed ? "k"
                                                   : "u") +
                               std::to_string(++request_count);
        auto c = client();
        std::string props = " O" + id + " Pc=" + k.name;
        if (!random_settings.tenants.empty() && d.chance(70))
          props += ",t=" + random_settings.tenants[static_cast<std::size_t>(
                               d.below(static_cast<int>(random_settings.tenants.size())))];
        if (d.chance(80)) props += ",d=" + std::to_string(d.one_of({1, 200, 400}));
        if (d.chance(30)) props += ",h=" + std::to_string(d.one_of({0, 1000, 3000000}));
        if (write && keyed) props += ",k=key" + id;
        // Only classes of idempotent reads get read commands; all others get writes.
        const bool as_write = write || !safe;
        if (as_write && keyed && !write) props += ",k=key" + id;
        c->send(as_write ? "ms key 2" + props + "\r\nab\r\n" : "mg key v" + props + "\r\n");
        ASSERT_TRUE(
            wait([&] { return c->in.ends_with("\r\n") || c->closed; }, std::chrono::seconds(5)))
            << props;
        EXPECT_FALSE(c->in.empty()) << "closed without an answer: " << props;
        EXPECT_FALSE(c->in.starts_with("CLIENT_ERROR")) << props << " got " << c->in;
        if (c->in.starts_with("SERVER_ERROR busy") && !safe && !keyed) {
          EXPECT_EQ(may_have_run[id], 0) << id << " was rejected although it may have run";
        }
        const std::string first = c->in;
        c->send("mn\r\n");
        ASSERT_TRUE(wait([&] { return c->in.size() > first.size() || c->closed; }));
        if (!c->closed) {
          EXPECT_EQ(c->in, first + "MN\r\n") << "received a second answer";
        }
      }
    }
  }
  EXPECT_TRUE(repeated.empty()) << *repeated.begin() << " may have run twice";
}

// Errors in the platform's settings name the field in one line.
TEST(PlatformSettingsTest, NamesTheFieldOfEachError) {
  simdjson::dom::parser parser;
  for (const auto& [text, field] : std::vector<std::pair<std::string, std::string>>{
           {R"({})", "classes"},
           {R"({"classes":[]})", "classes"},
           {R"({"classes":7})", "classes"},
           {R"({"classes":[7]})", "classes"},
           {R"({"classes":[{"name":7}]})", "name"},
           {R"({"classes":[{"name":"a","giveUp":"soon"}]})", "giveUp"},
           {R"({"classes":[{"name":"a"}],"tenants":{}})", "tenants"},
           {R"({"classes":[{"name":"a"}],"policyLimits":{"maxAttempts":"six"}})", "maxAttempts"},
           {R"({"classes":[{"name":"a"}],"rules":{"startCapacity":"x"}})", "startCapacity"}}) {
    simdjson::dom::object o;
    ASSERT_FALSE(parser.parse(text).get(o));
    try {
      read_settings(o);
      ADD_FAILURE() << text << " was accepted";
    } catch (const std::exception& e) {
      EXPECT_NE(std::string(e.what()).find(field), std::string::npos) << text << ": " << e.what();
      EXPECT_EQ(std::string(e.what()).find('\n'), std::string::npos);
    }
  }
}

}  // namespace
}  // namespace balancer::node
