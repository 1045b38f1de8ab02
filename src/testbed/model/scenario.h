#pragma once

#include <stdexcept>
#include <string>
#include <vector>

#include "settings/field_error.h"
#include "testbed/model/base.h"

// One rehearsal, as its TOML file describes it. docs/operate/rehearsals.md names every key with its
// default and bounds.
namespace balancer::testbed {

struct Range {
  double low = 0, high = 0;
  double draw(Random& random) const { return random.uniform(low, high); }
};

enum class Effect { kSafe, kKeyed, kUnsafe };
enum class Cancel { kNone, kQueued, kAll };  // what a closed connection stops
enum class Backoff { kNone, kFixed, kExponential };

enum class Reads { kPrimary, kReplica, kAny };  // which nodes of a cluster may answer

struct ClassSpec {
  std::string name;
  int cluster = -1;    // the RESP cluster that it is asked of; -1: the memcache fleet
  std::string prefix;  // of its keys, at a cluster
  Reads reads = Reads::kPrimary;
  double share = 1;       // of first tries
  double work_ms = 10;    // on one core of speed 1, on average
  double cv = 1;          // of the work; log-normal
  double hint_noise = 0;  // log-normal, around the true work; negative: clients give no hint
  Duration aim{0}, deadline{0};
  double worth = 1, late_worth = 0;
  Effect effect = Effect::kSafe;
  Duration window{0};  // for which repeats of a keyed request are discarded
  bool write() const { return effect != Effect::kSafe; }
};

struct TenantSpec {
  std::string name;
  double share = 1;
  double quota_per_s = 0;  // requests beyond it are worth a fifth; 0: no quota
};

// What the host model needs of one host.
struct HostSpec {
  int cores = 2;
  double speed = 1;
  int slots = 8;
  int waiting = 64;
  double crowded_at = 4;    // requests in work a core, beyond which efficiency falls
  double crowded_loss = 0;  // part of the efficiency lost for each further one a core, at most 0.9
  double cold_share = 1;    // of its capacity right after a start
  Duration cold_time{0};
  bool warms_by_work = false;  // also warms with work done, never slower than with time
  double tip_multiple = 0;     // falls over when sent more than this multiple of what it can do
  Duration tip_time{0};        // over this long; 0: never
  Cancel cancel = Cancel::kNone;
};

struct KindSpec {
  std::string name;
  int count = 1;
  HostSpec host;  // without its speed, which is drawn for each host
  Range speed{1, 1};
  std::vector<double> zones;  // share of the hosts in each zone
  double memory_mb = 16;
  int connections = 256;
  double handshake_us = 300;
  double miss_us = 300;  // work of finding that a key is not there
  double error_rate = 0;
};

struct ZoneSpec {
  std::string name;
  double clients = 1;  // share of the load that starts here
};

// A RESP cluster: each node does one command at a time.
struct ClusterSpec {
  std::string name;
  int primaries = 3, replicas = 0;
  Duration lag{0};  // of replicas behind their primary
  Range speed{1, 1};
  int pipeline = 1;      // requests that a client may have out on a connection
  bool by_slot = false;  // clients in cluster mode: each request to the balancer named for its slot
  double slow_after_ms = 2;  // as the balancers' file has it
};

struct OriginSpec {
  HostSpec host;
  double read_ms = 20, write_ms = 40, cv = 0.6;
  int connections = 1024;
};

struct DiscoverySpec {
  bool ask = false;
  Range delay_ms{100, 500};  // from a change to its place in the list
};

struct LoadSpec {
  double rate = 100;  // first tries a second
  int keys = 20'000;
  double zipf = 1;
  double drift_per_s = 0;  // keys that give way to new ones
  Range value_bytes{100, 1500};
  int retries = 0;
  Backoff backoff = Backoff::kNone;
  double backoff_ms = 20;
  double honour = 1;          // share of clients that follow a time to return
  Range try_share{1, 1};      // of the deadline, after which one try is given up
  double churn = 0;           // chance that a client closes its connection behind an answer
  double impatient = 0;       // share of requests whose client leaves early
  double rude_per_s = 0;      // connections a second that send nonsense
  double front_notice_s = 1;  // for which the front goes on sending to a dead balancer
};

enum class What {
  kKill,
  kRestart,
  kReplace,
  kDrain,
  kPause,
  kHang,
  kSlow,
  kErrors,
  kResets,
  kRefuse,
  kSilent,
  kSpoil,
  kFlush,
  kBurst,
  kDemand,
  kDiscoveryDown,
  kBalancerRestart,
  kBalancerKill,
  kBalancerReload,
  kBalancerStop,
  kLinkStall,
  kLinkDelay,
  kLinkReset,
  kMoveSlots,
  kFailover,
  kJam,
  kAddressMove,
  kHolderRestart,
  kHolderKill,
  kHolderStop,
  kHolderCut
};

struct IncidentSpec {
  What what = What::kPause;
  Time at{0};
  Duration length{0};
  std::string host, kind, zone, tenant;  // whom it strikes; "origin" is a host here
  int cluster = -1;
  double share = 1;                         // of those that fit
  double factor = 1;                        // how slow, how likely, how much
  int balancer = -1;                        // -1: `share` of them, one after the other
  bool to_host = true, to_balancer = true;  // which directions of a link
  Duration stagger{0};                      // between balancers, or between hosts
  Duration drain{0};                        // before a kill, restart or replacement
  int line = 0;
};

struct RuleSpec {
  Duration drain_grace{0};
  Duration answer_slack{0};
};

struct Scenario {
  std::string file, name, about;
  std::uint64_t seed = 1;
  Duration length{0};
  Duration warm_up{0};  // at its start; counts for the rules, not for the figures
  int balancers = 1;
  int memory_mb = 192, sockets = 1024;
  std::string faults;  // a FaultPlan's text: what is wrong with each balancer's machine
  // So many of the balancers vote on who holds the service address that clients come to; 0: each
  // has an address of its own.
  int group_voters = 0;
  LoadSpec load;
  std::vector<ClassSpec> classes;
  std::vector<TenantSpec> tenants;
  std::vector<ZoneSpec> zones;
  std::vector<KindSpec> kinds;
  std::vector<ClusterSpec> clusters;
  OriginSpec origin;
  DiscoverySpec discovery;
  RuleSpec rules;
  int max_attempts = 6;
  Duration max_retry_after{0}, connect_timeout{0}, connection_idle{0};
  int streams = 32;
  std::vector<IncidentSpec> incidents;

  int hosts() const;
  bool troubles_links() const;  // whether any incident strikes links between balancers and hosts
  // The balancers that an incident strikes, in order: one seed, one choice.
  std::vector<int> balancers_struck(const IncidentSpec& incident) const;
  bool memcache() const;  // whether any class is asked of the memcache fleet
  // Descriptors that the emulator and the load may hold at once, by the bounds above.
  long descriptors() const;
};

// What is wrong with a scenario: "FILE:LINE: KEY: REASON".
using ScenarioError = FileError;

const char* name_of(What what);

// Throws ScenarioError. Unknown keys, wrong types, figures out of bounds and names that nothing has
// are all errors, and nothing has been started by then.
Scenario load_scenario(const std::string& file);
Scenario parse_scenario(const std::string& text, const std::string& file);

// Throws ScenarioError, with the figure, if the machine has not the descriptors or ports for it.
void check_machine(const Scenario& scenario, long descriptor_limit);

}  // namespace balancer::testbed
