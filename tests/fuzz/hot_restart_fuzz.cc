// Any bytes as a message between a process and the one that takes its place. What must hold: no
// crash; what is taken is within its bounds and reads the same again; a snapshot put together from
// any parts stays bounded.
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "hot_restart/hot_restart_state.h"
#include "proto/hot_restart_wire.h"

namespace {

using namespace balancer::hot_restart;

void must(bool holds) {
  if (!holds) std::abort();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const auto message = decode({reinterpret_cast<const char*>(data), size});
  if (!message) return 0;
  const std::string again = encode(*message);
  must(decode(again) == message);
  if (const auto* s = std::get_if<Snapshot>(&*message)) {
    must(s->hosts.size() <= kEntriesPerPart && s->overrides.size() <= kEntriesPerPart);
    must(s->listeners.size() <= kMaxDescriptors);
    Snapshot whole;
    for (int i = 0; i < 100; ++i)
      if (!append(whole, *s)) break;
    must(whole.hosts.size() <= kMaxHosts && whole.overrides.size() <= kMaxOverrides);
    HotRestartState state({1000, 1000000});
    state.on_predecessor(s->resources_held);
    const ResourceShare share = state.share(std::chrono::seconds(1), {}, {});
    must(share.descriptors <= 1000 && share.bytes <= 1000000);
  }
  return 0;
}
