#include "testbed/failover_test.h"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

#include "proto/resp.h"
#include "testbed/balancer_process.h"
#include "testbed/group_net.h"
#include "testbed/servers/resp_cluster.h"

namespace balancer::testbed {
namespace {

using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::seconds;
using tcp = asio::ip::tcp;

constexpr Duration kProbeInterval = milliseconds(10), kDirectProbeInterval = milliseconds(20);
constexpr Duration kProbeTimeout = milliseconds(500), kDirectProbeTimeout = milliseconds(150);
// Answers of an instance that are further apart than this do not belong to the same serving period.
constexpr Duration kMaxAnswerGap = milliseconds(60);
constexpr Duration kTakeoverTimeout = seconds(20);

enum class Fault { kKill, kStop, kIsolate, kNoVoters, kNoRouter, kMove, kRestart };
constexpr std::array<std::pair<Fault, const char*>, 7> kFaults{
    {{Fault::kKill, "killed"},
     {Fault::kStop, "stopped for 3 s"},
     {Fault::kIsolate, "cut off from all"},
     {Fault::kNoVoters, "cut off from members"},
     {Fault::kNoRouter, "cut off from the router"},
     {Fault::kMove, "told to hand over"},
     {Fault::kRestart, "ended by SIGTERM"}}};
bool is_orderly(Fault f) { return f == Fault::kMove || f == Fault::kRestart; }
// Returns how long two instances may serve at once: the configured overlap if the old holder hands
// over.
Duration allowed_overlap(Fault f) {
  return is_orderly(f) || f == Fault::kNoRouter ? GroupNet::kOverlap : Duration{0};
}

// Sends CLUSTER MYID and a GET over a new connection. Any instance answers the first; only one that
// may serve answers the second.
class Probe : public std::enable_shared_from_this<Probe> {
 public:
  struct Answer {
    Time asked{0}, answered{0};
    std::string who;
    bool served = false;
  };
  Probe(Context& context, std::function<void(const Answer&)> done)
      : context_(context), socket_(context.io), timer_(context.io), done_(std::move(done)) {}

  void start(const tcp::endpoint& to, Duration limit) {
    answer_.asked = context_.now();
    timer_.expires_after(limit);
    timer_.async_wait([self = shared_from_this()](const error_code& e) {
      if (!e) self->end();
    });
    socket_.async_connect(to, [self = shared_from_this()](const error_code& e) {
      if (e || !self->done_) return self->end();
      asio::async_write(self->socket_, asio::buffer(self->out_),
                        [self](const error_code& error, std::size_t) {
                          if (error) self->end();
                        });
      self->read();
    });
  }

 private:
  void read() {
    socket_.async_read_some(asio::buffer(in_),
                            [self = shared_from_this()](const error_code& e, std::size_t n) {
                              if (e || !self->done_) return self->end();
                              std::string_view bytes(self->in_.data(), n);
                              self->take(bytes);
                              if (self->done_) self->read();
                            });
  }
  void take(std::string_view bytes) {
    using Event = resp::ReplyReader::Event;
    for (auto event = reader_.next(bytes); event != Event::kMore; event = reader_.next(bytes)) {
      if (event == Event::kMalformed) return end();
      if (event == Event::kData) {
        reply_ += reader_.data();
        continue;
      }
      if (answer_.who.empty()) {
        answer_.who = std::exchange(reply_, {});
        continue;
      }
      answer_.served = reply_.starts_with('$');
      return end();
    }
  }
  void end() {
    if (!done_) return;
    answer_.answered = context_.now();
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
    std::exchange(done_, nullptr)(answer_);
  }

