// The built program: start, signals, reloads and invalid configurations.
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/posix/stream_descriptor.hpp>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "node_harness.h"

namespace balancer::node {
namespace {

class ProgramTest : public ::testing::Test {
 protected:
  void SetUp() override {
    char dir[] = "/tmp/balancer-test-XXXXXX";
    ASSERT_NE(::mkdtemp(dir), nullptr);
    dir_ = dir;
  }
  void TearDown() override {
    if (pid_ > 0 && !exited()) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
    }
    std::filesystem::remove_all(dir_);
  }

  void write_config(const std::string& text) {
    std::ofstream(dir_ + "/new.json") << text;
    std::filesystem::rename(dir_ + "/new.json", dir_ + "/config.json");
  }
  static std::string config_text(const FakeDiscovery& discovery) {
    return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"" +
           discovery.server.dial() +
           "\",\"seed\":\"1f\",\"limits\":{\"memory_mb\":32,\"sockets\":256},\"settings\":" +
           test_settings() + "}";
  }
  void launch(const std::vector<std::string>& arguments = {}, bool platform = true) {
    int pipe[2];
    ASSERT_EQ(::pipe(pipe), 0);
    const std::string variable = "ROUTER_CONFIG=" + dir_ + "/config.json";
    char* const env[] = {platform ? const_cast<char*>(variable.c_str()) : nullptr, nullptr};
    std::vector<char*> args = {const_cast<char*>(BALANCER_PROGRAM)};
    for (const auto& w : arguments) args.push_back(const_cast<char*>(w.c_str()));
    args.push_back(nullptr);
    pid_ = ::fork();
    if (pid_ == 0) {
      ::dup2(pipe[1], 2);
      ::close_range(3, ~0U, 0);            // descriptors of the test
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // ends with the test
      ::execve(BALANCER_PROGRAM, args.data(), env);
      ::_exit(127);
    }
    ASSERT_GT(pid_, 0);
    ::close(pipe[1]);
    err_.assign(pipe[0]);
    read_log();
  }
  void read_log() {
    err_.async_read_some(asio::buffer(chunk_), [this](auto e, auto n) {
      if (e) return;
      log_.append(chunk_, n);
      read_log();
    });
  }
  bool logged(const std::string& text) const { return log_.find(text) != std::string::npos; }
  bool exited() {
    if (status_) return true;
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) == pid_) status_ = status;
    return status_.has_value();
  }
  ::testing::AssertionResult wait(const std::function<bool()>& done) {
    if (run_until(io_, done)) return ::testing::AssertionSuccess();
    return ::testing::AssertionFailure() << "the condition was not met in time; the log: " << log_;
  }
  std::shared_ptr<Peer> client(const std::string& mark = "listening on 127.0.0.1:") {
    const auto at = log_.find(mark);
    const auto port = std::strtoul(log_.c_str() + at + mark.size(), nullptr, 10);
    return Peer::connect(
        io_, Endpoint(asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port)));
  }

  asio::io_context io_{1};
  // Keeps the loop running when the program closes its standard error to log to a file.
  asio::executor_work_guard<asio::io_context::executor_type> work_{io_.get_executor()};
  std::string dir_, log_;
  pid_t pid_ = 0;
  std::optional<int> status_;
  asio::posix::stream_descriptor err_{io_};
  char chunk_[1024];
};

// A reload must not end the program; afterwards only the new discovery service is called.
TEST_F(ProgramTest, UsesTheNewDiscoveryAddressAfterAReload) {
  FakeDiscovery first(io_), second(io_);
  FakeCache cache(io_, [](const auto&, const auto& id) { return FakeCache::value(id, "v1"); });
  second.hosts = host_entry("h1", cache.server.dial());
  write_config(config_text(first));
  launch();
  ASSERT_TRUE(wait([&] { return first.calls > 1 && logged("listening"); }));
  write_config(config_text(second));
  ::kill(pid_, SIGHUP);
  ASSERT_TRUE(wait([&] { return second.calls > 1; }));
  auto c = client();
  c->send("mg k v O1 Pc=read,t=acme,d=5000\r\n");
  ASSERT_TRUE(wait([&] { return c->in == "VA 2 O1\r\nv1\r\n"; }));
  const int before = first.calls;
  ASSERT_TRUE(wait([&] { return second.calls > 5; }));
  EXPECT_EQ(first.calls, before) << "the old discovery service is still called";
  EXPECT_FALSE(exited());
}

