#include "testbed/model/scenario.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>
#include <numeric>
#include <set>
#include <sstream>
#include <tuple>

#include "settings/toml_keys.h"
#include "testbed/faults/fault_plan.h"

namespace balancer::testbed {
namespace {

constexpr std::array<std::pair<const char*, What>, 31> kIncidentNames{{
    {"kill", What::kKill},
    {"restart", What::kRestart},
    {"replace", What::kReplace},
    {"drain", What::kDrain},
    {"pause", What::kPause},
    {"hang", What::kHang},
    {"slow", What::kSlow},
    {"errors", What::kErrors},
    {"resets", What::kResets},
    {"refuse", What::kRefuse},
    {"silent", What::kSilent},
    {"spoil", What::kSpoil},
    {"flush", What::kFlush},
    {"burst", What::kBurst},
    {"demand", What::kDemand},
    {"discovery-down", What::kDiscoveryDown},
    {"balancer-restart", What::kBalancerRestart},
    {"balancer-kill", What::kBalancerKill},
    {"balancer-reload", What::kBalancerReload},
    {"balancer-stop", What::kBalancerStop},
    {"link-stall", What::kLinkStall},
    {"link-delay", What::kLinkDelay},
    {"link-reset", What::kLinkReset},
    {"move-slots", What::kMoveSlots},
    {"failover", What::kFailover},
    {"jam", What::kJam},
    {"address-move", What::kAddressMove},
    {"holder-restart", What::kHolderRestart},
    {"holder-kill", What::kHolderKill},
    {"holder-stop", What::kHolderStop},
    {"holder-cut", What::kHolderCut},
}};

constexpr std::array<std::pair<const char*, Cancel>, 3> kCancels{
    {{"none", Cancel::kNone}, {"queued", Cancel::kQueued}, {"all", Cancel::kAll}}};
constexpr std::array<std::pair<const char*, Effect>, 3> kEffects{
    {{"safe", Effect::kSafe}, {"keyed", Effect::kKeyed}, {"unsafe", Effect::kUnsafe}}};
constexpr std::array<std::pair<const char*, Reads>, 3> kReadPolicies{
    {{"primary", Reads::kPrimary}, {"replica", Reads::kReplica}, {"any", Reads::kAny}}};
constexpr std::array<std::pair<const char*, Backoff>, 3> kBackoffs{
    {{"none", Backoff::kNone}, {"fixed", Backoff::kFixed}, {"exp", Backoff::kExponential}}};
constexpr std::array<std::pair<const char*, bool>, 2> kWarmUpModes{
    {{"time", false}, {"work", true}}};
constexpr std::array<std::pair<const char*, bool>, 2> kDiscoveryModes{
    {{"push", false}, {"ask", true}}};
// Directions of a link: to the host, to the balancer.
constexpr std::array<std::pair<const char*, std::pair<bool, bool>>, 3> kLinkDirections{
    {{"both", {true, true}}, {"to-host", {true, false}}, {"to-balancer", {false, true}}}};

HostSpec read_host(TomlTable& k, const HostSpec& d) {
  HostSpec h;
  h.cores = k.integer("cores", d.cores, 1, 256);
  h.slots = k.integer("slots", d.slots, 1, 10'000);
  h.waiting = k.integer("waiting", d.waiting, 0, 100'000);
  h.crowded_at = k.number("crowded_at", d.crowded_at, 0, 1e4);
  h.crowded_loss = k.number("crowded_loss", d.crowded_loss, 0, 0.9);
  h.cold_share = k.number("cold_share", d.cold_share, 0.01, 1);
  h.cold_time = k.time("cold_s", 1, seconds(d.cold_time), 0, 600);
  h.warms_by_work = k.choice("warms_by", false, kWarmUpModes);
  h.tip_multiple = k.number("tip_multiple", d.tip_multiple, 0, 1e3);
  h.tip_time = k.time("tip_s", 1, seconds(d.tip_time), 0, 600);
  h.cancel = k.choice("cancel", d.cancel, kCancels);
  return h;
}

void read_load(TomlTable& k, LoadSpec& l) {
  l.rate = k.number("rate", l.rate, 0.1, 20'000);
  l.keys = k.integer("keys", l.keys, 1, 5'000'000);
  l.zipf = k.number("zipf", l.zipf, 0, 3);
  l.drift_per_s = k.number("drift_per_s", 0, 0, 1e5);
  l.value_bytes = k.range<Range>("value_bytes", l.value_bytes, 0, 65'536);
  l.retries = k.integer("retries", 0, 0, 10);
  l.backoff = k.choice("backoff", Backoff::kNone, kBackoffs);
  l.backoff_ms = k.number("backoff_ms", l.backoff_ms, 0, 10'000);
  l.honour = k.number("honour", l.honour, 0, 1);
  l.try_share = k.range<Range>("try_share", l.try_share, 0.05, 1);
  l.churn = k.number("churn", 0, 0, 1);
  l.impatient = k.number("impatient", 0, 0, 1);
  l.rude_per_s = k.number("rude_per_s", 0, 0, 1000);
  l.front_notice_s = k.number("front_notice_s", l.front_notice_s, 0, 60);
}

bool affects_hosts(What what) { return what <= What::kFlush; }
bool affects_links(What what) { return what >= What::kLinkStall && what <= What::kLinkReset; }
bool affects_clusters(What what) { return what >= What::kMoveSlots && what <= What::kJam; }
bool affects_holder(What what) { return what >= What::kAddressMove; }

int find_cluster(TomlTable& k, const Scenario& s, const std::string& name) {
  for (std::size_t i = 0; i < s.clusters.size(); ++i)
    if (s.clusters[i].name == name) return static_cast<int>(i);
  k.fail("cluster", "no cluster has the name '" + name + "'");
}

void read_cluster(TomlTable& k, Scenario& s) {
  ClusterSpec c;
  c.name = k.name("name");
  for (const ClusterSpec& other : s.clusters)
    if (other.name == c.name) k.fail("name", "is already the name of another cluster");
  c.primaries = k.integer("primaries", 3, 1, 64);
  c.replicas = k.integer("replicas", 0, 0, 5);
  c.lag = k.time("replica_lag_ms", 1e-3, 0, 0, 60'000);
  c.speed = k.range<Range>("speed", {1, 1}, 0.01, 100);
  c.pipeline = k.integer("pipeline", 1, 1, 256);
  c.by_slot = k.flag("by_slot", false);
  c.slow_after_ms = k.number("slow_after_ms", 2, 0.05, 60'000);
  s.clusters.push_back(c);
}

// In a cluster, reads and writes are distinguished by their command, and classes by their keys.
void read_class_of_cluster(TomlTable& k, const Scenario& s, ClassSpec& c) {
  c.cluster = find_cluster(k, s, k.text("cluster", ""));
  c.prefix = k.text("prefix", "");
  c.reads = k.choice("reads", Reads::kPrimary, kReadPolicies);
  if (c.effect == Effect::kKeyed) k.fail("effect", "nodes of a cluster discard no repeats");
  if (c.write() && c.reads != Reads::kPrimary) k.fail("reads", "replicas accept no writes");
  for (const ClassSpec& other : s.classes)
    if (other.cluster == c.cluster && other.write() == c.write() && other.prefix == c.prefix)
      k.fail("prefix", "is that of '" + other.name + "' too: the two cannot be told apart");
}

void read_incident(TomlTable& k, Scenario& s) {
  IncidentSpec i;
  i.line = k.line();
  if (!k.has("what")) k.fail("what", "is missing");
  i.what = k.choice("what", What::kPause, kIncidentNames);
  i.at = k.time("at_s", 1, 0, 0, seconds(s.length));
  i.length = k.time("for_s", 1, 0, 0, 3600);
  i.host = k.text("host", "");
  i.kind = k.text("kind", "");
  i.zone = k.text("zone", "");
  i.tenant = k.text("tenant", "");
  i.share = k.number("share", 1, 0, 1);
  i.factor = k.number("factor", 1, 0, 1000);
  i.balancer = k.integer("balancer", -1, 0, 1000);
  if (affects_clusters(i.what)) i.cluster = find_cluster(k, s, k.text("cluster", ""));
  i.stagger = k.time("stagger_s", 1, 0, 0, 600);
  i.drain = k.time("drain_s", 1, 0, 0, 600);
  const auto exists = [](const auto& all, const std::string& name) {
    return name.empty() ||
           std::any_of(all.begin(), all.end(), [&](const auto& x) { return x.name == name; });
  };
  if (!exists(s.kinds, i.kind)) k.fail("kind", "no kind has the name '" + i.kind + "'");
  if (!exists(s.zones, i.zone)) k.fail("zone", "no zone has the name '" + i.zone + "'");
  if (!exists(s.tenants, i.tenant)) k.fail("tenant", "no tenant has the name '" + i.tenant + "'");
  if (!i.host.empty() && i.host != "origin") {
    const bool good = i.host.size() > 1 && i.host[0] == 'h' && i.host.size() < 8 &&
                      i.host.find_first_not_of("0123456789", 1) == std::string::npos &&
                      std::stol(i.host.substr(1)) < s.hosts();
    if (!good) k.fail("host", "must be 'origin' or h0 to h" + std::to_string(s.hosts() - 1));
  }
  if (i.balancer >= s.balancers)
    k.fail("balancer", "must lie from 0 to " + std::to_string(s.balancers - 1));
  if (i.what == What::kBurst && i.tenant.empty())
    k.fail("tenant", "is missing: a burst needs a tenant");
  if (affects_links(i.what))
    std::tie(i.to_host, i.to_balancer) = k.choice("way", std::pair(true, true), kLinkDirections);
  if (!affects_hosts(i.what) && !affects_links(i.what) && !(i.host + i.kind + i.zone).empty())
    k.fail("what", "'" + std::string(name_of(i.what)) + "' does not affect hosts");
  const bool needs_length =
      i.what == What::kPause || i.what == What::kHang || i.what == What::kSlow ||
      i.what == What::kErrors || i.what == What::kResets || i.what == What::kRefuse ||
      i.what == What::kSilent || i.what == What::kSpoil || i.what == What::kBurst ||
      i.what == What::kDemand || i.what == What::kDiscoveryDown || i.what == What::kMoveSlots ||
      i.what == What::kJam || i.what == What::kHolderStop || i.what == What::kHolderCut ||
      i.what == What::kBalancerStop || affects_links(i.what);
  if (needs_length && i.length == Duration{0})
    k.fail("for_s", "is missing: this incident needs a length");
  if (i.what == What::kFailover && s.clusters[static_cast<std::size_t>(i.cluster)].replicas == 0)
    k.fail("cluster", "has no replica that could take over");
  if (affects_holder(i.what) && s.group_voters == 0)
    k.fail("what", "'" + std::string(name_of(i.what)) + "' needs [group]");
  const Duration every = k.time("every_s", 1, 0, 0, 3600);
  do {
    s.incidents.push_back(i);
    i.at += every;
  } while (every > Duration{0} && i.at < s.length);
}

void read_scenario(TomlTable& k, Scenario& s) {
  s.name = k.name("name");
  s.about = k.text("about", "");
  s.seed = static_cast<std::uint64_t>(k.integer("seed", 1, 0, 1 << 30));
  s.length = k.time("length_s", 1, 20, 1, 7200);
  s.warm_up = k.time("warm_up_s", 1, 2, 0, seconds(s.length) / 2);
  k.table("balancers", [&](TomlTable& b) {
    s.balancers = b.integer("count", 1, 1, 64);
    s.memory_mb = b.integer("memory_mb", 192, 32, 65'536);
    s.sockets = b.integer("sockets", 1024, 64, 1 << 20);
    s.max_attempts = b.integer("max_attempts", 6, 1, 100);
    s.max_retry_after = b.time("max_retry_after_ms", 1e-3, 2000, 0, 60'000);
    s.connect_timeout = b.time("connect_timeout_ms", 1e-3, 150, 1, 10'000);
    s.connection_idle = b.time("connection_idle_s", 1, 15, 1, 600);
    s.streams = b.integer("streams", 32, 1, 1000);
    s.faults = b.text("faults", "");
    if (!FaultPlan::parse(s.faults))
      b.fail("faults", "must be a list of NAME=NUMBER with known names");
  });
  if (k.has("group"))
    k.table("group", [&](TomlTable& g) {
      s.group_voters = g.integer("voters", std::min(s.balancers, 3), 1, 7);
      if (s.group_voters > s.balancers) g.fail("voters", "exceeds the number of balancers");
    });
  k.tables("zone", [&](TomlTable& z) {
    s.zones.push_back({z.name("name"), z.number("clients", 1, 0, 1e6)});
  });
  if (s.zones.empty()) s.zones.push_back({"a", 1});
  k.tables("cluster", [&](TomlTable& c) { read_cluster(c, s); });
  k.tables("class", [&](TomlTable& c) {
    ClassSpec spec;
    spec.name = c.name("name");
    spec.share = c.number("share", 1, 0, 1e6);
    spec.work_ms = c.number("work_ms", 10, 0.001, 60'000);
    spec.cv = c.number("cv", 1, 0, 10);
    spec.hint_noise = c.number("hint_noise", 0.3, -1, 5);
    spec.aim = c.time("aim_ms", 1e-3, 300, 1, 600'000);
    spec.deadline = c.time("deadline_ms", 1e-3, 1000, 1, 600'000);
    if (spec.deadline < spec.aim) c.fail("deadline_ms", "is shorter than the aim");
    spec.worth = c.number("worth", 1, 0, 1e6);
    spec.late_worth = c.number("late_worth", 0, 0, 1);
    spec.effect = c.choice("effect", Effect::kSafe, kEffects);
    spec.window = c.time("window_ms", 1e-3, 10'000, 1, 600'000);
    if (c.has("cluster")) read_class_of_cluster(c, s, spec);
    s.classes.push_back(spec);
  });
  if (s.classes.empty()) k.fail("class", "at least one is required");
  k.tables("tenant", [&](TomlTable& t) {
    s.tenants.push_back(
        {t.name("name"), t.number("share", 1, 0, 1e6), t.number("quota_per_s", 0, 0, 1e6)});
  });
  if (s.tenants.empty()) s.tenants.push_back({"all", 1, 0});
  HostSpec host;
  host.cold_share = 0.16;
  host.cold_time = std::chrono::seconds(10);
  host.tip_multiple = 3;
  host.tip_time = std::chrono::seconds(3);
  k.tables("kind", [&](TomlTable& h) {
    KindSpec spec;
    spec.name = h.name("name");
    if (spec.name == "origin") h.fail("name", "'origin' is reserved for the origin");
    spec.count = h.integer("count", 1, 1, 1000);
    spec.host = read_host(h, host);
    spec.speed = h.range<Range>("speed", {1, 1}, 0.01, 100);
    spec.zones = h.list("zones", s.zones.size());
    spec.memory_mb = h.number("memory_mb", 16, 0.01, 1024);
    spec.connections = h.integer("connections", 256, 1, 65'536);
    spec.handshake_us = h.number("handshake_us", 300, 0, 1e6);
    spec.miss_us = h.number("miss_us", 300, 0, 1e6);
    spec.error_rate = h.number("error_rate", 0, 0, 1);
    s.kinds.push_back(spec);
  });
  if (s.kinds.empty() && s.memcache()) k.fail("kind", "at least one is required");
  if (s.group_voters > 0 && (s.memcache() || s.clusters.size() != 1 || s.clusters[0].by_slot))
    k.fail("group",
           "needs exactly one cluster, which serves all classes and whose clients do not use "
           "cluster mode");
  HostSpec origin;
  origin.cores = 8;
  origin.slots = 16;
  origin.waiting = 200;
  k.table("origin", [&](TomlTable& o) {
    s.origin.host = read_host(o, origin);
    s.origin.read_ms = o.number("read_ms", 20, 0.01, 60'000);
    s.origin.write_ms = o.number("write_ms", 40, 0.01, 60'000);
    s.origin.cv = o.number("cv", 0.6, 0, 10);
    s.origin.connections = o.integer("connections", 1024, 1, 65'536);
  });
  k.table("discovery", [&](TomlTable& d) {
    s.discovery.ask = d.choice("mode", false, kDiscoveryModes);
    s.discovery.delay_ms = d.range<Range>("delay_ms", {100, 500}, 0, 60'000);
  });
  k.table("load", [&](TomlTable& l) { read_load(l, s.load); });
  k.table("rules", [&](TomlTable& r) {
    s.rules.drain_grace = r.time("drain_grace_ms", 1e-3, 2000, 0, 600'000);
    s.rules.answer_slack = r.time("answer_slack_ms", 1e-3, 70, 0, 10'000);
  });
  k.tables("incident", [&](TomlTable& i) { read_incident(i, s); });
  k.finish();
}

}  // namespace

const char* name_of(What what) {
  for (const auto& [word, meaning] : kIncidentNames)
    if (meaning == what) return word;
  return "?";
}

int Scenario::hosts() const {
  int n = 0;
  for (const KindSpec& k : kinds) n += k.count;
  return n;
}

bool Scenario::troubles_links() const {
  return std::any_of(incidents.begin(), incidents.end(),
                     [](const IncidentSpec& i) { return affects_links(i.what); });
}

std::vector<int> Scenario::balancers_struck(const IncidentSpec& i) const {
  if (i.balancer >= 0) return {i.balancer};
  std::vector<int> all(static_cast<std::size_t>(balancers));
  std::iota(all.begin(), all.end(), 0);
  Random draw(seed, 3000 + static_cast<std::uint64_t>(i.line));
  for (std::size_t n = all.size(); n > 1; --n) std::swap(all[n - 1], all[draw.below(n)]);
  all.resize(static_cast<std::size_t>(std::ceil(i.share * static_cast<double>(all.size()))));
  std::sort(all.begin(), all.end());
  return all;
}

bool Scenario::memcache() const {
  return std::any_of(classes.begin(), classes.end(),
                     [](const ClassSpec& c) { return c.cluster < 0; });
}

long Scenario::descriptors() const {
  // Listeners, connections from the balancers to hosts, client connections (both ends count where
  // they are in the emulator), the log pipes and some descriptors for the program itself.
  long nodes = 0;
  for (const ClusterSpec& c : clusters) nodes += 2L * c.primaries * (1 + c.replicas) + balancers;
  // A link has a listener and two descriptors for each connection.
  const long links = troubles_links() ? balancers * (hosts() + 1L + 2L * sockets) : 0;
  return hosts() + nodes + links + balancers * (3L + sockets) + 64;
}

Scenario parse_scenario(const std::string& text, const std::string& file) {
  Scenario s;
  s.file = file;
  try {
    const toml::table root = toml::parse(text, file);
    TomlTable keys(root, s.file);
    read_scenario(keys, s);
  } catch (const toml::parse_error& e) {
    throw_file_error(file, static_cast<int>(e.source().begin.line), "",
                     std::string(e.description()));
  }
  return s;
}

Scenario load_scenario(const std::string& file) {
  std::ifstream in(file);
  if (!in) throw ScenarioError(file + ": cannot be read");
  std::ostringstream text;
  text << in.rdbuf();
  return parse_scenario(text.str(), file);
}

void check_machine(const Scenario& s, long descriptor_limit) {
  if (s.descriptors() > descriptor_limit)
    throw ScenarioError(s.file + ": needs " + std::to_string(s.descriptors()) +
                        " descriptors; this process may hold " + std::to_string(descriptor_limit));
}

}  // namespace balancer::testbed
