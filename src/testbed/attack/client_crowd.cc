#include "testbed/attack/client_crowd.h"

#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <thread>

namespace balancer::testbed::attack {
namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t kMaxPiece = 64u << 10;  // bytes written or read in one call
constexpr int kReceiveBuffer = 64u << 10;     // of a client that reads slowly
constexpr std::chrono::milliseconds kIdle{1};

// One client's connection, which never blocks.
class Client {
 public:
  Client(const boost::asio::ip::tcp::endpoint& balancer, const ClientPlan& plan,
         CrowdFigures& figures)
      : balancer_(balancer), plan_(plan), figures_(figures) {
    connect();
  }
  ~Client() {
    if (fd_ >= 0) ::close(fd_);
  }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Writes and reads what the plan allows at this time. Returns whether anything was done.
  bool advance() {
    if (fd_ < 0) {
      if (!plan_.reconnects) return false;
      connect();
    }
    const bool wrote = write();
    const bool did_read = read();
    return wrote || did_read;
  }

 private:
  void connect() {
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd_ < 0) return;
    if (plan_.read_rate != SIZE_MAX)
      ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &kReceiveBuffer, sizeof kReceiveBuffer);
    const int on = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (::connect(fd_, balancer_.data(), static_cast<socklen_t>(balancer_.size())) != 0)
      return close();
    ::fcntl(fd_, F_SETFL, O_NONBLOCK);
    connected_at_ = SteadyClock::now();
    next_ = offset_ = written_ = read_ = 0;
    further_.clear();
  }
  void close() {
    ::close(fd_);
    fd_ = -1;
  }
  void on_closed() {
    ++figures_.closed;
    close();
  }

  // Returns how many bytes the rate allows beyond those that were done.
  std::size_t allowed(std::size_t rate, std::size_t done) const {
    if (rate == SIZE_MAX) return kMaxPiece;
    const std::chrono::duration<double> elapsed = SteadyClock::now() - connected_at_;
    const auto due = static_cast<std::size_t>(elapsed.count() * static_cast<double>(rate));
    return std::min(kMaxPiece, due - std::min(due, done));
  }

  // Returns the text that is being written; null if all is written.
  const std::string* current() {
    if (next_ < plan_.writes.size()) return plan_.writes[next_].get();
    if (!plan_.next_write) return nullptr;
    if (further_.empty()) further_ = plan_.next_write();
    return &further_;
  }

  bool write() {
    if (fd_ < 0) return false;
    const std::string* text = current();
    const std::size_t limit = allowed(plan_.write_rate, written_);
    if (!text || limit == 0) return false;
    const std::size_t size = std::min(limit, text->size() - offset_);
    const auto n = ::send(fd_, text->data() + offset_, size, MSG_NOSIGNAL);
    if (n < 0) {
      if (errno != EAGAIN && errno != EINTR) on_closed();
      return false;
    }
    written_ += static_cast<std::size_t>(n);
    figures_.bytes_written += static_cast<std::uint64_t>(n);
    offset_ += static_cast<std::size_t>(n);
    if (offset_ < text->size()) return n > 0;
    offset_ = 0;
    further_.clear();
    if (next_ < plan_.writes.size()) ++next_;
    return true;
  }

  bool read() {
    if (fd_ < 0) return false;
    const std::size_t limit = allowed(plan_.read_rate, read_);
    if (limit == 0) return false;
    static thread_local std::array<char, kMaxPiece> buffer;
    const auto n = ::recv(fd_, buffer.data(), limit, 0);
    if (n > 0) {
      read_ += static_cast<std::size_t>(n);
      figures_.bytes_read += static_cast<std::uint64_t>(n);
      return true;
    }
    if (n == 0 || (errno != EAGAIN && errno != EINTR)) on_closed();
    return false;
  }

  const boost::asio::ip::tcp::endpoint balancer_;
  const ClientPlan& plan_;
  CrowdFigures& figures_;
  int fd_ = -1;
  SteadyClock::time_point connected_at_{};
  std::size_t next_ = 0, offset_ = 0;  // the write in progress, and the bytes of it that are done
  std::size_t written_ = 0, read_ = 0;
  std::string further_;
};

}  // namespace

CrowdFigures play_clients(const boost::asio::ip::tcp::endpoint& balancer,
                          const std::vector<ClientPlan>& plans,
                          std::chrono::milliseconds duration) {
  CrowdFigures figures;
  std::vector<std::unique_ptr<Client>> clients;
  clients.reserve(plans.size());
  for (const ClientPlan& plan : plans)
    clients.push_back(std::make_unique<Client>(balancer, plan, figures));
  const auto end = SteadyClock::now() + duration;
  while (SteadyClock::now() < end) {
    bool is_active = false;
    for (const auto& client : clients) is_active = client->advance() || is_active;
    if (!is_active) std::this_thread::sleep_for(kIdle);
  }
  return figures;
}

}  // namespace balancer::testbed::attack
