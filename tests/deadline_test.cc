// What each attempt tells its server as `d`: never more than is left to the client, whichever way
// it went before, at cache hosts and at the origin.
#include <algorithm>

#include "dispatch_harness.h"

namespace balancer::node {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kClientMs = 5000;  // what DispatchTest's clients send as `d`
constexpr milliseconds kDelay{200};       // well above what an unloaded attempt takes

// The value of `d` in a list of names and values; -1 where there is none.
std::int64_t told(const std::string& props) {
  std::size_t at = 0;
  while (at < props.size()) {
    const auto end = std::min(props.find(',', at), props.size());
    if (props.compare(at, 2, "d=") == 0) return std::stoll(props.substr(at + 2, end - at - 2));
    at = end + 1;
  }
  return -1;
}

std::string props_of_line(const std::string& line) {
  const auto at = line.rfind(" P") + 2;
  return line.substr(at, line.find(' ', at) - at);
}

std::string props_of_head(const std::string& head) {
  const auto at = head.find("X-Props: ") + 9;
  return head.substr(at, head.find("\r\n", at) - at);
}

std::int64_t in_ms(Duration d) { return std::chrono::duration_cast<milliseconds>(d).count(); }

class DeadlineTest : public DispatchTest {
 protected:
  // Lets the loop run for a while, and tells how long that was at least.
  std::int64_t pass_time() {
    const Time from = clock.now();
    run_for(io, kDelay);
    return in_ms(clock.now() - from);
  }
  // At least `passed` lies between the balancer's having the request and the attempt.
  static void expect_told(std::int64_t ms, std::int64_t passed) {
    EXPECT_GT(ms, 0);
    EXPECT_LE(ms, kClientMs - passed);
  }
  static void expect_told_at_cache(const ScriptedCache& cache, std::int64_t passed) {
    ASSERT_FALSE(cache.lines.empty());
    expect_told(told(props_of_line(cache.lines.back())), passed);
  }
  static void expect_told_at_origin(const ScriptedOrigin& origin, std::int64_t passed) {
    ASSERT_FALSE(origin.heads.empty());
    expect_told(told(props_of_head(origin.heads.back())), passed);
  }

  ScriptedCache cache{io}, second{io};
  ScriptedOrigin origin{io};
};

TEST_F(DeadlineTest, FirstAttemptAtACacheHost) {
  begin();
  list({listed("h", cache.server.local())});
  auto c = client();
  const Time from = clock.now();
  c->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return cache.saw("1"); }));
  expect_told_at_cache(cache, 0);
  // All that is left to the client, less the part of a millisecond.
  EXPECT_GE(told(props_of_line(cache.lines[0])), kClientMs - in_ms(clock.now() - from) - 1);
}

TEST_F(DeadlineTest, FirstAttemptOfAWriteAtTheOrigin) {
  begin();
  list({listed("o", origin.server.local(), true)});
  auto c = client();
  const Time from = clock.now();
  c->send(put("k", "1"));
  ASSERT_TRUE(wait([&] { return origin.saw("1"); }));
  expect_told_at_origin(origin, 0);
  EXPECT_GE(told(props_of_head(origin.heads[0])), kClientMs - in_ms(clock.now() - from) - 1);
}

TEST_F(DeadlineTest, FetchBehindAMiss) {
  begin();
  list({listed("h", cache.server.local()), listed("o", origin.server.local(), true)});
  auto c = client();
  c->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return cache.saw("1"); }));
  const auto passed = pass_time();
  cache.miss("1");
  ASSERT_TRUE(wait([&] { return origin.saw("1"); }));
  expect_told_at_origin(origin, passed);
  origin.answer("1", "v");
  ASSERT_TRUE(wait([&] { return c->in == FakeCache::value("1", "v"); }));
}

// The host's connection never comes up: its time is over first, and another host is asked.
TEST_F(DeadlineTest, BehindAConnectionThatNeverComesUp) {
  site.connect_timeout = kDelay;
  begin();
  list({listed("a", cache.server.local()), listed("o", origin.server.local(), true)});
  cache.server.hold();
  auto c = client();
  c->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return origin.saw("1"); }));
  expect_told_at_origin(origin, in_ms(kDelay) - 1);
}