  Context& context_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::function<void(const Answer&)> done_;
  Answer answer_;
  const std::string out_ = resp::Command::from_args({"CLUSTER", "MYID"}).wire() +
                           resp::Command::from_args({"GET", "probe"}).wire();
  std::array<char, 512> in_{};
  resp::ReplyReader reader_{resp::InputLimits{}};
  std::string reply_;
};

struct Round {
  Fault fault;
  int old_holder = -1;
  Time injected_at{0};
  std::optional<Time> served_again;  // by another instance
  Duration longest_gap{0};           // between two answers through the router, since the fault
  int failed_probes = 0;
  Duration two_routes{0}, two_serve{0};
  // Times since the fault of requests that the old holder answered when it was no longer allowed
  // to.
  std::vector<Duration> late_serving;
};

class FailoverRun {
 public:
  explicit FailoverRun(const FailoverOptions& options)
      : options_(options),
        context_(io_, scenario_),
        cluster_(io_, 1, 0),
        random_(options.seed, 5),
        net_(context_, options.folder, options.instances, options.voters, options.seed),
        ids_(static_cast<std::size_t>(options.instances)),
        serving_(static_cast<std::size_t>(options.instances)),
        signals_(io_, SIGINT, SIGTERM) {
    signals_.async_wait([this](const error_code& e, int) {
      if (!e) interrupted_ = true;
    });
    net_.router().on_change = [this](const BgpRouter::Change& c) { note_routes(c.routes); };
    for (int i = 0; i < options.instances; ++i) {
      BalancerProcess::Files files;
      files.group_member = true;
      files.operator_config = [this, i] { return operator_file(i); };
      files.faults = options.faults;
      processes_.push_back(std::make_unique<BalancerProcess>(context_, options.program,
                                                             options.folder, i, std::move(files)));
    }
  }

  int operator()() {
    for (int i = 0; i < options_.instances; ++i) start(i);
    if (!until([this] { return started_count_ == options_.instances; }, seconds(20))) {
      for (auto& p : processes_)
        std::fprintf(stderr, "%s: %s\n", p->name().c_str(), p->last_log_lines().c_str());
      return 2;
    }
    probe();
    for (int i = 0; i < options_.instances; ++i) probe_directly(i);
    if (!until([this] { return is_stable(); }, kTakeoverTimeout))
      return fail("no instance took the service address");
    std::optional<Fault> only;
    for (const auto& [fault, name] : kFaults)
      if (options_.only == name) only = fault;
    for (int r = 0; r < options_.rounds; ++r) {
      const Fault fault =
          only ? *only : kFaults[static_cast<std::size_t>(r) % kFaults.size()].first;
      if (!run_round(fault)) break;
      if (options_.progress) progress(r + 1);
    }
    ended_ = true;
    for (auto& p : processes_) {
      p->expect_exit();
      p->signal(SIGKILL);
    }
    if (interrupted_) return 2;
    return report();
  }

 private:
  std::string operator_file(int i) const {
    return "[process]\nname = \"" + GroupNet::name_of(i) +
           "\"\nsockets = 512\n[[pool]]\nname = " + "\"p\"\nseeds = [\"" + cluster_.address(0) +
           "\"]\n[[listener]]\nname = \"l\"\n" + "address = \"" + net_.listen(i) +
           "\"\npool = \"p\"\nservice = \"" + GroupNet::kService + "\"\n" + net_.config_tables(i);
  }
  int fail(const std::string& why) {
    std::fprintf(stderr, "balancer_testbed: %s; logs in %s\n", why.c_str(),
                 options_.folder.c_str());
    return 1;
  }
  template <typename Done>
  bool until(Done&& done, Duration limit) {
    const Time end = context_.now() + limit;
    while (!interrupted_ && !done()) {
      if (context_.now() > end) return false;
      io_.run_one_for(milliseconds(10));
    }
    return !interrupted_;
  }
  void start(int i) {
    processes_[static_cast<std::size_t>(i)]->start([this] { ++started_count_; });
  }
  // Returns whether all instances run and one of them has held and served the address for a while.
  bool is_stable() {
    bool all = started_count_ == options_.instances;
    for (auto& p : processes_) all = p->running() && all;
    const Time now = context_.now();
    return all && net_.owner() >= 0 && now - last_failed_ > milliseconds(1200) &&
           now - last_served_ < milliseconds(200) && net_.routes() == 1;
  }

  // ---- observations

