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

// One attempt of a request at one host: on the wire at most once, ended by exactly one outcome.
struct Attempt {
  // Names the timer of its time-out; its owner gives the numbers a meaning.
  struct TimerHandle {
    std::uint32_t index = UINT32_MAX;
    std::uint32_t generation = 0;
  };

  RequestId request = 0;
  int number = 0;  // within its request, from 0
  std::string host;
  RequestPayloadPtr payload;
  Time deadline{0};             // of the answer, on the monotonic clock
  bool asking = false;          // the host is to take it though it does not own its slot yet
  bool replica = false;         // the host is to read it though it is a replica
  bool non_idempotent = false;  // must never run twice
  bool ended = false;           // its outcome is known
  bool held = false;            // held back behind a process stall: at no host yet
  bool assigned = false;        // to a connection
  // Start of the host's process that it was decided for; a process that started at another time
  // needs another decision.
  std::optional<UnixTime> host_started;
  // Its first byte goes out before this or not at all: later the host does not discard duplicates
  // any more.
  Time first_byte_deadline = Time::max();
  TimerHandle timer;
  std::weak_ptr<UpstreamConnection> connection;
};
using AttemptPtr = std::shared_ptr<Attempt>;

// The shortest time that can be passed to a server. With less left to the client no attempt begins.
inline constexpr Duration kMinAttemptTime = std::chrono::milliseconds(1);

// Whether the next byte of an attempt may go out.
enum class SendPermission {
  kGranted,
  kRequestFinished,  // client gone, time or deduplication window over, or the lease lost: no byte
  kHostChanged,      // its host takes nothing new, or is another process: not a first byte
};

// The outcome of an attempt that was denied its first byte.
inline Result unsent_result(SendPermission denied) {
  return denied == SendPermission::kRequestFinished ? Result::kNotSent : Result::kWithdrawn;
}

// Receives the outcomes of attempts. Called from the event loop only, never from inside the call
// that starts an attempt.
class AttemptEvents {
 public:
  virtual ~AttemptEvents() = default;
  virtual Time now() const = 0;
  // The one rule for what may go out. Asked at each write, and when hosts have changed.
  virtual SendPermission may_send(const Attempt& attempt) const = 0;
  // A long value has begun to arrive; the rest comes by the stream, and on_attempt_ended() follows.
  // A receiver that does not want it abandons the stream.
  virtual void on_stream_started(const AttemptPtr& attempt, const StreamPtr& stream) = 0;
  // `value`: the value or the receipt, if the result is kOk and the value did not come by a stream.
  virtual void on_attempt_ended(const AttemptPtr& attempt, Result result, std::string value) = 0;
};

}  // namespace balancer
