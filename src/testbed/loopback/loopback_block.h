#pragma once

#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

namespace balancer::testbed {

// Formats an endpoint as in settings and host lists: "127.0.0.1:80".
std::string text_of(const boost::asio::ip::tcp::endpoint& endpoint);

// A /24 network of 127.64.0.0/10 that is reserved for this object among all processes that use this
// class. It serves servers and processes whose address is chosen before they listen, or that listen
// on it again after a restart.
//
// Locking: the lock is an abstract Unix socket named after the network. The kernel scopes such
// names to the network namespace, as it does the addresses, and releases a name when the last
// descriptor of the socket is closed. Executed programs do not inherit the socket.
//
// Bounds: 16,384 blocks on a machine, of 254 addresses each; a block takes one descriptor.
class LoopbackBlock {
 public:
  static constexpr int kBlocks = 1 << 14;
  static constexpr int kAddresses = 254;

  // Reserves the first free block, searching from a block that depends on the process id. Throws
  // std::system_error if no block is free or no socket can be opened.
  LoopbackBlock();
  // The same, searching from block `first`; 0 <= first < kBlocks.
  explicit LoopbackBlock(int first);
  ~LoopbackBlock();
  LoopbackBlock(const LoopbackBlock&) = delete;
  LoopbackBlock& operator=(const LoopbackBlock&) = delete;

  // 0 <= index < kAddresses.
  boost::asio::ip::address_v4 address(int index = 0) const;

  // Returns a port on which nothing listens at this block's first address or on all addresses, TCP
  // or UDP, and that this object has not returned before. It lies outside the kernel's ephemeral
  // port range, so until it is used only a listener that names the port and binds all addresses can
  // take it. Throws std::runtime_error when all ports (some thousands) have been returned.
  std::uint16_t next_port();
  // Returns an unused endpoint with a port as above. Combines each port with every address of the
  // block before it takes the next port, which gives some millions of endpoints.
  boost::asio::ip::tcp::endpoint next_endpoint();

 private:
  int block_ = -1;
  int lock_fd_ = -1;                      // descriptor of the lock socket
  std::uint32_t lowest_port_, end_port_;  // ports not returned yet; the highest is returned first
  // State of next_endpoint().
  std::uint16_t shared_port_ = 0;
  int next_index_ = kAddresses;
};

}  // namespace balancer::testbed
