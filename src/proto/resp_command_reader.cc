#include <algorithm>
#include <utility>

#include "proto/resp.h"

// Parsing of client commands: arrays of bulk strings, and inline commands.
namespace balancer::resp {
namespace {

// Bytes of a header line: type, sign and digits.
constexpr std::size_t kMaxLengthLine = 32;
// Bytes of an input buffer that are kept for a client without input.
constexpr std::size_t kMaxIdleBuffer = 1024;

int hex_digit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

bool is_space(char c) { return c == ' ' || c == '\t' || c == '\v' || c == '\f' || c == '\r'; }

// Splits an inline command into its arguments as a shell would. Returns nullopt if quotes are
// unbalanced.
std::optional<std::vector<std::string>> split_inline(std::string_view line) {
  std::vector<std::string> args;
  std::size_t i = 0;
  while (true) {
    while (i < line.size() && is_space(line[i])) ++i;
    if (i == line.size()) return args;
    std::string arg;
    while (i < line.size() && !is_space(line[i])) {
      const char quote = line[i];
      if (quote != '"' && quote != '\'') {
        arg += line[i++];
        continue;
      }
      for (++i;; ++i) {
        if (i >= line.size()) return std::nullopt;
        if (line[i] == quote) break;
        if (line[i] != '\\' || i + 1 >= line.size()) {
          arg += line[i];
        } else if (quote == '\'') {
          if (line[i + 1] == '\'') ++i;
          arg += line[i];
        } else if (line[i + 1] == 'x' && i + 3 < line.size() && hex_digit(line[i + 2]) >= 0 &&
                   hex_digit(line[i + 3]) >= 0) {
          arg += static_cast<char>(hex_digit(line[i + 2]) * 16 + hex_digit(line[i + 3]));
          i += 3;
        } else {
          static constexpr std::string_view kEscapes = "nrtba", kEscaped = "\n\r\t\b\a";
          const auto index = kEscapes.find(line[++i]);
          arg += index == std::string_view::npos ? line[i] : kEscaped[index];
        }
      }
      // A closing quote ends the argument.
      if (++i < line.size() && !is_space(line[i])) return std::nullopt;
    }
    args.push_back(std::move(arg));
  }
}

}  // namespace

std::optional<std::string_view> CommandReader::take_line() {
  const auto end = buffer_.find('\n', std::max(scanned_, cursor_));
  if (end == std::string::npos) {
    scanned_ = buffer_.size();
    return std::nullopt;
  }
  std::string_view line(buffer_.data() + cursor_, end - cursor_);
  if (line.ends_with('\r')) line.remove_suffix(1);
  cursor_ = end + 1;
  return line;
}

std::size_t CommandReader::buffered() const {
  const std::size_t unreturned = buffer_.size() - command_begin_;
  const std::size_t held = buffer_.capacity() > kMaxIdleBuffer ? buffer_.capacity() : unreturned;
  return held - std::min(held, expected());
}

void CommandReader::compact() {
  // Moves the rest only when half of the buffer or 4096 bytes are consumed, so that short commands
  // do not move it each time.
  if (command_begin_ < buffer_.size() && command_begin_ < 4096 &&
      command_begin_ * 2 < buffer_.size())
    return;
  buffer_.erase(0, command_begin_);
  cursor_ -= command_begin_;
  scanned_ = scanned_ > command_begin_ ? scanned_ - command_begin_ : 0;
  body_begin_ = body_begin_ > command_begin_ ? body_begin_ - command_begin_ : 0;
  command_begin_ = 0;
  // A client that has little input left must not keep the memory of a long command.
  if (buffer_.capacity() > kMaxIdleBuffer && buffer_.size() < buffer_.capacity() / 4 &&
      !string_length_)
    buffer_.shrink_to_fit();
}

std::optional<CommandReader::Item> CommandReader::take_inline() {
  const auto line = take_line();
  if (!line) {
    if (buffer_.size() - command_begin_ > bounds_.line + 1)
      return ProtocolError{"Protocol error: too big inline request"};
    return std::nullopt;
  }
  if (line->size() > bounds_.line) return ProtocolError{"Protocol error: too big inline request"};
  const auto args = split_inline(*line);
  if (!args) return ProtocolError{"Protocol error: unbalanced quotes in request"};
  Command c;
  for (const auto& arg : *args) c.push_back(arg);
  command_begin_ = cursor_;
  return c;
}

std::optional<CommandReader::Item> CommandReader::next() {
  while (true) {
    compact();
    if (command_begin_ == buffer_.size()) return std::nullopt;
    if (!strings_left_ && buffer_[command_begin_] != '*') {
      auto item = take_inline();
      const bool empty_line =
          item && std::holds_alternative<Command>(*item) && std::get<Command>(*item).size() == 0;
      if (empty_line) continue;
      return item;
    }
    if (!strings_left_) {
      const auto header = read_array_header();
      if (const auto* fault = std::get_if<ProtocolError>(&header)) return *fault;
      if (std::get<Progress>(header) == Progress::kNeedsMore) return std::nullopt;
      if (std::get<Progress>(header) == Progress::kEmpty) continue;
    }
    while (*strings_left_ > 0) {
      const auto progress = read_string();
      if (const auto* fault = std::get_if<ProtocolError>(&progress)) return *fault;
      if (std::get<Progress>(progress) == Progress::kNeedsMore) return std::nullopt;
    }
    return assemble();
  }
}

std::variant<CommandReader::Progress, ProtocolError> CommandReader::read_array_header() {
  const auto line = take_length_line("Protocol error: too big mbulk count string");
  if (const auto* fault = std::get_if<ProtocolError>(&line)) return *fault;
  const auto text = std::get<std::optional<std::string_view>>(line);
  if (!text) return Progress::kNeedsMore;
  const auto count = parse_int64(text->substr(1));
  if (!count || (*count > 0 && static_cast<std::uint64_t>(*count) > bounds_.elements))
    return ProtocolError{"Protocol error: invalid multibulk length"};
  if (*count <= 0) {
    command_begin_ = cursor_;
    return Progress::kEmpty;
  }
  strings_left_ = strings_ = static_cast<std::size_t>(*count);
  body_begin_ = cursor_;
  return Progress::kRead;
}

std::variant<CommandReader::Progress, ProtocolError> CommandReader::read_string_header() {
  if (cursor_ == buffer_.size()) return Progress::kNeedsMore;
  if (buffer_[cursor_] != '$') {
    std::string reason = "Protocol error: expected '$', got '";
    reason += buffer_[cursor_] >= ' ' && buffer_[cursor_] <= '~' ? buffer_[cursor_] : '?';
    return ProtocolError{reason + "'"};
  }
  const auto line = take_length_line("Protocol error: too big bulk count string");
  if (const auto* fault = std::get_if<ProtocolError>(&line)) return *fault;
  const auto text = std::get<std::optional<std::string_view>>(line);
  if (!text) return Progress::kNeedsMore;
  const auto length = parse_int64(text->substr(1));
  if (!length || *length < 0 || static_cast<std::uint64_t>(*length) > bounds_.bulk ||
      cursor_ - command_begin_ + static_cast<std::uint64_t>(*length) > bounds_.total)
    return ProtocolError{"Protocol error: invalid bulk length"};
  string_length_ = static_cast<std::size_t>(*length);
  return Progress::kRead;
}

std::variant<CommandReader::Progress, ProtocolError> CommandReader::read_string() {
  if (!string_length_) {
    auto header = read_string_header();
    if (std::holds_alternative<ProtocolError>(header) ||
        std::get<Progress>(header) == Progress::kNeedsMore)
      return header;
  }
  if (buffer_.size() - cursor_ < *string_length_ + kLineEnd.size()) return Progress::kNeedsMore;
  if (std::string_view(buffer_).substr(cursor_ + *string_length_, kLineEnd.size()) != kLineEnd)
    return ProtocolError{"Protocol error: a bulk string does not end where its length says"};
  cursor_ += *string_length_ + kLineEnd.size();
  string_length_.reset();
  --*strings_left_;
  return Progress::kRead;
}

std::variant<std::optional<std::string_view>, ProtocolError> CommandReader::take_length_line(
    const char* too_long) {
  const auto line = take_line();
  if (!line && buffer_.size() - cursor_ > kMaxLengthLine + 1) return ProtocolError{too_long};
  if (line && line->size() > kMaxLengthLine) return ProtocolError{too_long};
  return line;
}

// The places of the arguments are determined only now: an unfinished command of very many short
// strings would need a multiple of its length for them.
Command CommandReader::assemble() {
  // The array header is rewritten, because the received one may have a plus sign or leading zeros.
  Command command;
  const std::string header = "*" + std::to_string(strings_) + "\r\n";
  command.wire_.reserve(header.size() + cursor_ - body_begin_);
  command.wire_ = header;
  command.wire_.append(buffer_, body_begin_, cursor_ - body_begin_);
  command.header_length_ = header.size();
  command.args_.reserve(strings_);
  std::size_t at = header.size();
  for (std::size_t i = 0; i < strings_; ++i) {
    const auto line_end = command.wire_.find('\n', at);
    std::string_view line(command.wire_.data() + at + 1, line_end - at - 1);
    if (line.ends_with('\r')) line.remove_suffix(1);
    const auto length = static_cast<std::size_t>(parse_int64(line).value_or(0));
    command.add_arg(line_end + 1, length);
    at = line_end + 1 + length + kLineEnd.size();
  }
  strings_left_.reset();
  command_begin_ = cursor_;
  return command;
}

}  // namespace balancer::resp
