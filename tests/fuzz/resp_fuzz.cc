// Any bytes, cut anywhere, through both readers of the RESP codec. What must hold: no crash, an
// end, the same items however the input is cut, bounds kept, and commands that read the same again.
#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

#include "proto/resp.h"

namespace {

using namespace balancer::resp;

const Bounds kBounds{.bulk = 256, .elements = 64, .total = 2048, .line = 128, .depth = 5};

void must(bool holds) {
  if (!holds) std::abort();
}

std::vector<std::string> commands(std::string_view bytes, std::size_t step) {
  std::vector<std::string> out;
  CommandReader reader(kBounds);
  while (true) {
    while (auto item = reader.next()) {
      if (const auto* fault = std::get_if<Fault>(&*item)) {
        out.push_back("fault " + fault->reason);
        return out;
      }
      const Command& c = std::get<Command>(*item);
      must(c.size() > 0 && c.size() <= std::max(kBounds.elements, kBounds.line));
      CommandReader again(Bounds{});
      again.feed(c.wire());
      const auto second = again.next();
      must(second && std::holds_alternative<Command>(*second) && again.between_commands());
      const Command& d = std::get<Command>(*second);
      must(d.size() == c.size());
      for (std::size_t i = 0; i < c.size(); ++i) must(c[i] == d[i]);
      out.push_back(c.wire());
    }
    must(reader.buffered() <= bytes.size() + kBounds.total + 4096 + step);
    if (bytes.empty()) return out;
    reader.feed(bytes.substr(0, step));
    bytes.remove_prefix(std::min(step, bytes.size()));
  }
}

// Every whole reply, and at the end whether the rest made no sense.
std::vector<std::string> replies(std::string_view bytes, std::size_t step) {
  std::vector<std::string> out;
  std::string current;
  ReplyReader reader(kBounds);
  for (std::size_t at = 0; at < bytes.size(); at += step) {
    std::string_view piece = bytes.substr(at, step);
    for (bool more = true; more;) {
      switch (reader.next(piece)) {
        case ReplyReader::Event::kMore:
          must(piece.empty());
          more = false;
          break;
        case ReplyReader::Event::kData:
          current += reader.data();
          must(current.size() <= kBounds.total);
          break;
        case ReplyReader::Event::kEnd: {
          const auto tree = parse_reply(current, kBounds);
          must(tree.has_value());
          must(tree->type == reader.type());
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
  const auto all = commands(bytes, size + 1);
  for (const std::size_t step : {std::size_t{1}, std::size_t{7}})
    must(commands(bytes, step) == all);
  const auto whole = replies(bytes, size + 1);
  for (const std::size_t step : {std::size_t{1}, std::size_t{5}})
    must(replies(bytes, step) == whole);
  return 0;
}
