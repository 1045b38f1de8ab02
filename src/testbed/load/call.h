#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>

#include "testbed/model/arrivals.h"
#include "testbed/model/base.h"

// Types that the memcache clients and the RESP clients share.
namespace balancer::testbed {

namespace asio = boost::asio;

// A client request in progress, over all its tries.
struct Call {
  Wish request;
  double worth = 0;
  int tries = 0;
  Time deadline{0};  // the client gives up then, over all tries
  Random random{0};
  bool honours_retry_after = true;  // waits for Retry-After times before a retry
  bool leaves_early = false;        // closes its connection before the answer
};
using CallPtr = std::shared_ptr<Call>;

// The outcome of one try.
enum class TryOutcome { kServed, kRefused, kFailed, kUnreachable, kLeft };

// The front that distributes client connections over the balancers, as the connections see it.
class Front {
 public:
  virtual ~Front() = default;
  // A try has ended with this outcome; `retry_after` is the wait that the balancer asked for.
  virtual void on_try_end(const CallPtr& call, TryOutcome outcome, Duration retry_after) = 0;
  // Returns the balancer for the next connection from this zone; -1 if none is listed.
  virtual int pick_balancer(int zone) = 0;
  // Returns the number of times the scenario has killed the balancer. Requests of an earlier
  // incarnation are excused.
  virtual int incarnation(int balancer) const = 0;
  // Returns whether the scenario has killed the balancer since this incarnation.
  virtual bool killed_since(int balancer, int incarnation) const = 0;
  virtual bool listed(int balancer) const = 0;
};

// Closes the connection with a TCP reset.
inline void reset(asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace balancer::testbed
