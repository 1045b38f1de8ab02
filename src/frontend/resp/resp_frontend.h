#pragma once

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cluster/commands.h"
#include "cluster/scan.h"
#include "frontend/resp/resp_connection.h"
#include "net/limits.h"
#include "net/protocol_handler.h"
#include "proto/resp.h"
#include "settings/operator.h"

namespace balancer {

// The state that all RESP clients of a listener share: settings, request classes, running SCANs and
// the cluster nodes that clients in cluster mode see, which are this balancer and its peers.
// Outlives the clients.
class RespFrontend {
 public:
  // `announce`: the address that clients in cluster mode see. `settings`, `pool` and `slots` must
  // outlive the object.
  RespFrontend(const RespListener& settings, const RespPool& pool, const std::string& announce,
               Limits& limits, RequestSink& core, const cluster::SlotTable& slots);
  RespFrontend(const RespFrontend&) = delete;
  RespFrontend& operator=(const RespFrontend&) = delete;

  std::unique_ptr<ProtocolHandler> make_handler();

 private:
  class RespSession;

  // A balancer as clients in cluster mode see it.
  struct AdvertisedNode {
    std::string address, host, id;
    std::uint16_t port;
    cluster::Slot first, last;
  };

  // Whether only the owner of its slot may serve a request of this class.
  bool primary_only(int request_class) const {
    return pool_.classes[static_cast<std::size_t>(request_class)].reads ==
           cluster::ReadPreference::kPrimary;
  }
  int class_of(const cluster::CommandInfo& info, std::string_view key) const;

  // A SCAN over all nodes. A client's cursor contains the scan's id and the page number, so that
  // any connection to this listener may continue the scan.
  struct Scan {
    cluster::ScanPlan plan, previous;  // for the current page and the one before
    std::uint64_t page = 0;
    Time last_used{0};
    Reservation memory;
  };
  static constexpr std::size_t kMaxScans = 256;
  static constexpr Duration kScanIdleTimeout = std::chrono::minutes(10);  // then a scan is dropped
  // Returns nothing if memory is short.
  std::optional<std::uint64_t> begin_scan(Time now);
  Scan* find_scan(std::uint64_t id, Time now);

  const RespListener& settings_;
  const RespPool& pool_;
  Limits& limits_;
  RequestSink& core_;
  const cluster::SlotTable& slots_;
  std::mt19937_64 random_{std::random_device{}()};
  std::unordered_map<std::uint64_t, Scan> scans_;
  const resp::InputLimits bounds_;                // for commands of clients
  const resp::InputLimits reply_bounds_;          // for replies of servers
  std::vector<AdvertisedNode> advertised_nodes_;  // in the same order on every balancer
  std::size_t self_index_ = 0;
  std::int64_t next_client_ = 1;
};

}  // namespace balancer
