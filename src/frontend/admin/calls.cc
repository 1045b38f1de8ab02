#include "frontend/admin/calls.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

namespace balancer::admin {
namespace {

using nlohmann::json;

// Ids come from whoever calls: what is no UTF-8 is replaced.
std::string line_of(const json& o) {
  return o.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

std::vector<std::string_view> parts_of(std::string_view path) {
  std::vector<std::string_view> parts;
  while (path.starts_with('/')) {
    path.remove_prefix(1);
    const auto end = std::min(path.find('/'), path.size());
    parts.push_back(path.substr(0, end));
    path.remove_prefix(end);
  }
  return parts;
}

int hex(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

// Of one segment of a path, where '+' stands for itself.
std::optional<std::string> decode(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      out += text[i];
      continue;
    }
    if (i + 2 >= text.size()) return std::nullopt;
    const int high = hex(text[i + 1]), low = hex(text[i + 2]);
    if (high < 0 || low < 0) return std::nullopt;
    out += static_cast<char>(high << 4 | low);
    i += 2;
  }
  return out;
}

Answer wrong_method(std::string allow) {
  Answer a = error(405, "this path takes " + allow);
  a.allow = std::move(allow);
  return a;
}

Answer override_host(std::string_view segment, bool out_of_service, const Operations& operations) {
  const auto host = decode(segment);
  if (!host || host->empty() || host->size() > kMaxHostId)
    return error(400, "the cache host's id cannot be read");
  if (!operations.override_host(*host, out_of_service)) return error(404, "no such cache host");
  return {
      200, line_of({{"cache_host", *host}, {"state", out_of_service ? "out" : "in service"}}), {}};
}

}  // namespace

Answer error(unsigned status, std::string_view reason) {
  return {status, line_of({{"error", std::string(reason)}}), {}};
}

Answer answer(std::string_view method, std::string_view target, const Operations& operations) {
  const bool get = method == "GET" || method == "HEAD", post = method == "POST";
  const auto parts = parts_of(target.substr(0, target.find_first_of("?#")));
  if (parts.size() == 1 && parts[0] == "healthcheck") {
    if (!get) return wrong_method("GET, HEAD");
    if (!operations.is_serving()) return error(503, "not serving yet");
    return {200, line_of({{"state", "serving"}}), {}};
  }
  if (parts.size() == 2 && parts[0] == "healthcheck" && (parts[1] == "fail" || parts[1] == "ok")) {
    if (!post) return wrong_method("POST");
    const bool enabled = parts[1] == "fail";
    if (!operations.set_client_drain(enabled)) return error(503, "this process is ending");
    return {200, line_of({{"state", enabled ? "sending clients away" : "taking clients in"}}), {}};
  }
  if (parts.size() == 3 && parts[0] == "cache-hosts" &&
      (parts[2] == "maint" || parts[2] == "ready")) {
    if (!post) return wrong_method("POST");
    return override_host(parts[1], parts[2] == "maint", operations);
  }
  return error(404, "no such path");
}

}  // namespace balancer::admin
