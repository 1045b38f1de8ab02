#include "lease/address_assignment.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <tuple>
#include <utility>

#include "policy/hash_ring.h"

namespace balancer::lease {
namespace {

// Instances are identified by their index in the caller's list.
constexpr std::size_t kNoInstance = SIZE_MAX;

struct AssignedAddress {
  const AddressPreference* spec;
  std::uint64_t hash;
  std::size_t holder = kNoInstance;
  // Rank by instance, lower is better; empty if the address has no preferred instances.
  std::vector<std::size_t> preference_ranks{};

  std::size_t preference_rank(std::size_t instance) const {
    return preference_ranks.empty() ? 0 : preference_ranks[instance];
  }
};

class AddressAssigner {
 public:
  AddressAssigner(const std::vector<AddressPreference>& addresses,
                  const std::vector<EligibleInstance>& instances);

  void keep_holders(const std::map<std::string, std::string>& holders);
  void assign_unheld();
  void move_to_preferred();
  void balance();
  Assignment rank(std::size_t max_ranked) const;

 private:
  struct Move {
    AssignedAddress* address = nullptr;
    std::size_t to = kNoInstance;
    // The difference between the addresses that the two instances hold, then a hash to break ties.
    std::tuple<std::size_t, std::uint64_t> gain{1, 0};
  };

  // Returns the sort key of an instance as the holder of the address; lower is better.
  auto cost(const AssignedAddress& address, std::size_t instance) const {
    return std::tuple(address.preference_rank(instance), held_counts_[instance],
                      ~mix(address.hash, hashes_[instance]),
                      std::string_view(instances_[instance].name));
  }
  // Returns the allowed instance of the lowest cost, or kNoInstance.
  template <typename Predicate>
  std::size_t best_instance(const AssignedAddress& address, Predicate&& is_allowed) const;
  void assign(AssignedAddress& address, std::size_t instance);
  Move best_move();

  const std::vector<EligibleInstance>& instances_;
  std::vector<std::uint64_t> hashes_;       // by instance
  std::vector<std::size_t> held_counts_;    // number of addresses held, by instance
  std::vector<AssignedAddress> addresses_;  // sorted by name
};

std::size_t preference_rank(const AddressPreference& spec, const std::string& name) {
  const auto& names = spec.preferred_instances;
  return static_cast<std::size_t>(std::find(names.begin(), names.end(), name) - names.begin());
}

AddressAssigner::AddressAssigner(const std::vector<AddressPreference>& addresses,
                                 const std::vector<EligibleInstance>& instances)
    : instances_(instances), held_counts_(instances.size(), 0) {
  for (const EligibleInstance& instance : instances_) hashes_.push_back(stable_hash(instance.name));
  for (const AddressPreference& spec : addresses) {
    AssignedAddress address{&spec, stable_hash(spec.address)};
    if (!spec.preferred_instances.empty())
      for (const EligibleInstance& instance : instances_)
        address.preference_ranks.push_back(preference_rank(spec, instance.name));
    addresses_.push_back(std::move(address));
  }
  std::sort(addresses_.begin(), addresses_.end(),
            [](const AssignedAddress& a, const AssignedAddress& b) {
              return a.spec->address < b.spec->address;
            });
}

void AddressAssigner::assign(AssignedAddress& address, std::size_t instance) {
  if (address.holder != kNoInstance) --held_counts_[address.holder];
  address.holder = instance;
  if (instance != kNoInstance) ++held_counts_[instance];
}

template <typename Predicate>
std::size_t AddressAssigner::best_instance(const AssignedAddress& address,
                                           Predicate&& is_allowed) const {
  std::size_t choice = kNoInstance;
  for (std::size_t i = 0; i < instances_.size(); ++i)
    if (is_allowed(i) && (choice == kNoInstance || cost(address, i) < cost(address, choice)))
      choice = i;
  return choice;
}

// Keeps the present holders. Holders that are not eligible are ignored, which leaves their
// addresses unassigned.
void AddressAssigner::keep_holders(const std::map<std::string, std::string>& holders) {
  std::map<std::string_view, std::size_t> by_name;
  for (std::size_t i = 0; i < instances_.size(); ++i) by_name.emplace(instances_[i].name, i);
  for (AssignedAddress& address : addresses_) {
    const auto holder = holders.find(address.spec->address);
    if (holder == holders.end()) continue;
    const auto instance = by_name.find(holder->second);
    if (instance != by_name.end()) assign(address, instance->second);
  }
}

void AddressAssigner::assign_unheld() {
  for (AssignedAddress& address : addresses_)
    if (address.holder == kNoInstance)
      assign(address, best_instance(address, [](std::size_t) { return true; }));
}

void AddressAssigner::move_to_preferred() {
  for (AssignedAddress& address : addresses_) {
    if (address.holder == kNoInstance || address.preference_ranks.empty()) continue;
    const auto choice =
        best_instance(address, [this](std::size_t i) { return instances_[i].settled; });
    if (choice != kNoInstance &&
        address.preference_rank(choice) < address.preference_rank(address.holder))
      assign(address, choice);
  }
}

// Moves addresses between equally preferred instances until no move makes the spread more even.
void AddressAssigner::balance() {
  for (std::size_t moves = 0; moves < addresses_.size(); ++moves) {
    const Move move = best_move();
    if (!move.address) return;
    assign(*move.address, move.to);
  }
}

AddressAssigner::Move AddressAssigner::best_move() {
  Move move;
  for (AssignedAddress& address : addresses_) {
    const std::size_t from = address.holder;
    if (from == kNoInstance || held_counts_[from] < 2) continue;
    for (std::size_t to = 0; to < instances_.size(); ++to) {
      if (!instances_[to].settled || held_counts_[from] < held_counts_[to] + 2 ||
          address.preference_rank(to) != address.preference_rank(from))
        continue;
      const std::tuple gain(held_counts_[from] - held_counts_[to],
                            mix(address.hash, hashes_[to]) ^ mix(address.hash, hashes_[from]));
      if (!move.address || gain > move.gain) move = {&address, to, gain};
    }
  }
  return move;
}

Assignment AddressAssigner::rank(std::size_t max_ranked) const {
  Assignment assignment;
  std::vector<std::size_t> order(instances_.size());
  for (const AssignedAddress& address : addresses_) {
    for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
    const auto end =
        order.begin() + static_cast<std::ptrdiff_t>(std::min(max_ranked, order.size()));
    // The assigned holder comes first.
    const auto key = [&](std::size_t i) {
      return std::pair(i != address.holder, cost(address, i));
    };
    std::partial_sort(order.begin(), end, order.end(),
                      [&](std::size_t a, std::size_t b) { return key(a) < key(b); });
    auto& names = assignment[address.spec->address];
    for (auto it = order.begin(); it != end; ++it) names.push_back(instances_[*it].name);
  }
  return assignment;
}

}  // namespace

Assignment assign_addresses(const std::vector<AddressPreference>& addresses,
                            const std::vector<EligibleInstance>& instances,
                            const std::map<std::string, std::string>& holders,
                            std::size_t max_ranked) {
  AddressAssigner assigner(addresses, instances);
  assigner.keep_holders(holders);
  assigner.assign_unheld();
  assigner.move_to_preferred();
  assigner.balance();
  return assigner.rank(max_ranked);
}

}  // namespace balancer::lease
