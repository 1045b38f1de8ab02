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

// The control side of a fleet on loopback sockets: a discovery service with a thread of its own,
// and hollow balancers, which are the program's real parts without clients, on the caller's thread.
// So the processor time of either side is known on its own.
namespace balancer::testbed::scale {

// The settings object of a platform's configuration for `balancers` balancers.
// `asked`: lists have to be asked for; otherwise they are pushed.
std::string platform_settings(int balancers, bool asked);

// Runs the loop until `done` holds; false if it does not within `limit`.
bool run_until(asio::io_context& io, const std::function<bool()>& done, Duration limit);

// Processor time, user and system, that the calling thread has used so far.
Duration thread_cpu_time();

// Host changes as a list tells them: a host drains, is gone and comes back started anew, then
// another one does. One change at each call.
class ChangeSource {
 public:
  // `hosts`: at least one before next() is called.
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

// Lists, their changes, and which balancer has which version in force: a watch names the version
// that its balancer has applied. Has its own thread, which ends with this object.
class DiscoveryService {
 public:
  DiscoveryService(int hosts, int balancers, std::uint64_t seed);
  ~DiscoveryService();
  DiscoveryService(const DiscoveryService&) = delete;
  DiscoveryService& operator=(const DiscoveryService&) = delete;

  struct Usage {
    std::uint64_t calls = 0, whole_lists = 0;  // whole lists are among the calls
    std::uint64_t bytes_in = 0, bytes_out = 0;
    std::uint64_t changes = 0;
    Duration cpu{0};
    Usage since(const Usage& before) const;
  };

  // Each may be called from any thread, and waits for the service's own.
  std::string dial(int balancer);
  void list(const DiscoveryServer::Entry& entry);  // one more host
  Usage usage();
  void begin_changes(double per_second);  // at random moments, from now on
  void publish(int changes);  // all at once, each of another host as long as there are some
  void stop_changes();
  void break_watches();  // discovery is away for a moment
  // While it is down watches are ended, and calls are turned away.
  void set_down(bool down);
  // Of the changes that all balancers have had in force since the last call of this: from when they
  // were listed until the last balancer had them.
  Histogram take_in_force();

  // Balancers that have a list in force; from any thread, without waiting.
  int listed() const { return listed_; }
  // Changes that some balancer lacks.
  std::size_t outstanding() const { return outstanding_; }

 private:
  struct Pending {
    std::uint64_t version;
    Time published;
    int lacking;  // balancers
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
  std::vector<std::uint64_t> in_force_;  // version by balancer; 0: no list yet
  std::deque<Pending> pending_;
  Histogram delays_;
  std::atomic<int> listed_{0};
  std::atomic<std::size_t> outstanding_{0};
  std::optional<asio::executor_work_guard<asio::io_context::executor_type>> work_;
  std::thread thread_;
};

// Balancers without clients, all on one event loop that the caller drives.
class HollowBalancers {
 public:
  HollowBalancers(DiscoveryService& discovery, int balancers, bool asked, std::uint64_t seed);

  void run_for(Duration length);
  // False if it does not come to hold within `limit`.
  bool run_until(const std::function<bool()>& done, Duration limit);

 private:
  std::deque<Limits> limits_;  // outlive the event loop's last handlers
  asio::io_context io_{1};
  std::deque<node::Balancer> balancers_;
};

}  // namespace balancer::testbed::scale
