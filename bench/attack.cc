// Plays each attack on a balancer's memory and on its ordinary clients, and prints a table: the
// peak of the process' resident memory for each shape, and how ordinary clients were served beside
// a client that sends at full speed.
//
//   cmake --build build --target balancer_bench_attack && build/balancer_bench_attack
//   build/balancer_bench_attack --memory-mb 64 [--only NAME] [--program PATH] [--at-once 4]
#include "testbed/attack/attack.h"

#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <atomic>
#include <cstdio>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "testbed/attack/flood.h"

namespace {

using namespace balancer::testbed::attack;

struct Options {
  std::string program = BALANCER_PROGRAM, only;
  int memory_mb = 32, sockets = 1024, at_once = 4;
  bool prints_log = false, plays_floods = true;
};

void print(const Shape& shape, const AttackFigures& figures) {
  std::printf("%-34s %8.1f %8.1f %7s %8s\n", shape.name.c_str(), figures.peak_mb, figures.after_mb,
              figures.has_ended ? "ended" : "runs", figures.answers_after ? "answers" : "silent");
  std::fflush(stdout);
}

// Returns whether all peaks stayed below the limit.
bool play_shapes(const Options& options) {
  std::printf("%-34s %8s %8s %7s %8s\n",
              ("at " + std::to_string(options.memory_mb) + " MB").c_str(), "peak MB", "after MB",
              "process", "then");
  std::atomic<std::size_t> next{0};
  std::atomic<bool> holds{true};
  std::mutex output;
  const auto work = [&] {
    for (std::size_t i = next++; i < all_shapes().size(); i = next++) {
      const Shape& shape = all_shapes()[i];
      if (shape.name.find(options.only) == std::string::npos) continue;
      const AttackFigures figures =
          play(shape, options.program, options.memory_mb, options.sockets);
      if (figures.peak_mb > options.memory_mb || figures.has_ended) holds = false;
      const std::lock_guard lock(output);
      print(shape, figures);
      if (options.prints_log) std::printf("%s", figures.last_log_lines.c_str());
    }
  };
  std::vector<std::thread> workers;
  for (int i = 0; i < options.at_once; ++i) workers.emplace_back(work);
  for (std::thread& worker : workers) worker.join();
  return holds;
}

void play_floods(const Options& options) {
  std::printf("%-34s %8s %8s %8s %8s %8s\n", "ordinary clients beside a flood", "served", "refused",
              "p95 s", "worst s", "peak MB");
  for (const Flood& flood : all_floods()) {
    if (flood.name.find(options.only) == std::string::npos) continue;
    const FloodFigures figures =
        play(flood, options.program, BALANCER_CALM_SCENARIO, options.memory_mb, options.sockets);
    std::printf("%-34s %8d %8d %8.3f %8.3f %8.1f\n", flood.name.c_str(), figures.served,
                figures.not_served, figures.p95_seconds, figures.worst_seconds, figures.peak_mb);
    std::fflush(stdout);
  }
}

}  // namespace

int main(int argc, char** argv) {
  Options options;
  CLI::App app{"Plays attacks on a balancer's memory and on its ordinary clients"};
  app.add_option("--program", options.program, "balancer executable");
  app.add_option("--only", options.only, "part of the names of the shapes to play");
  app.add_option("--memory-mb", options.memory_mb, "memory limit in MB")
      ->check(CLI::Range(32, 4096));
  app.add_option("--sockets", options.sockets, "limit of descriptors")->check(CLI::Range(64, 4096));
  app.add_option("--at-once", options.at_once, "shapes played at once")->check(CLI::Range(1, 16));
  app.add_flag("--log", options.prints_log, "print the last lines of the balancer's log");
  app.add_flag("!--no-floods", options.plays_floods, "play no floods");
  CLI11_PARSE(app, argc, argv);
  rlimit descriptors{};
  ::getrlimit(RLIMIT_NOFILE, &descriptors);
  descriptors.rlim_cur = descriptors.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &descriptors);
  const bool holds = play_shapes(options);
  if (options.plays_floods) play_floods(options);
  return holds ? 0 : 1;
}
