#include "testbed/rehearsal.h"

#include <signal.h>
#include <unistd.h>

#include <boost/asio/signal_set.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>
#include <stdexcept>

#include "testbed/audit/readiness.h"
#include "testbed/balancer_process.h"
#include "testbed/group_net.h"
#include "testbed/load/load.h"
#include "testbed/report/report.h"
#include "testbed/servers/fleet.h"
#include "testbed/servers/resp_fleet.h"

namespace balancer::testbed {
namespace {

using boost::system::error_code;
using std::chrono::milliseconds;

constexpr Duration kStartupTimeout = std::chrono::seconds(10);
constexpr Duration kLagProbe = milliseconds(5);
// Earliest start of the clients, so that every run of a scenario has the same clients.
constexpr Duration kClientsStart = std::chrono::seconds(1);
// A planned restart as on the platform: the front end keeps sending for 0.3 s, and the process is
// killed no earlier than the longest deadline (at most 3 s) plus 0.7 s.
constexpr Duration kFrontDelay = milliseconds(300);
constexpr Duration kKillMargin = milliseconds(700);
constexpr Duration kLongestDrain = std::chrono::seconds(3);
constexpr Duration kDefaultDowntime = std::chrono::seconds(1);
// A group member hands over first, which takes at most a lease and an overlap.
constexpr Duration kHandoverTime = milliseconds(2500);

Duration longest_deadline(const Scenario& s) {
  Duration longest{0};
  for (const ClassSpec& c : s.classes) longest = std::max(longest, c.deadline);
  return longest;
}

// Common parts of all three kinds of run: the event loop, its measured lag, the progress line and
// the termination.
class Run {
 public:
  Run(const Scenario& s, const RehearsalOptions& options)
      : scenario(s), options_(options), context(io, s), tally(s), signals_(io, SIGINT, SIGTERM) {
    std::filesystem::create_directories(options.folder);
    signals_.async_wait([this](const error_code& e, int) {
      if (e) return;
      interrupted_ = true;
      io.stop();
    });
    next_probe_ = context.now() + kLagProbe;
    probe();
  }

  // Runs the loop until `done` returns true. Returns false if interrupted or after `limit`.
  template <typename Done>
  bool until(Done&& done, Duration limit) {
    const Time end = context.now() + limit;
    while (!interrupted_ && !done()) {
      if (context.now() > end) return false;
      io.run_one_for(milliseconds(20));
    }
    return !interrupted_;
  }
  bool interrupted() const { return interrupted_; }
  void start_measuring() { measuring_ = true; }

  const Scenario& scenario;

 private:
  const RehearsalOptions& options_;

 public:
  asio::io_context io{1};
  Context context;
  Tally tally;
  Histogram lag;
  std::vector<ProcessSample> samples;
  std::unique_ptr<Load> load;
  std::function<void()> each_second;

  void sample() {
    ProcessSample s;
    double cpu = 0;
    if (read_process(0, cpu, s.memory_mb, s.descriptors)) {
      s.at = context.now();
      s.cpu = (cpu - cpu_) / std::max(1e-3, seconds(s.at - sampled_at_));
      cpu_ = cpu;
      sampled_at_ = s.at;
      samples.push_back(s);
    }
    if (each_second) each_second();
    if (options_.progress) progress();
    context.after(std::chrono::seconds(1), [this] { sample(); });
  }

 private:
  void probe() {
    context.at(next_probe_, [this] {
      const Time now = context.now();
      if (measuring_) lag.add(now - next_probe_);
      next_probe_ = std::max(next_probe_ + kLagProbe, now);
      probe();
    });
  }
  void progress() {
    std::uint64_t asked = 0, served = 0, breaches = 0;
    for (const auto& c : tally.classes()) {
      asked += c.asked;
      served += c.ends[0];
    }
    for (int rule = 1; rule <= 4; ++rule) breaches += context.auditor.breach_count(rule);
    std::fprintf(stderr, "\r%5.0f of %.0f s  asked %llu  served in aim %llu  rules broken %llu   ",
                 seconds(context.now()), seconds(scenario.length),
                 static_cast<unsigned long long>(asked), static_cast<unsigned long long>(served),
                 static_cast<unsigned long long>(breaches));
    if (context.now() >= scenario.length || !::isatty(2)) std::fprintf(stderr, "\n");
  }

