#pragma once

#include <deque>
#include <memory>
#include <string>

#include "testbed/balancer_process.h"
#include "testbed/scale/control_plane.h"
#include "testbed/scale/sweep.h"

namespace balancer::testbed::scale {

// Contents of the platform's configuration file of one balancer.
struct ProcessConfiguration {
  int number = 0;
  std::string listen, discovery;  // IP and port
  std::uint64_t seed = 1;
  int sockets = 1024, memory_mb = 256;
  std::string settings;  // a JSON object
};
std::string configuration_json(const ProcessConfiguration& configuration);

// The folder for configurations and logs of a sweep's processes: below `options.folder`, or a
// temporary folder that the destructor removes.
class RunFolder {
 public:
  explicit RunFolder(const SweepOptions& options);
  ~RunFolder();
  RunFolder(const RunFolder&) = delete;
  RunFolder& operator=(const RunFolder&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
  bool temporary_ = false;
};

// Balancer processes that use a discovery service. The destructor stops them.
class BalancerProcesses {
 public:
  struct Settings {
    int count = 1;
    bool asked = false;
    std::uint64_t seed = 1;
    int sockets = 1024;
  };
  BalancerProcesses(const SweepOptions& options, DiscoveryService& discovery,
                    const Settings& settings);

  // Starts all processes at once. Returns false if one of them has not answered a client within
  // `limit`.
  bool start(Duration limit);
  bool run_until(const std::function<bool()>& done, Duration limit);
  void run_for(Duration length);
  int ready() const { return ready_; }

  struct Usage {
    double cpu_ms = 0;       // user and system time of all processes, with a resolution of 10 ms
    double resident_mb = 0;  // of the largest process
    int descriptors = 0;     // most of any one process
  };
  Usage usage() const;
  asio::io_context& io() { return io_; }
  const asio::ip::tcp::endpoint& address(int process) const {
    return processes_[static_cast<std::size_t>(process)]->address();
  }

 private:
  RunFolder folder_;
  asio::io_context io_{1};
  // Keeps the loop running while no process is awaited.
  asio::executor_work_guard<asio::io_context::executor_type> work_guard_ =
      asio::make_work_guard(io_);
  Scenario scenario_;
  Context context_{io_, scenario_};
  std::deque<std::unique_ptr<BalancerProcess>> processes_;
  int ready_ = 0;
};

}  // namespace balancer::testbed::scale
