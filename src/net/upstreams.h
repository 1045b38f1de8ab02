#pragma once

#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "net/upstream_pool.h"

namespace balancer {

// The connections to all hosts of a server pool: one UpstreamPool per listed host.
class Upstreams {
 public:
  Upstreams(boost::asio::io_context& io, Limits& limits, AttemptEvents& events,
            const UpstreamSettings& settings, ConnectionFactory dial);

  // Applies the endpoint list: adds, updates and retires hosts.
  void apply(const HostList& list);
  // Withdraws attempts that must not be written any more. Called when the state of hosts has
  // changed.
  void withdraw_unsendable();
  // Starts the attempt at this host. Ends it as kConnectFailed if the host is not listed.
  void start(AttemptPtr attempt, std::string_view host);
  void close_idle(std::string_view host);
  // Closes idle connections while more descriptors are in use than the limit allows.
  void close_excess();
  // Returns how many client attempts one connection to the host carries at once; 0 if the host is
  // not listed.
  std::size_t shared_depth(std::string_view host) const;

 private:
  struct HostPool {
    std::unique_ptr<UpstreamPool> pool;
    std::optional<Endpoint> endpoint;  // as listed last
    // Number of the list that first named the host at its endpoint.
    std::uint64_t claimed_by_list = 0;
    bool is_retired = false;  // no longer listed; erased once it is empty
  };

  bool free_descriptor();
  static void retire(HostPool& host);
  void assign_endpoints();
  void arm_tick();
  void tick();

  boost::asio::io_context& io_;
  Limits& limits_;
  AttemptEvents& events_;
  const UpstreamSettings settings_;
  const ConnectionFactory dial_;
  std::size_t open_connections_ = 0;
  std::uint64_t list_number_ = 0;  // number of lists applied
  std::map<std::string, HostPool, std::less<>> hosts_;
  boost::asio::steady_timer tick_timer_;
};

}  // namespace balancer
