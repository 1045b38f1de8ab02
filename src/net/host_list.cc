#include "net/host_list.h"

#include <charconv>

namespace balancer {

std::optional<Endpoint> parse_endpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string_view host = text.substr(0, colon);
  if (host.starts_with('[') && host.ends_with(']')) host = host.substr(1, host.size() - 2);
  std::uint16_t port = 0;
  const char* const end = text.data() + text.size();
  const auto [at, bad] = std::from_chars(text.data() + colon + 1, end, port);
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(std::string(host), error);
  if (error || bad != std::errc{} || at != end) return std::nullopt;
  return Endpoint(address, port);
}

}  // namespace balancer
