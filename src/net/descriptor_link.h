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

// A packet of at most `longest` bytes with up to `most` descriptors. `n`: as recvmsg returns it, 0
// if the peer has ended, -1 with errno set; a packet that was cut off counts as EMSGSIZE.
struct Received {
  long n = -1;
  Packet packet;
};
Received receive_packet(int fd, std::size_t longest, std::size_t most);
// False with errno set if nothing of it was sent; the descriptors stay the caller's.
bool send_packet(int fd, std::string_view bytes, const std::vector<Descriptor>& descriptors);

// Packets with descriptors beside them, in order, over a connected Unix socket of type
// SOCK_SEQPACKET, to another process of the same user on this machine.
class DescriptorLink {
 public:
  struct Handlers {
    std::function<void(Packet)> on_packet;
    // The peer has ended, or sent more than the bounds allow. Once, and from the event loop only.
    std::function<void()> on_lost;
  };

  DescriptorLink(boost::asio::io_context& io, Descriptor socket, std::size_t longest,
                 std::size_t max_descriptors, Handlers handlers);
  ~DescriptorLink();

  // Whether the next packet goes out at once. Others wait, in memory that is bounded: what must not
  // wait is sent only then.
  bool room() const { return open() && waiting_.empty(); }
  void send(Packet packet);
  bool open() const { return stream_.is_open(); }

 private:
  void arm_read();
  void arm_write();
  void on_readable();
  void flush();
  void lose();

  boost::asio::posix::stream_descriptor stream_;
  const std::size_t longest_, max_descriptors_;
  const Handlers handlers_;
  std::deque<Packet> waiting_;
  bool writing_ = false;
  // Outlives the link in its handlers, which look at it first.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace balancer
