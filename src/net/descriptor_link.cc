#include "net/descriptor_link.h"

#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/post.hpp>
#include <cerrno>
#include <cstring>

namespace balancer {
namespace {

using boost::system::error_code;
using Stream = boost::asio::posix::stream_descriptor;

// Packets that wait for a peer that does not read. Beyond it the link is given up.
constexpr std::size_t kMaxWaiting = 1024;
// The most that one call can carry (SCM_MAX_FD is 253); callers ask for far fewer.
constexpr std::size_t kMaxAtOnce = 64;

}  // namespace

Descriptor::~Descriptor() {
  if (fd_ >= 0) ::close(fd_);
}

Received receive_packet(int fd, std::size_t longest, std::size_t most) {
  Received r;
  r.packet.bytes.resize(longest);
  iovec part{r.packet.bytes.data(), longest};
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int) * kMaxAtOnce)];
  msghdr head{};
  head.msg_iov = &part;
  head.msg_iovlen = 1;
  head.msg_control = control;
  head.msg_controllen = CMSG_SPACE(sizeof(int) * std::min(most, kMaxAtOnce));
  r.n = ::recvmsg(fd, &head, MSG_CMSG_CLOEXEC | MSG_DONTWAIT);
  if (r.n <= 0) return r;
  for (cmsghdr* c = CMSG_FIRSTHDR(&head); c; c = CMSG_NXTHDR(&head, c)) {
    if (c->cmsg_level != SOL_SOCKET || c->cmsg_type != SCM_RIGHTS) continue;
    const std::size_t count = (c->cmsg_len - CMSG_LEN(0)) / sizeof(int);
    for (std::size_t i = 0; i < count; ++i) {
      int got;
      std::memcpy(&got, CMSG_DATA(c) + i * sizeof(int), sizeof got);
      r.packet.descriptors.emplace_back(got);
    }
  }
  r.packet.bytes.resize(static_cast<std::size_t>(r.n));
  if (head.msg_flags & (MSG_TRUNC | MSG_CTRUNC)) {
    r.n = -1;
    errno = EMSGSIZE;
  }
  return r;
}

bool send_packet(int fd, std::string_view bytes, const std::vector<Descriptor>& descriptors) {
  if (descriptors.size() > kMaxAtOnce) {
    errno = E2BIG;
    return false;
  }
  iovec part{const_cast<char*>(bytes.data()), bytes.size()};
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int) * kMaxAtOnce)];
  std::memset(control, 0, sizeof control);
  msghdr head{};
  head.msg_iov = &part;
  head.msg_iovlen = 1;
  if (!descriptors.empty()) {
    head.msg_control = control;
    head.msg_controllen = CMSG_SPACE(sizeof(int) * descriptors.size());
    cmsghdr* c = CMSG_FIRSTHDR(&head);
    c->cmsg_level = SOL_SOCKET;
    c->cmsg_type = SCM_RIGHTS;
    c->cmsg_len = CMSG_LEN(sizeof(int) * descriptors.size());
    for (std::size_t i = 0; i < descriptors.size(); ++i) {
      const int out = descriptors[i].get();
      std::memcpy(CMSG_DATA(c) + i * sizeof(int), &out, sizeof out);
    }
  }
  return ::sendmsg(fd, &head, MSG_NOSIGNAL | MSG_DONTWAIT) == static_cast<ssize_t>(bytes.size());
}

DescriptorLink::DescriptorLink(boost::asio::io_context& io, Descriptor socket, std::size_t longest,
                               std::size_t max_descriptors, Handlers handlers)
    : stream_(io, socket.release()),
      longest_(longest),
      max_descriptors_(max_descriptors),
      handlers_(std::move(handlers)) {
  arm_read();
}

DescriptorLink::~DescriptorLink() { *alive_ = false; }

void DescriptorLink::arm_read() {
  if (!open()) return;
  stream_.async_wait(Stream::wait_read, [this, alive = alive_](const error_code& e) {
    if (*alive && !e) on_readable();
  });
}

void DescriptorLink::on_readable() {
  const auto alive = alive_;
  // A few at a time: clients get their turn between.
  for (int i = 0; i < 16 && open(); ++i) {
    Received r = receive_packet(stream_.native_handle(), longest_, max_descriptors_);
    if (r.n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) break;
    // Told once where the peer ended with input unread; what it had sent can be read still.
    if (r.n < 0 && errno == ECONNRESET && i < 15) continue;
    if (r.n <= 0) return lose();
    handlers_.on_packet(std::move(r.packet));
    if (!*alive) return;
  }
  arm_read();
}

void DescriptorLink::send(Packet packet) {
  if (!open()) return;
  waiting_.push_back(std::move(packet));
  if (!writing_) flush();
}

void DescriptorLink::flush() {
  while (!waiting_.empty() && open()) {
    const Packet& p = waiting_.front();
    if (!send_packet(stream_.native_handle(), p.bytes, p.descriptors)) {
      if (errno == EINTR) continue;
      const bool full = errno == EAGAIN || errno == EWOULDBLOCK || errno == ETOOMANYREFS;
      if (full && waiting_.size() <= kMaxWaiting) return arm_write();
      // From the event loop: its owner may be in the middle of something.
      boost::asio::post(stream_.get_executor(), [this, alive = alive_] {
        if (*alive) lose();
      });
      return;
    }
    waiting_.pop_front();
  }
}

void DescriptorLink::arm_write() {
  writing_ = true;
  stream_.async_wait(Stream::wait_write, [this, alive = alive_](const error_code& e) {
    if (!*alive) return;
    writing_ = false;
    if (!e) flush();
  });
}

void DescriptorLink::lose() {
  if (!open()) return;
  error_code ignored;
  stream_.close(ignored);
  waiting_.clear();
  handlers_.on_lost();
}

}  // namespace balancer
