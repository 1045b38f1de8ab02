// Hot restarts from the program of the previous version to this one and back, under load. Built
// only if the CMake option BALANCER_PREVIOUS_PROGRAM names the previous program.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <optional>
#include <sstream>

#include "program_harness.h"

namespace balancer::node {
namespace {

using std::chrono::milliseconds;

// Clients that send requests repeatedly on a persistent connection, and clients that connect for a
// single request.
class SteadyLoad {
 public:
  SteadyLoad(asio::io_context& io, const Endpoint& address)
      : io_(io), address_(address), timer_(io) {
    for (std::size_t i = 0; i < kPersistentClients; ++i) connect(true);
    schedule_round();
  }
  void stop() { stopped_ = true; }
  bool idle() const {
    return std::all_of(clients_.begin(), clients_.end(),
                       [](const Client& c) { return !c.is_waiting; });
  }
  // Returns the number of persistent connections that are still open.
  std::size_t open_persistent_clients() const {
    return static_cast<std::size_t>(
        std::count_if(clients_.begin(), clients_.end(),
                      [](const Client& c) { return c.is_persistent && !c.peer->closed; }));
  }

  static constexpr std::size_t kPersistentClients = 20;
  int sent = 0, served = 0, failed = 0;

 private:
  static constexpr milliseconds kInterval{10};

  struct Client {
    std::shared_ptr<Peer> peer;
    bool is_persistent = false, is_waiting = false;
  };

  void connect(bool is_persistent) {
    clients_.push_back({Peer::connect(io_, address_), is_persistent, false});
    send_request(clients_.back());
  }
  void send_request(Client& client) {
    client.is_waiting = true;
    ++sent;
    client.peer->send("mg k v O" + std::to_string(sent) + " Pc=read,t=acme,d=5000\r\n");
  }
  // If the client's pending request was answered or has failed, counts the result.
  void collect(Client& client) {
    if (!client.is_waiting) return;
    const bool answered = client.peer->in.ends_with("\r\nv\r\n");
    if (!answered && !client.peer->closed && !client.peer->in.starts_with("SERVER_ERROR")) return;
    client.is_waiting = false;
    ++(answered ? served : failed);
    client.peer->in.clear();
  }
  void schedule_round() {
    timer_.expires_after(kInterval);
    timer_.async_wait([this](auto error) {
      if (error) return;
      for (Client& client : clients_) collect(client);
      std::erase_if(clients_, [](const Client& c) {
        const bool done = !c.is_waiting && !c.is_persistent;
        if (done) c.peer->close();
        return done;
      });
      if (!stopped_) {
        for (Client& client : clients_)
          if (!client.is_waiting && !client.peer->closed) send_request(client);
        connect(false);
      }
      schedule_round();
    });
  }

