#pragma once

#include <simdjson.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "policy/policy.h"
#include "settings/field_error.h"

// Typed access to the fields of JSON objects. The functions throw FieldError, which names
// the field, if a value is missing or invalid.
namespace balancer::json {

using simdjson::dom::array;
using simdjson::dom::element;
using simdjson::dom::object;

[[noreturn]] inline void throw_field_error(std::string_view field, std::string_view what) {
  throw FieldError("field '" + std::string(field) + "' " + std::string(what));
}

// Returns nullopt if the field is missing or null.
inline std::optional<element> find(object o, std::string_view field) {
  element e;
  if (o.at_key(field).get(e) || e.is_null()) return std::nullopt;
  return e;
}

template <typename T>
T as(element e, std::string_view field) {
  T value;
  if (e.get(value)) throw_field_error(field, "has the wrong type");
  return value;
}

// Accepts integers that are written as floating-point numbers, such as 5.0.
template <>
inline std::int64_t as(element e, std::string_view field) {
  std::int64_t value;
  if (!e.get(value)) return value;
  double real;
  if (!e.is_double() || e.get(real) || !(real > -9e18 && real < 9e18) ||
      real != static_cast<double>(static_cast<std::int64_t>(real)))
    throw_field_error(field, "is not a whole number");
  return static_cast<std::int64_t>(real);
}

template <>
inline double as(element e, std::string_view field) {
  double value;
  if (!e.is_number() || e.get(value)) throw_field_error(field, "is not a number");
  return value;
}

// Reads a required field.
template <typename T>
T require(object o, std::string_view field) {
  const auto e = find(o, field);
  if (!e) throw_field_error(field, "is missing");
  return as<T>(*e, field);
}

template <typename T>
T get_or(object o, std::string_view field, T fallback) {
  const auto e = find(o, field);
  return e ? as<T>(*e, field) : fallback;
}

// Reads an optional time in nanoseconds; default: 0.
inline Duration get_time(object o, std::string_view field) {
  return Duration{get_or<std::int64_t>(o, field, 0)};
}

// Checks that `value` lies in [0, end).
inline int bounded_int(std::int64_t value, std::string_view field, std::int64_t end = 1 << 30) {
  if (value < 0 || value >= end) throw_field_error(field, "is out of range");
  return static_cast<int>(value);
}

}  // namespace balancer::json
