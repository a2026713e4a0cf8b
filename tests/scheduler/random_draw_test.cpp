// Tests that random numbers are the same on every platform and in every version.
#include "scheduler/random_draw.hpp"

#include <gtest/gtest.h>

namespace mountflow::testing {
namespace {

TEST(RandomDraw, IsSplitMix64) {
  EXPECT_EQ(Mix(0), 0xe220a8397b1dcdafU);  // first output of the reference implementation for seed 0
  RandomDraw random(0);
  EXPECT_EQ(random.Below(1000), 0xe220a8397b1dcdafU % 1000);
  EXPECT_EQ(random.Below(1000), 0x6e789e6aa1b965f4U % 1000);
}

}  // namespace
}  // namespace mountflow::testing
