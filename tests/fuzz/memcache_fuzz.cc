// Any bytes, cut anywhere, through both readers of the memcache codec. What must hold: no crash, an
// end, the same items however the input is cut, bounds kept, and commands that read the same again
// once they are written out.
#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

#include "proto/memcache.h"

namespace {

using namespace balancer::memcache;

void must(bool holds) {
  if (!holds) std::abort();
}

// Reads all of it in pieces of `step` bytes; what came out, as text.
std::vector<std::string> commands(std::string_view bytes, std::size_t step) {
  std::vector<std::string> out;
  CommandReader reader;
  while (true) {
    while (auto item = reader.next()) {
      if (const auto* error = std::get_if<ClientError>(&*item)) {
        out.push_back("error " + std::string(error->reason));
        return out;  // nothing behind a fault is read
      }
      const Command& c = std::get<Command>(*item);
      must(c.key.size() <= kMaxKey && c.id.size() <= kMaxId && c.body.size() <= kMaxValue);
      must(c.line.size() <= kMaxLine);
      out.push_back(c.line + "|" + c.key + "|" + c.id + "|" + c.props + "|" + c.body);
      if (c.kind != Command::Kind::kNoop) {
        const std::string again = c.encode(std::chrono::milliseconds(7));
        must(again.ends_with("\r\n") && again.find('\n') == again.size() - 1);
        CommandReader second;
        second.feed(again);
        if (c.kind == Command::Kind::kSet) second.feed(c.body + "\r\n");
        const auto read = second.next();
        must(read && std::holds_alternative<Command>(*read));
        must(std::get<Command>(*read).key == c.key && std::get<Command>(*read).id == c.id);
      }
    }
    if (bytes.empty()) return out;
    reader.feed(bytes.substr(0, step));
    bytes.remove_prefix(std::min(step, bytes.size()));
  }
}

std::string answers(std::string_view bytes, std::size_t step) {
  std::string out;
  AnswerReader reader;
  for (std::size_t at = 0; at < bytes.size(); at += step) {
    std::string_view piece = bytes.substr(at, step);
    for (bool more = true; more;) {
      switch (reader.next(piece)) {
        case AnswerReader::Event::kMore:
          must(piece.empty());
          more = false;
          break;
        case AnswerReader::Event::kHead:
          must(reader.head().length <= kMaxValue);
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
  const auto whole = commands(bytes, size + 1);
  for (const std::size_t step : {std::size_t{1}, std::size_t{7}})
    must(commands(bytes, step) == whole);
  const auto all = answers(bytes, size + 1);
  for (const std::size_t step : {std::size_t{1}, std::size_t{5}}) must(answers(bytes, step) == all);
  return 0;
}
