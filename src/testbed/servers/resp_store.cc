#include "testbed/servers/resp_store.h"

#include <algorithm>
#include <limits>

#include "cluster/commands.h"

namespace balancer::testbed {
namespace {

using cluster::equals_ignore_case;
using resp::Command;

const std::string kWrongType =
    "-WRONGTYPE Operation against a key holding the wrong kind of value\r\n";
const std::string kNoInteger = "-ERR value is not an integer or out of range\r\n";
const std::string kSyntax = "-ERR syntax error\r\n";

std::string integer(std::int64_t n) {
  std::string out;
  resp::append_integer(out, n);
  return out;
}

std::string bulk(std::string_view text) {
  std::string out;
  resp::append_bulk(out, text);
  return out;
}

std::string null(int version) {
  std::string out;
  resp::append_null(out, version);
  return out;
}

// Converts a list index, of which negative ones count from the end, to a position of at least 0.
std::int64_t position_of(std::int64_t index, std::size_t size) {
  return index < 0 ? std::max<std::int64_t>(0, index + static_cast<std::int64_t>(size)) : index;
}

}  // namespace

RespStore::Entry* RespStore::find(Time now, std::string_view key) {
  const auto it = entries_.find(key);
  if (it == entries_.end()) return nullptr;
  if (it->second.expires && *it->second.expires <= now) {
    entries_.erase(it);
    return nullptr;
  }
  return &it->second;
}

bool RespStore::has(Time now, std::string_view key) { return find(now, key) != nullptr; }

std::vector<std::string> RespStore::keys() const {
  std::vector<std::string> all;
  for (const auto& [key, entry] : entries_) all.push_back(key);
  return all;
}

void RespStore::move_to(RespStore& other, const std::string& key) {
  auto node = entries_.extract(key);
  if (node.empty()) return;
  other.entries_.erase(key);
  other.entries_.insert(std::move(node));
}

struct RespStore::Copy {
  std::optional<Entry> entry;
};

std::shared_ptr<const RespStore::Copy> RespStore::copy(std::string_view key) const {
  const auto it = entries_.find(key);
  return std::make_shared<Copy>(
      Copy{it == entries_.end() ? std::nullopt : std::optional(it->second)});
}

void RespStore::put(std::string_view key, const Copy& copy) {
  if (copy.entry) {
    entries_.insert_or_assign(std::string(key), *copy.entry);
  } else if (const auto it = entries_.find(key); it != entries_.end()) {
    entries_.erase(it);
  }
}

template <typename T>
T* RespStore::find_or_create(Time now, std::string_view key) {
  Entry* e = find(now, key);
  if (!e) e = &entries_.emplace(std::string(key), Entry{T{}, std::nullopt}).first->second;
  return std::get_if<T>(&e->value);
}

void RespStore::drop_if_empty(std::string_view key) {
  const auto it = entries_.find(key);
  const bool empty = std::visit(
      [](const auto& v) {
        return !std::is_same_v<std::remove_cvref_t<decltype(v)>, std::string> && v.empty();
      },
      it->second.value);
  if (empty) entries_.erase(it);
}

// SCAN cursor [COUNT n]. Returns keys in the order of their hashes, so that adding or removing a
// key does not change the position of the others. The cursor is the last hash that was returned.
std::string RespStore::scan(const Command& c) const {
  const auto cursor = resp::parse_int64(c.size() > 1 ? c[1] : "");
  const auto count =
      c.size() > 3 && equals_ignore_case(c[2], "COUNT") ? resp::parse_int64(c[3]) : 10;
  if (!cursor || !count || *count < 1) return kSyntax;
  std::multimap<std::int64_t, std::string_view> by_hash;
  for (const auto& [key, entry] : entries_) {
    const auto hash = static_cast<std::int64_t>(std::hash<std::string>()(key) >> 2) + 1;
    if (hash > *cursor) by_hash.emplace(hash, key);
  }
  std::int64_t last = 0, returned = 0;
  std::string keys;
  for (const auto& [hash, key] : by_hash) {
    if (returned >= *count && hash != last) break;
    resp::append_bulk(keys, key);
    last = hash;
    ++returned;
  }
  std::string out;
  resp::append_array(out, 2);
  resp::append_bulk(
      out, static_cast<std::size_t>(returned) == by_hash.size() ? "0" : std::to_string(last));
  resp::append_array(out, static_cast<std::size_t>(returned));
  return out + keys;
}

// SET key value [NX | XX] [GET] [EX s | PX ms | KEEPTTL]
std::string RespStore::set(Time now, const Command& c, int version) {
  bool nx = false, xx = false, get = false, keep_ttl = false;
  std::optional<Time> expires;
  for (std::size_t i = 3; i < c.size(); ++i) {
    if (equals_ignore_case(c[i], "NX")) {
      nx = true;
    } else if (equals_ignore_case(c[i], "XX")) {
      xx = true;
    } else if (equals_ignore_case(c[i], "GET")) {
      get = true;
    } else if (equals_ignore_case(c[i], "KEEPTTL")) {
      keep_ttl = true;
    } else if ((equals_ignore_case(c[i], "EX") || equals_ignore_case(c[i], "PX")) &&
               i + 1 < c.size()) {
      const bool ms = equals_ignore_case(c[i], "PX");
      const auto n = resp::parse_int64(c[++i]);
      if (!n) return kNoInteger;
      if (*n <= 0) return "-ERR invalid expire time in 'set' command\r\n";
      expires = now + (ms ? Duration(std::chrono::milliseconds(*n)) : std::chrono::seconds(*n));
    } else {
      return kSyntax;
    }
  }
  if (nx && xx) return kSyntax;
  Entry* e = find(now, c[1]);
  std::string old = null(version);
  if (get && e) {
    const auto* text = std::get_if<std::string>(&e->value);
    if (!text) return kWrongType;
    old = bulk(*text);
  }
  if ((nx && e) || (xx && !e)) return get ? old : null(version);
  if (keep_ttl && e) expires = e->expires;
  entries_.insert_or_assign(std::string(c[1]), Entry{std::string(c[2]), expires});
  return get ? old : "+OK\r\n";
}

std::string RespStore::increment(Time now, const Command& c, std::int64_t delta) {
  auto* text = find_or_create<std::string>(now, c[1]);
  if (!text) return kWrongType;
  const auto old = text->empty() ? std::optional<std::int64_t>(0) : resp::parse_int64(*text);
  std::int64_t sum = 0;
  if (!old || __builtin_add_overflow(*old, delta, &sum)) return kNoInteger;
  *text = std::to_string(sum);
  return integer(sum);
}

// NOLINTNEXTLINE(readability-function-size): one branch for each command.
std::optional<std::string> RespStore::run(Time now, const Command& c, int version) {
  if (equals_ignore_case(c[0], "SCAN")) return scan(c);
  if (equals_ignore_case(c[0], "DBSIZE")) return ":" + std::to_string(entries_.size()) + "\r\n";
  const auto is = [&c](std::string_view word) { return equals_ignore_case(c[0], word); };
  const auto array = [](const std::vector<std::string>& items) {
    std::string out;
    resp::append_array(out, items.size());
    for (const auto& item : items) out += item;
    return out;
  };
  const std::size_t word_count = c.size();
  if (is("GET") || is("STRLEN") || is("GETDEL")) {
    Entry* e = find(now, c[1]);
    if (!e) return is("STRLEN") ? integer(0) : null(version);
    const auto* text = std::get_if<std::string>(&e->value);
    if (!text) return kWrongType;
    std::string reply =
        is("STRLEN") ? integer(static_cast<std::int64_t>(text->size())) : bulk(*text);
    if (is("GETDEL")) entries_.erase(entries_.find(c[1]));
    return reply;
  }
  if (is("SET")) return set(now, c, version);
  if (is("SETNX")) {
    if (find(now, c[1])) return integer(0);
    entries_.emplace(std::string(c[1]), Entry{std::string(c[2]), std::nullopt});
    return integer(1);
  }
  if (is("APPEND")) {
    auto* text = find_or_create<std::string>(now, c[1]);
    if (!text) return kWrongType;
    *text += c[2];
    return integer(static_cast<std::int64_t>(text->size()));
  }
  if (is("INCR")) return increment(now, c, 1);
  if (is("DECR")) return increment(now, c, -1);
  if (is("INCRBY") || is("DECRBY")) {
    const auto delta = resp::parse_int64(c[2]);
    if (!delta || *delta == std::numeric_limits<std::int64_t>::min()) return kNoInteger;
    return increment(now, c, is("INCRBY") ? *delta : -*delta);
  }
  if (is("MGET")) {
    std::vector<std::string> items;
    for (std::size_t i = 1; i < word_count; ++i) {
      Entry* e = find(now, c[i]);
      const auto* text = e ? std::get_if<std::string>(&e->value) : nullptr;
      items.push_back(text ? bulk(*text) : null(version));
    }
    return array(items);
  }
  if (is("MSET")) {
    for (std::size_t i = 1; i + 1 < word_count; i += 2)
      entries_.insert_or_assign(std::string(c[i]), Entry{std::string(c[i + 1]), std::nullopt});
    return "+OK\r\n";
  }
  if (is("DEL") || is("UNLINK") || is("EXISTS") || is("TOUCH")) {
    std::int64_t n = 0;
    for (std::size_t i = 1; i < word_count; ++i) {
      if (!find(now, c[i])) continue;
      ++n;
      if (is("DEL") || is("UNLINK")) entries_.erase(entries_.find(c[i]));
    }
    return integer(n);
  }
  if (is("TYPE")) {
    static constexpr std::string_view kNames[] = {"string", "hash", "list", "set"};
    Entry* e = find(now, c[1]);
    return "+" + std::string(e ? kNames[e->value.index()] : "none") + "\r\n";
  }
  if (is("EXPIRE") || is("PEXPIRE")) {
    const auto n = resp::parse_int64(c[2]);
    if (!n) return kNoInteger;
    Entry* e = find(now, c[1]);
    if (!e) return integer(0);
    e->expires = now + (is("EXPIRE") ? Duration(std::chrono::seconds(*n))
                                     : Duration(std::chrono::milliseconds(*n)));
    return integer(1);
  }
  if (is("TTL") || is("PTTL")) {
    Entry* e = find(now, c[1]);
    if (!e) return integer(-2);
    if (!e->expires) return integer(-1);
    const auto ms = std::chrono::ceil<std::chrono::milliseconds>(*e->expires - now).count();
    return integer(is("TTL") ? (ms + 500) / 1000 : ms);
  }
  if (is("PERSIST")) {
    Entry* e = find(now, c[1]);
    const bool had_expiry = e && e->expires;
    if (had_expiry) e->expires.reset();
    return integer(had_expiry);
  }
  if (is("HSET") || is("HDEL") || is("HINCRBY")) {
    if (is("HSET") && word_count % 2 != 0)
      return "-ERR wrong number of arguments for 'hset' command\r\n";
    auto* hash = find_or_create<Hash>(now, c[1]);
    if (!hash) return kWrongType;
    std::string reply;
    if (is("HINCRBY")) {
      const auto delta = resp::parse_int64(c[3]);
      auto& text = (*hash)[std::string(c[2])];
      const auto old = text.empty() ? std::optional<std::int64_t>(0) : resp::parse_int64(text);
      std::int64_t sum = 0;
      if (!delta || !old || __builtin_add_overflow(*old, *delta, &sum)) return kNoInteger;
      text = std::to_string(sum);
      reply = integer(sum);
    } else {
      std::int64_t n = 0;
      for (std::size_t i = 2; i < word_count; i += is("HSET") ? 2 : 1) {
        if (is("HSET")) {
          n += hash->insert_or_assign(std::string(c[i]), std::string(c[i + 1])).second;
        } else {
          n += static_cast<std::int64_t>(hash->erase(std::string(c[i])));
        }
      }
      reply = integer(n);
    }
    drop_if_empty(c[1]);
    return reply;
  }
  if (is("HGET") || is("HGETALL") || is("HLEN") || is("HEXISTS")) {
    static const Hash kEmpty;
    Entry* e = find(now, c[1]);
    const Hash* hash = e ? std::get_if<Hash>(&e->value) : &kEmpty;
    if (!hash) return kWrongType;
    if (is("HLEN")) return integer(static_cast<std::int64_t>(hash->size()));
    if (is("HGETALL")) {
      std::string out;
      resp::append_map(out, hash->size(), version);
      for (const auto& [field, value] : *hash) out += bulk(field) + bulk(value);
      return out;
    }
    const auto it = hash->find(c[2]);
    if (is("HEXISTS")) return integer(it != hash->end());
    return it == hash->end() ? null(version) : bulk(it->second);
  }
  if (is("LPUSH") || is("RPUSH")) {
    auto* list = find_or_create<List>(now, c[1]);
    if (!list) return kWrongType;
    for (std::size_t i = 2; i < word_count; ++i) {
      if (is("LPUSH")) {
        list->emplace_front(c[i]);
      } else {
        list->emplace_back(c[i]);
      }
    }
    return integer(static_cast<std::int64_t>(list->size()));
  }
  if (is("LPOP") || is("RPOP") || is("LLEN") || is("LRANGE") || is("LINDEX")) {
    static List empty_list;
    Entry* e = find(now, c[1]);
    List* list = e ? std::get_if<List>(&e->value) : &empty_list;
    if (!list) return kWrongType;
    if (is("LLEN")) return integer(static_cast<std::int64_t>(list->size()));
    if (is("LRANGE")) {
      const auto from = resp::parse_int64(c[2]), to = resp::parse_int64(c[3]);
      if (!from || !to) return kNoInteger;
      std::vector<std::string> items;
      const auto size = static_cast<std::int64_t>(list->size());
      const std::int64_t end = *to < 0 ? *to + size : std::min(*to, size - 1);
      for (std::int64_t i = position_of(*from, list->size()); i <= end; ++i)
        items.push_back(bulk((*list)[static_cast<std::size_t>(i)]));
      return array(items);
    }
    if (is("LINDEX")) {
      const auto index = resp::parse_int64(c[2]);
      if (!index) return kNoInteger;
      const std::int64_t i = *index < 0 ? *index + static_cast<std::int64_t>(list->size()) : *index;
      if (i < 0 || i >= static_cast<std::int64_t>(list->size())) return null(version);
      return bulk((*list)[static_cast<std::size_t>(i)]);
    }
    if (word_count > 2) return "-ERR a count is not emulated here\r\n";
    if (list->empty()) return null(version);
    std::string reply = bulk(is("LPOP") ? list->front() : list->back());
    if (is("LPOP")) {
      list->pop_front();
    } else {
      list->pop_back();
    }
    drop_if_empty(c[1]);
    return reply;
  }
  if (is("SADD") || is("SREM")) {
    auto* members = find_or_create<Set>(now, c[1]);
    if (!members) return kWrongType;
    std::int64_t n = 0;
    for (std::size_t i = 2; i < word_count; ++i)
      n += is("SADD") ? members->emplace(std::string(c[i]), true).second
                      : static_cast<std::int64_t>(members->erase(std::string(c[i])));
    drop_if_empty(c[1]);
    return integer(n);
  }
  if (is("SCARD") || is("SISMEMBER") || is("SMEMBERS")) {
    static const Set kEmpty;
    Entry* e = find(now, c[1]);
    const Set* members = e ? std::get_if<Set>(&e->value) : &kEmpty;
    if (!members) return kWrongType;
    if (is("SCARD")) return integer(static_cast<std::int64_t>(members->size()));
    if (is("SISMEMBER")) return integer(members->count(std::string(c[2])) > 0);
    std::string out;
    if (version < 3) {
      resp::append_array(out, members->size());
    } else {
      out = "~" + std::to_string(members->size()) + "\r\n";
    }
    for (const auto& [member, unused] : *members) out += bulk(member);
    return out;
  }
  return std::nullopt;
}

}  // namespace balancer::testbed
