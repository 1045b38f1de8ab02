#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "structures/time.h"

// Codec of the messages between a balancer process and its successor. The messages are protocol
// buffers and are validated like untrusted input. Performs no I/O.
namespace balancer::hot_restart {

// Protocol version. A snapshot of a later version is decoded in part; see decode().
inline constexpr std::uint32_t kVersion = 1;
// Limits of one packet, of one part of a snapshot, and of a complete snapshot.
inline constexpr std::size_t kMaxMessage = 128u << 10;  // bytes
inline constexpr std::size_t kEntriesPerPart = 256;
inline constexpr std::size_t kMaxHosts = 16384;
inline constexpr std::size_t kMaxOverrides = 4096;
inline constexpr std::size_t kMaxDescriptors = 16;         // attached to one message
inline constexpr std::size_t kMaxPassedInput = 16u << 10;  // bytes
inline constexpr std::size_t kMaxId = 256;                 // bytes
inline constexpr std::size_t kMaxIdsPerMessage = 8192;
inline constexpr Duration kMaxAge = std::chrono::hours(24 * 365 * 100);

// Upper bounds on one process's usage of the resource limits that both processes share.
struct ResourceShare {
  std::uint64_t descriptors = 0, bytes = 0;
  bool operator==(const ResourceShare&) const = default;
};

// A host of the endpoint list, with its state as known to the sender.
struct HostRecord {
  std::string id;
  std::string address;  // 4 or 16 bytes in network order; empty if it could not be parsed
  std::uint16_t port = 0;
  std::optional<UnixTime> started_at;        // its last start, as reported by discovery
  std::optional<Duration> time_since_start;  // on the sender's clock, if known
  bool is_origin = false;
  int zone = 0, cell = 0;
  int state = 0;  // 0 to 2, the numeric value of balancer::HostState
  double weight = 1;
  double load_factor = 1;  // 0 to 1
  bool operator==(const HostRecord&) const = default;
};

// An operator's override of a cache host.
struct OperatorOverride {
  std::string host;
  bool out_of_service = false;
  Duration age{0};  // since the override was made
  bool operator==(const OperatorOverride&) const = default;
};

// First message of a successor.
struct Hello {
  std::uint32_t version = kVersion;
  std::string name;        // of the balancer; a process with another name gets no reply
  bool takes_ids = false;  // the sender can read RecentIds
  bool operator==(const Hello&) const = default;
};

// State that the predecessor passes to its successor.
struct Snapshot {
  std::uint32_t version = kVersion;
  bool has_more = false;  // another part follows
  std::vector<HostRecord> hosts;
  std::vector<OperatorOverride> overrides;
  std::uint64_t list_sequence = 0;              // of the endpoint list
  bool has_list = false, client_drain = false;  // a list was received; clients are being drained
  ResourceShare resources_held;
  double work_rate = 0;  // work sent to the cache hosts, in seconds of work per second
  double origin_admit_fraction = 1, caches_admit_fraction = 1;  // 0 to 1
  std::vector<std::string> listeners;  // addresses, in the order of the attached descriptors
  bool takes_ids = false;              // the sender can read RecentIds
  bool takes_ending = false;           // the sender can read Ending
  bool operator==(const Snapshot&) const = default;
};

// Reply of a process that is still replacing its own predecessor; the successor retries.
struct Busy {
  bool operator==(const Busy&) const = default;
};
// The sender accepts new connections.
struct Serving {
  bool operator==(const Serving&) const = default;
};
// Whether clients are asked, at an operator's request, to reconnect to another balancer.
struct ClientDrain {
  bool enabled = false;
  bool operator==(const ClientDrain&) const = default;
};
// A client connection without a request in flight; its descriptor is attached to the message.
struct PassedConnection {
  std::string listener;  // address at which the client connected
  std::string input;     // bytes read from the client and not parsed yet
  std::uint64_t requests_answered = 0;
  bool operator==(const PassedConnection&) const = default;
};

// Hashes of the ids of requests that must not run again, which the sender has taken.
struct RecentIds {
  std::vector<std::uint64_t> hashes;  // at most kMaxIdsPerMessage
  bool operator==(const RecentIds&) const = default;
};

// The sender, a successor, has been terminated: it soon stops accepting connections, while requests
// in flight are still answered.
struct Ending {
  bool operator==(const Ending&) const = default;
};

using Message = std::variant<Hello, Snapshot, Busy, Serving, OperatorOverride, ClientDrain,
                             ResourceShare, PassedConnection, RecentIds, Ending>;

std::string encode(const Message& message);
// Returns nullopt if `bytes` is not a valid message, contains a value out of range or exceeds the
// limits above. Of a snapshot of a later version, only `version`, `has_more`, `resources_held` and
// `listeners` are decoded.
std::optional<Message> decode(std::string_view bytes);

// Splits a snapshot into parts that each fit into a packet. Scalar fields and the listeners are in
// the last part.
std::vector<Snapshot> split(Snapshot snapshot);
// Appends the hosts and overrides of `part` to `snapshot`, and replaces its other fields by those
// of `part`. Returns false if the result would exceed kMaxHosts or kMaxOverrides.
bool merge_part(Snapshot& snapshot, Snapshot part);

}  // namespace balancer::hot_restart
