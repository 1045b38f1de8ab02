#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "structures/named_slots.h"
#include "structures/time.h"

namespace balancer {

enum class HostState { kServing, kDraining, kGone };

// One start of a cache host.
struct HostStart {
  // As the list says it. Another value is another start.
  UnixTime born;
  // On this process's clock, as far as is known; the host is no younger.
  Time at{0};

  // Where host and process share one clock, as in a simulation.
  static HostStart exactly(Time at) { return {UnixTime(at), at}; }
};

// What a list says of one host.
struct HostEntry {
  std::string_view id;
  std::optional<HostStart> start;  // none: long ago
  bool origin = false;
  int zone = 0;
  int cell = 0;  // within the zone
  HostState state = HostState::kServing;
  double weight = 1;  // relative size
};

// kChanges: hosts that are not in the list stay as they are. kComplete: they are gone. kRejected:
// discovery rejected the poll, and says nothing of hosts.
enum class ListKind { kChanges, kComplete, kRejected };

// Which hosts there are: what endpoint lists and operators have said of each, who joined and who
// left. Facts alone; what follows from them the policy decides. No I/O, no clock, no randomness.
class HostRegistry {
 public:
  // Overrides that are kept at a time. A hot restart passes on as many.
  static constexpr std::size_t kMaxOverrides = 4096;

  using Index = NamedSlots<int>::Index;

  struct Host {
    std::string id;
    std::uint64_t last_list = 0;  // number of the last list that had it
    bool origin = false;
    int zone = 0;
    int cell = 0;
    HostState state = HostState::kGone;
    bool out_of_service = false;  // by an operator's override
    double weight = 1;
    std::optional<HostStart> start;
    int references = 0;  // it is not forgotten while there are any
    std::optional<UnixTime> born() const {
      return start ? std::optional(start->born) : std::nullopt;
    }
    // Whether new attempts may be sent to it.
    bool takes_new() const { return state == HostState::kServing && !out_of_service; }
    // Whether keys may be placed on it: it is a cache host and listed.
    bool is_placed() const { return !origin && state != HostState::kGone; }
  };

  // An operator's word on a cache host.
  struct OperatorOverride {
    bool out_of_service;
    Time since;
  };

  struct HostChange {
    enum class Kind {
      kStarted,            // a list tells of another start, at `at`
      kStartedEarlier,     // the start that is known was earlier than was known, at `at`
      kTakenOutOfService,  // by an override
      kReturnedToService,  // by an override; its process started at `at` or later
      kJoined,             // is placed from now on
      kLeft,               // is not placed any more
      kForgotten           // its index is free and will stand for another host
    } kind;
    Index host;
    Time at{0};
  };

  // `use_weights`: take the lists' weights; without, all hosts weigh 1. `override_retention`: how
  // long an override is kept after the host was returned to service.
  HostRegistry(bool use_weights, Duration override_retention)
      : use_weights_(use_weights), override_retention_(override_retention) {}

  // Applies a list. Returns what it changed, in the order of the list.
  std::vector<HostChange> on_list(ListKind kind, const std::vector<HostEntry>& entries);
  // Applies an override, of whatever host. Returns what it changed; nothing if there are
  // kMaxOverrides of other hosts.
  std::vector<HostChange> restore(std::string_view id, OperatorOverride operator_override);
  // Whether an override of the host would be kept: lists or operators know it as a cache host, and
  // there are not too many. Drops overrides that are not needed any more.
  bool accepts_override(Time now, std::string_view id);
  // Whether `out_of_service` differs from the override in force.
  bool differs_from_override(std::string_view id, bool out_of_service) const;
  // Overrides in force, and those of hosts that were returned to service within the retention. At
  // most kMaxOverrides.
  const std::map<std::string, OperatorOverride, std::less<>>& overrides() const {
    return overrides_;
  }

  // A host with references keeps its index.
  void hold(Index i) { ++hosts_[i].references; }
  // True if the host is forgotten with that.
  bool release(Index i);

  const Host& operator[](Index i) const { return hosts_[i]; }
  std::optional<Index> find(std::string_view id) const { return hosts_.find(id); }
  // The first origin that serves.
  std::optional<Index> origin() const;
  // Indices, free ones included.
  std::size_t size() const { return hosts_.size(); }
  // Of all hosts that are placed.
  double total_weight() const { return total_weight_; }

 private:
  void apply_entry(const HostEntry& entry, std::vector<HostChange>& changes);
  void apply_start(Index i, const std::optional<HostStart>& start,
                   std::vector<HostChange>& changes);
  void apply_override(Index i, const OperatorOverride& operator_override,
                      std::vector<HostChange>& changes);
  void remove_unlisted(ListKind kind, std::vector<HostChange>& changes);
  bool forget_if_gone(Index i);

  const bool use_weights_;
  const Duration override_retention_;
  NamedSlots<Host> hosts_;
  double total_weight_ = 0;
  std::uint64_t lists_ = 0;  // applied so far
  std::map<std::string, OperatorOverride, std::less<>> overrides_;
};

// Within 0.1 to 16: odd weights must neither drop a host from a placement nor let it flood it.
double bounded_weight(double weight);

}  // namespace balancer
