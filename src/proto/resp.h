#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// Codec of RESP2 and RESP3, the Redis serialization protocol, according to its public specification
// (redis.io/docs/latest/develop/reference/protocol-spec). The parsers are incremental: input may be
// split at any byte. Streamed strings and aggregates are rejected. Performs no I/O.
namespace balancer::resp {

// Limits on the input from a peer. Input that exceeds a limit is a protocol error.
struct InputLimits {
  std::size_t bulk = 1u << 20;       // bytes of one string
  std::size_t elements = 64u << 10;  // elements of one command or reply, over all depths
  std::size_t total = 2u << 20;      // bytes of one command or reply
  std::size_t line = 64u << 10;      // bytes of an inline command or of a line of a reply
  std::size_t depth = 16;            // nested aggregates in a reply
};

// The type of a value; the enumerators are the types' first bytes on the wire.
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

// A client's command: its name and its arguments as received, encoded as an array of bulk strings.
class Command {
 public:
  std::size_t size() const { return args_.size(); }
  std::string_view operator[](std::size_t i) const {
    return std::string_view(wire_).substr(args_[i].offset, args_[i].length);
  }
  const std::string& wire() const { return wire_; }  // ready to be forwarded
  // Returns the memory that the command takes, in bytes.
  std::size_t held_bytes() const { return wire_.capacity() + args_.capacity() * sizeof(Arg); }
  std::string take_wire() && { return std::move(wire_); }
  void push_back(std::string_view arg);  // appends an argument to a command under construction
  static Command from_args(const std::vector<std::string_view>& args);

 private:
  friend class CommandReader;
  struct Arg {
    std::uint32_t offset, length;  // InputLimits::total keeps a command far below 4 GiB
  };
  void add_arg(std::size_t offset, std::size_t length) {
    args_.push_back({static_cast<std::uint32_t>(offset), static_cast<std::uint32_t>(length)});
  }
  std::string wire_;
  std::vector<Arg> args_;
  std::size_t header_length_ = 0;  // bytes of the array header line in `wire_`
};

// A protocol error of a client, with the message that Redis servers use for it. The input after it
// cannot be parsed.
struct ProtocolError {
  std::string reason;
};

// Parses commands: arrays of bulk strings, and inline commands with quoted arguments. Skips empty
// commands.
class CommandReader {
 public:
  explicit CommandReader(const InputLimits& bounds) : bounds_(bounds) {}
  void feed(std::string_view bytes) { buffer_ += bytes; }
  // Returns the next command or fault, or nullopt if more input is needed.
  std::optional<std::variant<Command, ProtocolError>> next();

  // Returns the memory held for bytes that were fed and not yet returned as commands, without the
  // part of the current command that expected() accounts for.
  std::size_t buffered() const;
  // Returns the size in bytes of the current command up to the end of the string that is being
  // read, as announced by the string's header; 0 if no string is being read.
  std::size_t expected() const {
    return string_length_ ? cursor_ - command_begin_ + *string_length_ + 2 : 0;
  }
  bool between_commands() const { return command_begin_ == buffer_.size(); }
  void clear() { *this = CommandReader(bounds_); }

 private:
  using Item = std::variant<Command, ProtocolError>;

  // kEmpty: an array without strings, which is skipped.
  enum class Progress { kNeedsMore, kRead, kEmpty };

  // Returns the line at the cursor and moves the cursor past it; nullopt if it is incomplete.
  std::optional<std::string_view> take_line();
  // The same for a header line with a length or count. `too_long`: the fault's reason if the line
  // is longer than any valid header.
  std::variant<std::optional<std::string_view>, ProtocolError> take_length_line(
      const char* too_long);
  std::optional<Item> take_inline();
  std::variant<Progress, ProtocolError> read_array_header();
  std::variant<Progress, ProtocolError> read_string_header();
  std::variant<Progress, ProtocolError> read_string();
  Command assemble();
  void compact();