// An invalid file leaves the current configuration in use, which is logged.
TEST_F(ProgramTest, KeepsTheConfigurationOnAnInvalidReload) {
  FakeDiscovery discovery(io_);
  write_config(config_text(discovery));
  launch();
  ASSERT_TRUE(wait([&] { return discovery.calls > 1 && logged("listening"); }));
  for (const std::string& text : {std::string("{"), std::string("[]"), std::string(),
                                  std::string("{\"listen\":\"127.0.0.1:0\",\"discovery\":7}")}) {
    log_.clear();
    write_config(text);
    ::kill(pid_, SIGHUP);
    ASSERT_TRUE(wait([&] {
      return logged("reload: rejected, the current settings stay in use: ");
    })) << text;
  }
  const int before = discovery.calls;
  ASSERT_TRUE(wait([&] { return discovery.calls > before + 2; }));
  EXPECT_FALSE(exited());
}

// The program is stopped for more than a second, in which clients send requests and the endpoint
// list changes. The requests must be forwarded by the new list, although they arrived before it.
TEST_F(ProgramTest, ForwardsByTheNewListAfterAStall) {
  FakeDiscovery discovery(io_);
  const auto answer = [](const auto&, const auto& id) { return FakeCache::value(id, "v1"); };
  FakeCache old(io_, answer), fresh(io_, answer);
  discovery.hosts = host_entry("h1", old.server.dial());
  write_config(config_text(discovery));
  launch();
  ASSERT_TRUE(wait([&] { return discovery.calls > 1 && logged("listening"); }));
  std::vector<std::shared_ptr<Peer>> clients;
  for (int i = 0; i < 5; ++i) {
    clients.push_back(client());
    clients.back()->send("mg k" + std::to_string(i) + " v O1 Pc=read,t=acme,d=5000\r\n");
    ASSERT_TRUE(wait([&] { return clients.back()->in == "VA 2 O1\r\nv1\r\n"; }));
    clients.back()->in.clear();
  }
  const auto before = old.ids.size();
  ::kill(pid_, SIGSTOP);
  for (std::size_t i = 0; i < clients.size(); ++i)
    clients[i]->send("mg k" + std::to_string(i) + " v O2" + std::to_string(i) +
                     " Pc=read,t=acme,d=5000\r\n");
  discovery.hosts = host_entry("h1", old.server.dial(), "std", "draining") + "," +
                    host_entry("h2", fresh.server.dial());
  io_.run_for(std::chrono::milliseconds(1500));
  ::kill(pid_, SIGCONT);
  for (std::size_t i = 0; i < clients.size(); ++i) {
    const std::string whole = "VA 2 O2" + std::to_string(i) + "\r\nv1\r\n";
    ASSERT_TRUE(wait([&] { return clients[i]->in == whole; })) << clients[i]->in;
  }
  EXPECT_EQ(old.ids.size(), before);
  EXPECT_EQ(fresh.ids.size(), clients.size());
  ASSERT_TRUE(wait([&] { return logged("endpoint list confirmed after "); }));
}

