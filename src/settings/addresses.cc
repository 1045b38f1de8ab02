#include "settings/addresses.h"

#include <arpa/inet.h>

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/network_v4.hpp>
#include <boost/asio/ip/network_v6.hpp>
#include <cctype>
#include <charconv>

namespace balancer {

bool is_address(const std::string& text, bool port_zero) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  std::string host = text.substr(0, colon);
  const bool v6 = host.starts_with('[') && host.ends_with(']');
  if (v6) host = host.substr(1, host.size() - 2);
  unsigned char bytes[16];
  if (::inet_pton(v6 ? AF_INET6 : AF_INET, host.c_str(), bytes) != 1) return false;
  unsigned port = 0;
  const char* end = text.data() + text.size();
  const auto [at, error] = std::from_chars(text.data() + colon + 1, end, port);
  return error == std::errc{} && at == end && port <= 65535 && (port > 0 || port_zero);
}

bool is_network(const std::string& text) {
  namespace ip = boost::asio::ip;
  boost::system::error_code error;
  if (text.find('/') == std::string::npos) {
    ip::make_address(text, error);
    return !error;
  }
  const auto v4 = ip::make_network_v4(text, error);
  if (!error) return v4 == v4.canonical();
  const auto v6 = ip::make_network_v6(text, error);
  return !error && v6 == v6.canonical();
}

bool is_host_name_and_port(const std::string& text) {
  const auto colon = text.rfind(':');
  return colon != std::string::npos && colon > 0 &&
         std::all_of(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(colon),
                     [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '.'; }) &&
         std::any_of(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(colon),
                     [](unsigned char c) { return std::isalpha(c); });
}

}  // namespace balancer
