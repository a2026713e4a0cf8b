// Tests of amounts: text and rounding.
#include <gtest/gtest.h>

#include "ledger/amount.hpp"

namespace mountflow::testing {
namespace {

using namespace ledger;

TEST(Amount, IsWrittenWithAllDigits) {
  EXPECT_EQ(ToText(0), "0");
  EXPECT_EQ(ToText(-1), "-1");
  EXPECT_EQ(ToText(Amount{1} << 100), "1267650600228229401496703205376");
  EXPECT_EQ(ToText(Amount{1} << 126 << 1), "-170141183460469231731687303715884105728");  // the minimum
}

TEST(Amount, RoundsHalfUpAlsoBelowZero) {
  EXPECT_EQ(DivideHalfUp(5, 10), 1);
  EXPECT_EQ(DivideHalfUp(4, 10), 0);
  EXPECT_EQ(DivideHalfUp(15, 10), 2);
  EXPECT_EQ(DivideHalfUp(-5, 10), 0);
  EXPECT_EQ(DivideHalfUp(-6, 10), -1);
  EXPECT_EQ(DivideHalfUp(-15, 10), -1);
  EXPECT_EQ(DivideHalfUp(-16, 10), -2);
}

}  // namespace
}  // namespace mountflow::testing
