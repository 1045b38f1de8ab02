#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "cluster/router.h"
#include "dispatch/server_pool.h"
#include "frontend/resp/resp_connection.h"
#include "net/clock.h"
#include "settings/operator.h"

namespace balancer {

// A pool whose servers form a RESP cluster. Routes requests as the router decides, queries one node
// at a time for the slot map, and distinguishes redirections from responses.
class ClusterPool : private RoutingExtension {
 public:
  // `io`, `clock`, `settings` and `limits` must outlive the pool. The credentials in `settings` may
  // change; the next refresh applies them.
  ClusterPool(boost::asio::io_context& io, const Clock& clock, const RespPool& settings,
              std::uint64_t seed, Limits& limits);
  ~ClusterPool() override;

  ServerPool& servers() { return servers_; }
  const cluster::Router& router() const { return router_; }
  // Returns how many attempts of clients one connection to the node carries at once.
  std::size_t shared_depth(std::string_view node) const { return servers_.shared_depth(node); }
  void stop();

 private:
  class SlotMapQuery;

  // RoutingExtension
  Placement& placement() override { return router_; }
  void on_request(RequestId id, const RequestPayload& payload) override;
  void on_request_erased(RequestId id) override { router_.end(id); }
  void prepare_attempt(Attempt& attempt) override;
  Result interpret_result(const Attempt& attempt, Result result, const std::string& value) override;

  void apply_nodes();
  void schedule_refresh();
  void refresh();
  void on_refreshed(const std::optional<cluster::View>& view);

  boost::asio::io_context& io_;
  const Clock& clock_;
  const RespPool& settings_;
  Limits& limits_;
  RespLogin login_;
  cluster::Router router_;
  ServerPool servers_;
  boost::asio::steady_timer timer_;
  Time timer_at_ = Time::max();
  std::uint64_t applied_revision_ = 0;  // revision of the router's nodes that was applied last
  std::size_t node_count_ = 0;          // nodes that were applied last
  std::shared_ptr<SlotMapQuery> query_;
  bool stopped_ = false;
};

}  // namespace balancer
