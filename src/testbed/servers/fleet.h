#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "testbed/audit/context.h"
#include "testbed/servers/cache_server.h"
#include "testbed/servers/discovery_server.h"
#include "testbed/servers/links.h"
#include "testbed/servers/origin_server.h"

namespace balancer::testbed {

// The emulated back ends of a run: cache hosts, the origin and discovery. Applies the scenario's
// incidents to them. The hosts' real speeds are drawn here and are not published to balancers.
class Fleet {
 public:
  // All servers listen once the constructor has returned. Throws boost::system::system_error if an
  // address cannot be bound.
  explicit Fleet(Context& context);

  // Starts an incident that affects hosts, links, the origin or discovery. Ignores other incidents.
  void strike(const IncidentSpec& incident);

  DiscoveryServer& discovery() { return discovery_; }
  const OriginServer& origin() const { return *origin_; }
  // Returns the `settings` object of a balancer's configuration, as JSON.
  std::string settings_json() const;
  // Returns the work that all hosts together can do when warm, in seconds of work per second.
  double capacity() const;

  struct HostFigures {
    std::string name, kind, zone;
    double speed, work_done;
    std::uint64_t served, turned_away;
  };
  std::vector<HostFigures> figures() const;
  // Null if the scenario has no link faults.
  const Links* links() const { return links_.get(); }
  // Stores the keys at all hosts, as if they had been requested recently.
  void warm_with(const std::vector<std::string>& keys);

 private:
  struct Host {
    std::unique_ptr<CacheServer> server;
    std::string name;
    int audit_id;
    int replaced = 0;
    int number;
  };

  DiscoveryServer::Entry entry(const Host& host, DiscoveryServer::Health health,
                               std::int64_t born_ms) const;
  std::vector<Host*> select_hosts(const IncidentSpec& incident);
  void apply_to_host(Host& host, const IncidentSpec& incident);
  void kill(Host& host);
  void start_cold(Host& host);
  void set(Host& host, const IncidentSpec& incident, bool on);
  void record_miss(RequestNumber request, CacheServer& server);
  void set_origin(const IncidentSpec& incident, bool on);
  void set_link_faults(const IncidentSpec& incident, bool on);

  Context& context_;
  Random random_;
  DiscoveryServer discovery_;
  std::vector<Host> hosts_;
  std::unique_ptr<OriginServer> origin_;
  std::unique_ptr<Links> links_;
  // By request: the hosts that missed and will store the origin's response. `missed_order_` has the
  // oldest request first.
  std::unordered_map<RequestNumber, std::vector<CacheServer*>> missed_;
  std::deque<RequestNumber> missed_order_;
};

}  // namespace balancer::testbed