  asio::signal_set signals_;
  Time next_probe_{0};
  double cpu_ = 0;
  Time sampled_at_{0};
  bool interrupted_ = false, measuring_ = false;
};

std::string configuration(const Scenario& s, Fleet& fleet, int balancer, std::uint64_t seed,
                          const std::string& listen) {
  char hex[20];
  std::snprintf(hex, sizeof hex, "%016llx", static_cast<unsigned long long>(seed));
  return "{\"name\":\"n" + std::to_string(balancer) + "\",\"listen\":\"" + listen +
         "\",\"discovery\":\"" + fleet.discovery().dial(balancer) + "\",\"seed\":\"" + hex +
         "\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + std::to_string(s.memory_mb) +
         ",\"sockets\":" + std::to_string(s.sockets) +
         "},\"known\":" + fleet.discovery().whole_list(balancer) +
         ",\"settings\":" + fleet.settings_json() + "}\n";
}

// Returns the operator's file of a balancer. `listeners`: for each cluster, the listeners of all
// balancers.
std::string operator_file(const Scenario& s,
                          const std::vector<std::unique_ptr<RespFleet>>& clusters,
                          const std::vector<std::vector<asio::ip::tcp::endpoint>>& listeners,
                          std::size_t balancer, const GroupNet* group) {
  const auto ms = [](Duration d) { return std::to_string(millis(d)); };
  const auto name = [](const asio::ip::tcp::endpoint& e) { return "\"" + text_of(e) + "\""; };
  std::string text = "[process]\nname = \"n" + std::to_string(balancer) +
                     "\"\nmemory_mb = " + std::to_string(s.memory_mb) +
                     "\nsockets = " + std::to_string(s.sockets) + "\n";
  for (std::size_t c = 0; c < clusters.size(); ++c) {
    const ClusterSpec& spec = s.clusters[c];
    text += "[[pool]]\nname = \"" + spec.name + "\"\nseeds = [";
    for (const auto& seed : clusters[c]->addresses()) text += "\"" + seed + "\", ";
    text += "]\nbalancers = " + std::to_string(s.balancers) +
            "\nmost_attempts = " + std::to_string(std::clamp(s.max_attempts, 1, 32)) +
            "\nmost_retry_after_ms = " +
            ms(std::min<Duration>(s.max_retry_after, std::chrono::seconds(60))) +
            "\nslow_after_ms = " + std::to_string(spec.slow_after_ms) + "\n";
    for (const ClassSpec& k : s.classes) {
      if (k.cluster != static_cast<int>(c)) continue;
      const char* const reads = k.reads == Reads::kPrimary   ? "primary"
                                : k.reads == Reads::kReplica ? "replica"
                                                             : "any";
      text += "[[pool.class]]\nname = \"" + k.name + "\"\ncommands = [\"" +
              (k.write() ? "RPUSH" : "LRANGE") + "\"]\nprefix = \"" + k.prefix +
              "\"\naim_ms = " + ms(k.aim) + "\ndeadline_ms = " + ms(k.deadline) + "\nreads = \"" +
              reads + "\"\neffect = \"" + (k.write() ? "unsafe" : "safe") + "\"\n";
    }
  }
  if (group)
    return text + "[[listener]]\nname = \"" + s.clusters[0].name + "\"\naddress = \"" +
           group->listen(static_cast<int>(balancer)) + "\"\npool = \"" + s.clusters[0].name +
           "\"\nservice = \"" + GroupNet::kService + "\"\n" +
           group->config_tables(static_cast<int>(balancer));
  for (std::size_t c = 0; c < clusters.size(); ++c) {
    text += "[[listener]]\nname = \"" + s.clusters[c].name +
            "\"\naddress = " + name(listeners[c][balancer]) + "\npool = \"" + s.clusters[c].name +
            "\"\npeers = [";
    for (std::size_t b = 0; b < listeners[c].size(); ++b)
      if (b != balancer) text += name(listeners[c][b]) + ", ";
    text += "]\n";
  }
  return text;
}

int write_report(const RunFigures& figures, const std::string& folder) {
  const std::string json = report_json(figures);
  const std::string text = report_text(json);
  std::ofstream(folder + "/report.json") << json << "\n";
  std::ofstream(folder + "/report.txt") << text;
  std::ofstream(folder + "/report.html") << report_html(json);
  std::printf("%s\nreport: %s/report.html\n", text.c_str(), folder.c_str());
  return report_exit_code(json);
}

class Rehearsal {
 public:
  Rehearsal(const Scenario& s, const RehearsalOptions& options)
      : s_(s), options_(options), run_(s, options), fleet_(run_.context), seeds_(s.seed, 4) {
    fleet_.warm_with(Arrivals(s).popular());
    for (std::size_t c = 0; c < s.clusters.size(); ++c) {
      clusters_.push_back(std::make_unique<RespFleet>(run_.context, static_cast<int>(c)));
      clusters_.back()->fill(Arrivals(s).popular());
      listeners_.emplace_back();
      for (int b = 0; b < s.balancers; ++b)
        listeners_.back().push_back(run_.context.loopback.next_endpoint());
    }
    if (s.group_voters > 0) {
      group_ = std::make_unique<GroupNet>(run_.context, options.folder, s.balancers, s.group_voters,
                                          s.seed);
      group_->router().on_change = [this](const BgpRouter::Change&) { on_route(); };
    }
    for (int b = 0; b < s.balancers; ++b) {
      BalancerProcess::Files files;
      files.group_member = group_ != nullptr;
      files.faults = s.faults;
      files.listen = s.memcache() ? run_.context.loopback.next_endpoint()
                                  : listeners_.front()[static_cast<std::size_t>(b)];
      if (s.memcache())
        files.platform = [this, b](const std::string& listen) {
          return configuration(s_, fleet_, b, seeds_.next(), listen);
        };
      if (!clusters_.empty())
        files.operator_config = [this, b] {
          return operator_file(s_, clusters_, listeners_, static_cast<std::size_t>(b),
                               group_.get());
        };
      balancers_.push_back(std::make_unique<BalancerProcess>(run_.context, options.program,
                                                             options.folder, b, std::move(files)));
    }
  }

