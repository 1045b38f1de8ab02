// A request whose id comes again: after its client has left, after its answer, behind the window in
// which hosts discard repeats. An effect must not happen twice. For an upgrade see
// HotRestartTest.RunsNoBookingTwiceWhoseIdComesAgainAtTheOtherProcess.
#include <algorithm>

#include "dispatch_harness.h"

namespace balancer::node {
namespace {

using std::chrono::milliseconds;

class RepeatedIdTest : public DispatchTest, public ::testing::WithParamInterface<int> {
 protected:
  void SetUp() override {
    begin();
    apply_list({listed("h", cache.server.local()), listed("o", origin.server.local(), true)});
  }
  // The test's parameter chooses the class: 0 is not idempotent, 1 has an idempotency key.
  std::string write(const std::string& id) const {
    return put("k", id, 2, (GetParam() == 0 ? "c=book,k=key-" : "c=save,k=key-") + id);
  }
  int runs(const std::string& id) const {
    return static_cast<int>(std::count(origin.ids.begin(), origin.ids.end(), id));
  }
  // Sends the request again from a new client, and returns that client's answer.
  std::string send_again(const std::string& id) {
    auto c = client();
    c->send(write(id));
    run_until(io, [&] { return !c->in.empty() || c->closed || runs(id) > 1; });
    return c->in;
  }
  // Waits until the hosts no longer discard repeats.
  void wait_for_the_end_of_the_window() { run_for(io, milliseconds(400)); }

  ScriptedCache cache{io};
  ScriptedOrigin origin{io};
};
INSTANTIATE_TEST_SUITE_P(Classes, RepeatedIdTest, ::testing::Values(0, 1));

TEST_P(RepeatedIdTest, DoesNotRunAgainAfterItsClientHasLeft) {
  auto c = client();
  c->send(write("1"));
  ASSERT_TRUE(wait([&] { return runs("1") == 1; }));
  ASSERT_TRUE(disconnect_client(c));
  origin.answer("1", "r-1");
  wait_for_the_end_of_the_window();
  const std::string answer = send_again("1");
  EXPECT_EQ(runs("1"), 1);
  EXPECT_TRUE(answer.starts_with("CLIENT_ERROR")) << answer;
}

TEST_P(RepeatedIdTest, DoesNotRunAgainAfterItsAnswer) {
  origin.on_request = [&](Peer&, const std::string& id) { origin.answer(id, "r-1"); };
  auto c = client();
  c->send(write("1"));
  ASSERT_TRUE(wait([&] { return !c->in.empty(); }));
  wait_for_the_end_of_the_window();
  const std::string answer = send_again("1");
  EXPECT_EQ(runs("1"), 1);
  EXPECT_TRUE(answer.starts_with("CLIENT_ERROR")) << answer;
}

TEST_P(RepeatedIdTest, DoesNotRunAgainAfterItsConnectionBroke) {
  auto c = client();
  c->send(write("1"));
  ASSERT_TRUE(wait([&] { return runs("1") == 1; }));
  ASSERT_TRUE(disconnect_client(c));
  origin.from.at("1")->close();
  wait_for_the_end_of_the_window();
  send_again("1");
  EXPECT_EQ(runs("1"), 1);
}

// An id that was refused before anything ran may come again.
TEST_P(RepeatedIdTest, RunsAfterAnAttemptThatNeverRan) {
  origin.on_request = [&](Peer&, const std::string& id) {
    if (runs(id) == 1) return origin.never_ran(id);
    origin.answer(id, "r-1");
  };
  auto c = client();
  c->send(write("1"));
  ASSERT_TRUE(wait([&] { return !c->in.empty(); }));
  EXPECT_EQ(runs("1"), 2) << "the balancer itself repeats a write that never ran";
}

// Ids of reads are not remembered.
TEST_P(RepeatedIdTest, ServesAReadAgain) {
  cache.on_command = [&](Peer&, const std::string& id) { cache.answer(id, "v"); };
  auto c = client();
  for (int i = 0; i < 2; ++i) {
    c->in.clear();
    c->send(get("k", "7"));
    ASSERT_TRUE(wait([&] { return !c->in.empty(); }));
    EXPECT_TRUE(c->in.starts_with("VA ")) << c->in;
  }
}

}  // namespace
}  // namespace balancer::node
