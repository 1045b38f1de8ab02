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

// The keys of one emulated RESP server, and the data commands on them: strings and counters,
// hashes, lists, sets, expiry. Written from the public reference of the commands. No I/O; time is
// handed in.
class RespStore {
 public:
  // The reply to a data command; nothing if the command is not one of those.
  std::optional<std::string> run(Time now, const resp::Command& command, int version);

  bool has(Time now, std::string_view key);
  std::vector<std::string> keys() const;
  // Takes the key out of this store into another.
  void move_to(RespStore& other, const std::string& key);
  // Makes the key what it is in another store, which may be nothing.
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
  // The key's value if it is of this type, made if it is not there; null if it is of another.
  template <typename T>
  T* need(Time now, std::string_view key);
  void drop_if_empty(std::string_view key);
  std::string scan(const resp::Command& c) const;
  std::string set(Time now, const resp::Command& c, int version);
  std::string count(Time now, const resp::Command& c, std::int64_t by);

  std::map<std::string, Entry, std::less<>> entries_;
};

}  // namespace balancer::testbed
