#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "connection_pool/connection_selector.h"
#include "net/upstream_connection.h"

namespace balancer {

struct UpstreamSettings {
  // Time after which a connect fails; also the maximum time that an attempt waits for a connection.
  // No default.
  Duration connect_timeout{0};
  // Maximum number of connections to all hosts together. Default: unbounded.
  std::size_t max_connections = SIZE_MAX;
  connection_pool::ConnectionSelectorSettings selector;
};

// Creates a connection for the pool's protocol, to the origin or to another server.
using ConnectionFactory = std::function<std::shared_ptr<UpstreamConnection>(
    bool origin, AttemptEvents& events, UpstreamOwner& owner)>;

// Owns the connections to one host and the queue of attempts that wait for a connection. Carries
// out the decisions of its ConnectionSelector, and reports the events of the connections to it.
class UpstreamPool : public UpstreamOwner {
 public:
  // Closes an idle connection to any host. Returns whether a connection can be opened now.
  using FreeDescriptor = std::function<bool()>;

  // `open_connections` counts the connections to all hosts. All references must outlive the pool.
  UpstreamPool(boost::asio::io_context& io, Limits& limits, AttemptEvents& events,
               const UpstreamSettings& settings, const ConnectionFactory& dial,
               std::size_t& open_connections, FreeDescriptor free_descriptor);

  void set_host(const EndpointListEntry& host);
  // Sets whether the endpoint still belongs to this host. If not, no connection is opened there,
  // and those that exist are retired.
  void set_owns_endpoint(bool owns_endpoint);
  // Assigns the attempt to a connection, or queues it. An attempt that gets no connection within
  // the connect timeout ends as kConnectFailed, or as kNotSent if clients share connections in this
  // pool and a connection to the host is established.
  void start(AttemptPtr attempt);
  void close_idle();
  // Retires all connections; they accept no further attempts. Called when the host is no longer
  // listed, has restarted or has moved.
  void retire();
  // Withdraws the attempts whose first or next byte must not be written any more.
  void withdraw_unsendable();
  // Called periodically. Closes connections that have been idle for too long, and starts queued
  // attempts.
  void tick();
  // Whether the pool has no connections or attempts, and no handlers posted to the event loop.
  bool empty() const {
    return selector_.open() == 0 && queued_.empty() && !start_posted_ && unflushed_.empty();
  }
  // Returns when the least recently used idle connection became idle; nullopt if none is idle.
  std::optional<Time> oldest_idle() const;
  void close_oldest_idle();
  const connection_pool::ConnectionSelector& selector() const { return selector_; }

 private:
  struct QueuedAttempt {
    AttemptPtr attempt;
    Time give_up_at;
  };
  enum class StartResult {
    kStarted,
    kNoConnection,  // no connection can take any attempt
    kMustWait,      // waits for its order group; other attempts may start
  };

  // UpstreamOwner
  void on_connected(UpstreamConnection& connection) override;
  void on_answered(UpstreamConnection& connection, Time now, bool reusable) override;
  void on_withdrawn(UpstreamConnection& connection, std::size_t place) override;
  void on_retired(UpstreamConnection& connection) override;
  void on_closed(UpstreamConnection& connection) override;

  bool can_open() const;
  connection_pool::AttemptTraits traits_of(const Attempt& attempt) const;
  connection_pool::ConnectionSelector::Choice choose(const connection_pool::AttemptTraits& traits,
                                                     Time now, bool may_open);
  StartResult try_start(const AttemptPtr& attempt);
  void start_on_new_connection(const AttemptPtr& attempt, Time now);
  void assign(connection_pool::ConnectionId id, const AttemptPtr& attempt, Time now);
  void schedule_flush(const std::shared_ptr<UpstreamConnection>& connection);
  static bool must_wait_behind(const std::deque<QueuedAttempt>& queue, const Attempt& attempt);
  std::optional<Result> outcome_of_queued(const QueuedAttempt& queued) const;
  void schedule_start_queued();
  void start_queued();
  void post_ended(const AttemptPtr& attempt, Result result);

  boost::asio::io_context& io_;
  Limits& limits_;
  AttemptEvents& events_;
  const UpstreamSettings& settings_;
  const ConnectionFactory& dial_;
  std::size_t& open_connections_;
  FreeDescriptor free_descriptor_;
  std::optional<Endpoint> endpoint_;
  bool owns_endpoint_ = true;
  std::optional<UnixTime> host_started_;
  bool is_origin_ = false;
  connection_pool::ConnectionSelector selector_;
  std::vector<std::shared_ptr<UpstreamConnection>> connections_;  // by ConnectionId
  std::vector<std::shared_ptr<UpstreamConnection>> unflushed_;
  std::deque<QueuedAttempt> queued_;  // waiting for a connection, oldest first
  bool start_posted_ = false;
};

}  // namespace balancer
