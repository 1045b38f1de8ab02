// Any bytes as a group's datagram, as a member's own word and as a voter's record. What must hold:
// no crash; what is taken is within its bounds, reads the same again, and can be given to a member.
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "group/group_node.h"
#include "proto/group_wire.h"
#include "proto/seal.h"

namespace {

using namespace balancer;
using namespace balancer::group;

void must(bool holds) {
  if (!holds) std::abort();
}

struct Nowhere : VoterRecordStore {
  bool save(const lease::VoterRecord&) override { return true; }
};

void give(const Datagram& d) {
  GroupNodeSettings s;
  s.name = "n0";
  s.endpoint = "127.0.0.1:1";
  s.incarnation = 1;
  s.membership.seeds = {"127.0.0.1:2"};
  s.lease_manager.addresses = {{"svc", {}}};
  s.initial_voters.names = {"n0", "n1", "n2"};
  Nowhere memory;
  Time now = std::chrono::seconds(100);
  GroupNode instance(s, lease::VoterRecord{s.initial_voters, {}}, memory, 1, now);
  instance.on_eligible(now, true, "ready");
  for (int i = 0; i < 20; ++i) {
    instance.on_datagram(now, "127.0.0.1:2", d);
    now += std::chrono::milliseconds(137);
    instance.on_timer(now);
    for (const auto& out : instance.take_datagrams()) must(out.endpoint.size() <= 64);
    instance.take_route_actions();
    instance.take_log_lines();
  }
  must(instance.membership().members().size() <= s.membership.max_members);
  must(lease::is_valid(instance.voters()));
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  if (const auto d = decode(bytes)) {
    must(!d->sender.empty() && d->sender.size() <= kMaxName && d->sequence > 0);
    const auto again = decode(encode(*d));
    must(again && encode(*again) == encode(*d));
    give(*d);
  }
  if (const auto m = decode_meta(bytes)) must(decode_meta(encode(*m)).has_value());
  if (const auto r = decode_record(bytes)) must(decode_record(encode(*r)) == r);
  static const KeyRing keys({Key{}}, std::chrono::seconds(1));
  must(!keys.open(Time{0}, bytes));
  return 0;
}
