// Tests of the bounds and the digest of an attempt's usage.
#include <gtest/gtest.h>

#include "ledger/attempt_usage.hpp"
#include "tests/support/ledger_fixture.hpp"

namespace mountflow::testing {
namespace {

using namespace ledger;

TEST(AttemptUsage, AcceptsItsBoundsAndRejectsValuesBeyondThem) {
  const AttemptUsage usage = MakeUsage(std::string(kMaxTextBytes, 'a'), kStart, kStart);
  EXPECT_TRUE(Validate(usage));
  const auto expect_invalid = [&usage](const char* subject, void (*change)(AttemptUsage*)) {
    AttemptUsage changed = usage;
    change(&changed);
    const LedgerStatus status = Validate(changed);
    ASSERT_FALSE(status) << subject;
    EXPECT_EQ(status.error().code, LedgerErrorCode::kInvalidArgument);
    EXPECT_EQ(status.error().subject, subject);
  };
  expect_invalid("attempt", [](AttemptUsage* changed) { changed->attempt.clear(); });
  expect_invalid("attempt", [](AttemptUsage* changed) { changed->attempt += "a"; });
  expect_invalid("tenant, class and kind", [](AttemptUsage* changed) { changed->tenant.resize(1025); });
  expect_invalid("tenant, class and kind", [](AttemptUsage* changed) { changed->kind.resize(1025); });
  expect_invalid("end", [](AttemptUsage* changed) { --changed->end; });
  expect_invalid("end", [](AttemptUsage* changed) { changed->end += 101 * 366 * kDay; });
  expect_invalid("cores", [](AttemptUsage* changed) { changed->millicores = -1; });
  expect_invalid("cores", [](AttemptUsage* changed) { changed->millicores = 1'000'000'001; });
  expect_invalid("memory", [](AttemptUsage* changed) { changed->mebibytes = -1; });
  expect_invalid("memory", [](AttemptUsage* changed) { changed->mebibytes = 1'000'000'000'001; });
}

TEST(AttemptUsage, DigestCoversEverythingButTheName) {
  const AttemptUsage usage = MakeUsage("1.d0/1", kStart, kStart + kHour);
  AttemptUsage renamed = usage;
  renamed.attempt = "2.d0/1";
  EXPECT_EQ(DigestOf(renamed), DigestOf(usage));
  AttemptUsage longer = usage;
  ++longer.end;
  EXPECT_NE(DigestOf(longer), DigestOf(usage));
}

}  // namespace
}  // namespace mountflow::testing
