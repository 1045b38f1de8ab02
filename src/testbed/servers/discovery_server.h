#pragma once

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "testbed/servers/http_server.h"

namespace balancer::testbed {

// Discovery as the balancers meet it: the whole list, watches, and changes that come late. Each
// balancer has an address of its own, so that the judge knows what each was told, and when.
class DiscoveryServer {
 public:
  enum class Health { kReady, kDraining, kGone };
  struct Entry {
    std::string host, dial, zone, kind;
    int audit_id = -1;
    Health health = Health::kReady;
    std::int64_t born_ms = 0;  // Unix time; 0: long ago
  };

  DiscoveryServer(Context& context, int balancers, std::uint64_t seed);
  ~DiscoveryServer();

  // In the list at once, as before the run.
  void add(const Entry& entry);
  // In the list after the scenario's delay, and counted as told 6 s later at the latest.
  void change(const Entry& entry);
  // In the list at once, and told to all open watches. Returns the list's version from then on.
  std::uint64_t publish(const Entry& entry);
  void set_down(bool down);
  // Gives this balancer another address; the old one takes no connection any more and ends those it
  // has 1.5 s later.
  void move(int balancer);

  std::string dial(int balancer) const;
  // The whole list as JSON, as `known` in this balancer's configuration has it.
  std::string whole_list(int balancer) const;
  // Where a balancer is told that a host listens; none: where it does.
  std::function<std::string(int balancer, const Entry& entry)> dial_told;
  void forget(int balancer);  // it has started anew
  // Hears of each call for the list, also of those that are turned away: `index` is the version
  // that a watch names, which the balancer has in force by then; none for a call for the whole
  // list.
  std::function<void(int balancer, std::optional<std::uint64_t> index)> on_call;
  struct Traffic {
    std::uint64_t bytes_in = 0, bytes_out = 0;
  };
  // Of all balancers at their present addresses.
  Traffic traffic() const;

 private:
  struct Listed {
    Entry entry;
    std::uint64_t seq;
  };
  struct Watch {
    HttpServer::SessionPtr session;
    std::uint64_t index;
    std::unique_ptr<asio::steady_timer> timer;
  };
  struct Outlet {  // of one balancer
    std::unique_ptr<HttpServer> http;
    std::vector<std::unique_ptr<HttpServer>> old;
    std::vector<std::shared_ptr<Watch>> watches;
  };

  void open(int balancer);
  void serve(int balancer, const HttpServer::SessionPtr& session);
  void answer(int balancer, const HttpServer::SessionPtr& session, bool whole, std::uint64_t since);
  void told(int balancer, const Entry& entry);
  std::string json(int balancer, const Entry& entry) const;

  Context& context_;
  Random random_;
  std::vector<Outlet> outlets_;
  std::map<std::string, Listed> entries_;
  std::uint64_t seq_ = 1;
  bool down_ = false;
  std::map<std::string, Time> due_;  // when the latest change of a host comes through
};

}  // namespace balancer::testbed
