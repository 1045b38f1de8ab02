#include "net/address_set.h"

#include <algorithm>
#include <bit>
#include <boost/asio/ip/network_v4.hpp>
#include <boost/asio/ip/network_v6.hpp>

namespace balancer {

namespace ip = boost::asio::ip;

AddressSet::Bits AddressSet::Bits::first(int n) const {
  const auto mask = [](int bits) {
    return bits <= 0 ? 0 : bits >= 64 ? ~std::uint64_t{0} : ~std::uint64_t{0} << (64 - bits);
  };
  return {high & mask(n), low & mask(n - 64)};
}

int AddressSet::Bits::common(const Bits& other) const {
  if (high != other.high) return std::countl_zero(high ^ other.high);
  return 64 + std::countl_zero(low ^ other.low);
}

AddressSet::Bits AddressSet::bits_of(const ip::address& address) {
  const auto bytes =
      (address.is_v4() ? ip::make_address_v6(ip::v4_mapped, address.to_v4()) : address.to_v6())
          .to_bytes();
  Bits bits;
  for (int i = 0; i < 8; ++i) {
    bits.high = bits.high << 8 | bytes[static_cast<std::size_t>(i)];
    bits.low = bits.low << 8 | bytes[static_cast<std::size_t>(i) + 8];
  }
  return bits;
}

bool AddressSet::insert(std::string_view network) {
  const std::string text(network);
  boost::system::error_code error;
  if (text.find('/') == std::string::npos) {
    const auto address = ip::make_address(text, error);
    if (error) return false;
    insert(bits_of(address), 128);
    return true;
  }
  if (text.find(':') == std::string::npos) {
    const auto v4 = ip::make_network_v4(text, error);
    if (error || v4.canonical() != v4) return false;
    insert(bits_of(v4.address()), 96 + v4.prefix_length());
    return true;
  }
  const auto v6 = ip::make_network_v6(text, error);
  if (error || v6.canonical() != v6) return false;
  insert(bits_of(v6.address()), v6.prefix_length());
  return true;
}

void AddressSet::insert(const Bits& bits, int length) {
  const auto add = [this](const Bits& b, int n, bool whole) {
    nodes_.push_back({b.first(n), n, whole, {kNone, kNone}});
    return static_cast<std::int32_t>(nodes_.size() - 1);
  };
  std::int32_t at = root_, above = kNone;
  bool side = false;
  const auto hang = [&](std::int32_t node) {
    if (above == kNone) {
      root_ = node;
    } else {
      nodes_[static_cast<std::size_t>(above)].child[side] = node;
    }
  };
  while (at != kNone) {
    Node& n = nodes_[static_cast<std::size_t>(at)];
    const int common = std::min({bits.common(n.bits), n.length, length});
    if (common < n.length) {
      // It branches off within this node's path, or lies above it.
      const Bits old = n.bits;
      const std::int32_t joint = add(bits, common, common == length);
      hang(joint);
      nodes_[static_cast<std::size_t>(joint)].child[old.bit(common)] = at;
      if (common < length) {
        const std::int32_t leaf = add(bits, length, true);
        nodes_[static_cast<std::size_t>(joint)].child[bits.bit(common)] = leaf;
      }
      return;
    }
    if (n.whole) return;  // all of it is in already
    if (n.length == length) {
      n.whole = true;
      return;
    }
    above = at;
    side = bits.bit(n.length);
    at = n.child[side];
  }
  hang(add(bits, length, true));
}

bool AddressSet::contains(const ip::address& address) const {
  const Bits bits = bits_of(address);
  for (std::int32_t at = root_; at != kNone;) {
    const Node& n = nodes_[static_cast<std::size_t>(at)];
    if (bits.common(n.bits) < n.length) return false;
    if (n.whole) return true;
    if (n.length >= 128) return false;
    at = n.child[bits.bit(n.length)];
  }
  return false;
}

}  // namespace balancer
