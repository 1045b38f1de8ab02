#include <malloc.h>

#include <boost/asio/io_context.hpp>
#include <csignal>
#include <cstdio>
#include <exception>
#include <optional>
#include <string>
#include <utility>

#include "node/balancer.h"
#include "node/command_line.h"
#include "node/endpoint_text.h"
#include "node/group_commands.h"
#include "node/memory_watch.h"
#include "node/process_log.h"
#include "node/process_signals.h"
#include "node/program_settings.h"

namespace balancer::node {
namespace {

// Descriptors of a group member, for datagrams, the voter's record, routers and status queries.
constexpr std::size_t kGroupDescriptors = 64;

// Memory of values is returned to the system once they have been forwarded. What remains of many
// short objects could not hold it.
constexpr int kMmapThresholdBytes = 32 << 10, kTrimThresholdBytes = 1 << 20;

// A sanitizer takes several times the memory of the process for itself.
#ifdef __SANITIZE_ADDRESS__
constexpr bool kIsSanitized = true;
#else
constexpr bool kIsSanitized = false;
#endif

std::size_t reserved_descriptors(const ProgramSettings& settings) {
  std::size_t count = 0;
  if (settings.operator_settings.group) count += kGroupDescriptors;
  if (settings.config && settings.config->admin)
    count += admin::AdminServer::kDescriptors + hot_restart::HotRestart::kDescriptors;
  return count;
}

void reload(const std::string& operator_file, const ProcessSettings& process, const Log& log,
            Balancer& balancer) {
  open_log(process.log);
  const ProgramSettings settings = load_settings(operator_file);
  const auto needs_restart = balancer.reload(settings.operator_settings);
  if (settings.config) balancer.reload(*settings.config);
  const std::string subject = "reload: " + operator_file + ": ";
  for (const auto& section : needs_restart) {
    std::string line = subject;
    line += section;
    line += " has changed; the change takes effect after a restart";
    log(line);
  }
}

// Tests and the testbed wait for these lines, after which the addresses accept clients.
void log_addresses(const Log& log, const ProgramSettings& settings, std::size_t resp_listeners,
                   const Balancer& balancer) {
  if (settings.config) log("listening on " + text_of(balancer.local()));
  if (settings.config && settings.config->admin) log("operators on " + text_of(balancer.admin()));
  for (std::size_t i = 0; i < resp_listeners; ++i) log("RESP on " + text_of(balancer.local(i)));
}

// Serves clients until SIGTERM or SIGINT is received and the drain is complete.
void serve(const std::string& operator_file) {
  std::optional<Limits> limits;  // outlives the event loop, whose last handlers hold reservations
  boost::asio::io_context io(1);
  ProcessSignals signals(io);  // first, because an unhandled signal would terminate the process
  const Time started_at = Clock().now();
  bool is_starting = true;
  ProgramSettings settings = load_settings(operator_file);
  const ProcessSettings process = settings.operator_settings.process;
  const std::size_t resp_listeners = settings.operator_settings.listeners.size();
  open_log(process.log);
  const Log log = make_log(process.name);
  limits.emplace(process.sockets, process.memory_mb, reserved_descriptors(settings));
  if (!kIsSanitized) limits->watch_resident_memory();
  const MemoryWatch memory_watch(io, *limits, log);
  Balancer balancer(io, settings.config, *limits, std::move(settings.operator_settings), log);
  signals.on_reload(
      [&] { reload_or_keep(log, [&] { reload(operator_file, process, log, balancer); }); });
  signals.on_terminate([&](int number) {
    log("drain: begins on signal " + std::to_string(number));
    balancer.drain(is_starting ? std::optional(started_at) : std::nullopt);
  });
  log_addresses(log, settings, resp_listeners, balancer);
  // Handles a signal that arrived during the start, which may have waited seconds for a
  // predecessor. It is unknown when, so the drain counts from the earliest possible time.
  io.poll();
  is_starting = false;
  io.run();
  ProcessSignals::block_all();
}

// Runs a command that prints a result. Returns the exit status.
int run_query(const CommandLine& line) {
  try {
    if (line.command == Command::kAddress) return query_address(line.address_query) ? 0 : 1;
    print_settings(load_settings(line.operator_file));
    std::printf("nothing wrong\n");
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}

// Runs a command that ends on a signal. Returns the exit status.
int run_process(const CommandLine& line) {
  std::signal(SIGPIPE, SIG_IGN);
  mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
  mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
  try {
    if (line.command == Command::kVoter) {
      run_voter(line.operator_file);
    } else {
      serve(line.operator_file);
    }
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "balancer: %s\n", error.what());
    return 1;
  }
}

}  // namespace
}  // namespace balancer::node

int main(int argc, char** argv) {
  using namespace balancer::node;
  const CommandLine line = parse_command_line(argc, argv);
  const bool is_query = line.command == Command::kCheck || line.command == Command::kAddress;
  return is_query ? run_query(line) : run_process(line);
}
