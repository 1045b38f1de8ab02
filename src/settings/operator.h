#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cluster/router.h"
#include "settings/field_error.h"
#include "settings/group_file.h"
#include "settings/settings.h"
#include "structures/persisted_names.h"

// The operator's file, in TOML: settings that the platform's configuration does not cover.
// docs/operate/cluster.md and docs/operate/addresses.md describe each key with its default, its
// bounds and the effects of wrong values.
namespace balancer {

// A request class of a RESP pool, with the commands that belong to it.
struct RespClass {
  std::string name;
  std::vector<std::string> commands;  // upper case; "READ" and "WRITE" stand for all of that kind
  std::string prefix;                 // of the command's first key; empty: any
  cluster::ReadPreference reads = cluster::ReadPreference::kPrimary;
  std::size_t key_argument = 0;  // index of the argument with the idempotency key; 0: none
};

struct RespTenant {
  std::string name;                     // user name in AUTH and HELLO
  std::optional<std::string> password;  // not set: any password is accepted
};

struct RespPool {
  std::string name;
  cluster::RouterSettings cluster;
  std::string user, password;        // credentials for the nodes; empty: none
  std::size_t max_value = 1u << 20;  // bytes
  SiteSettings site;                 // classes and tenants in the order of `classes`, `tenants`
  std::vector<RespClass> classes;
  std::vector<RespTenant> tenants;
  std::string fixed_settings;  // text of the settings that a reload cannot change, for comparison
};

struct RespListener {
  std::string name, address;
  std::string announce;            // address sent to clients; empty: `address`
  std::vector<std::string> peers;  // addresses that the other balancers announce
  std::string pool;
  std::string service;  // open only while this service address is held; empty: always
  bool require_auth = false;
  std::size_t max_bulk = 512u << 10;               // bytes
  std::size_t max_queued = 128;                    // commands between MULTI and EXEC
  Duration idle_close{std::chrono::seconds(300)};  // for clients that send no commands
  std::string fixed_settings;                      // as RespPool::fixed_settings
};

// The process's own settings. Used only without the platform's configuration, which otherwise
// replaces them.
struct ProcessSettings {
  std::string name{kPersistedProgramName};  // in the log
  std::string log;                          // file to append to; empty: standard error
  std::size_t memory_mb = 512;
  std::size_t sockets = 4096;  // descriptors
};

struct OperatorSettings {
  std::string file;
  ProcessSettings process;
  std::vector<RespPool> pools;
  std::vector<RespListener> listeners;
  std::optional<GroupSettings> group;

  const RespPool* pool(const std::string& name) const;
  // Applies the settings of a reload that may change while requests are in flight: passwords, and
  // whether they are required. Returns the pools and listeners, and the group, whose other
  // settings differ: those take effect after a restart.
  std::vector<std::string> apply_reload(const OperatorSettings& changed);
};

// Throws FileError.
OperatorSettings load_operator(const std::string& file);
OperatorSettings parse_operator(const std::string& text, const std::string& file);

}  // namespace balancer
