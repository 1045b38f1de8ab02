#pragma once

#include <sys/resource.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "node_harness.h"
#include "testbed/balancer_process.h"

// Runs the built program in separate processes, with peers on the test's event loop.
namespace balancer::node {

// A discovery service that can fail: it stops answering, or closes its connections.
class SwitchableDiscovery {
 public:
  enum class State { kUp, kSilent, kResetting };

  explicit SwitchableDiscovery(asio::io_context& io)
      : server(io, [this](Peer& p) { on_data(p); }) {}
  void set(State to) {
    state_ = to;
    if (to != State::kResetting) return;
    for (const auto& p : std::exchange(server.peers, {})) p->close();
  }

  std::string hosts;
  int answered = 0;  // calls answered with the complete list
  int watches = 0;   // calls for changes of a list, which the balancer has applied before
  Server server;

 private:
  void on_data(Peer& p) {
    if (state_ == State::kResetting) return p.close();
    for (auto end = p.in.find("\r\n\r\n"); end != std::string::npos; end = p.in.find("\r\n\r\n")) {
      const bool watch = p.in.substr(0, end).find("index=") != std::string::npos;
      p.in.erase(0, end + 4);
      if (state_ == State::kSilent) continue;
      ++(watch ? watches : answered);
      const std::string body = watch ? "{\"seq\":1,\"whole\":false,\"hosts\":[]}"
                                     : "{\"seq\":1,\"whole\":true,\"hosts\":[" + hosts + "]}";
      p.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
             body);
    }
  }

  State state_ = State::kUp;
};

// Lowers the limit of open descriptors for processes that are started during its lifetime.
class DescriptorLimit {
 public:
  explicit DescriptorLimit(rlim_t limit) {
    ::getrlimit(RLIMIT_NOFILE, &before_);
    const rlimit lower{limit, before_.rlim_max};
    ::setrlimit(RLIMIT_NOFILE, &lower);
  }
  ~DescriptorLimit() { ::setrlimit(RLIMIT_NOFILE, &before_); }
  DescriptorLimit(const DescriptorLimit&) = delete;
  DescriptorLimit& operator=(const DescriptorLimit&) = delete;

 private:
  rlimit before_{};
};

class ProcessTest : public ::testing::Test {
 protected:
  using Process = testbed::BalancerProcess;

  void SetUp() override {
    char made[] = "/tmp/balancer-test-XXXXXX";
    ASSERT_NE(::mkdtemp(made), nullptr);
    folder = made;
  }
  void TearDown() override {
    processes.clear();
    std::filesystem::remove_all(folder);
  }
  // At each start the processes read their configuration, which includes `settings` and `known`.
  void make_processes(int count) {
    for (int i = 0; i < count; ++i) {
      Process::Files files;
      files.listen = context.loopback.next_endpoint();
      files.platform = [this](const std::string& listen) { return config_text(listen); };
      files.faults = faults;
      processes.push_back(
          std::make_unique<Process>(context, BALANCER_PROGRAM, folder, i, std::move(files)));
    }
  }
  std::string config_text(const std::string& listen) const {
    return "{\"name\":\"n\",\"listen\":\"" + listen + "\",\"discovery\":\"" +
           discovery.server.dial() +
           "\",\"limits\":{\"memory_mb\":32,\"sockets\":" + std::to_string(sockets) +
           "},\"settings\":" + settings +
           (known.empty() ? ""
                          : ",\"known\":{\"seq\":1,\"whole\":true,\"hosts\":[" + known + "]}") +
           "}";
  }
  std::shared_ptr<Peer> client() { return Peer::connect(io, processes.at(0)->address()); }
  ::testing::AssertionResult wait(const std::function<bool()>& done,
                                  std::chrono::seconds limit = std::chrono::seconds(30)) {
    if (run_until(io, done, limit)) return ::testing::AssertionSuccess();
    return ::testing::AssertionFailure()
           << "the condition was not met in time; the log: " << processes.at(0)->last_log_lines();
  }

  testbed::Scenario scenario;
  asio::io_context io{1};
  testbed::Context context{io, scenario};
  SwitchableDiscovery discovery{io};
  std::string folder, settings = test_settings(), known;
  std::string faults;  // injected into the processes; see testbed/faults/fault_plan.h
  int sockets = 256;
  std::vector<std::unique_ptr<Process>> processes;
};

}  // namespace balancer::node
