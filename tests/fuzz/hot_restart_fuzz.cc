// Decodes arbitrary bytes as a message between a process and its successor. Invariants: no crash;
// decoded messages are within their bounds and survive encoding and decoding; a snapshot assembled
// from any parts is within its bounds.
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "hot_restart/hot_restart_state.h"
#include "proto/hot_restart_wire.h"

namespace {

using namespace balancer::hot_restart;

void require(bool condition) {
  if (!condition) std::abort();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const auto message = decode({reinterpret_cast<const char*>(data), size});
  if (!message) return 0;
  const std::string encoded = encode(*message);
  require(decode(encoded) == message);
  if (const auto* s = std::get_if<Snapshot>(&*message)) {
    require(s->hosts.size() <= kEntriesPerPart && s->overrides.size() <= kEntriesPerPart);
    require(s->listeners.size() <= kMaxDescriptors);
    Snapshot assembled;
    for (int i = 0; i < 100; ++i)
      if (!merge_part(assembled, *s)) break;
    require(assembled.hosts.size() <= kMaxHosts && assembled.overrides.size() <= kMaxOverrides);
    HotRestartState state({1000, 1000000});
    state.on_predecessor(s->resources_held);
    const ResourceShare share = state.share(std::chrono::seconds(1), {}, {});
    require(share.descriptors <= 1000 && share.bytes <= 1000000);
  }
  return 0;
}
