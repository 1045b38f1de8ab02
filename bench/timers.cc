// Timers of which 95 in 100 are taken back before they are due, with 100, 10,000 and 1,000,000
// pending: the wheel that is used, a binary heap that keeps what was taken back until it is due,
// and asio's timers, one a request.
//
//   cmake --build build --target balancer_bench_timers && build/balancer_bench_timers
//
// The time of one step: a timer is set, an old one is taken back or has come due. The first two run
// on a simulated clock on which a timer lives for a second; asio's on the real one, where those
// that come due do so at once.
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

constexpr Duration kLife = std::chrono::seconds(1);
constexpr std::uint64_t kDueOnce = 20;  // one in so many comes due

void wheel(benchmark::State& state) {
  const auto n = static_cast<std::uint64_t>(state.range(0));
  TimingWheel<std::uint64_t> timers(Time(0), std::chrono::milliseconds(1));
  std::vector<TimingWheel<std::uint64_t>::Handle> ring(n);
  std::uint64_t i = 0, due = 0;
  const auto step = [&] {
    const Time now = kLife * static_cast<std::int64_t>(i) / static_cast<std::int64_t>(n);
    auto& place = ring[i % n];
    if (i % kDueOnce != 0) timers.cancel(place);
    place = timers.set(now + kLife, i++);
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
    const Time now = kLife * static_cast<std::int64_t>(i) / static_cast<std::int64_t>(n);
    auto& place = ring[i % n];
    if (i % kDueOnce != 0) pending.erase(place);
    place = i;
    pending.insert(i);
    timers.push({now + kLife, i++});
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
    auto& place = ring[i % n];
    const bool comes_due = i % kDueOnce == 0;
    if (place) place->cancel();
    place = std::make_shared<boost::asio::steady_timer>(
        io, comes_due ? std::chrono::seconds(0) : std::chrono::hours(1));
    place->async_wait([&due, held = place](const boost::system::error_code& e) { due += !e; });
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