  int operator()() {
    std::size_t up = 0;
    for (auto& b : balancers_) b->start([&up] { ++up; });
    if (!run_.until([&] { return up == balancers_.size() || !all_running(); }, kStartupTimeout) ||
        up < balancers_.size()) {
      if (run_.interrupted()) return 2;
      for (auto& b : balancers_)
        std::fprintf(stderr, "balancer %s did not come up; its log ends with:\n%s\n",
                     b->name().c_str(), b->last_log_lines().c_str());
      return 2;
    }
    run_.until([&] { return run_.context.now() >= kClientsStart; }, kClientsStart);
    std::vector<asio::ip::tcp::endpoint> addresses;
    std::vector<std::vector<asio::ip::tcp::endpoint>> resp;
    if (group_) {
      // Clients connect to the service address only.
      if (!run_.until([&] { return group_->owner() >= 0; }, kStartupTimeout))
        throw std::runtime_error("no balancer took the service address; logs in " +
                                 options_.folder);
      addresses = {group_->service()};
      resp = {{group_->service()}};
    } else {
      for (const auto& b : balancers_) addresses.push_back(b->address());
      resp = listeners_;
    }
    run_.load = std::make_unique<Load>(run_.context, run_.tally, addresses, resp);
    run_.each_second = [this] {
      for (auto& b : balancers_) b->sample();
    };
    for (const IncidentSpec& i : s_.incidents)
      run_.context.at(i.at, [this, &i] { apply_incident(i); });
    run_.start_measuring();
    run_.sample();
    run_.load->start();
    const Duration remaining = s_.length + longest_deadline(s_) + std::chrono::seconds(2);
    run_.until([&] { return run_.load->done(); }, remaining - run_.context.now());
    // Waits for restarts in progress.
    run_.until([&] { return restarting_ == 0; }, Readiness::kLatest + std::chrono::seconds(1));
    readiness_.on_end(run_.context.now());
    run_.each_second = nullptr;
    for (auto& b : balancers_) {
      b->running();  // reaps, so that an earlier exit counts as a crash
      b->expect_exit();
      b->signal(SIGTERM);
    }
    run_.load->close_all();
    if (run_.interrupted()) run_.io.restart();
    end_balancers();
    RunFigures figures{s_,
                       run_.context.auditor,
                       run_.context.stampede,
                       run_.context.cold_loads,
                       run_.tally,
                       *run_.load,
                       fleet_,
                       {},
                       {},
                       run_.samples,
                       run_.lag};
    for (const auto& c : clusters_) figures.clusters.push_back(c.get());
    for (const auto& b : balancers_) figures.balancers.push_back(b->figures());
    figures.restarts = readiness_.checks();
    const int verdict = write_report(figures, options_.folder);
    return run_.interrupted() ? 2 : verdict;
  }

