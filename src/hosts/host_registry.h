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

// Which hosts there are: what lists and operators have said of each, who came and who left. Facts
// alone; what follows from them the policy decides. No I/O, no clock, no chance.
namespace balancer {

enum class HostState { kServing, kDraining, kGone };

// One start of a cache host.
struct HostStart {
  UnixTime born;  // as the list says it: another value is another start
  Time at{0};     // on this process's clock, as far as is known; the host is no younger

  // Where host and process share one clock, as in a simulation.
  static HostStart exactly(Time at) { return {UnixTime(at), at}; }
};

struct HostEntry {
  std::string_view id;
  std::optional<HostStart> start;  // none: long ago
  bool origin = false;
  int zone = 0;
  int cell = 0;
  HostState state = HostState::kServing;
  double weight = 1;
};

enum class ListKind { kChanges, kWhole, kRejected };

class HostRegistry {
 public:
  // Operators' words that are kept at a time. A successor is told of as many at a hand-over.
  static constexpr std::size_t kMaxOverrides = 4096;

  using Index = NamedSlots<int>::Index;

  struct Host {
    std::string id;
    std::uint64_t listed = 0;  // by which list, last
    bool origin = false;
    int zone = 0;
    int cell = 0;
    HostState state = HostState::kGone;
    bool out = false;  // by an operator's word
    double weight = 1;
    std::optional<HostStart> start;
    int held = 0;  // so many still name it: it is not forgotten meanwhile
    std::optional<UnixTime> born() const {
      return start ? std::optional(start->born) : std::nullopt;
    }
    bool takes_new() const { return state == HostState::kServing && !out; }
    // Caches that are listed have a place among those that keys may lie on.
    bool placed() const { return !origin && state != HostState::kGone; }
  };

  // An operator's word on a host.
  struct OperatorOverride {
    bool out;
    Time at;  // it came to hold
  };

  struct HostChange {
    enum class Kind {
      kStarted,     // a list tells of another start, at `at`
      kOlder,       // the start that is known was earlier than thought, at `at`
      kTakenOut,    // by an operator's word
      kCalledBack,  // by one; `at`: since when its process is another at the earliest
      kJoined,      // has a place from now on
      kLeft,        // has none any more
      kForgotten    // its index will stand for another
    } kind;
    Index host;
    Time at{0};
  };

  // `weights`: take the lists' weights; all weigh 1 without. Words are given up `remembered` after
  // they were taken back.
  HostRegistry(bool weights, Duration remembered) : weights_(weights), remembered_(remembered) {}

  // Each returns what it changed, in the order in which it came.
  std::vector<HostChange> on_list(ListKind kind, const std::vector<HostEntry>& entries);
  std::vector<HostChange> restore(std::string_view id, OperatorOverride word);
  // False if neither lists nor operators know the host, or there are too many words.
  bool may_speak_of(Time now, std::string_view id);
  // Whether `out` differs from the word in force.
  bool differs(std::string_view id, bool out) const;
  // In force; of hosts called back as long as they may be cold. At most kMaxOverrides.
  const std::map<std::string, OperatorOverride, std::less<>>& overrides() const {
    return overrides_;
  }

  void hold(Index i) { ++hosts_[i].held; }
  bool release(Index i);  // true if it is forgotten with that

  const Host& operator[](Index i) const { return hosts_[i]; }
  std::optional<Index> find(std::string_view id) const { return hosts_.find(id); }
  std::optional<Index> origin() const;                // that takes requests
  std::size_t size() const { return hosts_.size(); }  // indices, free ones included
  double weight() const { return placed_weight_; }    // of all that have a place

 private:
  void take_start(Index i, const std::optional<HostStart>& start, std::vector<HostChange>& news);
  void heed(Index i, const OperatorOverride& word, std::vector<HostChange>& news);
  bool forget_if_gone(Index i);

  const bool weights_;
  const Duration remembered_;
  NamedSlots<Host> hosts_;
  double placed_weight_ = 0;
  std::uint64_t lists_ = 0;  // that have come
  std::map<std::string, OperatorOverride, std::less<>> overrides_;
};

// Odd weights must neither drop a host from a placement nor let it flood it.
double bounded_weight(double weight);

}  // namespace balancer
