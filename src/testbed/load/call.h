#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>

#include "testbed/model/arrivals.h"
#include "testbed/model/base.h"

// What the clients of both dialects share.
namespace balancer::testbed {

namespace asio = boost::asio;

// One wish on its way, over all its tries.
struct Call {
  Wish wish;
  double worth = 0;
  int tries = 0;
  Time ends{0};  // the client's patience over all tries
  Random random{0};
  bool honours = true;
  bool leaves = false;
};
using CallPtr = std::shared_ptr<Call>;

// What a try came to.
enum class Over { kServed, kRefused, kFailed, kUnreachable, kLeft };

// The front before the balancers, as clients' connections see it.
class Front {
 public:
  virtual ~Front() = default;
  virtual void try_over(const CallPtr& call, Over over, Duration retry_after) = 0;
  // The balancer that takes the next connection from this zone; -1: none is known.
  virtual int deal(int zone) = 0;
  // Counts its kills; what was begun in a life that is over is nobody's fault.
  virtual int life(int balancer) const = 0;
  virtual bool dead(int balancer, int life) const = 0;
  virtual bool listed(int balancer) const = 0;
};

inline void reset(asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace balancer::testbed
