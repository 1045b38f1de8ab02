// Watches that end in every way, at the moment that the test decides.
#include "node/discovery_list.h"
#include "node_harness.h"

namespace silverpin::node {
namespace {

enum class End { kBeforeTheHead, kInTheHead, kInTheBody, kSilentInTheBody, kBetweenCalls };

// `asked`: whether lists must be asked for.
class DiscoveryCrossing : public ::testing::TestWithParam<std::tuple<bool, End>> {
 protected:
  static SiteSettings site(bool asked) {
    simdjson::dom::parser parser;
    std::string text = test_settings();
    if (asked) text.replace(text.find("pushed"), 6, "on_request");
    return read_settings(parser.parse(text).get_object());
  }
  static std::string answer(const std::string& body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  static std::string whole(int seq) {
    return "{\"seq\":" + std::to_string(seq) + ",\"whole\":true,\"hosts\":[" +
           host_entry("h1", "127.0.0.1:1") + "]}";
  }
};
INSTANTIATE_TEST_SUITE_P(
    Ends, DiscoveryCrossing,
    ::testing::Combine(::testing::Bool(),
                       ::testing::Values(End::kBeforeTheHead, End::kInTheHead, End::kInTheBody,
                                         End::kSilentInTheBody, End::kBetweenCalls)));

// The service may be another behind it and count its versions anew: a watch that names the old
// version would wait for ever. So the next call asks for the whole list, and that counts.
TEST_P(DiscoveryCrossing, EachEndIsFollowedByAWholeList) {
  const auto [asked, end] = GetParam();
  asio::io_context io(1);
  std::vector<std::string> calls;
  bool broke = false;
  Server server(io, [&](Peer& p) {
    for (auto at = p.in.find("\r\n\r\n"); at != std::string::npos; at = p.in.find("\r\n\r\n")) {
      const std::string line = p.in.substr(0, p.in.find("\r\n"));
      p.in.erase(0, at + 4);
      calls.push_back(line);
      const bool watch = line.find("index=") != std::string::npos;
      if (!watch) {
        p.send(answer(whole(broke ? 3 : 41)));
        if (end == End::kBetweenCalls && !broke) {
          broke = true;
          p.close();
        }
        continue;
      }
      if (broke) continue;  // the new service knows of no version 41, and of nothing newer than 3
      broke = true;
      const std::string text = answer(whole(42));
      const std::size_t head = text.find("\r\n\r\n");
      if (end == End::kInTheHead) p.send(text.substr(0, head / 2));
      if (end == End::kInTheBody || end == End::kSilentInTheBody) p.send(text.substr(0, head + 9));
      if (end != End::kSilentInTheBody) p.close();
    }
  });
  const SiteSettings settings = site(asked);
  std::vector<std::uint64_t> heard;
  Discovery* self = nullptr;
  Discovery discovery(io, server.local(), settings, 0, 1,
                      {[&](const HostList& list) {
                         if (list.whole) heard.push_back(list.seq);
                       },
                       [&] { self->subscribe(); }, nullptr});
  self = &discovery;
  asked ? discovery.subscribe() : discovery.start();
  ASSERT_TRUE(run_until(io, [&] { return heard.size() == 2; }));
  EXPECT_EQ(heard, (std::vector<std::uint64_t>{41, 3}));
  EXPECT_EQ(calls.back().find("index="), std::string::npos);
  discovery.stop();
}

// A call that is turned away in order says nothing against the version: a whole list for everybody
// would be the dearer, the fuller the service is.
TEST_F(DiscoveryCrossing, ACallThatIsTurnedAwayIsRepeatedAsItWas) {
  asio::io_context io(1);
  std::vector<std::string> calls;
  Server server(io, [&](Peer& p) {
    for (auto at = p.in.find("\r\n\r\n"); at != std::string::npos; at = p.in.find("\r\n\r\n")) {
      calls.push_back(p.in.substr(0, p.in.find("\r\n")));
      p.in.erase(0, at + 4);
      if (calls.size() == 1) {
        p.send(answer(whole(41)));
      } else {
        p.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
      }
    }
  });
  const SiteSettings settings = site(true);
  Discovery* self = nullptr;
  Discovery discovery(io, server.local(), settings, 0, 1,
                      {[](const HostList&) {}, [&] { self->subscribe(); }, nullptr});
  self = &discovery;
  discovery.subscribe();
  ASSERT_TRUE(run_until(io, [&] { return calls.size() == 3; }));
  EXPECT_NE(calls[2].find("index=41"), std::string::npos) << calls[2];
  discovery.stop();
}

TEST_F(DiscoveryCrossing, AnOlderVersionChangesNothing) {
  asio::io_context io(1);
  int calls = 0;
  const auto changes = [](int seq, const std::string& health) {
    return "{\"seq\":" + std::to_string(seq) + ",\"whole\":false,\"hosts\":[" +
           host_entry("h1", "127.0.0.1:1", "std", health) + "]}";
  };
  Server server(io, [&](Peer& p) {
    for (auto at = p.in.find("\r\n\r\n"); at != std::string::npos; at = p.in.find("\r\n\r\n")) {
      p.in.erase(0, at + 4);
      switch (++calls) {
        case 1:
          p.send(answer(whole(41)));
          break;
        case 2:
          p.send(answer(changes(43, "draining")));
          break;
        case 3:
          p.send(answer(changes(42, "ready")));
          break;
        case 4:
          p.send(answer(changes(43, "ready")));
          break;
        default:
          break;
      }
    }
  });
  const SiteSettings settings = site(false);
  std::vector<HostState> heard;
  Discovery discovery(io, server.local(), settings, 0, 1,
                      {[&](const HostList& list) {
                         for (const auto& h : list.hosts) heard.push_back(h.state);
                       },
                       [] {}, nullptr});
  discovery.start();
  ASSERT_TRUE(run_until(io, [&] { return calls == 5; }));
  EXPECT_EQ(heard, (std::vector<HostState>{HostState::kServing, HostState::kDraining}));
  discovery.stop();
}

TEST_F(DiscoveryCrossing, OddListsAreHeard) {
  simdjson::dom::parser parser;
  const std::string text =
      "\n { \"later\" : [ 1, {\"x\":null} ],\t\"seq\" : 41 ,\r\n \"whole\":true, \"hosts\" : [\n"
      "  {\"host\":\"a\",\"dial\":\"127.0.0.1:1\",\"health\":\"ready\",\"new\":{\"y\":[]}},\n"
      "  {\"host\":\"a\",\"dial\":\"127.0.0.1:2\",\"health\":\"draining\"},\n"
      "  {\"host\":\"\",\"dial\":\"127.0.0.1:3\",\"health\":\"ready\"},\n"
      "  {\"host\":\"b\",\"dial\":\"nowhere\",\"health\":\"ready\"}, 7 ] } \n";
  simdjson::dom::object o;
  ASSERT_FALSE(parser.parse(text).get(o));
  const HostList list = read_host_list(o, site(false));
  ASSERT_EQ(list.hosts.size(), 2u);
  EXPECT_EQ(list.hosts[0].state, HostState::kServing);
  EXPECT_EQ(list.hosts[1].state, HostState::kDraining);
  EXPECT_EQ(list.hosts[1].id, "a");
}

}  // namespace
}  // namespace silverpin::node
