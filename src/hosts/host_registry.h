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
  // Start time as given by the host list. A different value means a different start.
  UnixTime started_at;
  // Start time on this process's clock, as far as it is known. The host may have started earlier,
  // but not later.
  Time at{0};

  // For hosts that share a clock with this process, as in a simulation.
  static HostStart exactly(Time at) { return {UnixTime(at), at}; }
};

// Entry of one host in a host list.
struct HostEntry {
  std::string_view id;
  std::optional<HostStart> start;  // not set: the host started long ago
  bool is_origin = false;
  int zone = 0;
  int cell = 0;  // within the zone
  HostState state = HostState::kServing;
  double weight = 1;  // relative size
};

// kChanges: hosts that are not in the list are unchanged. kComplete: hosts that are not in the list
// are gone. kRejected: discovery rejected the poll, so there is no information about hosts.
enum class ListKind { kChanges, kComplete, kRejected };

// The known hosts with their state from endpoint lists and operators' overrides. Reports which
// hosts joined, left or started; the policy decides what to do about it. Uses no I/O, no clock and
// no randomness.
class HostRegistry {
 public:
  // Maximum number of overrides. A hot restart can transfer this many.
  static constexpr std::size_t kMaxOverrides = 4096;

  using Index = NamedSlots<int>::Index;

  struct Host {
    std::string id;
    std::uint64_t last_seen_list_number = 0;  // number of the last list that contained it
    bool is_origin = false;
    int zone = 0;
    int cell = 0;
    HostState state = HostState::kGone;
    bool out_of_service = false;  // by an operator's override
    double weight = 1;
    std::optional<HostStart> start;
    int references = 0;  // the host is not removed while there are any
    std::optional<UnixTime> born() const {
      return start ? std::optional(start->started_at) : std::nullopt;
    }
    // Returns whether new attempts may be sent to the host.
    bool accepts_attempts() const { return state == HostState::kServing && !out_of_service; }
    // Returns whether keys may be placed on the host: it is a listed cache host.
    bool is_placed() const { return !is_origin && state != HostState::kGone; }
  };

  // An operator's override of the service state of a cache host.
  struct OperatorOverride {
    bool out_of_service;
    Time since;
  };

  struct HostChange {
    enum class Kind {
      kStarted,            // a list reports a new start, at `at`
      kStartedEarlier,     // the known start is now known to have been earlier, at `at`
      kTakenOutOfService,  // by an override
      kReturnedToService,  // by an override; its process started at `at` or later
      kJoined,             // keys may be placed on it from now on
      kLeft,               // keys may no longer be placed on it
      kRemoved             // its index may be reused for another host
    } kind;
    Index host;
    Time at{0};
  };

  // `use_weights`: use the weights in host lists; otherwise all hosts have weight 1.
  // `override_retention`: how long an override is kept after its host has returned to service.
  HostRegistry(bool use_weights, Duration override_retention)
      : use_weights_(use_weights), override_retention_(override_retention) {}

  // Applies a host list. Returns the changes of listed hosts in the order of the list, then those
  // of hosts that left or were removed, in the order of their indices.
  std::vector<HostChange> on_list(ListKind kind, const std::vector<HostEntry>& entries);
  // Applies an override; the host need not be listed. Returns the changes. Ignores the override if
  // there are already kMaxOverrides overrides of other hosts.
  std::vector<HostChange> restore(std::string_view id, OperatorOverride operator_override);
  // Removes overrides whose retention has expired, then returns whether an override of the host can
  // be stored: the host already has one, or it is a listed cache host and there are fewer than
  // kMaxOverrides.
  bool prepare_override(Time now, std::string_view id);
  // Returns whether `out_of_service` differs from the current override of the host.
  bool differs_from_override(std::string_view id, bool out_of_service) const;
  // Returns the current overrides, including those of hosts that returned to service within the
  // retention time. At most kMaxOverrides.
  const std::map<std::string, OperatorOverride, std::less<>>& overrides() const {
    return overrides_;
  }

  // Adds a reference. A host keeps its index while it has references.
  void add_reference(Index i) { ++hosts_[i].references; }
  // Removes a reference. Returns whether the host was removed as a result.
  bool release_reference(Index i);

  const Host& operator[](Index i) const { return hosts_[i]; }
  std::optional<Index> find(std::string_view id) const { return hosts_.find(id); }
  // Returns the first origin in state kServing.
  std::optional<Index> origin() const;
  // Returns the number of indices, including free ones.
  std::size_t size() const { return hosts_.size(); }
  // Returns the total weight of all hosts on which keys may be placed.
  double total_weight() const { return total_weight_; }

 private:
  void apply_entry(const HostEntry& entry, std::vector<HostChange>& changes);
  void apply_start(Index i, const std::optional<HostStart>& start,
                   std::vector<HostChange>& changes);
  void apply_override(Index i, const OperatorOverride& operator_override,
                      std::vector<HostChange>& changes);
  // Marks hosts that a complete list leaves out as gone, removes unreferenced gone hosts, and
  // recomputes the total weight.
  void remove_gone_hosts(ListKind kind, std::vector<HostChange>& changes);
  bool remove_if_unreferenced(Index i);

  const bool use_weights_;
  const Duration override_retention_;
  NamedSlots<Host> hosts_;
  double total_weight_ = 0;
  std::uint64_t list_count_ = 0;  // number of applied lists
  std::map<std::string, OperatorOverride, std::less<>> overrides_;
};

// Clamps a weight to 0.1 to 16, so that an implausible weight neither removes a host from the
// placement nor assigns it nearly all keys. A weight that is not finite becomes 0.1.
double bounded_weight(double weight);

}  // namespace balancer
