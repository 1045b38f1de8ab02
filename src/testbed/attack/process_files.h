#pragma once

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <string>

#include "testbed/balancer_process.h"

namespace balancer::testbed::attack {

// A folder that is removed with this object. Throws std::runtime_error if it cannot be made.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// Returns a figure of /proc/PID/status, such as VmHWM, in MB; 0 if there is none.
double status_mb(pid_t pid, const std::string& field);

// Starts the process and runs the loop until it answers. Throws std::runtime_error, with the last
// lines of its log, if it does not within `limit`.
void start_and_wait(boost::asio::io_context& io, BalancerProcess& process,
                    std::chrono::seconds limit);

}  // namespace balancer::testbed::attack
