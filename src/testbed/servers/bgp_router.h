#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "proto/bgp.h"
#include "testbed/model/base.h"

namespace balancer::testbed {

namespace asio = boost::asio;

// An emulated router after RFC 4271: accepts BGP sessions, stores the routes that they announce and
// forwards client connections to the next hop of the best route. An established connection stays
// with the next hop that it was opened to. When a session breaks, or stays silent for its hold
// time, its routes are removed.
class BgpRouter {
 public:
  using Address = std::uint32_t;  // IPv4 address of a next hop, in host byte order
  struct Route {
    bgp::Attributes attributes;
    Time since{0};
  };

  BgpRouter(asio::io_context& io, std::uint32_t as, std::function<Time()> clock);
  ~BgpRouter();

  // The address at which BGP sessions are accepted.
  std::string address() const;
  // Starts accepting client connections to the prefix and returns the port that accepts them. Each
  // is forwarded to `to_port` of the best route's next hop.
  std::uint16_t forward(const bgp::Prefix& prefix, std::uint16_t to_port);

  const std::map<Address, Route>* routes(const bgp::Prefix& prefix) const;
  // Returns the next hop of the best route, or 0 if there is no route.
  Address owner(const bgp::Prefix& prefix) const;
  std::size_t sessions() const { return sessions_.size(); }

  // ---- faults
  // While on, blocks the traffic of this next hop in both directions; its connections stay open.
  void cut(Address next_hop, bool on);
  // While on, the router sends keepalives but reads nothing, so it processes no updates.
  void set_frozen(bool on);
  void break_sessions();

  struct Change {
    Time at;
    bgp::Prefix prefix;
    Address owner;
    std::size_t routes;
  };
  std::function<void(const Change&)> on_change;

 private:
  class Session;
  class Flow;

  void accept();
  void accept_client(asio::ip::tcp::acceptor& acceptor, const bgp::Prefix& prefix,
                     std::uint16_t to_port);
  void set(const bgp::Prefix& prefix, Address next_hop, const bgp::Attributes* attributes);
  void drop_all(Address next_hop);
  bool is_cut(Address next_hop) const { return cut_.count(next_hop) > 0; }

  asio::io_context& io_;
  const std::uint32_t as_;
  const std::function<Time()> clock_;
  asio::ip::tcp::acceptor acceptor_;
  std::map<bgp::Prefix, std::unique_ptr<asio::ip::tcp::acceptor>> forwards_;
  std::map<bgp::Prefix, std::map<Address, Route>> routes_;
  std::set<std::shared_ptr<Session>> sessions_;
  std::set<std::shared_ptr<Flow>> flows_;
  std::set<Address> cut_;
  bool frozen_ = false;
};

}  // namespace balancer::testbed
