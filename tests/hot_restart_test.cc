// Hot restart of the built program, with clients, hosts and discovery on the test's event loop.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/posix/stream_descriptor.hpp>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>

#include "net/descriptor_link.h"
#include "node_harness.h"
#include "proto/hot_restart_wire.h"
#include "testbed/loopback/loopback_block.h"

namespace balancer::node {
namespace {

using std::chrono::milliseconds;

using testbed::text_of;

// A process of the program.
class Process {
 public:
  // `faults`: faults to inject; see testbed/faults/fault_plan.h.
  Process(asio::io_context& io, const std::string& dir, const Endpoint& admin_at,
          const std::string& faults)
      : admin(admin_at), err_(io) {
    int pipe[2];
    EXPECT_EQ(::pipe(pipe), 0);
    const std::string config = "ROUTER_CONFIG=" + dir + "/config.json", tmp = "TMPDIR=" + dir,
                      at = "ROUTER_ADMIN=" + text_of(admin);
    const std::string plan = "BALANCER_TEST_FAULTS=" + faults,
                      preload = "LD_PRELOAD=" BALANCER_FAULT_LIBRARY,
                      sanitizer = "ASAN_OPTIONS=verify_asan_link_order=0";
    std::vector<char*> env;
    for (const std::string* variable : {&config, &tmp, &at, &plan, &sanitizer, &preload})
      env.push_back(const_cast<char*>(variable->c_str()));
    if (faults.empty()) env.pop_back();
    env.push_back(nullptr);
    char* const args[] = {const_cast<char*>(BALANCER_PROGRAM), nullptr};
    pid = ::fork();
    if (pid == 0) {
      ::dup2(pipe[1], 2);
      ::close_range(3, ~0U, 0);            // descriptors of the test
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // ends with the test and releases its address
      ::execve(BALANCER_PROGRAM, args, env.data());
      ::_exit(127);
    }
    ::close(pipe[1]);
    err_.assign(pipe[0]);
    read_log();
  }
  ~Process() {
    if (!exited()) {
      ::kill(pid, SIGKILL);
      ::waitpid(pid, nullptr, 0);
    }
  }
  bool exited() {
    int s = 0;
    if (!status && ::waitpid(pid, &s, WNOHANG) == pid) status = s;
    return status.has_value();
  }
  bool exited_cleanly() { return exited() && WIFEXITED(*status) && WEXITSTATUS(*status) == 0; }
  // Returns whether the program is executed; before that, the descriptors are the test's.
  bool runs() const {
    std::error_code e;
    return std::filesystem::equivalent("/proc/" + std::to_string(pid) + "/exe", BALANCER_PROGRAM,
                                       e);
  }
  std::size_t descriptors() const {
    if (!runs()) return 0;
    std::error_code e;
    std::filesystem::directory_iterator at("/proc/" + std::to_string(pid) + "/fd", e), end;
    return e ? 0 : static_cast<std::size_t>(std::distance(at, end));
  }
  std::size_t resident_kb() const {
    if (!runs()) return 0;
    std::ifstream in("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(in, line);)
      if (line.starts_with("VmRSS:")) return std::stoul(line.substr(6));
    return 0;
  }
  bool logged(const std::string& what) const { return log.find(what) != std::string::npos; }

  pid_t pid = -1;
  const Endpoint admin;
  std::string log;
  std::optional<int> status;

 private:
  void read_log() {
    err_.async_read_some(asio::buffer(chunk_), [this](auto e, auto n) {
      if (e) return;
      log.append(chunk_, n);
      read_log();
    });
  }
  asio::posix::stream_descriptor err_;
  char chunk_[4096];
};

class HotRestartTest : public ::testing::Test {
 protected:
  void SetUp() override {
    char dir[] = "/tmp/balancer-hot-restart-XXXXXX";
    ASSERT_NE(::mkdtemp(dir), nullptr);
    dir_ = dir;
    listen_ = addresses_.next_endpoint();
    discovery_.hosts =
        host_entry("s-1", cache_.server.dial()) + "," + host_entry("s-2", cache_2_.server.dial());
    write_config(text_of(listen_));
  }
  void TearDown() override { std::filesystem::remove_all(dir_); }

