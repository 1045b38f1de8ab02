#include "testbed/scale/balancer_processes.h"

#include <stdlib.h>

#include <algorithm>
#include <filesystem>

namespace balancer::testbed::scale {

std::string configuration_json(const ProcessConfiguration& c) {
  return "{\"name\":\"n" + std::to_string(c.number) + "\",\"listen\":\"" + c.listen +
         "\",\"discovery\":\"" + c.discovery + "\",\"seed\":" + std::to_string(c.seed) +
         ",\"limits\":{\"cores\":1.0,\"memory_mb\":" + std::to_string(c.memory_mb) +
         ",\"sockets\":" + std::to_string(c.sockets) + "},\"settings\":" + c.settings + "}\n";
}

RunFolder::RunFolder(const SweepOptions& options) {
  if (!options.folder.empty()) {
    path_ = options.folder + "/processes";
    std::filesystem::remove_all(path_);
    std::filesystem::create_directories(path_);
    return;
  }
  std::string name = std::filesystem::temp_directory_path() / "balancer-scale-XXXXXX";
  if (!::mkdtemp(name.data())) throw std::runtime_error("cannot create a temporary folder");
  path_ = name;
  temporary_ = true;
}

RunFolder::~RunFolder() {
  std::error_code ignored;
  if (temporary_) std::filesystem::remove_all(path_, ignored);
}

BalancerProcesses::BalancerProcesses(const SweepOptions& options, DiscoveryService& discovery,
                                     const Settings& settings)
    : folder_(options) {
  for (int i = 0; i < settings.count; ++i) {
    BalancerProcess::Files files;
    files.listen = context_.loopback.next_endpoint();
    files.platform = [i, settings, dial = discovery.dial(i)](const std::string& listen) {
      ProcessConfiguration configuration;
      configuration.number = i;
      configuration.listen = listen;
      configuration.discovery = dial;
      configuration.seed = settings.seed * 100'003 + static_cast<std::uint64_t>(i);
      configuration.sockets = settings.sockets;
      configuration.settings = platform_settings(settings.count, settings.asked);
      return configuration_json(configuration);
    };
    processes_.push_back(std::make_unique<BalancerProcess>(context_, options.program,
                                                           folder_.path(), i, std::move(files)));
  }
}

bool BalancerProcesses::start(Duration limit) {
  for (auto& process : processes_) process->start([this] { ++ready_; });
  return run_until([this] { return ready_ == static_cast<int>(processes_.size()); }, limit);
}

bool BalancerProcesses::run_until(const std::function<bool()>& done, Duration limit) {
  return scale::run_until(io_, done, limit);
}

void BalancerProcesses::run_for(Duration length) { io_.run_for(length); }

BalancerProcesses::Usage BalancerProcesses::usage() const {
  Usage all;
  for (const auto& process : processes_) {
    double cpu_seconds = 0, memory_mb = 0;
    int descriptors = 0;
    if (process->pid() <= 0 || !read_process(process->pid(), cpu_seconds, memory_mb, descriptors))
      continue;
    all.cpu_ms += 1e3 * cpu_seconds;
    all.resident_mb = std::max(all.resident_mb, memory_mb);
    all.descriptors = std::max(all.descriptors, descriptors);
  }
  return all;
}

}  // namespace balancer::testbed::scale
