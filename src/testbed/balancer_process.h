#pragma once

#include <sys/types.h>

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <optional>
#include <string>

#include "testbed/audit/context.h"
#include "testbed/report/report.h"

namespace balancer::testbed {

// One balancer as a process of its own, which ends with this object. Its log and configuration stay
// in the run's folder.
class BalancerProcess {
 public:
  // What it is started with. Each is called for each start.
  struct Files {
    std::function<std::string(const std::string& listen)> platform;  // none: it has only the other
    std::function<std::string()> added;                              // the operator's; none: none
    // One of a group, which listens only while it holds an address: up once it runs.
    bool standby = false;
    // Where it listens for clients, at each start. Of the run's own, so that others' connections
    // are not given its port while it is away. Unused by one of a group.
    asio::ip::tcp::endpoint listen{};
    std::string faults{};  // a FaultPlan's text; empty: none
  };
  BalancerProcess(Context& context, std::string program, std::string folder, int number,
                  Files files);
  ~BalancerProcess();
  BalancerProcess(const BalancerProcess&) = delete;
  BalancerProcess& operator=(const BalancerProcess&) = delete;

  // Calls `ready` once it has answered on its address. Throws std::runtime_error if it cannot be
  // started at all.
  void start(std::function<void()> ready);
  void signal(int number);
  bool stopped() const { return stopped_; }  // by SIGSTOP
  void reload();                             // writes the configuration anew, then SIGHUP
  // From now on its exit is no crash.
  void expect_exit() { exit_expected_ = true; }
  bool running();                     // reaps it
  pid_t pid() const { return pid_; }  // 0: it is not running
  void sample();
  const asio::ip::tcp::endpoint& address() const { return files_.listen; }
  std::string last_log_lines() const;
  const BalancerFigures& figures() const { return figures_; }
  const std::string& name() const { return figures_.name; }

 private:
  void write_configuration();
  void await_listening(int life, std::function<void()> ready);
  void await_answer(int life, std::function<void()> ready);

  Context& context_;
  const std::string program_, folder_;
  const Files files_;
  BalancerFigures figures_;
  pid_t pid_ = 0;
  int life_ = 0;
  bool exit_expected_ = false, stopped_ = false;
  std::size_t log_from_ = 0;
  double cpu_before_ = 0;
  Time sampled_at_{0};
};

// Of any process of this machine's; pid 0: this one. False if it has gone.
bool read_process(pid_t pid, double& cpu_seconds, double& memory_mb, int& descriptors);

}  // namespace balancer::testbed