  void write_config(const std::string& listen) {
    std::ofstream(dir_ + "/new.json")
        << "{\"name\":\"n/0\",\"listen\":\"" << listen << "\",\"discovery\":\""
        << discovery_.server.dial() << "\",\"seed\":\"1f\",\"limits\":{\"memory_mb\":" << kMemoryMb
        << ",\"sockets\":" << kSockets << "},\"settings\":" << test_settings() << "}";
    std::filesystem::rename(dir_ + "/new.json", dir_ + "/config.json");
  }
  std::unique_ptr<Process> start(const std::string& faults = "") {
    return std::make_unique<Process>(io_, dir_, addresses_.next_endpoint(), faults);
  }
  // Listens on the socket of a predecessor that never answers.
  Descriptor listen_as_predecessor() {
    Descriptor fake_predecessor = bind_as_predecessor();
    EXPECT_EQ(::listen(fake_predecessor.get(), 4), 0);
    EXPECT_EQ(::fcntl(fake_predecessor.get(), F_SETFL, O_NONBLOCK), 0);
    return fake_predecessor;
  }
  Descriptor bind_as_predecessor() {
    const std::string path = dir_ + "/silverpin-n%2f0.sock";
    std::filesystem::remove(path);
    Descriptor fake_predecessor(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0));
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    std::copy(path.begin(), path.end(), address.sun_path);
    EXPECT_EQ(::bind(fake_predecessor.get(), reinterpret_cast<sockaddr*>(&address), sizeof address),
              0);
    return fake_predecessor;
  }
  // Kills the process with SIGKILL; only the files in its folder remain.
  void kill(Process& p) {
    ::kill(p.pid, SIGKILL);
    ASSERT_TRUE(wait([&] { return p.exited(); }));
  }
  ::testing::AssertionResult wait(const std::function<bool()>& done) {
    if (run_until(io_, done)) return ::testing::AssertionSuccess();
    return ::testing::AssertionFailure() << "the condition was not met in time";
  }
  int call(const Process& p, const std::string& method_and_path) {
    auto c = std::make_shared<Peer>(tcp::socket(io_));
    boost::system::error_code e;
    c->socket.connect(p.admin, e);
    if (e) return 0;
    c->read();
    c->send(method_and_path + " HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
    if (!run_until(io_, [&] { return c->closed; })) return 0;
    return c->in.starts_with("HTTP/1.1 ") ? std::stoi(c->in.substr(9, 3)) : 0;
  }
  bool serves(const Process& p) { return call(p, "GET /healthcheck") == 200; }
  ::testing::AssertionResult serving(const Process& p) {
    if (wait([&] { return serves(p); })) return ::testing::AssertionSuccess();
    return ::testing::AssertionFailure() << "the health check did not return 200; the log:\n"
                                         << p.log;
  }
  // Starts a successor of `old` and terminates `old`. Returns the successor.
  std::unique_ptr<Process> restart(Process& old) {
    auto next = start();
    EXPECT_TRUE(serving(*next));
    ::kill(old.pid, SIGTERM);
    EXPECT_TRUE(wait([&] { return old.exited(); }));
    EXPECT_TRUE(old.exited_cleanly()) << old.log;
    return next;
  }
  std::string request_key(Peer& c, const std::string& key) {
    c.in.clear();
    c.send(get(key));
    EXPECT_TRUE(wait([&] { return answered(c) || c.closed; }));
    return c.in;
  }
  std::string get(const std::string& key) {
    return "mg " + key + " v Oid" + std::to_string(++ids_) + " Pc=read,t=acme,d=5000\r\n";
  }
  static bool answered(const Peer& c) {
    return std::count(c.in.begin(), c.in.end(), '\n') >= 2 ||
           (c.in.starts_with("SERVER_ERROR") && c.in.ends_with('\n'));
  }

  static constexpr std::size_t kSockets = 256, kMemoryMb = 48;
  testbed::LoopbackBlock addresses_;
  asio::io_context io_{1};
  FakeDiscovery discovery_{io_};
  std::vector<std::string> lines_;  // commands that host s-1 received
  // Requests for the key "held" get no answer.
  static std::string answer_to(const std::string& line, const std::string& id) {
    return line.starts_with("mg held ") ? std::string() : FakeCache::value(id, "v");
  }
  FakeCache cache_{io_, [this](const std::string& line, const std::string& id) {
                     lines_.push_back(line);
                     return answer_to(line, id);
                   }};
  FakeCache cache_2_{
      io_, [](const std::string& line, const std::string& id) { return answer_to(line, id); }};
  std::string dir_;
  Endpoint listen_;
  int ids_ = 0;
};

// Clients that send requests repeatedly on a persistent connection, and clients that send one
// request on a new connection; together about 300 requests per second.
class Load {
 public:
  Load(asio::io_context& io, const Endpoint& at, int persistent_clients)
      : io_(io), at_(at), timer_(io) {
    for (int i = 0; i < persistent_clients; ++i) connect_persistent(std::make_shared<Client>(io));
    arm();
  }
  void stop() { stopped_ = true; }
  bool is_idle() const { return open_ == 0; }

  int sent = 0, served = 0, rejected = 0, unexpected = 0;

 private:
  struct Client {
    explicit Client(asio::io_context& io) : socket(io), timer(io) {}
    tcp::socket socket;
    asio::steady_timer timer;
    std::string in;
    char chunk[512];
    bool is_persistent = false;
  };
  using Ptr = std::shared_ptr<Client>;

