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

// Maximum packets queued for a peer that does not read; beyond this the link fails.
constexpr std::size_t kMaxQueued = 1024;
// Maximum descriptors in one packet; the kernel's limit is SCM_MAX_FD, 253.
constexpr std::size_t kMaxDescriptors = 64;
// Packets read per event-loop turn, so that other events are not starved.
constexpr int kReadBatch = 16;

}  // namespace

Descriptor::~Descriptor() {
  if (fd_ >= 0) ::close(fd_);
}

Received receive_packet(int fd, std::size_t max_bytes, std::size_t max_descriptors) {
  Received r;
  r.packet.bytes.resize(max_bytes);
  iovec part{r.packet.bytes.data(), max_bytes};
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int) * kMaxDescriptors)];
  msghdr head{};
  head.msg_iov = &part;
  head.msg_iovlen = 1;
  head.msg_control = control;
  head.msg_controllen = CMSG_SPACE(sizeof(int) * std::min(max_descriptors, kMaxDescriptors));
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
  if (descriptors.size() > kMaxDescriptors) {
    errno = E2BIG;
    return false;
  }
  iovec part{const_cast<char*>(bytes.data()), bytes.size()};
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int) * kMaxDescriptors)];
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

DescriptorLink::DescriptorLink(boost::asio::io_context& io, Descriptor socket,
                               std::size_t max_bytes, std::size_t max_descriptors,
                               Handlers handlers)
    : stream_(io, socket.release()),
      max_bytes_(max_bytes),
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
  for (int i = 0; i < kReadBatch && open(); ++i) {
    Received r = receive_packet(stream_.native_handle(), max_bytes_, max_descriptors_);
    if (r.n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) break;
    // Reported once if the peer closed its socket with unread input. Packets that it sent before
    // the close can still be read.
    if (r.n < 0 && errno == ECONNRESET && i < kReadBatch - 1) continue;
    if (r.n <= 0) return fail();
    handlers_.on_packet(std::move(r.packet));
    if (!*alive) return;
  }
  arm_read();
}

void DescriptorLink::send(Packet packet) {
  if (!open()) return;
  queue_.push_back(std::move(packet));
  if (!write_pending_) flush();
}

void DescriptorLink::flush() {
  while (!queue_.empty() && open()) {
    const Packet& p = queue_.front();
    if (!send_packet(stream_.native_handle(), p.bytes, p.descriptors)) {
      if (errno == EINTR) continue;
      const bool full = errno == EAGAIN || errno == EWOULDBLOCK || errno == ETOOMANYREFS;
      if (full && queue_.size() <= kMaxQueued) return arm_write();
      // Posted, as send() may run inside a call of the owner, and fail() calls on_lost().
      boost::asio::post(stream_.get_executor(), [this, alive = alive_] {
        if (*alive) fail();
      });
      return;
    }
    queue_.pop_front();
  }
}

void DescriptorLink::arm_write() {
  write_pending_ = true;
  stream_.async_wait(Stream::wait_write, [this, alive = alive_](const error_code& e) {
    if (!*alive) return;
    write_pending_ = false;
    if (!e) flush();
  });
}

void DescriptorLink::fail() {
  if (!open()) return;
  error_code ignored;
  stream_.close(ignored);
  queue_.clear();
  handlers_.on_lost();
}

}  // namespace balancer
