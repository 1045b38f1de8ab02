#include "settings/group_file.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <set>
#include <utility>

#include "lease/voter.h"
#include "settings/addresses.h"
#include "settings/toml_keys.h"

namespace balancer {
namespace {

constexpr std::size_t kMaxAddresses = 64, kMaxRouters = 16, kMaxCommunities = 16;

std::optional<std::uint32_t> parse_ipv4(const std::string& text) {
  in_addr a{};
  if (::inet_pton(AF_INET, text.c_str(), &a) != 1) return std::nullopt;
  return ntohl(a.s_addr);
}

std::uint32_t read_ipv4(TomlTable& keys, std::string_view key) {
  std::string text = keys.text(key, "");
  if (text.empty()) keys.fail(key, "is missing");
  const auto address = parse_ipv4(text);
  if (!address) keys.fail(key, "is not an IPv4 address: " + text);
  return *address;
}

std::uint32_t read_asn(TomlTable& keys, std::string_view key) {
  if (!keys.has(key)) keys.fail(key, "is missing");
  return static_cast<std::uint32_t>(keys.number(key, 0, 1, 4294967294.0));
}

// Parses a community of RFC 1997, such as "64512:100".
std::uint32_t parse_community(TomlTable& keys, const std::string& text) {
  unsigned high = 0, low = 0;
  const char* const end = text.data() + text.size();
  const auto [colon, error] = std::from_chars(text.data(), end, high);
  if (error == std::errc{} && colon != end && *colon == ':' && high <= 65535) {
    const auto [last, e] = std::from_chars(colon + 1, end, low);
    if (e == std::errc{} && last == end && low <= 65535) return high << 16 | low;
  }
  keys.fail("communities",
            "contains an invalid community (expected a form such as 64512:100): " + text);
}

std::string read_endpoint(TomlTable& keys, std::string_view key, bool required) {
  std::string text = keys.text(key, "");
  if (text.empty() && required) keys.fail(key, "is missing");
  if (!text.empty() && !is_address(text, false))
    keys.fail(key, "is not an IP address and port: " + text);
  return text;
}

std::vector<std::string> read_names(TomlTable& keys, std::string_view key) {
  auto all = keys.strings(key);
  for (const auto& n : all)
    if (n.empty() || n.size() > 64 || n.find_first_of(" \t\"\\") != std::string::npos)
      keys.fail(key, "contains an invalid name: " + n);
  return all;
}

void read_times(TomlTable& keys, GroupSettings& g) {
  auto& t = g.lease_manager.times;
  t.duration = keys.time("lease_ms", 1e-3, 1000, 100, 60'000);
  t.max_clock_drift = keys.number("drift", 0.01, 0, 0.2);
  t.withdraw_lead = keys.time("withdraw_lead_ms", 1e-3, 150, 1, 30'000);
  t.overlap = keys.time("overlap_ms", 1e-3, 300, 0, 30'000);
  t.round_timeout = keys.time("patience_ms", 1e-3, 150, 5, 30'000);
  // A holder renews every quarter of the lease; at least two renewals must be possible before
  // withdraw_lead begins.
  if (t.withdraw_lead > t.holder_duration(t.duration) / 2)
    keys.fail("withdraw_lead_ms",
              "is more than half of the time for which a holder may use its lease");
  if (t.round_timeout > t.duration / 2) keys.fail("patience_ms", "is more than half of lease_ms");
  if (t.overlap > t.duration) keys.fail("overlap_ms", "is longer than lease_ms");
  g.lease_manager.settle_time = keys.time("settle_ms", 1e-3, 5000, 0, 3'600'000);
  g.lease_manager.min_move_interval = keys.time("between_moves_ms", 1e-3, 10'000, 0, 3'600'000);
  g.drain = keys.time("drain_ms", 1e-3, 3000, 0, 600'000);
}

void read_group_table(TomlTable& keys, GroupSettings& g, const std::string& process_name) {
  g.name = keys.has("name") ? keys.name("name") : process_name;
  if (g.name.size() > 64) keys.fail("name", "is longer than 64 characters");
  g.listen = read_endpoint(keys, "listen", true);
  g.announce = read_endpoint(keys, "announce", false);
  if (g.announce.empty()) g.announce = g.listen;
  if (g.announce.starts_with("0.0.0.0:") || g.announce.starts_with("[::]:"))
    keys.fail("announce", "is required: other members cannot send to " + g.announce);
  for (const auto& seed : keys.strings("seeds")) {
    if (!is_address(seed, false))
      keys.fail("seeds", "contains an invalid IP address and port: " + seed);
    g.membership.seeds.push_back(seed);
  }
  g.networks = keys.strings("networks");
  if (g.networks.empty())
    keys.fail("networks", "is missing: it lists the networks whose datagrams are accepted");
  for (const auto& network : g.networks)
    if (!is_network(network))
      keys.fail("networks",
                "contains an invalid network (expected a form such as 10.1.0.0/16): " + network);
  g.key_file = keys.text("key_file", "");
  if (g.key_file.empty()) keys.fail("key_file", "is missing");
  g.key_change_time = keys.time("key_change_s", 1, 60, 1, 86'400);
  g.folder = keys.text("folder", "");
  if (g.folder.empty()) keys.fail("folder", "is missing");
  g.initial_voters.names = read_names(keys, "voters");
  std::sort(g.initial_voters.names.begin(), g.initial_voters.names.end());
  if (g.initial_voters.names.empty()) keys.fail("voters", "is missing");
  if (!lease::is_valid(g.initial_voters))
    keys.fail("voters", "must contain at most " + std::to_string(lease::kMaxVoters) +
                            " names, all different");
  g.membership.probe_period = keys.time("probe_ms", 1e-3, 200, 20, 60'000);
  g.membership.max_probe_timeout =
      std::max<Duration>(g.membership.min_probe_timeout, g.membership.probe_period * 3 / 4);
  g.membership.suspicion_multiplier = keys.number("suspicion", 3, 1, 100);
  g.membership.max_members = static_cast<std::size_t>(keys.integer(
      "most_members", static_cast<int>(g.membership.max_members), 2, membership::kMaxMembers));
  read_times(keys, g);
  g.eligibility.lateness_threshold = keys.time("late_ms", 1e-3, 250, 5, 60'000);
  g.eligibility.max_late_checks = static_cast<std::size_t>(keys.integer("late_times", 3, 1, 100));
  g.eligibility.grace_period = keys.time("missing_ms", 1e-3, 300, 0, 60'000);
  g.eligibility.recovery_time = keys.time("steady_ms", 1e-3, 500, 0, 600'000);
  g.memcache_service = keys.text("memcache_service", "");
}

void read_address(TomlTable& keys, GroupSettings& g) {
  ServiceAddress a;
  a.name = keys.name("name");
  if (a.name.size() > 64) keys.fail("name", "is longer than 64 characters");
  if (g.address(a.name)) keys.fail("name", "is used by two addresses");
  if (g.addresses.size() >= kMaxAddresses)
    keys.fail("name", "exceeds the maximum number of addresses");
  if (keys.has("prefix")) {
    std::string text = keys.text("prefix", "");
    int length = 32;
    if (const auto slash = text.find('/'); slash != std::string::npos) {
      const char* const end = text.data() + text.size();
      const auto [last, error] = std::from_chars(text.data() + slash + 1, end, length);
      if (error != std::errc{} || last != end) length = -1;
      text.resize(slash);
    }
    const auto ip = parse_ipv4(text);
    if (!ip || length < 1 || length > 32) keys.fail("prefix", "is not an IPv4 address or network");
    if (length < 32 && (*ip << length) != 0)
      keys.fail("prefix", "has bits set beyond its prefix length");
    a.prefix = bgp::Prefix{*ip, static_cast<std::uint8_t>(length)};
  }
  a.claim = keys.strings("claim");
  a.release = keys.strings("release");
  a.command_limit = keys.time("command_limit_ms", 1e-3, 1000, 10, 60'000);
  if (a.prefix && (!a.claim.empty() || !a.release.empty()))
    keys.fail("claim", "claim and release cannot be combined with prefix");
  if (!a.prefix && (a.claim.empty() || a.release.empty()))
    keys.fail("name", "needs a prefix, or both claim and release");
  for (const auto* command : {&a.claim, &a.release})
    if (!command->empty() && !command->front().starts_with('/'))
      keys.fail(command == &a.claim ? "claim" : "release",
                "must start with the absolute path of a program");
  lease::AddressPreference preference{a.name, read_names(keys, "prefer")};
  g.lease_manager.addresses.push_back(std::move(preference));
  g.addresses.push_back(std::move(a));
}

void read_bgp(TomlTable& keys, GroupSettings& g) {
  BgpSettings b;
  b.session.local_as = b.speaker.local_as = read_asn(keys, "as");
  b.session.id = read_ipv4(keys, "id");
  if (b.session.id == 0) keys.fail("id", "must not be 0.0.0.0");
  b.speaker.next_hop = read_ipv4(keys, "next_hop");
  b.session.hold_time = keys.time("hold_s", 1, 9, 3, 3600);
  b.session.initial_retry_delay = keys.time("retry_ms", 1e-3, 500, 50, 60'000);
  b.session.max_retry_delay = keys.time("longest_retry_ms", 1e-3, 30'000, 50, 3'600'000);
  if (b.session.max_retry_delay < b.session.initial_retry_delay)
    keys.fail("longest_retry_ms", "is less than retry_ms");
  b.session.connect_timeout = keys.time("connect_ms", 1e-3, 3000, 10, 60'000);
  b.speaker.claim_timeout = keys.time("claim_ms", 1e-3, 500, 10, 60'000);
  b.speaker.min_routers = static_cast<std::size_t>(keys.integer("routers_needed", 1, 1, 16));
  for (const auto& text : keys.strings("communities"))
    b.speaker.communities.push_back(parse_community(keys, text));
  if (b.speaker.communities.size() > kMaxCommunities)
    keys.fail("communities", "contains more than " + std::to_string(kMaxCommunities));
  b.source = keys.text("source", "");
  if (!b.source.empty() && !parse_ipv4(b.source))
    keys.fail("source", "is not an IPv4 address: " + b.source);
  b.listen = read_endpoint(keys, "listen", false);
  keys.tables("router", [&](TomlTable& k) {
    BgpRouter r;
    r.address = read_endpoint(k, "address", true);
    r.as = read_asn(k, "as");
    for (const auto& other : b.routers)
      if (other.address == r.address) k.fail("address", "is used by two routers");
    if (b.routers.size() >= kMaxRouters) k.fail("address", "exceeds the maximum number of routers");
    b.routers.push_back(std::move(r));
  });
  if (b.routers.empty()) keys.fail("router", "at least one [[bgp.router]] is required");
  if (b.speaker.min_routers > b.routers.size())
    keys.fail("routers_needed", "is more than the number of routers");
  g.bgp = std::move(b);
}

}  // namespace

const ServiceAddress* GroupSettings::address(const std::string& address_name) const {
  for (const auto& a : addresses)
    if (a.name == address_name) return &a;
  return nullptr;
}

std::optional<GroupSettings> read_group(TomlTable& root, const std::string& process_name) {
  GroupSettings g;
  if (!root.has("group")) {
    for (const char* key : {"address", "bgp"})
      if (root.has(key)) root.fail(key, "requires [group]");
    return std::nullopt;
  }
  root.table("group", [&](TomlTable& k) {
    read_group_table(k, g, process_name);
    g.fixed_settings += k.serialize();
  });
  root.tables("address", [&](TomlTable& k) {
    read_address(k, g);
    g.fixed_settings += k.serialize();
  });
  if (root.has("bgp"))
    root.table("bgp", [&](TomlTable& k) {
      read_bgp(k, g);
      g.fixed_settings += k.serialize();
    });
  for (const auto& a : g.addresses)
    if (a.prefix && !g.bgp) root.fail("address", a.name + " has a prefix, but there is no [bgp]");
  if (g.bgp && std::none_of(g.addresses.begin(), g.addresses.end(),
                            [](const auto& a) { return a.prefix.has_value(); }))
    root.fail("bgp", "has no [[address]] with a prefix to announce");
  if (!g.memcache_service.empty() && !g.address(g.memcache_service))
    root.fail("group", "memcache_service names no [[address]]: " + g.memcache_service);
  return g;
}

}  // namespace balancer
