// Feeds arbitrary bytes, split at arbitrary positions, to both parsers of the memcache codec.
// Invariants: no crash; parsing terminates; the items do not depend on how the input is split;
// items are within their bounds; commands survive encoding and parsing.
#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

#include "proto/memcache.h"

namespace {

using namespace balancer::memcache;

void require(bool condition) {
  if (!condition) std::abort();
}

// Parses `bytes` in pieces of `step` bytes. Returns the commands as text.
std::vector<std::string> commands(std::string_view bytes, std::size_t step) {
  std::vector<std::string> out;
  CommandReader reader;
  while (true) {
    while (auto item = reader.next()) {
      if (const auto* error = std::get_if<ClientError>(&*item)) {
        out.push_back("error " + std::string(error->reason));
        return out;  // input after an error is not parsed
      }
      const Command& c = std::get<Command>(*item);
      require(c.key.size() <= kMaxKey && c.id.size() <= kMaxId && c.body.size() <= kMaxValue);
      require(c.line.size() <= kMaxLine);
      out.push_back(c.line + "|" + c.key + "|" + c.id + "|" + c.props + "|" + c.body);
      if (c.kind != Command::Kind::kNoop) {
        const std::string encoded = c.encode(std::chrono::milliseconds(7));
        require(encoded.ends_with("\r\n") && encoded.find('\n') == encoded.size() - 1);
        CommandReader second;
        second.feed(encoded);
        if (c.kind == Command::Kind::kSet) second.feed(c.body + "\r\n");
        const auto read = second.next();
        require(read && std::holds_alternative<Command>(*read));
        require(std::get<Command>(*read).key == c.key && std::get<Command>(*read).id == c.id);
      }
    }
    if (bytes.empty()) return out;
    reader.feed(bytes.substr(0, step));
    bytes.remove_prefix(std::min(step, bytes.size()));
  }
}

std::string replies(std::string_view bytes, std::size_t step) {
  std::string out;
  AnswerReader reader;
  for (std::size_t at = 0; at < bytes.size(); at += step) {
    std::string_view piece = bytes.substr(at, step);
    for (bool more = true; more;) {
      switch (reader.next(piece)) {
        case AnswerReader::Event::kMore:
          require(piece.empty());
          more = false;
          break;
        case AnswerReader::Event::kHead:
          require(reader.head().length <= kMaxValue);
          out += "head " + std::to_string(reader.head().length) + reader.head().id + "\n";
          break;
        case AnswerReader::Event::kData:
          out += reader.data();
          break;
        case AnswerReader::Event::kEnd:
          out += "\nend\n";
          break;
        case AnswerReader::Event::kMalformed:
          return out + "malformed";
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
