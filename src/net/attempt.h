#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "net/request.h"
#include "net/value_stream.h"
#include "policy/policy.h"

namespace balancer {

class UpstreamConnection;

// One attempt of a request at one host. It is written at most once and ends with exactly one
// outcome.
struct Attempt {
  // Identifies the timer of the attempt's time-out. The numbers are opaque here; the dispatch core
  // interprets them.
  struct TimerHandle {
    std::uint32_t index = UINT32_MAX;
    std::uint32_t generation = 0;
  };

  RequestId request = 0;
  int number = 0;  // within its request, from 0
  std::string host;
  RequestPayloadPtr payload;
  Time deadline{0};     // for the complete answer, on the monotonic clock
  bool asking = false;  // the host does not own the slot yet, but is to accept the request
  bool reads_from_replica = false;  // the host is a replica, and is to serve the read
  bool non_idempotent = false;      // must never be executed twice
  bool ended = false;               // its outcome is known; later events are ignored
  bool is_held_for_stall = false;   // held back after a process stall; not sent to its host yet
  bool assigned = false;            // to a connection
  bool write_begun = false;         // its bytes have their place on the connection
  // Start time of the host process for which the attempt was decided. If the host has restarted
  // since, a new decision is needed.
  std::optional<UnixTime> host_started;
  // Latest time at which the first byte may be written. After it the host no longer discards
  // duplicates, as the deduplication window has ended.
  Time first_byte_deadline = Time::max();
  TimerHandle timer;
  std::weak_ptr<UpstreamConnection> connection;
};
using AttemptPtr = std::shared_ptr<Attempt>;

// The shortest deadline that can be passed to a server. No attempt starts with less time left to
// the client.
inline constexpr Duration kMinAttemptTime = std::chrono::milliseconds(1);

// Whether the next byte of an attempt may be written.
enum class SendPermission {
  kGranted,
  // The client has disconnected, the deadline or the deduplication window has passed, the lease is
  // lost, or a later write has overtaken the read: no further byte.
  kRequestFinished,
  // The host accepts no new requests or has restarted: no first byte.
  kHostChanged,
};

// Returns the outcome of an attempt whose first byte was not permitted.
inline Result unsent_result(SendPermission denied) {
  return denied == SendPermission::kRequestFinished ? Result::kNotSent : Result::kWithdrawn;
}

// Decides which attempts may be written, and receives their outcomes. Outcomes are reported from
// the event loop only, never from inside the call that starts an attempt.
class AttemptEvents {
 public:
  virtual ~AttemptEvents() = default;
  virtual Time now() const = 0;
  // Returns whether the next byte of the attempt may be written. The only such check; called before
  // each write and whenever the hosts have changed.
  virtual SendPermission may_send(const Attempt& attempt) const = 0;
  // The attempt begins to be written, behind all that its connection has been given before. Called
  // once, after may_send() has granted the first byte.
  virtual void on_write_begun(const Attempt& attempt) = 0;
  // Whether the answer to the attempt can still be used: its request has no final answer yet.
  virtual bool is_answer_wanted(const Attempt& attempt) const = 0;
  // The answer has begun and has made no progress for a while. It may still be completed.
  virtual void on_answer_stalled(const AttemptPtr& attempt) = 0;
  // A long value has begun to arrive and is delivered through the stream; on_attempt_ended()
  // follows. A receiver that does not want the value abandons the stream.
  virtual void on_stream_started(const AttemptPtr& attempt, const StreamPtr& stream) = 0;
  // `value`: the value or the write receipt if the result is kOk and the value was not streamed.
  virtual void on_attempt_ended(const AttemptPtr& attempt, Result result, std::string value) = 0;
};

}  // namespace balancer
