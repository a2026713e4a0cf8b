// Time zones by the TZ text of POSIX (IEEE 1003.1, "TZ"): fixed offsets, and daylight saving by rules Mm.w.d.
// No files and no process-wide zone.
//
// Names of the IANA database are not accepted: C++20's std::chrono::tzdb is not in GCC 12, and the libraries
// that read the database (date, cctz) would make periods depend on the version of tzdata that each daemon has
// installed. Billing needs the same periods on every node, so the rules are in the configuration itself.
#ifndef MOUNTFLOW_LEDGER_TIME_ZONE_HPP_
#define MOUNTFLOW_LEDGER_TIME_ZONE_HPP_

#include <chrono>
#include <cstdint>
#include <string>

#include "ledger/ledger_error.hpp"

namespace mountflow::ledger {

class TimeZone {
 public:
  // UTC.
  TimeZone() = default;
  // "SAST-2", "CET-1CEST,M3.5.0,M10.5.0/3", "UTC0". Else kInvalidArgument.
  [[nodiscard]] static LedgerResult<TimeZone> Parse(const std::string& text);

  // Seconds that local time is ahead of UTC at this moment (seconds since 1970, UTC).
  [[nodiscard]] std::int64_t OffsetAt(std::int64_t utc) const;
  // The first moment of this local day, as UTC seconds. A midnight that the clock skips begins the day with
  // the moment of the change; one that comes twice, with the first.
  [[nodiscard]] std::int64_t StartOf(std::chrono::sys_days day) const;
  // The local day of a moment.
  [[nodiscard]] std::chrono::sys_days DayOf(std::int64_t utc) const;

 private:
  friend class TimeZoneParser;
  static constexpr std::int64_t kDefaultChangeTime = 7200;  // 02:00, of POSIX

  // The rule Mm.w.d/time for a change of the clock.
  struct ChangeRule {
    unsigned month = 0;
    unsigned week = 0;                       // 1 to 5; 5: the last
    unsigned weekday = 0;                    // 0: Sunday
    std::int64_t time = kDefaultChangeTime;  // seconds of the day, in local time before the change
  };
  // The moment of a change in this year, as UTC seconds; `offset` holds before it.
  static std::int64_t MomentOf(const ChangeRule& rule, std::chrono::year year, std::int64_t offset);

  std::int64_t standard_offset_ = 0;
  std::int64_t daylight_offset_ = 0;
  bool has_daylight_saving_ = false;
  ChangeRule daylight_begins_;
  ChangeRule daylight_ends_;
};

}  // namespace mountflow::ledger

#endif  // MOUNTFLOW_LEDGER_TIME_ZONE_HPP_
