#pragma once

#include <boost/asio/ip/address.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace balancer {

// A set of IPv4 and IPv6 networks, stored as a path-compressed binary trie (PATRICIA, Morrison
// 1968). A lookup takes one step per branch on the path to the address, however many networks the
// set has. A network that is contained in a network added earlier adds no node.
class AddressSet {
 public:
  // Adds a network such as "10.1.0.0/16" or "fd00::/8", or a single address. Returns false if the
  // text is neither, or if bits after the prefix are set.
  bool insert(std::string_view network);
  bool contains(const boost::asio::ip::address& address) const;
  bool empty() const { return nodes_.empty(); }
  std::size_t nodes() const { return nodes_.size(); }

 private:
  // A 128-bit address, most significant bit first. IPv4 addresses are mapped into ::ffff:0:0/96.
  struct Bits {
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    bool operator==(const Bits&) const = default;
    bool bit(int i) const { return (i < 64 ? high >> (63 - i) : low >> (127 - i)) & 1; }
    Bits prefix(int n) const;                    // with all other bits zero
    int common_prefix(const Bits& other) const;  // length in bits
  };
  static constexpr std::int32_t kNone = -1;
  struct Node {
    Bits bits;
    int length = 0;
    bool is_network = false;  // member of the set; otherwise an inner branch
    std::int32_t child[2] = {kNone, kNone};
  };

  static Bits bits_of(const boost::asio::ip::address& address);
  void insert(const Bits& bits, int length);
  std::int32_t add_node(const Bits& bits, int length, bool is_network);

  std::vector<Node> nodes_;
  std::int32_t root_ = kNone;
};

}  // namespace balancer
