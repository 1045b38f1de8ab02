#include "testbed/attack/process_files.h"

#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace balancer::testbed::attack {

TemporaryFolder::TemporaryFolder() : path_("/tmp/balancer-attack-XXXXXX") {
  if (!::mkdtemp(path_.data())) throw std::runtime_error("no temporary folder");
}

TemporaryFolder::~TemporaryFolder() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

double status_mb(pid_t pid, const std::string& field) {
  constexpr double kKilobytesPerMegabyte = 1024;
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);)
    if (line.starts_with(field + ":"))
      return std::stod(line.substr(field.size() + 1)) / kKilobytesPerMegabyte;
  return 0;
}

void start_and_wait(boost::asio::io_context& io, BalancerProcess& process,
                    std::chrono::seconds limit) {
  bool is_ready = false;
  process.start([&is_ready] { is_ready = true; });
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!is_ready && std::chrono::steady_clock::now() < end)
    io.run_one_for(std::chrono::milliseconds(20));
  if (!is_ready)
    throw std::runtime_error("the balancer did not start: " + process.last_log_lines());
}

}  // namespace balancer::testbed::attack
