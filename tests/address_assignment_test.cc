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
std::map<std::string, std::string> first_of(
    const std::map<std::string, std::vector<std::string>>& order) {
  std::map<std::string, std::string> all;
  for (const auto& [address, names] : order)
    if (!names.empty()) all[address] = names.front();
  return all;
}
std::map<std::string, int> count(const std::map<std::string, std::string>& holders) {
  std::map<std::string, int> all;
  for (const auto& [address, name] : holders) ++all[name];
  return all;
}

TEST(AddressAssignmentTest, SpreadsAddressesEvenlyAndKeepsHolders) {
  const auto all = addresses(10);
  const auto first = first_of(assign_addresses(all, instances(5), {}));
  for (const auto& [name, n] : count(first)) EXPECT_EQ(n, 2) << name;
  EXPECT_EQ(first_of(assign_addresses(all, instances(5), first)), first);
}

TEST(AddressAssignmentTest, SpreadsOnlyAFailedInstancesAddresses) {
  const auto all = addresses(12);
  const auto before = first_of(assign_addresses(all, instances(4), {}));
  auto left = instances(4);
  left.erase(left.begin() + 1);
  const auto after = first_of(assign_addresses(all, left, before));
  for (const auto& [name, n] : count(after)) EXPECT_EQ(n, 4) << name;
  for (const auto& [address, name] : before) {
    if (name != "n1") {
      EXPECT_EQ(after.at(address), name);
    }
  }
}

TEST(AddressAssignmentTest, MovesAddressesToANewInstanceOnceItIsSettled) {
  const auto all = addresses(9);
  const auto before = first_of(assign_addresses(all, instances(2), {}));
  auto three = instances(3);
  three[2].settled = false;
  EXPECT_EQ(first_of(assign_addresses(all, three, before)), before);
  three[2].settled = true;
  const auto after = first_of(assign_addresses(all, three, before));
  EXPECT_EQ(count(after).at("n2"), 3);
  int moved = 0;
  for (const auto& [address, name] : before) moved += after.at(address) != name;
  EXPECT_EQ(moved, 3);
}

TEST(AddressAssignmentTest, MovesAnAddressToThePreferredInstanceOnceItIsSettled) {
  const std::vector<AddressPreference> one = {{"svc", {"n2", "n0"}}};
  auto three = instances(3);
  three[2].settled = false;
  EXPECT_EQ(first_of(assign_addresses(one, three, {{"svc", "n1"}})).at("svc"), "n0");
  EXPECT_EQ(first_of(assign_addresses(one, three, {{"svc", "n0"}})).at("svc"), "n0");
  three[2].settled = true;
  EXPECT_EQ(first_of(assign_addresses(one, three, {{"svc", "n0"}})).at("svc"), "n2");
  // An address without a holder goes to the best eligible instance, settled or not.
  three[2].settled = false;
  EXPECT_EQ(first_of(assign_addresses(one, three, {})).at("svc"), "n2");
  EXPECT_EQ(assign_addresses(one, three, {}).at("svc")[1], "n0") << "and then to the next";
}

TEST(AddressAssignmentTest, IsTheSameForEveryOrderOfInputsAndNamesOnlyEligibleInstances) {
  std::mt19937_64 random(5);
  for (int round = 0; round < 500; ++round) {
    SCOPED_TRACE("round " + std::to_string(round));
    auto all = addresses(static_cast<int>(1 + random() % 12));
    auto eligible = instances(static_cast<int>(random() % 7));
    for (auto& a : eligible) a.settled = random() % 3 > 0;
    for (auto& w : all)
      for (const auto& a : eligible)
        if (random() % 5 == 0) w.preferred_instances.push_back(a.name);
    std::map<std::string, std::string> holders;
    for (const auto& w : all)
      if (random() % 2) holders[w.address] = "n" + std::to_string(random() % 9);
    const auto order = assign_addresses(all, eligible, holders);
    EXPECT_EQ(order.size(), all.size());
    for (const auto& [address, names] : order) EXPECT_EQ(names.size(), eligible.size());
    std::shuffle(all.begin(), all.end(), random);
    std::shuffle(eligible.begin(), eligible.end(), random);
    EXPECT_EQ(assign_addresses(all, eligible, holders), order);
    // Once all is as it says, nothing moves any more.
    auto held = first_of(order);
    for (int i = 0; i < 20; ++i) held = first_of(assign_addresses(all, eligible, held));
    EXPECT_EQ(first_of(assign_addresses(all, eligible, held)), held);
  }
}

}  // namespace
}  // namespace balancer::lease
