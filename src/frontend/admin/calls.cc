#include "frontend/admin/calls.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

namespace balancer::admin {
namespace {

using nlohmann::json;

// Serializes as one line. Host ids come from the caller and may contain invalid UTF-8, which is
// replaced.
std::string json_line(const json& object) {
  return object.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

std::vector<std::string_view> split_path(std::string_view path) {
  std::vector<std::string_view> parts;
  while (path.starts_with('/')) {
    path.remove_prefix(1);
    const auto end = std::min(path.find('/'), path.size());
    parts.push_back(path.substr(0, end));
    path.remove_prefix(end);
  }
  return parts;
}

int hex_digit_value(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

// Percent-decodes one segment of a path, in which '+' is a literal plus sign. Returns nothing if
// the encoding is invalid.
std::optional<std::string> percent_decode(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      out += text[i];
      continue;
    }
    if (i + 2 >= text.size()) return std::nullopt;
    const int high = hex_digit_value(text[i + 1]), low = hex_digit_value(text[i + 2]);
    if (high < 0 || low < 0) return std::nullopt;
    out += static_cast<char>(high << 4 | low);
    i += 2;
  }
  return out;
}

HttpResponse method_not_allowed(std::string allow) {
  HttpResponse response = error_response(405, "this path takes " + allow);
  response.allow = std::move(allow);
  return response;
}

HttpResponse override_host(std::string_view segment, bool out_of_service,
                           const Operations& operations) {
  const auto host = percent_decode(segment);
  if (!host || host->empty() || host->size() > kMaxHostId)
    return error_response(400, "the cache host's id cannot be read");
  if (!operations.override_host(*host, out_of_service))
    return error_response(404, "no such cache host");
  return {200,
          json_line({{"cache_host", *host}, {"state", out_of_service ? "out" : "in service"}}),
          {}};
}

}  // namespace

HttpResponse error_response(unsigned status, std::string_view reason) {
  return {status, json_line({{"error", std::string(reason)}}), {}};
}

HttpResponse handle_call(std::string_view method, std::string_view target,
                         const Operations& operations) {
  const bool is_get = method == "GET" || method == "HEAD", is_post = method == "POST";
  const auto parts = split_path(target.substr(0, target.find_first_of("?#")));
  if (parts.size() == 1 && parts[0] == "healthcheck") {
    if (!is_get) return method_not_allowed("GET, HEAD");
    if (!operations.is_serving()) return error_response(503, "not serving yet");
    return {200, json_line({{"state", "serving"}}), {}};
  }
  if (parts.size() == 1 && parts[0] == "stats") {
    if (!is_get) return method_not_allowed("GET, HEAD");
    return {200, operations.statistics() + "\n", {}};
  }
  if (parts.size() == 2 && parts[0] == "healthcheck" && (parts[1] == "fail" || parts[1] == "ok")) {
    if (!is_post) return method_not_allowed("POST");
    const bool enabled = parts[1] == "fail";
    if (!operations.set_client_drain(enabled)) return error_response(503, "this process is ending");
    return {
        200, json_line({{"state", enabled ? "sending clients away" : "taking clients in"}}), {}};
  }
  if (parts.size() == 3 && parts[0] == "cache-hosts" &&
      (parts[2] == "maint" || parts[2] == "ready")) {
    if (!is_post) return method_not_allowed("POST");
    return override_host(parts[1], parts[2] == "maint", operations);
  }
  return error_response(404, "no such path");
}

}  // namespace balancer::admin
