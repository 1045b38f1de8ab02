#pragma once

#include <functional>
#include <string>
#include <string_view>

// What operators may call, and what each call is answered: paths and words, no sockets.
namespace balancer::admin {

// What the calls act on. Each returns at once.
struct Operations {
  // Whether this process can serve clients.
  std::function<bool()> serving;
  // Takes a cache host out of service, or puts it back. False: nobody knows such a host.
  std::function<bool(std::string_view host, bool out)> maintain;
  // Sends clients away, or takes them in again. False: the process is ending.
  std::function<bool(bool away)> send_away;
};

struct Answer {
  unsigned status = 200;
  std::string body;   // one line of JSON
  std::string allow;  // of a 405: the methods that the path knows
};

// A host's id in a path: 1 to this many bytes once decoded.
inline constexpr std::size_t kMaxHostId = 256;

Answer answer(std::string_view method, std::string_view target, const Operations& operations);
Answer error(unsigned status, std::string_view reason);

}  // namespace balancer::admin
