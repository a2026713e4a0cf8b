#include "ledger/statement.hpp"

#include <tuple>
#include <utility>

namespace mountflow::ledger {
namespace {

constexpr Amount kMicrosPerHour = Amount{3'600} * 1'000'000;
constexpr Amount kMillicoresPerCore = 1000;
constexpr Amount kMebibytesPerGib = 1024;

// Returns the price of a line in micro-units. Both parts are added over their common denominator, so that the
// sum is rounded only once.
Amount MoneyOf(const StatementLine& line) {
  const Amount cores = line.totals.millicore_us * line.core_hour_price * kMebibytesPerGib;
  const Amount memory = line.totals.mebibyte_us * line.gib_hour_price * kMillicoresPerCore;
  return DivideHalfUp(cores + memory, kMicrosPerHour * kMillicoresPerCore * kMebibytesPerGib);
}

}  // namespace

std::vector<StatementLine> MakeStatement(const std::vector<Posting>& postings, const std::string& period,
                                         StatementKind kind) {
  using LineKey = std::tuple<std::string, std::string, std::string, std::int64_t, std::int64_t>;
  std::map<LineKey, UsageTotals> totals_by_line;
  for (const Posting& posting : postings) {
    const bool restated = kind == StatementKind::kRestated;
    if ((restated ? posting.work_period() : posting.period) != period) continue;
    UsageTotals& totals = totals_by_line[{posting.tenant, posting.task_class, posting.kind,
                                          posting.core_hour_price, posting.gib_hour_price}];
    totals.millicore_us += posting.millicore_us;
    totals.mebibyte_us += posting.mebibyte_us;
    ++totals.postings;
  }
  std::vector<StatementLine> lines;
  for (const auto& [key, totals] : totals_by_line) {
    StatementLine line;
    std::tie(line.tenant, line.task_class, line.kind, line.core_hour_price, line.gib_hour_price) = key;
    line.totals = totals;
    line.money = MoneyOf(line);
    lines.push_back(std::move(line));
  }
  return lines;
}

std::map<std::string, UsageTotals> MakeTrialBalance(const std::vector<Posting>& postings) {
  std::map<std::string, UsageTotals> accounts;
  for (const Posting& posting : postings) {
    UsageTotals& debit = accounts["tenant/" + posting.tenant];
    debit.millicore_us += posting.millicore_us;
    debit.mebibyte_us += posting.mebibyte_us;
    ++debit.postings;
    UsageTotals& credit = accounts["fleet/" + posting.task_class + "/" + posting.kind];
    credit.millicore_us -= posting.millicore_us;
    credit.mebibyte_us -= posting.mebibyte_us;
    ++credit.postings;
  }
  return accounts;
}

}  // namespace mountflow::ledger
