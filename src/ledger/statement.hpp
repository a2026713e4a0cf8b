// Reports that sum postings: the statement of a period and the trial balance.
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
  Amount millicore_us = 0;     // millicore-microseconds
  Amount mebibyte_us = 0;      // mebibyte-microseconds
  std::uint64_t postings = 0;  // number of postings
};

// The usage of one tenant at one price, for one task class on one kind of node.
struct StatementLine {
  std::string tenant;
  std::string task_class;
  std::string kind;                  // kind of node
  std::int64_t core_hour_price = 0;  // micro-units of money
  std::int64_t gib_hour_price = 0;   // micro-units of money
  UsageTotals totals;
  Amount money = 0;  // micro-units; the exact sum, rounded half up once
};

enum class StatementKind {
  // All postings that count in the period.
  kAsPosted,
  // All work that was done in the period. This includes postings in other periods that refer to this one, and
  // excludes postings in this period that refer to other ones.
  kRestated,
};

// Returns one line for each tenant, task class, kind of node and price, sorted in this order.
[[nodiscard]] std::vector<StatementLine> MakeStatement(const std::vector<Posting>& postings,
                                                       const std::string& period, StatementKind kind);

// Returns the sum of debits and credits of each account. Accounts are named "tenant/TENANT" and
// "fleet/CLASS/KIND". Debits are positive and credits are negative, so all amounts add up to zero.
[[nodiscard]] std::map<std::string, UsageTotals> MakeTrialBalance(const std::vector<Posting>& postings);

}  // namespace mountflow::ledger

#endif  // MOUNTFLOW_LEDGER_STATEMENT_HPP_
