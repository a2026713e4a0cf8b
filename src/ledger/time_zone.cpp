#include "ledger/time_zone.hpp"

#include <algorithm>
#include <cctype>

namespace mountflow::ledger {
namespace {

using std::chrono::sys_days;
using std::chrono::year_month_day;

constexpr std::int64_t kSecondsPerDay = 86'400;
constexpr std::int64_t kSecondsPerHour = 3'600;
constexpr std::int64_t kSecondsPerMinute = 60;
constexpr std::size_t kMinNameLetters = 3;      // required by POSIX
constexpr std::size_t kMaxDigits = 4;           // more than any valid number in a TZ text has
constexpr std::int64_t kMaxHours = 24 * 7 - 1;  // the limit in POSIX for the time of a clock change
constexpr std::int64_t kMaxMinutes = 59;
constexpr std::int64_t kMaxMonth = 12;
constexpr std::int64_t kMaxWeek = 5;
constexpr std::int64_t kMaxWeekday = 6;
constexpr unsigned kLastWeek = 5;

// Returns the day that contains a local time in seconds since 1970. Rounds down for negative times too.
sys_days DayOfLocal(std::int64_t local) {
  const std::int64_t days =
      local >= 0 ? local / kSecondsPerDay : (local - kSecondsPerDay + 1) / kSecondsPerDay;
  return sys_days{std::chrono::days(days)};
}

}  // namespace

// TimeZoneParser reads a TZ text from left to right. Its methods return false when the text is invalid.
class TimeZoneParser {
 public:
  explicit TimeZoneParser(const std::string& text) : text_(text) {}

  bool Parse(TimeZone* zone) {
    std::int64_t west = 0;  // in POSIX, offsets west of Greenwich are positive
    if (!SkipName() || !ReadTime(&west)) return false;
    zone->standard_offset_ = -west;
    zone->daylight_offset_ = -west;
    if (AtEnd()) return true;

    zone->has_daylight_saving_ = true;
    zone->daylight_offset_ = zone->standard_offset_ + kSecondsPerHour;
    if (!SkipName()) return false;
    const bool has_offset = !AtEnd() && text_[position_] != ',';
    if (has_offset) {
      if (!ReadTime(&west)) return false;
      zone->daylight_offset_ = -west;
    }
    return ReadRule(&zone->daylight_begins_) && ReadRule(&zone->daylight_ends_) && AtEnd();
  }

 private:
  // Skips the name of a time zone: letters, or any characters between < and >.
  bool SkipName() {
    const std::size_t start = position_;
    if (Skip('<')) {
      while (!AtEnd() && text_[position_] != '>') ++position_;
      return Skip('>') && position_ - start >= kMinNameLetters + 2;
    }
    while (!AtEnd() && std::isalpha(static_cast<unsigned char>(text_[position_])) != 0) ++position_;
    return position_ - start >= kMinNameLetters;
  }

  bool ReadNumber(std::int64_t max, std::int64_t* value) {
    const std::size_t start = position_;
    *value = 0;
    while (!AtEnd() && position_ - start < kMaxDigits &&
           std::isdigit(static_cast<unsigned char>(text_[position_])) != 0)
      *value = *value * 10 + (text_[position_++] - '0');
    return position_ > start && *value <= max;
  }

  // Reads a time of the form [+-]hh[:mm[:ss]].
  bool ReadTime(std::int64_t* seconds) {
    const bool negative = Skip('-');
    if (!negative) Skip('+');
    std::int64_t part = 0;
    if (!ReadNumber(kMaxHours, &part)) return false;
    *seconds = part * kSecondsPerHour;
    for (const std::int64_t unit : {kSecondsPerMinute, std::int64_t{1}}) {
      if (!Skip(':')) break;
      if (!ReadNumber(kMaxMinutes, &part)) return false;
      *seconds += part * unit;
    }
    if (negative) *seconds = -*seconds;
    return true;
  }

  // Reads a rule of the form ,Mm.w.d[/time].
  bool ReadRule(TimeZone::ChangeRule* rule) {
    std::int64_t month = 0;
    std::int64_t week = 0;
    std::int64_t weekday = 0;
    const bool read = Skip(',') && Skip('M') && ReadNumber(kMaxMonth, &month) && Skip('.') &&
                      ReadNumber(kMaxWeek, &week) && Skip('.') && ReadNumber(kMaxWeekday, &weekday);
    if (!read || month < 1 || week < 1) return false;
    rule->month = static_cast<unsigned>(month);
    rule->week = static_cast<unsigned>(week);
    rule->weekday = static_cast<unsigned>(weekday);
    return !Skip('/') || ReadTime(&rule->time);
  }

  bool Skip(char expected) {
    if (AtEnd() || text_[position_] != expected) return false;
    ++position_;
    return true;
  }
  bool AtEnd() const { return position_ == text_.size(); }

  const std::string& text_;
  std::size_t position_ = 0;
};

LedgerResult<TimeZone> TimeZone::Parse(const std::string& text) {
  TimeZone zone;
  if (TimeZoneParser(text).Parse(&zone)) return zone;
  return MakeError(LedgerErrorCode::kInvalidArgument, "time zone",
                   "a POSIX TZ text like SAST-2 or CET-1CEST,M3.5.0,M10.5.0/3", "'" + text + "'");
}

std::int64_t TimeZone::MomentOf(const ChangeRule& rule, std::chrono::year year, std::int64_t offset) {
  const auto month = year / std::chrono::month(rule.month);
  const std::chrono::weekday weekday(rule.weekday);
  const sys_days date = rule.week == kLastWeek ? sys_days{month / weekday[std::chrono::last]}
                                               : sys_days{month / weekday[rule.week]};
  return date.time_since_epoch().count() * kSecondsPerDay + rule.time - offset;
}

std::int64_t TimeZone::OffsetAt(std::int64_t utc) const {
  if (!has_daylight_saving_) return standard_offset_;
  const std::chrono::year year = year_month_day(DayOfLocal(utc + standard_offset_)).year();
  const std::int64_t begins = MomentOf(daylight_begins_, year, standard_offset_);
  const std::int64_t ends = MomentOf(daylight_ends_, year, daylight_offset_);
  // In the southern hemisphere daylight saving time spans the end of the year.
  const bool saving = begins < ends ? utc >= begins && utc < ends : utc >= begins || utc < ends;
  return saving ? daylight_offset_ : standard_offset_;
}

std::int64_t TimeZone::StartOf(sys_days day) const {
  const std::int64_t local = day.time_since_epoch().count() * kSecondsPerDay;
  const std::int64_t early = local - std::max(standard_offset_, daylight_offset_);
  const std::int64_t late = local - std::min(standard_offset_, daylight_offset_);
  if (early + OffsetAt(early) == local) return early;
  if (late + OffsetAt(late) == local) return late;
  // The clock skips this midnight. The binary search finds the first second after it.
  std::int64_t low = early;
  std::int64_t high = late;
  while (low + 1 < high) {
    const std::int64_t middle = low + (high - low) / 2;
    (middle + OffsetAt(middle) < local ? low : high) = middle;
  }
  return high;
}

sys_days TimeZone::DayOf(std::int64_t utc) const { return DayOfLocal(utc + OffsetAt(utc)); }

}  // namespace mountflow::ledger