 private:
  bool all_running() {
    bool all = true;
    for (auto& b : balancers_) all = b->running() && all;
    return all;
  }

  void end_balancers() {
    const Time end = run_.context.now() + kLongestDrain + kKillMargin;
    for (bool any = true; any && run_.context.now() < end;) {
      any = false;
      for (auto& b : balancers_) any = b->running() || any;
      run_.io.run_for(milliseconds(20));
    }
  }

  void apply_incident(const IncidentSpec& i) {
    if (i.what == What::kDemand || i.what == What::kBurst) return;  // applied by Arrivals
    if (i.what >= What::kAddressMove) return apply_to_holder(i);
    if (i.cluster >= 0) return clusters_[static_cast<std::size_t>(i.cluster)]->strike(i);
    if (i.what != What::kBalancerRestart && i.what != What::kBalancerKill &&
        i.what != What::kBalancerReload && i.what != What::kBalancerStop)
      return fleet_.strike(i);
    Duration delay{0};
    for (const int b : s_.balancers_struck(i)) {
      run_.context.after(delay, [this, &i, b] { apply_to_balancer(i, b); });
      delay += i.stagger;
    }
  }

  // Requests held by a failed holder are excused until another member has the address. An orderly
  // move excuses nothing.
  void apply_to_holder(const IncidentSpec& i) {
    const int holder = group_->owner();
    if (holder < 0 || failed_holder_ >= 0) return;
    ++moves_;
    BalancerProcess& process = *balancers_[static_cast<std::size_t>(holder)];
    if (i.what == What::kAddressMove) {
      group_->send_command(holder, std::string("move ") + GroupNet::kService);
      return;
    }
    const Duration downtime = i.length > Duration{0} ? i.length : kDefaultDowntime;
    if (i.what == What::kHolderRestart) {
      ++restarting_;
      process.expect_exit();
      process.signal(SIGTERM);
      return await_exit(holder, run_.context.now() + longest_deadline(s_) + kHandoverTime,
                        downtime);
    }
    failed_holder_ = holder;
    run_.load->set_killed(0, true);
    switch (i.what) {
      case What::kHolderKill:
        ++restarting_;
        process.signal(SIGKILL);
        run_.context.after(downtime, [this, holder] { restart(holder); });
        return;
      case What::kHolderStop:
        process.signal(SIGSTOP);
        run_.context.after(downtime, [&process] { process.signal(SIGCONT); });
        return;
      default:
        group_->relay().isolate(static_cast<std::size_t>(holder), true);
        group_->cut_from_router(holder, true);
        run_.context.after(downtime, [this, holder] {
          group_->relay().isolate(static_cast<std::size_t>(holder), false);
          group_->cut_from_router(holder, false);
        });
    }
  }
  void on_route() {
    const int owner = group_->owner();
    if (failed_holder_ < 0 || owner < 0 || owner == failed_holder_ || !run_.load) return;
    failed_holder_ = -1;
    run_.load->set_killed(0, false);
    // Connections opened meanwhile led to the failed holder.
    run_.load->set_killed(0, true);
    run_.load->set_killed(0, false);
  }

