// Billing periods: local days, months or years. They begin at local midnight, so a day in which the clock
// changes has 23 or 25 hours, and a month with such a day is longer or shorter by an hour.
#ifndef MOUNTFLOW_LEDGER_BILLING_PERIOD_HPP_
#define MOUNTFLOW_LEDGER_BILLING_PERIOD_HPP_

#include <cstdint>
#include <string>

#include "ledger/time_zone.hpp"

namespace mountflow::ledger {

enum class PeriodKind { kDay, kMonth, kYear };

struct Period {
  std::int64_t from = 0;  // UTC seconds
  std::int64_t to = 0;    // UTC seconds, exclusive
  std::string name;       // "2026-12-01", "2026-12", "2026"; names sort by time
  bool operator==(const Period&) const = default;
};

// The period that contains this moment (UTC seconds).
[[nodiscard]] Period PeriodOf(const TimeZone& zone, PeriodKind kind, std::int64_t utc);

}  // namespace mountflow::ledger

#endif  // MOUNTFLOW_LEDGER_BILLING_PERIOD_HPP_
