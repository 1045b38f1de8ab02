#include "proto/resp.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace balancer::resp {
namespace {

constexpr std::string_view kEnd = "\r\n";
// A length's line: type, sign and digits.
constexpr std::size_t kMaxLengthLine = 32;

bool all_digits(std::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

std::string_view without_sign(std::string_view text) {
  if (!text.empty() && (text.front() == '-' || text.front() == '+')) text.remove_prefix(1);
  return text;
}

bool is_double(std::string_view text) {
  if (text == "inf" || text == "-inf" || text == "+inf" || text == "nan" || text == "-nan")
    return true;
  text = without_sign(text);
  const auto digits = [&text] {
    std::size_t n = 0;
    while (n < text.size() && text[n] >= '0' && text[n] <= '9') ++n;
    text.remove_prefix(n);
    return n;
  };
  if (digits() == 0) return false;
  if (!text.empty() && text.front() == '.') {
    text.remove_prefix(1);
    digits();
  }
  if (!text.empty() && (text.front() == 'e' || text.front() == 'E')) {
    text.remove_prefix(1);
    text = without_sign(text);
    if (digits() == 0) return false;
  }
  return text.empty();
}

// Of a string or aggregate: -1 is RESP2's null.
std::optional<std::int64_t> parse_length(std::string_view text) {
  if (text != "-1" && !all_digits(text)) return std::nullopt;
  return parse_integer(text);
}

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

std::optional<std::int64_t> parse_integer(std::string_view text) {
  if (!text.empty() && text.front() == '+') text.remove_prefix(1);
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || text.empty()) return std::nullopt;
  return value;
}

// ---- commands

void Command::push_back(std::string_view arg) {
  const std::string head = "*" + std::to_string(args_.size() + 1) + "\r\n";
  const std::size_t moved = head.size() - head_;  // the count may have one digit more now
  wire_.replace(0, head_, head);
  head_ = head.size();
  if (moved > 0)
    for (Arg& a : args_) a.at += moved;
  wire_ += "$" + std::to_string(arg.size()) + "\r\n";
  args_.push_back({wire_.size(), arg.size()});
  wire_ += arg;
  wire_ += kEnd;
}

Command Command::of(const std::vector<std::string_view>& args) {
  Command c;
  for (const auto arg : args) c.push_back(arg);
  return c;
}

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
      if (!item || std::holds_alternative<Fault>(*item) || std::get<Command>(*item).size() > 0)
        return item;
      continue;  // an empty line
    }
    if (!left_) {
      const auto line = take_line();
      if (!line) {
        if (in_.size() - cursor_ > kMaxLengthLine + 1)
          return Fault{"Protocol error: too big mbulk count string"};
        return std::nullopt;
      }
      if (line->size() > kMaxLengthLine) return Fault{"Protocol error: too big mbulk count string"};
      const auto count = parse_integer(line->substr(1));
      if (!count || (*count > 0 && static_cast<std::uint64_t>(*count) > bounds_.elements))
        return Fault{"Protocol error: invalid multibulk length"};
      if (*count <= 0) {
        at_ = cursor_;
        continue;
      }
      left_ = static_cast<std::size_t>(*count);
      body_ = cursor_;
      args_.clear();
    }
    while (*left_ > 0) {
      if (!bulk_) {
        if (cursor_ == in_.size()) return std::nullopt;
        if (in_[cursor_] != '$') {
          std::string reason = "Protocol error: expected '$', got '";
          reason += in_[cursor_] >= ' ' && in_[cursor_] <= '~' ? in_[cursor_] : '?';
          return Fault{reason + "'"};
        }
        const auto line = take_line();
        if (!line) {
          if (in_.size() - cursor_ > kMaxLengthLine + 1)
            return Fault{"Protocol error: too big bulk count string"};
          return std::nullopt;
        }
        if (line->size() > kMaxLengthLine)
          return Fault{"Protocol error: too big bulk count string"};
        const auto length = parse_integer(line->substr(1));
        if (!length || *length < 0 || static_cast<std::uint64_t>(*length) > bounds_.bulk ||
            cursor_ - at_ + static_cast<std::uint64_t>(*length) > bounds_.total)
          return Fault{"Protocol error: invalid bulk length"};
        bulk_ = static_cast<std::size_t>(*length);
      }
      if (in_.size() - cursor_ < *bulk_ + 2) return std::nullopt;
      if (std::string_view(in_).substr(cursor_ + *bulk_, 2) != kEnd)
        return Fault{"Protocol error: a bulk string does not end where its length says"};
      args_.push_back({cursor_, *bulk_});
      cursor_ += *bulk_ + 2;
      bulk_.reset();
      --*left_;
    }
    // The array's line is written anew: what came may be longer than it need be.
    Command c;
    const std::string head = "*" + std::to_string(args_.size()) + "\r\n";
    c.wire_.reserve(head.size() + cursor_ - body_);
    c.wire_ = head;
    c.wire_.append(in_, body_, cursor_ - body_);
    c.head_ = head.size();
    c.args_ = std::exchange(args_, {});
    for (auto& a : c.args_) a.at = a.at - body_ + head.size();
    left_.reset();
    at_ = cursor_;
    return c;
  }
}

