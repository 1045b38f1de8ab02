// What passes a link between a balancer and a host, and what a trouble makes of it.
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
  // What has come there so far; "!" behind it where the connection has ended, by a reset or not.
  std::string& read(tcp::socket& socket, std::string& all) {
    if (all.ends_with('!')) return all;
    char piece[4096];
    error_code e;
    const auto n = socket.read_some(asio::buffer(piece), e);
    all.append(piece, n);
    if (e && e != asio::error::would_block && e != asio::error::try_again) all += "!";
    return all;
  }
  bool comes(tcp::socket& socket, const std::string& text) {
    std::string all;
    return until([&] { return read(socket, all) == text; });
  }
  void say(tcp::socket& socket, const std::string& text) {
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

TEST_F(LinksTest, PassesBothWaysAndEnds) {
  connect();
  say(near, "mn\r\n");
  EXPECT_TRUE(comes(far, "mn\r\n"));
  say(far, "MN\r\n");
  EXPECT_TRUE(comes(near, "MN\r\n"));
  EXPECT_EQ(links.dial(0, target), links.dial(0, target));
  EXPECT_NE(links.dial(0, target), links.dial(1, target)) << "each balancer has its own";
  near.shutdown(tcp::socket::shutdown_send);
  EXPECT_TRUE(comes(far, "!"));
  say(far, "last");  // the other direction lives on
  EXPECT_TRUE(comes(near, "last"));
  far.close();
  EXPECT_TRUE(until([&] { return links.open() == 0; }));
}

TEST_F(LinksTest, AStalledDirectionHoldsWhatItHasAndTheOtherPasses) {
  connect();
  links.set(0, target, Links::Way::kToHost, {true, Duration{0}, 0});
  say(near, "held");
  say(far, "passes");
  EXPECT_TRUE(comes(near, "passes"));
  std::string there;
  EXPECT_FALSE(until([&] { return !read(far, there).empty(); }, milliseconds(50)));
  // Of another balancer: no effect here.
  links.set(1, target, Links::Way::kBoth, {});
  EXPECT_FALSE(until([&] { return !read(far, there).empty(); }, milliseconds(20)));
  links.set(0, target, Links::Way::kToHost, {});
  EXPECT_TRUE(comes(far, "held"));
}

TEST_F(LinksTest, BreaksOffInTheMiddleOfAPiece) {
  connect();
  links.set(0, target, Links::Way::kToBalancer, {false, Duration{0}, 1});
  say(far, "0123456789");
  std::string got;
  EXPECT_TRUE(until([&] { return read(near, got).ends_with('!'); }));
  EXPECT_TRUE(got == "!" || got == "01234!") << got;  // a reset may overtake what came before it
  EXPECT_EQ(links.resets(), 1u);
  EXPECT_EQ(links.open(), 0u);
}

TEST_F(LinksTest, ADelayKeepsTheOrderOfWhatPasses) {
  connect();
  links.set(0, target, Links::Way::kToHost, {false, milliseconds(30), 0});
  const Time began = context.now();
  say(near, "a");
  std::string there;
  ASSERT_TRUE(until([&] { return read(far, there) == "a"; }));
  EXPECT_GE(context.now() - began, milliseconds(30));
  say(near, "b");
  links.set(0, target, Links::Way::kToHost, {});
  say(near, "c");
  EXPECT_TRUE(until([&] { return read(far, there) == "abc"; }));
}

TEST_F(LinksTest, AHostThatTakesNothingShowsAsAnEnd) {
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
