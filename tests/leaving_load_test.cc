// The built program under load, with clients that leave at any moment and the process late now and
// then: attempts begin no later than 0.1 s behind their client's close.
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

constexpr milliseconds kMaxBehindClose{100};
constexpr int kMaxLate = 2;  // the third is a break
constexpr milliseconds kLoadFor{5000};
constexpr milliseconds kBetweenRequests{4};
constexpr milliseconds kMaxServerTime{150};
// Clients that leave do so within this.
constexpr milliseconds kMaxStay{250};
// The process stands still for so long, and runs for so long in between.
constexpr milliseconds kStopFor{200}, kRunFor{300};

// A server that tells with each request when the system took its last bytes in: however late the
// test is, that is when the attempt began. One request is out on a connection at a time.
class StampingServer {
 public:
  struct Connection {
    explicit Connection(tcp::socket s) : socket(std::move(s)) {}
    tcp::socket socket;
    std::string in;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;
  // Takes a whole request off the front of `in` and gives its id; empty if there is none yet.
  using TakeRequest = std::function<std::string(std::string& in)>;
  using OnRequest =
      std::function<void(const ConnectionPtr&, const std::string& id, WallTime begun)>;

  StampingServer(asio::io_context& io, TakeRequest take, OnRequest on_request)
      : acceptor_(io, Endpoint(asio::ip::make_address("127.0.0.1"), 0)),
        take_(std::move(take)),
        on_request_(std::move(on_request)) {
    const int on = 1;  // connections take it over
    ::setsockopt(acceptor_.native_handle(), SOL_SOCKET, SO_TIMESTAMPNS, &on, sizeof on);
    accept();
  }
  std::string dial() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  int unstamped = 0;  // requests

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
  // False: the connection has ended.
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
  // Where the system gives no time, this moment, which is no earlier.
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

  void begun(const std::string& id, WallTime at) { begins[id].push_back(at); }
  // Breaks the connection off, or answers on it, somewhat later.
  void later(const ConnectionPtr& c, const std::string& answer) {
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
    begun(id, at);
    if (chance(0.15)) return;  // hangs
    later(c, chance(0.5) ? FakeCache::value(id, "v") : "EN O" + id + "\r\n");
  }
  void on_http(const ConnectionPtr& c, const std::string& id, WallTime at) {
    begun(id, at);
    later(c, chance(0.2) ? "HTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
                         : "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv");
  }

  void ask() {
    const std::string id = std::to_string(++asked);
    const std::string key = "k" + std::to_string(random() % 200);
    auto c = client();
    c->send(chance(0.2) ? "ms " + key + " 2 O" + id + " Pc=book,t=acme,d=2000\r\nxx\r\n"
                        : "mg " + key + " v O" + id + " Pc=read,t=acme,d=2000\r\n");
    if (!chance(0.6)) return after(milliseconds(2500), [c] { c->close(); });
    after(time_up_to(kMaxStay), [this, c, id, by_reset = chance(0.5)] {
      if (!c->in.empty() || c->closed) return c->close();
      if (by_reset) c->socket.set_option(asio::socket_base::linger(true, 0));
      c->close();
      closed[id] = std::chrono::system_clock::now();
    });
  }
  void keep_asking(Time until) {
    if (context.now() > until) return;
    ask();
    after(time_up_to(2 * kBetweenRequests), [this, until] { keep_asking(until); });
  }
  void keep_stopping(Time until) {
    if (context.now() > until) return;
    processes[0]->signal(SIGSTOP);
    after(kStopFor, [this, until] {
      processes[0]->signal(SIGCONT);
      after(kRunFor, [this, until] { keep_stopping(until); });
    });
  }

  std::mt19937 random;
  int asked = 0;
  std::map<std::string, WallTime> closed;               // of clients that left with no answer
  std::map<std::string, std::vector<WallTime>> begins;  // of attempts, by id
};

TEST_F(LeavingLoadTest, NothingBeginsForThoseWhoHaveLeft) {
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

  const Time until = context.now() + kLoadFor;
  keep_asking(until);
  keep_stopping(until);
  ASSERT_TRUE(wait([&] { return context.now() > until + milliseconds(1000); }));

  int late = 0, further = 0;
  std::size_t attempts = 0;
  double latest = -1;
  for (const auto& [id, at] : begins) {
    attempts += at.size();
    further += at.size() > 1;
    const auto left = closed.find(id);
    if (left == closed.end()) continue;
    for (const WallTime begin : at) {
      latest = std::max(latest, std::chrono::duration<double>(begin - left->second).count());
      late += begin - left->second > kMaxBehindClose;
    }
  }
  std::printf(
      "%d requests, %zu attempts, %d with further ones; %zu clients left; %d attempts began "
      "over 0.1 s behind the close, the last %.3f s; %d without the system's time\n",
      asked, attempts, further, closed.size(), late, latest,
      one.unstamped + two.unstamped + origin.unstamped);
  EXPECT_GT(closed.size(), 100u);
  EXPECT_GT(further, 50);
  EXPECT_LE(late, kMaxLate) << "seed " << seed;
}

}  // namespace
}  // namespace balancer::node
