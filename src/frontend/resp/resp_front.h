#pragma once

#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cluster/commands.h"
#include "cluster/scan.h"
#include "frontend/resp/resp_connection.h"
#include "net/dialect.h"
#include "net/limits.h"
#include "proto/resp.h"
#include "settings/operator.h"

namespace balancer {

// What RESP commands mean: which class and tenant each has, which the balancer answers itself,
// which are split over slots, and what a final answer looks like. To clients in cluster mode this
// balancer and its peers are the owners of all slots. One for all clients of a listener; it
// outlives them.
class RespFront {
 public:
  // `announce`: the address that clients are told. `settings`, `pool` and `slots` outlive it.
  RespFront(const RespListener& settings, const RespPool& pool, const std::string& announce,
            Limits& limits, RequestSink& core, const cluster::SlotTable& slots);
  RespFront(const RespFront&) = delete;
  RespFront& operator=(const RespFront&) = delete;

  std::unique_ptr<Dialect> make();

 private:
  class Conversation;

  // A balancer as clients in cluster mode see it.
  struct Member {
    std::string address, host, id;
    std::uint16_t port;
    cluster::Slot first, last;
  };

  // Whether none but its slot's owner answers what is of this class.
  bool primary_only(int request_class) const {
    return pool_.classes[static_cast<std::size_t>(request_class)].reads == cluster::Reads::kPrimary;
  }
  int class_of(const cluster::CommandInfo& info, std::string_view key) const;

  // Walks over all nodes by SCAN. A client's cursor names one and its page: any connection to this
  // listener may go on with it.
  struct Scan {
    cluster::ScanPlan plan, previous;  // for the present page and the one before
    std::uint64_t page = 0;
    Time used{0};
  };
  static constexpr std::size_t kMaxScans = 256;
  static constexpr Duration kScanRests = std::chrono::minutes(10);  // then it is forgotten
  std::uint64_t begin_scan(Time now);
  Scan* find_scan(std::uint64_t id, Time now);

  const RespListener& settings_;
  const RespPool& pool_;
  Limits& limits_;
  RequestSink& core_;
  const cluster::SlotTable& slots_;
  std::mt19937_64 random_{std::random_device{}()};
  std::unordered_map<std::uint64_t, Scan> scans_;
  const resp::Bounds bounds_;        // of what clients send
  const resp::Bounds reply_bounds_;  // of what servers answer
  std::vector<Member> members_;      // in the same order at every balancer
  std::size_t self_ = 0;
  std::int64_t next_client_ = 1;
};

}  // namespace balancer
