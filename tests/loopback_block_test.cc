// Addresses of tests and of the rig: no two processes get the same.
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

// Where this process's tests begin their search; others may hold that block.
const int kFirst = static_cast<int>(::getpid() % LoopbackBlock::kBlocks);

// Whether `given_again(first)` holds for one of some blocks: another process may take the block
// that a test has just given back, if its search begins there at that moment.
template <typename GivenAgain>
bool for_some_block(GivenAgain&& given_again) {
  constexpr int kTries = 10, kApart = 100;
  for (int i = 0; i < kTries; ++i)
    if (given_again((kFirst + i * kApart) % LoopbackBlock::kBlocks)) return true;
  return false;
}

// Another process that has a block until it is killed.
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

TEST(LoopbackBlock, ProcessesThatBeginAtTheSameBlockGetDifferentOnes) {
  std::vector<std::unique_ptr<BlockOwner>> owners;
  std::set<asio::ip::address_v4> addresses;
  for (int i = 0; i < 8; ++i) {
    owners.push_back(std::make_unique<BlockOwner>(kFirst));
    addresses.insert(owners.back()->address());
  }
  const LoopbackBlock mine(kFirst), mine_too(kFirst);
  addresses.insert(mine.address());
  addresses.insert(mine_too.address());
  EXPECT_EQ(addresses.size(), owners.size() + 2);
  for (const auto& a : addresses) EXPECT_TRUE(a.is_loopback()) << a;
}

TEST(LoopbackBlock, ABlockWhoseOwnerWasKilledIsGivenAgain) {
  EXPECT_TRUE(for_some_block([](int from) {
    BlockOwner first(from), second(from);
    EXPECT_NE(first.address(), second.address());
    first.kill();
    return LoopbackBlock(from).address() == first.address();
  }));
}

TEST(LoopbackBlock, AProgramThatIsStartedDoesNotKeepTheBlockOfItsParent) {
  EXPECT_TRUE(for_some_block([](int from) {
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
    EXPECT_EQ(::read(started[0], &none, 1), 0) << "closed by the start of the program";
    block.reset();
    const bool given_again = LoopbackBlock(from).address() == address;
    ::close(input[1]);
    ::waitpid(pid, nullptr, 0);
    ::close(input[0]);
    ::close(started[0]);
    return given_again;
  }));
}

// The probe that this class replaces gave the same endpoint twice in one of some 6,700 pairs.
TEST(LoopbackBlock, NoPortIsGivenTwiceAndNoneThatTheKernelChooses) {
  std::uint32_t low = 0, high = 0;
  std::ifstream("/proc/sys/net/ipv4/ip_local_port_range") >> low >> high;
  LoopbackBlock block(kFirst);
  std::set<tcp::endpoint> given;
  constexpr int kDraws = 2000;
  for (int i = 0; i < kDraws; ++i) {
    const auto endpoint = block.next_endpoint();
    const auto index = endpoint.address().to_v4().to_uint() - block.address().to_uint();
    EXPECT_LT(index, static_cast<std::uint32_t>(LoopbackBlock::kAddresses)) << endpoint;
    EXPECT_TRUE(endpoint.port() < low || endpoint.port() > high) << endpoint;
    EXPECT_TRUE(given.insert(endpoint).second) << endpoint << " was given before";
    const tcp::endpoint single(block.address(), block.next_port());
    EXPECT_TRUE(given.insert(single).second) << single << " was given before";
  }
}

// A server on all addresses has its port on this block's too.
TEST(LoopbackBlock, APortOfAServerOnAllAddressesIsNotGiven) {
  asio::io_context io;
  tcp::acceptor server(io);
  LoopbackBlock block(kFirst);
  std::uint16_t taken = block.next_port();
  // Below the last one given is the next to be given; where another server has it already, that
  // one serves as well.
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
