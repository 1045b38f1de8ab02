#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "structures/time.h"

// The messages between a balancer and the one that takes its place: protocol buffers, checked like
// any peer's. No I/O.
namespace balancer::hot_restart {

inline constexpr std::uint32_t kVersion = 1;
// A packet of the system's is bounded; so are the entries of one part, and what a whole snapshot
// may come to.
inline constexpr std::size_t kMaxMessage = 128u << 10;
inline constexpr std::size_t kEntriesPerPart = 256;
inline constexpr std::size_t kMaxHosts = 16384;
inline constexpr std::size_t kMaxOverrides = 4096;
inline constexpr std::size_t kMaxDescriptors = 16;  // beside one message
inline constexpr std::size_t kMaxInput = 16u << 10;
inline constexpr std::size_t kMaxId = 256;
inline constexpr Duration kMaxAge = std::chrono::hours(24 * 365 * 100);

struct ResourceShare {
  std::uint64_t descriptors = 0, bytes = 0;
  bool operator==(const ResourceShare&) const = default;
};

struct Host {
  std::string id;
  std::string address;  // 4 or 16 bytes, or none
  std::uint16_t port = 0;
  std::optional<UnixTime> born;  // its last start, as discovery says it
  std::optional<Duration> age;   // since that start, as far as the sender knows
  bool origin = false;
  int zone = 0, cell = 0;
  int state = 0;  // 0 to 2, as balancer::HostState
  double weight = 1;
  double share = 1;  // 0 to 1
  bool operator==(const Host&) const = default;
};

struct OperatorOverride {
  std::string host;
  bool out = false;
  Duration age{0};  // since it came to hold
  bool operator==(const OperatorOverride&) const = default;
};

struct Hello {
  std::uint32_t version = kVersion;
  std::string name;
  bool operator==(const Hello&) const = default;
};

struct Snapshot {
  std::uint32_t version = kVersion;
  bool more = false;
  std::vector<Host> hosts;
  std::vector<OperatorOverride> overrides;
  std::uint64_t seq = 0;
  bool listed = false, away = false;
  ResourceShare held;
  double work_rate = 0, origin_open = 1, caches_open = 1;
  std::vector<std::string> listeners;
  bool operator==(const Snapshot&) const = default;
};

struct Busy {
  bool operator==(const Busy&) const = default;
};
struct Serving {
  bool operator==(const Serving&) const = default;
};
struct Away {
  bool away = false;
  bool operator==(const Away&) const = default;
};
struct Connection {
  std::string listener;
  std::string input;
  std::uint64_t answered = 0;
  bool operator==(const Connection&) const = default;
};

using Message =
    std::variant<Hello, Snapshot, Busy, Serving, OperatorOverride, Away, ResourceShare, Connection>;

std::string encode(const Message& message);
// Nothing if it is no message, says what makes no sense, or goes beyond the bounds above. A
// snapshot of a newer version is read for its version, share and listeners alone.
std::optional<Message> decode(std::string_view bytes);

// In parts that each fit a packet; what is no list, and the listeners, in the last.
std::vector<Snapshot> split(Snapshot whole);
// Puts parts together. False: they go beyond the bounds.
bool append(Snapshot& whole, Snapshot part);

}  // namespace balancer::hot_restart
