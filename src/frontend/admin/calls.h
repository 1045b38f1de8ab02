#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

// The operators' HTTP calls: maps methods and paths to operations and their results to responses.
// No I/O.
namespace balancer::admin {

// The operations that calls execute. No function blocks.
struct Operations {
  // Returns whether this process accepts clients and can serve them.
  std::function<bool()> is_serving;
  // Takes a cache host out of service or returns it to service. Returns false if the host is not
  // known.
  std::function<bool(std::string_view host, bool out_of_service)> override_host;
  // Returns counters and figures of the process as one line of JSON without a line end.
  std::function<std::string()> statistics;
  // Asks clients to reconnect elsewhere, or accepts them again. Returns false if the process is
  // shutting down.
  std::function<bool(bool enabled)> set_client_drain;
};

struct HttpResponse {
  unsigned status = 200;
  std::string body;   // one line of JSON
  std::string allow;  // with status 405: the methods that the path allows; otherwise empty
};

// Maximum length in bytes of a host id in a path after decoding. An empty id is rejected too.
inline constexpr std::size_t kMaxHostId = 256;

// Executes the call. `target`: the request target, whose query is ignored. Errors are returned as
// responses: 400 and 404 for an invalid or unknown host, 404 and 405 for an unknown path or a
// method that is not allowed, 503 if the process cannot execute the call now.
HttpResponse handle_call(std::string_view method, std::string_view target,
                         const Operations& operations);
// Returns a response with a JSON body that contains `reason`, a text for the operator.
HttpResponse error_response(unsigned status, std::string_view reason);

}  // namespace balancer::admin