// Where a connection broke the host is asked once more.
TEST_F(DeadlineTest, BehindAReset) {
  begin();
  list({listed("h", cache.server.local())});
  auto c = client();
  c->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return cache.saw("1"); }));
  const auto passed = pass_time();
  cache.from.at("1")->close();
  ASSERT_TRUE(wait([&] { return cache.lines.size() == 2; }));
  expect_told_at_cache(cache, passed);
}

// It breaks there again, and the origin is asked.
TEST_F(DeadlineTest, FetchBehindResets) {
  begin();
  list({listed("h", cache.server.local()), listed("o", origin.server.local(), true)});
  auto c = client();
  c->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return cache.saw("1"); }));
  const auto passed = pass_time();
  cache.on_command = [](Peer& p, const std::string&) { p.close(); };
  cache.from.at("1")->close();
  ASSERT_TRUE(wait([&] { return origin.saw("1"); }));
  EXPECT_EQ(cache.lines.size(), 2u);
  expect_told_at_origin(origin, passed);
}

// The origin has refused the write unrun; the next try is told the rest.
TEST_F(DeadlineTest, WriteBehindARefusal) {
  begin();
  list({listed("o", origin.server.local(), true)});
  auto c = client();
  c->send(put("k", "1"));
  ASSERT_TRUE(wait([&] { return origin.saw("1"); }));
  const auto passed = pass_time();
  origin.never_ran("1");
  ASSERT_TRUE(wait([&] { return origin.heads.size() == 2; }));
  expect_told_at_origin(origin, passed);
}

// The host has hung: after a while the module sends a second copy to the origin, while the first is
// still out.
TEST_F(DeadlineTest, SecondCopyWhileTheFirstIsOut) {
  site.policy.hedging = true;
  begin();
  list({listed("h", cache.server.local()), listed("o", origin.server.local(), true)});
  Time first_at{0}, second_at{0};
  cache.on_command = [&](Peer&, const std::string&) { first_at = clock.now(); };
  origin.on_request = [&](Peer&, const std::string&) { second_at = clock.now(); };
  auto c = client();
  c->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return origin.saw("1"); }));
  ASSERT_EQ(cache.lines.size(), 1u);
  const auto told_first = told(props_of_line(cache.lines[0]));
  const auto told_second = told(props_of_head(origin.heads[0]));
  EXPECT_GT(told_second, 0);
  EXPECT_LT(told_second, told_first);
  // Between the two writes lies what lies between the two arrivals, but for the ways there.
  EXPECT_NEAR(static_cast<double>(told_first - told_second),
              static_cast<double>(in_ms(second_at - first_at)), 100);
}

TEST_F(DeadlineTest, BehindAConnectionThatComesUpLate) {
  begin();
  list({listed("h", cache.server.local())});
  cache.server.hold();
  auto c = client();
  c->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return limits->upstreams.used() == 1; }));
  const auto passed = pass_time();
  cache.server.let();
  ASSERT_TRUE(wait([&] { return cache.saw("1"); }));
  expect_told_at_cache(cache, passed);
}

TEST_F(DeadlineTest, WriteBehindAConnectionThatComesUpLate) {
  begin();
  list({listed("o", origin.server.local(), true)});
  origin.server.hold();
  auto c = client();
  c->send(put("k", "1"));
  ASSERT_TRUE(wait([&] { return limits->upstreams.used() == 1; }));
  const auto passed = pass_time();
  origin.server.let();
  ASSERT_TRUE(wait([&] { return origin.saw("1"); }));
  expect_told_at_origin(origin, passed);
}