// ---- replies

bool ReplyReader::open(std::uint64_t count, bool attribute) {
  if (count > bounds_.elements || elements_ + count > bounds_.elements) return false;
  elements_ += count;
  if (count == 0) {
    if (!attribute) close_value();
    return true;
  }
  if (open_.size() >= bounds_.depth) return false;
  open_.push_back({count, attribute});
  return true;
}

void ReplyReader::close_value() {
  while (!open_.empty() && --open_.back().left == 0) {
    const bool attribute = open_.back().attribute;
    open_.pop_back();
    if (attribute) return;  // the value that it belongs to is still to come
  }
  ended_ = open_.empty();
}

bool ReplyReader::on_line(std::string_view line) {
  if (line.empty()) return false;
  const Type type = static_cast<Type>(line.front());
  line.remove_prefix(1);
  if (!typed_ && type != Type::kAttribute && open_.empty()) {
    type_ = type;
    typed_ = true;
  }
  switch (type) {
    case Type::kSimple:
    case Type::kError:
      if (line.find('\r') != std::string_view::npos) return false;
      close_value();
      return true;
    case Type::kInteger:
      if (!parse_integer(line)) return false;
      close_value();
      return true;
    case Type::kNull:
      if (!line.empty()) return false;
      close_value();
      return true;
    case Type::kBoolean:
      if (line != "t" && line != "f") return false;
      close_value();
      return true;
    case Type::kDouble:
      if (!is_double(line)) return false;
      close_value();
      return true;
    case Type::kBigNumber:
      if (!all_digits(without_sign(line))) return false;
      close_value();
      return true;
    case Type::kBulk:
    case Type::kBulkError:
    case Type::kVerbatim: {
      const auto length = parse_length(line);
      if (!length) return false;
      if (*length < 0) {
        if (type != Type::kBulk) return false;
        close_value();
        return true;
      }
      if (static_cast<std::uint64_t>(*length) > bounds_.bulk) return false;
      if (type == Type::kVerbatim && *length < 4) return false;
      bulk_type_ = type;
      bulk_length_ = static_cast<std::size_t>(*length);
      bulk_left_ = bulk_length_ + 2;
      bulk_edge_.clear();
      state_ = State::kBulk;
      return true;
    }
    case Type::kArray:
    case Type::kSet:
    case Type::kPush:
    case Type::kMap:
    case Type::kAttribute: {
      const auto count = parse_length(line);
      if (!count) return false;
      if (*count < 0) {
        if (type != Type::kArray) return false;
        close_value();
        return true;
      }
      const auto n = static_cast<std::uint64_t>(*count);
      if (n > bounds_.elements) return false;
      if (type == Type::kPush && (n == 0 || !open_.empty())) return false;
      const bool pairs = type == Type::kMap || type == Type::kAttribute;
      return open(pairs ? 2 * n : n, type == Type::kAttribute);
    }
  }
  return false;
}

