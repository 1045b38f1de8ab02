// Counts the most frequent of 10^3 to 10^7 distinct keys with HeavyHitters and with an exact map,
// and computes quantiles of as many values with QuantileSketch, compared to the sorted values.
// Reports the time of one step, and memory and errors as counters.
//
//   cmake --build build --target balancer_bench_sketches && build/balancer_bench_sketches
//
// Keys follow a Zipf-like distribution: each key is the integer part of distinct^u, with u uniform.
#include <benchmark/benchmark.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "trace/heavy_hitters.h"
#include "trace/quantile_sketch.h"

namespace {

using namespace balancer::trace;

std::vector<std::string> keys(std::int64_t distinct) {
  std::mt19937_64 random(1);
  std::uniform_real_distribution<double> u(0, 1);
  std::vector<std::string> all;
  for (int i = 0; i < 1'000'000; ++i)
    all.push_back("lane:" + std::to_string(static_cast<std::int64_t>(
                                std::pow(static_cast<double>(distinct), u(random)))));
  // Each key at least once, up to 10,000,000 keys.
  for (std::int64_t k = 0; k < std::min<std::int64_t>(distinct, 10'000'000); ++k)
    all.push_back("lane:" + std::to_string(k));
  return all;
}

void sketch(benchmark::State& state) {
  const auto all = keys(state.range(0));
  std::size_t i = 0;
  HeavyHitters sketch({});
  for (auto _ : state) sketch.add(all[i++ % all.size()]);
  // Errors of the 20 most frequent keys after one pass.
  HeavyHitters whole({});
  std::unordered_map<std::string, std::uint64_t> exact;
  for (const auto& k : all) whole.add(k), ++exact[k];
  double worst = 0;
  std::vector<std::uint64_t> counts;
  for (const auto& [k, n] : exact) counts.push_back(n);
  std::partial_sort(counts.begin(), counts.begin() + 20, counts.end(), std::greater<>());
  int found = 0;
  const auto top = whole.top();
  for (int t = 0; t < 20; ++t) {
    const auto n = static_cast<double>(exact[top[static_cast<std::size_t>(t)].text]);
    worst = std::max(worst, static_cast<double>(top[static_cast<std::size_t>(t)].count) / n - 1);
    found += exact[top[static_cast<std::size_t>(t)].text] >= counts[19];
  }
  state.counters["KiB"] = static_cast<double>(whole.max_bytes()) / 1024;
  state.counters["worst_%"] = 100 * worst;
  state.counters["found_of_20"] = found;
}

void map(benchmark::State& state) {
  const auto all = keys(state.range(0));
  std::size_t i = 0;
  std::unordered_map<std::string, std::uint64_t> exact;
  for (const auto& k : all) ++exact[k];
  for (auto _ : state) ++exact[all[i++ % all.size()]];
  // Each node has a link, a hash, the text (stored inline if short) and the count; plus the
  // buckets.
  state.counters["KiB"] =
      static_cast<double>(exact.size() *
                              (16 + sizeof(std::pair<const std::string, std::uint64_t>)) +
                          exact.bucket_count() * sizeof(void*)) /
      1024;
}

void quantile(benchmark::State& state) {
  std::mt19937_64 random(1);
  std::lognormal_distribution<double> times(3, 1.5);
  std::vector<double> all;
  for (std::int64_t i = 0; i < state.range(0); ++i) all.push_back(times(random));
  QuantileSketch sketch;
  std::size_t i = 0;
  for (auto _ : state) sketch.add(all[i++ % all.size()]);
  QuantileSketch whole;
  for (const double v : all) whole.add(v);
  std::sort(all.begin(), all.end());
  double worst = 0;
  for (const double q : {0.01, 0.5, 0.9, 0.99, 0.999}) {
    const double truth = all[static_cast<std::size_t>(q * static_cast<double>(all.size() - 1))];
    worst = std::max(worst, std::abs(whole.quantile(q) / truth - 1));
  }
  state.counters["worst_%"] = 100 * worst;
}

BENCHMARK(sketch)->RangeMultiplier(100)->Range(1'000, 10'000'000);
BENCHMARK(map)->RangeMultiplier(100)->Range(1'000, 10'000'000);
BENCHMARK(quantile)->RangeMultiplier(100)->Range(1'000, 10'000'000);

}  // namespace

BENCHMARK_MAIN();
