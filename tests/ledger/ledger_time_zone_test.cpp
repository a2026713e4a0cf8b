// Tests of time zones and billing periods.
#include <gtest/gtest.h>

#include <utility>

#include "ledger/billing_period.hpp"
#include "ledger/time_zone.hpp"
#include "tests/support/ledger_fixture.hpp"

namespace mountflow::testing {
namespace {

using namespace ledger;

TEST(TimeZone, PeriodsBeginAtLocalMidnight) {
  const TimeZone johannesburg = ParsedZone("SAST-2");
  const Period period = PeriodOf(johannesburg, PeriodKind::kMonth, kDecember);
  EXPECT_EQ(period.name, "2026-12");
  EXPECT_EQ(period.from, kDecember - 7200);
  EXPECT_EQ(period.to, kDecember - 7200 + 31 * 86'400);
  EXPECT_EQ(PeriodOf(johannesburg, PeriodKind::kMonth, period.from - 1).name, "2026-11");
  EXPECT_EQ(PeriodOf(johannesburg, PeriodKind::kYear, kDecember).name, "2026");
  EXPECT_EQ(PeriodOf(ParsedZone("<-03>3"), PeriodKind::kDay, kDecember).name, "2026-11-30");
}

TEST(TimeZone, ADayInWhichTheClockChangesHas23Or25Hours) {
  const TimeZone berlin = ParsedZone("CET-1CEST,M3.5.0,M10.5.0/3");
  const auto hours = [&berlin](std::int64_t utc) {
    const Period period = PeriodOf(berlin, PeriodKind::kDay, utc);
    return std::make_pair(period.name, (period.to - period.from) / 3600);
  };
  EXPECT_EQ(hours(1'774'742'400), std::make_pair(std::string("2026-03-29"), std::int64_t{23}));
  EXPECT_EQ(hours(1'792'886'400), std::make_pair(std::string("2026-10-25"), std::int64_t{25}));
  EXPECT_EQ(hours(1'792'886'400 + 86'400).second, 24);
}

TEST(TimeZone, DaylightSavingSpansTheEndOfTheYearSouthOfTheEquator) {
  const TimeZone santiago = ParsedZone("<-04>4<-03>,M9.1.6/24,M4.1.6/24");
  EXPECT_EQ(santiago.OffsetAt(kDecember), -3 * 3600);
  EXPECT_EQ(santiago.OffsetAt(1'782'864'000), -4 * 3600);  // 2026-07-01
}

TEST(TimeZone, ASkippedMidnightLeavesNoMomentInTwoDays) {
  // Daylight saving time begins at midnight, so the day of the change begins at 01:00.
  const TimeZone santiago = ParsedZone("<-04>4<-03>,M9.1.6/24,M4.1.6/24");
  std::int64_t at = 1'788'000'000;  // late August 2026
  for (int i = 0; i < 40; ++i) {
    const Period period = PeriodOf(santiago, PeriodKind::kDay, at);
    EXPECT_LE(period.from, at);
    EXPECT_GT(period.to, at);
    EXPECT_EQ(PeriodOf(santiago, PeriodKind::kDay, period.to).from, period.to);
    at = period.to;
  }
}

TEST(TimeZone, RejectsTextsThatAreNoPosixTimeZone) {
  for (const char* text : {"", "X", "UTC", "CET-1CEST", "CET-1CEST,M13.1.0,M10.5.0", "CET-1CEST,M3.5.0",
                           "UTC0 ", "<+2-2", "Europe/Berlin", "CET-1CEST,J60,J300"}) {
    const auto zone = TimeZone::Parse(text);
    ASSERT_FALSE(zone) << text;
    EXPECT_EQ(zone.error().code, LedgerErrorCode::kInvalidArgument);
    EXPECT_NE(zone.error().expected.find("POSIX TZ"), std::string::npos);
  }
}

TEST(TimeZone, TheDefaultIsUtc) {
  EXPECT_EQ(TimeZone().OffsetAt(kDecember), 0);
  EXPECT_EQ(PeriodOf(TimeZone(), PeriodKind::kDay, kDecember),
            PeriodOf(ParsedZone("UTC0"), PeriodKind::kDay, kDecember));
}

}  // namespace
}  // namespace mountflow::testing
