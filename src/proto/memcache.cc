#include "proto/memcache.h"

#include <algorithm>
#include <charconv>
#include <utility>
#include <vector>

namespace balancer::memcache {
namespace {

constexpr std::size_t kMaxProperties = 32;
// Bytes of an input buffer that are kept for a client without input.
constexpr std::size_t kMaxIdleBuffer = 1024;

std::vector<std::string_view> split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  while (!text.empty()) {
    const auto end = std::min(text.find(separator), text.size());
    if (end > 0) parts.push_back(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return parts;
}

// Returns offset and length of the value of `name` in a list of properties.
std::optional<std::pair<std::size_t, std::size_t>> find_property(std::string_view props,
                                                                 std::string_view name) {
  for (std::size_t at = 0; at < props.size();) {
    const auto end = std::min(props.find(',', at), props.size());
    const auto item = props.substr(at, end - at);
    if (item.size() > name.size() && item.substr(0, name.size()) == name &&
        item[name.size()] == '=')
      return {{at + name.size() + 1, item.size() - name.size() - 1}};
    at = end + 1;
  }
  return std::nullopt;
}

bool is_control(char c) {
  const auto u = static_cast<unsigned char>(c);
  return u < 0x20 || u == 0x7f;
}

bool is_valid_id(std::string_view text) {
  return !text.empty() && text.size() <= kMaxId &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
         });
}

// Accepts name=value properties with unique names: given a duplicate name, two parsers might use
// different values.
bool is_valid_property_list(std::string_view text) {
  const auto items = split(text, ',');
  for (std::size_t i = 0; i < items.size(); ++i) {
    const auto name = items[i].substr(0, items[i].find('='));
    if (name.empty() || name.size() + 1 >= items[i].size()) return false;  // no name, or no value
    for (std::size_t j = 0; j < i; ++j)
      if (items[j].substr(0, items[j].find('=')) == name) return false;
  }
  return items.size() <= kMaxProperties;
}

}  // namespace

bool is_token(std::string_view text, std::size_t max_length) {
  return !text.empty() && text.size() <= max_length &&
         std::none_of(text.begin(), text.end(), [](char c) { return c == ' ' || is_control(c); });
}

