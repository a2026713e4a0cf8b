// The configured rules of billing: periods, prices, budgets and limits.
#ifndef MOUNTFLOW_LEDGER_BILLING_RULES_HPP_
#define MOUNTFLOW_LEDGER_BILLING_RULES_HPP_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "ledger/amount.hpp"
#include "ledger/billing_period.hpp"
#include "ledger/time_zone.hpp"
#include "mountflow/scheduler.hpp"

namespace mountflow::ledger {

// A price for the work of one task class on one kind of node.
struct Price {
  std::string task_class;      // task class; "" matches any
  std::string kind;            // kind of node; "" matches any
  Micros from = 0;             // applies to work from this time on, until a newer price applies
  std::int64_t core_hour = 0;  // price of one core for one hour, in micro-units of money
  std::int64_t gib_hour = 0;   // price of one GiB for one hour, in micro-units of money
};

struct BillingRules {
  TimeZone time_zone;
  PeriodKind period_kind = PeriodKind::kMonth;
  Micros grace = 3'600'000'000;           // shortest time from the end of a period to its close
  bool reopen = false;                    // a late usage report reopens its closed period
  Micros reopen_within = 86'400'000'000;  // longest time from the close of a period to its reopening
  std::vector<Price> prices;
  // Budget of each tenant for one period, in millicore-microseconds. Tenants not listed have no limit.
  std::map<std::string, Amount> budgets;
  bool reject_over_budget = false;        // new jobs of a tenant that has spent its budget are rejected
  std::size_t max_attempts = 10'000'000;  // number of posted attempts whose names are remembered
  std::size_t max_postings = 50'000'000;  // number of postings from which on new jobs are rejected
};

// Returns the price of this work at the time `at`, or null if there is none. A price that names the task
// class is preferred, then one that names the kind of node, then the newest. The result points into `prices`.
[[nodiscard]] const Price* FindPrice(const std::vector<Price>& prices, const std::string& task_class,
                                     const std::string& kind, Micros at);

// Returns the earliest time after `from` and before `to` at which any price begins; `to` if there is none.
[[nodiscard]] Micros NextPriceChange(const std::vector<Price>& prices, Micros from, Micros to);

}  // namespace mountflow::ledger

#endif  // MOUNTFLOW_LEDGER_BILLING_RULES_HPP_
