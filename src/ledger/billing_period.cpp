#include "ledger/billing_period.hpp"

#include <chrono>
#include <cstdio>

namespace mountflow::ledger {
namespace {

using std::chrono::sys_days;
using std::chrono::year_month_day;

std::string NameOf(PeriodKind kind, const year_month_day& day) {
  constexpr std::size_t kMaxNameSize = 32;
  char name[kMaxNameSize];
  const int year = static_cast<int>(day.year());
  const auto month = static_cast<unsigned>(day.month());
  switch (kind) {
    case PeriodKind::kDay:
      std::snprintf(name, sizeof name, "%04d-%02u-%02u", year, month, static_cast<unsigned>(day.day()));
      break;
    case PeriodKind::kMonth:
      std::snprintf(name, sizeof name, "%04d-%02u", year, month);
      break;
    case PeriodKind::kYear:
      std::snprintf(name, sizeof name, "%04d", year);
      break;
  }
  return name;
}

}  // namespace

Period PeriodOf(const TimeZone& zone, PeriodKind kind, std::int64_t utc) {
  const year_month_day day(zone.DayOf(utc));
  sys_days from{day};
  sys_days to{day};
  switch (kind) {
    case PeriodKind::kDay:
      to += std::chrono::days(1);
      break;
    case PeriodKind::kMonth:
      from = day.year() / day.month() / 1;
      to = (day.year() / day.month() + std::chrono::months(1)) / 1;
      break;
    case PeriodKind::kYear:
      from = day.year() / 1 / 1;
      to = (day.year() + std::chrono::years(1)) / 1 / 1;
      break;
  }
  return {zone.StartOf(from), zone.StartOf(to), NameOf(kind, day)};
}

}  // namespace mountflow::ledger
