#pragma once

#include <boost/asio/ip/address.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace balancer {

// A set of IP networks, IPv4 and IPv6, as a path-compressed binary trie (Morrison's Patricia,
// 1968): a look-up costs as many steps as networks branch above the address, however many there
// are. Networks that lie in others take no node.
class AddressSet {
 public:
  // "10.1.0.0/16", "fd00::/8", or one address. False if it is none of these, or has bits set behind
  // the prefix.
  bool insert(std::string_view network);
  bool contains(const boost::asio::ip::address& address) const;
  bool empty() const { return nodes_.empty(); }
  std::size_t nodes() const { return nodes_.size(); }

 private:
  // 128 bits, the first highest; an IPv4 address lies in ::ffff:0:0/96.
  struct Bits {
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    bool operator==(const Bits&) const = default;
    bool bit(int i) const { return (i < 64 ? high >> (63 - i) : low >> (127 - i)) & 1; }
    Bits prefix(int n) const;                    // the other bits zero
    int common_prefix(const Bits& other) const;  // length in bits
  };
  static constexpr std::int32_t kNone = -1;
  struct Node {
    Bits bits;
    int length = 0;
    bool is_network = false;  // of the set; otherwise a branch only
    std::int32_t child[2] = {kNone, kNone};
  };

  static Bits bits_of(const boost::asio::ip::address& address);
  void insert(const Bits& bits, int length);
  std::int32_t add_node(const Bits& bits, int length, bool is_network);

  std::vector<Node> nodes_;
  std::int32_t root_ = kNone;
};

}  // namespace balancer
