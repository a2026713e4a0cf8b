// Time zones in the format of the POSIX environment variable TZ (IEEE 1003.1): fixed offsets, and daylight
// saving time with rules of the form Mm.w.d. This code reads no files and does not use the time zone of the
// process.
//
// Names from the IANA database are not accepted. C++20's std::chrono::tzdb is not in GCC 12, and libraries
// that read the database (date, cctz) would make periods depend on the version of tzdata that each daemon has
// installed. Billing needs the same periods on every node, so the configuration itself contains the rules.
#ifndef MOUNTFLOW_LEDGER_TIME_ZONE_HPP_
#define MOUNTFLOW_LEDGER_TIME_ZONE_HPP_

#include <chrono>
#include <cstdint>
#include <string>

#include "ledger/ledger_error.hpp"

namespace mountflow::ledger {

// TimeZone converts between UTC and local time. In its methods, `utc` is in seconds since 1970, UTC.
class TimeZone {
 public:
  // Constructs the time zone UTC.
  TimeZone() = default;
  // Parses texts such as "SAST-2", "CET-1CEST,M3.5.0,M10.5.0/3" or "UTC0". Returns kInvalidArgument for an
  // invalid text.
  [[nodiscard]] static LedgerResult<TimeZone> Parse(const std::string& text);

  // Returns the number of seconds by which local time is ahead of UTC at the time `utc`.
  [[nodiscard]] std::int64_t OffsetAt(std::int64_t utc) const;
  // Returns the time at which this local day begins, in UTC seconds. If the clock skips midnight, the day
  // begins at the time of the clock change. If midnight occurs twice, the day begins at the first one.
  [[nodiscard]] std::int64_t StartOf(std::chrono::sys_days day) const;
  // Returns the local day that contains the time `utc`.
  [[nodiscard]] std::chrono::sys_days DayOf(std::int64_t utc) const;

 private:
  friend class TimeZoneParser;
  static constexpr std::int64_t kDefaultChangeTime = 7200;  // seconds; 02:00, the default in POSIX

  // The rule Mm.w.d/time for the beginning or the end of daylight saving time.
  struct ChangeRule {
    unsigned month = 0;                      // 1 to 12
    unsigned week = 0;                       // 1 to 5; 5 is the last week of the month that has the weekday
    unsigned weekday = 0;                    // 0 is Sunday
    std::int64_t time = kDefaultChangeTime;  // seconds after midnight, in the local time before the change
  };
  // Returns the time of a clock change in this year, in UTC seconds. `offset` is the offset from UTC, in
  // seconds, before the change.
  static std::int64_t MomentOf(const ChangeRule& rule, std::chrono::year year, std::int64_t offset);

  std::int64_t standard_offset_ = 0;  // seconds ahead of UTC in standard time
  std::int64_t daylight_offset_ = 0;  // seconds ahead of UTC in daylight saving time
  bool has_daylight_saving_ = false;
  ChangeRule daylight_begins_;
  ChangeRule daylight_ends_;
};

}  // namespace mountflow::ledger

#endif  // MOUNTFLOW_LEDGER_TIME_ZONE_HPP_