  void probe() {
    if (ended_) return;
    std::make_shared<Probe>(context_, [this](const Probe::Answer& a) {
      if (!a.served) {
        last_failed_ = a.answered;
        if (round_ && a.asked > round_->injected_at) ++round_->failed_probes;
        return;
      }
      const int who = instance_of(a.who);
      if (round_ && a.answered > round_->injected_at) {
        round_->longest_gap =
            std::max(round_->longest_gap, a.answered - std::max(last_served_, round_->injected_at));
        if (who >= 0 && who != round_->old_holder && !round_->served_again)
          round_->served_again = a.answered;
      }
      last_served_ = std::max(last_served_, a.answered);
    })->start(net_.service(), kProbeTimeout);
    context_.after(kProbeInterval, [this] { probe(); });
  }
  // Probes an instance at its own address, to see who serves regardless of the route.
  void probe_directly(int i) {
    if (ended_) return;
    std::make_shared<Probe>(context_, [this, i](const Probe::Answer& a) {
      if (!a.who.empty()) ids_[static_cast<std::size_t>(i)] = a.who;
      if (a.served) note_serving(i, a.asked, a.answered);
    })->start(net_.direct_endpoint(i), kDirectProbeTimeout);
    context_.after(kDirectProbeInterval, [this, i] { probe_directly(i); });
  }
  int instance_of(const std::string& id) const {
    for (std::size_t i = 0; i < ids_.size(); ++i)
      if (ids_[i] == id) return static_cast<int>(i);
    return -1;
  }
  // Extends the instance's serving period as far as answers prove it: from the first to the last
  // request that was answered. Records overlaps with other instances and late serving.
  void note_serving(int i, Time asked, Time answered) {
    auto& s = serving_[static_cast<std::size_t>(i)];
    if (asked - s.last > kMaxAnswerGap) s.first = asked;
    s.last = asked;
    if (!round_) return;
    for (std::size_t j = 0; j < serving_.size(); ++j) {
      if (static_cast<int>(j) == i || answered - serving_[j].last > kMaxAnswerGap) continue;
      const Time from = std::max(s.first, serving_[j].first);
      const Time to = std::min(s.last, serving_[j].last);
      if (to > from) round_->two_serve = std::max(round_->two_serve, to - from);
    }
    if (i == round_->old_holder && round_->served_again &&
        asked > *round_->served_again + allowed_overlap(round_->fault) && net_.owner() != i)
      round_->late_serving.push_back(asked - round_->injected_at);
  }
  void note_routes(std::size_t routes) {
    const Time now = context_.now();
    if (two_since_ && round_) round_->two_routes = std::max(round_->two_routes, now - *two_since_);
    if (routes < 2) {
      two_since_.reset();
    } else if (!two_since_) {
      two_since_ = now;
    }
  }

  // ---- faults

  bool run_round(Fault fault) {
    if (!until([this] { return is_stable(); }, kTakeoverTimeout))
      return takeover_failed_ = true, false;
    const Time at = context_.now() + from_seconds(random_.uniform());
    until([&] { return context_.now() >= at; }, seconds(2));
    const int old_holder = net_.owner();
    if (old_holder < 0) return takeover_failed_ = true, false;
    Round round;
    round.fault = fault;
    round.old_holder = old_holder;
    round.injected_at = context_.now();
    round_ = &round;
    inject(fault, old_holder);
    const bool taken = until([&] { return round.served_again.has_value(); }, kTakeoverTimeout);
    if (!is_orderly(fault))
      until([&] { return context_.now() - round.injected_at > seconds(3); }, seconds(4));
    clear_fault(fault, old_holder);
    // The round includes what the old holder does after its return.
    until([&] { return context_.now() - round.injected_at > seconds(4); }, seconds(5));
    round_ = nullptr;
    rounds_.push_back(round);
    takeover_failed_ = takeover_failed_ || !taken;
    return taken;
  }
  void inject(Fault fault, int i) {
    BalancerProcess& p = *processes_[static_cast<std::size_t>(i)];
    switch (fault) {
      case Fault::kKill:
        --started_count_;
        return p.signal(SIGKILL);
      case Fault::kStop:
        return p.signal(SIGSTOP);
      case Fault::kIsolate:
        net_.cut_from_router(i, true);
        [[fallthrough]];
      case Fault::kNoVoters:
        return net_.relay().isolate(static_cast<std::size_t>(i), true);
      case Fault::kNoRouter:
        return net_.cut_from_router(i, true);
      case Fault::kMove:
        net_.send_command(i, std::string("move ") + GroupNet::kService);
        return;
      case Fault::kRestart:
        --started_count_;
        p.expect_exit();
        return p.signal(SIGTERM);
    }
  }
  void clear_fault(Fault fault, int i) {
    BalancerProcess& p = *processes_[static_cast<std::size_t>(i)];
    switch (fault) {
      case Fault::kKill:
        return start(i);
      case Fault::kStop:
        return p.signal(SIGCONT);
      case Fault::kRestart:
        until([&] { return !p.running(); }, seconds(10));
        return start(i);
      case Fault::kMove:
        return;
      default:
        net_.relay().isolate(static_cast<std::size_t>(i), false);
        net_.cut_from_router(i, false);
    }
  }

  // ---- the report