  void apply_to_balancer(const IncidentSpec& i, int b) {
    BalancerProcess& process = *balancers_[static_cast<std::size_t>(b)];
    if (i.what == What::kBalancerReload) {
      // The platform does not reload a balancer before it is ready.
      if (phases_[static_cast<std::size_t>(b)] == Phase::kStarting) return;
      fleet_.discovery().move(b);
      process.reload();
      return;
    }
    const Duration downtime = i.length > Duration{0} ? i.length : kDefaultDowntime;
    if (i.what == What::kBalancerStop) return stop_balancer(b, downtime);
    // A balancer that another incident has stopped and not yet restarted is left alone.
    if (phases_[static_cast<std::size_t>(b)] == Phase::kDown) return;
    if (phases_[static_cast<std::size_t>(b)] == Phase::kStarting)
      --restarting_;  // that start is aborted
    readiness_.on_struck(b);
    phases_[static_cast<std::size_t>(b)] = Phase::kDown;
    ++restarting_;
    if (i.what == What::kBalancerKill) {
      process.signal(SIGKILL);
      run_.load->set_killed(b, true);
      run_.context.after(from_seconds(s_.load.front_notice_s),
                         [this, b] { run_.load->set_listed(b, false); });
      run_.context.after(std::max(downtime, from_seconds(s_.load.front_notice_s)),
                         [this, b] { restart(b); });
      return;
    }
    process.expect_exit();
    process.signal(SIGTERM);
    run_.context.after(kFrontDelay, [this, b] { run_.load->set_listed(b, false); });
    const Time kill =
        run_.context.now() + std::min(longest_deadline(s_), kLongestDrain) + kKillMargin;
    await_exit(b, kill, downtime);
  }

  // Stops the process with SIGSTOP, with all connections open. Its clients' requests are lost as
  // with a killed balancer. After SIGCONT it must detect by itself what has changed meanwhile.
  void stop_balancer(int b, Duration downtime) {
    BalancerProcess& process = *balancers_[static_cast<std::size_t>(b)];
    if (!process.running() || process.stopped()) return;
    ++restarting_;
    readiness_.on_struck(b);
    process.signal(SIGSTOP);
    run_.load->set_killed(b, true);
    run_.context.after(from_seconds(s_.load.front_notice_s), [this, b, &process] {
      if (process.stopped()) run_.load->set_listed(b, false);
    });
    run_.context.after(downtime, [this, b, &process] {
      --restarting_;
      if (!process.stopped()) return;  // killed meanwhile
      process.signal(SIGCONT);
      if (phases_[static_cast<std::size_t>(b)] != Phase::kUp) return;
      run_.load->set_killed(b, false);
      run_.load->set_listed(b, true);
    });
  }

  void await_exit(int b, Time kill, Duration downtime) {
    BalancerProcess& process = *balancers_[static_cast<std::size_t>(b)];
    if (!process.running()) {
      run_.context.after(std::max(downtime, kFrontDelay), [this, b] { restart(b); });
      return;
    }
    if (run_.context.now() >= kill) process.signal(SIGKILL);
    run_.context.after(milliseconds(20),
                       [this, b, kill, downtime] { await_exit(b, kill, downtime); });
  }

