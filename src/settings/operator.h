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

// The operator's own file: what the platform's configuration has no word for. TOML; every key has a
// default, a bound and a harm in docs/operate/cluster.md and docs/operate/addresses.md.
namespace balancer {

// A class of requests of a RESP pool, and which commands are of it.
struct RespClass {
  std::string name;
  std::vector<std::string> commands;  // upper case; "READ" and "WRITE" mean all of a kind
  std::string prefix;                 // of the first key
  cluster::Reads reads = cluster::Reads::kPrimary;
  std::size_t key_argument = 0;  // of a keyed class: the word that holds the idempotency key
};

struct RespTenant {
  std::string name;                     // the user of AUTH and HELLO
  std::optional<std::string> password;  // none: any will do
};

struct RespPool {
  std::string name;
  cluster::RouterSettings cluster;
  std::string user, password;  // towards the nodes; empty: none
  std::size_t max_value = 1u << 20;
  SiteSettings site;  // classes and tenants in the order of those below
  std::vector<RespClass> classes;
  std::vector<RespTenant> tenants;
  std::string shape;  // all that holds from a start to the end, for comparison
};

struct RespListener {
  std::string name, address;
  std::string announce;            // as clients are told; the address where it is empty
  std::vector<std::string> peers;  // what the other balancers announce
  std::string pool;
  std::string service;  // open only while this service address is held; empty: always
  bool require_auth = false;
  std::size_t max_bulk = 512u << 10;
  std::size_t max_queued = 128;                    // commands between MULTI and EXEC
  Duration idle_close{std::chrono::seconds(300)};  // of clients that ask for nothing
  std::string shape;                               // as a pool's
};

// Of the process, where it runs without the platform's configuration; with it that one's figures
// hold.
struct ProcessSettings {
  std::string name{kPersistedProgramName};  // in the log
  std::string log;                          // a file that lines are added to; empty: standard error
  std::size_t memory_mb = 512;
  std::size_t sockets = 4096;
};

struct Operator {
  std::string file;
  ProcessSettings process;
  std::vector<RespPool> pools;
  std::vector<RespListener> listeners;
  std::optional<GroupFile> group;

  const RespPool* pool(const std::string& name) const;
  // Takes over what may change while requests are in work: passwords, and whether they are asked
  // for. Returns what else differs, and waits for a restart.
  std::vector<std::string> take_over(const Operator& changed);
};

// Throws FileError.
Operator load_operator(const std::string& file);
Operator parse_operator(const std::string& text, const std::string& file);

}  // namespace balancer
