#include "lease/address_assignment.h"

#include <gtest/gtest.h>

#include <random>

namespace balancer::lease {
namespace {

std::vector<AddressPreference> addresses(int n) {
  std::vector<AddressPreference> all;
  for (int i = 0; i < n; ++i) all.push_back({"svc" + std::to_string(i), {}});
  return all;
}
std::vector<EligibleInstance> instances(int n, bool settled = true) {
  std::vector<EligibleInstance> all;
  for (int i = 0; i < n; ++i) all.push_back({"n" + std::to_string(i), settled});
  return all;
}
std::map<std::string, std::string> assigned_holders(
    const std::map<std::string, std::vector<std::string>>& order) {
  std::map<std::string, std::string> all;
  for (const auto& [address, names] : order)
    if (!names.empty()) all[address] = names.front();
  return all;
}
std::map<std::string, int> count_by_instance(const std::map<std::string, std::string>& holders) {
  std::map<std::string, int> all;
  for (const auto& [address, name] : holders) ++all[name];
  return all;
}

TEST(AddressAssignmentTest, SpreadsAddressesEvenlyAndKeepsHolders) {
  const auto all = addresses(10);
  const auto first = assigned_holders(assign_addresses(all, instances(5), {}));
  for (const auto& [name, n] : count_by_instance(first)) EXPECT_EQ(n, 2) << name;
  EXPECT_EQ(assigned_holders(assign_addresses(all, instances(5), first)), first);
}

TEST(AddressAssignmentTest, SpreadsOnlyTheAddressesOfAFailedInstance) {
  const auto all = addresses(12);
  const auto before = assigned_holders(assign_addresses(all, instances(4), {}));
  auto remaining = instances(4);
  remaining.erase(remaining.begin() + 1);
  const auto after = assigned_holders(assign_addresses(all, remaining, before));
  for (const auto& [name, n] : count_by_instance(after)) EXPECT_EQ(n, 4) << name;
  for (const auto& [address, name] : before) {
    if (name != "n1") {
      EXPECT_EQ(after.at(address), name);
    }
  }
}

TEST(AddressAssignmentTest, MovesAddressesToANewInstanceOnceItIsSettled) {
  const auto all = addresses(9);
  const auto before = assigned_holders(assign_addresses(all, instances(2), {}));
  auto three = instances(3);
  three[2].settled = false;
  EXPECT_EQ(assigned_holders(assign_addresses(all, three, before)), before);
  three[2].settled = true;
  const auto after = assigned_holders(assign_addresses(all, three, before));
  EXPECT_EQ(count_by_instance(after).at("n2"), 3);
  int moved = 0;
  for (const auto& [address, name] : before) moved += after.at(address) != name;
  EXPECT_EQ(moved, 3);
}

TEST(AddressAssignmentTest, MovesAnAddressToThePreferredInstanceOnceItIsSettled) {
  const std::vector<AddressPreference> preferences = {{"svc", {"n2", "n0"}}};
  auto three = instances(3);
  three[2].settled = false;
  EXPECT_EQ(assigned_holders(assign_addresses(preferences, three, {{"svc", "n1"}})).at("svc"),
            "n0");
  EXPECT_EQ(assigned_holders(assign_addresses(preferences, three, {{"svc", "n0"}})).at("svc"),
            "n0");
  three[2].settled = true;
  EXPECT_EQ(assigned_holders(assign_addresses(preferences, three, {{"svc", "n0"}})).at("svc"),
            "n2");
  // An address without a holder is assigned to the best eligible instance, settled or not.
  three[2].settled = false;
  EXPECT_EQ(assigned_holders(assign_addresses(preferences, three, {})).at("svc"), "n2");
  EXPECT_EQ(assign_addresses(preferences, three, {}).at("svc")[1], "n0")
      << "the next preferred instance ranks second";
}

TEST(AddressAssignmentTest, IsIndependentOfInputOrderAndRanksOnlyEligibleInstances) {
  std::mt19937_64 random(5);
  for (int round = 0; round < 500; ++round) {
    SCOPED_TRACE("round " + std::to_string(round));
    auto all = addresses(static_cast<int>(1 + random() % 12));
    auto eligible = instances(static_cast<int>(random() % 7));
    for (auto& instance : eligible) instance.settled = random() % 3 > 0;
    for (auto& preference : all)
      for (const auto& instance : eligible)
        if (random() % 5 == 0) preference.preferred_instances.push_back(instance.name);
    std::map<std::string, std::string> holders;
    for (const auto& preference : all)
      if (random() % 2) holders[preference.address] = "n" + std::to_string(random() % 9);
    const auto order = assign_addresses(all, eligible, holders);
    EXPECT_EQ(order.size(), all.size());
    for (const auto& [address, names] : order) EXPECT_EQ(names.size(), eligible.size());
    std::shuffle(all.begin(), all.end(), random);
    std::shuffle(eligible.begin(), eligible.end(), random);
    EXPECT_EQ(assign_addresses(all, eligible, holders), order);
    // Once every address is held by its assigned holder, no address moves any more.
    auto held = assigned_holders(order);
    for (int i = 0; i < 20; ++i) held = assigned_holders(assign_addresses(all, eligible, held));
    EXPECT_EQ(assigned_holders(assign_addresses(all, eligible, held)), held);
  }
}

}  // namespace
}  // namespace balancer::lease
