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

// A stand-in for a router, from RFC 4271: takes BGP sessions, keeps the routes that they announce,
// and forwards clients' connections to the best route's next hop. Established connections stay with
// the next hop that they were opened to. A session that says nothing for its hold time, or breaks,
// takes its routes with it.
class BgpRouter {
 public:
  using Address = std::uint32_t;  // IPv4, host order: a next hop
  struct Route {
    bgp::Attributes attributes;
    Time since{0};
  };

  BgpRouter(asio::io_context& io, std::uint32_t as, std::function<Time()> clock);
  ~BgpRouter();

  std::string address() const;  // where it takes sessions
  // A port at which clients' connections to the prefix arrive; `to_port`: where the next hops take
  // them.
  std::uint16_t forward(const bgp::Prefix& prefix, std::uint16_t to_port);

  const std::map<Address, Route>* routes(const bgp::Prefix& prefix) const;
  // The next hop of the best route; 0: there is none.
  Address owner(const bgp::Prefix& prefix) const;
  std::size_t sessions() const { return sessions_.size(); }

  // ---- troubles
  // Nothing of this next hop's gets through any more, either way; connections stay as they are.
  void cut(Address next_hop, bool on);
  // It goes on keeping its sessions up and takes no updates: it does not read.
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
