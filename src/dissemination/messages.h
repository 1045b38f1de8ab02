#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

// The messages that distribute changes to all balancers, as plain data. No I/O.
//
// The position of a change consists of a channel and a sequence number within it. One source at a
// time assigns the numbers, under its term. The next source has the next term and continues after
// the last number that it knows.
namespace balancer::dissemination {

using Term = std::uint64_t;      // of a source; 0: no source known yet
using Sequence = std::uint64_t;  // within a channel, from 1; 0: before the first change
using MemberId = std::string;

// Each channel is numbered separately, so that a purge never waits for a configuration change.
enum class Channel : std::uint8_t { kPurge, kConfiguration };
inline constexpr std::array<Channel, 2> kChannels = {Channel::kPurge, Channel::kConfiguration};
template <typename T>
using PerChannel = std::array<T, kChannels.size()>;
constexpr std::size_t index(Channel channel) { return static_cast<std::size_t>(channel); }

struct Entry {
  Sequence sequence = 0;
  std::string key;
  std::string value;  // empty for a purge, and for a deleted configuration key
};
// Immutable and shared, so that a relay retains and forwards a single copy.
using EntryPtr = std::shared_ptr<const Entry>;

// The last change that a member has applied.
struct Cursor {
  Term term = 0;
  Sequence sequence = 0;
  bool operator==(const Cursor&) const = default;
};

// State of the source, contained in every batch and snapshot piece.
struct SourceState {
  Term term = 0;
  PerChannel<Sequence> starts{};  // last number of earlier terms that this source knows
  PerChannel<Sequence> heads{};   // last number that it has sent
};

// To whom the receiver of a batch forwards it. The sender decides, so that members with different
// views of the membership still agree on which member forwards a batch.
enum class Forward : std::uint8_t { kNobody, kSite, kRegion };

// Consecutive entries, pushed down the tree or sent in answer to a RangeRequest. A pushed batch
// without entries is a heartbeat.
struct Batch {
  SourceState source;
  Channel channel = Channel::kPurge;
  Forward forward = Forward::kNobody;
  std::uint32_t stripe = 0;  // the relay tree along which the batch is sent
  Sequence oldest = 0;       // in an answer: entries before this number are no longer retained
  std::vector<EntryPtr> entries;
};

// Acknowledges a batch that its receiver is to forward.
struct Ack {
  Term term = 0;
  Channel channel = Channel::kPurge;
  Sequence last = 0;  // last number in the batch
};

// Requests the entries from `first` to `last` in the history of `term`.
struct RangeRequest {
  Term term = 0;
  Channel channel = Channel::kPurge;
  Sequence first = 0, last = 0;
};

// Requests from the source the newest entry of each configuration key that changed after `after`.
struct SnapshotRequest {
  Term term = 0;
  Sequence after = 0;  // 0: all keys
};

// A piece of the compacted configuration log, in order of sequence numbers.
struct SnapshotPiece {
  SourceState source;
  Sequence after = 0;    // as in the request
  Sequence through = 0;  // the piece holds all newest entries in (after, through]
  bool complete = false;
  std::vector<EntryPtr> entries;
};

// A member or site that holds back the watermark of a channel.
struct Laggard {
  std::string id;  // of a member, or of a site that has not reported
  Sequence sequence = 0;
};

// Sent up the tree: the changes in force at a member, or at all members of a site.
struct Report {
  std::string from;  // id of the member or site
  Term term = 0;
  PerChannel<Sequence> in_force{};  // for a site: the minimum over its members
  PerChannel<std::vector<Laggard>> laggards;
};

using Message = std::variant<Batch, Ack, RangeRequest, SnapshotRequest, SnapshotPiece, Report>;

// Bytes on the wire that every datagram needs in addition to its message: IP and UDP headers, the
// seal, the names of sender and receiver, and numbers.
inline constexpr std::size_t kDatagramOverhead = 128;
// Size limit of a message; with the overhead, a message fits into one frame.
inline constexpr std::size_t kMaxMessageBytes = 1200;

std::size_t wire_size(const Entry& entry);
// Returns an upper bound on the message's bytes on the wire, including kDatagramOverhead.
std::size_t wire_size(const Message& message);

}  // namespace balancer::dissemination
