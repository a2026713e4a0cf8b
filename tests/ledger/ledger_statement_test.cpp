// Tests of statements and the trial balance.
#include <gtest/gtest.h>

#include "ledger/statement.hpp"

namespace mountflow::testing {
namespace {

using namespace ledger;

constexpr Amount kCoreHour = Amount{1000} * 3'600 * 1'000'000;  // in millicore-microseconds
constexpr Amount kGibHour = Amount{1024} * 3'600 * 1'000'000;   // in mebibyte-microseconds

Posting MakePosting(const std::string& tenant, const std::string& period,
                    const std::string& refers_to_period) {
  Posting posting;
  posting.tenant = tenant;
  posting.task_class = "service";
  posting.kind = "small";
  posting.period = period;
  posting.refers_to_period = refers_to_period;
  posting.millicore_us = 2 * kCoreHour;
  posting.mebibyte_us = 3 * kGibHour;
  posting.core_hour_price = 10;
  posting.gib_hour_price = 1;
  return posting;
}

TEST(Statement, HasALineForEachTenantAndPrice) {
  Posting dearer = MakePosting("a", "1", "");
  dearer.core_hour_price = 100;
  const auto lines =
      MakeStatement({MakePosting("b", "1", ""), MakePosting("a", "1", ""), MakePosting("a", "1", ""), dearer},
                    "1", StatementKind::kAsPosted);
  ASSERT_EQ(lines.size(), 3u);
  EXPECT_EQ(lines[0].tenant, "a");
  EXPECT_EQ(lines[0].totals.postings, 2u);
  EXPECT_EQ(lines[0].money, 2 * (2 * 10 + 3 * 1));
  EXPECT_EQ(lines[1].money, 2 * 100 + 3 * 1);
  EXPECT_EQ(lines[2].tenant, "b");
}

TEST(Statement, IsRestatedByThePeriodOfTheWork) {
  const std::vector<Posting> postings = {MakePosting("a", "1", ""), MakePosting("a", "2", "1")};
  EXPECT_EQ(MakeStatement(postings, "1", StatementKind::kAsPosted)[0].totals.postings, 1u);
  EXPECT_EQ(MakeStatement(postings, "1", StatementKind::kRestated)[0].totals.postings, 2u);
  EXPECT_EQ(MakeStatement(postings, "2", StatementKind::kAsPosted)[0].totals.postings, 1u);
  EXPECT_TRUE(MakeStatement(postings, "2", StatementKind::kRestated).empty());
}

TEST(TrialBalance, AddsUpToZero) {
  const auto accounts = MakeTrialBalance({MakePosting("a", "1", ""), MakePosting("b", "1", "")});
  ASSERT_EQ(accounts.size(), 3u);
  EXPECT_EQ(accounts.at("tenant/a").millicore_us, 2 * kCoreHour);
  EXPECT_EQ(accounts.at("fleet/service/small").millicore_us, -4 * kCoreHour);
  EXPECT_EQ(accounts.at("fleet/service/small").mebibyte_us, -6 * kGibHour);
  EXPECT_EQ(accounts.at("fleet/service/small").postings, 2u);
}

}  // namespace
}  // namespace mountflow::testing