  void progress(int done) const {
    std::fprintf(stderr, "\r%d of %d moves ", done, options_.rounds);
    if (done == options_.rounds || !::isatty(2)) std::fprintf(stderr, "\n");
  }
  int report() {
    nlohmann::json all = nlohmann::json::array();
    bool bad = takeover_failed_;
    std::printf("%-24s %6s  %27s  %8s %8s  %9s  %9s  %s\n", "the holder was", "moves",
                "without an owner, ms", "gap", "probes", "two", "two", "old one");
    std::printf("%-24s %6s  %8s %8s %9s  %8s %8s  %9s  %9s  %s\n", "", "", "median", "p99", "worst",
                "ms", "failed", "routes ms", "serve ms", "served late");
    for (const auto& [fault, name] : kFaults) {
      std::vector<double> times;
      double gap = 0, routes = 0, serve = 0;
      int failed = 0, late = 0, too_long = 0, count = 0;
      for (const Round& r : rounds_) {
        if (r.fault != fault) continue;
        ++count;
        if (r.served_again) times.push_back(millis(*r.served_again - r.injected_at));
        gap = std::max(gap, millis(r.longest_gap));
        routes = std::max(routes, millis(r.two_routes));
        serve = std::max(serve, millis(r.two_serve));
        failed += r.failed_probes;
        late += !r.late_serving.empty();
        // A further hand-over may follow any fault, for example when an event loop is delayed, so
        // the overlap applies to all of them.
        too_long += r.two_serve > GroupNet::kOverlap;
        std::vector<double> late_ms;
        for (const Duration d : r.late_serving) late_ms.push_back(millis(d));
        all.push_back(
            {{"fault", name},
             {"served_again_ms", r.served_again ? millis(*r.served_again - r.injected_at) : -1},
             {"gap_ms", millis(r.longest_gap)},
             {"probes_failed", r.failed_probes},
             {"two_routes_ms", millis(r.two_routes)},
             {"two_serve_ms", millis(r.two_serve)},
             {"struck_at_s", millis(r.injected_at) / 1e3},
             {"old", GroupNet::name_of(r.old_holder)},
             {"old_served_late_ms", late_ms}});
      }
      if (count == 0) continue;
      std::sort(times.begin(), times.end());
      const auto at = [&times](double q) {
        return times.empty()
                   ? -1
                   : times[std::min(times.size() - 1, static_cast<std::size_t>(
                                                          q * static_cast<double>(times.size())))];
      };
      std::printf("%-24s %6d  %8.0f %8.0f %9.0f  %8.0f %8d  %9.0f  %9.0f  %d\n", name, count,
                  at(0.5), at(0.99), times.empty() ? -1 : times.back(), gap, failed, routes, serve,
                  late);
      bad = bad || late > 0 || too_long > 0;
    }
    std::ofstream(options_.folder + "/moves.json") << all.dump(1) << "\n";
    if (takeover_failed_) return fail("no instance took over the service address");
    return bad ? fail("two instances served at once for longer than the overlap allows") : 0;
  }

  const FailoverOptions options_;
  Scenario scenario_;
  asio::io_context io_{1};
  Context context_;
  RespCluster cluster_;
  Random random_;
  GroupNet net_;
  std::vector<std::unique_ptr<BalancerProcess>> processes_;
  int started_count_ = 0;
  std::vector<std::string> ids_;  // by instance: its node ID, once it is known
  struct Serving {
    Time first = Time::min() / 2, last = Time::min() / 2;
  };
  std::vector<Serving> serving_;
  Time last_served_{0}, last_failed_{0};
  std::optional<Time> two_since_;
  Round* round_ = nullptr;
  std::vector<Round> rounds_;
  asio::signal_set signals_;
  bool interrupted_ = false, ended_ = false, takeover_failed_ = false;
};

}  // namespace

std::string check_failover_options(const FailoverOptions& options) {
  const bool known = std::any_of(kFaults.begin(), kFaults.end(),
                                 [&](const auto& f) { return options.only == f.second; });
  if (!options.only.empty() && !known) return "unknown fault '" + options.only + "'";
  if (options.voters > options.instances) return "more voters than instances";
  return {};
}

int run_failover_test(const FailoverOptions& options) {
  if (const std::string why = check_failover_options(options); !why.empty()) {
    std::fprintf(stderr, "balancer_testbed: %s\n", why.c_str());
    return 2;
  }
  std::filesystem::create_directories(options.folder);
  return FailoverRun(options)();
}

}  // namespace balancer::testbed
