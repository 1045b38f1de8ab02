#include "net/address_set.h"

#include <gtest/gtest.h>

#include <boost/asio/ip/network_v4.hpp>
#include <random>

namespace balancer {
namespace {

namespace ip = boost::asio::ip;

TEST(AddressSetTest, ContainsNetworksAndSingleAddresses) {
  AddressSet set;
  EXPECT_TRUE(set.empty());
  EXPECT_FALSE(set.contains(ip::make_address("10.0.0.1")));
  for (const char* network : {"10.1.0.0/16", "10.1.2.0/24", "127.0.0.1", "fd00::/8", "2001:db8::1"})
    EXPECT_TRUE(set.insert(network)) << network;
  for (const char* in : {"10.1.0.0", "10.1.255.255", "127.0.0.1", "fd12::3", "2001:db8::1"})
    EXPECT_TRUE(set.contains(ip::make_address(in))) << in;
  for (const char* out : {"10.2.0.0", "10.0.255.255", "127.0.0.2", "fe00::1", "2001:db8::2", "::1"})
    EXPECT_FALSE(set.contains(ip::make_address(out))) << out;
  AddressSet all;
  EXPECT_TRUE(all.insert("0.0.0.0/0"));
  EXPECT_TRUE(all.contains(ip::make_address("1.2.3.4")));
  EXPECT_FALSE(all.contains(ip::make_address("2001:db8::1")));
}

TEST(AddressSetTest, RejectsTextThatIsNoNetwork) {
  AddressSet set;
  for (const char* bad : {"", "x", "10.0.0.0/33", "10.0.0.1/24", "10.0.0/8", "10.0.0.0/", "/8",
                          "fd00::1/8", "::/129", "10.0.0.0/8 "})
    EXPECT_FALSE(set.insert(bad)) << bad;
  EXPECT_TRUE(set.empty());
}

TEST(AddressSetTest, AgreesWithAListOfNetworksOverRandomInput) {
  for (unsigned seed = 1; seed <= 40; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937 random(seed);
    AddressSet set;
    std::vector<ip::network_v4> list;
    // Addresses differ in few leading bits, so that networks are nested and branches occur.
    const auto draw = [&random] {
      return ip::address_v4((random() % 4) << 30 | (random() % 8) << 20 | (random() & 0xff));
    };
    for (int i = 0; i < 60; ++i) {
      const auto network =
          ip::make_network_v4(draw(), static_cast<unsigned short>(random() % 33)).canonical();
      if (network.prefix_length() < 3 && random() % 8) continue;
      list.push_back(network);
      EXPECT_TRUE(set.insert(network.to_string()));
    }
    for (int i = 0; i < 2000; ++i) {
      const auto address = draw();
      bool in = false;
      for (const auto& n : list)
        in = in || ip::make_network_v4(address, n.prefix_length()).canonical() == n;
      ASSERT_EQ(set.contains(address), in) << address;
    }
  }
}

}  // namespace
}  // namespace balancer
