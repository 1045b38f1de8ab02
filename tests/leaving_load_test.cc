// The balancer process under load, with clients that disconnect at random moments while the process
// is stopped repeatedly: no attempt may start more than 0.1 s after its client's close.
#include <signal.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <random>

#include "dispatch_harness.h"
#include "program_harness.h"

namespace balancer::node {
namespace {

using std::chrono::milliseconds;
using WallTime = std::chrono::system_clock::time_point;

constexpr milliseconds kMaxStartAfterClose{100};
constexpr int kMaxLateAttempts = 2;  // tolerated late attempts; a third fails the test
constexpr milliseconds kLoadDuration{5000};
constexpr milliseconds kBetweenRequests{4};
constexpr milliseconds kMaxServerTime{150};
// Time within which clients that disconnect do so.
constexpr milliseconds kMaxTimeToDisconnect{250};
// The process is stopped for kStopFor, and runs for kRunFor in between.
constexpr milliseconds kStopFor{200}, kRunFor{300};

// A server that reports for each request when the kernel received its last bytes. That is when the
// attempt started, however late the test reads them. Each connection carries one request at a time.
class StampingServer {
 public:
  struct Connection {
    explicit Connection(tcp::socket s) : socket(std::move(s)) {}
    tcp::socket socket;
    std::string in;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;
  // Removes a complete request from the front of `in` and returns its id; empty if there is none
  // yet.
  using TakeRequest = std::function<std::string(std::string& in)>;
  using OnRequest =
      std::function<void(const ConnectionPtr&, const std::string& id, WallTime started)>;

  StampingServer(asio::io_context& io, TakeRequest take, OnRequest on_request)
      : acceptor_(io, Endpoint(asio::ip::make_address("127.0.0.1"), 0)),
        take_(std::move(take)),
        on_request_(std::move(on_request)) {
    const int on = 1;  // accepted connections inherit the option
    ::setsockopt(acceptor_.native_handle(), SOL_SOCKET, SO_TIMESTAMPNS, &on, sizeof on);
    accept();
  }
  std::string dial() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  int unstamped = 0;  // requests without a kernel timestamp

 private:
  void accept() {
    acceptor_.async_accept([this](auto e, tcp::socket s) {
      if (e) return;
      s.set_option(tcp::no_delay(true));
      s.non_blocking(true);
      watch(std::make_shared<Connection>(std::move(s)));
      accept();
    });
  }
  void watch(const ConnectionPtr& c) {
    c->socket.async_wait(tcp::socket::wait_read, [this, c](auto e) {
      if (e || !c->socket.is_open() || !read(c)) return;
      watch(c);
    });
  }
  // Returns false if the connection has ended.
  bool read(const ConnectionPtr& c) {
    char bytes[4096];
    alignas(cmsghdr) char control[256];
    iovec part{bytes, sizeof bytes};
    msghdr message{};
    message.msg_iov = &part;
    message.msg_iovlen = 1;
    message.msg_control = control;
    message.msg_controllen = sizeof control;
    const auto n = ::recvmsg(c->socket.native_handle(), &message, MSG_DONTWAIT);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) return true;
    if (n <= 0) return false;
    c->in.append(bytes, static_cast<std::size_t>(n));
    for (std::string id = take_(c->in); !id.empty(); id = take_(c->in))
      on_request_(c, id, stamp_of(message));
    return c->socket.is_open();
  }
  // Returns the kernel's timestamp of the message; without one, the current time, which is not
  // earlier.
  WallTime stamp_of(msghdr& message) {
    for (cmsghdr* c = CMSG_FIRSTHDR(&message); c; c = CMSG_NXTHDR(&message, c)) {
      if (c->cmsg_level != SOL_SOCKET || c->cmsg_type != SCM_TIMESTAMPNS) continue;
      timespec t{};
      std::copy_n(reinterpret_cast<const char*>(CMSG_DATA(c)), sizeof t,
                  reinterpret_cast<char*>(&t));
      return WallTime(std::chrono::seconds(t.tv_sec) + std::chrono::nanoseconds(t.tv_nsec));
    }
    ++unstamped;
    return std::chrono::system_clock::now();
  }

  tcp::acceptor acceptor_;
  const TakeRequest take_;
  const OnRequest on_request_;
};

std::string take_command(std::string& in) {
  const auto end = in.find("\r\n");
  if (end == std::string::npos) return {};
  const std::string id = id_of(in.substr(0, end));
  in.erase(0, end + 2);
  return id;
}

std::string take_http(std::string& in) {
  const auto end = in.find("\r\n\r\n");
  if (end == std::string::npos) return {};
  const std::string head = in.substr(0, end);
  const auto length = head.find("Content-Length: ");
  const std::size_t body = length == std::string::npos ? 0 : std::stoul(head.substr(length + 16));
  if (in.size() < end + 4 + body) return {};
  in.erase(0, end + 4 + body);
  const auto id = head.find("X-Trace-Id: ") + 12;
  return head.substr(id, head.find("\r\n", id) - id);
}

class LeavingLoadTest : public ProcessTest {
 protected:
  using ConnectionPtr = StampingServer::ConnectionPtr;

