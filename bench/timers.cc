// Timers of which 95 % are cancelled before they expire, with 100, 10,000 and 1,000,000 pending:
// TimingWheel, a binary heap in which cancelled timers stay until they are due, and asio's timers,
// one for each request.
//
//   cmake --build build --target balancer_bench_timers && build/balancer_bench_timers
//
// Measures one step, which sets a timer and cancels or expires an old one. Wheel and heap run on a
// simulated clock with a time-out of one second; asio's timers run on the real clock, and those
// that are to expire do so immediately.
#include <benchmark/benchmark.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <unordered_set>
#include <vector>

#include "dispatch/timing_wheel.h"

namespace {

using namespace balancer;

constexpr Duration kTimeout = std::chrono::seconds(1);
constexpr std::uint64_t kExpiryInterval = 20;  // one in this many timers expires

void wheel(benchmark::State& state) {
  const auto n = static_cast<std::uint64_t>(state.range(0));
  TimingWheel<std::uint64_t> timers(Time(0), std::chrono::milliseconds(1));
  std::vector<TimingWheel<std::uint64_t>::Handle> ring(n);
  std::uint64_t i = 0, due = 0;
  const auto step = [&] {
    const Time now = kTimeout * static_cast<std::int64_t>(i) / static_cast<std::int64_t>(n);
    auto& slot = ring[i % n];
    if (i % kExpiryInterval != 0) timers.cancel(slot);
    slot = timers.set(now + kTimeout, i++);
    timers.advance(now, [&](std::uint64_t v) { due += v; });
  };
  while (i < n) step();
  for (auto _ : state) step();
  benchmark::DoNotOptimize(due);
}

void heap(benchmark::State& state) {
  const auto n = static_cast<std::uint64_t>(state.range(0));
  struct Due {
    Time at;
    std::uint64_t tag;
    bool operator>(const Due& other) const { return at > other.at; }
  };
  std::priority_queue<Due, std::vector<Due>, std::greater<>> timers;
  std::unordered_set<std::uint64_t> pending;
  std::vector<std::uint64_t> ring(n);
  std::uint64_t i = 0, due = 0;
  const auto step = [&] {
    const Time now = kTimeout * static_cast<std::int64_t>(i) / static_cast<std::int64_t>(n);
    auto& slot = ring[i % n];
    if (i % kExpiryInterval != 0) pending.erase(slot);
    slot = i;
    pending.insert(i);
    timers.push({now + kTimeout, i++});
    for (; timers.top().at <= now; timers.pop())
      if (pending.erase(timers.top().tag) > 0) due += timers.top().tag;
  };
  while (i < n) step();
  for (auto _ : state) step();
  benchmark::DoNotOptimize(due);
}

void asio_timers(benchmark::State& state) {
  const auto n = static_cast<std::uint64_t>(state.range(0));
  boost::asio::io_context io(1);
  std::vector<std::shared_ptr<boost::asio::steady_timer>> ring(n);
  std::uint64_t i = 0, due = 0;
  const auto step = [&] {
    auto& slot = ring[i % n];
    const bool expires = i % kExpiryInterval == 0;
    if (slot) slot->cancel();
    slot = std::make_shared<boost::asio::steady_timer>(
        io, expires ? std::chrono::seconds(0) : std::chrono::hours(1));
    slot->async_wait([&due, held = slot](const boost::system::error_code& e) { due += !e; });
    if (++i % 64 == 0) io.poll();
  };
  while (i < n) step();
  for (auto _ : state) step();
  benchmark::DoNotOptimize(due);
  ring.clear();
}

BENCHMARK(wheel)->Arg(100)->Arg(10'000)->Arg(1'000'000);
BENCHMARK(heap)->Arg(100)->Arg(10'000)->Arg(1'000'000);
BENCHMARK(asio_timers)->Arg(100)->Arg(10'000)->Arg(1'000'000);

}  // namespace

BENCHMARK_MAIN();
