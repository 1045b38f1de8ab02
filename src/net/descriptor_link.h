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

// Owns one file descriptor, and closes it on destruction.
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

// A message and the descriptors that it carries.
struct Packet {
  std::string bytes;
  std::vector<Descriptor> descriptors;
};

struct Received {
  // Result of recvmsg(): number of bytes, 0 if the peer has closed, or -1 with errno set (EMSGSIZE
  // for a truncated packet).
  long n = -1;
  Packet packet;
};
// Receives one packet of at most `max_bytes` with up to `max_descriptors`, without blocking.
Received receive_packet(int fd, std::size_t max_bytes, std::size_t max_descriptors);
// Sends one packet without blocking. Returns false with errno set if the packet was not sent. The
// caller keeps ownership of the descriptors.
bool send_packet(int fd, std::string_view bytes, const std::vector<Descriptor>& descriptors);

// Exchanges packets that carry descriptors with another process of the same user on this machine,
// in order, over a connected Unix socket of type SOCK_SEQPACKET.
class DescriptorLink {
 public:
  struct Handlers {
    std::function<void(Packet)> on_packet;
    // The peer has closed the connection or exceeded the bounds, or a packet could not be sent.
    // Called once, from the event loop only.
    std::function<void()> on_lost;
  };

  // `max_bytes` and `max_descriptors` bound one received packet.
  DescriptorLink(boost::asio::io_context& io, Descriptor socket, std::size_t max_bytes,
                 std::size_t max_descriptors, Handlers handlers);
  ~DescriptorLink();

  // Whether the next packet would be sent immediately. Otherwise it waits in a bounded queue.
  bool can_send_now() const { return open() && queue_.empty(); }
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
  bool write_pending_ = false;  // an async wait for writability is pending
  // Set to false on destruction. Shared with pending handlers, which may outlive the link and check
  // it first.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace balancer
