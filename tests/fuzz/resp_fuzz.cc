// Feeds arbitrary bytes, split at arbitrary positions, to both parsers of the RESP codec.
// Invariants: no crash; parsing terminates; the items do not depend on how the input is split;
// items are within their bounds; the encoding of a command parses to the same command.
#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

#include "proto/resp.h"

namespace {

using namespace balancer::resp;

const InputLimits kBounds{.bulk = 256, .elements = 64, .total = 2048, .line = 128, .depth = 5};

void require(bool condition) {
  if (!condition) std::abort();
}

// Parses `bytes` in pieces of `step` bytes. Returns the encoded commands.
std::vector<std::string> commands(std::string_view bytes, std::size_t step) {
  std::vector<std::string> out;
  CommandReader reader(kBounds);
  while (true) {
    while (auto item = reader.next()) {
      if (const auto* fault = std::get_if<ProtocolError>(&*item)) {
        out.push_back("fault " + fault->reason);
        return out;
      }
      const Command& c = std::get<Command>(*item);
      require(c.size() > 0 && c.size() <= std::max(kBounds.elements, kBounds.line));
      CommandReader second_reader(InputLimits{});
      second_reader.feed(c.wire());
      const auto second = second_reader.next();
      require(second && std::holds_alternative<Command>(*second) &&
              second_reader.between_commands());
      const Command& d = std::get<Command>(*second);
      require(d.size() == c.size());
      for (std::size_t i = 0; i < c.size(); ++i) require(c[i] == d[i]);
      out.push_back(c.wire());
    }
    require(reader.buffered() <= bytes.size() + kBounds.total + 4096 + step);
    if (bytes.empty()) return out;
    reader.feed(bytes.substr(0, step));
    bytes.remove_prefix(std::min(step, bytes.size()));
  }
}

// Parses `bytes` in pieces of `step` bytes. Returns the complete replies, and "malformed" if the
// rest is.
std::vector<std::string> replies(std::string_view bytes, std::size_t step) {
  std::vector<std::string> out;
  std::string current;
  ReplyReader reader(kBounds);
  for (std::size_t at = 0; at < bytes.size(); at += step) {
    std::string_view piece = bytes.substr(at, step);
    for (bool more = true; more;) {
      switch (reader.next(piece)) {
        case ReplyReader::Event::kMore:
          require(piece.empty());
          more = false;
          break;
        case ReplyReader::Event::kData:
          current += reader.data();
          require(current.size() <= kBounds.total);
          break;
        case ReplyReader::Event::kEnd: {
          const auto tree = parse_reply(current, kBounds);
          require(tree.has_value());
          require(tree->type == reader.type());
          out.push_back(current);
          current.clear();
          break;
        }
        case ReplyReader::Event::kMalformed:
          out.push_back("malformed");
          return out;
      }
    }
  }
  return out;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const auto all_commands = commands(bytes, size + 1);
  for (const std::size_t step : {std::size_t{1}, std::size_t{7}})
    require(commands(bytes, step) == all_commands);
  const auto all_replies = replies(bytes, size + 1);
  for (const std::size_t step : {std::size_t{1}, std::size_t{5}})
    require(replies(bytes, step) == all_replies);
  return 0;
}
