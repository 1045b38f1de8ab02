#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "connection_pool/connection_selector.h"
#include "net/value_stream.h"
#include "policy/policy.h"

// What passes between the fronts, which know the clients' dialects, and the core, which knows none.
namespace balancer {

// A request in its dialect's own form. Made by a front and read by the backs of its pool; the core
// only carries it.
class RequestPayload {
 public:
  virtual ~RequestPayload() = default;
  // No attempt of the request is out any longer and none will be: a front may take its name as
  // free.
  virtual void released() const {}

  // What its front asks of the connection; the core sets what its class says.
  connection_pool::AttemptTraits want;
};
using RequestPayloadPtr = std::shared_ptr<const RequestPayload>;

// The one final answer of a request.
struct Response {
  enum class Kind {
    kServed,
    kRejected,  // nothing has run, or its repeat is harmless: the client may ask again
    kFailed,    // it may have run
  };
  Kind kind = Kind::kFailed;
  std::string value;        // of a served one: what the back has made of the server's answer
  Duration retry_after{0};  // of a refused one; 0: no advice
  StreamPtr stream;         // of a served one whose value is long: in place of `value`
};

// Where a final answer belongs: a place in a client's order of answers, and the part of it where
// one command became several requests.
struct ResponseSlot {
  std::uint64_t slot = 0;
  std::uint32_t part = 0;
  auto operator<=>(const ResponseSlot&) const = default;
};

// Who has asked.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  // Called once for each request that was taken and not withdrawn; possibly before submit()
  // returns.
  virtual void on_response(ResponseSlot ticket, const RequestPayload& payload, Response final) = 0;
  // Whether what it has asked for may still go out. Asked on arrival and before each attempt; where
  // it may not, nothing of it reaches a server from then on, and it is refused unless an earlier
  // attempt may have run.
  virtual bool may_forward() const { return true; }
  // Whether it has not left yet, also where that has not been read. Asked of each request on
  // arrival: what lay unread for long may be all that is left of a client, and is refused. Asked
  // again before a byte goes out where the last answer is not recent, at the cost of a system call.
  virtual bool is_connected() const { return true; }

 private:
  friend class ServerPool;
  std::vector<RequestId> open_;  // its requests that have had no final answer
};

// What a front asks of the core.
struct RequestSpec {
  RequestPayloadPtr payload;
  int request_class = 0;  // index into the pool's classes
  int tenant = 0;         // index into the pool's tenants; -1: none of them
  bool write = false;
  std::optional<std::string_view> key;
  std::optional<Duration> work;  // a rough hint
  Duration budget{0};            // the client's patience
};

// The core as a front sees it.
class RequestSink {
 public:
  virtual ~RequestSink() = default;
  // Takes the request: on_final() tells its end.
  virtual void submit(const std::shared_ptr<ResponseSink>& caller, ResponseSlot ticket,
                      RequestSpec ask) = 0;
  // The client has gone; on_final() is not called for it any more. From the event loop only.
  virtual void withdraw(ResponseSink& caller) = 0;
};

}  // namespace balancer
