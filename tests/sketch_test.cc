#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <random>
#include <stdexcept>
#include <string>
#include <unordered_map>
#include <vector>

#include "trace/heavy_hitters.h"
#include "trace/quantile_sketch.h"

namespace balancer::trace {
namespace {

HeavyHitters::Options small(std::mt19937_64& random) {
  HeavyHitters::Options o;
  o.width = 512;
  o.depth = 3;
  o.most = 8;
  for (auto& byte : o.secret) byte = static_cast<unsigned char>(random());
  return o;
}

// Compares the sketch with an exact map: estimates are never too low, and exceed the error bound no
// more often than documented.
TEST(HeavyHittersTest, MatchesExactMapWithinErrorBound) {
  std::size_t asked = 0, beyond = 0;
  for (unsigned seed = 1; seed <= 30; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    const auto options = small(random);
    HeavyHitters sketch(options);
    std::unordered_map<std::string, std::uint64_t> exact;
    std::uint64_t total = 0;
    for (int i = 0; i < 5000; ++i) {
      // A few frequent texts, and many rare ones.
      const auto r = random();
      const std::string text = "k" + std::to_string(r % 4 ? r % 6 : r % 3000);
      const std::uint64_t times = random() % 3;
      sketch.add(text, times);
      if (times > 0) exact[text] += times;
      total += times;
    }
    ASSERT_EQ(sketch.total(), total);
    const double max_above = std::exp(1) * static_cast<double>(total) / 512;
    for (const auto& [text, n] : exact) {
      ASSERT_GE(sketch.count(text), n) << text;
      ++asked;
      beyond += static_cast<double>(sketch.count(text) - n) > max_above;
    }
    const auto top = sketch.top();
    ASSERT_EQ(top.size(), 8u);
    EXPECT_TRUE(std::is_sorted(top.begin(), top.end(),
                               [](const auto& a, const auto& b) { return a.count > b.count; }));
    for (const auto& e : top) {
      EXPECT_GE(e.count, exact[e.text]) << e.text;
      EXPECT_LE(e.count, sketch.count(e.text)) << e.text;
    }
    for (int k = 0; k < 6; ++k)
      EXPECT_TRUE(std::any_of(top.begin(), top.end(), [&](const auto& e) {
        return e.text == "k" + std::to_string(k);
      })) << k;
  }
  EXPECT_LT(static_cast<double>(beyond), std::exp(-3) * static_cast<double>(asked));
}

TEST(HeavyHittersTest, CountsMillionTextsInBoundedMemory) {
  HeavyHitters::Options options;
  options.most = 10;
  HeavyHitters sketch(options);
  const std::size_t most = sketch.max_bytes();
  EXPECT_LT(most, 200'000u);
  for (int i = 0; i < 1'000'000; ++i) {
    sketch.add("key:" + std::to_string(i));
    if (i % 100 == 0) sketch.add("hot:" + std::to_string(i / 100 % 10));
  }
  EXPECT_EQ(sketch.max_bytes(), most);
  const auto top = sketch.top();
  ASSERT_EQ(top.size(), 10u);
  for (const auto& e : top) {
    EXPECT_TRUE(e.text.starts_with("hot:")) << e.text << " " << e.count;
    EXPECT_GE(e.count, 1000u);
  }
}

TEST(HeavyHittersTest, TruncatesLongTextsButCountsThemWhole) {
  HeavyHitters::Options options;
  options.max_text = 4;
  HeavyHitters sketch(options);
  sketch.add("abcdef", 3);
  sketch.add("abcdxx", 2);
  sketch.add("", 1);
  EXPECT_EQ(sketch.count("abcdef"), 3u);
  EXPECT_EQ(sketch.count("abcdxx"), 2u);
  const auto top = sketch.top();
  ASSERT_EQ(top.size(), 3u);
  EXPECT_EQ(top[0].text, "abcd");
  EXPECT_EQ(top[1].text, "abcd");
  EXPECT_EQ(top[2].text, "");
}

TEST(HeavyHittersTest, SaturatesCounts) {
  HeavyHitters sketch({});
  const auto most = std::numeric_limits<std::uint64_t>::max();
  sketch.add("a", most - 1);
  sketch.add("a", 5);
  EXPECT_EQ(sketch.count("a"), most);
  EXPECT_EQ(sketch.total(), most);
}

TEST(HeavyHittersTest, RejectsInvalidBounds) {
  for (const auto set : {+[](HeavyHitters::Options& o) { o.width = 0; },
                         +[](HeavyHitters::Options& o) { o.width = std::size_t{1} << 25; },
                         +[](HeavyHitters::Options& o) { o.depth = 0; },
                         +[](HeavyHitters::Options& o) { o.depth = 17; },
                         +[](HeavyHitters::Options& o) { o.most = 0; },
                         +[](HeavyHitters::Options& o) { o.max_text = 0; }}) {
    HeavyHitters::Options o;
    set(o);
    EXPECT_THROW(HeavyHitters{o}, std::invalid_argument);
  }
}

double exact_quantile(const std::vector<double>& sorted, double q) {
  return sorted[static_cast<std::size_t>(std::floor(q * static_cast<double>(sorted.size() - 1)))];
}

// Draws values of about 1 to e^12 from one of three distributions, which the seed selects.
std::vector<double> draw(std::mt19937_64& random, std::size_t n) {
  std::lognormal_distribution<double> lognormal(3, 1.5);
  std::exponential_distribution<double> exponential(0.01);
  std::uniform_real_distribution<double> logs(0, 12);
  const auto kind = random() % 3;
  std::vector<double> values(n);
  for (double& v : values)
    v = kind == 0 ? lognormal(random) : kind == 1 ? exponential(random) : std::exp(logs(random));
  return values;
}

TEST(QuantileSketchTest, StaysWithinErrorAndMergesParts) {
  for (unsigned seed = 1; seed <= 40; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    const double accuracy = seed % 2 ? 0.01 : 0.05;
    QuantileSketch whole(accuracy), parts(accuracy);
    std::vector<double> all;
    for (int part = 0; part < 4; ++part) {
      QuantileSketch one(accuracy);
      for (const double v : draw(random, 1 + random() % 2000)) {
        one.add(v);
        whole.add(v);
        all.push_back(v);
      }
      ASSERT_TRUE(parts.merge(one));
    }
    std::sort(all.begin(), all.end());
    ASSERT_EQ(whole.count(), all.size());
    ASSERT_FALSE(whole.collapsed());
    for (const double q : {0.0, 0.01, 0.25, 0.5, 0.9, 0.99, 0.999, 1.0}) {
      const double truth = exact_quantile(all, q);
      EXPECT_NEAR(whole.quantile(q), truth, truth * accuracy * 1.0001) << q;
      EXPECT_DOUBLE_EQ(parts.quantile(q), whole.quantile(q)) << q;
    }
  }
}

// With too few buckets, the highest values stay within the error bound regardless of their order.
TEST(QuantileSketchTest, CollapsesLowestBucketsWhenFull) {
  for (unsigned seed = 1; seed <= 40; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    QuantileSketch sketch(0.02, 64), other(0.02, 64);
    std::vector<double> all;
    std::uniform_real_distribution<double> logs(0, 12);
    for (int i = 0; i < 3000; ++i) {
      all.push_back(std::exp(logs(random)));
      (i % 2 ? sketch : other).add(all.back());
    }
    ASSERT_TRUE(sketch.merge(other));
    std::sort(all.begin(), all.end());
    EXPECT_TRUE(sketch.collapsed());
    EXPECT_EQ(sketch.count(), all.size());
    // 63 buckets of 4% from the top are e^2.5 wide: a fifth of the values.
    for (const double q : {0.85, 0.95, 1.0}) {
      const double truth = exact_quantile(all, q);
      EXPECT_NEAR(sketch.quantile(q), truth, truth * 0.02 * 1.0001) << q;
    }
    EXPECT_GT(sketch.quantile(0.1), exact_quantile(all, 0.1))
        << "collapsing must raise low values, never lower them";
  }
}

TEST(QuantileSketchTest, HandlesZeroNegativeNanAndInfinity) {
  QuantileSketch sketch;
  EXPECT_EQ(sketch.quantile(0.5), 0);
  for (const double v : {0.0, -1.0, std::nan(""), 1e-300}) sketch.add(v);
  EXPECT_EQ(sketch.quantile(1), 0);
  sketch.add(std::numeric_limits<double>::infinity());
  EXPECT_NEAR(sketch.quantile(1), 1e18, 1e16);
  EXPECT_EQ(sketch.quantile(0.5), 0);
  EXPECT_EQ(sketch.count(), 5u);
  ASSERT_TRUE(sketch.merge(sketch));
  EXPECT_EQ(sketch.count(), 10u);
  EXPECT_FALSE(sketch.merge(QuantileSketch(0.02)));
  EXPECT_EQ(sketch.count(), 10u);
  EXPECT_THROW(QuantileSketch(0), std::invalid_argument);
  EXPECT_THROW(QuantileSketch(0.01, 8), std::invalid_argument);
}

}  // namespace
}  // namespace balancer::trace
