#pragma once

#include <boost/asio/ip/address.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace balancer {

// A set of IP networks, IPv4 and IPv6, and whether an address lies in one of them: a binary trie
// with its single paths drawn together (Morrison's Patricia, 1968), so a look-up costs as many
// steps as networks branch above it, however many there are. Networks that lie in others need no
// place.
class AddressSet {
 public:
  // "10.1.0.0/16", "fd00::/8", or one address. False if it is none of these; bits behind the prefix
  // must be zero, as whoever wrote them meant something else.
  bool insert(std::string_view network);
  bool contains(const boost::asio::ip::address& address) const;
  bool empty() const { return nodes_.empty(); }
  std::size_t nodes() const { return nodes_.size(); }

 private:
  // 128 bits, the first highest; an IPv4 address lies in ::ffff:0:0/96.
  struct Bits {
    std::uint64_t high = 0, low = 0;
    bool operator==(const Bits&) const = default;
    bool bit(int i) const { return (i < 64 ? high >> (63 - i) : low >> (127 - i)) & 1; }
    Bits first(int n) const;
    int common(const Bits& other) const;  // leading bits
  };
  static constexpr std::int32_t kNone = -1;
  struct Node {
    Bits bits;
    int length = 0;
    bool whole = false;  // the network itself is in the set
    std::int32_t child[2] = {kNone, kNone};
  };

  static Bits bits_of(const boost::asio::ip::address& address);
  void insert(const Bits& bits, int length);

  std::vector<Node> nodes_;
  std::int32_t root_ = kNone;
};

}  // namespace balancer