// A request whose deadline expires while the program is stopped is rejected, although it could be
// served. On a busy machine the request may be read so late that it is served; the test therefore
// makes several attempts.
TEST_F(ProgramTest, RejectsExpiredRequestsAfterAStall) {
  FakeDiscovery discovery(io_);
  FakeCache cache(io_, [](const auto&, const auto& id) { return FakeCache::value(id, "v1"); });
  discovery.hosts = host_entry("h1", cache.server.dial());
  write_config(config_text(discovery));
  launch();
  ASSERT_TRUE(wait([&] { return discovery.calls > 1 && logged("listening"); }));
  int rejected = 0;
  for (int round = 1; round <= 5 && rejected == 0; ++round) {
    const auto before = cache.ids.size();
    auto late = client();
    ::kill(pid_, SIGSTOP);
    late->send("mg k v O" + std::to_string(round) + " Pc=read,t=acme,d=900\r\n");
    io_.run_for(std::chrono::milliseconds(1500));
    ::kill(pid_, SIGCONT);
    ASSERT_TRUE(wait([&] { return late->in.ends_with("\r\n"); }));
    if (!late->in.starts_with("SERVER_ERROR busy")) continue;
    ++rejected;
    EXPECT_EQ(cache.ids.size(), before) << "a rejected request was forwarded";
  }
  EXPECT_EQ(rejected, 1);
}

// Without discovery the program continues with the last known list after a stall, and each request
// gets exactly one answer.
TEST_F(ProgramTest, KeepsTheLastListWithoutDiscoveryAfterAStall) {
  std::optional<FakeDiscovery> discovery(std::in_place, io_);
  FakeCache cache(io_, [](const auto&, const auto& id) { return FakeCache::value(id, "v1"); });
  discovery->hosts = host_entry("h1", cache.server.dial());
  write_config(config_text(*discovery));
  launch();
  ASSERT_TRUE(wait([&] { return discovery->calls > 1 && logged("listening"); }));
  auto c = client();
  c->send("mg k v O1 Pc=read,t=acme,d=5000\r\n");
  ASSERT_TRUE(wait([&] { return c->in == "VA 2 O1\r\nv1\r\n"; }));
  ::kill(pid_, SIGSTOP);
  c->send("mg k v O2 Pc=read,t=acme,d=5000\r\n");
  for (const auto& p : discovery->server.peers) p->on_data = nullptr;
  discovery.reset();
  io_.run_for(std::chrono::milliseconds(1500));
  ::kill(pid_, SIGCONT);
  ASSERT_TRUE(wait([&] { return c->in.ends_with("VA 2 O2\r\nv1\r\n"); }));
  EXPECT_EQ(c->in, "VA 2 O1\r\nv1\r\nVA 2 O2\r\nv1\r\n");
  ASSERT_TRUE(
      wait([&] { return logged("no endpoint list in time, continuing with the last known one"); }));
  EXPECT_EQ(cache.ids.size(), 2u);
}

TEST_F(ProgramTest, ExitsWithOneLineOnAnInvalidConfiguration) {
  write_config("{\"name\":\"n0\"}");
  launch();
  ASSERT_TRUE(wait([&] { return exited(); }));
  EXPECT_TRUE(WIFEXITED(*status_) && WEXITSTATUS(*status_) != 0);
  ASSERT_TRUE(wait([&] { return log_.ends_with('\n'); }));
  EXPECT_EQ(std::count(log_.begin(), log_.end(), '\n'), 1) << log_;
}

// The operator's file adds a RESP listener. A reload rejects an invalid file, and logs changes that
// take effect only after a restart.
TEST_F(ProgramTest, ServesRespAndReloadsTheOperatorsFile) {
  FakeDiscovery discovery(io_);
  write_config(config_text(discovery));
  const std::string file = dir_ + "/operator.toml";
  const std::string text =
      "[[pool]]\nname = \"p\"\nseeds = [\"127.0.0.1:1\"]\n[[listener]]\nname = \"l\"\n"
      "address = \"127.0.0.1:0\"\npool = \"p\"\n";
  std::ofstream(file) << text;
  launch({"--operator", file});
  ASSERT_TRUE(wait([&] { return logged("RESP on 127.0.0.1:") && log_.ends_with('\n'); }));
  auto c = client("RESP on 127.0.0.1:");
  c->send("PING\r\n");
  ASSERT_TRUE(wait([&] { return c->in == "+PONG\r\n"; }));
  std::ofstream(file) << text << "frob = 1\n";
  ::kill(pid_, SIGHUP);
  ASSERT_TRUE(wait([&] {
    return logged("reload: rejected, the current settings stay in use: " + file +
                  ":8: frob: is not known");
  }));
  std::ofstream(file) << text << "most_bulk_kb = 7\n";
  ::kill(pid_, SIGHUP);
  ASSERT_TRUE(wait(
      [&] { return logged("listener l has changed; the change takes effect after a restart"); }));
  ::kill(pid_, SIGTERM);
  ASSERT_TRUE(wait([&] { return exited(); }));
  EXPECT_TRUE(WIFEXITED(*status_) && WEXITSTATUS(*status_) == 0);
}

