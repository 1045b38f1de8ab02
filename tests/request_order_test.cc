#include "net/request_order.h"

#include <gtest/gtest.h>

namespace balancer {
namespace {

// A read is overtaken by a later write from the write's first byte on, for good unless the write
// has provably not run. A read that is sent all the same shows what a later command has left.
TEST(RequestOrderTest, ALaterWriteOvertakesFromItsFirstByteOn) {
  RequestOrder order;
  const auto read = order.append();
  const auto write = order.append();
  const auto later_read = order.append();
  EXPECT_FALSE(order.is_overtaken(read));
  order.on_write_begun(write);
  EXPECT_TRUE(order.is_overtaken(read));
  EXPECT_TRUE(order.awaits_later_write(read));
  EXPECT_FALSE(order.is_overtaken(later_read));
  order.on_write_ended(write, true);
  EXPECT_TRUE(order.is_overtaken(read));
  EXPECT_FALSE(order.awaits_later_write(read));
  EXPECT_FALSE(order.is_overtaken(later_read));
}

TEST(RequestOrderTest, AWriteThatNeverRanOvertakesNothing) {
  RequestOrder order;
  const auto read = order.append();
  const auto write = order.append();
  order.on_write_begun(write);
  order.on_write_ended(write, false);
  EXPECT_FALSE(order.is_overtaken(read));
  order.on_write_begun(write);  // its second attempt
  EXPECT_TRUE(order.is_overtaken(read));
}

// Of several writes, each is followed by itself: one that has ended does not end another.
TEST(RequestOrderTest, TellsSeveralWritesApart) {
  RequestOrder order;
  const auto first_read = order.append();
  const auto first_write = order.append();
  const auto second_read = order.append();
  const auto second_write = order.append();
  order.on_write_begun(first_write);
  order.on_write_begun(second_write);
  order.on_write_ended(first_write, true);
  EXPECT_TRUE(order.is_overtaken(first_read));
  EXPECT_TRUE(order.awaits_later_write(second_read));
  order.on_write_ended(second_write, false);
  EXPECT_TRUE(order.is_overtaken(first_read));
  EXPECT_FALSE(order.is_overtaken(second_read));
}

}  // namespace
}  // namespace balancer
