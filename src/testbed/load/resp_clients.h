#pragma once

#include <array>
#include <memory>
#include <set>
#include <vector>

#include "cluster/slots.h"
#include "testbed/audit/context.h"
#include "testbed/audit/counters.h"
#include "testbed/load/call.h"

namespace balancer::testbed {

// The RESP clients of one cluster: connections that each carry up to so many requests at once,
// answered in order. Plain ones go where the front sends them; in cluster mode each asks for the
// slots as it connects, and sends every request to the balancer that is named for its slot.
class RespClients {
 public:
  // `balancers`: where each takes them.
  RespClients(Context& context, Tally& tally, Front& front, int cluster,
              std::vector<asio::ip::tcp::endpoint> balancers);
  ~RespClients();

  // One try, whose end the front is told.
  void start(const CallPtr& call);
  void close_all();
  std::uint64_t connections() const { return opened_; }
  std::uint64_t unreachable() const { return unreachable_; }

 private:
  class Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;

  void start(const CallPtr& call, std::optional<RequestNumber> again);
  int balancer_for(const Call& call);
  void on_slots(std::string_view reply);

  Context& context_;
  Tally& tally_;
  Front& front_;
  const ClusterSpec& spec_;
  const std::vector<asio::ip::tcp::endpoint> balancers_;
  std::vector<std::set<ConnectionPtr>> open_;        // by balancer
  std::array<std::int16_t, cluster::kSlots> owner_;  // balancers, in cluster mode; -1: not told
  std::uint64_t opened_ = 0, unreachable_ = 0;
};

}  // namespace balancer::testbed
