#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "testbed/audit/context.h"
#include "testbed/audit/counters.h"
#include "testbed/load/call.h"
#include "testbed/load/resp_clients.h"
#include "testbed/model/arrivals.h"
#include "testbed/model/histogram.h"

namespace balancer::testbed {

// The memcache clients and the simple front that distributes their connections. The load is an open
// loop: requests are sent when they are due, regardless of the outcome of earlier ones. Clients of
// a zone reuse its idle connections and open a new one when all are busy; the front distributes new
// connections over the balancers of the zone.
class Load : private Front {
 public:
  // `balancers`: the address at which each accepts memcache clients; `resp`: the addresses for RESP
  // clients, by cluster and balancer.
  Load(Context& context, Tally& tally, std::vector<asio::ip::tcp::endpoint> balancers,
       const std::vector<std::vector<asio::ip::tcp::endpoint>>& resp = {});
  ~Load() override;

  // Starts the load. Requests that were due before now are skipped; the load ends with the
  // scenario.
  void start();
  bool done() const { return ended_ && open_ == 0; }
  void close_all();

  // Sets whether the front sends new connections to the balancer.
  void set_listed(int balancer, bool listed);
  // Sets whether the scenario has killed the balancer or is stopping it. Requests that it held are
  // excused once `killed` is set.
  void set_killed(int balancer, bool killed);

  // Returns how long after their due time requests were started. If this is long, the run is void.
  const Histogram& lateness() const { return lateness_; }
  // Connections that sent invalid input, and those of them that got neither an error nor a close.
  std::uint64_t invalid_inputs() const { return invalid_inputs_; }
  std::uint64_t invalid_inputs_unanswered() const { return invalid_inputs_unanswered_; }
  std::uint64_t connections() const;
  std::uint64_t unreachable() const;

 private:
  class Connection;
  class InvalidInputClient;
  using ConnectionPtr = std::shared_ptr<Connection>;

  void schedule_next_request();
  void start_call(Wish request);
  void start_try(const CallPtr& call);
  // Implements Front.
  void on_try_end(const CallPtr& call, TryOutcome outcome, Duration retry_after) override;
  int pick_balancer(int zone) override;
  int incarnation(int balancer) const override { return target(balancer).incarnation; }
  bool killed_since(int balancer, int incarnation) const override {
    return target(balancer).killed || target(balancer).incarnation != incarnation;
  }
  bool listed(int balancer) const override { return target(balancer).listed; }

  void finish_call(const CallPtr& call, End end);
  void resend(const CallPtr& call, RequestNumber request);
  void schedule_invalid_input();

  Context& context_;
  Tally& tally_;
  Arrivals arrivals_;
  Random random_;  // for client behaviour; each call has its own
  struct Target {
    asio::ip::tcp::endpoint address;
    int zone;
    bool listed = true, killed = false;
    int incarnation = 0;  // number of kills
  };
  const Target& target(int balancer) const { return targets_[static_cast<std::size_t>(balancer)]; }
  std::vector<Target> targets_;
  std::vector<std::unique_ptr<RespClients>> resp_;  // by cluster
  std::vector<std::vector<ConnectionPtr>> idle_;    // by zone
  std::set<ConnectionPtr> all_;
  std::set<std::shared_ptr<InvalidInputClient>> invalid_input_clients_;
  std::size_t next_balancer_ = 0;
  Wish next_;
  asio::steady_timer timer_;
  std::uint64_t open_ = 0;
  bool ended_ = false;
  Histogram lateness_;
  std::uint64_t invalid_inputs_ = 0, invalid_inputs_unanswered_ = 0, connections_ = 0,
                unreachable_ = 0;
};

}  // namespace balancer::testbed
