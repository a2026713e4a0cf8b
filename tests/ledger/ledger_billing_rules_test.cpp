// Tests of the billing rules: the price that applies to work, and the times of price changes.
#include <gtest/gtest.h>

#include "ledger/billing_rules.hpp"

namespace mountflow::testing {
namespace {

using namespace ledger;

TEST(BillingRules, TheMostSpecificPriceAppliesThenTheNewest) {
  const std::vector<Price> prices = {{"", "", 0, 1, 0},
                                     {"", "", 10, 2, 0},
                                     {"batch", "", 0, 3, 0},
                                     {"", "small", 20, 4, 0},
                                     {"batch", "small", 5, 5, 0}};
  const auto core_hour = [&prices](const char* task_class, const char* kind, Micros at) {
    return FindPrice(prices, task_class, kind, at)->core_hour;
  };
  EXPECT_EQ(core_hour("service", "large", 9), 1);
  EXPECT_EQ(core_hour("service", "large", 10), 2);
  EXPECT_EQ(core_hour("batch", "large", 30), 3);
  EXPECT_EQ(core_hour("service", "small", 19), 2);
  EXPECT_EQ(core_hour("service", "small", 20), 4);
  EXPECT_EQ(core_hour("batch", "small", 4), 3);
  EXPECT_EQ(core_hour("batch", "small", 30), 5);
  EXPECT_EQ(FindPrice({{"batch", "", 0, 1, 1}}, "service", "small", 1), nullptr);
}

TEST(BillingRules, WorkIsSplitAtTheNextChangeOfAnyPrice) {
  const std::vector<Price> prices = {{"", "", 30, 1, 0}, {"batch", "", 20, 2, 0}};
  EXPECT_EQ(NextPriceChange(prices, 10, 40), 20u);
  EXPECT_EQ(NextPriceChange(prices, 20, 40), 30u);
  EXPECT_EQ(NextPriceChange(prices, 30, 40), 40u);
  EXPECT_EQ(NextPriceChange(prices, 10, 15), 15u);
}

}  // namespace
}  // namespace mountflow::testing
