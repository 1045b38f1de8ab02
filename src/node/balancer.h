#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>

#include "node/client_listener.h"
#include "node/clock.h"
#include "node/config.h"
#include "node/discovery.h"
#include "node/limits.h"
#include "node/memcache_front.h"
#include "node/server_pool.h"

namespace silverpin::node {

// The program's parts and their ends: the listener and front of memcache clients, the pool of cache
// hosts behind them, and discovery, which lists those.
class Balancer {
 public:
  // Listens when it returns. Throws boost::system::system_error if it cannot.
  // `limits` outlives the event loop, whose last handlers hold leases.
  Balancer(boost::asio::io_context& io, const Config& config, Limits& limits);

  Endpoint local() const { return listener_->local(); }
  // Takes over what may change while requests are in work: where discovery is. All else in a
  // configuration holds from a start to the end.
  void reload(const Config& config);
  // Answers what has been taken, then stops the event loop.
  void drain();

 private:
  void arm_drain();

  boost::asio::io_context& io_;
  const Clock clock_;
  const SiteSettings site_;
  ServerPool pool_;
  MemcacheFront front_;
  Discovery discovery_;

  boost::asio::steady_timer drain_timer_;
  const Duration longest_deadline_;
  std::optional<Time> draining_since_;
  std::unique_ptr<ClientListener> listener_;
};

}  // namespace silverpin::node
