// Feeds arbitrary bytes, split at arbitrary positions, to the parser of BGP messages and to an
// established session. Invariants: no crash; parsing terminates; the messages do not depend on how
// the input is split; updates survive encoding and parsing.
#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

#include "proto/bgp.h"
#include "route_announcement/bgp_session.h"

namespace {

using namespace balancer::bgp;
using balancer::Time;

void require(bool condition) {
  if (!condition) std::abort();
}

std::string describe(const Message& m, bool four_octets) {
  if (const auto* u = std::get_if<Update>(&m)) {
    const std::string wire = encode(*u, four_octets);
    if (wire.size() <= kMaxMessage) {
      MessageReader second_reader;
      second_reader.set_four_octet_as(four_octets);
      second_reader.feed(wire);
      const auto item = second_reader.next();
      require(item && std::holds_alternative<Message>(*item));
      const auto& v = std::get<Update>(std::get<Message>(*item));
      require(v.withdrawn == u->withdrawn && v.announced == u->announced);
    }
    return "update " + std::to_string(u->withdrawn.size()) + " " +
           std::to_string(u->announced.size());
  }
  if (const auto* o = std::get_if<Open>(&m)) {
    require(o->hold_time == 0 || o->hold_time >= 3);
    return "open " + std::to_string(o->as);
  }
  return "other " + std::to_string(m.index());
}

std::vector<std::string> read(std::string_view bytes, std::size_t step, bool four_octets) {
  std::vector<std::string> out;
  MessageReader reader;
  reader.set_four_octet_as(four_octets);
  while (true) {
    while (auto item = reader.next()) {
      if (const auto* fault = std::get_if<ProtocolError>(&*item)) {
        require(!fault->reason.empty());
        out.push_back("fault " + std::to_string(static_cast<int>(fault->notification.code)) + "/" +
                      std::to_string(fault->notification.subcode));
        return out;
      }
      out.push_back(describe(std::get<Message>(*item), four_octets));
    }
    if (bytes.empty()) return out;
    reader.feed(bytes.substr(0, step));
    bytes.remove_prefix(std::min(step, bytes.size()));
  }
}

void feed_session(std::string_view bytes) {
  SessionSettings s;
  s.local_as = s.remote_as = 64512;
  s.id = 1;
  Time now = std::chrono::seconds(100);
  Session session(s, 1, now);
  session.announce({0x0a090001, 32}, Attributes{});
  session.on_timer(now);
  session.on_connected(now, Session::Direction::kOutbound);
  session.on_bytes(now, Session::Direction::kOutbound,
                   encode(Open{64512, 9, 2, true}) + encode(Keepalive{}));
  require(session.established());
  for (std::size_t at = 0; at < bytes.size(); at += 7) {
    session.on_bytes(now, Session::Direction::kOutbound, bytes.substr(at, 7));
    now += std::chrono::milliseconds(500);
    session.on_timer(now);
    for (const auto& a : session.take_actions()) require(a.bytes.size() <= 2 * kMaxMessage);
  }
  require(session.next_timer_at() > Time{0});
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  for (const bool four_octets : {true, false}) {
    const auto all = read(bytes, size + 1, four_octets);
    for (const std::size_t step : {std::size_t{1}, std::size_t{13}})
      require(read(bytes, step, four_octets) == all);
  }
  feed_session(bytes);
  return 0;
}
