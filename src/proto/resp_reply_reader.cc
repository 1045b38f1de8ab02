#include <algorithm>
#include <utility>

#include "proto/resp.h"

// Parsing of server replies: finding their ends, and building the tree of a complete reply.
namespace balancer::resp {
namespace {

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

// Parses the length of a string or the count of an aggregate; -1 is the null of RESP2.
std::optional<std::int64_t> parse_length(std::string_view text) {
  if (text != "-1" && !all_digits(text)) return std::nullopt;
  return parse_int64(text);
}

// Returns whether `line`, without its type byte, is a valid single-line value of the type.
bool is_scalar(Type type, std::string_view line) {
  switch (type) {
    case Type::kSimple:
    case Type::kError:
      return line.find('\r') == std::string_view::npos;
    case Type::kInteger:
      return parse_int64(line).has_value();
    case Type::kNull:
      return line.empty();
    case Type::kBoolean:
      return line == "t" || line == "f";
    case Type::kDouble:
      return is_double(line);
    case Type::kBigNumber:
      return all_digits(without_sign(line));
    default:
      return false;
  }
}

// Bytes of a verbatim string's format and its colon: "txt:".
constexpr std::int64_t kVerbatimPrefix = 4;

}  // namespace

bool ReplyReader::open_aggregate(std::uint64_t count, bool attribute) {
  if (count > bounds_.elements || elements_ + count > bounds_.elements) return false;
  elements_ += count;
  if (count == 0) {
    if (!attribute) close_value();
    return true;
  }
  if (open_aggregates_.size() >= bounds_.depth) return false;
  open_aggregates_.push_back({count, attribute});
  return true;
}

void ReplyReader::close_value() {
  while (!open_aggregates_.empty() && --open_aggregates_.back().elements_left == 0) {
    const bool attribute = open_aggregates_.back().attribute;
    open_aggregates_.pop_back();
    if (attribute) return;  // the value that it belongs to follows
  }
  complete_ = open_aggregates_.empty();
}

bool ReplyReader::parse_line(std::string_view line) {
  if (line.empty()) return false;
  const Type type = static_cast<Type>(line.front());
  line.remove_prefix(1);
  if (!has_type_ && type != Type::kAttribute && open_aggregates_.empty()) {
    type_ = type;
    has_type_ = true;
  }
  switch (type) {
    case Type::kBulk:
    case Type::kBulkError:
    case Type::kVerbatim:
      return begin_string(type, line);
    case Type::kArray:
    case Type::kSet:
    case Type::kPush:
    case Type::kMap:
    case Type::kAttribute:
      return begin_aggregate(type, line);
    default:
      if (!is_scalar(type, line)) return false;
      close_value();
      return true;
  }
}

bool ReplyReader::begin_string(Type type, std::string_view line) {
  const auto length = parse_length(line);
  if (!length) return false;
  if (*length < 0) {
    if (type != Type::kBulk) return false;
    close_value();
    return true;
  }
  if (static_cast<std::uint64_t>(*length) > bounds_.bulk) return false;
  if (type == Type::kVerbatim && *length < kVerbatimPrefix) return false;
  bulk_type_ = type;
  bulk_length_ = static_cast<std::size_t>(*length);
  bulk_left_ = bulk_length_ + kLineEnd.size();
  bulk_edge_.clear();
  state_ = State::kBulk;
  return true;
}

bool ReplyReader::begin_aggregate(Type type, std::string_view line) {
  const auto count = parse_length(line);
  if (!count) return false;
  if (*count < 0) {
    if (type != Type::kArray) return false;
    close_value();
    return true;
  }
  const auto n = static_cast<std::uint64_t>(*count);
  if (n > bounds_.elements) return false;
  if (type == Type::kPush && (n == 0 || !open_aggregates_.empty())) return false;
  const bool pairs = type == Type::kMap || type == Type::kAttribute;
  return open_aggregate(pairs ? 2 * n : n, type == Type::kAttribute);
}

ReplyReader::Event ReplyReader::next(std::string_view& input) {
  if (state_ == State::kDone) {
    state_ = State::kLine;
    has_type_ = complete_ = false;
    elements_ = bytes_ = 0;
    return Event::kEnd;
  }
  if (input.empty()) return Event::kMore;
  const std::string_view all = input;
  while (!input.empty() && !complete_) {
    if (state_ == State::kLine) {
      const auto end = input.find('\n');
      const auto piece = input.substr(0, end == std::string_view::npos ? end : end + 1);
      if (line_.size() + piece.size() > bounds_.line + 3) return Event::kMalformed;
      input.remove_prefix(piece.size());
      if (end == std::string_view::npos) {
        line_ += piece;
        break;
      }
      std::string buffered = std::exchange(line_, {});
      std::string_view line = piece;
      if (!buffered.empty()) line = buffered += piece;
      if (!line.ends_with(kLineEnd)) return Event::kMalformed;
      line.remove_suffix(kLineEnd.size());
      if (!parse_line(line)) return Event::kMalformed;
      continue;
    }
    const auto piece = input.substr(0, bulk_left_);
    // Checks only the colon of a verbatim string and the line end; skips the other bytes.
    for (std::size_t i = 0; i < piece.size();) {
      const std::size_t offset = bulk_length_ + 2 - bulk_left_ + i;
      if (bulk_type_ == Type::kVerbatim && offset == 3 && piece[i] != ':') return Event::kMalformed;
      if (offset >= bulk_length_) {
        if (piece[i] != kLineEnd[offset - bulk_length_]) return Event::kMalformed;
        ++i;
      } else {
        i += bulk_type_ == Type::kVerbatim && offset < 3 ? 3 - offset : bulk_length_ - offset;
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
  if (complete_) state_ = State::kDone;
  return Event::kData;
}

std::optional<std::int64_t> Value::integer() const {
  if (type != Type::kInteger) return std::nullopt;
  return parse_int64(text);
}

namespace {

// Returns whether `wire` is exactly one reply.
bool is_one_reply(std::string_view wire, const InputLimits& bounds) {
  ReplyReader reader(bounds);
  std::string_view input = wire;
  while (true) {
    const auto event = reader.next(input);
    if (event == ReplyReader::Event::kData) continue;
    return event == ReplyReader::Event::kEnd && input.empty();
  }
}

// Returns the length of the first value in `wire`, which a ReplyReader must have accepted.
std::size_t length_of_value(std::string_view wire) {
  const auto line_end = wire.find(kLineEnd);
  std::size_t used = line_end + kLineEnd.size();
  const auto line = wire.substr(1, line_end - 1);
  const auto skip_values = [&](std::int64_t count) {
    for (; count > 0; --count) used += length_of_value(wire.substr(used));
  };
  switch (static_cast<Type>(wire.front())) {
    case Type::kBulk:
    case Type::kBulkError:
    case Type::kVerbatim:
      if (const auto length = parse_int64(line).value_or(-1); length >= 0)
        used += static_cast<std::size_t>(length) + kLineEnd.size();
      break;
    case Type::kArray:
    case Type::kSet:
    case Type::kPush:
      skip_values(parse_int64(line).value_or(0));
      break;
    case Type::kMap:
      skip_values(2 * parse_int64(line).value_or(0));
      break;
    case Type::kAttribute:  // followed by the value that it belongs to
      skip_values(2 * parse_int64(line).value_or(0) + 1);
      break;
    default:
      break;
  }
  return used;
}

// Builds the tree of the first value in `wire` and returns the number of bytes used. A ReplyReader
// must have accepted `wire`, so that it is well formed and of bounded depth.
std::size_t build_value(std::string_view wire, Value& value) {
  const auto line_end = wire.find(kLineEnd);
  std::size_t used = line_end + 2;
  const auto line = wire.substr(1, line_end - 1);
  value.type = static_cast<Type>(wire.front());
  const auto build_items = [&](std::size_t n) {
    value.items.resize(n);
    for (Value& item : value.items) used += build_value(wire.substr(used), item);
  };
  switch (value.type) {
    case Type::kBulk:
    case Type::kBulkError:
    case Type::kVerbatim: {
      const auto length = parse_int64(line).value_or(-1);
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
      const auto count = parse_int64(line).value_or(-1);
      if (count < 0) {
        value.null = true;
        break;
      }
      build_items(static_cast<std::size_t>(count) * (value.type == Type::kMap ? 2 : 1));
      break;
    }
    case Type::kAttribute: {
      Value skipped;
      for (auto n = 2 * parse_int64(line).value_or(0); n > 0; --n)
        used += build_value(wire.substr(used), skipped = {});
      value = {};
      used += build_value(wire.substr(used), value);
      return used;  // value.wire does not include the attribute
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

std::optional<std::vector<std::string_view>> array_elements(std::string_view wire,
                                                            const InputLimits& bounds) {
  if (wire.empty() || !is_one_reply(wire, bounds)) return std::nullopt;
  const auto type = static_cast<Type>(wire.front());
  if (type != Type::kArray && type != Type::kSet) return std::nullopt;
  std::size_t at = wire.find(kLineEnd) + kLineEnd.size();
  const auto count = parse_int64(wire.substr(1, at - 1 - kLineEnd.size())).value_or(-1);
  if (count < 0) return std::nullopt;
  std::vector<std::string_view> elements;
  elements.reserve(static_cast<std::size_t>(count));
  for (std::int64_t i = 0; i < count; ++i) {
    elements.push_back(wire.substr(at, length_of_value(wire.substr(at))));
    at += elements.back().size();
  }
  return elements;
}

std::optional<Value> parse_reply(std::string_view wire, const InputLimits& bounds) {
  if (!is_one_reply(wire, bounds)) return std::nullopt;
  Value value;
  build_value(wire, value);
  return value;
}

}  // namespace balancer::resp
