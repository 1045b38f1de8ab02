#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "node/balancer.h"
#include "testbed/model/histogram.h"
#include "testbed/servers/discovery_server.h"

// The control plane of a fleet on loopback sockets: a discovery service on its own thread, and
// balancers without clients, made of the program's real components, on the caller's thread. The
// separate threads allow the CPU time of each side to be measured separately.
namespace balancer::testbed::scale {

// Returns the `settings` object of the platform's configuration for `balancers` balancers.
// `asked`: balancers have to request lists; otherwise lists are pushed.
std::string platform_settings(int balancers, bool asked);

// Runs the loop until `done` returns true. Returns false if it does not within `limit`.
bool run_until(asio::io_context& io, const std::function<bool()>& done, Duration limit);

// Returns the CPU time, user and system, of the calling thread.
Duration thread_cpu_time();

// Generates host changes as discovery publishes them: a random host drains, is gone and returns
// restarted, then the next host does. Each call returns one change.
class ChangeSource {
 public:
  // `hosts` must be at least 1 if next() is called.
  ChangeSource(int hosts, std::uint64_t seed) : hosts_(hosts), random_(seed, 1) {}
  DiscoveryServer::Entry next();
  static DiscoveryServer::Entry entry(int host);
  int hosts() const { return hosts_; }

 private:
  const int hosts_;
  Random random_;
  int host_ = 0, step_ = 0;
  std::int64_t born_ms_ = 1'700'000'000'000;
};

// A discovery service that publishes changes and tracks the version that each balancer has applied,
// which is the version that the balancer's watch names. Runs on its own thread, which the
// destructor joins.
class DiscoveryService {
 public:
  DiscoveryService(int hosts, int balancers, std::uint64_t seed);
  ~DiscoveryService();
  DiscoveryService(const DiscoveryService&) = delete;
  DiscoveryService& operator=(const DiscoveryService&) = delete;

  struct Usage {
    std::uint64_t calls = 0, whole_lists = 0;  // `calls` includes `whole_lists`
    std::uint64_t bytes_in = 0, bytes_out = 0;
    std::uint64_t changes = 0;
    Duration cpu{0};
    Usage since(const Usage& before) const;
  };

  // These may be called from any thread and block until the service's thread has done the work.
  std::string dial(int balancer);
  void add_host(const DiscoveryServer::Entry& entry);  // adds a host
  Usage usage();
  void begin_changes(double per_second);  // starts random changes at this mean rate
  // Publishes the changes at once, each for a different host as long as there are enough hosts.
  void publish(int changes);
  void stop_changes();
  void break_watches();  // ends all watches by a momentary outage
  // While down, the service ends watches and rejects calls with status 503.
  void set_down(bool down);
  // Returns and clears the propagation delays: for each change that all balancers have applied
  // since the last call, the time from its publication until the last balancer had applied it.
  Histogram take_propagation_delays();

  // Number of balancers that have applied a list. May be called from any thread; does not block.
  int listed() const { return listed_; }
  // Number of changes that some balancer has not applied yet.
  std::size_t outstanding() const { return outstanding_; }

 private:
  struct Pending {
    std::uint64_t version;
    Time published;
    int lacking;  // number of balancers that have not applied it
  };
  void call(const std::function<void()>& work);
  void publish_change(const DiscoveryServer::Entry& changed);
  void schedule_change();
  void on_call(int balancer, std::optional<std::uint64_t> version);

  asio::io_context io_{1};
  Scenario scenario_;
  Context context_;
  DiscoveryServer server_;
  ChangeSource source_;
  Random random_;
  asio::steady_timer timer_;
  double changes_per_second_ = 0;
  Usage usage_;
  std::vector<std::uint64_t> in_force_;  // applied version by balancer; 0: no list yet
  std::deque<Pending> pending_;
  Histogram delays_;
  std::atomic<int> listed_{0};
  std::atomic<std::size_t> outstanding_{0};
  std::optional<asio::executor_work_guard<asio::io_context::executor_type>> work_guard_;
  std::thread thread_;
};

// Balancers without clients on one event loop, which the caller runs.
class InProcessBalancers {
 public:
  InProcessBalancers(DiscoveryService& discovery, int balancers, bool asked, std::uint64_t seed);

  void run_for(Duration length);
  // Returns false if `done` does not return true within `limit`.
  bool run_until(const std::function<bool()>& done, Duration limit);

 private:
  std::deque<Limits> limits_;  // must outlive the event loop's last handlers
  asio::io_context io_{1};
  std::deque<node::Balancer> balancers_;
};

}  // namespace balancer::testbed::scale
