#pragma once

#include <sys/types.h>

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <optional>
#include <string>

#include "testbed/audit/context.h"
#include "testbed/report/report.h"

namespace balancer::testbed {

// Runs one balancer as a separate process, which is killed when this object is destroyed. Its log
// and configuration remain in the run's folder.
class BalancerProcess {
 public:
  // Configuration of the process. The functions are called for each start.
  struct Files {
    // The platform's file and the operator's file; either may be unset.
    std::function<std::string(const std::string& listen)> platform;
    std::function<std::string()> operator_config;
    // A group member listens only while it holds a service address, so it counts as ready once it
    // runs.
    bool group_member = false;
    // The client listener's address at each start. Reserved for the run, so that no other
    // connection is assigned its port while the process is down. Unused by group members.
    asio::ip::tcp::endpoint listen{};
    std::string faults{};  // text of a FaultPlan; empty for no faults
  };
  BalancerProcess(Context& context, std::string program, std::string folder, int number,
                  Files files);
  ~BalancerProcess();
  BalancerProcess(const BalancerProcess&) = delete;
  BalancerProcess& operator=(const BalancerProcess&) = delete;

  // Starts the process and calls `ready` once it answers on its address. Throws std::runtime_error
  // if no process can be created.
  void start(std::function<void()> ready);
  void signal(int number);
  bool stopped() const { return stopped_; }  // by SIGSTOP
  void reload();                             // rewrites the configuration, then sends SIGHUP
  // From now on an exit does not count as a crash.
  void expect_exit() { exit_expected_ = true; }
  bool running();                     // reaps the process if it has exited
  pid_t pid() const { return pid_; }  // 0 if not running
  void sample();                      // records CPU, memory and descriptors
  const asio::ip::tcp::endpoint& address() const { return files_.listen; }
  std::string last_log_lines() const;
  const BalancerFigures& figures() const { return figures_; }
  const std::string& name() const { return figures_.name; }

 private:
  void write_configuration();
  void await_listening(int generation, std::function<void()> ready);
  void await_answer(int generation, std::function<void()> ready);

  Context& context_;
  const std::string program_, folder_;
  const Files files_;
  BalancerFigures figures_;
  pid_t pid_ = 0;
  int generation_ = 0;
  bool exit_expected_ = false, stopped_ = false;
  std::size_t log_offset_ = 0;
  double cpu_before_ = 0;
  Time sampled_at_{0};
};

// Reads the usage of any process on this machine; pid 0 is this process. Returns false if the
// process no longer exists.
bool read_process(pid_t pid, double& cpu_seconds, double& memory_mb, int& descriptors);

}  // namespace balancer::testbed
