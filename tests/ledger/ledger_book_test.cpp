// Tests of ledger::Book: postings that count once, late events, corrections, limits and exact sums.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <numeric>
#include <random>
#include <set>
#include <tuple>
#include <vector>

#include "ledger/book.hpp"
#include "tests/support/ledger_fixture.hpp"

namespace mountflow::testing {
namespace {

using namespace ledger;

constexpr std::nullopt_t kSuccess = std::nullopt;
constexpr StatementKind kRestated = StatementKind::kRestated;

TEST(Book, SplitsWorkAtTheEndOfAPeriodAndAtAChangeOfPrice) {
  BillingRules rules = DailyRules();
  rules.prices.push_back({"service", "", kStart + 30 * kHour, 7'200'000, 0});
  Book book(rules);
  EXPECT_EQ(
      PostAndApply(&book, kStart + 40 * kHour, MakeUsage("1.d0/1", kStart + 23 * kHour, kStart + 31 * kHour)),
      kSuccess);
  ASSERT_EQ(book.last_sequence(), 3u);
  EXPECT_EQ(book.Find(1)->to, kStart + kDay);
  EXPECT_EQ(book.Find(2)->to, kStart + 30 * kHour);
  EXPECT_EQ(book.Find(3)->core_hour_price, 7'200'000);
  EXPECT_EQ(TotalsOf(book, "2026-12-01").millicore_us, Amount{1500} * static_cast<Amount>(kHour));
  const auto lines = book.Statement("2026-12-02", StatementKind::kAsPosted);
  ASSERT_EQ(lines.size(), 2u);
  // 6 hours of 1.5 cores at 3.6 and of 2 GiB at 1.024; then an hour of 1.5 cores at 7.2.
  EXPECT_EQ(lines[0].money, 6 * (5'400'000 + 2'048'000));
  EXPECT_EQ(lines[1].money, 10'800'000);
}

TEST(Book, CountsARepeatedEventOnceAndReportsOtherFiguresAsAConflict) {
  Book book(DailyRules());
  const AttemptUsage usage = MakeUsage("1.d0/1", kStart, kStart + kHour);
  EXPECT_EQ(PostAndApply(&book, kStart + 2 * kHour, usage), kSuccess);
  EXPECT_EQ(PostAndApply(&book, kStart + 3 * kHour, usage), LedgerErrorCode::kDuplicate);
  AttemptUsage other = usage;
  other.end += 1;
  EXPECT_EQ(PostAndApply(&book, kStart + 3 * kHour, other), LedgerErrorCode::kConflict);
  EXPECT_EQ(TotalsOf(book, "2026-12-01").postings, 1u);
  for (const AttemptUsage& invalid : {MakeUsage("", 1, 2), MakeUsage("x", 2, 1)})
    EXPECT_EQ(CodeOf(book.Post(1, invalid)), LedgerErrorCode::kInvalidArgument);
}

TEST(Book, NeverWritesToAClosedPeriodAndLateWorkRefersToIt) {
  Book book(DailyRules());
  PostAndApply(&book, kStart + kHour, MakeUsage("1.d0/1", kStart, kStart + kHour));
  EXPECT_EQ(CodeOf(book.Close(kStart + kDay + kHour - 1)),
            LedgerErrorCode::kInvalidArgument);  // within the grace time
  ApplyStored(&book, book.Close(kStart + kDay + kHour));
  ASSERT_TRUE(book.IsClosed("2026-12-01"));
  EXPECT_EQ(CodeOf(book.Close(kStart + 9 * kDay, "2026-12-01")), LedgerErrorCode::kInvalidArgument);
  // A node reports hours late that an attempt ended. The work spans the end of the period.
  EXPECT_EQ(PostAndApply(&book, kStart + kDay + 5 * kHour,
                         MakeUsage("2.d0/1", kStart + 23 * kHour, kStart + kDay + kHour)),
            kSuccess);
  EXPECT_EQ(book.Find(2)->period, "2026-12-02");
  EXPECT_EQ(book.Find(2)->refers_to_period, "2026-12-01");
  EXPECT_EQ(book.Find(3)->refers_to_period, "");
  EXPECT_EQ(TotalsOf(book, "2026-12-01").postings, 1u);
  EXPECT_EQ(TotalsOf(book, "2026-12-01", kRestated).postings, 2u);
  EXPECT_EQ(TotalsOf(book, "2026-12-02", kRestated).postings, 1u);
  // A posting to the closed period is rejected even if Post did not make it.
  Record forged;
  forged.posting = *book.Find(1);
  forged.posting.sequence = 4;
  const LedgerStatus applied = book.Apply(forged);
  ASSERT_FALSE(applied);
  EXPECT_EQ(applied.error().code, LedgerErrorCode::kPeriodClosed);
  EXPECT_EQ(Describe(applied.error()), "expected an open period, found 2026-12-01");
}

TEST(Book, RejectsARecordThatDoesNotFollowTheLastOne) {
  Book book(DailyRules());
  Record record;
  record.posting.sequence = 2;
  const LedgerStatus applied = book.Apply(record);
  ASSERT_FALSE(applied);
  EXPECT_EQ(applied.error().code, LedgerErrorCode::kOutOfSequence);
  EXPECT_EQ(Describe(applied.error()), "expected sequence 1, found 2");
}

TEST(Book, CountsAnEventOnlyWhenAllItsPostingsAreApplied) {
  Book book(DailyRules());
  const auto decided = book.Post(kStart + 2 * kDay, MakeUsage("1.d0/1", kStart, kStart + kDay + kHour));
  ASSERT_TRUE(decided);
  ASSERT_EQ(decided->size(), 2u);
  ApplyStored(&book, {decided->front()});  // as if a crash had lost the second posting
  EXPECT_EQ(book.last_sequence(), 0u);
  EXPECT_EQ(PostAndApply(&book, kStart + 2 * kDay, MakeUsage("2.d0/1", kStart, kStart + kHour)), kSuccess);
  EXPECT_EQ(book.last_sequence(), 1u);
  EXPECT_EQ(book.Find(1)->attempt, "2.d0/1");
}

TEST(Book, LateWorkReopensItsPeriodOnlyIfConfiguredAndInTime) {
  BillingRules rules = DailyRules();
  rules.reopen = true;
  rules.reopen_within = 2 * kHour;
  Book book(rules);
  PostAndApply(&book, kStart + kHour, MakeUsage("1.d0/1", kStart, kStart + kHour));
  const Micros closed = kStart + kDay + kHour;
  ApplyStored(&book, book.Close(closed));
  EXPECT_EQ(PostAndApply(&book, closed + kHour, MakeUsage("2.d0/1", kStart, kStart + kHour)), kSuccess);
  EXPECT_FALSE(book.IsClosed("2026-12-01"));
  EXPECT_EQ(TotalsOf(book, "2026-12-01").postings, 2u);
  ApplyStored(&book, book.Close(closed + kHour));
  EXPECT_EQ(PostAndApply(&book, closed + 4 * kHour, MakeUsage("3.d0/1", kStart, kStart + kHour)), kSuccess);
  EXPECT_TRUE(book.IsClosed("2026-12-01"));
  EXPECT_EQ(book.Find(3)->refers_to_period, "2026-12-01");
}

TEST(Book, ACorrectionHasAuthorAndReasonAndShowsInARestatedStatement) {
  Book book(DailyRules());
  PostAndApply(&book, kStart + kHour, MakeUsage("1.d0/1", kStart, kStart + kHour));
  ApplyStored(&book, book.Close(kStart + 2 * kDay));
  const Amount before = TotalsOf(book, "2026-12-01").millicore_us;
  EXPECT_EQ(CodeOf(book.Correct(1, {9, 1, 0, "thandi", "why"})), LedgerErrorCode::kInvalidArgument);
  EXPECT_EQ(CodeOf(book.Correct(1, {1, 1, 0, "", "why"})), LedgerErrorCode::kInvalidArgument);
  EXPECT_EQ(CodeOf(book.Correct(1, {1, 0, 0, "thandi", "why"})), LedgerErrorCode::kInvalidArgument);
  const auto decided =
      book.Correct(kStart + 2 * kDay, {1, -before, 0, "thandi", "counted for the wrong shop"});
  ASSERT_EQ(CodeOf(decided), kSuccess);
  ApplyStored(&book, decided);
  EXPECT_EQ(book.Find(2)->corrects_sequence, 1u);
  EXPECT_EQ(book.Find(2)->author, "thandi");
  EXPECT_EQ(TotalsOf(book, "2026-12-01").millicore_us, before);
  EXPECT_EQ(TotalsOf(book, "2026-12-01", kRestated).millicore_us, 0);
  EXPECT_EQ(TotalsOf(book, "2026-12-03").millicore_us, -before);
  EXPECT_EQ(TotalsOf(book, "2026-12-03", kRestated).postings, 0u);
}

TEST(Book, AClockSetBackOverTheEndOfAPeriodChangesNothingThatIsClosed) {
  Book book(DailyRules());
  PostAndApply(&book, kStart + kHour, MakeUsage("1.d0/1", kStart, kStart + kHour));
  ApplyStored(&book, book.Close(kStart + kDay + kHour));
  const Micros set_back = kStart + kDay - 30 * 60 * kSecond;  // the clock shows the previous day again
  EXPECT_EQ(PostAndApply(&book, set_back, MakeUsage("2.d0/1", kStart + 2 * kHour, kStart + 3 * kHour)),
            kSuccess);
  EXPECT_EQ(book.Find(2)->period, "2026-12-02");
  EXPECT_EQ(book.Find(2)->refers_to_period, "2026-12-01");
  ApplyStored(&book, book.Correct(set_back, {1, -5, 0, "w", "y"}));
  EXPECT_EQ(book.Find(3)->period, "2026-12-02");
}

TEST(Book, RemembersABoundedNumberOfAttemptsAndRejectsOlderEnds) {
  BillingRules rules = DailyRules();
  rules.max_attempts = 3;
  Book book(rules);
  for (int i = 1; i <= 5; ++i)
    PostAndApply(&book, kStart + kHour,
                 MakeUsage(std::to_string(i) + ".d0/1", kStart, kStart + static_cast<Micros>(i) * kSecond));
  EXPECT_EQ(CodeOf(book.Post(kStart + kHour, MakeUsage("2.d0/1", kStart, kStart + 2 * kSecond))),
            LedgerErrorCode::kTooOld);
  EXPECT_EQ(CodeOf(book.Post(kStart + kHour, MakeUsage("5.d0/1", kStart, kStart + 5 * kSecond))),
            LedgerErrorCode::kDuplicate);
}

TEST(Book, CountsABudgetForEachPeriod) {
  BillingRules rules = DailyRules();
  rules.budgets["t"] = Amount{1500} * static_cast<Amount>(kHour) + 1;
  Book book(rules);
  PostAndApply(&book, kStart + 2 * kHour, MakeUsage("1.d0/1", kStart, kStart + kHour));
  EXPECT_EQ(*book.RemainingBudget("t", kStart + 2 * kHour), 1);
  PostAndApply(&book, kStart + 3 * kHour, MakeUsage("2.d0/1", kStart, kStart + kHour));
  EXPECT_LT(*book.RemainingBudget("t", kStart + 3 * kHour), 0);
  EXPECT_EQ(*book.RemainingBudget("t", kStart + kDay), rules.budgets["t"]);
  EXPECT_FALSE(book.RemainingBudget("other", kStart));
}

TEST(Book, RejectsJobsOfATenantWhoseBudgetIsSpentOnlyIfConfigured) {
  for (const bool reject : {false, true}) {
    BillingRules rules = DailyRules();
    rules.budgets["t"] = 1;
    rules.reject_over_budget = reject;
    Book book(rules);
    EXPECT_EQ(book.RejectionReason("t", kStart), "");
    PostAndApply(&book, kStart + 2 * kHour, MakeUsage("1.d0/1", kStart, kStart + kHour));
    EXPECT_EQ(book.RejectionReason("t", kStart),
              reject ? "the budget of tenant 't' for this period is spent" : "");
    EXPECT_EQ(book.RejectionReason("t", kStart + kDay), "");
    EXPECT_EQ(book.RejectionReason("other", kStart), "");
  }
}

TEST(Book, RejectsNewJobsAtMaxPostingsAndStillCountsRunningJobs) {
  BillingRules rules = DailyRules();
  rules.max_postings = 1;
  Book book(rules);
  EXPECT_EQ(book.RejectionReason("t", kStart), "");
  EXPECT_EQ(PostAndApply(&book, kStart + kHour, MakeUsage("1.d0/1", kStart, kStart + kHour)), kSuccess);
  EXPECT_NE(book.RejectionReason("t", kStart), "");
  EXPECT_EQ(PostAndApply(&book, kStart + kHour, MakeUsage("2.d0/1", kStart, kStart + kHour)), kSuccess);
}

// For random events in random order, each reported twice, with closes between them: every microsecond of work
// counts once, the accounts add up to zero, and replaying the records produces the same book.
TEST(BookProperty, SumsAreExactWhateverTheOrder) {
  EXPECT_TRUE(rc::check([](const std::vector<std::tuple<unsigned, unsigned, unsigned>>& raw, unsigned seed) {
    BillingRules rules = DailyRules();
    rules.prices.push_back({"", "small", kStart + 50 * kHour, 1, 1});
    std::vector<AttemptUsage> usages;
    Amount expected_core = 0;
    Amount expected_memory = 0;
    for (std::size_t i = 0; i < raw.size(); ++i) {
      const auto [at, length, size] = raw[i];
      const Micros from = kStart + static_cast<Micros>(at % 1000) * 977'777'777;
      AttemptUsage usage =
          MakeUsage(std::to_string(i) + ".d0/1", from,
                    from + static_cast<Micros>(length % 1000) * 333'333'333, std::to_string(size % 3));
      usage.millicores = size % 5000;
      usage.mebibytes = size % 70'001;
      expected_core += Amount{usage.millicores} * static_cast<Amount>(usage.end - usage.start);
      expected_memory += Amount{usage.mebibytes} * static_cast<Amount>(usage.end - usage.start);
      usages.push_back(usage);
    }
    std::mt19937 random(seed);
    std::vector<std::size_t> order(usages.size());
    std::iota(order.begin(), order.end(), 0);
    order.insert(order.end(), order.begin(), order.end());  // each event is reported twice
    std::shuffle(order.begin(), order.end(), random);
    Book book(rules);
    Book replayed(rules);
    const auto apply = [&](const LedgerResult<Book::Records>& decided) {
      if (!decided) return;
      for (const Record& record : *decided) {
        RC_ASSERT(book.Apply(record).has_value());
        const auto read = DecodeRecord(EncodeRecord(record));
        RC_ASSERT(read.has_value());
        RC_ASSERT(replayed.Apply(*read).has_value());
      }
    };
    Micros now = kStart;
    for (const std::size_t i : order) {
      now += static_cast<Micros>(random() % 7200) * kSecond;
      apply(book.Post(now, usages[i]));
      if (random() % 4 == 0) apply(book.Close(now));
    }
    Amount core = 0;
    Amount memory = 0;
    for (const std::string& period : book.Periods()) {
      core += TotalsOf(book, period).millicore_us;
      memory += TotalsOf(book, period).mebibyte_us;
    }
    std::set<std::string> work_periods;
    for (std::uint64_t sequence = 1; sequence <= book.last_sequence(); ++sequence)
      work_periods.insert(book.Find(sequence)->work_period());
    Amount restated_core = 0;
    for (const std::string& period : work_periods)
      restated_core += TotalsOf(book, period, kRestated).millicore_us;
    RC_ASSERT(core == expected_core);
    RC_ASSERT(memory == expected_memory);
    RC_ASSERT(restated_core == expected_core);
    Amount balance = 0;
    for (const auto& [name, totals] : book.TrialBalance()) balance += totals.millicore_us;
    RC_ASSERT(balance == 0);
    RC_ASSERT(replayed.last_sequence() == book.last_sequence());
    for (const std::string& period : book.Periods()) {
      RC_ASSERT(TotalsOf(replayed, period).millicore_us == TotalsOf(book, period).millicore_us);
      RC_ASSERT(replayed.IsClosed(period) == book.IsClosed(period));
    }
  }));
}

}  // namespace
}  // namespace mountflow::testing
