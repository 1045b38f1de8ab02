#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

#include "proto/resp.h"

// The data commands of the public reference (redis.io/docs/latest/commands): how many words each
// has, which of them are keys, and whether it writes.
namespace balancer::cluster {

enum class Kind {
  kRead,
  kWrite,
  kBlocking,   // holds the connection until something happens
  kSubscribe,  // turns the connection into a stream of messages
  kAdmin,      // of a server, not of keys
};

enum class Split {
  kNone,
  kGet,
  kSet,
  kCount
};  // how its answers are joined, if it is split by slot

struct CommandInfo {
  std::string_view name;  // upper case
  Kind kind;
  int arity;  // words, its name included; negative: at least so many
  int first_key = 0, last_key = 0, step = 0;  // word numbers; last negative: from the end
  int count_at = 0;  // the word that tells how many keys follow it; 0: none
  Split split = Split::kNone;
};

// Nothing if the command is not known.
const CommandInfo* find_command(std::string_view name);
const std::vector<CommandInfo>& all_commands();

// Whether the command has as many words as it may.
bool arity_fits(const CommandInfo& info, std::size_t words);
// The word numbers of its keys; nothing if they cannot be told.
std::optional<std::vector<std::size_t>> keys_of(const CommandInfo& info,
                                                const resp::Command& command);
// Whether this command, though not of the blocking kind, would wait (XREAD with BLOCK).
bool blocks(const CommandInfo& info, const resp::Command& command);

// ASCII only, as names of commands are.
bool same_word(std::string_view word, std::string_view upper);

}  // namespace balancer::cluster
