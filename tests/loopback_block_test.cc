// Loopback addresses of tests and of the testbed: no two processes get the same address.
#include "testbed/loopback/loopback_block.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <fstream>
#include <memory>
#include <set>
#include <vector>

namespace balancer::testbed {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// The block at which this process's tests start to search; it may belong to another process.
const int kFirst = static_cast<int>(::getpid() % LoopbackBlock::kBlocks);

// Returns whether `is_reassigned(first)` holds for at least one of several blocks. A single block
// is not enough: another process that searches at that moment may take the released block.
template <typename IsReassigned>
bool holds_for_some_block(IsReassigned&& is_reassigned) {
  constexpr int kTries = 10, kDistance = 100;
  for (int i = 0; i < kTries; ++i)
    if (is_reassigned((kFirst + i * kDistance) % LoopbackBlock::kBlocks)) return true;
  return false;
}

// Another process that owns a block until it is killed.
class BlockOwner {
 public:
  explicit BlockOwner(int first) {
    int report[2];
    EXPECT_EQ(::pipe(report), 0);
    pid_ = ::fork();
    if (pid_ == 0) {
      const LoopbackBlock block(first);
      const auto address = block.address().to_uint();
      if (::write(report[1], &address, sizeof address) != sizeof address) ::_exit(1);
      for (;;) ::pause();
    }
    ::close(report[1]);
    std::uint32_t address = 0;
    EXPECT_EQ(::read(report[0], &address, sizeof address), static_cast<ssize_t>(sizeof address));
    ::close(report[0]);
    address_ = asio::ip::address_v4(address);
  }
  ~BlockOwner() { kill(); }
  void kill() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
  asio::ip::address_v4 address() const { return address_; }

 private:
  pid_t pid_ = 0;
  asio::ip::address_v4 address_;
};

TEST(LoopbackBlock, AssignsDifferentBlocksToConcurrentProcesses) {
  std::vector<std::unique_ptr<BlockOwner>> owners;
  std::set<asio::ip::address_v4> addresses;
  for (int i = 0; i < 8; ++i) {
    owners.push_back(std::make_unique<BlockOwner>(kFirst));
    addresses.insert(owners.back()->address());
  }
  const LoopbackBlock own(kFirst), second_own(kFirst);
  addresses.insert(own.address());
  addresses.insert(second_own.address());
  EXPECT_EQ(addresses.size(), owners.size() + 2);
  for (const auto& a : addresses) EXPECT_TRUE(a.is_loopback()) << a;
}

TEST(LoopbackBlock, ReassignsTheBlockOfAKilledProcess) {
  EXPECT_TRUE(holds_for_some_block([](int from) {
    BlockOwner first(from), second(from);
    EXPECT_NE(first.address(), second.address());
    first.kill();
    return LoopbackBlock(from).address() == first.address();
  }));
}

TEST(LoopbackBlock, IsNotInheritedByExecutedPrograms) {
  EXPECT_TRUE(holds_for_some_block([](int from) {
    auto block = std::make_unique<LoopbackBlock>(from);
    const auto address = block->address();
    int input[2], started[2];
    EXPECT_EQ(::pipe2(input, O_CLOEXEC), 0);
    EXPECT_EQ(::pipe2(started, O_CLOEXEC), 0);
    const pid_t pid = ::fork();
    if (pid == 0) {
      ::dup2(input[0], 0);
      ::execl("/bin/cat", "cat", nullptr);  // runs until the test closes the other end
      ::_exit(127);
    }
    ::close(started[1]);
    char none = 0;
    EXPECT_EQ(::read(started[0], &none, 1), 0) << "the pipe is closed when the program is executed";
    block.reset();
    const bool is_reassigned = LoopbackBlock(from).address() == address;
    ::close(input[1]);
    ::waitpid(pid, nullptr, 0);
    ::close(input[0]);
    ::close(started[0]);
    return is_reassigned;
  }));
}

// An earlier implementation, which probed for free ports, returned the same endpoint twice in about
// one of 6,700 pairs.
TEST(LoopbackBlock, ReturnsEachPortOnceAndNoEphemeralPorts) {
  std::uint32_t low = 0, high = 0;
  std::ifstream("/proc/sys/net/ipv4/ip_local_port_range") >> low >> high;
  LoopbackBlock block(kFirst);
  std::set<tcp::endpoint> returned;
  constexpr int kDraws = 2000;
  for (int i = 0; i < kDraws; ++i) {
    const auto endpoint = block.next_endpoint();
    const auto index = endpoint.address().to_v4().to_uint() - block.address().to_uint();
    EXPECT_LT(index, static_cast<std::uint32_t>(LoopbackBlock::kAddresses)) << endpoint;
    EXPECT_TRUE(endpoint.port() < low || endpoint.port() > high) << endpoint;
    EXPECT_TRUE(returned.insert(endpoint).second) << endpoint << " was returned before";
    const tcp::endpoint single(block.address(), block.next_port());
    EXPECT_TRUE(returned.insert(single).second) << single << " was returned before";
  }
}

// A server that listens on all addresses uses its port on this block's addresses too.
TEST(LoopbackBlock, SkipsPortsOfServersOnAllAddresses) {
  asio::io_context io;
  tcp::acceptor server(io);
  LoopbackBlock block(kFirst);
  std::uint16_t taken = block.next_port();
  // The port below the last returned one is returned next. If another server listens on it already,
  // the next lower port is used.
  boost::system::error_code error = asio::error::address_in_use;
  server.open(tcp::v4());
  while (error) {
    ASSERT_GT(--taken, 1024);
    server.bind({asio::ip::address_v4::any(), taken}, error);
  }
  server.listen();
  for (auto port = block.next_port();; port = block.next_port()) {
    ASSERT_NE(port, taken);
    if (port < taken) break;
  }
}

}  // namespace
}  // namespace balancer::testbed
