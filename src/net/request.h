#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "connection_pool/connection_selector.h"
#include "net/request_order.h"
#include "net/value_stream.h"
#include "policy/policy.h"

// The types exchanged between the frontends, which implement the clients' protocols, and the
// dispatch core, which is independent of them.
namespace balancer {

// The protocol-specific form of a request. Created by a frontend and encoded by the upstream
// connections of its pool; opaque to the core.
class RequestPayload {
 public:
  virtual ~RequestPayload() = default;
  // Called when no attempt of the request is in flight and none will follow. `may_have_run`: one of
  // them may have been executed.
  virtual void on_released(bool may_have_run) const { static_cast<void>(may_have_run); }
  // Returns the memory that the payload and the encoded forms of its attempts take, in bytes,
  // without what has a reservation of its own.
  virtual std::size_t held_bytes() const = 0;

  // The request's requirements on its connection; the core adds those of its request class.
  connection_pool::AttemptTraits traits;
  // The requests among which this one has a place, and that place; null: in no order with others.
  std::shared_ptr<RequestOrder> order;
  RequestOrder::Position order_position = 0;
};
using RequestPayloadPtr = std::shared_ptr<const RequestPayload>;

// The final answer to a request. Each request gets exactly one.
struct Response {
  enum class Kind {
    kServed,
    kRejected,  // not executed, or safe to repeat: the client may retry
    kFailed,    // may have been executed
  };
  Kind kind = Kind::kFailed;
  std::string value;        // kServed: the server's answer as decoded by the connection
  Duration retry_after{0};  // kRejected: advice for the client; 0: none
  StreamPtr stream;         // kServed with a long value: replaces `value`
};

// Position of an answer: the slot in the client's order of answers, and the part within the slot if
// one command was split into several requests.
struct ResponseSlot {
  std::uint64_t slot = 0;
  std::uint32_t part = 0;
  auto operator<=>(const ResponseSlot&) const = default;
};

// The core's interface to the client of a request.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  // Called once for each request that was submitted and not withdrawn, possibly before submit()
  // returns.
  virtual void on_response(ResponseSlot slot, const RequestPayload& payload, Response response) = 0;
  // Whether requests of this client may still be forwarded. Checked on arrival and before each
  // attempt. If false, nothing more is sent to a server, and the request is rejected unless an
  // earlier attempt may have been executed.
  virtual bool may_forward() const { return true; }
  // Whether the client's connection is still open; false also if a close has arrived but has not
  // been read yet. Checked on arrival, and before a byte is written if the last check is not
  // recent. Costs a system call.
  virtual bool is_connected() const { return true; }
  // Returns how long the request that is being submitted may have waited in its socket because this
  // process had no memory for it. Its client has that much less time.
  virtual Duration unread_age() const { return Duration{0}; }

 private:
  friend class ServerPool;
  std::vector<RequestId> open_requests_;  // not answered yet
};

// A request as submitted by a frontend.
struct RequestSpec {
  RequestPayloadPtr payload;
  int request_class = 0;  // index into the pool's classes
  int tenant = 0;         // index into the pool's tenants; -1: none of them
  bool write = false;
  std::optional<std::string_view> key;
  std::optional<Duration> work;  // estimated cost at the server
  Duration time_left{0};         // until the client gives up
};

// The frontends' interface to the core.
class RequestSink {
 public:
  virtual ~RequestSink() = default;
  // Accepts the request. Its response, including an immediate rejection, is passed to
  // ResponseSink::on_response().
  virtual void submit(const std::shared_ptr<ResponseSink>& sink, ResponseSlot slot,
                      RequestSpec spec) = 0;
  // Ends all requests of a client that has disconnected; on_response() is no longer called for it.
  // Called from the event loop only.
  virtual void withdraw(ResponseSink& sink) = 0;
};

}  // namespace balancer
