#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

#include "proto/resp.h"

// The commands of the public reference (redis.io/docs/latest/commands): arity, positions of the
// keys, and whether a command writes. A command's words are its name and its arguments.
namespace balancer::cluster {

enum class CommandKind {
  kRead,
  kWrite,
  kBlocking,   // occupies the connection until an event occurs
  kSubscribe,  // publishes messages, or turns the connection into a stream of them
  kAdmin,      // concerns the server rather than keys
};

// How the replies of a command that is split by slot are joined.
enum class Split {
  kNone,  // the command is not split
  kGet,   // arrays, joined in the order of the keys
  kSet,   // the first reply stands for all
  kCount  // integers, added up
};

struct CommandInfo {
  std::string_view name;  // upper case
  CommandKind kind;
  int arity;  // number of words, as in COMMAND INFO; negative: the minimum
  int first_key = 0, last_key = 0, step = 0;  // word indexes; last_key < 0: from the end
  int key_count_index = 0;  // index of the word with the number of keys that follow it; 0: none
  Split split = Split::kNone;
};

// Returns nullptr for an unknown command.
const CommandInfo* find_command(std::string_view name);
const std::vector<CommandInfo>& all_commands();

// Whether the command may have this number of words, its name included.
bool has_valid_arity(const CommandInfo& info, std::size_t words);
// Returns the word indexes of the command's keys; nullopt if its syntax is invalid.
std::optional<std::vector<std::size_t>> key_positions(const CommandInfo& info,
                                                      const resp::Command& command);
// Whether a command that is not of CommandKind::kBlocking would block (XREAD and XREADGROUP with
// BLOCK).
bool would_block(const CommandInfo& info, const resp::Command& command);

// Compares without regard to ASCII case; `upper` must be in upper case.
bool equals_ignore_case(std::string_view word, std::string_view upper);

}  // namespace balancer::cluster
