#pragma once

#include <simdjson.h>

#include <cstdarg>
#include <cstdio>
#include <stdexcept>
#include <string>

// Accessors for a report's JSON, for the text and the page. Each getter throws std::runtime_error,
// which names the missing key.
namespace balancer::testbed {

using simdjson::dom::element;

[[gnu::format(printf, 2, 3)]] inline void print(std::string& out, const char* format, ...) {
  char line[1024];
  va_list args;
  va_start(args, format);
  std::vsnprintf(line, sizeof line, format, args);
  va_end(args);
  out += line;
}

inline double num(element e, const char* key) {
  double value = 0;
  if (e[key].get(value)) throw std::runtime_error(std::string("not a report: missing key ") + key);
  return value;
}

inline std::string str(element e, const char* key) {
  std::string_view value;
  if (e[key].get(value)) throw std::runtime_error(std::string("not a report: missing key ") + key);
  return std::string(value);
}

inline simdjson::dom::array list(element e, const char* key) {
  simdjson::dom::array value;
  if (e[key].get(value)) throw std::runtime_error(std::string("not a report: missing key ") + key);
  return value;
}

inline element sub(element e, const char* key) {
  element value;
  if (e[key].get(value)) throw std::runtime_error(std::string("not a report: missing key ") + key);
  return value;
}

inline element parse(simdjson::dom::parser& parser, const std::string& json) {
  element root;
  if (const auto error = parser.parse(json).get(root))
    throw std::runtime_error(std::string("not a report: ") + simdjson::error_message(error));
  return root;
}

}  // namespace balancer::testbed