  asio::io_context& io_;
  const Endpoint address_;
  asio::steady_timer timer_;
  std::vector<Client> clients_;
  bool stopped_ = false;
};

// A process of one version's program, which logs to a file.
class VersionProcess {
 public:
  VersionProcess(const std::string& program, const std::string& folder, const std::string& name,
                 const std::string& admin)
      : log_file_(folder + "/" + name + ".log") {
    const std::string config = "ROUTER_CONFIG=" + folder + "/config.json",
                      temp_dir = "TMPDIR=" + folder, admin_address = "ROUTER_ADMIN=" + admin;
    pid_ = ::fork();
    if (pid_ != 0) return;
    const int log = ::open(log_file_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log, 2);
    ::close_range(3, ~0U, 0);            // closes descriptors inherited from the test
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // the kernel kills the process if the test dies
    char* const arguments[] = {const_cast<char*>(program.c_str()), nullptr};
    char* const environment[] = {const_cast<char*>(config.c_str()),
                                 const_cast<char*>(temp_dir.c_str()),
                                 const_cast<char*>(admin_address.c_str()), nullptr};
    ::execve(program.c_str(), arguments, environment);
    ::_exit(127);
  }
  ~VersionProcess() {
    if (exited()) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
  VersionProcess(const VersionProcess&) = delete;
  VersionProcess& operator=(const VersionProcess&) = delete;

  void terminate() const { ::kill(pid_, SIGTERM); }
  bool exited() {
    int status = 0;
    if (!status_ && ::waitpid(pid_, &status, WNOHANG) == pid_) status_ = status;
    return status_.has_value();
  }
  bool exited_cleanly() { return exited() && WIFEXITED(*status_) && WEXITSTATUS(*status_) == 0; }
  std::string log() const {
    std::ostringstream text;
    text << std::ifstream(log_file_).rdbuf();
    return text.str();
  }

 private:
  const std::string log_file_;
  pid_t pid_ = -1;
  std::optional<int> status_;
};

class MixedVersionsTest : public ProcessTest {
 protected:
  // Hot-restarts through `programs` in order, each replacing its predecessor, under load. Every
  // request must be served.
  void expect_no_loss(const std::vector<std::string>& programs) {
    discovery.hosts = host_entry("s-1", cache_.server.dial());
    const Endpoint listen = context.loopback.next_endpoint();
    std::ofstream(folder + "/config.json") << config_text(testbed::text_of(listen));
    auto current = start(programs.front(), "0");
    ASSERT_TRUE(current);
    SteadyLoad load(io, listen);
    run_for(io, milliseconds(200));
    for (std::size_t i = 1; i < programs.size(); ++i) {
      auto next = start(programs[i], std::to_string(i));
      ASSERT_TRUE(next);
      EXPECT_NE(next->log().find("hot restart: predecessor answered"), std::string::npos)
          << next->log();
      current->terminate();
      ASSERT_TRUE(run_until(io, [&] { return current->exited(); })) << current->log();
      EXPECT_TRUE(current->exited_cleanly()) << current->log();
      current = std::move(next);
      run_for(io, milliseconds(200));
    }
    load.stop();
    ASSERT_TRUE(run_until(io, [&] { return load.idle(); }));
    EXPECT_GT(load.served, 100);
    EXPECT_EQ(load.failed, 0);
    EXPECT_EQ(load.served, load.sent);
    EXPECT_EQ(load.open_persistent_clients(), SteadyLoad::kPersistentClients)
        << "a persistent client connection was closed during the hot restart";
    std::printf("%d requests sent, %d served, %d failed\n", load.sent, load.served, load.failed);
  }
  // Returns null if the process does not become ready in time.
  std::unique_ptr<VersionProcess> start(const std::string& program, const std::string& name) {
    const Endpoint admin = context.loopback.next_endpoint();
    auto process = std::make_unique<VersionProcess>(program, folder, name, testbed::text_of(admin));
    if (run_until(io, [&] { return is_ready(admin); })) return process;
    ADD_FAILURE() << program << " did not become ready in time: " << process->log();
    return nullptr;
  }
  bool is_ready(const Endpoint& admin) {
    const auto connection = std::make_shared<Peer>(tcp::socket(io));
    boost::system::error_code error;
    connection->socket.connect(admin, error);
    if (error) return false;
    connection->read();
    connection->send("GET /healthcheck HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
    return run_until(io, [&] { return connection->closed; }) &&
           connection->in.starts_with("HTTP/1.1 200");
  }

  FakeCache cache_{
      io, [](const std::string&, const std::string& id) { return FakeCache::value(id, "v"); }};
};

TEST_F(MixedVersionsTest, UpgradeLosesNoRequest) {
  expect_no_loss({BALANCER_PREVIOUS_PROGRAM, BALANCER_PROGRAM});
}

TEST_F(MixedVersionsTest, DowngradeLosesNoRequest) {
  expect_no_loss({BALANCER_PROGRAM, BALANCER_PREVIOUS_PROGRAM});
}

TEST_F(MixedVersionsTest, AlternatingVersionsLoseNoRequest) {
  expect_no_loss({BALANCER_PREVIOUS_PROGRAM, BALANCER_PROGRAM, BALANCER_PREVIOUS_PROGRAM,
                  BALANCER_PROGRAM, BALANCER_PROGRAM, BALANCER_PREVIOUS_PROGRAM});
}

}  // namespace
}  // namespace balancer::node
