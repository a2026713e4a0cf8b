// Time zones by the TZ text of POSIX (IEEE 1003.1, "TZ"): fixed offsets, and
// daylight saving by rules Mm.w.d. Pure: no files, no process-wide zone.
//
// Billing periods begin at local midnight: a day in which the clock changes has 23
// or 25 hours, and a month with one is longer or shorter by an hour.
#ifndef MOUNTFLOW_LEDGER_ZONE_HPP_
#define MOUNTFLOW_LEDGER_ZONE_HPP_

#include <chrono>
#include <cstdint>
#include <string>

#include "mountflow/scheduler.hpp"

namespace mountflow::ledger {

class Zone {
 public:
  // "SAST-2", "CET-1CEST,M3.5.0,M10.5.0/3", "UTC0". False with what was expected.
  static bool Parse(const std::string& text, Zone* zone, std::string* expected);
  // Seconds that local time is ahead of UTC at this moment (seconds since 1970, UTC).
  std::int64_t OffsetAt(std::int64_t utc) const;
  // The first moment of this local day, as UTC seconds.
  std::int64_t StartOf(std::chrono::sys_days day) const;
  // The local day of a moment.
  std::chrono::sys_days DayOf(std::int64_t utc) const;

 private:
  struct Change {  // week 5: the last; local time of the offset before
    unsigned month = 0, week = 0, day = 0;
    std::int64_t at = 7200;
  };
  std::int64_t MomentOf(const Change& change, std::chrono::year year, std::int64_t offset) const;
  std::int64_t standard_ = 0, daylight_ = 0;
  bool saves_ = false;
  Change begins_, ends_;
};

enum class PeriodKind { kDay, kMonth, kYear };

struct Period {
  std::int64_t from = 0, to = 0;  // UTC seconds; to is not in it
  std::string name;               // "2026-12-01", "2026-12", "2026"
  bool operator==(const Period&) const = default;
};
Period PeriodOf(const Zone& zone, PeriodKind kind, std::int64_t utc);

}  // namespace mountflow::ledger

#endif  // MOUNTFLOW_LEDGER_ZONE_HPP_