// Without a platform configuration, name, log file and limits are taken from the operator's file.
TEST_F(ProgramTest, RunsWithOnlyTheOperatorsFile) {
  const std::string file = dir_ + "/operator.toml", log = dir_ + "/log";
  const std::string text =
      "[process]\nname = \"lane-1\"\nlog = \"" + log +
      "\"\nsockets = 128\n[[pool]]\nname = \"p\"\nseeds = [\"127.0.0.1:1\"]\n[[listener]]\n"
      "name = \"l\"\naddress = \"127.0.0.1:0\"\npool = \"p\"\n";
  std::ofstream(file) << text;
  launch({"--operator", file}, false);
  const auto read_log = [&] {
    std::ifstream in(log);
    log_.assign(std::istreambuf_iterator<char>(in), {});
  };
  ASSERT_TRUE(wait([&] {
    read_log();
    return logged("balancer lane-1: RESP on 127.0.0.1:") && log_.ends_with('\n');
  }));
  EXPECT_FALSE(logged("listening on"));
  auto c = client("RESP on 127.0.0.1:");
  c->send("PING\r\n");
  ASSERT_TRUE(wait([&] { return c->in == "+PONG\r\n"; }));
  // After the log file was renamed, SIGHUP starts a new one.
  std::filesystem::rename(log, log + ".1");
  ::kill(pid_, SIGHUP);
  ASSERT_TRUE(wait([&] {
    read_log();
    return logged("balancer lane-1: reload: done");
  }));
  ::kill(pid_, SIGTERM);
  ASSERT_TRUE(wait([&] { return exited(); }));
  EXPECT_TRUE(WIFEXITED(*status_) && WEXITSTATUS(*status_) == 0);
}

TEST_F(ProgramTest, ExitsWithOneLineWithoutAnyFile) {
  launch({}, false);
  ASSERT_TRUE(wait([&] { return exited() && log_.ends_with('\n'); }));
  EXPECT_EQ(log_, "balancer: neither ROUTER_CONFIG is set nor --operator given\n");
  EXPECT_EQ(WEXITSTATUS(*status_), 1);
}

TEST_F(ProgramTest, CheckPrintsListenersPoolsAndLimits) {
  const std::string file = dir_ + "/operator.toml";
  std::ofstream(file) << "[[pool]]\nname = \"p\"\nseeds = [\"127.0.0.1:7000\"]\nmost_connections "
                         "= 9\n[[listener]]\nname = \"l\"\naddress = \"127.0.0.1:6400\"\npool = "
                         "\"p\"\nrequire_auth = true\n";
  const auto output = [](const std::string& arguments) {
    std::string out;
    FILE* pipe = ::popen(("env -u ROUTER_CONFIG " BALANCER_PROGRAM " " + arguments).c_str(), "r");
    char piece[256];
    while (std::fgets(piece, sizeof piece, pipe)) out += piece;
    ::pclose(pipe);
    return out;
  };
  EXPECT_EQ(output("check --operator " + file),
            "RESP on 127.0.0.1:6400, pool p, with passwords\n"
            "pool p: up to 9 connections to the cluster of 127.0.0.1:7000\n"
            "limits: 512 MB, 4096 descriptors\nnothing wrong\n");
  EXPECT_TRUE(output("--version").starts_with("balancer 0."));
}

