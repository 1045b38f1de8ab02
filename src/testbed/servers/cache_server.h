#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>

#include "proto/memcache.h"
#include "testbed/servers/engine.h"

namespace balancer::testbed {

// An emulated cache host with its own socket. It serves the memcache meta commands of the
// platform's protocol. Malformed input closes the connection that it came from and has no other
// effect.
class CacheServer {
 public:
  // Called for each miss, so that the value can be stored here once the origin has served it.
  using OnMiss = std::function<void(RequestNumber, CacheServer&)>;

  // Listens at `address`. Throws boost::system::system_error if the address cannot be bound.
  CacheServer(Context& context, const KindSpec& kind, double speed, int zone,
              const asio::ip::tcp::endpoint& address, std::uint64_t seed, OnMiss on_miss);
  ~CacheServer();

  void start(int audit_id, bool cold);
  void kill();  // resets all connections and refuses new ones
  bool running() const { return running_; }
  std::function<void()> on_overload_crash;  // called when overload has killed the host for good

  // Faults. Each stays in force until it is reset.
  void pause(bool on);  // stops reading and working; queued input is processed afterwards
  void hang(bool on);   // accepts requests and does not process them
  void slow(double factor) { engine_.set_slowness(factor); }
  void set_errors(double share) { errors_ = share; }
  void set_resets(double share) { resets_ = share; }
  void set_corruption_share(double share) { corruption_share_ = share; }
  void refuse(bool on);
  void set_unreachable(bool on);  // connection attempts time out

  void store(const std::string& key, std::size_t bytes) {
    if (running_) objects_.put(key, bytes);
  }
  ObjectStore& objects() { return objects_; }
  const std::string& dial() const { return dial_; }
  int zone() const { return zone_; }
  int audit_id() const { return audit_id_; }
  const KindSpec& kind() const { return kind_; }
  double speed() const { return speed_; }
  double work_done() const;
  std::uint64_t served() const { return served_; }
  std::uint64_t turned_away() const { return turned_away_; }

 private:
  class Session;
  friend class Session;

  void crash_from_overload();
  void listen();
  void accept();
  void close_sessions();
  std::size_t value_size(const std::string& key) const;

  Context& context_;
  const KindSpec& kind_;
  const double speed_;
  const int zone_;
  const asio::ip::tcp::endpoint address_;
  const std::string dial_;
  Random random_;
  OnMiss on_miss_;
  asio::ip::tcp::acceptor acceptor_;
  // Connections that fill the backlog while the host is unreachable.
  std::vector<asio::ip::tcp::socket> backlog_fillers_;
  Engine engine_;
  ObjectStore objects_;
  std::set<std::shared_ptr<Session>> sessions_;
  int audit_id_ = -1;
  bool running_ = false, paused_ = false, unreachable_ = false, refusing_ = false;
  std::uint64_t accept_generation_ = 0;
  Time paused_at_{0};
  std::optional<Time> earliest_accept_;  // set while connections queued during a pause are accepted
  double errors_ = 0, resets_ = 0, corruption_share_ = 0;
  std::uint64_t served_ = 0, turned_away_ = 0;
};

}  // namespace balancer::testbed