  bool chance(double part) { return std::uniform_real_distribution<>(0, 1)(random) < part; }
  milliseconds time_up_to(milliseconds most) {
    return milliseconds(std::uniform_int_distribution<>(0, static_cast<int>(most.count()))(random));
  }
  void after(Duration delay, std::function<void()> then) { context.after(delay, std::move(then)); }

  void record_start(const std::string& id, WallTime at) { attempt_starts[id].push_back(at); }
  // Closes the connection or sends the answer after a random delay.
  void respond_later(const ConnectionPtr& c, const std::string& answer) {
    const bool breaks = chance(0.1);
    after(time_up_to(kMaxServerTime), [c, answer, breaks] {
      boost::system::error_code ignored;
      if (breaks) {
        c->socket.close(ignored);
      } else if (c->socket.is_open()) {
        asio::write(c->socket, asio::buffer(answer), ignored);
      }
    });
  }
  void on_command(const ConnectionPtr& c, const std::string& id, WallTime at) {
    record_start(id, at);
    if (chance(0.15)) return;  // hangs
    respond_later(c, chance(0.5) ? FakeCache::value(id, "v") : "EN O" + id + "\r\n");
  }
  void on_http(const ConnectionPtr& c, const std::string& id, WallTime at) {
    record_start(id, at);
    respond_later(c, chance(0.2)
                         ? "HTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
                         : "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv");
  }

  void send_request() {
    const std::string id = std::to_string(++requests_sent);
    const std::string key = "k" + std::to_string(random() % 200);
    auto c = client();
    c->send(chance(0.2) ? "ms " + key + " 2 O" + id + " Pc=book,t=acme,d=2000\r\nxx\r\n"
                        : "mg " + key + " v O" + id + " Pc=read,t=acme,d=2000\r\n");
    if (!chance(0.6)) return after(milliseconds(2500), [c] { c->close(); });
    after(time_up_to(kMaxTimeToDisconnect), [this, c, id, by_reset = chance(0.5)] {
      if (!c->in.empty() || c->closed) return c->close();
      if (by_reset) c->socket.set_option(asio::socket_base::linger(true, 0));
      c->close();
      closed[id] = std::chrono::system_clock::now();
    });
  }
  void send_requests_until(Time until) {
    if (context.now() > until) return;
    send_request();
    after(time_up_to(2 * kBetweenRequests), [this, until] { send_requests_until(until); });
  }
  void stop_repeatedly_until(Time until) {
    if (context.now() > until) return;
    processes[0]->signal(SIGSTOP);
    after(kStopFor, [this, until] {
      processes[0]->signal(SIGCONT);
      after(kRunFor, [this, until] { stop_repeatedly_until(until); });
    });
  }

  std::mt19937 random;
  int requests_sent = 0;
  // Close times of clients that disconnected without an answer, by request id.
  std::map<std::string, WallTime> closed;
  // Start times of attempts, by request id.
  std::map<std::string, std::vector<WallTime>> attempt_starts;
};

TEST_F(LeavingLoadTest, StartsNoAttemptForDisconnectedClients) {
  const unsigned seed = std::random_device()();
  std::printf("seed %u\n", seed);
  random.seed(seed);
  const auto command = [this](const auto& c, const auto& id, auto at) { on_command(c, id, at); };
  StampingServer one(io, take_command, command), two(io, take_command, command);
  StampingServer origin(io, take_http,
                        [this](const auto& c, const auto& id, auto at) { on_http(c, id, at); });
  discovery.hosts = host_entry("h1", one.dial()) + "," + host_entry("h2", two.dial()) + "," +
                    host_entry("o", origin.dial(), "origin");
  const std::string streams = "\"streamsPerConn\":32";
  settings.replace(settings.find(streams), streams.size(), "\"streamsPerConn\":1");
  sockets = 1024;
  make_processes(1);
  bool ready = false;
  processes[0]->start([&] { ready = true; });
  ASSERT_TRUE(wait([&] { return ready && discovery.answered > 0; }));

  const Time until = context.now() + kLoadDuration;
  send_requests_until(until);
  stop_repeatedly_until(until);
  ASSERT_TRUE(wait([&] { return context.now() > until + milliseconds(1000); }));

  int late = 0, further = 0;
  std::size_t attempts = 0;
  double latest = -1;
  for (const auto& [id, at] : attempt_starts) {
    attempts += at.size();
    further += at.size() > 1;
    const auto closed_at = closed.find(id);
    if (closed_at == closed.end()) continue;
    for (const WallTime begin : at) {
      latest = std::max(latest, std::chrono::duration<double>(begin - closed_at->second).count());
      late += begin - closed_at->second > kMaxStartAfterClose;
    }
  }
  std::printf(
      "%d requests, %zu attempts, %d with further ones; %zu clients disconnected; %d attempts "
      "started over 0.1 s after the close, the latest %.3f s; %d without a kernel timestamp\n",
      requests_sent, attempts, further, closed.size(), late, latest,
      one.unstamped + two.unstamped + origin.unstamped);
  EXPECT_GT(closed.size(), 100u);
  EXPECT_GT(further, 50);
  EXPECT_LE(late, kMaxLateAttempts) << "seed " << seed;
}

}  // namespace
}  // namespace balancer::node