  void connect_persistent(const Ptr& c) {
    c->is_persistent = true;
    connect(c);
  }
  void connect(const Ptr& c) {
    ++open_;
    ++sent;
    c->socket.async_connect(at_, [this, c](auto e) {
      if (e) return end(c, false);
      c->socket.set_option(tcp::no_delay(true));
      send_request(c);
    });
  }
  void send_request(const Ptr& c) {
    c->in.clear();
    const std::string id = "load" + std::to_string(++ids_);
    auto line =
        std::make_shared<std::string>("mg k" + id + " v O" + id + " Pc=read,t=acme,d=5000\r\n");
    asio::async_write(c->socket, asio::buffer(*line), [this, c, line](auto e, auto) {
      if (e) return end(c, false);
      read(c, "VA 1 O" +
                  line->substr(line->find(" O") + 2, line->find(" P") - line->find(" O") - 2) +
                  "\r\nv\r\n");
    });
  }
  void read(const Ptr& c, const std::string& want) {
    c->socket.async_read_some(asio::buffer(c->chunk), [this, c, want](auto e, auto n) {
      if (e) return end(c, false);
      c->in.append(c->chunk, n);
      if (c->in.size() < want.size()) return read(c, want);
      unexpected += c->in != want;
      end(c, true);
    });
  }
  void end(const Ptr& c, bool answered) {
    --open_;
    ++(answered ? served : rejected);
    if (!c->is_persistent || stopped_) return;
    if (!answered) c->socket = tcp::socket(io_);
    c->timer.expires_after(milliseconds(100));
    c->timer.async_wait([this, c, answered](auto) {
      if (stopped_) return;
      if (!answered) return connect(c);
      ++open_;
      ++sent;
      send_request(c);
    });
  }
  void arm() {
    timer_.expires_after(milliseconds(10));
    timer_.async_wait([this](auto e) {
      if (e || stopped_) return;
      connect(std::make_shared<Client>(io_));
      arm();
    });
  }

  asio::io_context& io_;
  const Endpoint at_;
  asio::steady_timer timer_;
  int ids_ = 0, open_ = 0;
  bool stopped_ = false;
};

// An origin that runs each booking and answers it after 0.3 s.
class SlowOrigin {
 public:
  explicit SlowOrigin(asio::io_context& io)
      : server(io, [this, &io](Peer& p) {
          const auto end = p.in.find("\r\n\r\n");
          if (end == std::string::npos || p.in.size() < end + 4 + kBody.size()) return;
          p.in.clear();
          ++runs;
          auto timer = std::make_shared<asio::steady_timer>(io, milliseconds(300));
          timer->async_wait([timer, peer = p.shared_from_this()](auto) {
            if (!peer->closed) peer->send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nr-1");
          });
        }) {}

