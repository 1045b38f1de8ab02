#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "connection_pool/connection_selector.h"
#include "net/value_stream.h"
#include "policy/policy.h"

// The types that pass between the frontends, which know the clients' dialects, and the dispatch
// core, which knows none.
namespace balancer {

// A request in its dialect's own form. Made by a frontend and read by the upstream connections of
// its pool; the core only carries it.
class RequestPayload {
 public:
  virtual ~RequestPayload() = default;
  // No attempt of the request is in flight any longer and none will be: the frontend may reuse the
  // request's id.
  virtual void on_released() const {}

  // What the request requires of its connection; the core adds what its class says.
  connection_pool::AttemptTraits traits;
};
using RequestPayloadPtr = std::shared_ptr<const RequestPayload>;

// The one answer of a request.
struct Response {
  enum class Kind {
    kServed,
    kRejected,  // nothing has run, or a repeat is harmless: the client may retry
    kFailed,    // it may have run
  };
  Kind kind = Kind::kFailed;
  std::string value;        // of a served one: what the connection has made of the server's answer
  Duration retry_after{0};  // of a rejected one; 0: no advice
  StreamPtr stream;         // of a served one whose value is long: in place of `value`
};

// Where an answer belongs: a place in a client's order of answers, and the part of it where one
// command became several requests.
struct ResponseSlot {
  std::uint64_t slot = 0;
  std::uint32_t part = 0;
  auto operator<=>(const ResponseSlot&) const = default;
};

// The client of a request, as the core sees it.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  // Called once for each request that was submitted and not withdrawn; possibly before submit()
  // returns.
  virtual void on_response(ResponseSlot slot, const RequestPayload& payload, Response response) = 0;
  // Whether requests of this client may still be forwarded. Asked on arrival and before each
  // attempt; where false, nothing more reaches a server, and the request is rejected unless an
  // earlier attempt may have run.
  virtual bool may_forward() const { return true; }
  // Whether the client still has its connection open, also where a close has not been read yet.
  // Asked on arrival, and before a byte goes out where the last answer is not recent. Costs a
  // system call.
  virtual bool is_connected() const { return true; }

 private:
  friend class ServerPool;
  std::vector<RequestId> open_requests_;  // those without an answer
};

// A request, as a frontend submits it.
struct RequestSpec {
  RequestPayloadPtr payload;
  int request_class = 0;  // index into the pool's classes
  int tenant = 0;         // index into the pool's tenants; -1: none of them
  bool write = false;
  std::optional<std::string_view> key;
  std::optional<Duration> work;  // estimated cost at the server
  Duration time_left{0};         // until the client gives up
};

// The core as a frontend sees it.
class RequestSink {
 public:
  virtual ~RequestSink() = default;
  // Takes the request; its end is reported by ResponseSink::on_response(), also that of a request
  // that is rejected at once.
  virtual void submit(const std::shared_ptr<ResponseSink>& sink, ResponseSlot slot,
                      RequestSpec spec) = 0;
  // The client has gone; on_response() is not called for it any more. From the event loop only.
  virtual void withdraw(ResponseSink& sink) = 0;
};

}  // namespace balancer
