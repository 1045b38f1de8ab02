#include "node/http_date.h"

#include <time.h>

namespace balancer::node {

std::optional<UnixTime> parse_http_date(const std::string& text) {
  std::tm parts{};
  const char* const end = ::strptime(text.c_str(), "%a, %d %b %Y %H:%M:%S GMT", &parts);
  if (!end || *end != '\0') return std::nullopt;
  return UnixTime(std::chrono::seconds(::timegm(&parts)));
}

}  // namespace balancer::node
