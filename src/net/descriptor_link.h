#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace balancer {

// Owns one file descriptor.
class Descriptor {
 public:
  Descriptor() = default;
  explicit Descriptor(int fd) : fd_(fd) {}
  Descriptor(Descriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Descriptor& operator=(Descriptor&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~Descriptor();

  int get() const { return fd_; }
  int release() { return std::exchange(fd_, -1); }
  explicit operator bool() const { return fd_ >= 0; }

 private:
  int fd_ = -1;
};

struct Packet {
  std::string bytes;
  std::vector<Descriptor> descriptors;
};

struct Received {
  // As recvmsg() returns it: bytes, 0 if the peer has closed, or -1 with errno set (EMSGSIZE for a
  // packet that was truncated).
  long n = -1;
  Packet packet;
};
// Receives one packet of at most `max_bytes` with up to `max_descriptors`, without waiting.
Received receive_packet(int fd, std::size_t max_bytes, std::size_t max_descriptors);
// Sends one packet without waiting. False with errno set if nothing of it was sent; the descriptors
// stay the caller's.
bool send_packet(int fd, std::string_view bytes, const std::vector<Descriptor>& descriptors);

// Exchanges packets that carry descriptors, in order, over a connected Unix socket of type
// SOCK_SEQPACKET, to another process of the same user on this machine.
class DescriptorLink {
 public:
  struct Handlers {
    std::function<void(Packet)> on_packet;
    // The peer has closed, or sent more than the bounds allow. Once, and from the event loop only.
    std::function<void()> on_lost;
  };

  // `max_bytes`, `max_descriptors`: of one packet.
  DescriptorLink(boost::asio::io_context& io, Descriptor socket, std::size_t max_bytes,
                 std::size_t max_descriptors, Handlers handlers);
  ~DescriptorLink();

  // Whether the next packet goes out at once; others wait in a bounded queue.
  bool room() const { return open() && queue_.empty(); }
  void send(Packet packet);
  bool open() const { return stream_.is_open(); }

 private:
  void arm_read();
  void arm_write();
  void on_readable();
  void flush();
  void fail();

  boost::asio::posix::stream_descriptor stream_;
  const std::size_t max_bytes_;
  const std::size_t max_descriptors_;
  const Handlers handlers_;
  std::deque<Packet> queue_;
  bool write_pending_ = false;  // a wait for room is pending
  // Shared with pending handlers, which check it first: they may outlive the link.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace balancer
