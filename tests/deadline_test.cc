// The `d` property sent with each attempt to cache hosts and the origin: it never exceeds the time
// left until the client's deadline, whatever happened to the request before.
#include <algorithm>

#include "dispatch_harness.h"

namespace balancer::node {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kClientMs = 5000;  // value of `d` that the clients of DispatchTest send
constexpr milliseconds kDelay{200};       // well above what an unloaded attempt takes

// Returns the value of `d` in a list of properties, or -1 if there is none.
std::int64_t deadline_in(const std::string& props) {
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
  // Runs the event loop for kDelay. Returns the time passed in milliseconds, rounded down.
  std::int64_t run_for_delay() {
    const Time from = clock.now();
    run_for(io, kDelay);
    return in_ms(clock.now() - from);
  }
  // Expects a deadline that leaves out the `passed` milliseconds between the arrival of the request
  // at the balancer and the attempt.
  static void expect_deadline(std::int64_t ms, std::int64_t passed) {
    EXPECT_GT(ms, 0);
    EXPECT_LE(ms, kClientMs - passed);
  }
  static void expect_deadline_at_cache(const ScriptedCache& cache, std::int64_t passed) {
    ASSERT_FALSE(cache.lines.empty());
    expect_deadline(deadline_in(props_of_line(cache.lines.back())), passed);
  }
  static void expect_deadline_at_origin(const ScriptedOrigin& origin, std::int64_t passed) {
    ASSERT_FALSE(origin.heads.empty());
    expect_deadline(deadline_in(props_of_head(origin.heads.back())), passed);
  }

  ScriptedCache cache{io}, second{io};
  ScriptedOrigin origin{io};
};

TEST_F(DeadlineTest, SendsTimeLeftWithFirstAttemptAtACacheHost) {
  begin();
  apply_list({listed("h", cache.server.local())});
  auto c = client();
  const Time from = clock.now();
  c->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return cache.saw("1"); }));
  expect_deadline_at_cache(cache, 0);
  // The complete time left, rounded down to a millisecond.
  EXPECT_GE(deadline_in(props_of_line(cache.lines[0])), kClientMs - in_ms(clock.now() - from) - 1);
}

TEST_F(DeadlineTest, SendsTimeLeftWithFirstWriteAtTheOrigin) {
  begin();
  apply_list({listed("o", origin.server.local(), true)});
  auto c = client();
  const Time from = clock.now();
  c->send(put("k", "1"));
  ASSERT_TRUE(wait([&] { return origin.saw("1"); }));
  expect_deadline_at_origin(origin, 0);
  EXPECT_GE(deadline_in(props_of_head(origin.heads[0])), kClientMs - in_ms(clock.now() - from) - 1);
}

TEST_F(DeadlineTest, SendsTimeLeftWithFetchAfterAMiss) {
  begin();
  apply_list({listed("h", cache.server.local()), listed("o", origin.server.local(), true)});
  auto c = client();
  c->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return cache.saw("1"); }));
  const auto passed = run_for_delay();
  cache.miss("1");
  ASSERT_TRUE(wait([&] { return origin.saw("1"); }));
  expect_deadline_at_origin(origin, passed);
  origin.answer("1", "v");
  ASSERT_TRUE(wait([&] { return c->in == FakeCache::value("1", "v"); }));
}

// The connection to the host is never established; after the connect time-out the request goes to
// the origin.
TEST_F(DeadlineTest, SendsTimeLeftAfterAConnectTimeout) {
  site.connect_timeout = kDelay;
  begin();
  apply_list({listed("a", cache.server.local()), listed("o", origin.server.local(), true)});
  cache.server.pause_accepting();
  auto c = client();
  c->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return origin.saw("1"); }));
  expect_deadline_at_origin(origin, in_ms(kDelay) - 1);
}

// After a reset the attempt is retried at the same host.
TEST_F(DeadlineTest, SendsTimeLeftWithRetryAfterAReset) {
  begin();
  apply_list({listed("h", cache.server.local())});
  auto c = client();
  c->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return cache.saw("1"); }));
  const auto passed = run_for_delay();
  cache.from.at("1")->close();
  ASSERT_TRUE(wait([&] { return cache.lines.size() == 2; }));
  expect_deadline_at_cache(cache, passed);
}

// The retry at the host is reset too, and the value is fetched from the origin.
TEST_F(DeadlineTest, SendsTimeLeftWithFetchAfterResets) {
  begin();
  apply_list({listed("h", cache.server.local()), listed("o", origin.server.local(), true)});
  auto c = client();
  c->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return cache.saw("1"); }));
  const auto passed = run_for_delay();
  cache.on_command = [](Peer& p, const std::string&) { p.close(); };
  cache.from.at("1")->close();
  ASSERT_TRUE(wait([&] { return origin.saw("1"); }));
  EXPECT_EQ(cache.lines.size(), 2u);
  expect_deadline_at_origin(origin, passed);
}

// The origin rejects the write without running it; the retry is sent with the remaining time.
TEST_F(DeadlineTest, SendsTimeLeftWithWriteAfterARejection) {
  begin();
  apply_list({listed("o", origin.server.local(), true)});
  auto c = client();
  c->send(put("k", "1"));
  ASSERT_TRUE(wait([&] { return origin.saw("1"); }));
  const auto passed = run_for_delay();
  origin.never_ran("1");
  ASSERT_TRUE(wait([&] { return origin.heads.size() == 2; }));
  expect_deadline_at_origin(origin, passed);
}

