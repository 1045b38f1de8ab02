#include "cluster/commands.h"

#include <algorithm>
#include <string>

namespace balancer::cluster {
namespace {

char upper(char c) { return c >= 'a' && c <= 'z' ? static_cast<char>(c - 'a' + 'A') : c; }

// NOLINTNEXTLINE(readability-function-size): a table of data.
std::vector<CommandInfo> make_table() {
  using enum CommandKind;
  std::vector<CommandInfo> t;
  // Commands whose only key is the first argument.
  const auto single_key = [&t](CommandKind kind,
                               std::initializer_list<std::pair<std::string_view, int>> names) {
    for (const auto& [name, arity] : names) t.push_back({name, kind, arity, 1, 1, 1});
  };
  const auto not_forwarded = [&t](CommandKind kind, std::initializer_list<std::string_view> names) {
    for (const auto name : names) t.push_back({name, kind, -1});
  };
  single_key(kRead, {{"GET", 2},
                     {"STRLEN", 2},
                     {"GETRANGE", 4},
                     {"SUBSTR", 4},
                     {"GETBIT", 3},
                     {"BITCOUNT", -2},
                     {"BITPOS", -3},
                     {"BITFIELD_RO", -2},
                     {"TTL", 2},
                     {"PTTL", 2},
                     {"EXPIRETIME", 2},
                     {"PEXPIRETIME", 2},
                     {"TYPE", 2},
                     {"DUMP", 2},
                     {"SORT_RO", -2},
                     {"HGET", 3},
                     {"HMGET", -3},
                     {"HGETALL", 2},
                     {"HKEYS", 2},
                     {"HVALS", 2},
                     {"HLEN", 2},
                     {"HEXISTS", 3},
                     {"HSTRLEN", 3},
                     {"HSCAN", -3},
                     {"HRANDFIELD", -2},
                     {"HTTL", -5},
                     {"HPTTL", -5},
                     {"LLEN", 2},
                     {"LRANGE", 4},
                     {"LINDEX", 3},
                     {"LPOS", -3},
                     {"SCARD", 2},
                     {"SISMEMBER", 3},
                     {"SMISMEMBER", -3},
                     {"SMEMBERS", 2},
                     {"SRANDMEMBER", -2},
                     {"SSCAN", -3},
                     {"ZCARD", 2},
                     {"ZCOUNT", 4},
                     {"ZLEXCOUNT", 4},
                     {"ZRANGE", -4},
                     {"ZREVRANGE", -4},
                     {"ZRANGEBYSCORE", -4},
                     {"ZREVRANGEBYSCORE", -4},
                     {"ZRANGEBYLEX", -4},
                     {"ZREVRANGEBYLEX", -4},
                     {"ZRANK", -3},
                     {"ZREVRANK", -3},
                     {"ZSCORE", 3},
                     {"ZMSCORE", -3},
                     {"ZRANDMEMBER", -2},
                     {"ZSCAN", -3},
                     {"GEOPOS", -2},
                     {"GEODIST", -4},
                     {"GEOHASH", -2},
                     {"GEOSEARCH", -7},
                     {"GEORADIUS_RO", -6},
                     {"GEORADIUSBYMEMBER_RO", -5},
                     {"XLEN", 2},
                     {"XRANGE", -4},
                     {"XREVRANGE", -4},
                     {"XPENDING", -3}});
  single_key(kWrite, {{"SET", -3},
                      {"SETNX", 3},
                      {"SETEX", 4},
                      {"PSETEX", 4},
                      {"GETSET", 3},
                      {"GETDEL", 2},
                      {"GETEX", -2},
                      {"APPEND", 3},
                      {"SETRANGE", 4},
                      {"INCR", 2},
                      {"DECR", 2},
                      {"INCRBY", 3},
                      {"DECRBY", 3},
                      {"INCRBYFLOAT", 3},
                      {"SETBIT", 4},
                      {"BITFIELD", -2},
                      {"EXPIRE", -3},
                      {"PEXPIRE", -3},
                      {"EXPIREAT", -3},
                      {"PEXPIREAT", -3},
                      {"PERSIST", 2},
                      {"RESTORE", -4},
                      {"SORT", -2},
                      {"HSET", -4},
                      {"HSETNX", 4},
                      {"HMSET", -4},
                      {"HDEL", -3},
                      {"HINCRBY", 4},
                      {"HINCRBYFLOAT", 4},
                      {"HEXPIRE", -6},
                      {"HPEXPIRE", -6},
                      {"HPERSIST", -5},
                      {"LPUSH", -3},
                      {"RPUSH", -3},
                      {"LPUSHX", -3},
                      {"RPUSHX", -3},
                      {"LPOP", -2},
                      {"RPOP", -2},
                      {"LSET", 4},
                      {"LREM", 4},
                      {"LTRIM", 4},
                      {"LINSERT", 5},
                      {"SADD", -3},
                      {"SREM", -3},
                      {"SPOP", -2},
                      {"ZADD", -4},
                      {"ZINCRBY", 4},
                      {"ZREM", -3},
                      {"ZPOPMIN", -2},
                      {"ZPOPMAX", -2},
                      {"ZREMRANGEBYRANK", 4},
                      {"ZREMRANGEBYSCORE", 4},
                      {"ZREMRANGEBYLEX", 4},
                      {"GEOADD", -5},
                      {"PFADD", -2},
                      {"XADD", -5},
                      {"XDEL", -3},
                      {"XTRIM", -4},
                      {"XACK", -4},
                      {"XCLAIM", -6},
                      {"XAUTOCLAIM", -6}});
  // Commands with other key positions.
  t.push_back({"MGET", kRead, -2, 1, -1, 1, 0, Split::kGet});
  t.push_back({"EXISTS", kRead, -2, 1, -1, 1, 0, Split::kCount});
  t.push_back({"TOUCH", kRead, -2, 1, -1, 1, 0, Split::kCount});
  t.push_back({"MSET", kWrite, -3, 1, -1, 2, 0, Split::kSet});
  t.push_back({"DEL", kWrite, -2, 1, -1, 1, 0, Split::kCount});
  t.push_back({"UNLINK", kWrite, -2, 1, -1, 1, 0, Split::kCount});
  t.push_back({"MSETNX", kWrite, -3, 1, -1, 2});
  for (const auto name : {"SINTER", "SUNION", "SDIFF", "PFCOUNT"})
    t.push_back({name, kRead, -2, 1, -1, 1});
  for (const auto name : {"SINTERSTORE", "SUNIONSTORE", "SDIFFSTORE", "PFMERGE"})
    t.push_back({name, kWrite, name[0] == 'P' ? -2 : -3, 1, -1, 1});
  t.push_back({"LCS", kRead, -3, 1, 2, 1});
  t.push_back({"RENAME", kWrite, 3, 1, 2, 1});
  t.push_back({"RENAMENX", kWrite, 3, 1, 2, 1});
  t.push_back({"COPY", kWrite, -3, 1, 2, 1});
  t.push_back({"SMOVE", kWrite, 4, 1, 2, 1});
  t.push_back({"RPOPLPUSH", kWrite, 3, 1, 2, 1});
  t.push_back({"LMOVE", kWrite, 5, 1, 2, 1});
  t.push_back({"ZRANGESTORE", kWrite, -5, 1, 2, 1});
  t.push_back({"GEOSEARCHSTORE", kWrite, -8, 1, 2, 1});
  t.push_back({"BITOP", kWrite, -4, 2, -1, 1});
  for (const auto name : {"SINTERCARD", "ZINTER", "ZUNION", "ZDIFF", "ZINTERCARD"})
    t.push_back({name, kRead, -3, 0, 0, 0, 1});
  for (const auto name : {"ZINTERSTORE", "ZUNIONSTORE", "ZDIFFSTORE"})
    t.push_back({name, kWrite, -4, 1, 1, 1, 2});
  for (const auto name : {"LMPOP", "ZMPOP"}) t.push_back({name, kWrite, -4, 0, 0, 0, 1});
  for (const auto name : {"EVAL", "EVALSHA", "FCALL"}) t.push_back({name, kWrite, -3, 0, 0, 0, 2});
  for (const auto name : {"EVAL_RO", "EVALSHA_RO", "FCALL_RO"})
    t.push_back({name, kRead, -3, 0, 0, 0, 2});
  t.push_back({"XREAD", kRead, -4});  // keys follow STREAMS
  t.push_back({"XREADGROUP", kWrite, -7});
  // Commands that cannot be forwarded.
  not_forwarded(kBlocking, {"BLPOP", "BRPOP", "BRPOPLPUSH", "BLMOVE", "BLMPOP", "BZPOPMIN",
                            "BZPOPMAX", "BZMPOP", "WAIT", "WAITAOF"});
  not_forwarded(kSubscribe, {"SUBSCRIBE", "UNSUBSCRIBE", "PSUBSCRIBE", "PUNSUBSCRIBE", "SSUBSCRIBE",
                             "SUNSUBSCRIBE", "PUBLISH", "SPUBLISH", "PUBSUB", "MONITOR"});
  not_forwarded(kAdmin, {"ACL",      "BGREWRITEAOF", "BGSAVE",    "CONFIG",   "DBSIZE", "DEBUG",
                         "FAILOVER", "FLUSHALL",     "FLUSHDB",   "FUNCTION", "KEYS",   "LASTSAVE",
                         "LATENCY",  "MEMORY",       "MIGRATE",   "MODULE",   "MOVE",   "OBJECT",
                         "PSYNC",    "RANDOMKEY",    "REPLICAOF", "ROLE",     "SAVE",   "SCAN",
                         "SCRIPT",   "SHUTDOWN",     "SLAVEOF",   "SLOWLOG",  "SWAPDB", "SYNC",
                         "TIME",     "WATCH",        "XGROUP",    "XINFO"});
  std::sort(t.begin(), t.end(),
            [](const CommandInfo& a, const CommandInfo& b) { return a.name < b.name; });
  return t;
}

std::optional<std::size_t> stream_words(const resp::Command& command) {
  for (std::size_t i = 1; i < command.size(); ++i)
    if (equals_ignore_case(command[i], "STREAMS")) return i;
  return std::nullopt;
}

}  // namespace

bool equals_ignore_case(std::string_view word, std::string_view upper_word) {
  return word.size() == upper_word.size() &&
         std::equal(word.begin(), word.end(), upper_word.begin(),
                    [](char a, char b) { return upper(a) == b; });
}

const std::vector<CommandInfo>& all_commands() {
  static const std::vector<CommandInfo> table = make_table();
  return table;
}

const CommandInfo* find_command(std::string_view name) {
  constexpr std::size_t kLongest = 24;
  if (name.size() > kLongest) return nullptr;
  char text[kLongest];
  std::transform(name.begin(), name.end(), text, upper);
  const std::string_view word(text, name.size());
  const auto& t = all_commands();
  const auto it = std::lower_bound(t.begin(), t.end(), word,
                                   [](const CommandInfo& c, auto w) { return c.name < w; });
  return it != t.end() && it->name == word ? &*it : nullptr;
}

bool has_valid_arity(const CommandInfo& info, std::size_t words) {
  const auto n = static_cast<int>(words);
  return info.arity >= 0 ? n == info.arity : n >= -info.arity;
}

std::optional<std::vector<std::size_t>> key_positions(const CommandInfo& info,
                                                      const resp::Command& command) {
  std::vector<std::size_t> keys;
  const std::size_t words = command.size();
  if (info.name == "XREAD" || info.name == "XREADGROUP") {
    const auto at = stream_words(command);
    if (!at || (words - *at - 1) % 2 != 0) return std::nullopt;
    for (std::size_t i = 0; i < (words - *at - 1) / 2; ++i) keys.push_back(*at + 1 + i);
    return keys;
  }
  if (info.first_key > 0) {
    const auto last = info.last_key > 0 ? static_cast<std::size_t>(info.last_key) : words - 1;
    const auto step = static_cast<std::size_t>(info.step);
    if (info.last_key < 0 && (words - static_cast<std::size_t>(info.first_key)) % step != 0)
      return std::nullopt;
    for (auto i = static_cast<std::size_t>(info.first_key); i <= last; i += step) {
      if (i >= words) return std::nullopt;
      keys.push_back(i);
    }
  }
  if (info.key_count_index > 0) {
    const auto at = static_cast<std::size_t>(info.key_count_index);
    if (at >= words) return std::nullopt;
    const auto count = resp::parse_int64(command[at]);
    if (!count || *count < 0 || static_cast<std::uint64_t>(*count) > words - at - 1)
      return std::nullopt;
    for (std::size_t i = 0; i < static_cast<std::size_t>(*count); ++i) keys.push_back(at + 1 + i);
  }
  return keys;
}

bool would_block(const CommandInfo& info, const resp::Command& command) {
  if (info.name != "XREAD" && info.name != "XREADGROUP") return false;
  const auto streams = stream_words(command);
  for (std::size_t i = 1; i < streams.value_or(command.size()); ++i)
    if (equals_ignore_case(command[i], "BLOCK")) return true;
  return false;
}

}  // namespace balancer::cluster
