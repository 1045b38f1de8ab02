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

// The clients and the simple front before the balancers. An open loop: wishes come when they are
// due, whatever became of those before. A client keeps its connection and opens another when all of
// its site are busy; the front deals new ones out among the balancers of the site.
class Load : private Front {
 public:
  // `balancers`: where each takes memcache clients; `resp`: by cluster, where each takes its RESP
  // clients.
  Load(Context& context, Tally& tally, std::vector<asio::ip::tcp::endpoint> balancers,
       const std::vector<std::vector<asio::ip::tcp::endpoint>>& resp = {});
  ~Load() override;

  void start();  // wishes come from now on, counted from the run's begin, until the scenario's end
  bool done() const { return ended_ && open_ == 0; }
  void close_all();

  // Whether the front deals out connections to it.
  void set_listed(int balancer, bool listed);
  // The scenario has killed it, or takes it down: what it held is nobody's fault, from `killed` on.
  void set_killed(int balancer, bool killed);

  // How long after its time a wish was sent on its way. Where this is long, the run says nothing.
  const Histogram& lateness() const { return lateness_; }
  std::uint64_t rude() const { return rude_; }
  std::uint64_t rude_unanswered() const { return rude_unanswered_; }
  std::uint64_t connections() const;
  std::uint64_t unreachable() const;

 private:
  class Connection;
  class RudeClient;
  using ConnectionPtr = std::shared_ptr<Connection>;

  void arm();
  void begin(Wish wish);
  void start_try(const CallPtr& call);
  // Front
  void try_over(const CallPtr& call, Over over, Duration retry_after) override;
  int deal(int zone) override;
  int life(int balancer) const override { return target(balancer).life; }
  bool dead(int balancer, int life) const override {
    return target(balancer).killed || target(balancer).life != life;
  }
  bool listed(int balancer) const override { return target(balancer).listed; }

  void end(const CallPtr& call, End end);
  void send_again(const CallPtr& call, RequestNumber request);
  void arm_rude();

  Context& context_;
  Tally& tally_;
  Arrivals arrivals_;
  Random random_;  // of clients' habits; wishes have their own
  struct Target {
    asio::ip::tcp::endpoint address;
    int zone;
    bool listed = true, killed = false;
    int life = 0;  // counts its kills
  };
  const Target& target(int balancer) const { return targets_[static_cast<std::size_t>(balancer)]; }
  std::vector<Target> targets_;
  std::vector<std::unique_ptr<RespClients>> resp_;  // by cluster
  std::vector<std::vector<ConnectionPtr>> idle_;    // by zone
  std::set<ConnectionPtr> all_;
  std::set<std::shared_ptr<RudeClient>> rude_clients_;
  std::size_t next_target_ = 0;
  Wish next_;
  asio::steady_timer timer_;
  std::uint64_t open_ = 0;
  bool ended_ = false;
  Histogram lateness_;
  std::uint64_t rude_ = 0, rude_unanswered_ = 0, connections_ = 0, unreachable_ = 0;
};

}  // namespace balancer::testbed
