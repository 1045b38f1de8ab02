#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

// The operators' calls, without I/O: which path and method means what, and the answer to it.
namespace balancer::admin {

// What the calls act on. Each function returns at once.
struct Operations {
  // Whether this process accepts clients and can serve them.
  std::function<bool()> is_serving;
  // Takes a cache host out of service, or back into it. Returns false if no such host is known.
  std::function<bool(std::string_view host, bool out_of_service)> override_host;
  // Asks clients to reconnect elsewhere, or accepts them again. Returns false if the process is
  // terminating.
  std::function<bool(bool enabled)> set_client_drain;
};

// An HTTP answer.
struct Answer {
  unsigned status = 200;
  std::string body;   // one line of JSON
  std::string allow;  // with status 405: the methods that the path takes; otherwise empty
};

// Of a host's id in a path once decoded, in bytes. An empty id is not allowed either.
inline constexpr std::size_t kMaxHostId = 256;

// Carries the call out. `target` is the request's, with a query or without. Errors are answers:
// 400 and 404 for a host, 404 and 405 for a path and method, 503 if the process cannot do it now.
Answer answer(std::string_view method, std::string_view target, const Operations& operations);
// `reason`: for a person, in plain words.
Answer error(unsigned status, std::string_view reason);

}  // namespace balancer::admin