// Its host begins to drain before a byte has gone out, and another is chosen.
TEST_F(DeadlineTest, DecidedAnewBehindADrain) {
  begin();
  list({listed("a", cache.server.local())});
  cache.server.hold();
  auto c = client();
  c->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return limits->upstreams.used() == 1; }));
  const auto passed = pass_time();
  list({listed("a", cache.server.local(), false, HostState::kDraining),
        listed("b", second.server.local())});
  ASSERT_TRUE(wait([&] { return second.saw("1"); }));
  expect_told_at_cache(second, passed);
  EXPECT_FALSE(cache.saw("1"));
}

// With less than a millisecond left nothing can be told, and nothing is begun.
TEST_F(DeadlineTest, WithoutAMillisecondLeftNothingIsBegun) {
  begin();
  list({listed("h", cache.server.local())});
  auto c = client(), other = client();
  c->send("mg k v O1 Pc=read,t=acme,d=1\r\n");
  ASSERT_TRUE(wait([&] { return !c->in.empty(); }));
  other->send(get("k", "2"));
  ASSERT_TRUE(wait([&] { return cache.saw("2"); }));
  EXPECT_EQ(cache.ids, std::vector<std::string>{"2"});
}

// Only the value of `d` changes: no other byte, and no `d` where the client sent none.
struct Props {
  const char* sent;
  const char* before;  // what stands before the value of `d`
  const char* after;
};
class DeadlinePropsTest : public DeadlineTest, public ::testing::WithParamInterface<Props> {
 protected:
  static void expect_unchanged_but_for_d(const std::string& props) {
    const std::string before = GetParam().before, after = GetParam().after;
    if (told(GetParam().sent) < 0) {
      EXPECT_EQ(props, GetParam().sent);
      return;
    }
    ASSERT_TRUE(props.starts_with(before)) << props;
    ASSERT_TRUE(props.ends_with(after)) << props;
    const auto value = props.substr(before.size(), props.size() - before.size() - after.size());
    EXPECT_EQ(value, std::to_string(told(props)));
    expect_told(told(props), 0);
  }
};
INSTANTIATE_TEST_SUITE_P(
    Lists, DeadlinePropsTest,
    ::testing::Values(Props{"c=read,t=acme", "", ""}, Props{"d=5000,c=read", "d=", ",c=read"},
                      Props{"c=read,d=5000,t=acme", "c=read,d=", ",t=acme"},
                      Props{"c=read,t=acme,d=5000", "c=read,t=acme,d=", ""},
                      Props{"c=read,id=7,d=5000,end=d", "c=read,id=7,d=", ",end=d"},
                      Props{"c=read,id=7,xd=9", "", ""},
                      Props{"c=read,size=d=5,d=5000", "c=read,size=d=5,d=", ""}));

TEST_P(DeadlinePropsTest, AtACacheHostAndAtTheOrigin) {
  begin();
  list({listed("h", cache.server.local()), listed("o", origin.server.local(), true)});
  auto c = client();
  const std::string props = GetParam().sent;
  c->send("mg k v O1 P" + props + "\r\n");
  ASSERT_TRUE(wait([&] { return cache.saw("1"); }));
  const std::string line = cache.lines[0];
  EXPECT_TRUE(line.starts_with("mg k v O1 P")) << line;
  expect_unchanged_but_for_d(props_of_line(line));
  const auto passed = pass_time();
  cache.miss("1");
  ASSERT_TRUE(wait([&] { return origin.saw("1"); }));
  expect_unchanged_but_for_d(props_of_head(origin.heads[0]));
  if (told(props) >= 0) expect_told_at_origin(origin, passed);
}

// A key that reads like the list of names and values is not taken for it.
TEST_F(DeadlineTest, AKeyThatReadsLikeTheList) {
  begin();
  list({listed("h", cache.server.local())});
  auto c = client();
  c->send("mg Pc=read,d=5000 v O1 Pc=read,d=5000\r\n");
  ASSERT_TRUE(wait([&] { return cache.saw("1"); }));
  EXPECT_TRUE(cache.lines[0].starts_with("mg Pc=read,d=5000 v O1 Pc=read,d=")) << cache.lines[0];
}

}  // namespace
}  // namespace balancer::node
