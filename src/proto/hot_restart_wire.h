#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "structures/time.h"

// Codec of the messages between a balancer process and its successor: protocol buffers, validated
// like those of any peer. No I/O.
namespace balancer::hot_restart {

// Of the protocol. A snapshot of a later version is read in part; see decode().
inline constexpr std::uint32_t kVersion = 1;
// Bounds of one packet, of one part of a snapshot, and of a complete snapshot.
inline constexpr std::size_t kMaxMessage = 128u << 10;  // bytes
inline constexpr std::size_t kEntriesPerPart = 256;
inline constexpr std::size_t kMaxHosts = 16384;
inline constexpr std::size_t kMaxOverrides = 4096;
inline constexpr std::size_t kMaxDescriptors = 16;   // beside one message
inline constexpr std::size_t kMaxInput = 16u << 10;  // bytes
inline constexpr std::size_t kMaxId = 256;           // bytes
inline constexpr Duration kMaxAge = std::chrono::hours(24 * 365 * 100);

// The most that a process holds of the limits that both processes share.
struct ResourceShare {
  std::uint64_t descriptors = 0, bytes = 0;
  bool operator==(const ResourceShare&) const = default;
};

// A host of the endpoint list, with what the sender has learnt about it.
struct HostRecord {
  std::string id;
  std::string address;  // 4 or 16 bytes in network order; empty: it could not be read
  std::uint16_t port = 0;
  std::optional<UnixTime> started_at;        // its last start, as discovery states it
  std::optional<Duration> time_since_start;  // as far as the sender knows
  bool is_origin = false;
  int zone = 0, cell = 0;
  int state = 0;  // 0 to 2, as balancer::HostState
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
  std::string name;  // of the balancer; a process with another name is not answered
  bool operator==(const Hello&) const = default;
};

// The predecessor's state.
struct Snapshot {
  std::uint32_t version = kVersion;
  bool has_more = false;  // another part follows
  std::vector<HostRecord> hosts;
  std::vector<OperatorOverride> overrides;
  std::uint64_t list_sequence = 0;              // of the endpoint list
  bool has_list = false, client_drain = false;  // a list was received; clients are being drained
  ResourceShare resources_held;
  double work_rate = 0;  // seconds of work that the cache hosts receive in a second
  double origin_admit_fraction = 1, caches_admit_fraction = 1;  // 0 to 1
  std::vector<std::string> listeners;  // addresses, in the order of the descriptors
  bool operator==(const Snapshot&) const = default;
};

// The process is still taking over from its own predecessor: query again.
struct Busy {
  bool operator==(const Busy&) const = default;
};
// The sender accepts new connections.
struct Serving {
  bool operator==(const Serving&) const = default;
};
// Whether clients are asked to reconnect elsewhere, by an operator's call.
struct ClientDrain {
  bool enabled = false;
  bool operator==(const ClientDrain&) const = default;
};
// A client's connection between two requests; its descriptor is sent beside the message.
struct PassedConnection {
  std::string listener;  // address at which the client connected
  std::string input;     // read from the client and not parsed yet
  std::uint64_t requests_answered = 0;
  bool operator==(const PassedConnection&) const = default;
};

using Message = std::variant<Hello, Snapshot, Busy, Serving, OperatorOverride, ClientDrain,
                             ResourceShare, PassedConnection>;

std::string encode(const Message& message);
// Returns nothing if the bytes are no message, hold values that are not allowed, or exceed the
// bounds above. A snapshot of a later version is read for its version, share and listeners alone.
std::optional<Message> decode(std::string_view bytes);

// Splits a snapshot into parts that each fit a packet. Fields that are not lists, and the
// listeners, stand in the last part.
std::vector<Snapshot> split(Snapshot whole);
// Appends a part. Returns false if the result would exceed the bounds.
bool append(Snapshot& whole, Snapshot part);

}  // namespace balancer::hot_restart
