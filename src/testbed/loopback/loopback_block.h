#pragma once

#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

namespace balancer::testbed {

// As addresses are written in settings and lists: "127.0.0.1:80".
std::string text_of(const boost::asio::ip::tcp::endpoint& endpoint);

// A /24 network of 127.64.0.0/10 that belongs to this object alone among all processes that use
// this class: for servers and processes whose address is chosen before they listen, or that come
// back to it after they have stopped.
//
// Owner: the lock is an abstract Unix socket named after the network. The kernel keeps such names
// by network namespace, as it does the addresses, and drops a name with the last process that holds
// the socket. Programs that are executed don't inherit it.
//
// Bounds: 16,384 blocks on a machine, of 254 addresses each; a block takes one descriptor.
class LoopbackBlock {
 public:
  static constexpr int kBlocks = 1 << 14;
  static constexpr int kAddresses = 254;

  // Takes the first free block from one on that depends on the process id. Throws std::system_error
  // if no block is free or no socket can be had.
  LoopbackBlock();
  // The same, from this block on; 0 <= first < kBlocks.
  explicit LoopbackBlock(int first);
  ~LoopbackBlock();
  LoopbackBlock(const LoopbackBlock&) = delete;
  LoopbackBlock& operator=(const LoopbackBlock&) = delete;

  // 0 <= index < kAddresses.
  boost::asio::ip::address_v4 address(int index = 0) const;

  // A port that nobody listens at on this block's first address or on all addresses, TCP or UDP,
  // and that this object has not given before. It lies outside the range from which the kernel
  // chooses ports: until it is used no other connection or listener gets it, but for one that names
  // the port and listens on all addresses. Throws std::runtime_error once all are given, some
  // thousands.
  std::uint16_t next_port();
  // An endpoint that nobody else has, with a port as above; each of the block's addresses in turn
  // has the port before the next port is taken: some millions.
  boost::asio::ip::tcp::endpoint next_endpoint();

 private:
  int block_ = -1;
  int lock_ = -1;                         // the descriptor
  std::uint32_t lowest_port_, end_port_;  // those still to be given; the highest goes first
  // Of next_endpoint().
  std::uint16_t shared_port_ = 0;
  int next_index_ = kAddresses;
};

}  // namespace balancer::testbed
