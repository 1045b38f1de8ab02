#include "testbed/audit/herd_check.h"

#include <gtest/gtest.h>

namespace balancer::testbed {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(StampedeTest, CountsTenthsBeforeAndAfterATime) {
  Stampede all;
  // Two per tenth for 2 s, then 7 in one tenth and none besides.
  for (int i = 0; i < 40; ++i) all.count(Stampede::Kind::kConnection, milliseconds(50 * i));
  for (int i = 0; i < 7; ++i) all.count(Stampede::Kind::kConnection, milliseconds(2310 + i));
  all.count(Stampede::Kind::kProbe, milliseconds(2310));
  const auto f = all.figures(Stampede::Kind::kConnection, seconds(1), seconds(2), seconds(4));
  EXPECT_DOUBLE_EQ(f.mean_before, 2);
  EXPECT_DOUBLE_EQ(f.max_before, 2);
  EXPECT_DOUBLE_EQ(f.most, 7);
  EXPECT_DOUBLE_EQ(f.max_at, 2.3);
  EXPECT_DOUBLE_EQ(f.times(), 3.5);
  EXPECT_EQ(f.all, 7u);
  // A mean below one per tenth counts as one, so that five events in a tenth after silence are a
  // factor of five.
  const auto probes = all.figures(Stampede::Kind::kProbe, seconds(0), seconds(2), seconds(4));
  EXPECT_DOUBLE_EQ(probes.times(), 1);
  // Events after the end are ignored; without events all figures are zero.
  EXPECT_EQ(
      all.figures(Stampede::Kind::kConnection, seconds(0), seconds(2), milliseconds(2300)).all, 0u);
  EXPECT_DOUBLE_EQ(
      all.figures(Stampede::Kind::kListCall, seconds(0), seconds(2), seconds(4)).times(), 0);
}

TEST(StampedeTest, IgnoresEventsBeyondTheLongestRun) {
  Stampede all;
  all.count(Stampede::Kind::kFetch, seconds(-1));
  all.count(Stampede::Kind::kFetch, std::chrono::hours(1000));
  EXPECT_EQ(all.figures(Stampede::Kind::kFetch, seconds(0), seconds(0), seconds(8000)).all, 1u);
}

}  // namespace
}  // namespace balancer::testbed
