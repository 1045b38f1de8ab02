#pragma once

#include <toml++/toml.h>

#include <array>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "settings/field_error.h"
#include "structures/time.h"

// Reads the TOML files that operators write. Every error states file, line, key and reason; unknown
// keys are errors.
namespace balancer {

[[noreturn]] inline void throw_file_error(const std::string& file, int line, std::string_view key,
                                          const std::string& reason) {
  throw FileError(file + ":" + std::to_string(line) + ": " +
                  (key.empty() ? "" : std::string(key) + ": ") + reason);
}

inline std::string format_number(double value) {
  std::ostringstream out;
  out << value;
  return out.str();
}

// Reads the keys of one table. finish() reports each key that was not read as an error. All readers
// throw FileError if a value is missing, has the wrong type or is out of bounds.
class TomlTable {
 public:
  TomlTable(const toml::table& table, const std::string& file) : table_(table), file_(file) {}

  int line() const { return static_cast<int>(table_.source().begin.line); }
  bool has(std::string_view key) const { return table_.contains(key); }
  [[noreturn]] void fail(std::string_view key, const std::string& reason) const {
    const toml::node* node = table_.get(key);
    throw_file_error(file_, node ? static_cast<int>(node->source().begin.line) : line(), key,
                     reason);
  }

  // Returns the value, or null if the key is missing, and marks the key as read.
  const toml::node* get(std::string_view key) {
    read_keys_.emplace(key);
    return table_.get(key);
  }
  double number(std::string_view key, double fallback, double low, double high) {
    const toml::node* node = get(key);
    if (!node) return fallback;
    return check(key, *node, low, high);
  }
  int integer(std::string_view key, int fallback, int low, int high) {
    const toml::node* node = get(key);
    if (!node) return fallback;
    if (!node->is_integer()) fail(key, "must be a whole number");
    return static_cast<int>(check(key, *node, low, high));
  }
  // Reads a time in units of `unit` seconds, which apply to the other arguments too.
  Duration time(std::string_view key, double unit, double fallback, double low, double high) {
    return from_seconds(unit * number(key, fallback, low, high));
  }
  // Reads a number or [low, high]. `Range` has the members `low` and `high`.
  template <typename Range>
  Range range(std::string_view key, Range fallback, double low, double high) {
    const toml::node* node = get(key);
    if (!node) return fallback;
    if (const toml::array* pair = node->as_array()) {
      if (pair->size() != 2) fail(key, "must be a number or [low, high]");
      const Range r{check(key, *pair->get(0), low, high), check(key, *pair->get(1), low, high)};
      if (r.low > r.high) fail(key, "has its ends in the wrong order");
      return r;
    }
    const double value = check(key, *node, low, high);
    return {value, value};
  }
  // Reads a list of `size` numbers; default: all 1.
  std::vector<double> list(std::string_view key, std::size_t size) {
    const toml::node* node = get(key);
    if (!node) return std::vector<double>(size, 1.0);
    const toml::array* all = node->as_array();
    if (!all || all->size() != size) fail(key, "must hold a number for each zone");
    std::vector<double> out;
    for (const toml::node& n : *all) out.push_back(check(key, n, 0, 1e6));
    return out;
  }
  std::string text(std::string_view key, const std::string& fallback) {
    const toml::node* node = get(key);
    if (!node) return fallback;
    if (!node->is_string()) fail(key, "must be text");
    return **node->as_string();
  }
  bool flag(std::string_view key, bool fallback) {
    const toml::node* node = get(key);
    if (!node) return fallback;
    if (!node->is_boolean()) fail(key, "must be true or false");
    return **node->as_boolean();
  }
  std::vector<std::string> strings(std::string_view key) {
    const toml::node* node = get(key);
    std::vector<std::string> out;
    if (!node) return out;
    const toml::array* all = node->as_array();
    if (!all) fail(key, "must be a list of strings");
    for (const toml::node& n : *all) {
      if (!n.is_string()) fail(key, "must be a list of strings");
      out.push_back(**n.as_string());
    }
    return out;
  }
  // Reads a required name.
  std::string name(std::string_view key) {
    std::string value = text(key, "");
    if (value.empty()) fail(key, "is missing");
    if (value.find_first_not_of(
            "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") !=
        std::string::npos)
      fail(key, "may hold letters, digits, '-', '_' and '.' only");
    return value;
  }
  template <typename T, std::size_t N>
  T choice(std::string_view key, T fallback, const std::array<std::pair<const char*, T>, N>& all) {
    const toml::node* node = get(key);
    if (!node) return fallback;
    const std::string value = text(key, "");
    std::string names;
    for (const auto& [word, meaning] : all) {
      if (value == word) return meaning;
      names += (names.empty() ? "" : ", ") + std::string(word);
    }
    fail(key, "is none of " + names);
  }
  // Calls `read` with the table of this name, or with an empty table if there is none.
  template <typename Read>
  void table(std::string_view key, Read&& read) {
    static const toml::table kEmpty;
    const toml::node* node = get(key);
    if (node && !node->is_table()) fail(key, "must be a table");
    TomlTable keys(node ? *node->as_table() : kEmpty, file_);
    read(keys);
    keys.finish();
  }
  // Calls `read` with each table of the array of tables of this name.
  template <typename Read>
  void tables(std::string_view key, Read&& read) {
    const toml::node* node = get(key);
    if (!node) return;
    const toml::array* all = node->as_array();
    if (!all || !all->is_array_of_tables())
      fail(key, "must be tables: [[" + std::string(key) + "]]");
    for (const toml::node& n : *all) {
      TomlTable keys(*n.as_table(), file_);
      read(keys);
      keys.finish();
    }
  }
  // Returns the table as text, without the keys of this name in it and in its arrays of tables.
  std::string serialize_without(std::string_view omitted) const {
    toml::table copy = table_;
    copy.erase(omitted);
    for (auto&& [key, node] : copy)
      if (toml::array* all = node.as_array())
        for (toml::node& n : *all)
          if (toml::table* t = n.as_table()) t->erase(omitted);
    return TomlTable(copy, file_).serialize();
  }
  std::string serialize() const {
    std::ostringstream out;
    out << table_;
    return out.str();
  }
  // Throws FileError if the table has a key that was not read.
  void finish() const {
    for (const auto& [key, node] : table_)
      if (!read_keys_.count(std::string(key.str())))
        throw_file_error(file_, static_cast<int>(node.source().begin.line), key.str(),
                         "is not known here");
  }

 private:
  double check(std::string_view key, const toml::node& node, double low, double high) const {
    const auto value = node.value<double>();
    if (!value || !node.is_number()) fail(key, "must be a number");
    if (!(*value >= low && *value <= high))
      fail(key, "is " + format_number(*value) + "; it must lie from " + format_number(low) +
                    " to " + format_number(high));
    return *value;
  }

  const toml::table& table_;
  const std::string& file_;
  std::set<std::string, std::less<>> read_keys_;
};

}  // namespace balancer
