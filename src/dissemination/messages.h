#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

// The messages by which changes reach every balancer, as plain data. No I/O.
//
// A change has a position: a channel, and a sequence number there. Numbers are given by one source
// at a time, under its term; the next source has the next term and goes on behind the last number
// that it knows.
namespace balancer::dissemination {

using Term = std::uint64_t;      // of a source; 0: none yet
using Sequence = std::uint64_t;  // within a channel, from 1; 0: before the first
using MemberId = std::string;

// Channels have numbers of their own: a purge never waits for a configuration change.
enum class Channel : std::uint8_t { kPurge, kConfiguration };
inline constexpr std::array<Channel, 2> kChannels = {Channel::kPurge, Channel::kConfiguration};
template <typename T>
using PerChannel = std::array<T, kChannels.size()>;
constexpr std::size_t index(Channel channel) { return static_cast<std::size_t>(channel); }

struct Entry {
  Sequence sequence = 0;
  std::string key;
  std::string value;  // empty: of a purge, or the configuration key is deleted
};
// Immutable and shared: a relay keeps and forwards one copy.
using EntryPtr = std::shared_ptr<const Entry>;

// How far a member has got.
struct Cursor {
  Term term = 0;
  Sequence sequence = 0;
  bool operator==(const Cursor&) const = default;
};

// What every message from above says of the source.
struct SourceState {
  Term term = 0;
  PerChannel<Sequence> starts{};  // the last number of earlier terms that this source knows
  PerChannel<Sequence> heads{};   // the last number that it has sent
};

// What the receiver of a batch does with it besides applying it. The sender decides, so that
// members with different views of the membership still agree on who forwards.
enum class Forward : std::uint8_t { kNobody, kSite, kRegion };

// Consecutive entries, pushed down the tree or sent as the answer to a RangeRequest. Without
// entries: a heartbeat.
struct Batch {
  SourceState source;
  Channel channel = Channel::kPurge;
  Forward forward = Forward::kNobody;
  std::uint32_t stripe = 0;  // which of the relay trees carries it
  Sequence oldest = 0;       // of an answer: entries before this one are no longer kept
  std::vector<EntryPtr> entries;
};

// That a batch to be forwarded has come.
struct Ack {
  Term term = 0;
  Channel channel = Channel::kPurge;
  Sequence last = 0;  // of the batch
};

// Asks for entries from `first` to `last`, of the history of `term`.
struct RangeRequest {
  Term term = 0;
  Channel channel = Channel::kPurge;
  Sequence first = 0, last = 0;
};

// Asks the source for the newest entry of each configuration key that changed behind `after`.
struct SnapshotRequest {
  Term term = 0;
  Sequence after = 0;  // 0: all of them
};

// A piece of the compacted configuration log, in order of sequence numbers.
struct SnapshotPiece {
  SourceState source;
  Sequence after = 0;    // of the request
  Sequence through = 0;  // the piece holds all newest entries in (after, through]
  bool complete = false;
  std::vector<EntryPtr> entries;
};

// One that holds a channel back.
struct Laggard {
  std::string id;  // of a member; of a site from which no report has come
  Sequence sequence = 0;
};

// Upwards: what is in force at a member, or at all members of a site.
struct Report {
  std::string from;  // id of the member or site
  Term term = 0;
  PerChannel<Sequence> in_force{};  // the least of its members
  PerChannel<std::vector<Laggard>> laggards;
};

using Message = std::variant<Batch, Ack, RangeRequest, SnapshotRequest, SnapshotPiece, Report>;

// Bytes on the wire that every datagram costs beside its message: IP and UDP headers, seal, names
// of sender and receiver, numbers.
inline constexpr std::size_t kDatagramOverhead = 128;
// The largest message; with the overhead it fits a frame.
inline constexpr std::size_t kMaxMessageBytes = 1200;

std::size_t wire_size(const Entry& entry);
// An upper bound on a message's bytes on the wire, with kDatagramOverhead.
std::size_t wire_size(const Message& message);

}  // namespace balancer::dissemination
