#include "proto/resp.h"

#include <charconv>

namespace balancer::resp {

std::optional<std::int64_t> parse_int64(std::string_view text) {
  if (!text.empty() && text.front() == '+') text.remove_prefix(1);
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || text.empty()) return std::nullopt;
  return value;
}

void Command::push_back(std::string_view arg) {
  const std::string header = "*" + std::to_string(args_.size() + 1) + "\r\n";
  const std::size_t shift = header.size() - header_length_;  // 1 if the count gained a digit
  wire_.replace(0, header_length_, header);
  header_length_ = header.size();
  if (shift > 0)
    for (Arg& a : args_) a.offset += static_cast<std::uint32_t>(shift);
  wire_ += "$" + std::to_string(arg.size()) + "\r\n";
  add_arg(wire_.size(), arg.size());
  wire_ += arg;
  wire_ += kLineEnd;
}

Command Command::from_args(const std::vector<std::string_view>& args) {
  Command c;
  for (const auto arg : args) c.push_back(arg);
  return c;
}

void append_simple(std::string& out, std::string_view text) {
  out += '+';
  out += text;
  out += kLineEnd;
}

void append_error(std::string& out, std::string_view text) {
  out += '-';
  for (const char c : text) out += c == '\r' || c == '\n' ? ' ' : c;
  out += kLineEnd;
}

void append_integer(std::string& out, std::int64_t value) {
  out += ':';
  out += std::to_string(value);
  out += kLineEnd;
}

void append_bulk(std::string& out, std::string_view text) {
  out += '$';
  out += std::to_string(text.size());
  out += kLineEnd;
  out += text;
  out += kLineEnd;
}

void append_array(std::string& out, std::size_t elements) {
  out += '*';
  out += std::to_string(elements);
  out += kLineEnd;
}

void append_map(std::string& out, std::size_t pairs, int version) {
  if (version < 3) return append_array(out, 2 * pairs);
  out += '%';
  out += std::to_string(pairs);
  out += kLineEnd;
}

void append_null(std::string& out, int version) { out += version < 3 ? "$-1\r\n" : "_\r\n"; }

}  // namespace balancer::resp
