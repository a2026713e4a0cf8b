// The ledger: periods and zones, postings that count once, lateness, corrections, sums without drift.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <numeric>
#include <random>

#include "ledger/book.hpp"

namespace mountflow::testing {
namespace {

using namespace ledger;

constexpr Micros kSecond = 1'000'000, kHour = 3600 * kSecond, kDay = 24 * kHour;

Zone ZoneOf(const std::string& text) {
  Zone zone;
  std::string expected;
  EXPECT_TRUE(Zone::Parse(text, &zone, &expected)) << text << ": expected " << expected;
  return zone;
}

// 2026-12-01T00:00:00Z
constexpr std::int64_t kDecember = 1'796'083'200;

TEST(Zone, PeriodsBeginAtLocalMidnight) {
  const Zone joburg = ZoneOf("SAST-2");
  Period p = PeriodOf(joburg, PeriodKind::kMonth, kDecember);
  EXPECT_EQ(p.name, "2026-12");
  EXPECT_EQ(p.from, kDecember - 7200);
  EXPECT_EQ(p.to, kDecember - 7200 + 31 * 86'400);
  EXPECT_EQ(PeriodOf(joburg, PeriodKind::kMonth, p.from - 1).name, "2026-11");
  EXPECT_EQ(PeriodOf(joburg, PeriodKind::kYear, kDecember).name, "2026");
  EXPECT_EQ(PeriodOf(ZoneOf("<-03>3"), PeriodKind::kDay, kDecember).name, "2026-11-30");
}

TEST(Zone, ADayInWhichTheClockChangesHas23Or25Hours) {
  const Zone berlin = ZoneOf("CET-1CEST,M3.5.0,M10.5.0/3");
  const auto hours = [&berlin](std::int64_t utc) {
    const Period p = PeriodOf(berlin, PeriodKind::kDay, utc);
    return std::make_pair(p.name, (p.to - p.from) / 3600);
  };
  EXPECT_EQ(hours(1'774'742'400), std::make_pair(std::string("2026-03-29"), std::int64_t{23}));
  EXPECT_EQ(hours(1'792'886'400), std::make_pair(std::string("2026-10-25"), std::int64_t{25}));
  EXPECT_EQ(hours(1'792'886'400 + 86'400).second, 24);
  // South of the equator daylight saving spans the year's end.
  const Zone santiago = ZoneOf("<-04>4<-03>,M9.1.6/24,M4.1.6/24");
  EXPECT_EQ(santiago.OffsetAt(kDecember), -3 * 3600);
  EXPECT_EQ(santiago.OffsetAt(1'782'864'000), -4 * 3600);  // 2026-07-01
  // Its clock skips midnight: the day begins at one o'clock, and no moment belongs to two days.
  std::int64_t at = 1'788'000'000;  // late August 2026
  for (int i = 0; i < 40; ++i) {
    const Period p = PeriodOf(santiago, PeriodKind::kDay, at);
    EXPECT_LE(p.from, at);
    EXPECT_GT(p.to, at);
    EXPECT_EQ(PeriodOf(santiago, PeriodKind::kDay, p.to).from, p.to);
    at = p.to;
  }
}

TEST(Zone, WhatIsNoZoneIsNamed) {
  for (const char* text :
       {"", "X", "UTC", "CET-1CEST", "CET-1CEST,M13.1.0,M10.5.0", "CET-1CEST,M3.5.0", "UTC0 ", "<+2-2"}) {
    Zone zone;
    std::string expected;
    EXPECT_FALSE(Zone::Parse(text, &zone, &expected)) << text;
    EXPECT_NE(expected.find("POSIX TZ"), std::string::npos);
  }
}

Rules Daily() {
  Rules r;
  r.zone = ZoneOf("UTC0");
  r.period = PeriodKind::kDay;
  r.grace = kHour;
  r.prices = {{"", "", 0, 3'600'000, 1'024'000}};
  return r;
}
constexpr Micros kStart = static_cast<Micros>(kDecember) * kSecond;

Use UseOf(const std::string& attempt, Micros from, Micros to, const std::string& tenant = "t") {
  return {attempt, tenant, "service", "small", from, to, 1500, 2048};
}

// Applies what a decision says, as it comes back from the disk.
void Take(Book* book, const Decision& out) {
  for (const Record& r : out.records) {
    Record read;
    std::string expected;
    ASSERT_TRUE(Read(Write(r), &read, &expected)) << expected;
    ASSERT_TRUE(book->Apply(read, &expected)) << expected;
  }
}
Verdict Post(Book* book, Micros now, const Use& use) {
  const Decision out = book->Post(now, use);
  Take(book, out);
  return out.verdict;
}
Sums SumsOf(const Book& book, const std::string& period, bool restated = false) {
  Sums all;
  for (const Line& line : book.Statement(period, restated)) {
    all.core += line.sums.core, all.memory += line.sums.memory, all.postings += line.sums.postings;
  }
  return all;
}

TEST(Book, WorkOverAPeriodsEndAndAPricesChangeIsSplitThere) {
  Rules rules = Daily();
  rules.prices.push_back({"service", "", kStart + 30 * kHour, 7'200'000, 0});
  Book book(rules);
  EXPECT_EQ(Post(&book, kStart + 40 * kHour, UseOf("1.d0/1", kStart + 23 * kHour, kStart + 31 * kHour)),
            Verdict::kPosted);
  ASSERT_EQ(book.last(), 3u);
  EXPECT_EQ(book.Find(1)->to, kStart + kDay);
  EXPECT_EQ(book.Find(2)->to, kStart + 30 * kHour);
  EXPECT_EQ(book.Find(3)->core_hour, 7'200'000);
  EXPECT_EQ(SumsOf(book, "2026-12-01").core, Amount{1500} * static_cast<Amount>(kHour));
  const auto lines = book.Statement("2026-12-02", false);
  ASSERT_EQ(lines.size(), 2u);
  // 6 hours of 1.5 cores at 3.6 and of 2 GiB at 1.024; then an hour of 1.5 cores at 7.2.
  EXPECT_EQ(lines[0].money, 6 * (5'400'000 + 2'048'000));
  EXPECT_EQ(lines[1].money, 10'800'000);
}

TEST(Book, TheSameEventTwiceCountsOnceAndOtherFiguresAreAConflict) {
  Book book(Daily());
  const Use use = UseOf("1.d0/1", kStart, kStart + kHour);
  EXPECT_EQ(Post(&book, kStart + 2 * kHour, use), Verdict::kPosted);
  EXPECT_EQ(Post(&book, kStart + 3 * kHour, use), Verdict::kTwice);
  Use other = use;
  other.end += 1;
  EXPECT_EQ(Post(&book, kStart + 3 * kHour, other), Verdict::kConflict);
  EXPECT_EQ(SumsOf(book, "2026-12-01").postings, 1u);
  for (const auto& bad : {UseOf("", 1, 2), UseOf("x", 2, 1)})
    EXPECT_EQ(book.Post(1, bad).verdict, Verdict::kBad);
}

TEST(Book, AClosedPeriodIsNeverWrittenWhatIsLateRefersToIt) {
  Book book(Daily());
  Post(&book, kStart + kHour, UseOf("1.d0/1", kStart, kStart + kHour));
  EXPECT_EQ(book.Close(kStart + kDay + kHour - 1).verdict, Verdict::kBad);  // its grace is not over
  Take(&book, book.Close(kStart + kDay + kHour));
  ASSERT_TRUE(book.IsClosed("2026-12-01"));
  EXPECT_EQ(book.Close(kStart + 9 * kDay, "2026-12-01").verdict, Verdict::kBad);
  // A node reports an end hours late, of work over the period's end.
  EXPECT_EQ(
      Post(&book, kStart + kDay + 5 * kHour, UseOf("2.d0/1", kStart + 23 * kHour, kStart + kDay + kHour)),
      Verdict::kPosted);
  EXPECT_EQ(book.Find(2)->period, "2026-12-02");
  EXPECT_EQ(book.Find(2)->refers, "2026-12-01");
  EXPECT_EQ(book.Find(3)->refers, "");
  EXPECT_EQ(SumsOf(book, "2026-12-01").postings, 1u);
  EXPECT_EQ(SumsOf(book, "2026-12-01", true).postings, 2u);
  EXPECT_EQ(SumsOf(book, "2026-12-02", true).postings, 1u);
  // A record that would write to it is refused whoever made it.
  Record forged;
  forged.posting = *book.Find(1);
  forged.posting.sequence = 4;
  std::string expected;
  EXPECT_FALSE(book.Apply(forged, &expected));
  EXPECT_EQ(expected, "an open period, found 2026-12-01");
}

TEST(Book, LateWorkReopensItsPeriodOnlyByRuleAndInTime) {
  Rules rules = Daily();
  rules.reopen = true;
  rules.reopen_within = 2 * kHour;
  Book book(rules);
  Post(&book, kStart + kHour, UseOf("1.d0/1", kStart, kStart + kHour));
  const Micros closed = kStart + kDay + kHour;
  Take(&book, book.Close(closed));
  EXPECT_EQ(Post(&book, closed + kHour, UseOf("2.d0/1", kStart, kStart + kHour)), Verdict::kPosted);
  EXPECT_FALSE(book.IsClosed("2026-12-01"));
  EXPECT_EQ(SumsOf(book, "2026-12-01").postings, 2u);
  Take(&book, book.Close(closed + kHour));
  EXPECT_EQ(Post(&book, closed + 4 * kHour, UseOf("3.d0/1", kStart, kStart + kHour)), Verdict::kPosted);
  EXPECT_TRUE(book.IsClosed("2026-12-01"));
  EXPECT_EQ(book.Find(3)->refers, "2026-12-01");
}

TEST(Book, ACorrectionNamesWhatWhoAndWhyAndShowsInARestatedReport) {
  Book book(Daily());
  Post(&book, kStart + kHour, UseOf("1.d0/1", kStart, kStart + kHour));
  Take(&book, book.Close(kStart + 2 * kDay));
  const Amount before = SumsOf(book, "2026-12-01").core;
  EXPECT_EQ(book.Correct(1, 9, 1, 0, "thandi", "why").verdict, Verdict::kBad);
  EXPECT_EQ(book.Correct(1, 1, 1, 0, "", "why").verdict, Verdict::kBad);
  EXPECT_EQ(book.Correct(1, 1, 0, 0, "thandi", "why").verdict, Verdict::kBad);
  const Decision out = book.Correct(kStart + 2 * kDay, 1, -before, 0, "thandi", "counted for the wrong shop");
  ASSERT_EQ(out.verdict, Verdict::kPosted);
  Take(&book, out);
  EXPECT_EQ(book.Find(2)->corrects, 1u);
  EXPECT_EQ(book.Find(2)->who, "thandi");
  EXPECT_EQ(SumsOf(book, "2026-12-01").core, before);
  EXPECT_EQ(SumsOf(book, "2026-12-01", true).core, 0);
  EXPECT_EQ(SumsOf(book, "2026-12-03").core, -before);
  EXPECT_EQ(SumsOf(book, "2026-12-03", true).postings, 0u);
}

TEST(Book, AClockSetBackOverAPeriodsEndChangesNothingThatIsClosed) {
  Book book(Daily());
  Post(&book, kStart + kHour, UseOf("1.d0/1", kStart, kStart + kHour));
  Take(&book, book.Close(kStart + kDay + kHour));
  const Micros back = kStart + kDay - 30 * 60 * kSecond;  // the clock says yesterday again
  EXPECT_EQ(Post(&book, back, UseOf("2.d0/1", kStart + 2 * kHour, kStart + 3 * kHour)), Verdict::kPosted);
  EXPECT_EQ(book.Find(2)->period, "2026-12-02");
  EXPECT_EQ(book.Find(2)->refers, "2026-12-01");
  Take(&book, book.Correct(back, 1, -5, 0, "w", "y"));
  EXPECT_EQ(book.Find(3)->period, "2026-12-02");
}

TEST(Book, NamesAreRememberedWithinABoundAndOlderEndsRefused) {
  Rules rules = Daily();
  rules.most_names = 3;
  Book book(rules);
  for (int i = 1; i <= 5; ++i)
    Post(&book, kStart + kHour,
         UseOf(std::to_string(i) + ".d0/1", kStart, kStart + static_cast<Micros>(i) * kSecond));
  EXPECT_EQ(book.Post(kStart + kHour, UseOf("2.d0/1", kStart, kStart + 2 * kSecond)).verdict,
            Verdict::kTooOld);
  EXPECT_EQ(book.Post(kStart + kHour, UseOf("5.d0/1", kStart, kStart + 5 * kSecond)).verdict,
            Verdict::kTwice);
}

TEST(Book, BudgetsAreOfThePeriod) {
  Rules rules = Daily();
  rules.budgets["t"] = Amount{1500} * static_cast<Amount>(kHour) + 1;
  Book book(rules);
  Post(&book, kStart + 2 * kHour, UseOf("1.d0/1", kStart, kStart + kHour));
  EXPECT_EQ(*book.Left("t", kStart + 2 * kHour), 1);
  Post(&book, kStart + 3 * kHour, UseOf("2.d0/1", kStart, kStart + kHour));
  EXPECT_LT(*book.Left("t", kStart + 3 * kHour), 0);
  EXPECT_EQ(*book.Left("t", kStart + kDay), rules.budgets["t"]);
  EXPECT_FALSE(book.Left("other", kStart));
}

// Whatever the events, their order, repeats and closes between: every microsecond counts once, accounts add
// up to nothing, and the records make the same book again.
TEST(BookProperty, SumsAreExactWhateverTheOrder) {
  EXPECT_TRUE(rc::check([](const std::vector<std::tuple<unsigned, unsigned, unsigned>>& raw, unsigned seed) {
    Rules rules = Daily();
    rules.prices.push_back({"", "small", kStart + 50 * kHour, 1, 1});
    std::vector<Use> uses;
    Amount core = 0, memory = 0;
    for (std::size_t i = 0; i < raw.size(); ++i) {
      const auto [at, length, size] = raw[i];
      const Micros from = kStart + static_cast<Micros>(at % 1000) * 977'777'777;
      Use use = UseOf(std::to_string(i) + ".d0/1", from,
                      from + static_cast<Micros>(length % 1000) * 333'333'333, std::to_string(size % 3));
      use.millicores = size % 5000, use.mebibytes = size % 70'001;
      core += Amount{use.millicores} * static_cast<Amount>(use.end - use.start);
      memory += Amount{use.mebibytes} * static_cast<Amount>(use.end - use.start);
      uses.push_back(use);
    }
    std::mt19937 random(seed);
    std::vector<std::size_t> order(uses.size());
    std::iota(order.begin(), order.end(), 0);
    order.insert(order.end(), order.begin(), order.end());  // each comes twice
    std::shuffle(order.begin(), order.end(), random);
    Book book(rules), again(rules);
    std::string expected;
    const auto take = [&](const Decision& out) {
      for (const Record& r : out.records) {
        RC_ASSERT(book.Apply(r, &expected));
        Record read;
        RC_ASSERT(Read(Write(r), &read, &expected));
        RC_ASSERT(again.Apply(read, &expected));
      }
    };
    Micros now = kStart;
    for (const std::size_t i : order) {
      now += static_cast<Micros>(random() % 7200) * kSecond;
      take(book.Post(now, uses[i]));
      if (random() % 4 == 0) take(book.Close(now));
    }
    Amount seen_core = 0, seen_memory = 0, restated = 0;
    for (const std::string& period : book.Periods()) {
      seen_core += SumsOf(book, period).core;
      seen_memory += SumsOf(book, period).memory;
    }
    std::set<std::string> about;
    for (std::uint64_t s = 1; s <= book.last(); ++s) {
      about.insert(book.Find(s)->refers.empty() ? book.Find(s)->period : book.Find(s)->refers);
    }
    for (const std::string& period : about) restated += SumsOf(book, period, true).core;
    RC_ASSERT(seen_core == core);
    RC_ASSERT(seen_memory == memory);
    RC_ASSERT(restated == core);
    Amount balance = 0;
    for (const auto& [name, sums] : book.TrialBalance()) balance += sums.core;
    RC_ASSERT(balance == 0);
    RC_ASSERT(again.last() == book.last());
    for (const std::string& period : book.Periods()) {
      RC_ASSERT(SumsOf(again, period).core == SumsOf(book, period).core);
      RC_ASSERT(again.IsClosed(period) == book.IsClosed(period));
    }
  }));
}

TEST(Book, AtItsBoundTheDoorClosesAndWhatRunsIsStillCounted) {
  Rules rules = Daily();
  rules.most_postings = 1;
  Book book(rules);
  EXPECT_EQ(book.Refusal("t", kStart), "");
  EXPECT_EQ(Post(&book, kStart + kHour, UseOf("1.d0/1", kStart, kStart + kHour)), Verdict::kPosted);
  EXPECT_NE(book.Refusal("t", kStart), "");
  EXPECT_EQ(Post(&book, kStart + kHour, UseOf("2.d0/1", kStart, kStart + kHour)), Verdict::kPosted);
}

TEST(Outbox, WhatTheLedgersLogHasIsToldFromWhatItLacks) {
  Outbox writes(7);
  const std::vector<std::string> sent = {writes.Put("a"), writes.Put("b"), writes.Put(std::string(300, 'c'))};
  Outbox reads(8);  // the log got one of them
  std::string record, expected;
  bool lacks = true;
  ASSERT_TRUE(reads.Take(sent[0], &record, &lacks, &expected));
  EXPECT_FALSE(lacks);
  ASSERT_TRUE(reads.Take(sent[1], &record, &lacks, &expected));
  EXPECT_TRUE(lacks);
  EXPECT_EQ(record, "b");
  ASSERT_TRUE(reads.Take(sent[1], &record, &lacks, &expected));  // replayed from an older snapshot
  EXPECT_FALSE(lacks);
  ASSERT_TRUE(reads.Take(sent[2], &record, &lacks, &expected));
  EXPECT_EQ(record, std::string(300, 'c'));
  EXPECT_EQ(reads.Put("d"), Outbox(10).Put("d"));
  Outbox gap(7);
  EXPECT_FALSE(gap.Take(sent[1], &record, &lacks, &expected));
  EXPECT_EQ(expected, "ledger record 8, found 9");
  EXPECT_FALSE(gap.Take("L", &record, &lacks, &expected));
}

TEST(Record, WhatIsNoneIsNamedAndNoByteDoesHarm) {
  Record r;
  r.posting.core = -(Amount{1} << 100);
  r.posting.attempt = "1.d0/1";
  const std::string whole = Write(r);
  Record read;
  std::string expected;
  ASSERT_TRUE(Read(whole, &read, &expected));
  EXPECT_EQ(ToText(read.posting.core), "-1267650600228229401496703205376");
  for (std::size_t i = 0; i < whole.size(); ++i) {
    EXPECT_FALSE(Read(whole.substr(0, i), &read, &expected));
    for (int bit = 0; bit < 8; ++bit) {
      std::string changed = whole;
      changed[i] = static_cast<char>(changed[i] ^ (1 << bit));
      Read(changed, &read, &expected);
    }
  }
}

}  // namespace
}  // namespace mountflow::testing
