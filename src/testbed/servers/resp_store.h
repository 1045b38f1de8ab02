#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "proto/resp.h"
#include "testbed/model/base.h"

namespace balancer::testbed {

// The keys of one emulated RESP server and the data commands on them: strings and counters, hashes,
// lists, sets and expiry, after the public command reference. Does no I/O; the caller passes the
// time.
class RespStore {
 public:
  // Runs a data command and returns its reply; nullopt if the command is not implemented.
  std::optional<std::string> run(Time now, const resp::Command& command, int version);

  bool has(Time now, std::string_view key);
  std::vector<std::string> keys() const;
  // Moves the key to another store.
  void move_to(RespStore& other, const std::string& key);
  // Makes the key equal to its copy from another store. An empty copy removes it.
  struct Copy;
  std::shared_ptr<const Copy> copy(std::string_view key) const;
  void put(std::string_view key, const Copy& copy);
  void clear() { entries_.clear(); }

 private:
  using Hash = std::map<std::string, std::string, std::less<>>;
  using List = std::deque<std::string>;
  using Set = std::map<std::string, bool, std::less<>>;
  struct Entry {
    std::variant<std::string, Hash, List, Set> value;
    std::optional<Time> expires;
  };

  Entry* find(Time now, std::string_view key);
  // Returns the key's value, which is created if the key is absent; null if it has another type.
  template <typename T>
  T* find_or_create(Time now, std::string_view key);
  // Removes the key if its value is an empty hash, list or set.
  void drop_if_empty(std::string_view key);
  std::string scan(const resp::Command& c) const;
  std::string set(Time now, const resp::Command& c, int version);
  std::string increment(Time now, const resp::Command& c, std::int64_t delta);

  std::map<std::string, Entry, std::less<>> entries_;
};

}  // namespace balancer::testbed
