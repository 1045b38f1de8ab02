// Decodes arbitrary bytes as a group's datagram, as a member's metadata and as a voter's record.
// Invariants: no crash; decoded values are within their bounds and survive encoding and decoding; a
// node can process a decoded datagram.
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

void require(bool condition) {
  if (!condition) std::abort();
}

struct DiscardingRecordStore : VoterRecordStore {
  bool save(const lease::VoterRecord&) override { return true; }
};

void process(const Datagram& d) {
  GroupNodeSettings s;
  s.name = "n0";
  s.endpoint = "127.0.0.1:1";
  s.incarnation = 1;
  s.membership.seeds = {"127.0.0.1:2"};
  s.lease_manager.addresses = {{"svc", {}}};
  s.initial_voters.names = {"n0", "n1", "n2"};
  DiscardingRecordStore record_store;
  Time now = std::chrono::seconds(100);
  GroupNode instance(s, lease::VoterRecord{s.initial_voters, {}}, record_store, 1, now);
  instance.on_eligible(now, true, "ready");
  for (int i = 0; i < 20; ++i) {
    instance.on_datagram(now, "127.0.0.1:2", d);
    now += std::chrono::milliseconds(137);
    instance.on_timer(now);
    for (const auto& out : instance.take_datagrams()) require(out.endpoint.size() <= 64);
    instance.take_route_actions();
    instance.take_log_lines();
  }
  require(instance.membership().members().size() <= s.membership.max_members);
  require(lease::is_valid(instance.voters()));
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  if (const auto d = decode(bytes)) {
    require(!d->sender.empty() && d->sender.size() <= kMaxName && d->sequence > 0);
    const auto decoded_again = decode(encode(*d));
    require(decoded_again && encode(*decoded_again) == encode(*d));
    process(*d);
  }
  if (const auto m = decode_meta(bytes)) require(decode_meta(encode(*m)).has_value());
  if (const auto r = decode_record(bytes)) require(decode_record(encode(*r)) == r);
  static const KeyRing keys({Key{}}, std::chrono::seconds(1));
  require(!keys.open(Time{0}, bytes));
  return 0;
}
