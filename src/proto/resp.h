#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// RESP2 and RESP3, the Redis serialization protocol, after its public specification
// (redis.io/docs/latest/develop/reference/protocol-spec). Incremental: input may be cut at any
// byte. Streamed strings and aggregates are refused. No sockets.
namespace balancer::resp {

// What a reader takes from a peer. What is beyond ends the connection.
struct Bounds {
  std::size_t bulk = 1u << 20;       // bytes of one string
  std::size_t elements = 64u << 10;  // of one command or reply, over all depths
  std::size_t total = 2u << 20;      // bytes of one command or reply
  std::size_t line = 64u << 10;      // of an inline command, or of a reply's simple string
  std::size_t depth = 16;            // of aggregates in a reply
};

// The first byte of each type on the wire.
enum class Type : char {
  kSimple = '+',
  kError = '-',
  kInteger = ':',
  kBulk = '$',
  kArray = '*',
  kNull = '_',
  kBoolean = '#',
  kDouble = ',',
  kBigNumber = '(',
  kBulkError = '!',
  kVerbatim = '=',
  kMap = '%',
  kSet = '~',
  kPush = '>',
  kAttribute = '|',
};

inline constexpr std::string_view kLineEnd = "\r\n";

// A client's command: its name and arguments as they came, in the form of an array of strings.
class Command {
 public:
  std::size_t size() const { return args_.size(); }
  std::string_view operator[](std::size_t i) const {
    return std::string_view(wire_).substr(args_[i].at, args_[i].length);
  }
  const std::string& wire() const { return wire_; }  // ready to be sent on
  std::string take_wire() && { return std::move(wire_); }
  void push_back(std::string_view arg);  // after the others; for those that are built
  static Command of(const std::vector<std::string_view>& args);

 private:
  friend class CommandReader;
  struct Arg {
    std::size_t at, length;
  };
  std::string wire_;
  std::vector<Arg> args_;
  std::size_t head_ = 0;  // length of the array's own line in `wire_`
};

// What a client has sent wrongly, in the words that servers use. Nothing behind it can be read.
struct Fault {
  std::string reason;
};

// Reads commands: arrays of strings, and inline ones with quotes. Empty ones are skipped.
class CommandReader {
 public:
  explicit CommandReader(const Bounds& bounds) : bounds_(bounds) {}
  void feed(std::string_view bytes) { in_ += bytes; }
  // The next command or fault, or nothing until more has come.
  std::optional<std::variant<Command, Fault>> next();

  // Read ahead of the commands taken. The command under way is not counted once a length stands for
  // it in expected().
  std::size_t buffered() const;
  // Bytes of the command under way as far as they were announced; 0 if no string of it is under
  // way.
  std::size_t expected() const { return bulk_ ? cursor_ - at_ + *bulk_ + 2 : 0; }
  bool between_commands() const { return at_ == in_.size(); }
  void clear() { *this = CommandReader(bounds_); }

 private:
  using Item = std::variant<Command, Fault>;

  // kEmpty: an array of no strings, which is skipped.
  enum class Progress { kNeedsMore, kRead, kEmpty };

  // A line from the cursor on, which goes behind it; nothing until its end has come.
  std::optional<std::string_view> take_line();
  // The same for a line that holds a length. `too_long`: the fault if it is longer than any length.
  std::variant<std::optional<std::string_view>, Fault> take_length_line(const char* too_long);
  std::optional<Item> take_inline();
  std::variant<Progress, Fault> read_array_header();
  std::variant<Progress, Fault> read_string_header();
  std::variant<Progress, Fault> read_string();
  Command assemble();
  void compact();

  Bounds bounds_;
  std::string in_;
  std::size_t at_ = 0;               // the command under way begins here
  std::size_t cursor_ = 0;           // it has been read up to here
  std::size_t scanned_ = 0;          // no line ends between the cursor and this
  std::optional<std::size_t> left_;  // strings still to come of the array under way
  std::optional<std::size_t> bulk_;  // length of the string under way
  std::size_t body_ = 0;             // where the array's first string's line begins
  std::vector<Command::Arg> args_;
};

// Finds where replies end, and passes their bytes on unchanged.
class ReplyReader {
 public:
  enum class Event { kMore, kData, kEnd, kMalformed };

  explicit ReplyReader(const Bounds& bounds) : bounds_(bounds) {}
  // Consumes from the front of `input`. kData: data() views a piece of the current reply, all of
  // whose bytes come so; kEnd: it is complete. Attributes belong to the reply behind them.
  Event next(std::string_view& input);
  std::string_view data() const { return data_; }
  // Of the reply that is under way or has just ended, not counting attributes.
  Type type() const { return type_; }
  bool between_replies() const { return state_ == State::kLine && line_.empty() && open_.empty(); }

 private:
  enum class State { kLine, kBulk, kDone };

  // Each returns false for what is malformed.
  bool on_line(std::string_view line);
  bool begin_string(Type type, std::string_view line);
  bool begin_aggregate(Type type, std::string_view line);
  bool open(std::uint64_t elements, bool counts);
  void close_value();

  Bounds bounds_;
  State state_ = State::kLine;
  std::string line_;  // so far
  std::string_view data_;
  Type type_ = Type::kNull;
  bool typed_ = false;  // type_ is that of the current reply
  Type bulk_type_ = Type::kBulk;
  std::size_t bulk_left_ = 0;  // with the line end behind it
  std::string bulk_edge_;      // the first bytes of a verbatim string, the line end of any
  std::size_t bulk_length_ = 0;
  struct Open {
    std::uint64_t left;
    bool attribute;  // is followed by the value that it belongs to
  };
  std::vector<Open> open_;
  std::size_t elements_ = 0, bytes_ = 0;
  bool ended_ = false;
};

// A whole reply as a tree. Views into the bytes that it was parsed from.
struct Value {
  Type type = Type::kNull;
  bool null = false;
  std::string_view text;     // of what has no items; of an error, the whole message
  std::vector<Value> items;  // of a map: keys and values in turn
  std::string_view wire;

  bool is_error() const { return type == Type::kError || type == Type::kBulkError; }
  std::optional<std::int64_t> integer() const;
};

// Exactly one reply; nothing if `wire` is not that. Attributes are skipped.
std::optional<Value> parse_reply(std::string_view wire, const Bounds& bounds);

std::optional<std::int64_t> parse_integer(std::string_view text);

// Writers. `version` is 2 or 3: what RESP2 lacks is written as it has been there.
void append_simple(std::string& out, std::string_view text);
// Line ends in the text are written as spaces: an error is one line.
void append_error(std::string& out, std::string_view text);
void append_integer(std::string& out, std::int64_t value);
void append_bulk(std::string& out, std::string_view text);
void append_array(std::string& out, std::size_t elements);
void append_map(std::string& out, std::size_t pairs, int version);
void append_null(std::string& out, int version);

}  // namespace balancer::resp
