#pragma once

#include <deque>
#include <memory>
#include <string>

#include "testbed/balancer_process.h"
#include "testbed/scale/control_plane.h"
#include "testbed/scale/sweep.h"

namespace balancer::testbed::scale {

// The platform's configuration file of one balancer.
struct ProcessConfiguration {
  int number = 0;
  std::string listen, discovery;  // IP and port
  std::uint64_t seed = 1;
  int sockets = 1024, memory_mb = 256;
  std::string settings;  // a JSON object
};
std::string configuration_json(const ProcessConfiguration& configuration);

// Where a sweep's processes keep configurations and logs: below `options.folder`, or a temporary
// folder that ends with this object.
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

// Processes of the program against a discovery service. They end with this object.
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

  // Starts all of them at once. False if one has not answered a client within `limit`.
  bool start(Duration limit);
  bool run_until(const std::function<bool()>& done, Duration limit);
  void run_for(Duration length);
  int ready() const { return ready_; }

  struct Usage {
    double cpu_ms = 0;       // user and system, in steps of 10 ms
    double resident_mb = 0;  // of the one that holds most
    int descriptors = 0;     // likewise
  };
  Usage usage() const;  // of all together, but for the greatest
  asio::io_context& io() { return io_; }
  const asio::ip::tcp::endpoint& address(int process) const {
    return processes_[static_cast<std::size_t>(process)]->address();
  }

 private:
  RunFolder folder_;
  asio::io_context io_{1};
  // Without it the loop would end whenever no process is waited for.
  asio::executor_work_guard<asio::io_context::executor_type> work_ = asio::make_work_guard(io_);
  Scenario scenario_;
  Context context_{io_, scenario_};
  std::deque<std::unique_ptr<BalancerProcess>> processes_;
  int ready_ = 0;
};

}  // namespace balancer::testbed::scale