std::optional<std::uint64_t> parse_uint64(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

std::string_view Command::prop(std::string_view name) const {
  const auto found = find_property(props, name);
  return found ? std::string_view(props).substr(found->first, found->second) : std::string_view{};
}

std::string Command::props_with_deadline(std::chrono::milliseconds remaining) const {
  std::string updated = props;
  if (const auto d = find_property(props, "d"))
    updated.replace(d->first, d->second, std::to_string(remaining.count()));
  return updated;
}

std::string Command::encode(std::chrono::milliseconds remaining) const {
  std::string out = line;
  out.replace(props_offset, props.size(), props_with_deadline(remaining));
  return out += "\r\n";
}

// ---- commands

std::optional<CommandReader::Item> CommandReader::next() {
  auto item = body_left_ ? take_body() : take_line();
  compact();
  return item;
}

std::optional<std::chrono::milliseconds> CommandReader::body_deadline() const {
  if (!body_left_) return std::nullopt;
  const auto ms = parse_uint64(command_.prop("d"));
  if (!ms || *ms > kMaxDeadlineMs) return std::nullopt;
  return std::chrono::milliseconds(*ms);
}

std::size_t CommandReader::buffered() const {
  const std::size_t input =
      buffer_.capacity() > kMaxIdleBuffer ? buffer_.capacity() : buffer_.size();
  return input + (body_left_ ? command_.head_bytes() : 0);
}

// A client that has little input left must not keep a large buffer.
void CommandReader::compact() {
  if (consumed_ < buffer_.size() && consumed_ <= buffer_.size() / 2) return;
  buffer_.erase(0, consumed_);
  consumed_ = 0;
  if (buffer_.capacity() > kMaxIdleBuffer && buffer_.size() < buffer_.capacity() / 4)
    buffer_.shrink_to_fit();
}

std::optional<CommandReader::Item> CommandReader::take_line() {
  const std::string_view rest = std::string_view(buffer_).substr(consumed_);
  const auto end = rest.substr(0, kMaxLine).find('\n');
  if (end == std::string_view::npos) {
    if (rest.size() >= kMaxLine) return ClientError{"line too long"};
    return std::nullopt;
  }
  std::string_view line = rest.substr(0, end);
  if (line.ends_with('\r')) line.remove_suffix(1);
  consumed_ += end + 1;
  auto item = parse_line(line);
  if (!item && body_left_) return take_body();
  return item;
}

// Parsing is strict: a line that a cache host interprets differently could fail the other requests
// on the connection to the host, or be executed as a command that no client sent.
std::optional<CommandReader::Item> CommandReader::parse_line(std::string_view line) {
  if (std::any_of(line.begin(), line.end(), is_control))
    return ClientError{"control character in the line"};
  const auto tokens = split(line, ' ');
  if (tokens.empty()) return ClientError{"empty line"};
  Command c;
  if (tokens[0] == "mn" && tokens.size() == 1) return c;
  const bool is_set = tokens[0] == "ms";
  if (!is_set && tokens[0] != "mg") return ClientError{"unknown command"};
  c.kind = is_set ? Command::Kind::kSet : Command::Kind::kGet;
  if (tokens.size() < 2 || !is_token(tokens[1], kMaxKey)) return ClientError{"bad key"};
  c.key = tokens[1];
  std::size_t length = 0;
  if (is_set) {
    const auto n = tokens.size() > 2 ? parse_uint64(tokens[2]) : std::nullopt;
    if (!n) return ClientError{"bad length"};
    if (*n > kMaxValue) return ClientError{"value too large"};
    length = static_cast<std::size_t>(*n);
  }
  bool wants_value = false;
  for (std::size_t i = is_set ? 3 : 2; i < tokens.size(); ++i) {
    const auto token = tokens[i];
    if (token[0] == 'O' && c.id.empty()) {
      c.id = token.substr(1);
      if (!is_valid_id(c.id)) return ClientError{"bad id"};
    } else if (token[0] == 'P' && c.props.empty()) {
      c.props = token.substr(1);
      c.props_offset = static_cast<std::size_t>(token.data() - line.data()) + 1;
      if (!is_valid_property_list(c.props)) return ClientError{"bad properties"};
    } else if (token == "v" && !is_set && !wants_value) {
      wants_value = true;
    } else {
      return ClientError{"bad flag"};
    }
  }
  if (c.id.empty()) return ClientError{"bad id"};
  if (!is_set && !wants_value) return ClientError{"no value asked for"};
  c.line = line;
  if (!is_set) return c;
  command_ = std::move(c);
  command_.body.reserve(length);
  body_length_ = length;
  body_left_ = length;
  return std::nullopt;
}

std::optional<CommandReader::Item> CommandReader::take_body() {
  const auto n = std::min(*body_left_, buffer_.size() - consumed_);
  command_.body.append(buffer_, consumed_, n);
  consumed_ += n;
  *body_left_ -= n;
  if (*body_left_ > 0 || buffer_.size() - consumed_ < 2) return std::nullopt;
  const bool terminated = buffer_.compare(consumed_, 2, "\r\n") == 0;
  consumed_ += 2;
  body_left_.reset();
  Command c = std::exchange(command_, {});
  if (!terminated) return ClientError{"bad data chunk"};
  return c;
}

// ---- replies

std::optional<AnswerHead> parse_answer(std::string_view line) {
  AnswerHead head;
  if (std::any_of(line.begin(), line.end(), is_control)) return std::nullopt;
  if (line.starts_with("SERVER_ERROR")) {
    const auto tokens = split(line, ' ');
    const bool busy = tokens.size() >= 2 && tokens[0] == "SERVER_ERROR" && tokens[1] == "busy";
    head.kind = busy ? AnswerHead::Kind::kBusy : AnswerHead::Kind::kFailed;
    if (busy && tokens.size() > 2) head.retry_after_ms = parse_uint64(tokens[2]).value_or(0);
    return head;
  }
  // A host that rejects a single command remains in step with the stream. Closing the connection
  // and counting a failure of the host would affect the other requests on it.
  if (line.starts_with("CLIENT_ERROR ") || line == "ERROR") return head;
  const auto tokens = split(line, ' ');
  if (tokens.empty()) return std::nullopt;
  std::size_t first_flag = 1;
  if (tokens[0] == "VA") {
    const auto n = tokens.size() > 1 ? parse_uint64(tokens[1]) : std::nullopt;
    if (!n || *n > kMaxValue) return std::nullopt;
    head.kind = AnswerHead::Kind::kValue;
    head.length = static_cast<std::size_t>(*n);
    first_flag = 2;
  } else if (tokens[0] == "HD") {
    head.kind = AnswerHead::Kind::kStored;
  } else if (tokens[0] == "EN") {
    head.kind = AnswerHead::Kind::kMiss;
  } else {
    return std::nullopt;
  }
  // Other flags, such as those about hits and load, are not used.
  for (std::size_t i = first_flag; i < tokens.size(); ++i) {
    if (tokens[i][0] == 'O' && head.id.empty()) head.id = tokens[i].substr(1);
    if (tokens[i][0] == 'c' && head.receipt.empty()) head.receipt = tokens[i].substr(1);
  }
  if (head.id.empty()) return std::nullopt;
  if (head.kind == AnswerHead::Kind::kStored && head.receipt.empty()) return std::nullopt;
  return head;
}

AnswerReader::Event AnswerReader::next(std::string_view& input) {
  if (state_ == State::kDone) {
    state_ = State::kLine;
    return Event::kEnd;
  }
  if (input.empty() && !(state_ == State::kValue && bytes_left_ == 0)) return Event::kMore;
  switch (state_) {
    case State::kLine: {
      const auto end = input.find('\n');
      const auto n = std::min(end, input.size());
      if (line_.size() + n > kMaxLine) return Event::kMalformed;
      line_ += input.substr(0, n);
      input.remove_prefix(std::min(n + 1, input.size()));
      if (end == std::string_view::npos) return Event::kMore;
      if (!line_.ends_with('\r')) return Event::kMalformed;
      line_.pop_back();
      auto head = parse_answer(line_);
      line_.clear();
      if (!head) return Event::kMalformed;
      head_ = std::move(*head);
      bytes_left_ = head_.length;
      state_ = head_.kind == AnswerHead::Kind::kValue ? State::kValue : State::kDone;
      return Event::kHead;
    }
    case State::kValue:
      if (bytes_left_ == 0) {
        state_ = State::kValueEnd;
        bytes_left_ = 2;
        return next(input);
      }
      data_ = input.substr(0, bytes_left_);
      input.remove_prefix(data_.size());
      bytes_left_ -= data_.size();
      return Event::kData;
    default:  // kValueEnd: the line end after the value
      if (input[0] != (bytes_left_ == 2 ? '\r' : '\n')) return Event::kMalformed;
      input.remove_prefix(1);
      if (--bytes_left_ > 0) return next(input);
      state_ = State::kLine;
      return Event::kEnd;
  }
}

}  // namespace balancer::memcache
