// Sums over postings: statements of a period and the trial balance.
#ifndef MOUNTFLOW_LEDGER_STATEMENT_HPP_
#define MOUNTFLOW_LEDGER_STATEMENT_HPP_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "ledger/amount.hpp"
#include "ledger/record.hpp"

namespace mountflow::ledger {

struct UsageTotals {
  Amount millicore_us = 0;
  Amount mebibyte_us = 0;
  std::uint64_t postings = 0;
};

struct StatementLine {
  std::string tenant;
  std::string task_class;
  std::string kind;  // of node
  std::int64_t core_hour_price = 0;
  std::int64_t gib_hour_price = 0;
  UsageTotals totals;
  Amount money = 0;  // micro-units, rounded half up once
};

enum class StatementKind {
  kAsPosted,  // what counts in the period
  kRestated,  // what was done in the period: with later postings about it, without its own about other
              // periods
};

// One line for each tenant, class, kind and price, sorted by these.
[[nodiscard]] std::vector<StatementLine> MakeStatement(const std::vector<Posting>& postings,
                                                       const std::string& period, StatementKind kind);

// Debits and credits by account: "tenant/TENANT" and "fleet/CLASS/KIND". All of them add up to zero.
[[nodiscard]] std::map<std::string, UsageTotals> MakeTrialBalance(const std::vector<Posting>& postings);

}  // namespace mountflow::ledger

#endif  // MOUNTFLOW_LEDGER_STATEMENT_HPP_
