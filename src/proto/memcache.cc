#include "proto/memcache.h"

#include <algorithm>
#include <charconv>
#include <utility>
#include <vector>

namespace balancer::memcache {
namespace {

constexpr std::size_t kMaxProps = 32;

std::vector<std::string_view> split(std::string_view text, char by) {
  std::vector<std::string_view> parts;
  while (!text.empty()) {
    const auto end = std::min(text.find(by), text.size());
    if (end > 0) parts.push_back(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return parts;
}

// Where the value of `name` stands in a list of names and values.
std::optional<std::pair<std::size_t, std::size_t>> find_prop(std::string_view props,
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

bool is_id(std::string_view text) {
  return !text.empty() && text.size() <= kMaxId &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
         });
}

// Names and values, each name once: where one stands twice, two readers might take different ones.
bool are_props(std::string_view text) {
  const auto items = split(text, ',');
  for (std::size_t i = 0; i < items.size(); ++i) {
    const auto name = items[i].substr(0, items[i].find('='));
    if (name.empty() || name.size() + 1 >= items[i].size()) return false;  // no name, or no value
    for (std::size_t j = 0; j < i; ++j)
      if (items[j].substr(0, items[j].find('=')) == name) return false;
  }
  return items.size() <= kMaxProps;
}

}  // namespace

bool is_token(std::string_view text, std::size_t longest) {
  return !text.empty() && text.size() <= longest &&
         std::none_of(text.begin(), text.end(), [](char c) { return c == ' ' || is_control(c); });
}

std::optional<std::uint64_t> parse_number(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

std::string_view Command::prop(std::string_view name) const {
  const auto at = find_prop(props, name);
  return at ? std::string_view(props).substr(at->first, at->second) : std::string_view{};
}

std::string Command::props_with_deadline(std::chrono::milliseconds remaining) const {
  std::string told = props;
  if (const auto d = find_prop(props, "d"))
    told.replace(d->first, d->second, std::to_string(remaining.count()));
  return told;
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
  const auto ms = parse_number(command_.prop("d"));
  if (!ms || *ms > kMaxDeadlineMs) return std::nullopt;
  return std::chrono::milliseconds(*ms);
}

void CommandReader::compact() {
  if (at_ == in_.size()) {
    in_.clear();
    if (in_.capacity() > 4 * kMaxLine) in_.shrink_to_fit();  // an idle client keeps no buffer
    at_ = 0;
  } else if (at_ > in_.size() / 2) {
    in_.erase(0, at_);
    at_ = 0;
  }
}

std::optional<CommandReader::Item> CommandReader::take_line() {
  const std::string_view rest = std::string_view(in_).substr(at_);
  const auto end = rest.substr(0, kMaxLine).find('\n');
  if (end == std::string_view::npos) {
    if (rest.size() >= kMaxLine) return ClientError{"line too long"};
    return std::nullopt;
  }
  std::string_view line = rest.substr(0, end);
  if (line.ends_with('\r')) line.remove_suffix(1);
  at_ += end + 1;
  auto item = begin(line);
  if (!item && body_left_) return take_body();
  return item;
}

// Strict on purpose: a line that a host reads otherwise than we do could break off what else waits
// on the connection to it, or be run as something that no client asked for.
std::optional<CommandReader::Item> CommandReader::begin(std::string_view line) {
  if (std::any_of(line.begin(), line.end(), is_control))
    return ClientError{"control character in the line"};
  const auto words = split(line, ' ');
  if (words.empty()) return ClientError{"empty line"};
  Command c;
  if (words[0] == "mn" && words.size() == 1) return c;
  const bool set = words[0] == "ms";
  if (!set && words[0] != "mg") return ClientError{"unknown command"};
  c.kind = set ? Command::Kind::kSet : Command::Kind::kGet;
  if (words.size() < 2 || !is_token(words[1], kMaxKey)) return ClientError{"bad key"};
  c.key = words[1];
  std::size_t length = 0;
  if (set) {
    const auto n = words.size() > 2 ? parse_number(words[2]) : std::nullopt;
    if (!n) return ClientError{"bad length"};
    if (*n > kMaxValue) return ClientError{"value too large"};
    length = static_cast<std::size_t>(*n);
  }
  bool value = false;
  for (std::size_t i = set ? 3 : 2; i < words.size(); ++i) {
    const auto word = words[i];
    if (word[0] == 'O' && c.id.empty()) {
      c.id = word.substr(1);
      if (!is_id(c.id)) return ClientError{"bad id"};
    } else if (word[0] == 'P' && c.props.empty()) {
      c.props = word.substr(1);
      c.props_offset = static_cast<std::size_t>(word.data() - line.data()) + 1;
      if (!are_props(c.props)) return ClientError{"bad properties"};
    } else if (word == "v" && !set && !value) {
      value = true;
    } else {
      return ClientError{"bad flag"};
    }
  }
  if (c.id.empty()) return ClientError{"bad id"};
  if (!set && !value) return ClientError{"no value asked for"};
  c.line = line;
  if (!set) return c;
  command_ = std::move(c);
  body_length_ = length;
  body_left_ = length;
  return std::nullopt;
}

std::optional<CommandReader::Item> CommandReader::take_body() {
  const auto n = std::min(*body_left_, in_.size() - at_);
  command_.body.append(in_, at_, n);
  at_ += n;
  *body_left_ -= n;
  if (*body_left_ > 0 || in_.size() - at_ < 2) return std::nullopt;
  const bool ended = in_.compare(at_, 2, "\r\n") == 0;
  at_ += 2;
  body_left_.reset();
  Command c = std::exchange(command_, {});
  if (!ended) return ClientError{"bad data chunk"};
  return c;
}

// ---- answers

std::optional<AnswerHead> parse_answer(std::string_view line) {
  AnswerHead head;
  if (std::any_of(line.begin(), line.end(), is_control)) return std::nullopt;
  if (line.starts_with("SERVER_ERROR")) {
    const auto words = split(line, ' ');
    const bool busy = words.size() >= 2 && words[0] == "SERVER_ERROR" && words[1] == "busy";
    head.kind = busy ? AnswerHead::Kind::kBusy : AnswerHead::Kind::kFailed;
    if (busy && words.size() > 2) head.retry_after_ms = parse_number(words[2]).value_or(0);
    return head;
  }
  // A host that can't use one command says so and has kept its place in the stream: to break the
  // connection, and to hold it against the host, would make others pay for that command.
  if (line.starts_with("CLIENT_ERROR ") || line == "ERROR") return head;
  const auto words = split(line, ' ');
  if (words.empty()) return std::nullopt;
  std::size_t flags_at = 1;
  if (words[0] == "VA") {
    const auto n = words.size() > 1 ? parse_number(words[1]) : std::nullopt;
    if (!n || *n > kMaxValue) return std::nullopt;
    head.kind = AnswerHead::Kind::kValue;
    head.length = static_cast<std::size_t>(*n);
    flags_at = 2;
  } else if (words[0] == "HD") {
    head.kind = AnswerHead::Kind::kStored;
  } else if (words[0] == "EN") {
    head.kind = AnswerHead::Kind::kMiss;
  } else {
    return std::nullopt;
  }
  // Other flags, of hits and load, tell the module nothing and are skipped.
  for (std::size_t i = flags_at; i < words.size(); ++i) {
    if (words[i][0] == 'O' && head.id.empty()) head.id = words[i].substr(1);
    if (words[i][0] == 'c' && head.receipt.empty()) head.receipt = words[i].substr(1);
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
  if (input.empty() && !(state_ == State::kValue && left_ == 0)) return Event::kMore;
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
      left_ = head_.length;
      state_ = head_.kind == AnswerHead::Kind::kValue ? State::kValue : State::kDone;
      return Event::kHead;
    }
    case State::kValue:
      if (left_ == 0) {
        state_ = State::kValueEnd;
        left_ = 2;
        return next(input);
      }
      data_ = input.substr(0, left_);
      input.remove_prefix(data_.size());
      left_ -= data_.size();
      return Event::kData;
    default:  // the value's line end
      if (input[0] != (left_ == 2 ? '\r' : '\n')) return Event::kMalformed;
      input.remove_prefix(1);
      if (--left_ > 0) return next(input);
      state_ = State::kLine;
      return Event::kEnd;
  }
}

}  // namespace balancer::memcache
