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

// The emulated discovery service: serves the full host list, answers watches (long polls for
// changes), and publishes changes with a delay. Each balancer has its own address here, so that the
// auditor knows which entries were delivered to which balancer, and when.
class DiscoveryServer {
 public:
  enum class Health { kReady, kDraining, kGone };
  struct Entry {
    std::string host, dial, zone, kind;
    int audit_id = -1;
    Health health = Health::kReady;
    std::int64_t born_ms = 0;  // Unix time at which the host's process started; 0: before the run
  };

  DiscoveryServer(Context& context, int balancers, std::uint64_t seed);
  ~DiscoveryServer();

  // Adds an entry at once, without notifying watches. For hosts that exist when the run starts.
  void add(const Entry& entry);
  // Publishes a change after the scenario's delay. After 6 s the auditor counts it as delivered to
  // all balancers, unless a later change has replaced it.
  void change(const Entry& entry);
  // Publishes a change at once and answers all open watches. Returns the new version of the list.
  std::uint64_t publish(const Entry& entry);
  void set_down(bool down);
  // Moves this balancer's discovery endpoint to a new address. The old one stops accepting at once
  // and closes its connections 1.5 s later.
  void move(int balancer);

  std::string dial(int balancer) const;
  // Returns the full list as JSON, in the format of `known` in the balancer's configuration.
  std::string whole_list(int balancer) const;
  // Overrides the address that is published to a balancer for a host. If no function is set,
  // Entry::dial is published.
  std::function<std::string(int balancer, const Entry& entry)> published_dial;
  // Clears what the auditor has recorded as delivered to the balancer.
  void on_balancer_restart(int balancer);
  // Called for each request for the list, including those answered with 503. `version` is the one
  // that a watch names, which the balancer has already applied; nullopt for a request for the full
  // list.
  std::function<void(int balancer, std::optional<std::uint64_t> version)> on_call;
  struct Traffic {
    std::uint64_t bytes_in = 0, bytes_out = 0;
  };
  // Sums the traffic of all balancers at their current addresses.
  Traffic traffic() const;

 private:
  struct Listed {
    Entry entry;
    std::uint64_t seq;
  };
  struct Watch {
    HttpServer::SessionPtr session;
    std::uint64_t version;
    std::unique_ptr<asio::steady_timer> timer;
  };
  struct PerBalancerServer {  // serves one balancer
    std::unique_ptr<HttpServer> http;
    std::vector<std::unique_ptr<HttpServer>> old;
    std::vector<std::shared_ptr<Watch>> watches;
  };

  void start_server(int balancer);
  void serve(int balancer, const HttpServer::SessionPtr& session);
  void answer(int balancer, const HttpServer::SessionPtr& session, bool full, std::uint64_t since);
  void record_delivery(int balancer, const Entry& entry);
  std::string json(int balancer, const Entry& entry) const;

  Context& context_;
  Random random_;
  std::vector<PerBalancerServer> servers_;
  std::map<std::string, Listed> entries_;
  std::uint64_t seq_ = 1;
  bool down_ = false;
  std::map<std::string, Time> publish_at_;  // by host: when its latest change is published
};

}  // namespace balancer::testbed
