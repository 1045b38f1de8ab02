// Reading of the operator's file: each error states file, line, key and reason.
#include "settings/operator.h"

#include <gtest/gtest.h>

namespace balancer {
namespace {

const std::string kPool = "[[pool]]\nname = \"p\"\nseeds = [\"127.0.0.1:7000\"]\n";
const std::string kListener =
    "[[listener]]\nname = \"l\"\naddress = \"127.0.0.1:0\"\npool = \"p\"\n";

std::string error_of(const std::string& text) {
  try {
    parse_operator(text, "o.toml");
    return "none";
  } catch (const FileError& e) {
    return e.what();
  }
}

TEST(OperatorFileTest, ReportsFileLineKeyAndReasonOfEachError) {
  const std::vector<std::pair<std::string, std::string>> errors = {
      {"pool = 1\n", "o.toml:1: pool: must be tables: [[pool]]"},
      {"[[pool]\n", "o.toml:1: "},
      {"frob = 1\n", "o.toml:1: frob: is not known here"},
      {kPool + "frob = 1\n", "o.toml:4: frob: is not known here"},
      {"[[pool]]\nname = \"p\"\n", "o.toml:1: seeds: is missing"},
      {"[[pool]]\nname = \"p\"\nseeds = [\"x\"]\n",
       "o.toml:3: seeds: contains an invalid IP address and port: x"},
      {"[[pool]]\nname = \"p\"\nseeds = [\"rate-1:7000\"]\n",
       "o.toml:3: seeds: contains a host name; host names are not resolved: rate-1:7000"},
      {"[process]\nsockets = 3\n", "o.toml:2: sockets: is 3; it must lie from 64 to 1.04858e+06"},
      {"[process]\nname = \"a b\"\n", "o.toml:2: name: may hold letters"},
      {"[[pool]]\nname = \"p\"\nseeds = [7]\n", "o.toml:3: seeds: must be a list of strings"},
      {kPool + kPool, "o.toml:5: name: is used by two pools"},
      {kPool + "most_attempts = 99\n", "o.toml:4: most_attempts: is 99; it must lie from 1 to 32"},
      {kPool + "most_attempts = \"2\"\n", "o.toml:4: most_attempts: must be a whole number"},
      {kPool + "user = \"u\"\n", "o.toml:4: user: has no password"},
      {kPool + "[[pool.class]]\nname = \"c\"\n", "o.toml:4: commands: is missing"},
      {kPool + "[[pool.class]]\nname = \"c\"\ncommands = [\"FROB\"]\n",
       "o.toml:6: commands: FROB is not a known command"},
      {kPool + "[[pool.class]]\nname = \"c\"\ncommands = [\"BLPOP\"]\n",
       "o.toml:6: commands: BLPOP is not a data command"},
      {kPool + "[[pool.class]]\nname = \"c\"\ncommands = [\"set\"]\nreads = \"any\"\n",
       "o.toml:7: reads: replicas accept no writes, but this class contains write commands"},
      {kPool + "[[pool.class]]\nname = \"c\"\ncommands = [\"SET\"]\neffect = \"keyed\"\n",
       "o.toml:7: effect: keyed requires key_argument and window_ms"},
      {kPool + "[[pool.class]]\nname = \"c\"\ncommands = [\"GET\"]\neffect = \"some\"\n",
       "o.toml:7: effect: is none of safe, keyed, unsafe"},
      {kPool + "[[pool.class]]\nname = \"c\"\ncommands = [\"GET\"]\naim_ms = 500\n"
               "deadline_ms = 400\n",
       "o.toml:8: deadline_ms: is less than aim_ms"},
      {kPool + "[[listener]]\nname = \"l\"\npool = \"p\"\n", "o.toml:4: address: is missing"},
      {kPool + "[[listener]]\nname = \"l\"\naddress = \"x\"\npool = \"p\"\n",
       "o.toml:6: address: is not an IP address and port: x"},
      {kPool + "[[listener]]\nname = \"l\"\naddress = \"cache.example:1\"\npool = \"p\"\n",
       "o.toml:6: address: is not an IP address and port: cache.example:1"},
      {kPool + "[[listener]]\nname = \"l\"\naddress = \"0.0.0.0:1\"\npool = \"p\"\n",
       "o.toml:4: announce: is required: clients cannot connect to 0.0.0.0:1"},
      {kPool + "[[listener]]\nname = \"l\"\naddress = \"127.0.0.1:1\"\npool = \"q\"\n",
       "o.toml:7: pool: is not defined in this file: q"},
      {kPool + kListener + "require_auth = 1\n", "o.toml:8: require_auth: must be true or false"},
  };
  for (const auto& [text, error] : errors)
    EXPECT_TRUE(error_of(text).starts_with(error)) << error_of(text) << "\nexpected " << error;
  EXPECT_EQ(error_of(kPool + kListener), "none");
  EXPECT_EQ(error_of(""), "none");
  EXPECT_THROW(load_operator("/nonexistent.toml"), FileError);
}

TEST(OperatorFileTest, TreatsUnlistedAndMixedWritesAsNonIdempotentByDefault) {
  const auto all = parse_operator(
      kPool + "[[pool.class]]\nname = \"c\"\ncommands = [\"GET\", \"SET\"]\n" + kListener,
      "o.toml");
  ASSERT_EQ(all.pools.size(), 1u);
  const auto& classes = all.pools[0].site.policy.classes;
  ASSERT_EQ(classes.size(), 3u);
  EXPECT_EQ(classes[0].idempotency, Idempotency::kNone) << "the class contains a write command";
  EXPECT_EQ(classes[1].idempotency, Idempotency::kIdempotent);
  EXPECT_EQ(classes[2].idempotency, Idempotency::kNone);
  EXPECT_FALSE(all.pools[0].site.policy.hedging);
}

TEST(OperatorFileTest, AppliesOnlyPasswordsOnReload) {
  const std::string tenant = "[[pool.tenant]]\nname = \"t\"\npassword = \"";
  auto all = parse_operator(kPool + tenant + "a\"\n" + kListener, "o.toml");
  EXPECT_TRUE(
      all.apply_reload(parse_operator(kPool + tenant + "b\"\n" + kListener, "o.toml")).empty());
  EXPECT_EQ(all.pools[0].tenants[0].password, "b");
  const auto needs_restart =
      all.apply_reload(parse_operator(kPool + "most_attempts = 3\n", "o.toml"));
  EXPECT_EQ(needs_restart, (std::vector<std::string>{"pool p", "listener l"}));
  EXPECT_EQ(all.pools[0].site.policy.max_attempts, 8);
}

const std::string kGroup =
    "[group]\nlisten = \"127.0.0.1:7946\"\nnetworks = [\"127.0.0.0/8\"]\nkey_file = \"k\"\n"
    "folder = \"f\"\nvoters = [\"b\", \"a\"]\n";
const std::string kAddress = "[[address]]\nname = \"svc\"\nprefix = \"10.9.0.1\"\n";
const std::string kBgp =
    "[bgp]\nas = 64512\nid = \"10.0.0.1\"\nnext_hop = \"10.0.0.1\"\n[[bgp.router]]\naddress = "
    "\"10.0.0.2:179\"\nas = 64513\n";

TEST(OperatorFileTest, ReadsGroupAddressAndBgpTables) {
  const OperatorSettings all =
      parse_operator(kGroup + kAddress + "prefer = [\"a\"]\n" + kBgp, "o.toml");
  ASSERT_TRUE(all.group);
  EXPECT_EQ(all.group->name, "silverpin") << "defaults to the process's name";
  EXPECT_EQ(all.group->announce, "127.0.0.1:7946");
  EXPECT_EQ(all.group->initial_voters.names, (std::vector<std::string>{"a", "b"}));
  ASSERT_EQ(all.group->lease_manager.addresses.size(), 1u);
  EXPECT_EQ(all.group->lease_manager.addresses[0].preferred_instances,
            std::vector<std::string>{"a"});
  EXPECT_EQ(all.group->addresses[0].prefix, (bgp::Prefix{0x0a090001, 32}));
  ASSERT_TRUE(all.group->bgp);
  EXPECT_EQ(all.group->bgp->routers[0].as, 64513u);
  EXPECT_FALSE(parse_operator(kPool, "o.toml").group);
}

TEST(OperatorFileTest, ReportsEachErrorInGroupTables) {
  const auto group = [](const std::string& line) { return kGroup + line + kAddress + kBgp; };
  const std::vector<std::pair<std::string, std::string>> errors = {
      {kAddress, "o.toml:1: address: requires [group]"},
      {kBgp, "o.toml:1: bgp: requires [group]"},
      {"[group]\n", "o.toml:1: listen: is missing"},
      {"[group]\nlisten = \"here:1\"\n", "o.toml:2: listen: is not an IP address and port: here:1"},
      {"[group]\nlisten = \"0.0.0.0:1\"\n", "o.toml:1: announce: is required"},
      {"[group]\nlisten = \"127.0.0.1:1\"\n", "o.toml:1: networks: is missing"},
      {"[group]\nlisten = \"127.0.0.1:1\"\nnetworks = [\"10.0.0.1/8\"]\n",
       "o.toml:3: networks: contains an invalid network"},
      {group("seeds = [\"x\"]\n"), "o.toml:7: seeds: contains an invalid IP address and port: x"},
      {group("lease_ms = 5\n"), "o.toml:7: lease_ms: is 5; it must lie from 100 to 60000"},
      {group("withdraw_lead_ms = 500\n"), "o.toml:7: withdraw_lead_ms: is more than half"},
      {group("patience_ms = 501\n"), "o.toml:7: patience_ms: is more than half of lease_ms"},
      {group("overlap_ms = 1001\n"), "o.toml:7: overlap_ms: is longer than lease_ms"},
      {group("memcache_service = \"x\"\n"), "memcache_service names no [[address]]: x"},
      {group("frob = 1\n"), "o.toml:7: frob: is not known here"},
      {kGroup + "[[address]]\nname = \"svc\"\n", "o.toml:8: name: needs a prefix"},
      {kGroup + "[[address]]\nname = \"svc\"\nprefix = \"10.0.0.1/8\"\n",
       "o.toml:9: prefix: has bits set beyond its prefix length"},
      {kGroup + "[[address]]\nname = \"svc\"\nprefix = \"10.0.0.1/40\"\n",
       "o.toml:9: prefix: is not an IPv4 address or network"},
      {kGroup + "[[address]]\nname = \"svc\"\nclaim = [\"x\"]\nrelease = [\"/x\"]\n",
       "o.toml:9: claim: must start with the absolute path of a program"},
      {kGroup + kAddress, "svc has a prefix, but there is no [bgp]"},
      {kGroup + kAddress + kAddress, "o.toml:11: name: is used by two addresses"},
      {kGroup + kBgp, "bgp: has no [[address]] with a prefix to announce"},
      {kGroup + kAddress + "[bgp]\nas = 0\n", "o.toml:11: as: is 0; it must lie from 1"},
      {kGroup + kAddress + "[bgp]\nas = 1\nid = \"x\"\n",
       "o.toml:12: id: is not an IPv4 address: x"},
      {kGroup + kAddress + kBgp + "[[bgp.router]]\naddress = \"10.0.0.2:179\"\nas = 1\n",
       "o.toml:18: address: is used by two routers"},
      {kPool + "[[listener]]\nname = \"l\"\naddress = \"127.0.0.1:1\"\npool = \"p\"\nservice = "
               "\"svc\"\n",
       "listener: l: service names no [[address]]: svc"},
      {kPool + "[[listener]]\nname = \"l\"\naddress = \"127.0.0.1:0\"\npool = \"p\"\nservice = "
               "\"svc\"\n",
       "address: must have a fixed port"},
      {kGroup.substr(0, kGroup.find("voters")) +
           "voters = [\"1\",\"2\",\"3\",\"4\",\"5\",\"6\",\"7\",\"8\"]\n",
       "o.toml:6: voters: must contain at most 7 names, all different"},
      {kGroup.substr(0, kGroup.find("voters")) + "voters = [\"1\",\"1\"]\n",
       "o.toml:6: voters: must contain at most 7 names, all different"},
  };
  for (const auto& [text, expected] : errors) {
    const auto error = error_of(text);
    EXPECT_NE(error.find(expected), std::string::npos) << text << "\n" << error;
  }
}

// No default and no bound of member or node counts may be below the size of the largest fleets.
TEST(OperatorFileTest, AcceptsThousandsOfBalancersAndNodes) {
  const OperatorSettings defaults = parse_operator(kGroup + kAddress + kBgp + kPool, "o.toml");
  EXPECT_GE(defaults.group->membership.max_members, 1024u);
  EXPECT_GE(defaults.pools[0].cluster.max_nodes, 1024u);
  const OperatorSettings largest =
      parse_operator(kGroup + "most_members = 16384\n" + kAddress + kBgp + kPool +
                         "most_nodes = 16384\nbalancers = 16384\n",
                     "o.toml");
  EXPECT_EQ(largest.group->membership.max_members, 16384u);
  EXPECT_EQ(largest.pools[0].cluster.max_nodes, 16384u);
  EXPECT_EQ(largest.pools[0].site.policy.balancers, 16384);
}

}  // namespace
}  // namespace balancer
