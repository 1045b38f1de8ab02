#include "settings/operator.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <utility>

#include "cluster/commands.h"
#include "settings/addresses.h"
#include "settings/toml_keys.h"

namespace balancer {
namespace {

constexpr std::array<std::pair<const char*, Idempotency>, 3> kEffects{
    {{"safe", Idempotency::kIdempotent},
     {"keyed", Idempotency::kIdempotencyKey},
     {"unsafe", Idempotency::kNone}}};
constexpr std::array<std::pair<const char*, cluster::ReadPreference>, 3> kReads{
    {{"primary", cluster::ReadPreference::kPrimary},
     {"replica", cluster::ReadPreference::kReplica},
     {"any", cluster::ReadPreference::kAny}}};
constexpr std::size_t kMaxClasses = 64, kMaxTenants = 1024;

std::string read_address(TomlTable& keys, std::string_view key, const std::string& fallback,
                         bool port_zero) {
  std::string text = keys.text(key, fallback);
  if (!text.empty() && !is_address(text, port_zero))
    keys.fail(key, "is not an IP address and port: " + text);
  return text;
}

std::vector<std::string> read_addresses(TomlTable& keys, std::string_view key) {
  auto all = keys.strings(key);
  for (const auto& text : all)
    if (!is_address(text, false))
      keys.fail(key, is_host_name_and_port(text)
                         ? "contains a host name; host names are not resolved: " + text
                         : "contains an invalid IP address and port: " + text);
  return all;
}

void read_class(TomlTable& keys, RespPool& pool) {
  RespClass c;
  RequestClass r;
  c.name = keys.name("name");
  for (const auto& other : pool.classes)
    if (other.name == c.name) keys.fail("name", "is used by two classes");
  bool writes = false;
  for (std::string word : keys.strings("commands")) {
    std::transform(word.begin(), word.end(), word.begin(),
                   [](unsigned char ch) { return static_cast<char>(std::toupper(ch)); });
    if (word != "READ" && word != "WRITE") {
      const auto* info = cluster::find_command(word);
      if (!info) keys.fail("commands", word + " is not a known command");
      if (info->kind != cluster::CommandKind::kRead && info->kind != cluster::CommandKind::kWrite)
        keys.fail("commands", word + " is not a data command");
      writes = writes || info->kind == cluster::CommandKind::kWrite;
    }
    writes = writes || word == "WRITE";
    c.commands.push_back(std::move(word));
  }
  if (c.commands.empty()) keys.fail("commands", "is missing");
  c.prefix = keys.text("prefix", "");
  r.idempotency =
      keys.choice("effect", writes ? Idempotency::kNone : Idempotency::kIdempotent, kEffects);
  r.latency_objective = keys.time("aim_ms", 1e-3, 100, 1, 600'000);
  r.deadline = keys.time("deadline_ms", 1e-3, 1000, 1, 600'000);
  if (r.deadline < r.latency_objective) keys.fail("deadline_ms", "is less than aim_ms");
  c.reads = keys.choice("reads", cluster::ReadPreference::kPrimary, kReads);
  if (c.reads != cluster::ReadPreference::kPrimary && writes)
    keys.fail("reads", "replicas accept no writes, but this class contains write commands");
  c.key_argument = static_cast<std::size_t>(keys.integer("key_argument", 0, 0, 1024));
  r.deduplication_window = keys.time("window_ms", 1e-3, 0, 0, 3'600'000);
  if (r.idempotency == Idempotency::kIdempotencyKey &&
      (c.key_argument == 0 || r.deduplication_window == Duration{0}))
    keys.fail("effect", "keyed requires key_argument and window_ms");
  if (r.idempotency != Idempotency::kIdempotencyKey &&
      (c.key_argument > 0 || r.deduplication_window > Duration{0}))
    keys.fail("effect", "key_argument and window_ms are allowed in keyed classes only");
  if (pool.classes.size() >= kMaxClasses)
    keys.fail("name", "exceeds the maximum number of classes");
  pool.site.classes.push_back(c.name);
  pool.site.policy.classes.push_back(r);
  pool.classes.push_back(std::move(c));
}

// Adds the class of commands that no class of the file covers. Not added if a class covers all READ
// or WRITE commands: the policy's targets follow the shortest latency objective, and an unused
// class must not affect them.
void add_default_class(RespPool& pool, const std::string& name, const char* word,
                       Idempotency idempotency) {
  for (const RespClass& c : pool.classes)
    if (c.prefix.empty() &&
        std::find(c.commands.begin(), c.commands.end(), word) != c.commands.end())
      return;
  RequestClass r;
  r.idempotency = idempotency;
  r.latency_objective = std::chrono::milliseconds(100);
  r.deadline = std::chrono::milliseconds(1000);
  pool.site.classes.push_back(name);
  pool.site.policy.classes.push_back(r);
  pool.classes.push_back({name, {word}, "", cluster::ReadPreference::kPrimary, 0});
}

void read_pool(TomlTable& keys, OperatorSettings& all) {
  RespPool pool;
  pool.name = keys.name("name");
  if (all.pool(pool.name)) keys.fail("name", "is used by two pools");
  pool.cluster.seeds = read_addresses(keys, "seeds");
  if (pool.cluster.seeds.empty()) keys.fail("seeds", "is missing");
  pool.cluster.max_nodes = static_cast<std::size_t>(
      keys.integer("most_nodes", static_cast<int>(pool.cluster.max_nodes), 1, cluster::kSlots));
  pool.cluster.max_redirections = keys.integer("most_redirections", 5, 1, 16);
  pool.cluster.min_refresh_interval = keys.time("refresh_interval_ms", 1e-3, 100, 10, 60'000);
  pool.cluster.refresh_period = keys.time("refresh_every_ms", 1e-3, 10'000, 100, 3'600'000);
  pool.user = keys.text("user", "");
  pool.password = keys.text("password", "");
  if (!pool.user.empty() && pool.password.empty()) keys.fail("user", "has no password");
  pool.max_value = static_cast<std::size_t>(keys.integer("most_value_kb", 1024, 1, 65536)) << 10;
  pool.site.connect_timeout = keys.time("connect_timeout_ms", 1e-3, 250, 1, 60'000);
  pool.site.idle_close = keys.time("idle_close_ms", 1e-3, 15'000, 100, 3'600'000);
  pool.site.streams_per_connection = keys.integer("streams_per_connection", 128, 1, 1024);
  pool.site.shared_connections = keys.flag("shared_connections", true);
  pool.site.max_non_idempotent_per_connection =
      static_cast<std::size_t>(keys.integer("most_unsafe", 64, 1, 1024));
  pool.site.max_connections =
      static_cast<std::size_t>(keys.integer("most_connections", 128, 1, 20'000));
  pool.site.slow_after = keys.time("slow_after_ms", 1e-3, 2, 0.05, 60'000);
  pool.site.max_open_requests = keys.integer("most_held", 20'000, 1, 1'000'000);
  Settings& policy = pool.site.policy;
  policy.balancers = keys.integer("balancers", 1, 1, membership::kMaxMembers);
  policy.clients_know_windows = false;  // a RESP client sees no window
  policy.max_attempts = keys.integer("most_attempts", 8, 1, 32);
  policy.max_retry_after = keys.time("most_retry_after_ms", 1e-3, 1000, 0, 60'000);
  keys.tables("class", [&](TomlTable& k) { read_class(k, pool); });
  add_default_class(pool, "other-reads", "READ", Idempotency::kIdempotent);
  add_default_class(pool, "other-writes", "WRITE", Idempotency::kNone);
  keys.tables("tenant", [&](TomlTable& k) {
    RespTenant t;
    t.name = k.name("name");
    for (const auto& other : pool.tenants)
      if (other.name == t.name) k.fail("name", "is used by two tenants");
    if (k.has("password")) t.password = k.text("password", "");
    if (pool.tenants.size() >= kMaxTenants) k.fail("name", "exceeds the maximum number of tenants");
    policy.tenant_quotas.push_back(k.number("quota_per_s", 1e9, 0, 1e9));
    pool.site.tenants.push_back(t.name);
    pool.tenants.push_back(std::move(t));
  });
  pool.fixed_settings = keys.serialize_without("password");
  all.pools.push_back(std::move(pool));
}

void read_listener(TomlTable& keys, OperatorSettings& all) {
  RespListener l;
  l.name = keys.name("name");
  for (const auto& other : all.listeners)
    if (other.name == l.name) keys.fail("name", "is used by two listeners");
  if (!keys.has("address")) keys.fail("address", "is missing");
  l.address = read_address(keys, "address", "", true);
  for (const auto& other : all.listeners)
    if (other.address == l.address && !l.address.ends_with(":0"))
      keys.fail("address", "is used by two listeners");
  l.announce = read_address(keys, "announce", "", false);
  if (l.announce.empty() && (l.address.starts_with("0.0.0.0:") || l.address.starts_with("[::]:")))
    keys.fail("announce", "is required: clients cannot connect to " + l.address);
  l.peers = read_addresses(keys, "peers");
  l.pool = keys.name("pool");
  if (!all.pool(l.pool)) keys.fail("pool", "is not defined in this file: " + l.pool);
  if (keys.has("service")) l.service = keys.name("service");
  if (!l.service.empty() && l.address.ends_with(":0"))
    keys.fail("address",
              "must have a fixed port: the service address moves between instances together with "
              "its port");
  l.require_auth = keys.flag("require_auth", false);
  l.max_bulk = static_cast<std::size_t>(keys.integer("most_bulk_kb", 512, 1, 65536)) << 10;
  l.max_queued = static_cast<std::size_t>(keys.integer("most_queued", 128, 1, 4096));
  l.idle_close = keys.time("idle_close_ms", 1e-3, 300'000, 1000, 86'400'000);
  l.fixed_settings = keys.serialize_without("require_auth");
  all.listeners.push_back(std::move(l));
}

}  // namespace

const RespPool* OperatorSettings::pool(const std::string& name) const {
  for (const auto& p : pools)
    if (p.name == name) return &p;
  return nullptr;
}

std::vector<std::string> OperatorSettings::apply_reload(const OperatorSettings& changed) {
  std::vector<std::string> needs_restart;
  const auto match = [&needs_restart](auto& current, const auto& updated, const std::string& what,
                                      auto&& apply) {
    for (auto& m : current) {
      const auto it = std::find_if(updated.begin(), updated.end(),
                                   [&m](const auto& t) { return t.name == m.name; });
      if (it == updated.end() || it->fixed_settings != m.fixed_settings) {
        needs_restart.push_back(what + " " + m.name);
      } else {
        apply(m, *it);
      }
    }
    for (const auto& t : updated)
      if (std::none_of(current.begin(), current.end(),
                       [&t](const auto& m) { return m.name == t.name; }))
        needs_restart.push_back("new " + what + " " + t.name);
  };
  match(pools, changed.pools, "pool", [](RespPool& m, const RespPool& t) {
    m.password = t.password;
    m.tenants = t.tenants;
  });
  match(listeners, changed.listeners, "listener",
        [](RespListener& m, const RespListener& t) { m.require_auth = t.require_auth; });
  if (group.has_value() != changed.group.has_value() ||
      (group && group->fixed_settings != changed.group->fixed_settings))
    needs_restart.push_back("the group of balancers");
  return needs_restart;
}

OperatorSettings parse_operator(const std::string& text, const std::string& file) {
  OperatorSettings all;
  all.file = file;
  try {
    const toml::table root = toml::parse(text, file);
    TomlTable keys(root, all.file);
    keys.table("process", [&](TomlTable& k) {
      ProcessSettings& process = all.process;
      if (k.has("name")) process.name = k.name("name");
      process.log = k.text("log", "");
      process.memory_mb = static_cast<std::size_t>(k.integer("memory_mb", 512, 32, 1 << 20));
      process.sockets = static_cast<std::size_t>(k.integer("sockets", 4096, 64, 1 << 20));
    });
    keys.tables("pool", [&](TomlTable& k) { read_pool(k, all); });
    keys.tables("listener", [&](TomlTable& k) { read_listener(k, all); });
    all.group = read_group(keys, all.process.name);
    for (const auto& l : all.listeners)
      if (!l.service.empty() && (!all.group || !all.group->address(l.service)))
        keys.fail("listener", l.name + ": service names no [[address]]: " + l.service);
    keys.finish();
  } catch (const toml::parse_error& e) {
    throw_file_error(file, static_cast<int>(e.source().begin.line), "",
                     std::string(e.description()));
  }
  return all;
}

OperatorSettings load_operator(const std::string& file) {
  std::ifstream in(file);
  if (!in) throw FileError(file + ": cannot be read");
  std::ostringstream text;
  text << in.rdbuf();
  return parse_operator(text.str(), file);
}

}  // namespace balancer