// The host does not answer; after a delay the policy sends a hedged request to the origin while the
// first attempt is still in flight.
TEST_F(DeadlineTest, SendsTimeLeftWithAHedgedRequest) {
  site.policy.hedging = true;
  begin();
  apply_list({listed("h", cache.server.local()), listed("o", origin.server.local(), true)});
  Time first_at{0}, second_at{0};
  cache.on_command = [&](Peer&, const std::string&) { first_at = clock.now(); };
  origin.on_request = [&](Peer&, const std::string&) { second_at = clock.now(); };
  auto c = client();
  c->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return origin.saw("1"); }));
  ASSERT_EQ(cache.lines.size(), 1u);
  const auto first_deadline = deadline_in(props_of_line(cache.lines[0]));
  const auto second_deadline = deadline_in(props_of_head(origin.heads[0]));
  EXPECT_GT(second_deadline, 0);
  EXPECT_LT(second_deadline, first_deadline);
  // The two deadlines differ by the time between the two writes, which is about that between the
  // two arrivals.
  EXPECT_NEAR(static_cast<double>(first_deadline - second_deadline),
              static_cast<double>(in_ms(second_at - first_at)), 100);
}

TEST_F(DeadlineTest, SendsTimeLeftAfterASlowConnect) {
  begin();
  apply_list({listed("h", cache.server.local())});
  cache.server.pause_accepting();
  auto c = client();
  c->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return limits->upstreams.used() == 1; }));
  const auto passed = run_for_delay();
  cache.server.resume_accepting();
  ASSERT_TRUE(wait([&] { return cache.saw("1"); }));
  expect_deadline_at_cache(cache, passed);
}

TEST_F(DeadlineTest, SendsTimeLeftWithWriteAfterASlowConnect) {
  begin();
  apply_list({listed("o", origin.server.local(), true)});
  origin.server.pause_accepting();
  auto c = client();
  c->send(put("k", "1"));
  ASSERT_TRUE(wait([&] { return limits->upstreams.used() == 1; }));
  const auto passed = run_for_delay();
  origin.server.resume_accepting();
  ASSERT_TRUE(wait([&] { return origin.saw("1"); }));
  expect_deadline_at_origin(origin, passed);
}

// The host starts draining before a byte of the attempt has been sent, and another host is chosen.
TEST_F(DeadlineTest, SendsTimeLeftWhenReroutedAfterADrain) {
  begin();
  apply_list({listed("a", cache.server.local())});
  cache.server.pause_accepting();
  auto c = client();
  c->send(get("k", "1"));
  ASSERT_TRUE(wait([&] { return limits->upstreams.used() == 1; }));
  const auto passed = run_for_delay();
  apply_list({listed("a", cache.server.local(), false, HostState::kDraining),
              listed("b", second.server.local())});
  ASSERT_TRUE(wait([&] { return second.saw("1"); }));
  expect_deadline_at_cache(second, passed);
  EXPECT_FALSE(cache.saw("1"));
}

// No attempt is started with less than a millisecond left, as `d` would be 0.
TEST_F(DeadlineTest, StartsNoAttemptWithLessThanAMillisecondLeft) {
  begin();
  apply_list({listed("h", cache.server.local())});
  auto c = client(), other = client();
  c->send("mg k v O1 Pc=read,t=acme,d=1\r\n");
  ASSERT_TRUE(wait([&] { return !c->in.empty(); }));
  other->send(get("k", "2"));
  ASSERT_TRUE(wait([&] { return cache.saw("2"); }));
  EXPECT_EQ(cache.ids, std::vector<std::string>{"2"});
}

// The balancer changes only the value of `d`: every other byte is kept, and no `d` is added if the
// client sent none.
struct Props {
  const char* sent;
  const char* before;  // text before the value of `d`
  const char* after;   // text after the value of `d`
};
class DeadlinePropsTest : public DeadlineTest, public ::testing::WithParamInterface<Props> {
 protected:
  static void expect_unchanged_but_for_d(const std::string& props) {
    const std::string before = GetParam().before, after = GetParam().after;
    if (deadline_in(GetParam().sent) < 0) {
      EXPECT_EQ(props, GetParam().sent);
      return;
    }
    ASSERT_TRUE(props.starts_with(before)) << props;
    ASSERT_TRUE(props.ends_with(after)) << props;
    const auto value = props.substr(before.size(), props.size() - before.size() - after.size());
    EXPECT_EQ(value, std::to_string(deadline_in(props)));
    expect_deadline(deadline_in(props), 0);
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

TEST_P(DeadlinePropsTest, ChangesOnlyTheDeadline) {
  begin();
  apply_list({listed("h", cache.server.local()), listed("o", origin.server.local(), true)});
  auto c = client();
  const std::string props = GetParam().sent;
  c->send("mg k v O1 P" + props + "\r\n");
  ASSERT_TRUE(wait([&] { return cache.saw("1"); }));
  const std::string line = cache.lines[0];
  EXPECT_TRUE(line.starts_with("mg k v O1 P")) << line;
  expect_unchanged_but_for_d(props_of_line(line));
  const auto passed = run_for_delay();
  cache.miss("1");
  ASSERT_TRUE(wait([&] { return origin.saw("1"); }));
  expect_unchanged_but_for_d(props_of_head(origin.heads[0]));
  if (deadline_in(props) >= 0) expect_deadline_at_origin(origin, passed);
}

// A key that looks like a list of properties is not parsed as one.
TEST_F(DeadlineTest, ReadsNoDeadlineFromAKeyThatLooksLikeProperties) {
  begin();
  apply_list({listed("h", cache.server.local())});
  auto c = client();
  c->send("mg Pc=read,d=5000 v O1 Pc=read,d=5000\r\n");
  ASSERT_TRUE(wait([&] { return cache.saw("1"); }));
  EXPECT_TRUE(cache.lines[0].starts_with("mg Pc=read,d=5000 v O1 Pc=read,d=")) << cache.lines[0];
}

}  // namespace
}  // namespace balancer::node
