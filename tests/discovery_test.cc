// Calls to the discovery service that end in different ways at moments chosen by the test, and
// endpoint lists of unusual form or size.
#include <fstream>

#include "node/discovery_list.h"
#include "node_harness.h"

namespace balancer::node {
namespace {

constexpr std::size_t kMaxListBytes = 1u << 20;

// How a call ends: the connection closes before, within or after the answer, or the answer stalls.
enum class End { kBeforeHead, kInHead, kInBody, kStalledInBody, kBetweenCalls };

SiteSettings site(bool is_polled) {
  simdjson::dom::parser parser;
  std::string text = test_settings();
  if (is_polled) text.replace(text.find("pushed"), 6, "on_request");
  return read_settings(parser.parse(text).get_object());
}
std::string answer(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
std::string complete_list(int seq) {
  return "{\"seq\":" + std::to_string(seq) + ",\"whole\":true,\"hosts\":[" +
         host_entry("h1", "127.0.0.1:1") + "]}";
}

// Parameters: whether lists are polled, and how the call ends.
class DiscoveryTest : public ::testing::TestWithParam<std::tuple<bool, End>> {};
INSTANTIATE_TEST_SUITE_P(Ends, DiscoveryTest,
                         ::testing::Combine(::testing::Bool(),
                                            ::testing::Values(End::kBeforeHead, End::kInHead,
                                                              End::kInBody, End::kStalledInBody,
                                                              End::kBetweenCalls)));

// After a broken call the service may have been replaced by one that numbers its versions from the
// start: a watch with the old version would never return. So the next call requests the complete
// list, which is applied although its version is lower.
TEST_P(DiscoveryTest, RequestsACompleteListAfterABrokenCall) {
  const auto [is_polled, end] = GetParam();
  asio::io_context io(1);
  std::vector<std::string> calls;
  bool has_broken = false;
  Server server(io, [&](Peer& p) {
    for (auto at = p.in.find("\r\n\r\n"); at != std::string::npos; at = p.in.find("\r\n\r\n")) {
      const std::string line = p.in.substr(0, p.in.find("\r\n"));
      p.in.erase(0, at + 4);
      calls.push_back(line);
      const bool watch = line.find("index=") != std::string::npos;
      if (!watch) {
        p.send(answer(complete_list(has_broken ? 3 : 41)));
        if (end == End::kBetweenCalls && !has_broken) {
          has_broken = true;
          p.close();
        }
        continue;
      }
      if (has_broken) continue;  // the new service is at version 3 and never reaches 41
      has_broken = true;
      const std::string text = answer(complete_list(42));
      const std::size_t head = text.find("\r\n\r\n");
      if (end == End::kInHead) p.send(text.substr(0, head / 2));
      if (end == End::kInBody || end == End::kStalledInBody) p.send(text.substr(0, head + 9));
      if (end != End::kStalledInBody) p.close();
    }
  });
  const SiteSettings settings = site(is_polled);
  std::vector<std::uint64_t> received;
  Discovery* self = nullptr;
  Discovery discovery(io, server.local(), settings, 0, 1, kMaxListBytes,
                      {[&](const HostList& list) {
                         if (list.is_complete) received.push_back(list.seq);
                         return true;
                       },
                       [&] { self->start(); }, nullptr, nullptr});
  self = &discovery;
  discovery.start();
  ASSERT_TRUE(run_until(io, [&] { return received.size() == 2; }));
  EXPECT_EQ(received, (std::vector<std::uint64_t>{41, 3}));
  EXPECT_EQ(calls.back().find("index="), std::string::npos);
  discovery.stop();
}

// A rejected call does not invalidate the version. Requesting the complete list instead would add
// to the load of a service that is already overloaded.
TEST_F(DiscoveryTest, RepeatsARejectedCallUnchanged) {
  asio::io_context io(1);
  std::vector<std::string> calls;
  Server server(io, [&](Peer& p) {
    for (auto at = p.in.find("\r\n\r\n"); at != std::string::npos; at = p.in.find("\r\n\r\n")) {
      calls.push_back(p.in.substr(0, p.in.find("\r\n")));
      p.in.erase(0, at + 4);
      if (calls.size() == 1) {
        p.send(answer(complete_list(41)));
      } else {
        p.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
      }
    }
  });
  const SiteSettings settings = site(true);
  Discovery* self = nullptr;
  Discovery discovery(
      io, server.local(), settings, 0, 1, kMaxListBytes,
      {[](const HostList&) { return true; }, [&] { self->start(); }, nullptr, nullptr});
  self = &discovery;
  discovery.start();
  ASSERT_TRUE(run_until(io, [&] { return calls.size() == 3; }));
  EXPECT_NE(calls[2].find("index=41"), std::string::npos) << calls[2];
  discovery.stop();
}

TEST_F(DiscoveryTest, IgnoresAnOlderVersion) {
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
          p.send(answer(complete_list(41)));
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
  std::vector<HostState> received;
  Discovery discovery(io, server.local(), settings, 0, 1, kMaxListBytes,
                      {[&](const HostList& list) {
                         for (const auto& h : list.hosts) received.push_back(h.state);
                         return true;
                       },
                       [] {}, nullptr, nullptr});
  discovery.start();
  ASSERT_TRUE(run_until(io, [&] { return calls == 5; }));
  EXPECT_EQ(received, (std::vector<HostState>{HostState::kServing, HostState::kDraining}));
  discovery.stop();
}

TEST_F(DiscoveryTest, SkipsInvalidEntriesAndIgnoresUnknownFields) {
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

// Endpoint lists of fleets far larger than planned, in one line or indented. Parameters: number of
// hosts, and whether the list is indented.
class LargeListTest : public ::testing::TestWithParam<std::tuple<int, bool>> {
 protected:
  static std::string list(int hosts, bool indented) {
    const std::string gap = indented ? "\n      " : "";
    const std::string space = indented ? " " : "";
    std::string text =
        "{\"seq\":" + space + "41,\"whole\":" + space + "true,\"hosts\":" + space + "[";
    for (int i = 0; i < hosts; ++i) {
      const auto field = [&](const std::string& name, const std::string& value) {
        text += gap + "\"" + name + "\":" + space + value;
      };
      const std::string number = std::to_string(10'000'000 + i);
      text += (i > 0 ? "," : "") + (indented ? std::string("\n    {") : "{");
      field("host", "\"s-" + number + "\",");
      field("dial", "\"10." + std::to_string(i >> 16) + "." + std::to_string(i >> 8 & 255) + "." +
                        std::to_string(i & 255) + ":11211\",");
      field("site", "\"a\",");
      field("class", "\"m2\",");
      field("block", std::to_string(i % 64) + ",");
      field("health", "\"ready\",");
      field("share", "1.0,");
      field("born_ms", "1790000000000");
      text += indented ? "\n    }" : "}";
    }
    return text + (indented ? "\n  ]\n}\n" : "]}");
  }
  // Sends a text that is longer than a socket's send buffer.
  static void send_long(Peer& peer, const std::string& text) {
    const auto buffer = std::make_shared<const std::string>(text);
    asio::async_write(peer.socket, asio::buffer(*buffer),
                      [buffer, self = peer.shared_from_this()](auto, auto) {});
  }
  // Returns a memory figure of this process in kB.
  static long memory(const std::string& field) {
    std::ifstream status("/proc/self/status");
    for (std::string line; std::getline(status, line);)
      if (line.starts_with(field + ":")) return std::stol(line.substr(field.size() + 1));
    return 0;
  }
};
INSTANTIATE_TEST_SUITE_P(Sizes, LargeListTest,
                         ::testing::Combine(::testing::Values(1400, 6000, 20'000),
                                            ::testing::Bool()));

TEST_P(LargeListTest, AppliesACompleteListOfManyHosts) {
  const auto [hosts, indented] = GetParam();
  const std::string body = list(hosts, indented);
  asio::io_context io(1);
  Server server(io, [&](Peer& p) {
    for (auto at = p.in.find("\r\n\r\n"); at != std::string::npos; at = p.in.find("\r\n\r\n")) {
      const bool watch = p.in.substr(0, at).find("index=") != std::string::npos;
      p.in.erase(0, at + 4);
      if (!watch) send_long(p, answer(body));
    }
  });
  const SiteSettings settings = site(false);
  std::vector<std::size_t> received;
  std::vector<std::string> lines;
  Discovery discovery(io, server.local(), settings, 0, 1, MemoryPlan(192, 1024).endpoint_list,
                      {[&](const HostList& l) {
                         received.push_back(l.hosts.size());
                         return true;
                       },
                       [] {}, nullptr, [&](const std::string& line) { lines.push_back(line); }});
  const long before = memory("VmRSS");
  const auto start = std::chrono::steady_clock::now();
  discovery.start();
  ASSERT_TRUE(run_until(io, [&] { return !received.empty() || !lines.empty(); }));
  const auto took = std::chrono::steady_clock::now() - start;
  EXPECT_EQ(received, std::vector{static_cast<std::size_t>(hosts)});
  EXPECT_EQ(lines, std::vector<std::string>{});
  RecordProperty("body_bytes", std::to_string(body.size()));
  RecordProperty("took_us", std::to_string(took / std::chrono::microseconds(1)));
  RecordProperty("peak_kb", std::to_string(memory("VmHWM") - before));
  RecordProperty("kept_kb", std::to_string(memory("VmRSS") - before));
  discovery.stop();
}

// An answer that is too long or not a list is ignored, and logged once for repeated calls.
class UnusableAnswerTest : public LargeListTest {};
INSTANTIATE_TEST_SUITE_P(Lengths, UnusableAnswerTest,
                         ::testing::Combine(::testing::Values(6000), ::testing::Bool()));

TEST_P(UnusableAnswerTest, LogsEachCauseOnce) {
  const bool states_length = std::get<1>(GetParam());
  const std::string body = list(std::get<0>(GetParam()), false);
  constexpr std::size_t kLimit = 512u << 10;
  ASSERT_GT(body.size(), kLimit);
  asio::io_context io(1);
  int calls = 0;
  Server server(io, [&](Peer& p) {
    for (auto at = p.in.find("\r\n\r\n"); at != std::string::npos; at = p.in.find("\r\n\r\n")) {
      p.in.erase(0, at + 4);
      ++calls;
      if (calls == 1) {
        p.send(answer(complete_list(1)));
      } else if (calls == 2) {
        p.close();
      } else if (calls <= 5) {
        send_long(p, states_length ? answer(body) : "HTTP/1.1 200 OK\r\n\r\n" + body);
      } else if (calls <= 7) {
        p.send(answer("{\"seq\":2"));
      } else if (calls == 8) {
        p.send(answer(complete_list(2)));
      }
    }
  });
  const SiteSettings settings = site(false);
  std::vector<std::uint64_t> received;
  std::vector<std::string> lines;
  Discovery discovery(io, server.local(), settings, 0, 1, kLimit,
                      {[&](const HostList& l) {
                         received.push_back(l.seq);
                         return true;
                       },
                       [] {}, nullptr, [&](const std::string& line) { lines.push_back(line); }});
  discovery.start();
  ASSERT_TRUE(run_until(io, [&] { return received.size() == 2; }));
  EXPECT_EQ(received, (std::vector<std::uint64_t>{1, 2}))
      << "unusable answers must leave the first list in use";
  ASSERT_EQ(lines.size(), 2u);
  const std::string size =
      states_length ? std::to_string(body.size()) + " bytes" : "unstated length";
  EXPECT_NE(lines[0].find(size), std::string::npos) << lines[0];
  EXPECT_NE(lines[0].find(std::to_string(kLimit) + " bytes"), std::string::npos) << lines[0];
  EXPECT_NE(lines[1].find("of 8 bytes is not an endpoint list"), std::string::npos) << lines[1];
  discovery.stop();
}

}  // namespace
}  // namespace balancer::node
