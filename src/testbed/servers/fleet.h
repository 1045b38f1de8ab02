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

// All that stands behind the balancers: cache hosts, the origin and discovery, and what befalls
// them. Real speeds are drawn here and told to nobody.
class Fleet {
 public:
  // Listens when it returns. Throws boost::system::system_error if an address cannot be bound.
  explicit Fleet(Context& context);

  // Carries out an incident that strikes hosts, the origin or discovery, from now on.
  void strike(const IncidentSpec& incident);

  DiscoveryServer& discovery() { return discovery_; }
  const OriginServer& origin() const { return *origin_; }
  // The settings object of a balancer's configuration.
  std::string settings_json() const;
  // Seconds of work a second that all hosts together can do when warm.
  double capacity() const;

  struct HostFigures {
    std::string name, kind, zone;
    double speed, work_done;
    std::uint64_t served, turned_away;
  };
  std::vector<HostFigures> figures() const;
  const Links* links() const { return links_.get(); }    // none where nothing troubles them
  void warm_with(const std::vector<std::string>& keys);  // as if they had been asked for lately

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
  std::vector<Host*> struck(const IncidentSpec& incident);
  void strike_host(Host& host, const IncidentSpec& incident);
  void kill(Host& host);
  void start_cold(Host& host);
  void set(Host& host, const IncidentSpec& incident, bool on);
  void note_miss(RequestNumber request, CacheServer& server);
  void set_origin(const IncidentSpec& incident, bool on);
  void set_links(const IncidentSpec& incident, bool on);

  Context& context_;
  Random random_;
  DiscoveryServer discovery_;
  std::vector<Host> hosts_;
  std::unique_ptr<OriginServer> origin_;
  std::unique_ptr<Links> links_;
  // Hosts that missed for a request, and will hold what the origin answers; oldest first.
  std::unordered_map<RequestNumber, std::vector<CacheServer*>> missed_;
  std::deque<RequestNumber> missed_order_;
};

}  // namespace balancer::testbed
