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

// The RESP clients of one cluster. Each connection carries up to `pipeline` requests at once, which
// are answered in order. Plain clients connect to the balancer that the front picks; clients in
// cluster mode fetch the slot map when they connect, and send every request to the balancer that
// owns its slot.
class RespClients {
 public:
  // `balancers`: the address at which each accepts these clients.
  RespClients(Context& context, Tally& tally, Front& front, int cluster,
              std::vector<asio::ip::tcp::endpoint> balancers);
  ~RespClients();

  // Starts one try and reports its outcome to the front.
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
  std::vector<std::set<ConnectionPtr>> open_;  // by balancer
  // In cluster mode: the balancer of each slot; -1: unknown.
  std::array<std::int16_t, cluster::kSlots> owner_;
  std::uint64_t opened_ = 0, unreachable_ = 0;
};

}  // namespace balancer::testbed
