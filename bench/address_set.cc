// Looks up addresses in 10, 1,000 and 100,000 networks: AddressSet, which is a trie, compared to a
// linear search in a list. Half of the addresses are drawn from one of the networks.
//
//   cmake --build build --target balancer_bench_address_set && build/balancer_bench_address_set
#include "net/address_set.h"

#include <benchmark/benchmark.h>

#include <boost/asio/ip/network_v4.hpp>
#include <cstdint>
#include <random>
#include <vector>

namespace {

using namespace balancer;
namespace ip = boost::asio::ip;

constexpr std::size_t kLookups = 4096;

struct Networks {
  std::vector<ip::network_v4> list;
  std::vector<ip::address_v4> lookups;

  explicit Networks(std::int64_t count) {
    std::mt19937 draw(1);
    const auto random = [&draw] { return static_cast<std::uint32_t>(draw()); };
    while (static_cast<std::int64_t>(list.size()) < count) {
      const auto length = static_cast<unsigned short>(16 + random() % 17);
      list.push_back(ip::make_network_v4(ip::address_v4(random()), length).canonical());
    }
    while (lookups.size() < kLookups) {
      const ip::network_v4& n = list[random() % list.size()];
      const std::uint32_t inside = n.address().to_uint() | (random() & ~n.netmask().to_uint());
      lookups.emplace_back(lookups.size() % 2 ? inside : random());
    }
  }
};

void trie(benchmark::State& state) {
  const Networks networks(state.range(0));
  AddressSet set;
  for (const auto& n : networks.list) set.insert(n.to_string());
  std::size_t i = 0, in = 0;
  for (auto _ : state) in += set.contains(networks.lookups[i++ % kLookups]);
  benchmark::DoNotOptimize(in);
  state.counters["nodes"] = static_cast<double>(set.nodes());
}

void list(benchmark::State& state) {
  const Networks networks(state.range(0));
  struct Network {
    std::uint32_t address, mask;
  };
  std::vector<Network> all;
  for (const auto& n : networks.list) all.push_back({n.address().to_uint(), n.netmask().to_uint()});
  std::size_t i = 0, in = 0;
  for (auto _ : state) {
    const std::uint32_t a = networks.lookups[i++ % kLookups].to_uint();
    for (const Network& n : all) {
      if ((a & n.mask) == n.address) {
        ++in;
        break;
      }
    }
  }
  benchmark::DoNotOptimize(in);
}

BENCHMARK(trie)->Arg(10)->Arg(1'000)->Arg(100'000);
BENCHMARK(list)->Arg(10)->Arg(1'000)->Arg(100'000);

}  // namespace

BENCHMARK_MAIN();