TEST_F(ProgramTest, ExitsWithOneLineOnAnInvalidOperatorsFile) {
  FakeDiscovery discovery(io_);
  write_config(config_text(discovery));
  const std::string file = dir_ + "/operator.toml";
  std::ofstream(file) << "[[pool]]\nname = \"p\"\n";
  for (const bool check : {false, true}) {
    status_.reset();
    log_.clear();
    launch(check ? std::vector<std::string>{"check", "--operator", file}
                 : std::vector<std::string>{"--operator", file});
    ASSERT_TRUE(wait([&] { return exited() && log_.ends_with('\n'); }));
    EXPECT_EQ(WEXITSTATUS(*status_), check ? 2 : 1);
    EXPECT_NE(log_.find(file + ":1: seeds: is missing"), std::string::npos) << log_;
    EXPECT_EQ(std::count(log_.begin(), log_.end(), '\n'), 1) << log_;
    err_.close();
  }
}

// SIGTERM is received twice while a host does not answer: accepted requests are answered, and the
// exit status is 0.
TEST_F(ProgramTest, AnswersAndExitsOnASecondSigtermWhileAHostHangs) {
  FakeDiscovery discovery(io_);
  FakeCache cache(io_, [](const auto&, const auto&) { return std::string(); });
  discovery.hosts = host_entry("h1", cache.server.dial());
  write_config(config_text(discovery));
  launch();
  ASSERT_TRUE(wait([&] { return logged("listening") && discovery.calls > 1; }));
  auto c = client();
  c->send("mg k v O1 Pc=read,t=acme,d=5000\r\n");
  ASSERT_TRUE(wait([&] { return cache.ids.size() == 1; }));
  ::kill(pid_, SIGTERM);
  ASSERT_TRUE(wait([&] { return logged("drain: begins on signal 15"); }));
  ::kill(pid_, SIGTERM);
  // The client sends another request on its open connection.
  c->send("mg k v O2 Pc=read,t=acme,d=5000\r\n");
  ASSERT_TRUE(wait([&] { return exited(); }));
  EXPECT_TRUE(WIFEXITED(*status_) && WEXITSTATUS(*status_) == 0);
  ASSERT_TRUE(wait([&] { return c->closed; }));
  EXPECT_EQ(std::count(c->in.begin(), c->in.end(), '\n'), 2) << c->in;
}

// SIGHUP is sent until the process has exited. A late one must not terminate it: once the signal
// handlers are removed, SIGHUP would.
TEST_F(ProgramTest, ExitsWithZeroUnderRepeatedReloads) {
  FakeDiscovery discovery(io_);
  write_config(config_text(discovery));
  launch();
  ASSERT_TRUE(wait([&] { return discovery.calls > 1 && logged("listening"); }));
  ::kill(pid_, SIGTERM);
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (!exited() && std::chrono::steady_clock::now() < end) {
    ::kill(pid_, SIGHUP);
    ::usleep(100);
    io_.poll();
  }
  ASSERT_TRUE(exited());
  EXPECT_TRUE(WIFEXITED(*status_)) << "ended by signal " << WTERMSIG(*status_);
  EXPECT_EQ(*status_, 0);
}

TEST_F(ProgramTest, AnswersAndExitsOnSigterm) {
  FakeDiscovery discovery(io_);
  write_config(config_text(discovery));
  launch();
  ASSERT_TRUE(wait([&] { return logged("listening"); }));
  auto c = client();
  c->send("mn\r\n");
  ASSERT_TRUE(wait([&] { return c->in == "MN\r\n"; }));
  ::kill(pid_, SIGTERM);
  ASSERT_TRUE(wait([&] { return exited(); }));
  EXPECT_TRUE(WIFEXITED(*status_) && WEXITSTATUS(*status_) == 0);
}

}  // namespace
}  // namespace balancer::node
