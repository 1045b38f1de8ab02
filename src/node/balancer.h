#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <queue>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "node/attempt.h"
#include "node/client_listener.h"
#include "node/clock.h"
#include "node/config.h"
#include "node/discovery.h"
#include "node/limits.h"
#include "node/upstream_pool.h"
#include "policy/policy.h"

namespace silverpin::node {

// Carries out the module's decisions: turns its actions into attempts, answers and timers, and what
// becomes of them into its events. The one place that ends a request.
//
// The module keeps references across its calls to the sink. So nothing that is called from a sink
// function may call the module: whatever ends there is posted to the event loop.
class Balancer : private ActionSink, private AttemptEvents, private RequestHandler {
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
  struct Call {
    std::shared_ptr<ClientSession> session;
    std::uint64_t slot = 0;
    std::shared_ptr<const memcache::Command> command;
    bool unsafe = false;
    bool over = false;  // had its final answer, or the client has gone
    int attempts = 0;
    int out = 0;  // of them
  };

  // ActionSink
  void send(RequestId id, std::string_view host, Time until) override;
  void refuse(RequestId id, Duration retry_after) override;
  void fail(RequestId id) override;
  void set_timer(Time at, std::uint64_t tag) override;
  void subscribe() override;
  void close_idle(std::string_view host) override;

  // AttemptEvents
  Time now() const override { return clock_.now(); }
  bool wanted(const Attempt& attempt) const override;
  void on_end(const AttemptPtr& attempt, Result result, std::string value) override;

  // RequestHandler
  std::string_view submit(const std::shared_ptr<ClientSession>& session, std::uint64_t slot,
                          std::shared_ptr<const memcache::Command> command) override;
  void withdraw(ClientSession& session, std::uint64_t slot) override;
  void on_session_closed(const std::shared_ptr<ClientSession>& session) override;

  void on_list(const HostList& list);
  void arm_timer();
  void finish(RequestId id, std::string answer);
  void end_call(RequestId id, Call& call);
  void forget_finished();
  void arm_drain();

  boost::asio::io_context& io_;
  const Clock clock_;
  const SiteSettings site_;
  Limits& limits_;
  struct Due {
    Time at;
    std::uint64_t tag;
    bool operator>(const Due& other) const { return at > other.at; }
  };
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  boost::asio::steady_timer timer_;
  Time timer_at_ = Time::max();
  Policy policy_;  // sets timers from its first moment on
  Upstreams upstreams_;
  Discovery discovery_;
  std::unordered_map<RequestId, Call> calls_;
  std::map<std::pair<ClientSession*, std::uint64_t>, RequestId> by_slot_;  // those not over
  std::unordered_set<std::string_view> ids_;  // the clients' own, of `calls_`, which hold the text
  std::vector<RequestId> finished_;
  RequestId next_id_ = 1;

  boost::asio::steady_timer drain_timer_;
  const Duration longest_deadline_;
  std::optional<Time> draining_since_;
  std::unique_ptr<ClientListener> listener_;
};

}  // namespace silverpin::node
