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

// One `send` of the module: on the wire at most once, ended by one outcome.
struct Attempt {
  RequestId request = 0;
  int number = 0;
  std::string host;
  RequestPayloadPtr payload;
  Time until{0};
  bool asking = false;    // the host is to take it though it does not own its slot yet
  bool replica = false;   // the host is to read it though it is a replica
  bool unsafe = false;    // its class must never run twice
  bool ended = false;     // its outcome is known
  bool held = false;      // held back, so that it has not gone anywhere yet
  bool assigned = false;  // to a connection
  // Of the host's process that was decided on; another one under its name is another decision.
  std::optional<UnixTime> host_born;
  // Its first byte goes out before this or not at all: behind it repeats are not discarded any
  // more.
  Time begin_by = Time::max();
  struct Timer {  // of its time-out, in its owner's terms
    std::uint32_t place = UINT32_MAX, life = 0;
  } timer;
  std::weak_ptr<UpstreamConnection> connection;
};
using AttemptPtr = std::shared_ptr<Attempt>;

// The least time that can be told to a server. With less left to the client an attempt is not
// begun.
inline constexpr Duration kMinAttemptTime = std::chrono::milliseconds(1);

// Whether the next byte of an attempt may go out.
enum class SendPermission {
  kGo,
  kOver,       // nobody waits for it any more, or its time is over: not one byte more
  kElsewhere,  // its host takes nothing new, or is another by now: not a first byte
};

// What becomes of attempts. Called from the event loop only, never from inside start().
class AttemptEvents {
 public:
  virtual ~AttemptEvents() = default;
  virtual Time now() const = 0;
  // Asked at the moment of each write, and when something has changed.
  virtual SendPermission may_send(const Attempt& attempt) const = 0;
  // A long value has begun to come; its rest comes by the stream, and on_end() tells how that went.
  // Where nobody wants it any more the stream is abandoned.
  virtual void on_begin(const AttemptPtr& attempt, const StreamPtr& stream) = 0;
  // `value`: the value or the receipt, if the result is kOk and the value did not come by a stream.
  virtual void on_end(const AttemptPtr& attempt, Result result, std::string value) = 0;
};

}  // namespace balancer
