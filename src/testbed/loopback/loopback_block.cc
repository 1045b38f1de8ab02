#include "testbed/loopback/loopback_block.h"

#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cerrno>
#include <cstddef>
#include <fstream>
#include <stdexcept>
#include <system_error>

namespace balancer::testbed {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::uint32_t kNetwork = 0x7f400000;  // 127.64.0.0/10
constexpr std::uint32_t kBlockSize = 256;
// Ports below this one are reserved for privileged processes.
constexpr std::uint32_t kFirstUserPort = 1024;
constexpr std::uint32_t kEndOfPorts = 65'536;
// Coprime to kBlocks, so that processes with consecutive ids begin their search far apart.
constexpr int kStride = 4999;

// Binds the socket to the abstract name of a block's lock. Returns false if another process holds
// it.
bool bind_lock_name(int descriptor, int block) {
  const std::string name = "balancer-loopback-block-" + std::to_string(block);
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  // A null byte marks abstract names.
  std::copy(name.begin(), name.end(), address.sun_path + 1);
  const auto size = static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + 1 + name.size());
  if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), size) == 0) return true;
  if (errno != EADDRINUSE)
    throw std::system_error(errno, std::system_category(), "bind lock of loopback block");
  return false;
}

struct PortRange {
  std::uint32_t begin, end;
};

// Returns the larger of the port ranges below and above the kernel's ephemeral port range.
PortRange ports_outside_ephemeral_range() {
  std::uint32_t low = 32'768, high = 60'999;  // defaults of the kernel
  std::ifstream("/proc/sys/net/ipv4/ip_local_port_range") >> low >> high;
  const PortRange below{kFirstUserPort, std::max(low, kFirstUserPort)};
  const PortRange above{std::min(high + 1, kEndOfPorts), kEndOfPorts};
  return below.end - below.begin >= above.end - above.begin ? below : above;
}

template <typename Protocol>
bool can_bind(const asio::ip::address_v4& address, std::uint16_t port) {
  asio::io_context io;
  typename Protocol::socket socket(io);
  error_code error;
  socket.open(Protocol::v4(), error);
  if (!error) socket.bind({address, port}, error);
  return !error;
}

bool is_free(const asio::ip::address_v4& address, std::uint16_t port) {
  return can_bind<asio::ip::tcp>(address, port) && can_bind<asio::ip::udp>(address, port);
}

int first_block_of_process() {
  return static_cast<int>(static_cast<std::int64_t>(::getpid()) * kStride % LoopbackBlock::kBlocks);
}

}  // namespace

std::string text_of(const asio::ip::tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

LoopbackBlock::LoopbackBlock() : LoopbackBlock(first_block_of_process()) {}

LoopbackBlock::LoopbackBlock(int first) {
  const PortRange ports = ports_outside_ephemeral_range();
  lowest_port_ = ports.begin;
  end_port_ = ports.end;
  lock_fd_ = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (lock_fd_ < 0) throw std::system_error(errno, std::system_category(), "socket");
  for (int i = 0; i < kBlocks; ++i) {
    block_ = (first + i) % kBlocks;
    if (bind_lock_name(lock_fd_, block_)) return;
  }
  ::close(lock_fd_);
  throw std::system_error(EADDRINUSE, std::system_category(), "no loopback block is free");
}

LoopbackBlock::~LoopbackBlock() { ::close(lock_fd_); }

asio::ip::address_v4 LoopbackBlock::address(int index) const {
  return asio::ip::address_v4(kNetwork + static_cast<std::uint32_t>(block_) * kBlockSize + 1 +
                              static_cast<std::uint32_t>(index));
}

std::uint16_t LoopbackBlock::next_port() {
  while (end_port_ > lowest_port_) {
    const auto port = static_cast<std::uint16_t>(--end_port_);
    if (is_free(address(), port)) return port;
  }
  throw std::runtime_error("loopback block has no unused port left");
}

asio::ip::tcp::endpoint LoopbackBlock::next_endpoint() {
  for (;;) {
    if (next_index_ == kAddresses) {
      shared_port_ = next_port();
      next_index_ = 0;
    }
    const auto own = address(next_index_++);
    if (is_free(own, shared_port_)) return {own, shared_port_};
  }
}

}  // namespace balancer::testbed
