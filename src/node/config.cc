#include "node/config.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <random>

#include "node/discovery_list.h"
#include "settings/field_error.h"
#include "settings/json.h"

namespace balancer::node {
namespace {

using namespace json;

std::string environment_variable(const char* name) {
  const char* value = std::getenv(name);
  return value ? value : "";
}

std::string text_or_environment(object o, std::string_view field, const char* name) {
  const auto text = std::string(get_or<std::string_view>(o, field, ""));
  return text.empty() ? environment_variable(name) : text;
}

Endpoint read_endpoint(object o, std::string_view field, const char* name) {
  const auto text = text_or_environment(o, field, name);
  const auto parsed = parse_endpoint(text);
  if (!parsed)
    throw_field_error(field,
                      text.empty() ? "is missing" : "is not an IP address and port: " + text);
  return *parsed;
}

std::uint64_t read_seed(object o) {
  const auto e = find(o, "seed");
  std::uint64_t seed = 0;
  if (!e) return std::random_device{}();
  if (!e->get(seed)) return seed;
  const auto text = as<std::string_view>(*e, "seed");
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (error != std::errc{} || end != text.data() + text.size())
    throw_field_error("seed", "is not a hexadecimal number");
  return seed;
}

}  // namespace

bool has_config() { return !environment_variable("ROUTER_CONFIG").empty(); }

Config load_config() {
  const auto path = environment_variable("ROUTER_CONFIG");
  if (path.empty()) throw FileError("ROUTER_CONFIG is not set");
  simdjson::dom::parser parser;
  element root;
  if (const auto error = parser.load(path).get(root))
    throw FileError(path + ": " + simdjson::error_message(error));
  try {
    const auto o = as<object>(root, "config");
    Config config;
    config.name = text_or_environment(o, "name", "ROUTER_NAME");
    config.listen = read_endpoint(o, "listen", "ROUTER_LISTEN");
    config.discovery = read_endpoint(o, "discovery", "ROUTER_DISCOVERY");
    if (!text_or_environment(o, "admin", "ROUTER_ADMIN").empty())
      config.admin = read_endpoint(o, "admin", "ROUTER_ADMIN");
    if (config.admin) config.folder = environment_variable("TMPDIR");
    config.seed = read_seed(o);
    if (const auto e = find(o, "limits")) {
      const auto limits = as<object>(*e, "limits");
      // Below the lower bounds the balancer cannot work.
      config.sockets = static_cast<std::size_t>(
          std::clamp<std::int64_t>(get_or<std::int64_t>(limits, "sockets", 1024), 64, 1 << 20));
      config.memory_mb = static_cast<std::size_t>(
          std::clamp<std::int64_t>(get_or<std::int64_t>(limits, "memory_mb", 192), 32, 1 << 20));
    }
    config.site = read_settings(require<object>(o, "settings"));
    if (const auto e = find(o, "known"))
      config.known = read_host_list(as<object>(*e, "known"), config.site);
    return config;
  } catch (const FieldError& e) {
    throw FileError(path + ": " + e.what());
  }
}

}  // namespace balancer::node