  void restart(int b) {
    fleet_.discovery().on_balancer_restart(b);
    phases_[static_cast<std::size_t>(b)] = Phase::kStarting;
    readiness_.on_start(run_.context.now(), b);
    balancers_[static_cast<std::size_t>(b)]->start([this, b] {
      if (phases_[static_cast<std::size_t>(b)] != Phase::kStarting)
        return;  // has been ordered to exit meanwhile
      phases_[static_cast<std::size_t>(b)] = Phase::kUp;
      readiness_.on_ready(run_.context.now(), b);
      if (group_) {
        --restarting_;
        return;
      }
      run_.load->set_killed(b, false);
      run_.load->set_listed(b, true);
      --restarting_;
    });
  }

  const Scenario& s_;
  const RehearsalOptions& options_;
  Run run_;
  Fleet fleet_;
  std::vector<std::unique_ptr<RespFleet>> clusters_;
  // By cluster and balancer.
  std::vector<std::vector<asio::ip::tcp::endpoint>> listeners_;
  Random seeds_;
  std::unique_ptr<GroupNet> group_;
  std::vector<std::unique_ptr<BalancerProcess>> balancers_;
  enum class Phase { kUp, kDown, kStarting };
  std::vector<Phase> phases_ = std::vector<Phase>(static_cast<std::size_t>(s_.balancers));
  int restarting_ = 0;
  Readiness readiness_;
  int failed_holder_ = -1;  // the failed holder, until another member has its address; -1: none
  int moves_ = 0;
};

}  // namespace

int run_rehearsal(const Scenario& scenario, const RehearsalOptions& options) {
  return Rehearsal(scenario, options)();
}

int run_fleet(const Scenario& s, const RehearsalOptions& options) {
  if (!s.clusters.empty())
    throw ScenarioError(s.file + ": cluster: only `rehearse` plays clusters");
  Run run(s, options);
  run.context.adopt_strangers();
  Fleet fleet(run.context);
  fleet.warm_with(Arrivals(s).popular());
  for (int b = 0; b < s.balancers; ++b) {
    const std::string file = options.folder + "/n" + std::to_string(b) + ".json";
    std::ofstream(file) << configuration(s, fleet, b, s.seed + static_cast<std::uint64_t>(b),
                                         "127.0.0.1:0");
    std::printf("ROUTER_CONFIG=%s build/balancer\n", file.c_str());
  }
  std::fflush(stdout);
  for (const IncidentSpec& i : s.incidents)
    if (i.what <= What::kFlush || i.what == What::kDiscoveryDown)
      run.context.at(i.at, [&fleet, &i] { fleet.strike(i); });
  run.until([] { return false; }, s.length);
  return 0;
}

int run_load(const Scenario& s, const std::vector<std::string>& balancers,
             const RehearsalOptions& options) {
  if (!s.clusters.empty())
    throw ScenarioError(s.file + ": cluster: only `rehearse` plays clusters");
  std::vector<asio::ip::tcp::endpoint> addresses;
  for (const std::string& text : balancers) {
    const auto colon = text.rfind(':');
    error_code error;
    const auto address = asio::ip::make_address(text.substr(0, colon), error);
    const auto port =
        colon == std::string::npos ? 0 : std::strtoul(text.c_str() + colon + 1, nullptr, 10);
    if (error || !address.is_loopback() || port == 0 || port > 65'535)
      throw ScenarioError("--to " + text + ": must be a loopback address and a port");
    addresses.emplace_back(address, static_cast<std::uint16_t>(port));
  }
  Run run(s, options);
  run.context.auditor.see_clients_only();
  Fleet none(run.context);
  run.load = std::make_unique<Load>(run.context, run.tally, addresses);
  run.start_measuring();
  run.sample();
  run.load->start();
  run.until([&] { return run.load->done(); },
            s.length + longest_deadline(s) + std::chrono::seconds(2));
  run.load->close_all();
  return write_report({s,
                       run.context.auditor,
                       run.context.stampede,
                       run.context.cold_loads,
                       run.tally,
                       *run.load,
                       none,
                       {},
                       {},
                       run.samples,
                       run.lag},
                      options.folder);
}

}  // namespace balancer::testbed
