#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

// The meta commands of the memcache text protocol, as far as this protocol uses them. Incremental:
// input may be cut at any byte. No sockets.
namespace balancer::memcache {

// The longest legal line is far shorter: a key of 250 bytes, an id and a dozen short properties.
inline constexpr std::size_t kMaxLine = 4096;
inline constexpr std::size_t kMaxKey = 250;
inline constexpr std::size_t kMaxId = 32;
inline constexpr std::size_t kMaxValue = 4u << 20;
inline constexpr std::uint64_t kMaxDeadlineMs = 3'600'000;  // more is no client's patience

struct Command {
  enum class Kind { kGet, kSet, kNoop };

  Kind kind = Kind::kNoop;
  std::string line;  // as it came, without its end
  std::string key;
  std::string id;                // the opaque token
  std::string props;             // the list of names and values
  std::size_t props_offset = 0;  // where it stands in `line`
  std::string body;

  std::string_view prop(std::string_view name) const;  // empty if there is none
  // The list of names and values with the value of `d`, where the client sent one, replaced by
  // `remaining`. Every other byte is the client's.
  std::string props_with_deadline(std::chrono::milliseconds remaining) const;
  // The line to a cache host, with its line end and with the list as props_with_deadline() has it.
  std::string encode(std::chrono::milliseconds remaining) const;
};

// What a client has sent wrongly. What follows it may be the rest of it, and is not read.
struct ClientError {
  std::string_view reason;
};

class CommandReader {
 public:
  void feed(std::string_view bytes) { in_ += bytes; }
  // The next command or error, or nothing until more has come.
  std::optional<std::variant<Command, ClientError>> next();

  // Read ahead of the commands taken; a body under way is not counted.
  std::size_t buffered() const { return in_.size(); }
  // Nothing while a body is under way.
  std::optional<std::string> unread() const {
    if (body_left_) return std::nullopt;
    return in_.substr(at_);
  }
  bool between_commands() const { return !body_left_ && in_.size() == at_; }
  // How long the body under way will be; 0 if there is none.
  std::size_t body_length() const { return body_left_ ? body_length_ : 0; }
  // What the command of that body has as `d`; nothing if it has none that can be read.
  std::optional<std::chrono::milliseconds> body_deadline() const;

 private:
  using Item = std::variant<Command, ClientError>;

  std::optional<Item> take_line();
  std::optional<Item> take_body();
  std::optional<Item> begin(std::string_view line);
  void compact();

  std::string in_;
  std::size_t at_ = 0;  // consumed up to here
  Command command_;     // whose body is under way
  std::size_t body_length_ = 0;
  std::optional<std::size_t> body_left_;  // without the line end behind it
};

// An answer's first line.
struct AnswerHead {
  enum class Kind { kValue, kStored, kMiss, kBusy, kFailed };

  Kind kind = Kind::kFailed;
  std::size_t length = 0;  // of the value
  std::string id;          // empty for those that carry none
  std::string receipt;
  std::uint64_t retry_after_ms = 0;  // of a busy one; 0: it says none
};

class AnswerReader {
 public:
  enum class Event { kMore, kHead, kData, kEnd, kMalformed };

  // Consumes from the front of `input`. kHead tells that head() is set, kData that data() views a
  // piece of the value, kEnd that the answer is complete.
  Event next(std::string_view& input);
  const AnswerHead& head() const { return head_; }
  std::string_view data() const { return data_; }
  bool between_answers() const { return state_ == State::kLine && line_.empty(); }

 private:
  enum class State { kLine, kValue, kValueEnd, kDone };

  State state_ = State::kLine;
  std::string line_;
  AnswerHead head_;
  std::string_view data_;
  std::size_t left_ = 0;
};

std::optional<AnswerHead> parse_answer(std::string_view line);
// A token that can stand in a line: no spaces, no control characters.
bool is_token(std::string_view text, std::size_t longest);
std::optional<std::uint64_t> parse_number(std::string_view text);

}  // namespace balancer::memcache
