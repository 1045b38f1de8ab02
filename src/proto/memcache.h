#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

// Codec of the subset of the memcache meta commands that clients and cache hosts use here. The
// parsers are incremental: input may be split at any byte. Performs no I/O.
namespace balancer::memcache {

// Bytes. The longest legal line is far shorter: a key of 250 bytes, an id and a dozen short
// properties.
inline constexpr std::size_t kMaxLine = 4096;
inline constexpr std::size_t kMaxKey = 250;
inline constexpr std::size_t kMaxId = 32;
inline constexpr std::size_t kMaxValue = 4u << 20;
inline constexpr std::uint64_t kMaxDeadlineMs = 3'600'000;  // one hour; no client waits longer

// A client's command: get (mg), set (ms) or no-op (mn).
struct Command {
  enum class Kind { kGet, kSet, kNoop };

  Kind kind = Kind::kNoop;
  std::string line;  // as received, without the line end
  std::string key;
  std::string id;                // the opaque token (flag O)
  std::string props;             // list of name=value properties, comma-separated (flag P)
  std::size_t props_offset = 0;  // offset of `props` in `line`
  std::string body;

  // Returns the memory that the command takes without its body, in bytes.
  std::size_t head_bytes() const {
    return line.capacity() + key.capacity() + id.capacity() + props.capacity();
  }
  std::string_view prop(std::string_view name) const;  // empty if absent
  // Returns `props` with the value of the deadline property `d`, if the client sent one, replaced
  // by `remaining`. All other bytes are unchanged.
  std::string props_with_deadline(std::chrono::milliseconds remaining) const;
  // Returns the line to send to a cache host, with its line end and props_with_deadline().
  std::string encode(std::chrono::milliseconds remaining) const;
};

// A protocol error of a client. The input after it may belong to the malformed command and is not
// parsed.
struct ClientError {
  std::string_view reason;
};

// Parses the commands of one client connection.
class CommandReader {
 public:
  void feed(std::string_view bytes) { buffer_ += bytes; }
  // Returns the next command or error, or nullopt if more input is needed.
  std::optional<std::variant<Command, ClientError>> next();

  // Returns the memory held for the input and for the head of a command whose body is being read,
  // in bytes; the body itself is not counted.
  std::size_t buffered() const;
  // Returns the unparsed input, or nullopt while a body is being read.
  std::optional<std::string> unread() const {
    if (body_left_) return std::nullopt;
    return buffer_.substr(consumed_);
  }
  bool between_commands() const { return !body_left_ && buffer_.size() == consumed_; }
  // Returns the length of the body that is being read; 0 if there is none.
  std::size_t body_length() const { return body_left_ ? body_length_ : 0; }
  // Returns the deadline property `d` of the command whose body is being read; nullopt if there is
  // no such command, or no valid deadline.
  std::optional<std::chrono::milliseconds> body_deadline() const;

 private:
  using Item = std::variant<Command, ClientError>;

  std::optional<Item> take_line();
  std::optional<Item> take_body();
  std::optional<Item> parse_line(std::string_view line);
  void compact();

  std::string buffer_;
  std::size_t consumed_ = 0;  // bytes of buffer_ already parsed
  Command command_;           // the command whose body is being read
  std::size_t body_length_ = 0;
  std::optional<std::size_t> body_left_;  // without the line end
};

// First line of a cache host's reply.
struct AnswerHead {
  enum class Kind { kValue, kStored, kMiss, kBusy, kFailed };

  Kind kind = Kind::kFailed;
  std::size_t length = 0;            // of the value
  std::string id;                    // empty if the reply carries none
  std::string receipt;               // flag c of a stored value
  std::uint64_t retry_after_ms = 0;  // of kBusy; 0: not given
};

// Parses the replies on one connection to a cache host.
class AnswerReader {
 public:
  enum class Event { kMore, kHead, kData, kEnd, kMalformed };

  // Consumes bytes from the front of `input`. kHead: head() is set; kData: data() is the next piece
  // of the value; kEnd: the reply is complete.
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
  std::size_t bytes_left_ = 0;  // of the value, or of its line end
};

// Parses the first line of a reply, without its line end. Returns nullopt if it is malformed.
std::optional<AnswerHead> parse_answer(std::string_view line);
// Returns whether `text` is a valid token of a line: 1 to `max_length` bytes without spaces and
// control characters.
bool is_token(std::string_view text, std::size_t max_length);
// Parses an unsigned decimal number. Returns nullopt if `text` is anything else.
std::optional<std::uint64_t> parse_uint64(std::string_view text);

}  // namespace balancer::memcache
