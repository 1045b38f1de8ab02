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

// A cache host on a socket of its own: the meta commands as the platform's protocol has them.
// Garbage from a peer ends that peer's connection and nothing else.
class CacheServer {
 public:
  // A miss leaves the host's mark for the origin's fetch.
  using OnMiss = std::function<void(RequestNumber, CacheServer&)>;

  // `id`: as in the audit. Throws boost::system::system_error if the address cannot be bound.
  CacheServer(Context& context, const KindSpec& kind, double speed, int zone,
              const asio::ip::tcp::endpoint& address, std::uint64_t seed, OnMiss on_miss);
  ~CacheServer();

  void start(int audit_id, bool cold);
  void kill();  // resets its connections; new ones are refused
  bool running() const { return running_; }
  std::function<void()> on_fallen;  // pushed over, and down for good

  // Troubles. Each stays until it is set back.
  void pause(bool on);  // reads nothing and does nothing; what came is taken when it is over
  void hang(bool on);   // takes work and does nothing
  void slow(double factor) { engine_.set_slowness(factor); }
  void set_errors(double share) { errors_ = share; }
  void set_resets(double share) { resets_ = share; }
  void set_spoils(double share) { spoils_ = share; }
  void refuse(bool on);
  void be_silent(bool on);  // connects never come up

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

  void fall();
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
  std::vector<asio::ip::tcp::socket> fillers_;  // of the backlog, while it is silent
  Engine engine_;
  ObjectStore objects_;
  std::set<std::shared_ptr<Session>> sessions_;
  int audit_id_ = -1;
  bool running_ = false, paused_ = false, silent_ = false, refusing_ = false;
  std::uint64_t accepts_ = 0;
  Time paused_at_{0};
  std::optional<Time> accepts_late_since_;  // while what came during a pause is taken
  double errors_ = 0, resets_ = 0, spoils_ = 0;
  std::uint64_t served_ = 0, turned_away_ = 0;
};

}  // namespace balancer::testbed
