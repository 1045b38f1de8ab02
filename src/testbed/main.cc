#include <sys/resource.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

#include "fleet_simulation/tables.h"
#include "testbed/failover_test.h"
#include "testbed/model/scenario_generator.h"
#include "testbed/rehearsal.h"
#include "testbed/report/report.h"
#include "testbed/scale/sweep.h"
#include "testbed/servers/resp_cluster.h"

namespace {

using namespace balancer::testbed;

long raise_descriptor_limit() {
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
  ::getrlimit(RLIMIT_NOFILE, &limit);
  return static_cast<long>(limit.rlim_cur);
}

int report(const std::string& folder) {
  std::ifstream in(folder + "/report.json");
  if (!in) throw std::runtime_error(folder + "/report.json: cannot be read");
  std::ostringstream json;
  json << in.rdbuf();
  std::printf("%s", report_text(json.str()).c_str());
  std::ofstream(folder + "/report.html") << report_html(json.str());
  return report_exit_code(json.str());
}

std::string path_in_own_folder(const char* name) {
  std::error_code error;
  const auto self = std::filesystem::read_symlink("/proc/self/exe", error);
  return (error ? std::filesystem::path("build") : self.parent_path()) / name;
}

// Prints the nodes' addresses and runs until interrupted.
int run_cluster(int nodes, int replicas) {
  raise_descriptor_limit();
  asio::io_context io(1);
  RespCluster all(io, nodes, replicas);
  for (const auto& address : all.addresses()) std::printf("%s\n", address.c_str());
  std::fflush(stdout);
  asio::signal_set signals(io, SIGINT, SIGTERM);
  signals.async_wait([&io](const boost::system::error_code&, int) { io.stop(); });
  io.run();
  std::printf("%llu commands, %zu writes, %llu redirections, %llu requests for the slot map\n",
              static_cast<unsigned long long>(all.commands()), all.runs().size(),
              static_cast<unsigned long long>(all.redirections()),
              static_cast<unsigned long long>(all.map_queries()));
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  CLI::App app{"Tests balancer with emulated hosts, clients and faults on loopback addresses only"};
  app.require_subcommand(1);
  std::string file, folder;
  RehearsalOptions options;
  std::vector<std::string> balancers;
  bool quiet = false;
  const auto add = [&](const char* name, const char* what) {
    CLI::App* sub = app.add_subcommand(name, what);
    sub->add_option("SCENARIO", file, "a scenario's TOML file")->required();
    return sub;
  };
  const auto add_run = [&](const char* name, const char* what) {
    CLI::App* sub = add(name, what);
    sub->add_option("--out", options.folder, "folder (default: rehearsals/NAME)");
    sub->add_flag("--quiet", quiet, "do not print progress");
    return sub;
  };
  CLI::App* check = add("check", "check a scenario and the resources of this machine");
  CLI::App* rehearse = add_run("rehearse", "run fleet, balancers and clients, and write a report");
  rehearse->add_option("--program", options.program,
                       "balancer executable (default: next to this program)");
  CLI::App* fleet = add_run("fleet", "run only the emulated fleet, for balancers that you start");
  CLI::App* load = add_run("load", "run only the clients");
  load->add_option("--to", balancers, "ADDRESS:PORT of each balancer")->required();
  CLI::App* show =
      app.add_subcommand("report", "print the report of an earlier run and rewrite its HTML page");
  show->add_option("DIR", folder, "folder of the run")->required();
  int nodes = 3, replicas = 1;
  CLI::App* cluster = app.add_subcommand(
      "cluster", "run only an emulated RESP cluster, for balancers and clients that you start");
  cluster->add_option("--nodes", nodes, "number of primaries")->check(CLI::Range(1, 100));
  cluster->add_option("--replicas", replicas, "replicas of each primary")->check(CLI::Range(0, 5));
  int count = 0;
  std::uint64_t seed = 0;
  for (CLI::App* sub : {check, rehearse}) {
    sub->add_option("--balancers", count, "override the scenario's number of balancers")
        ->check(CLI::Range(1, 64));
    sub->add_option("--seed", seed, "override the scenario's seed")->check(CLI::PositiveNumber);
  }
  balancer::fleet_simulation::TableOptions table;
  bool brief = false;
  CLI::App* simulate = add("plant", "run the scenario in simulated time; print all control loops");
  simulate->add_option("--balancers", count, "override the scenario's number of balancers")
      ->check(CLI::Range(1, 1000));
  simulate->add_option("--seed", seed, "first seed")->check(CLI::PositiveNumber);
  simulate->add_option("--seeds", table.seeds, "number of runs")->check(CLI::Range(1, 10000));
  simulate
      ->add_option("--hold-origin", table.plant.fixed_origin_admit_fraction,
                   "fix the origin's admit fraction at this value")
      ->check(CLI::Range(0.05, 1.0));
  simulate
      ->add_option("--hold-caches", table.plant.fixed_caches_admit_fraction,
                   "fix the caches' admit fraction at this value")
      ->check(CLI::Range(0.05, 1.0));
  simulate->add_flag("--brief", brief, "print only one line for each seed");
  std::uint64_t draw_seed = 0;
  CLI::App* draw = app.add_subcommand("draw", "print a random scenario that can be run");
  draw->add_option("SEED", draw_seed)->required()->check(CLI::PositiveNumber);
  bool soak = false;
  draw->add_flag("--soak", soak, "add repeated restarts, short deadlines and machine faults");
  FailoverOptions failover;
  CLI::App* move =
      app.add_subcommand("moves", "move the service address of a group of balancers repeatedly");
  move->add_option("--rounds", failover.rounds, "number of moves, each with the next fault")
      ->check(CLI::Range(1, 100000));
  move->add_option("--instances", failover.instances)->check(CLI::Range(2, 20));
  move->add_option("--voters", failover.voters, "number of voters")->check(CLI::Range(1, 7));
  move->add_option("--only", failover.only, "inject only this fault, named as in the report");
  move->add_option("--seed", failover.seed);
  move->add_option("--faults", failover.faults, "fault plan for each process");
  move->add_option("--out", failover.folder, "folder (default: rehearsals/moves)");
  move->add_option("--program", failover.program,
                   "balancer executable (default: next to this program)");
  move->add_flag("--quiet", quiet, "do not print progress");
  scale::SweepOptions sweep;
  std::string sweep_name, sweep_names;
  for (const auto& entry : scale::sweeps())
    sweep_names += std::string(sweep_names.empty() ? "" : "; ") + entry.name + ": " + entry.about;
  CLI::App* measure = app.add_subcommand(
      "scale", "measure a cost at several sizes, fit a curve, and write CSV files and charts");
  measure->add_option("SWEEP", sweep_name, sweep_names)->required();
  measure->add_flag("--short", sweep.quick, "run fewer sizes; measured times are not meaningful");
  measure->add_option("--seeds", sweep.seeds, "one run of each size for each seed");
  measure->add_option("--out", sweep.folder, "folder (default: rehearsals/scale)");
  measure->add_option("--program", sweep.program,
                      "balancer executable (default: next to this program)");
  measure->add_flag("--quiet", quiet, "do not print progress");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : 2;
  }
  try {
    if (*show) return report(folder);
    if (*draw) {
      std::printf("%s", (soak ? draw_soak(draw_seed) : draw_scenario(draw_seed)).c_str());
      return 0;
    }
    if (*cluster) return run_cluster(nodes, replicas);
    if (*move) {
      if (failover.folder.empty()) failover.folder = "rehearsals/moves";
      if (failover.program.empty()) failover.program = path_in_own_folder("balancer");
      failover.progress = !quiet;
      raise_descriptor_limit();
      return run_failover_test(failover);
    }
    if (*measure) {
      if (sweep.folder.empty()) sweep.folder = "rehearsals/scale";
      if (sweep.program.empty()) sweep.program = path_in_own_folder("balancer");
      sweep.progress = !quiet;
      raise_descriptor_limit();
      scale::run_and_write(sweep_name, sweep);
      return 0;
    }
    Scenario scenario = load_scenario(file);
    if (count > 0) scenario.balancers = count;
    if (seed > 0) scenario.seed = seed;
    if (*simulate) {
      table.by_time = !brief;
      std::printf("%s", balancer::fleet_simulation::table(scenario, table).c_str());
      return 0;
    }
    check_machine(scenario, raise_descriptor_limit());
    if (*check) {
      std::printf("%s: valid; %d hosts, %d balancers, %.0f requests a second, %ld descriptors\n",
                  file.c_str(), scenario.hosts(), scenario.balancers, scenario.load.rate,
                  scenario.descriptors());
      return 0;
    }
    if (options.folder.empty()) options.folder = "rehearsals/" + scenario.name;
    if (options.program.empty()) options.program = path_in_own_folder("balancer");
    options.progress = !quiet;
    if (*fleet) return run_fleet(scenario, options);
    if (*load) return run_load(scenario, balancers, options);
    if (*rehearse) {
      if (::access(options.program.c_str(), X_OK) != 0)
        throw ScenarioError(options.program +
                            ": is not an executable; build it or name another with --program");
      return run_rehearsal(scenario, options);
    }
  } catch (const std::exception& e) {
    std::fprintf(stderr, "balancer_testbed: %s\n", e.what());
    return 2;
  }
  return 2;
}