  InputLimits bounds_;
  std::string buffer_;
  std::size_t command_begin_ = 0;  // offset of the current command
  std::size_t cursor_ = 0;         // offset up to which it has been parsed
  std::size_t scanned_ = 0;        // there is no line end between the cursor and this offset
  std::optional<std::size_t> strings_left_;   // strings of the current array not read yet
  std::optional<std::size_t> string_length_;  // length of the string that is being read
  std::size_t strings_ = 0;                   // strings of the current array
  std::size_t body_begin_ = 0;                // offset of the header of the array's first string
};

// Finds the ends of replies, and returns the replies' bytes unchanged.
class ReplyReader {
 public:
  enum class Event { kMore, kData, kEnd, kMalformed };

  explicit ReplyReader(const InputLimits& bounds) : bounds_(bounds) {}
  // Consumes bytes from the front of `input`. kData: data() is the next piece of the current reply;
  // the pieces add up to the complete reply. kEnd: the reply is complete. Attributes are part of
  // the reply that follows them.
  Event next(std::string_view& input);
  std::string_view data() const { return data_; }
  // Returns how many bytes of the string that is being read are still to come.
  std::size_t expected() const { return state_ == State::kBulk ? bulk_left_ : 0; }
  // Returns the type of the current or just completed reply, disregarding attributes.
  Type type() const { return type_; }
  bool between_replies() const {
    return state_ == State::kLine && line_.empty() && open_aggregates_.empty();
  }

 private:
  enum class State { kLine, kBulk, kDone };

  // Each returns false if the input is malformed.
  bool parse_line(std::string_view line);
  bool begin_string(Type type, std::string_view line);
  bool begin_aggregate(Type type, std::string_view line);
  bool open_aggregate(std::uint64_t count, bool attribute);
  void close_value();

  InputLimits bounds_;
  State state_ = State::kLine;
  std::string line_;  // the current line as far as it was received
  std::string_view data_;
  Type type_ = Type::kNull;
  bool has_type_ = false;  // type_ is that of the current reply
  Type bulk_type_ = Type::kBulk;
  std::size_t bulk_left_ = 0;  // bytes left, including the line end
  std::string bulk_edge_;      // the first bytes of a verbatim string, the line end of any
  std::size_t bulk_length_ = 0;
  struct OpenAggregate {
    std::uint64_t elements_left;
    bool attribute;  // followed by the value that it belongs to
  };
  std::vector<OpenAggregate> open_aggregates_;  // outermost first
  std::size_t elements_ = 0, bytes_ = 0;
  bool complete_ = false;
};

// A complete reply as a tree of values. Refers to the bytes that it was parsed from.
struct Value {
  Type type = Type::kNull;
  bool null = false;
  std::string_view text;     // of a value without items; of an error, the complete message
  std::vector<Value> items;  // of a map: alternating keys and values
  std::string_view wire;     // the encoding, without attributes of the value itself

  bool is_error() const { return type == Type::kError || type == Type::kBulkError; }
  std::optional<std::int64_t> integer() const;
};

// Returns the encodings of the elements of exactly one array or set, without building a tree;
// refers to `wire`. Returns nullopt if `wire` is anything else.
std::optional<std::vector<std::string_view>> array_elements(std::string_view wire,
                                                            const InputLimits& bounds);

// Parses exactly one reply, skipping attributes. Returns nullopt if `wire` is anything else.
std::optional<Value> parse_reply(std::string_view wire, const InputLimits& bounds);

// Parses a signed decimal integer, with an optional plus sign. Returns nullopt if `text` is
// anything else or out of range.
std::optional<std::int64_t> parse_int64(std::string_view text);

// Serializers. `version` is 2 or 3; types that RESP2 lacks are written as their RESP2 equivalents.
void append_simple(std::string& out, std::string_view text);
// Replaces carriage returns and line feeds in the text by spaces, because an error is one line.
void append_error(std::string& out, std::string_view text);
void append_integer(std::string& out, std::int64_t value);
void append_bulk(std::string& out, std::string_view text);
void append_array(std::string& out, std::size_t elements);
void append_map(std::string& out, std::size_t pairs, int version);
void append_null(std::string& out, int version);

}  // namespace balancer::resp
