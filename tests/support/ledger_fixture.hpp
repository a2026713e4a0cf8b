// Billing rules, usage reports and helper functions for tests of the ledger.
#ifndef MOUNTFLOW_TESTS_SUPPORT_LEDGER_FIXTURE_HPP_
#define MOUNTFLOW_TESTS_SUPPORT_LEDGER_FIXTURE_HPP_

#include <gtest/gtest.h>

#include <cstdint>
#include <optional>
#include <string>

#include "ledger/book.hpp"

namespace mountflow::testing {

constexpr Micros kSecond = 1'000'000;
constexpr Micros kHour = 3600 * kSecond;
constexpr Micros kDay = 24 * kHour;
constexpr std::int64_t kDecember = 1'796'083'200;  // 2026-12-01T00:00:00Z
constexpr Micros kStart = static_cast<Micros>(kDecember) * kSecond;

// Returns the time zone with this TZ text, which must be valid.
inline ledger::TimeZone ParsedZone(const std::string& text) {
  const auto zone = ledger::TimeZone::Parse(text);
  EXPECT_TRUE(zone) << text << ": " << Describe(zone.error());
  return zone.value_or(ledger::TimeZone());
}

// Returns rules with daily periods in UTC, one hour of grace and one price for all work.
inline ledger::BillingRules DailyRules() {
  ledger::BillingRules rules;
  rules.time_zone = ParsedZone("UTC0");
  rules.period_kind = ledger::PeriodKind::kDay;
  rules.grace = kHour;
  rules.prices = {{"", "", 0, 3'600'000, 1'024'000}};
  return rules;
}

// Returns the usage of an attempt that requested 1.5 cores and 2 GiB.
inline ledger::AttemptUsage MakeUsage(const std::string& attempt, Micros from, Micros to,
                                      const std::string& tenant = "t") {
  return {attempt, tenant, "service", "small", from, to, 1500, 2048};
}

// Encodes, decodes and applies records, as if they were replayed from the ledger's log.
inline void ApplyStored(ledger::Book* book, const ledger::Book::Records& records) {
  for (const ledger::Record& record : records) {
    const auto read = ledger::DecodeRecord(EncodeRecord(record));
    ASSERT_TRUE(read) << Describe(read.error());
    const ledger::LedgerStatus applied = book->Apply(*read);
    ASSERT_TRUE(applied) << Describe(applied.error());
  }
}
// Does the same with the records of a decision, which must have succeeded.
inline void ApplyStored(ledger::Book* book, const ledger::LedgerResult<ledger::Book::Records>& decided) {
  ASSERT_TRUE(decided) << Describe(decided.error());
  ApplyStored(book, *decided);
}

// Returns the code of the error; nullopt on success.
template <typename T>
std::optional<ledger::LedgerErrorCode> CodeOf(const ledger::LedgerResult<T>& result) {
  if (result) return std::nullopt;
  return result.error().code;
}

// Posts the usage and, if that succeeds, applies the records. Returns the code of the error of Post.
inline std::optional<ledger::LedgerErrorCode> PostAndApply(ledger::Book* book, Micros now,
                                                           const ledger::AttemptUsage& usage) {
  const auto decided = book->Post(now, usage);
  if (decided) ApplyStored(book, *decided);
  return CodeOf(decided);
}

// Returns the sum of all lines of a statement.
inline ledger::UsageTotals TotalsOf(const ledger::Book& book, const std::string& period,
                                    ledger::StatementKind kind = ledger::StatementKind::kAsPosted) {
  ledger::UsageTotals totals;
  for (const ledger::StatementLine& line : book.Statement(period, kind)) {
    totals.millicore_us += line.totals.millicore_us;
    totals.mebibyte_us += line.totals.mebibyte_us;
    totals.postings += line.totals.postings;
  }
  return totals;
}

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_SUPPORT_LEDGER_FIXTURE_HPP_
