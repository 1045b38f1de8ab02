// A new version beside the old one: the built program, its peers played by the test.
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

// One start of the program.
class Process {
 public:
  // `faults`: of its machine; see rig/faults/fault_plan.h.
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
      ::close_range(3, ~0U, 0);            // the test's own
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends with the test, and gives its address back
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
  bool ended_well() { return exited() && WIFEXITED(*status) && WEXITSTATUS(*status) == 0; }
  // Until the program runs the descriptors are the test's own.
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
    char dir[] = "/tmp/balancer-upgrade-XXXXXX";
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
  // Killed outright: nothing is left of it but its folder.
  void kill(Process& p) {
    ::kill(p.pid, SIGKILL);
    ASSERT_TRUE(wait([&] { return p.exited(); }));
  }
  ::testing::AssertionResult wait(const std::function<bool()>& done) {
    if (run_until(io_, done)) return ::testing::AssertionSuccess();
    return ::testing::AssertionFailure() << "it never came to that";
  }
  int call(const Process& p, const std::string& overrides) {
    auto c = std::make_shared<Peer>(tcp::socket(io_));
    boost::system::error_code e;
    c->socket.connect(p.admin, e);
    if (e) return 0;
    c->read();
    c->send(overrides + " HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
    if (!run_until(io_, [&] { return c->closed; })) return 0;
    return c->in.starts_with("HTTP/1.1 ") ? std::stoi(c->in.substr(9, 3)) : 0;
  }
  bool serves(const Process& p) { return call(p, "GET /healthcheck") == 200; }
  ::testing::AssertionResult serving(const Process& p) {
    if (wait([&] { return serves(p); })) return ::testing::AssertionSuccess();
    return ::testing::AssertionFailure() << "no yes; its log:\n" << p.log;
  }
  // One more process, and the end of the one before.
  std::unique_ptr<Process> upgrade(Process& old) {
    auto next = start();
    EXPECT_TRUE(serving(*next));
    ::kill(old.pid, SIGTERM);
    EXPECT_TRUE(wait([&] { return old.exited(); }));
    EXPECT_TRUE(old.ended_well()) << old.log;
    return next;
  }
  std::string ask(Peer& c, const std::string& key) {
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
  std::vector<std::string> lines_;  // of the commands that came to host s-1
  // What asks for the key "held" gets no answer.
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

// Clients that keep their connection and ask again and again, and clients that come with a new one
// each time, at some 300 requests a second together.
class Load {
 public:
  Load(asio::io_context& io, const Endpoint& at, int keepers) : io_(io), at_(at), timer_(io) {
    for (int i = 0; i < keepers; ++i) keep(std::make_shared<Client>(io));
    arm();
  }
  void stop() { stopped_ = true; }
  bool quiet() const { return open_ == 0; }

  int asked = 0, served = 0, turned_back = 0, odd = 0;

 private:
  struct Client {
    explicit Client(asio::io_context& io) : socket(io), timer(io) {}
    tcp::socket socket;
    asio::steady_timer timer;
    std::string in;
    char chunk[512];
    bool keeps = false;
  };
  using Ptr = std::shared_ptr<Client>;

  void keep(const Ptr& c) {
    c->keeps = true;
    connect(c);
  }
  void connect(const Ptr& c) {
    ++open_;
    ++asked;
    c->socket.async_connect(at_, [this, c](auto e) {
      if (e) return end(c, false);
      c->socket.set_option(tcp::no_delay(true));
      ask(c);
    });
  }
  void ask(const Ptr& c) {
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
      odd += c->in != want;
      end(c, true);
    });
  }
  void end(const Ptr& c, bool answered) {
    --open_;
    ++(answered ? served : turned_back);
    if (!c->keeps || stopped_) return;
    if (!answered) c->socket = tcp::socket(io_);
    c->timer.expires_after(milliseconds(100));
    c->timer.async_wait([this, c, answered](auto) {
      if (stopped_) return;
      if (!answered) return connect(c);
      ++open_;
      ++asked;
      ask(c);
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

// It has not been run without the passed sockets and connections.
TEST_F(HotRestartTest, TwentyInARowTurnNobodyBack) {
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
    EXPECT_TRUE(now->ended_well()) << now->log;
    now = std::move(next);
  }
  run_for(io_, milliseconds(100));
  load.stop();
  ASSERT_TRUE(wait([&] { return load.quiet(); }));
  EXPECT_GT(load.served, 100);
  EXPECT_EQ(load.turned_back, 0);
  EXPECT_EQ(load.odd, 0);
  EXPECT_LE(max_descriptors, kSockets);
#ifndef __SANITIZE_ADDRESS__  // its shadow is most of what is resident
  EXPECT_LE(max_kb, kMemoryMb << 10);
#endif
  std::printf("%d requests served over 20 upgrades, both at most %zu descriptors and %zu kB\n",
              load.served, max_descriptors, max_kb);
}

// Half a command that was written to the old process is finished at the new one.
TEST_F(HotRestartTest, AClientThatWritesSlowlyIsPassedOn) {
  auto old = start();
  ASSERT_TRUE(serving(*old));
  auto slow = Peer::dial(io_, listen_), idle = Peer::dial(io_, listen_);
  EXPECT_TRUE(ask(*idle, "k").starts_with("VA 1 "));
  const std::string line = get("slowly");
  slow->send(line.substr(0, 9));
  run_for(io_, milliseconds(50));
  auto next = upgrade(*old);
  slow->send(line.substr(9));
  ASSERT_TRUE(wait([&] { return answered(*slow) || slow->closed; }));
  EXPECT_TRUE(slow->in.starts_with("VA 1 ")) << slow->in;
  EXPECT_TRUE(ask(*idle, "k").starts_with("VA 1 ")) << idle->in << old->log << next->log;
  EXPECT_FALSE(idle->closed);
}

// Connections that wait in the accept queue when the old one is told to end: it stands still, so
// that none is accepted before the signal.
TEST_F(HotRestartTest, WhoWaitsInTheAcceptQueueIsAnswered) {
  auto old = start();
  ASSERT_TRUE(serving(*old));
  auto next = start();
  ASSERT_TRUE(serving(*next));
  ::kill(next->pid, SIGSTOP);
  ::kill(old->pid, SIGSTOP);
  std::vector<std::shared_ptr<Peer>> waiting;
  for (int i = 0; i < 50; ++i) {
    waiting.push_back(Peer::dial(io_, listen_));
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

// Out, gone from the list, two upgrades, back on the list with a new start: out still. Then ready.
TEST_F(HotRestartTest, OperatorsWordsHoldOverUpgrades) {
  auto old = start();
  ASSERT_TRUE(serving(*old));
  const std::string with = discovery_.hosts;
  EXPECT_EQ(call(*old, "POST /cache-hosts/s-1/maint"), 200);
  discovery_.hosts = host_entry("s-2", cache_2_.server.dial());
  auto next = upgrade(*old);
  std::string again = host_entry("s-1", cache_.server.dial());
  again.replace(again.find("\"born_ms\":0"), 11, "\"born_ms\":1700000000000");
  discovery_.hosts = again + "," + host_entry("s-2", cache_2_.server.dial());
  auto last = upgrade(*next);
  lines_.clear();
  auto c = Peer::dial(io_, listen_);
  for (int i = 0; i < 30; ++i) ask(*c, "k" + std::to_string(i));
  EXPECT_EQ(lines_.size(), 0u) << lines_[0];
  EXPECT_EQ(call(*last, "POST /cache-hosts/s-3/maint"), 404);
  EXPECT_EQ(call(*last, "POST /cache-hosts/s-1/ready"), 200);
  // The second way, where the old one cannot be asked.
  EXPECT_TRUE(std::filesystem::exists(dir_ + "/silverpin-n%2f0.words"));
}

// The folder takes nothing for a while, in which an operator is told yes. Behind it the word is
// kept: whoever starts next heeds it, though the process that heard it was killed.
TEST_F(HotRestartTest, AWordIsKeptOnceTheFolderCanBeWritten) {
  auto first = start("storage_from_ms=0,storage_until_ms=2000");
  ASSERT_TRUE(serving(*first));
  EXPECT_EQ(call(*first, "POST /cache-hosts/s-1/maint"), 200);
  EXPECT_FALSE(std::filesystem::exists(dir_ + "/silverpin-n%2f0.words"));
  ASSERT_TRUE(wait([&] { return std::filesystem::exists(dir_ + "/silverpin-n%2f0.words"); }));
  kill(*first);
  auto next = start();
  ASSERT_TRUE(serving(*next));
  lines_.clear();
  auto c = Peer::dial(io_, listen_);
  for (int i = 0; i < 30; ++i) ask(*c, "k" + std::to_string(i));
  EXPECT_EQ(lines_.size(), 0u) << "the host that was taken out is asked";
}

// The same of the socket by which the next version finds this one.
TEST_F(HotRestartTest, TheNextVersionFindsAProcessWhoseFolderFailedAtItsStart) {
  auto old = start("storage_from_ms=0,storage_until_ms=2000");
  ASSERT_TRUE(serving(*old));
  ASSERT_TRUE(wait([&] { return std::filesystem::exists(dir_ + "/silverpin-n%2f0.sock"); }));
  auto next = start();
  ASSERT_TRUE(serving(*next));
  EXPECT_TRUE(next->logged("hot restart: predecessor answered")) << next->log;
}

// As many words as a process takes are read again by the next.
TEST_F(HotRestartTest, ManyWordsAreKeptOverAKill) {
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

// A word given to either is heard by both, while both are there.
TEST_F(HotRestartTest, BothProcessesHearAWord) {
  auto old = start();
  ASSERT_TRUE(serving(*old));
  auto kept = Peer::dial(io_, listen_);  // stays the old one's until it is told to end
  ASSERT_TRUE(ask(*kept, "k").starts_with("VA 1 "));
  auto next = start();
  ASSERT_TRUE(serving(*next));
  EXPECT_EQ(call(*next, "POST /cache-hosts/s-1/maint"), 200);
  ASSERT_TRUE(wait(
      [&] { return old->logged("override s-1: out of service, by an operator at the other"); }));
  lines_.clear();
  for (int i = 0; i < 30; ++i) ask(*kept, "k" + std::to_string(i));
  EXPECT_EQ(lines_.size(), 0u);
  EXPECT_EQ(call(*old, "POST /healthcheck/fail"), 200);
  auto probe = Peer::dial(io_, listen_);
  ASSERT_TRUE(
      wait([&] { return next->logged("drain: clients are asked to reconnect elsewhere"); }));
  probe->send("mn\r\n");
  ASSERT_TRUE(wait([&] { return !probe->in.empty(); }));
  EXPECT_EQ(probe->in, "SERVER_ERROR draining\r\n");
}

// The new one is killed after it has taken over the new clients: the old one takes them again.
TEST_F(HotRestartTest, TheNewOneMayDie) {
  auto old = start();
  ASSERT_TRUE(serving(*old));
  for (int i = 0; i < 3; ++i) {
    auto next = start();
    ASSERT_TRUE(serving(*next));
    ::kill(next->pid, SIGKILL);
    ASSERT_TRUE(wait([&] { return next->exited(); }));
    auto c = Peer::dial(io_, listen_);
    EXPECT_TRUE(ask(*c, "k").starts_with("VA 1 "));
  }
  auto next = upgrade(*old);  // and is found by the next
  EXPECT_TRUE(next->logged("hot restart: predecessor answered")) << next->log;
}

// A version that cannot start says why and ends; the old one goes on untouched.
TEST_F(HotRestartTest, AVersionWithABadConfigurationChangesNothing) {
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
  auto c = Peer::dial(io_, listen_);
  EXPECT_TRUE(ask(*c, "k").starts_with("VA 1 "));
}

// Somebody holds the file and does not answer, answers nonsense, or breaks off in the middle: the
// new one listens beside, within its time, and is presumed to have half of the limits.
TEST_F(HotRestartTest, APredecessorThatCannotBeAsked) {
  for (const int kind : {0, 1, 2, 3}) {
    auto old = start();
    ASSERT_TRUE(serving(*old));
    EXPECT_EQ(call(*old, "POST /cache-hosts/s-1/maint"), 200);
    const std::string path = dir_ + "/silverpin-n%2f0.sock";
    std::filesystem::remove(path);
    Descriptor liar(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0));
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    std::copy(path.begin(), path.end(), address.sun_path);
    ASSERT_EQ(::bind(liar.get(), reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
    if (kind > 0) {
      ASSERT_EQ(::listen(liar.get(), 4), 0);
    }
    auto next = start();
    if (kind > 1) {
      Descriptor peer(::accept(liar.get(), nullptr, nullptr));
      ASSERT_TRUE(peer);
      std::string part = "\xff nonsense";
      if (kind == 3) {
        hot_restart::Snapshot s;
        s.has_more = true;
        part = hot_restart::encode(s);
      }
      EXPECT_TRUE(send_packet(peer.get(), part, {}));
    }
    ASSERT_TRUE(serving(*next));
    EXPECT_TRUE(next->logged("presumed to hold half")) << kind << next->log;
    EXPECT_TRUE(next->logged("hot restart: 1 overrides restored from their file")) << next->log;
    // Both listen; the old one ends as if alone.
    ::kill(old->pid, SIGTERM);
    ASSERT_TRUE(wait([&] { return old->exited(); }));
    EXPECT_TRUE(old->ended_well());
    auto c = Peer::dial(io_, listen_);
    EXPECT_TRUE(ask(*c, "k").starts_with("VA 1 "));
  }
}

// ---- something else happens while a connection is being passed

// The new process stands still, so that the client's connection lies between the two for as long as
// the test wants. The old one is kept by a request that gets no answer.
class PassingTest : public HotRestartTest {
 protected:
  void begin() {
    old = start();
    ASSERT_TRUE(serving(*old));
    holder = Peer::dial(io_, listen_);
    c = Peer::dial(io_, listen_);
    for (auto& p : {holder, c}) ASSERT_TRUE(ask(*p, "k").starts_with("VA 1 "));
    holder->send(get("held"));
    ASSERT_TRUE(wait([&] { return cache_.ids.size() + cache_2_.ids.size() > 2; }));
    next = start();
    ASSERT_TRUE(serving(*next));
    ASSERT_TRUE(wait([&] { return old->logged("hot restart: successor serves"); }));
    ::kill(next->pid, SIGSTOP);
    const std::size_t before = old->descriptors();
    ::kill(old->pid, SIGTERM);
    ASSERT_TRUE(wait([&] { return old->descriptors() < before; })) << "it was not passed on";
    lines_.clear();
    c->in.clear();
  }
  void ask_for_many() {
    std::string text;
    for (int i = 0; i < kMany; ++i) text += get("k" + std::to_string(i));
    c->send(text);
  }
  ::testing::AssertionResult many_answered() {
    return wait([&] { return std::count(c->in.begin(), c->in.end(), '\n') == 2 * kMany; });
  }
  void end_old() {
    holder->close();
    ASSERT_TRUE(wait([&] { return old->exited(); }));
    EXPECT_TRUE(old->ended_well()) << old->log;
  }
  bool asked_hosts_for(const std::string& id) const {
    return std::count(cache_.ids.begin(), cache_.ids.end(), id) +
               std::count(cache_2_.ids.begin(), cache_2_.ids.end(), id) >
           0;
  }

  static constexpr int kMany = 20;  // keys, of which both hosts have some
  std::unique_ptr<Process> old, next;
  std::shared_ptr<Peer> holder, c;
};

TEST_F(PassingTest, AHostDrains) {
  ASSERT_NO_FATAL_FAILURE(begin());
  discovery_.hosts = host_entry("s-1", cache_.server.dial(), "std", "draining") + "," +
                     host_entry("s-2", cache_2_.server.dial());
  ask_for_many();
  run_for(io_, milliseconds(1100));  // a standstill, behind which lists are asked for anew
  ::kill(next->pid, SIGCONT);
  ASSERT_TRUE(many_answered()) << c->in << next->log;
  EXPECT_EQ(lines_.size(), 0u) << lines_[0];
  end_old();
}

TEST_F(PassingTest, AnOperatorTakesAHostOut) {
  ASSERT_NO_FATAL_FAILURE(begin());
  ASSERT_EQ(call(*old, "POST /cache-hosts/s-1/maint"), 200);
  ask_for_many();
  ::kill(next->pid, SIGCONT);
  ASSERT_TRUE(many_answered()) << c->in << next->log;
  EXPECT_EQ(lines_.size(), 0u) << lines_[0];
  end_old();
}

// Its command has come whole, and it has left: nobody waits for it at the new process.
TEST_F(PassingTest, TheClientLeaves) {
  for (const bool by_reset : {false, true}) {
    ASSERT_NO_FATAL_FAILURE(begin());
    c->send(get("k"));
    const std::string id = "id" + std::to_string(ids_);
    if (by_reset) c->socket.set_option(asio::socket_base::linger(true, 0));
    c->close();
    ::kill(next->pid, SIGCONT);
    auto other = Peer::dial(io_, listen_);
    EXPECT_TRUE(ask(*other, "k").starts_with("VA 1 "));
    end_old();
    EXPECT_TRUE(ask(*other, "k").starts_with("VA 1 "));
    EXPECT_FALSE(asked_hosts_for(id)) << "by " << (by_reset ? "reset" : "FIN");
  }
}

// What it asked for in between is answered, and then its connection is given back in order.
TEST_F(PassingTest, TheNewOneIsToldToEndToo) {
  ASSERT_NO_FATAL_FAILURE(begin());
  ask_for_many();
  ::kill(next->pid, SIGTERM);
  ::kill(next->pid, SIGCONT);
  ASSERT_TRUE(many_answered()) << c->in << next->log;
  ASSERT_TRUE(wait([&] { return c->closed; }));
  EXPECT_EQ(std::count(c->in.begin(), c->in.end(), '\n'), 2 * kMany);
  end_old();
  ASSERT_TRUE(wait([&] { return next->exited(); }));
  EXPECT_TRUE(next->ended_well()) << next->log;
}

TEST_F(PassingTest, TheOldOneIsKilled) {
  ASSERT_NO_FATAL_FAILURE(begin());
  ::kill(old->pid, SIGKILL);
  ASSERT_TRUE(wait([&] { return old->exited(); }));
  ask_for_many();
  ::kill(next->pid, SIGCONT);
  ASSERT_TRUE(many_answered()) << c->in << next->log;
  auto other = Peer::dial(io_, listen_);
  EXPECT_TRUE(ask(*other, "k").starts_with("VA 1 "));
}

// The other direction: what lay between the two is closed with the new one, and comes again.
TEST_F(PassingTest, TheNewOneIsKilled) {
  ASSERT_NO_FATAL_FAILURE(begin());
  ::kill(next->pid, SIGKILL);
  ASSERT_TRUE(wait([&] { return c->closed; }));
  EXPECT_EQ(c->in, "");
  auto again = Peer::dial(io_, listen_);  // the old one hears it, though it is to end
  EXPECT_TRUE(ask(*again, "k").starts_with("VA 1 "));
  end_old();
}

// ---- the yes does not come

// The new one stands still between its question and its yes, and the old one is told to end, or
// killed: who is connected is answered, and who comes then has one of the two.
TEST_F(HotRestartTest, TheOldOneEndsBeforeTheYes) {
  for (const int signal : {SIGTERM, SIGKILL}) {
    auto old = start();
    ASSERT_TRUE(serving(*old));
    auto c = Peer::dial(io_, listen_);
    ASSERT_TRUE(ask(*c, "k").starts_with("VA 1 "));
    // It may have said yes before it could be stopped: then another one is tried.
    std::unique_ptr<Process> next;
    for (int i = 0; i < 50 && !next; ++i) {
      old->log.clear();
      next = start();
      ASSERT_TRUE(wait([&] { return old->logged("hot restart: successor connected"); }));
      ::kill(next->pid, SIGSTOP);
      run_for(io_, milliseconds(50));
      if (!old->logged("hot restart: successor serves")) break;
      next.reset();
      ASSERT_TRUE(wait([&] { return old->logged("hot restart: successor has ended"); }));
    }
    ASSERT_TRUE(next) << "it always came to its yes";
    ::kill(old->pid, signal);
    if (signal == SIGTERM) {
      auto fresh = Peer::dial(io_, listen_);
      EXPECT_TRUE(ask(*fresh, "k").starts_with("VA 1 "));
      EXPECT_TRUE(ask(*c, "k").starts_with("VA 1 "));
    }
    ASSERT_TRUE(wait([&] { return old->exited(); }));
    EXPECT_EQ(old->ended_well(), signal == SIGTERM) << old->log;
    auto late = Peer::dial(io_, listen_);  // waits in the queue that the new one was passed
    late->send(get("k"));
    ::kill(next->pid, SIGCONT);
    ASSERT_TRUE(wait([&] { return answered(*late) || late->closed; }));
    EXPECT_TRUE(late->in.starts_with("VA 1 ")) << late->in << next->log;
  }
}

}  // namespace
}  // namespace balancer::node
