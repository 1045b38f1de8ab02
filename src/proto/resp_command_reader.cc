#include <algorithm>
#include <utility>

#include "proto/resp.h"

// Commands as clients send them: arrays of strings, and inline ones.
namespace balancer::resp {
namespace {

// A length's line: type, sign and digits.
constexpr std::size_t kMaxLengthLine = 32;

int hex(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

bool is_space(char c) { return c == ' ' || c == '\t' || c == '\v' || c == '\f' || c == '\r'; }

// The arguments of an inline command, as a shell would split them; nothing if quotes are
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
        } else if (line[i + 1] == 'x' && i + 3 < line.size() && hex(line[i + 2]) >= 0 &&
                   hex(line[i + 3]) >= 0) {
          arg += static_cast<char>(hex(line[i + 2]) * 16 + hex(line[i + 3]));
          i += 3;
        } else {
          static constexpr std::string_view kFrom = "nrtba", kTo = "\n\r\t\b\a";
          const auto at = kFrom.find(line[++i]);
          arg += at == std::string_view::npos ? line[i] : kTo[at];
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
  const auto end = in_.find('\n', std::max(scanned_, cursor_));
  if (end == std::string::npos) {
    scanned_ = in_.size();
    return std::nullopt;
  }
  std::string_view line(in_.data() + cursor_, end - cursor_);
  if (line.ends_with('\r')) line.remove_suffix(1);
  cursor_ = end + 1;
  return line;
}

std::size_t CommandReader::buffered() const {
  const std::size_t whole = in_.size() - at_;
  return whole - std::min(whole, expected());
}

void CommandReader::compact() {
  // Moved only once what lies before is the larger part: each byte is moved about once.
  if (at_ < in_.size() && at_ < 4096 && at_ * 2 < in_.size()) return;
  in_.erase(0, at_);
  cursor_ -= at_;
  scanned_ = scanned_ > at_ ? scanned_ - at_ : 0;
  body_ = body_ > at_ ? body_ - at_ : 0;
  for (auto& a : args_) a.at -= at_;
  at_ = 0;
  // A buffer that held a long command must not stay with an idle client.
  if (in_.empty() && in_.capacity() > 4096) in_.shrink_to_fit();
}

std::optional<CommandReader::Item> CommandReader::take_inline() {
  const auto line = take_line();
  if (!line) {
    if (in_.size() - at_ > bounds_.line + 1) return Fault{"Protocol error: too big inline request"};
    return std::nullopt;
  }
  if (line->size() > bounds_.line) return Fault{"Protocol error: too big inline request"};
  const auto args = split_inline(*line);
  if (!args) return Fault{"Protocol error: unbalanced quotes in request"};
  Command c;
  for (const auto& arg : *args) c.push_back(arg);
  at_ = cursor_;
  return c;
}

std::optional<CommandReader::Item> CommandReader::next() {
  while (true) {
    compact();
    if (at_ == in_.size()) return std::nullopt;
    if (!left_ && in_[at_] != '*') {
      auto item = take_inline();
      const bool empty_line =
          item && std::holds_alternative<Command>(*item) && std::get<Command>(*item).size() == 0;
      if (empty_line) continue;
      return item;
    }
    if (!left_) {
      const auto header = read_array_header();
      if (const auto* fault = std::get_if<Fault>(&header)) return *fault;
      if (std::get<Progress>(header) == Progress::kNeedsMore) return std::nullopt;
      if (std::get<Progress>(header) == Progress::kEmpty) continue;
    }
    while (*left_ > 0) {
      const auto string = read_string();
      if (const auto* fault = std::get_if<Fault>(&string)) return *fault;
      if (std::get<Progress>(string) == Progress::kNeedsMore) return std::nullopt;
    }
    return assemble();
  }
}

std::variant<CommandReader::Progress, Fault> CommandReader::read_array_header() {
  const auto line = take_length_line("Protocol error: too big mbulk count string");
  if (const auto* fault = std::get_if<Fault>(&line)) return *fault;
  const auto text = std::get<std::optional<std::string_view>>(line);
  if (!text) return Progress::kNeedsMore;
  const auto count = parse_integer(text->substr(1));
  if (!count || (*count > 0 && static_cast<std::uint64_t>(*count) > bounds_.elements))
    return Fault{"Protocol error: invalid multibulk length"};
  if (*count <= 0) {
    at_ = cursor_;
    return Progress::kEmpty;
  }
  left_ = static_cast<std::size_t>(*count);
  body_ = cursor_;
  args_.clear();
  return Progress::kRead;
}

std::variant<CommandReader::Progress, Fault> CommandReader::read_string_header() {
  if (cursor_ == in_.size()) return Progress::kNeedsMore;
  if (in_[cursor_] != '$') {
    std::string reason = "Protocol error: expected '$', got '";
    reason += in_[cursor_] >= ' ' && in_[cursor_] <= '~' ? in_[cursor_] : '?';
    return Fault{reason + "'"};
  }
  const auto line = take_length_line("Protocol error: too big bulk count string");
  if (const auto* fault = std::get_if<Fault>(&line)) return *fault;
  const auto text = std::get<std::optional<std::string_view>>(line);
  if (!text) return Progress::kNeedsMore;
  const auto length = parse_integer(text->substr(1));
  if (!length || *length < 0 || static_cast<std::uint64_t>(*length) > bounds_.bulk ||
      cursor_ - at_ + static_cast<std::uint64_t>(*length) > bounds_.total)
    return Fault{"Protocol error: invalid bulk length"};
  bulk_ = static_cast<std::size_t>(*length);
  return Progress::kRead;
}

std::variant<CommandReader::Progress, Fault> CommandReader::read_string() {
  if (!bulk_) {
    auto header = read_string_header();
    if (std::holds_alternative<Fault>(header) || std::get<Progress>(header) == Progress::kNeedsMore)
      return header;
  }
  if (in_.size() - cursor_ < *bulk_ + kLineEnd.size()) return Progress::kNeedsMore;
  if (std::string_view(in_).substr(cursor_ + *bulk_, kLineEnd.size()) != kLineEnd)
    return Fault{"Protocol error: a bulk string does not end where its length says"};
  args_.push_back({cursor_, *bulk_});
  cursor_ += *bulk_ + kLineEnd.size();
  bulk_.reset();
  --*left_;
  return Progress::kRead;
}

std::variant<std::optional<std::string_view>, Fault> CommandReader::take_length_line(
    const char* too_long) {
  const auto line = take_line();
  if (!line && in_.size() - cursor_ > kMaxLengthLine + 1) return Fault{too_long};
  if (line && line->size() > kMaxLengthLine) return Fault{too_long};
  return line;
}

Command CommandReader::assemble() {
  // The array's line is written anew: what came may be longer than it need be.
  Command command;
  const std::string head = "*" + std::to_string(args_.size()) + "\r\n";
  command.wire_.reserve(head.size() + cursor_ - body_);
  command.wire_ = head;
  command.wire_.append(in_, body_, cursor_ - body_);
  command.head_ = head.size();
  command.args_ = std::exchange(args_, {});
  for (auto& arg : command.args_) arg.at = arg.at - body_ + head.size();
  left_.reset();
  at_ = cursor_;
  return command;
}

}  // namespace balancer::resp