ReplyReader::Event ReplyReader::next(std::string_view& input) {
  if (state_ == State::kDone) {
    state_ = State::kLine;
    typed_ = ended_ = false;
    elements_ = bytes_ = 0;
    return Event::kEnd;
  }
  if (input.empty()) return Event::kMore;
  const std::string_view all = input;
  while (!input.empty() && !ended_) {
    if (state_ == State::kLine) {
      const auto end = input.find('\n');
      const auto piece = input.substr(0, end == std::string_view::npos ? end : end + 1);
      if (line_.size() + piece.size() > bounds_.line + 3) return Event::kMalformed;
      input.remove_prefix(piece.size());
      if (end == std::string_view::npos) {
        line_ += piece;
        break;
      }
      std::string held = std::exchange(line_, {});
      std::string_view line = piece;
      if (!held.empty()) line = held += piece;
      if (!line.ends_with(kEnd)) return Event::kMalformed;
      line.remove_suffix(2);
      if (!on_line(line)) return Event::kMalformed;
      continue;
    }
    const auto piece = input.substr(0, bulk_left_);
    // Kept of the string: the place of a verbatim's colon, and its line end.
    for (std::size_t i = 0; i < piece.size();) {
      const std::size_t at = bulk_length_ + 2 - bulk_left_ + i;
      if (bulk_type_ == Type::kVerbatim && at == 3 && piece[i] != ':') return Event::kMalformed;
      if (at >= bulk_length_) {
        if (piece[i] != kEnd[at - bulk_length_]) return Event::kMalformed;
        ++i;
      } else {
        i += bulk_type_ == Type::kVerbatim && at < 3 ? 3 - at : bulk_length_ - at;
      }
    }
    bulk_left_ -= piece.size();
    input.remove_prefix(piece.size());
    if (bulk_left_ == 0) {
      state_ = State::kLine;
      close_value();
    }
  }
  data_ = all.substr(0, all.size() - input.size());
  bytes_ += data_.size();
  if (bytes_ > bounds_.total) return Event::kMalformed;
  if (ended_) state_ = State::kDone;
  return Event::kData;
}

// ---- whole replies

std::optional<std::int64_t> Value::integer() const {
  if (type != Type::kInteger) return std::nullopt;
  return parse_integer(text);
}

namespace {

// `wire` was read by a ReplyReader: it is well formed, and its depth is bounded.
std::size_t build(std::string_view wire, Value& value) {
  const auto line_end = wire.find(kEnd);
  std::size_t used = line_end + 2;
  const auto line = wire.substr(1, line_end - 1);
  value.type = static_cast<Type>(wire.front());
  const auto items = [&](std::size_t n) {
    value.items.resize(n);
    for (Value& item : value.items) used += build(wire.substr(used), item);
  };
  switch (value.type) {
    case Type::kBulk:
    case Type::kBulkError:
    case Type::kVerbatim: {
      const auto length = parse_integer(line).value_or(-1);
      if (length < 0) {
        value.null = true;
        break;
      }
      value.text = wire.substr(used, static_cast<std::size_t>(length));
      used += value.text.size() + 2;
      if (value.type == Type::kVerbatim) value.text.remove_prefix(4);
      break;
    }
    case Type::kArray:
    case Type::kSet:
    case Type::kPush:
    case Type::kMap: {
      const auto count = parse_integer(line).value_or(-1);
      if (count < 0) {
        value.null = true;
        break;
      }
      items(static_cast<std::size_t>(count) * (value.type == Type::kMap ? 2 : 1));
      break;
    }
    case Type::kAttribute: {
      Value skipped;
      for (auto n = 2 * parse_integer(line).value_or(0); n > 0; --n)
        used += build(wire.substr(used), skipped = {});
      value = {};
      used += build(wire.substr(used), value);
      return used;  // its wire is that of the value without the attribute
    }
    case Type::kNull:
      value.null = true;
      break;
    default:
      value.text = line;
  }
  value.wire = wire.substr(0, used);
  return used;
}

}  // namespace

std::optional<Value> parse_reply(std::string_view wire, const Bounds& bounds) {
  ReplyReader reader(bounds);
  std::string_view input = wire;
  while (true) {
    const auto event = reader.next(input);
    if (event == ReplyReader::Event::kData) continue;
    if (event != ReplyReader::Event::kEnd || !input.empty()) return std::nullopt;
    break;
  }
  Value value;
  build(wire, value);
  return value;
}

// ---- writers

void append_simple(std::string& out, std::string_view text) {
  out += '+';
  out += text;
  out += kEnd;
}

void append_error(std::string& out, std::string_view text) {
  out += '-';
  for (const char c : text) out += c == '\r' || c == '\n' ? ' ' : c;
  out += kEnd;
}

void append_integer(std::string& out, std::int64_t value) {
  out += ':';
  out += std::to_string(value);
  out += kEnd;
}

void append_bulk(std::string& out, std::string_view text) {
  out += '$';
  out += std::to_string(text.size());
  out += kEnd;
  out += text;
  out += kEnd;
}

void append_array(std::string& out, std::size_t elements) {
  out += '*';
  out += std::to_string(elements);
  out += kEnd;
}

void append_map(std::string& out, std::size_t pairs, int version) {
  if (version < 3) return append_array(out, 2 * pairs);
  out += '%';
  out += std::to_string(pairs);
  out += kEnd;
}

void append_null(std::string& out, int version) { out += version < 3 ? "$-1\r\n" : "_\r\n"; }

}  // namespace balancer::resp
