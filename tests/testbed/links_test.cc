// Forwarding over a link between a balancer and a host, with and without link faults.
#include "testbed/servers/links.h"

#include <gtest/gtest.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <string>

namespace balancer::testbed {
namespace {

using boost::system::error_code;
using tcp = asio::ip::tcp;
using std::chrono::milliseconds;

struct LinksTest : ::testing::Test {
  LinksTest()
      : scenario(parse_scenario("name = \"l\"\n[[class]]\nname = \"c\"\n[[kind]]\nname = \"k\"\n",
                                "l.toml")),
        context(io, scenario),
        links(context, 1),
        host(io, {asio::ip::make_address("127.0.0.1"), 0}),
        near(io),
        far(io) {
    target = "127.0.0.1:" + std::to_string(host.local_endpoint().port());
  }
  static tcp::endpoint at(const std::string& dial) {
    return {asio::ip::make_address("127.0.0.1"),
            static_cast<std::uint16_t>(std::stoul(dial.substr(dial.find(':') + 1)))};
  }
  template <typename Done>
  bool until(Done&& done, Duration limit = std::chrono::seconds(20)) {
    const Time end = context.now() + limit;
    while (!done() && context.now() < end) io.run_one_for(milliseconds(10));
    return done();
  }
  void connect() {
    bool up = false, in = false;
    host.async_accept(far, [&in](const error_code& e) { in = !e; });
    near.async_connect(at(links.dial(0, target)), [&up](const error_code& e) { up = !e; });
    ASSERT_TRUE(until([&] { return up && in; }));
    near.non_blocking(true);
    far.non_blocking(true);
  }
  // Appends available bytes to `all`, and "!" once the connection has been closed or reset.
  std::string& read(tcp::socket& socket, std::string& all) {
    if (all.ends_with('!')) return all;
    char chunk[4096];
    error_code e;
    const auto n = socket.read_some(asio::buffer(chunk), e);
    all.append(chunk, n);
    if (e && e != asio::error::would_block && e != asio::error::try_again) all += "!";
    return all;
  }
  bool receives(tcp::socket& socket, const std::string& text) {
    std::string all;
    return until([&] { return read(socket, all) == text; });
  }
  void write(tcp::socket& socket, const std::string& text) {
    asio::write(socket, asio::buffer(text));
  }

  asio::io_context io{1};
  Scenario scenario;
  Context context;
  Links links;
  tcp::acceptor host;
  tcp::socket near, far;
  std::string target;
};

TEST_F(LinksTest, ForwardsBothDirectionsAndHalfCloses) {
  connect();
  write(near, "mn\r\n");
  EXPECT_TRUE(receives(far, "mn\r\n"));
  write(far, "MN\r\n");
  EXPECT_TRUE(receives(near, "MN\r\n"));
  EXPECT_EQ(links.dial(0, target), links.dial(0, target));
  EXPECT_NE(links.dial(0, target), links.dial(1, target)) << "each balancer has its own link";
  near.shutdown(tcp::socket::shutdown_send);
  EXPECT_TRUE(receives(far, "!"));
  write(far, "last");  // the other direction stays open
  EXPECT_TRUE(receives(near, "last"));
  far.close();
  EXPECT_TRUE(until([&] { return links.open() == 0; }));
}

TEST_F(LinksTest, StalledDirectionHoldsDataWhileOtherForwards) {
  connect();
  links.set(0, target, Links::Direction::kToHost, {true, Duration{0}, 0});
  write(near, "held");
  write(far, "passes");
  EXPECT_TRUE(receives(near, "passes"));
  std::string received;
  EXPECT_FALSE(until([&] { return !read(far, received).empty(); }, milliseconds(50)));
  // A change to another balancer's link has no effect here.
  links.set(1, target, Links::Direction::kBoth, {});
  EXPECT_FALSE(until([&] { return !read(far, received).empty(); }, milliseconds(20)));
  links.set(0, target, Links::Direction::kToHost, {});
  EXPECT_TRUE(receives(far, "held"));
}

TEST_F(LinksTest, ResetCutsChunkInHalf) {
  connect();
  links.set(0, target, Links::Direction::kToBalancer, {false, Duration{0}, 1});
  write(far, "0123456789");
  std::string got;
  EXPECT_TRUE(until([&] { return read(near, got).ends_with('!'); }));
  EXPECT_TRUE(got == "!" || got == "01234!") << got;  // a reset may discard data sent before it
  EXPECT_EQ(links.resets(), 1u);
  EXPECT_EQ(links.open(), 0u);
}

TEST_F(LinksTest, DelayPreservesOrder) {
  connect();
  links.set(0, target, Links::Direction::kToHost, {false, milliseconds(30), 0});
  const Time began = context.now();
  write(near, "a");
  std::string received;
  ASSERT_TRUE(until([&] { return read(far, received) == "a"; }));
  EXPECT_GE(context.now() - began, milliseconds(30));
  write(near, "b");
  links.set(0, target, Links::Direction::kToHost, {});
  write(near, "c");
  EXPECT_TRUE(until([&] { return read(far, received) == "abc"; }));
}

TEST_F(LinksTest, RefusedHostConnectionClosesClient) {
  host.close();
  bool up = false;
  near.async_connect(at(links.dial(0, target)), [&up](const error_code& e) { up = !e; });
  ASSERT_TRUE(until([&] { return up; }));
  near.non_blocking(true);
  std::string got;
  EXPECT_TRUE(until([&] { return read(near, got) == "!"; }));
  EXPECT_TRUE(until([&] { return links.open() == 0; }));
}

}  // namespace
}  // namespace balancer::testbed
