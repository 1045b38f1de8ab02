#pragma once

#include <stdexcept>
#include <string>
#include <vector>

#include "settings/field_error.h"
#include "testbed/model/base.h"

// A scenario: one testbed run, as its TOML file describes it. docs/operate/rehearsals.md lists
// every key with its default and bounds.
namespace balancer::testbed {

struct Range {
  double low = 0, high = 0;
  double draw(Random& random) const { return random.uniform(low, high); }
};

enum class Effect { kSafe, kKeyed, kUnsafe };
enum class Cancel { kNone, kQueued, kAll };  // which requests of a closed connection are cancelled
enum class Backoff { kNone, kFixed, kExponential };

enum class Reads { kPrimary, kReplica, kAny };  // which nodes of a cluster may serve a read

struct ClassSpec {
  std::string name;
  int cluster = -1;    // the RESP cluster that serves it; -1: the memcache fleet
  std::string prefix;  // of its keys, in a cluster
  Reads reads = Reads::kPrimary;
  double share = 1;       // of all first tries
  double work_ms = 10;    // on one core of speed 1, on average
  double cv = 1;          // coefficient of variation of the work; log-normal
  double hint_noise = 0;  // cv of the log-normal error of the work hint; negative: no hint
  Duration aim{0}, deadline{0};
  double worth = 1, late_worth = 0;
  Effect effect = Effect::kSafe;
  Duration window{0};  // deduplication window of keyed requests
  bool write() const { return effect != Effect::kSafe; }
};

struct TenantSpec {
  std::string name;
  double share = 1;
  double quota_per_s = 0;  // requests above it are worth a fifth; 0: no quota
};

// The parameters of the host model for one host.
struct HostSpec {
  int cores = 2;
  double speed = 1;
  int slots = 8;
  int waiting = 64;
  double crowded_at = 4;    // running requests per core above which efficiency falls
  double crowded_loss = 0;  // efficiency lost for each further request per core, at most 0.9
  double cold_share = 1;    // share of its capacity right after a start
  Duration cold_time{0};
  bool warms_by_work = false;  // also warms up with work done, never slower than with time
  double tip_multiple = 0;     // fails if sent more than this multiple of its capacity
  Duration tip_time{0};        // window for tip_multiple; 0: never fails
  Cancel cancel = Cancel::kNone;
};

struct KindSpec {
  std::string name;
  int count = 1;
  HostSpec host;  // its speed is ignored: it is drawn for each host
  Range speed{1, 1};
  std::vector<double> zones;  // share of the hosts in each zone
  double memory_mb = 16;
  int connections = 256;
  double handshake_us = 300;
  double miss_us = 300;  // work of a lookup that misses
  double error_rate = 0;
};

struct ZoneSpec {
  std::string name;
  double clients = 1;  // share of the load that comes from clients of this zone
};

// A RESP cluster. Each node executes one command at a time.
struct ClusterSpec {
  std::string name;
  int primaries = 3, replicas = 0;
  Duration lag{0};  // replication lag of replicas
  Range speed{1, 1};
  int pipeline = 1;      // most outstanding requests on a client connection
  bool by_slot = false;  // clients in cluster mode: each request goes to the balancer of its slot
  double slow_after_ms = 2;  // value in the balancers' settings
};

struct OriginSpec {
  HostSpec host;
  double read_ms = 20, write_ms = 40, cv = 0.6;
  int connections = 1024;
};

struct DiscoverySpec {
  bool ask = false;
  Range delay_ms{100, 500};  // from a change to its publication in the list
};

struct LoadSpec {
  double rate = 100;  // first tries per second
  int keys = 20'000;
  double zipf = 1;
  double drift_per_s = 0;  // keys replaced by new ones, per second
  Range value_bytes{100, 1500};
  int retries = 0;
  Backoff backoff = Backoff::kNone;
  double backoff_ms = 20;
  double honour = 1;          // share of clients that wait for Retry-After
  Range try_share{1, 1};      // timeout of one try, as a share of the deadline
  double churn = 0;           // probability that a client closes its connection after an answer
  double impatient = 0;       // share of requests whose client leaves before the answer
  double rude_per_s = 0;      // connections per second that send invalid input
  double front_notice_s = 1;  // how long the front keeps sending connections to a dead balancer
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
  std::string host, kind, zone, tenant;  // its targets; "origin" counts as a host here
  int cluster = -1;
  double share = 1;                         // share of the matching targets
  double factor = 1;                        // slowdown, probability or amount, by incident
  int balancer = -1;                        // -1: `share` of the balancers, one after the other
  bool to_host = true, to_balancer = true;  // affected directions of a link
  Duration stagger{0};                      // between the targets
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
  Duration warm_up{0};  // at the start; checked against the rules, but left out of the figures
  int balancers = 1;
  int memory_mb = 192, sockets = 1024;
  std::string faults;  // text of the FaultPlan of each balancer
  // Number of balancers that vote on the holder of the service address to which clients connect; 0:
  // every balancer has its own address.
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
  bool troubles_links() const;  // whether any incident affects links between balancers and hosts
  // Returns the balancers that an incident affects, in order. The same
  // scenario with the same seed gives the same choice.
  std::vector<int> balancers_struck(const IncidentSpec& incident) const;
  bool memcache() const;  // whether the memcache fleet serves any class
  // Returns the most descriptors that the emulator and the load can hold at once, from the bounds
  // above.
  long descriptors() const;
};

// An error in a scenario: "FILE:LINE: KEY: REASON".
using ScenarioError = FileError;

const char* name_of(What what);

// Reads and checks a scenario before anything is started. Throws ScenarioError for unknown keys,
// wrong types, numbers out of bounds and references to unknown names.
Scenario load_scenario(const std::string& file);
Scenario parse_scenario(const std::string& text, const std::string& file);

// Throws ScenarioError, with the number, if the scenario needs more descriptors than
// `descriptor_limit`.
void check_machine(const Scenario& scenario, long descriptor_limit);

}  // namespace balancer::testbed
