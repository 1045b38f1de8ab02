// Watches that end in every way, at the moment that the test decides.
#include <fstream>

#include "node/discovery_list.h"
#include "node_harness.h"

namespace balancer::node {
namespace {

constexpr std::size_t kMaxListBytes = 1u << 20;

enum class End { kBeforeTheHead, kInTheHead, kInTheBody, kSilentInTheBody, kBetweenCalls };

SiteSettings site(bool asked) {
  simdjson::dom::parser parser;
  std::string text = test_settings();
  if (asked) text.replace(text.find("pushed"), 6, "on_request");
  return read_settings(parser.parse(text).get_object());
}
std::string answer(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
std::string whole(int seq) {
  return "{\"seq\":" + std::to_string(seq) + ",\"whole\":true,\"hosts\":[" +
         host_entry("h1", "127.0.0.1:1") + "]}";
}

// `asked`: whether lists must be asked for.
class DiscoveryCrossingTest : public ::testing::TestWithParam<std::tuple<bool, End>> {};
INSTANTIATE_TEST_SUITE_P(
    Ends, DiscoveryCrossingTest,
    ::testing::Combine(::testing::Bool(),
                       ::testing::Values(End::kBeforeTheHead, End::kInTheHead, End::kInTheBody,
                                         End::kSilentInTheBody, End::kBetweenCalls)));

// The service may be another behind it and count its versions anew: a watch that names the old
// version would wait for ever. So the next call asks for the whole list, and that counts.
TEST_P(DiscoveryCrossingTest, RequestsACompleteListAfterEachEnd) {
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
  Discovery discovery(io, server.local(), settings, 0, 1, kMaxListBytes,
                      {[&](const HostList& list) {
                         if (list.whole) heard.push_back(list.seq);
                       },
                       [&] { self->start(); }, nullptr, nullptr});
  self = &discovery;
  discovery.start();
  ASSERT_TRUE(run_until(io, [&] { return heard.size() == 2; }));
  EXPECT_EQ(heard, (std::vector<std::uint64_t>{41, 3}));
  EXPECT_EQ(calls.back().find("index="), std::string::npos);
  discovery.stop();
}

// A call that is turned away in order says nothing against the version: a whole list for everybody
// would be the dearer, the fuller the service is.
TEST_F(DiscoveryCrossingTest, RepeatsARejectedCallUnchanged) {
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
  Discovery discovery(io, server.local(), settings, 0, 1, kMaxListBytes,
                      {[](const HostList&) {}, [&] { self->start(); }, nullptr, nullptr});
  self = &discovery;
  discovery.start();
  ASSERT_TRUE(run_until(io, [&] { return calls.size() == 3; }));
  EXPECT_NE(calls[2].find("index=41"), std::string::npos) << calls[2];
  discovery.stop();
}

TEST_F(DiscoveryCrossingTest, IgnoresAnOlderVersion) {
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
  Discovery discovery(io, server.local(), settings, 0, 1, kMaxListBytes,
                      {[&](const HostList& list) {
                         for (const auto& h : list.hosts) heard.push_back(h.state);
                       },
                       [] {}, nullptr, nullptr});
  discovery.start();
  ASSERT_TRUE(run_until(io, [&] { return calls == 5; }));
  EXPECT_EQ(heard, (std::vector<HostState>{HostState::kServing, HostState::kDraining}));
  discovery.stop();
}

TEST_F(DiscoveryCrossingTest, AppliesOddLists) {
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

// Lists of fleets far larger than the one that is planned, written in one line or indented.
class LargeList : public ::testing::TestWithParam<std::tuple<int, bool>> {
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
  // A body that is longer than what the system holds for a socket.
  static void send_long(Peer& peer, const std::string& text) {
    const auto kept = std::make_shared<const std::string>(text);
    asio::async_write(peer.socket, asio::buffer(*kept),
                      [kept, self = peer.shared_from_this()](auto, auto) {});
  }
  // In kB, of this process.
  static long memory(const std::string& field) {
    std::ifstream status("/proc/self/status");
    for (std::string line; std::getline(status, line);)
      if (line.starts_with(field + ":")) return std::stol(line.substr(field.size() + 1));
    return 0;
  }
};
INSTANTIATE_TEST_SUITE_P(Sizes, LargeList,
                         ::testing::Combine(::testing::Values(1400, 6000, 20'000),
                                            ::testing::Bool()));

TEST_P(LargeList, IsTakenWhole) {
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
  std::vector<std::size_t> heard;
  std::vector<std::string> lines;
  Discovery discovery(io, server.local(), settings, 0, 1, max_list_bytes(192),
                      {[&](const HostList& l) { heard.push_back(l.hosts.size()); }, [] {}, nullptr,
                       [&](const std::string& line) { lines.push_back(line); }});
  const long before = memory("VmRSS");
  const auto begun = std::chrono::steady_clock::now();
  discovery.start();
  ASSERT_TRUE(run_until(io, [&] { return !heard.empty() || !lines.empty(); }));
  const auto took = std::chrono::steady_clock::now() - begun;
  EXPECT_EQ(heard, std::vector{static_cast<std::size_t>(hosts)});
  EXPECT_EQ(lines, std::vector<std::string>{});
  RecordProperty("body_bytes", std::to_string(body.size()));
  RecordProperty("took_us", std::to_string(took / std::chrono::microseconds(1)));
  RecordProperty("peak_kb", std::to_string(memory("VmHWM") - before));
  RecordProperty("kept_kb", std::to_string(memory("VmRSS") - before));
  discovery.stop();
}

// What is too long, or no list, changes nothing, and is said in one line for all of its tries.
class UselessAnswer : public LargeList {};
INSTANTIATE_TEST_SUITE_P(Lengths, UselessAnswer,
                         ::testing::Combine(::testing::Values(6000), ::testing::Bool()));

TEST_P(UselessAnswer, IsLoggedOnceForEachCause) {
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
        p.send(answer(whole(1)));
      } else if (calls == 2) {
        p.close();
      } else if (calls <= 5) {
        send_long(p, states_length ? answer(body) : "HTTP/1.1 200 OK\r\n\r\n" + body);
      } else if (calls <= 7) {
        p.send(answer("{\"seq\":2"));
      } else if (calls == 8) {
        p.send(answer(whole(2)));
      }
    }
  });
  const SiteSettings settings = site(false);
  std::vector<std::uint64_t> heard;
  std::vector<std::string> lines;
  Discovery discovery(io, server.local(), settings, 0, 1, kLimit,
                      {[&](const HostList& l) { heard.push_back(l.seq); }, [] {}, nullptr,
                       [&](const std::string& line) { lines.push_back(line); }});
  discovery.start();
  ASSERT_TRUE(run_until(io, [&] { return heard.size() == 2; }));
  EXPECT_EQ(heard, (std::vector<std::uint64_t>{1, 2}))
      << "the tries between leave the first in force";
  ASSERT_EQ(lines.size(), 2u);
  const std::string size =
      states_length ? std::to_string(body.size()) + " bytes" : "unstated length";
  EXPECT_NE(lines[0].find(size), std::string::npos) << lines[0];
  EXPECT_NE(lines[0].find(std::to_string(kLimit) + " bytes"), std::string::npos) << lines[0];
  EXPECT_NE(lines[1].find("of 8 bytes is no list"), std::string::npos) << lines[1];
  discovery.stop();
}

}  // namespace
}  // namespace balancer::node