  static inline const std::string kBody = "book";
  int runs = 0;
  Server server;
};

// Guards against a booking that runs twice during an upgrade: its client leaves the old process,
// and the same id comes again at either process, before or after its first attempt has ended.
class RepeatedIdInUpgradeTest : public HotRestartTest, public ::testing::WithParamInterface<int> {};

TEST_P(RepeatedIdInUpgradeTest, RunsTheBookingOnce) {
  SlowOrigin origin(io_);
  discovery_.hosts += "," + host_entry("o", origin.server.dial(), "origin");
  auto old = start();
  ASSERT_TRUE(serving(*old));
  const std::string booking = "ms k 4 Obooking1 Pc=book,t=acme,d=2000\r\nbook\r\n";
  auto next = start();
  ASSERT_TRUE(wait([&] { return next->logged("hot restart: predecessor answered"); }));
  auto c = Peer::connect(io_, listen_);
  c->send(booking);
  ASSERT_TRUE(wait([&] { return origin.runs == 1; }));
  c->close();
  ASSERT_TRUE(serving(*next));
  ::kill(old->pid, SIGTERM);
  run_for(io_, milliseconds(GetParam()));
  auto again = Peer::connect(io_, listen_);
  again->send(booking);
  ASSERT_TRUE(wait([&] { return !again->in.empty() || again->closed || origin.runs > 1; }));
  run_for(io_, milliseconds(400));
  EXPECT_EQ(origin.runs, 1) << next->log;
}

INSTANTIATE_TEST_SUITE_P(MillisecondsBehindTheSignal, RepeatedIdInUpgradeTest,
                         ::testing::Values(0, 100, 400, 1000));

TEST_F(HotRestartTest, RejectsNoRequestInTwentyConsecutiveRestarts) {
  auto now = start();
  ASSERT_TRUE(serving(*now));
  Load load(io_, listen_, 20);
  std::size_t max_descriptors = 0, max_kb = 0;
  for (int i = 0; i < 20; ++i) {
    run_for(io_, milliseconds(100));
    auto next = start();
    const auto measure = [&] {
      max_descriptors = std::max(max_descriptors, now->descriptors() + next->descriptors());
      max_kb = std::max(max_kb, now->resident_kb() + next->resident_kb());
    };
    ASSERT_TRUE(wait([&] {
      measure();
      return serves(*next);
    })) << next->log;
    EXPECT_TRUE(next->logged("hot restart: predecessor answered")) << next->log;
    ::kill(now->pid, SIGTERM);
    ASSERT_TRUE(wait([&] {
      measure();
      return now->exited();
    }));
    EXPECT_TRUE(now->exited_cleanly()) << now->log;
    now = std::move(next);
  }
  run_for(io_, milliseconds(100));
  load.stop();
  ASSERT_TRUE(wait([&] { return load.is_idle(); }));
  EXPECT_GT(load.served, 100);
  EXPECT_EQ(load.rejected, 0);
  EXPECT_EQ(load.unexpected, 0);
  EXPECT_LE(max_descriptors, kSockets);
#ifndef __SANITIZE_ADDRESS__  // its shadow memory makes up most of the resident memory
  EXPECT_LE(max_kb, kMemoryMb << 10);
#endif
  std::printf("%d requests served over 20 restarts, both at most %zu descriptors and %zu kB\n",
              load.served, max_descriptors, max_kb);
}

// A command of which the predecessor has received one half is completed at the successor.
TEST_F(HotRestartTest, PassesAConnectionWithAPartialCommand) {
  auto old = start();
  ASSERT_TRUE(serving(*old));
  auto slow = Peer::connect(io_, listen_), idle = Peer::connect(io_, listen_);
  EXPECT_TRUE(request_key(*idle, "k").starts_with("VA 1 "));
  const std::string line = get("slowly");
  slow->send(line.substr(0, 9));
  run_for(io_, milliseconds(50));
  auto next = restart(*old);
  slow->send(line.substr(9));
  ASSERT_TRUE(wait([&] { return answered(*slow) || slow->closed; }));
  EXPECT_TRUE(slow->in.starts_with("VA 1 ")) << slow->in;
  EXPECT_TRUE(request_key(*idle, "k").starts_with("VA 1 ")) << idle->in << old->log << next->log;
  EXPECT_FALSE(idle->closed);
}

// Connections wait in the accept queue when the predecessor receives SIGTERM. Both processes are
// stopped before, so that none of the connections is accepted earlier.
TEST_F(HotRestartTest, AnswersClientsThatWaitInTheAcceptQueue) {
  auto old = start();
  ASSERT_TRUE(serving(*old));
  auto next = start();
  ASSERT_TRUE(serving(*next));
  ::kill(next->pid, SIGSTOP);
  ::kill(old->pid, SIGSTOP);
  std::vector<std::shared_ptr<Peer>> waiting;
  for (int i = 0; i < 50; ++i) {
    waiting.push_back(Peer::connect(io_, listen_));
    waiting.back()->send(get("k" + std::to_string(i)));
  }
  ::kill(old->pid, SIGTERM);
  ::kill(old->pid, SIGCONT);
  ASSERT_TRUE(wait([&] { return old->exited(); }));
  ::kill(next->pid, SIGCONT);
  ASSERT_TRUE(wait([&] {
    return std::all_of(waiting.begin(), waiting.end(),
                       [](const auto& p) { return answered(*p) || p->closed; });
  }));
  for (const auto& p : waiting) EXPECT_TRUE(p->in.starts_with("VA 1 ")) << p->in;
}

// A host that an operator took out of service stays out of service when it disappears from the
// endpoint list and is listed again after two restarts, with a new start time. `ready` then puts it
// back into service.
TEST_F(HotRestartTest, KeepsOverridesAcrossRestarts) {
  auto old = start();
  ASSERT_TRUE(serving(*old));
  const std::string with = discovery_.hosts;
  EXPECT_EQ(call(*old, "POST /cache-hosts/s-1/maint"), 200);
  discovery_.hosts = host_entry("s-2", cache_2_.server.dial());
  auto next = restart(*old);
  std::string again = host_entry("s-1", cache_.server.dial());
  again.replace(again.find("\"born_ms\":0"), 11, "\"born_ms\":1700000000000");
  discovery_.hosts = again + "," + host_entry("s-2", cache_2_.server.dial());
  auto last = restart(*next);
  lines_.clear();
  auto c = Peer::connect(io_, listen_);
  for (int i = 0; i < 30; ++i) request_key(*c, "k" + std::to_string(i));
  EXPECT_EQ(lines_.size(), 0u) << lines_[0];
  EXPECT_EQ(call(*last, "POST /cache-hosts/s-3/maint"), 404);
  EXPECT_EQ(call(*last, "POST /cache-hosts/s-1/ready"), 200);
  // The file is for a start without a predecessor.
  EXPECT_TRUE(std::filesystem::exists(dir_ + "/silverpin-n%2f0.words"));
}

// An operator's call is answered while the folder cannot be written. The override is saved once the
// folder can be written: after the process was killed, the next start applies it.
TEST_F(HotRestartTest, SavesOverridesOnceTheFolderCanBeWritten) {
  auto first = start("storage_from_ms=0,storage_until_ms=2000");
  ASSERT_TRUE(serving(*first));
  EXPECT_EQ(call(*first, "POST /cache-hosts/s-1/maint"), 200);
  EXPECT_FALSE(std::filesystem::exists(dir_ + "/silverpin-n%2f0.words"));
  ASSERT_TRUE(wait([&] { return std::filesystem::exists(dir_ + "/silverpin-n%2f0.words"); }));
  kill(*first);
  auto next = start();
  ASSERT_TRUE(serving(*next));
  lines_.clear();
  auto c = Peer::connect(io_, listen_);
  for (int i = 0; i < 30; ++i) request_key(*c, "k" + std::to_string(i));
  EXPECT_EQ(lines_.size(), 0u) << "a host that is out of service received requests";
}

// The socket through which a successor connects is created once the folder can be written.
TEST_F(HotRestartTest, PublishesItsSocketOnceTheFolderCanBeWritten) {
  auto old = start("storage_from_ms=0,storage_until_ms=2000");
  ASSERT_TRUE(serving(*old));
  ASSERT_TRUE(wait([&] { return std::filesystem::exists(dir_ + "/silverpin-n%2f0.sock"); }));
  auto next = start();
  ASSERT_TRUE(serving(*next));
  EXPECT_TRUE(next->logged("hot restart: predecessor answered")) << next->log;
}

// After a kill, the next start restores more overrides than fit into one part of a snapshot.
TEST_F(HotRestartTest, RestoresManyOverridesAfterAKill) {
  constexpr int kHosts = 600;
  discovery_.hosts.clear();
  for (int i = 0; i < kHosts; ++i)
    discovery_.hosts +=
        (i > 0 ? "," : "") + host_entry("s-" + std::to_string(i), cache_.server.dial());
  auto first = start();
  ASSERT_TRUE(serving(*first));
  for (int i = 0; i < kHosts; ++i)
    ASSERT_EQ(call(*first, "POST /cache-hosts/s-" + std::to_string(i) + "/maint"), 200);
  kill(*first);
  auto next = start();
  ASSERT_TRUE(serving(*next));
  EXPECT_TRUE(next->logged("hot restart: 600 overrides restored from their file")) << next->log;
}

// A call to either process takes effect at both.
TEST_F(HotRestartTest, AppliesAnOverrideAtBothProcesses) {
  auto old = start();
  ASSERT_TRUE(serving(*old));
  auto persistent_client =
      Peer::connect(io_, listen_);  // stays at the predecessor until it receives SIGTERM
  ASSERT_TRUE(request_key(*persistent_client, "k").starts_with("VA 1 "));
  auto next = start();
  ASSERT_TRUE(serving(*next));
  EXPECT_EQ(call(*next, "POST /cache-hosts/s-1/maint"), 200);
  ASSERT_TRUE(wait(
      [&] { return old->logged("override s-1: out of service, by an operator at the other"); }));
  lines_.clear();
  for (int i = 0; i < 30; ++i) request_key(*persistent_client, "k" + std::to_string(i));
  EXPECT_EQ(lines_.size(), 0u);
  EXPECT_EQ(call(*old, "POST /healthcheck/fail"), 200);
  auto probe = Peer::connect(io_, listen_);
  ASSERT_TRUE(
      wait([&] { return next->logged("drain: clients are asked to reconnect elsewhere"); }));
  probe->send("mn\r\n");
  ASSERT_TRUE(wait([&] { return !probe->in.empty(); }));
  EXPECT_EQ(probe->in, "SERVER_ERROR draining\r\n");
}

// The predecessor accepts clients again when the successor is killed while it serves.
TEST_F(HotRestartTest, AcceptsAgainWhenTheSuccessorIsKilled) {
  auto old = start();
  ASSERT_TRUE(serving(*old));
  for (int i = 0; i < 3; ++i) {
    auto next = start();
    ASSERT_TRUE(serving(*next));
    ::kill(next->pid, SIGKILL);
    ASSERT_TRUE(wait([&] { return next->exited(); }));
    auto c = Peer::connect(io_, listen_);
    EXPECT_TRUE(request_key(*c, "k").starts_with("VA 1 "));
  }
  auto next = restart(*old);  // a further successor finds the predecessor
  EXPECT_TRUE(next->logged("hot restart: predecessor answered")) << next->log;
}

// A new version is taken back with SIGTERM while clients keep their connections to it. Until it has
// ended it answers them, and somebody has to accept the clients that come.
TEST_F(HotRestartTest, AcceptsAtOnceWhenTheSuccessorIsTakenBack) {
  auto old = start();
  ASSERT_TRUE(serving(*old));
  auto next = start();
  ASSERT_TRUE(serving(*next));
  std::vector<std::shared_ptr<Peer>> held;
  for (int i = 0; i < 10; ++i) {
    held.push_back(Peer::connect(io_, listen_));
    ASSERT_TRUE(request_key(*held.back(), "k").starts_with("VA 1 "));
  }
  // Requests that keep the new process from ending before its last moment.
  for (const auto& c : held) c->send(get("held"));
  ::kill(next->pid, SIGTERM);
  int requests = 0;
  for (; !next->exited(); ++requests) {
    auto c = Peer::connect(io_, listen_);
    const auto sent_at = std::chrono::steady_clock::now();
    EXPECT_TRUE(request_key(*c, "k").starts_with("VA 1 ")) << c->in;
    // The objective of the class: a request that waits unread for the end of a process takes
    // longer.
    EXPECT_LT(std::chrono::steady_clock::now() - sent_at, milliseconds(500));
    run_for(io_, milliseconds(20));
  }
  EXPECT_GT(requests, 20);
  EXPECT_TRUE(next->exited_cleanly()) << next->log;
  EXPECT_TRUE(old->logged("successor was terminated")) << old->log;
  auto again = restart(*old);  // the next version finds the old one
  EXPECT_TRUE(again->logged("hot restart: predecessor answered")) << again->log;
}

// A successor with an invalid configuration logs one line and exits; the predecessor continues to
// serve.
TEST_F(HotRestartTest, ContinuesWhenTheSuccessorsConfigurationIsInvalid) {
  auto old = start();
  ASSERT_TRUE(serving(*old));
  write_config("nowhere");
  auto bad = start();
  ASSERT_TRUE(wait([&] { return bad->exited(); }));
  EXPECT_TRUE(WIFEXITED(*bad->status) && WEXITSTATUS(*bad->status) != 0);
  run_for(io_, milliseconds(50));
  EXPECT_EQ(std::count(bad->log.begin(), bad->log.end(), '\n'), 1) << bad->log;
  EXPECT_TRUE(bad->logged("listen")) << bad->log;
  EXPECT_FALSE(old->logged("hot restart: successor connected"));
  auto c = Peer::connect(io_, listen_);
  EXPECT_TRUE(request_key(*c, "k").starts_with("VA 1 "));
}

// The owner of the socket file does not listen, does not answer, sends an unreadable message, or
// closes the connection after a part of the snapshot. The new process still starts in time, listens
// in addition to the old one, and presumes that the old one holds half of the limits.
TEST_F(HotRestartTest, ServesWhenThePredecessorCannotBeQueried) {
  for (const int kind : {0, 1, 2, 3}) {
    auto old = start();
    ASSERT_TRUE(serving(*old));
    EXPECT_EQ(call(*old, "POST /cache-hosts/s-1/maint"), 200);
    const Descriptor fake_predecessor = bind_as_predecessor();
    if (kind > 0) {
      ASSERT_EQ(::listen(fake_predecessor.get(), 4), 0);
    }
    auto next = start();
    if (kind > 1) {
      Descriptor peer(::accept(fake_predecessor.get(), nullptr, nullptr));
      ASSERT_TRUE(peer);
      std::string part = "\xff nonsense";
      if (kind == 3) {
        hot_restart::Snapshot first_part;
        first_part.has_more = true;
        part = hot_restart::encode(first_part);
      }
      EXPECT_TRUE(send_packet(peer.get(), part, {}));
    }
    ASSERT_TRUE(serving(*next));
    EXPECT_TRUE(next->logged("presumed to hold half")) << kind << next->log;
    EXPECT_TRUE(next->logged("hot restart: 1 overrides restored from their file")) << next->log;
    // Both listen; the old process drains as without a successor.
    ::kill(old->pid, SIGTERM);
    ASSERT_TRUE(wait([&] { return old->exited(); }));
    EXPECT_TRUE(old->exited_cleanly());
    auto c = Peer::connect(io_, listen_);
    EXPECT_TRUE(request_key(*c, "k").starts_with("VA 1 "));
  }
}

// The predecessor is itself still starting, so that the start waits for it. SIGTERM arrives
// meanwhile; the time until SIGKILL counts from there, and not from when the process takes notice.
TEST_F(HotRestartTest, CountsTheDrainFromASignalDuringTheStart) {
  constexpr milliseconds kBusyTime{1500}, kKillTime{3700};
  auto busy_predecessor = std::make_unique<Descriptor>(listen_as_predecessor());
  auto p = start();
  const auto answer_busy = [&](milliseconds time) {
    const auto end = std::chrono::steady_clock::now() + time;
    std::vector<Descriptor> links;
    while (std::chrono::steady_clock::now() < end) {
      links.emplace_back(::accept4(busy_predecessor->get(), nullptr, nullptr, SOCK_NONBLOCK));
      if (links.back()) send_packet(links.back().get(), encode(hot_restart::Busy{}), {});
      run_for(io_, milliseconds(10));
    }
  };
  answer_busy(milliseconds(300));
  const auto signalled_at = std::chrono::steady_clock::now();
  ::kill(p->pid, SIGTERM);
  answer_busy(kBusyTime);
  busy_predecessor.reset();
  // A client connects as soon as it can, and its request gets no answer.
  std::shared_ptr<Peer> c;
  ASSERT_TRUE(wait([&] {
    auto peer = std::make_shared<Peer>(tcp::socket(io_));
    boost::system::error_code e;
    peer->socket.connect(listen_, e);
    if (!e) c = std::move(peer);
    return c || p->exited();
  }));
  if (c) {
    c->read();
    c->send(get("held"));
  }
  ASSERT_TRUE(wait([&] { return p->exited(); }));
  EXPECT_TRUE(p->exited_cleanly()) << p->log;
  EXPECT_LT(std::chrono::steady_clock::now() - signalled_at, kKillTime) << p->log;
}

// A process that waits for its first endpoint list before it accepts clients gets SIGTERM, and then
// the list. It accepts nobody: it would cut the connections off at its end.
TEST_F(HotRestartTest, AcceptsNobodyAfterASignalBeforeItsFirstList) {
  const Descriptor silent_predecessor = listen_as_predecessor();
  discovery_.holds_answers = true;
  auto p = start();
  ASSERT_TRUE(wait([&] { return p->logged("presumed to hold half"); }));
  ASSERT_TRUE(wait([&] { return discovery_.calls > 0; }));
  ::kill(p->pid, SIGTERM);
  ASSERT_TRUE(wait([&] { return p->logged("drain: begins"); }));
  discovery_.holds_answers = false;
  discovery_.answer_held();
  bool connected = false;
  ASSERT_TRUE(wait([&] {
    tcp::socket socket(io_);
    boost::system::error_code e;
    socket.connect(listen_, e);
    connected = connected || !e;
    return p->exited();
  }));
  EXPECT_FALSE(connected);
  EXPECT_TRUE(p->exited_cleanly()) << p->log;
}

// ---- events while a connection is being passed

// The successor is stopped, so that the client's connection is in transit between the two processes
// until the test continues the successor. A request without an answer keeps the predecessor
// running.
class ConnectionPassingTest : public HotRestartTest {
 protected:
  void begin() {
    old = start();
    ASSERT_TRUE(serving(*old));
    blocked_client = Peer::connect(io_, listen_);
    c = Peer::connect(io_, listen_);
    for (auto& p : {blocked_client, c}) ASSERT_TRUE(request_key(*p, "k").starts_with("VA 1 "));
    blocked_client->send(get("held"));
    ASSERT_TRUE(wait([&] { return cache_.ids.size() + cache_2_.ids.size() > 2; }));
    next = start();
    ASSERT_TRUE(serving(*next));
    ASSERT_TRUE(wait([&] { return old->logged("hot restart: successor is serving"); }));
    ::kill(next->pid, SIGSTOP);
    const std::size_t before = old->descriptors();
    ::kill(old->pid, SIGTERM);
    ASSERT_TRUE(wait([&] { return old->descriptors() < before; })) << "no connection was passed";
    lines_.clear();
    c->in.clear();
  }
  void send_many_requests() {
    std::string text;
    for (int i = 0; i < kMany; ++i) text += get("k" + std::to_string(i));
    c->send(text);
  }
  ::testing::AssertionResult many_answered() {
    return wait([&] { return std::count(c->in.begin(), c->in.end(), '\n') == 2 * kMany; });
  }
  void end_old() {
    blocked_client->close();
    ASSERT_TRUE(wait([&] { return old->exited(); }));
    EXPECT_TRUE(old->exited_cleanly()) << old->log;
  }
  bool host_received(const std::string& id) const {
    return std::count(cache_.ids.begin(), cache_.ids.end(), id) +
               std::count(cache_2_.ids.begin(), cache_2_.ids.end(), id) >
           0;
  }

