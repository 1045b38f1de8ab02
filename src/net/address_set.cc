#include "net/address_set.h"

#include <algorithm>
#include <bit>
#include <boost/asio/ip/network_v4.hpp>
#include <boost/asio/ip/network_v6.hpp>

namespace balancer {

namespace ip = boost::asio::ip;

AddressSet::Bits AddressSet::Bits::prefix(int n) const {
  const auto mask = [](int bits) {
    return bits <= 0 ? 0 : bits >= 64 ? ~std::uint64_t{0} : ~std::uint64_t{0} << (64 - bits);
  };
  return {high & mask(n), low & mask(n - 64)};
}

int AddressSet::Bits::common_prefix(const Bits& other) const {
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

std::int32_t AddressSet::add_node(const Bits& bits, int length, bool is_network) {
  nodes_.push_back({bits.prefix(length), length, is_network, {kNone, kNone}});
  return static_cast<std::int32_t>(nodes_.size() - 1);
}

void AddressSet::insert(const Bits& bits, int length) {
  std::int32_t at = root_;
  std::int32_t parent = kNone;
  bool side = false;
  const auto attach = [&](std::int32_t node) {
    if (parent == kNone) {
      root_ = node;
    } else {
      nodes_[static_cast<std::size_t>(parent)].child[side] = node;
    }
  };
  while (at != kNone) {
    Node& node = nodes_[static_cast<std::size_t>(at)];
    const int common = std::min({bits.common_prefix(node.bits), node.length, length});
    if (common < node.length) {
      // The new network diverges within this node's prefix, or contains the node.
      const Bits old = node.bits;
      const std::int32_t branch = add_node(bits, common, common == length);
      attach(branch);
      nodes_[static_cast<std::size_t>(branch)].child[old.bit(common)] = at;
      if (common < length) {
        const std::int32_t leaf = add_node(bits, length, true);
        nodes_[static_cast<std::size_t>(branch)].child[bits.bit(common)] = leaf;
      }
      return;
    }
    if (node.is_network) return;  // already contains the new network
    if (node.length == length) {
      node.is_network = true;
      return;
    }
    parent = at;
    side = bits.bit(node.length);
    at = node.child[side];
  }
  attach(add_node(bits, length, true));
}

bool AddressSet::contains(const ip::address& address) const {
  const Bits bits = bits_of(address);
  for (std::int32_t at = root_; at != kNone;) {
    const Node& node = nodes_[static_cast<std::size_t>(at)];
    if (bits.common_prefix(node.bits) < node.length) return false;
    if (node.is_network) return true;
    if (node.length >= 128) return false;
    at = node.child[bits.bit(node.length)];
  }
  return false;
}

}  // namespace balancer
