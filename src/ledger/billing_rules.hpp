// The rules of billing, as configured: periods, prices, budgets, bounds.
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

struct Price {
  std::string task_class;      // "" matches any
  std::string kind;            // of node; "" matches any
  Micros from = 0;             // applies to work from this moment on, until a newer price
  std::int64_t core_hour = 0;  // micro-units of money for one core, one hour
  std::int64_t gib_hour = 0;   // and for one GiB, one hour
};

struct BillingRules {
  TimeZone time_zone;
  PeriodKind period_kind = PeriodKind::kMonth;
  Micros grace = 3'600'000'000;  // after its end, before a period may be closed
  bool reopen = false;           // late work reopens its period, within `reopen_within` after the close
  Micros reopen_within = 86'400'000'000;
  std::vector<Price> prices;
  std::map<std::string, Amount> budgets;  // by tenant, in millicore-microseconds a period; none: no budget
  bool reject_over_budget = false;        // a tenant whose budget is spent gets no new jobs
  std::size_t max_attempts = 10'000'000;  // that are remembered by name
  std::size_t max_postings = 50'000'000;
};

// The price of this work at this moment: the one that names class and kind most closely, then the newest.
// Null when there is none. Points into `prices`.
[[nodiscard]] const Price* FindPrice(const std::vector<Price>& prices, const std::string& task_class,
                                     const std::string& kind, Micros at);

// The first moment after `from` and before `to` at which any price begins; `to` when there is none.
[[nodiscard]] Micros NextPriceChange(const std::vector<Price>& prices, Micros from, Micros to);

}  // namespace mountflow::ledger

#endif  // MOUNTFLOW_LEDGER_BILLING_RULES_HPP_