  static constexpr int kMany = 20;  // keys, distributed over both hosts
  std::unique_ptr<Process> old, next;
  std::shared_ptr<Peer> blocked_client, c;
};

TEST_F(ConnectionPassingTest, SendsNothingToAHostListedAsDrainingMeanwhile) {
  ASSERT_NO_FATAL_FAILURE(begin());
  discovery_.hosts = host_entry("s-1", cache_.server.dial(), "std", "draining") + "," +
                     host_entry("s-2", cache_2_.server.dial());
  send_many_requests();
  run_for(io_, milliseconds(1100));  // a process stall, after which the list is confirmed
  ::kill(next->pid, SIGCONT);
  ASSERT_TRUE(many_answered()) << c->in << next->log;
  EXPECT_EQ(lines_.size(), 0u) << lines_[0];
  end_old();
}

TEST_F(ConnectionPassingTest, AppliesAnOverrideMadeMeanwhile) {
  ASSERT_NO_FATAL_FAILURE(begin());
  ASSERT_EQ(call(*old, "POST /cache-hosts/s-1/maint"), 200);
  send_many_requests();
  ::kill(next->pid, SIGCONT);
  ASSERT_TRUE(many_answered()) << c->in << next->log;
  EXPECT_EQ(lines_.size(), 0u) << lines_[0];
  end_old();
}

// A client sends a complete command and disconnects; the successor must not forward the command,
// because nobody waits for the answer.
TEST_F(ConnectionPassingTest, ForwardsNothingForADisconnectedClient) {
  for (const bool by_reset : {false, true}) {
    ASSERT_NO_FATAL_FAILURE(begin());
    c->send(get("k"));
    const std::string id = "id" + std::to_string(ids_);
    if (by_reset) c->socket.set_option(asio::socket_base::linger(true, 0));
    c->close();
    ::kill(next->pid, SIGCONT);
    auto other = Peer::connect(io_, listen_);
    EXPECT_TRUE(request_key(*other, "k").starts_with("VA 1 "));
    end_old();
    EXPECT_TRUE(request_key(*other, "k").starts_with("VA 1 "));
    EXPECT_FALSE(host_received(id)) << "by " << (by_reset ? "reset" : "FIN");
  }
}

// Requests sent while the connection was in transit are answered, then it is closed gracefully.
TEST_F(ConnectionPassingTest, AnswersWhenTheSuccessorIsTerminatedToo) {
  ASSERT_NO_FATAL_FAILURE(begin());
  send_many_requests();
  ::kill(next->pid, SIGTERM);
  ::kill(next->pid, SIGCONT);
  ASSERT_TRUE(many_answered()) << c->in << next->log;
  ASSERT_TRUE(wait([&] { return c->closed; }));
  EXPECT_EQ(std::count(c->in.begin(), c->in.end(), '\n'), 2 * kMany);
  end_old();
  ASSERT_TRUE(wait([&] { return next->exited(); }));
  EXPECT_TRUE(next->exited_cleanly()) << next->log;
}

TEST_F(ConnectionPassingTest, AnswersWhenThePredecessorIsKilled) {
  ASSERT_NO_FATAL_FAILURE(begin());
  ::kill(old->pid, SIGKILL);
  ASSERT_TRUE(wait([&] { return old->exited(); }));
  send_many_requests();
  ::kill(next->pid, SIGCONT);
  ASSERT_TRUE(many_answered()) << c->in << next->log;
  auto other = Peer::connect(io_, listen_);
  EXPECT_TRUE(request_key(*other, "k").starts_with("VA 1 "));
}

// A connection in transit is closed when the successor is killed, and the client connects again.
TEST_F(ConnectionPassingTest, ClosesTheConnectionWhenTheSuccessorIsKilled) {
  ASSERT_NO_FATAL_FAILURE(begin());
  ::kill(next->pid, SIGKILL);
  ASSERT_TRUE(wait([&] { return c->closed; }));
  EXPECT_EQ(c->in, "");
  auto again = Peer::connect(io_, listen_);  // the predecessor serves it, though it is draining
  EXPECT_TRUE(request_key(*again, "k").starts_with("VA 1 "));
  end_old();
}

// ---- the successor does not reach the serving state

// The successor is stopped between its query and its first accept, and the predecessor receives
// SIGTERM or is killed. Connected clients are answered, and new clients are served by either
// process.
TEST_F(HotRestartTest, AnswersWhenThePredecessorEndsBeforeTheSuccessorServes) {
  for (const int signal : {SIGTERM, SIGKILL}) {
    auto old = start();
    ASSERT_TRUE(serving(*old));
    auto c = Peer::connect(io_, listen_);
    ASSERT_TRUE(request_key(*c, "k").starts_with("VA 1 "));
    // A successor that began to serve before it was stopped is replaced by another one.
    std::unique_ptr<Process> next;
    for (int i = 0; i < 50 && !next; ++i) {
      old->log.clear();
      next = start();
      ASSERT_TRUE(wait([&] { return old->logged("hot restart: successor connected"); }));
      ::kill(next->pid, SIGSTOP);
      run_for(io_, milliseconds(50));
      if (!old->logged("hot restart: successor is serving")) break;
      next.reset();
      ASSERT_TRUE(wait([&] { return old->logged("hot restart: successor disconnected"); }));
    }
    ASSERT_TRUE(next) << "every successor served before it was stopped";
    ::kill(old->pid, signal);
    if (signal == SIGTERM) {
      auto fresh = Peer::connect(io_, listen_);
      EXPECT_TRUE(request_key(*fresh, "k").starts_with("VA 1 "));
      EXPECT_TRUE(request_key(*c, "k").starts_with("VA 1 "));
    }
    ASSERT_TRUE(wait([&] { return old->exited(); }));
    EXPECT_EQ(old->exited_cleanly(), signal == SIGTERM) << old->log;
    auto late = Peer::connect(io_, listen_);  // waits in the accept queue of the passed socket
    late->send(get("k"));
    ::kill(next->pid, SIGCONT);
    ASSERT_TRUE(wait([&] { return answered(*late) || late->closed; }));
    EXPECT_TRUE(late->in.starts_with("VA 1 ")) << late->in << next->log;
  }
}

}  // namespace
}  // namespace balancer::node
