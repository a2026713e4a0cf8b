// Billing periods: days, months or years in local time. A period begins at local midnight. Therefore a day on
// which daylight saving time begins or ends has 23 or 25 hours, and the month that contains it is shorter or
// longer by an hour.
#ifndef MOUNTFLOW_LEDGER_BILLING_PERIOD_HPP_
#define MOUNTFLOW_LEDGER_BILLING_PERIOD_HPP_

#include <cstdint>
#include <string>

#include "ledger/time_zone.hpp"

namespace mountflow::ledger {

enum class PeriodKind { kDay, kMonth, kYear };

// A billing period, from `from` until before `to`.
struct Period {
  std::int64_t from = 0;  // UTC seconds
  std::int64_t to = 0;    // UTC seconds, exclusive
  std::string name;       // "2026-12-01", "2026-12" or "2026"; names sort by time
  bool operator==(const Period&) const = default;
};

// Returns the period that contains the time `utc`, in UTC seconds.
[[nodiscard]] Period PeriodOf(const TimeZone& zone, PeriodKind kind, std::int64_t utc);

}  // namespace mountflow::ledger

#endif  // MOUNTFLOW_LEDGER_BILLING_PERIOD_HPP_
