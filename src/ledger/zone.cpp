#include "ledger/zone.hpp"

#include <cctype>
#include <cstdio>

namespace mountflow::ledger {
namespace {

using std::chrono::sys_days;
using std::chrono::year_month_day;

constexpr std::int64_t kDay = 86'400;

class Text {
 public:
  explicit Text(const std::string& text) : text_(text) {}
  bool Name() {
    std::size_t from = at_;
    if (Take('<')) {
      while (at_ < text_.size() && text_[at_] != '>') ++at_;
      return Take('>') && at_ - from >= 5;
    }
    while (at_ < text_.size() && std::isalpha(static_cast<unsigned char>(text_[at_])) != 0) ++at_;
    return at_ - from >= 3;
  }
  bool Number(std::int64_t most, std::int64_t* value) {
    const std::size_t from = at_;
    *value = 0;
    while (at_ < text_.size() && at_ - from < 4 && std::isdigit(static_cast<unsigned char>(text_[at_])) != 0)
      *value = *value * 10 + (text_[at_++] - '0');
    return at_ > from && *value <= most;
  }
  bool Time(std::int64_t* seconds) {  // [+-]hh[:mm[:ss]]
    const bool minus = Take('-');
    if (!minus) Take('+');
    std::int64_t part = 0;
    if (!Number(167, &part)) return false;
    *seconds = part * 3600;
    for (const std::int64_t unit : {60, 1}) {
      if (!Take(':')) break;
      if (!Number(59, &part)) return false;
      *seconds += part * unit;
    }
    if (minus) *seconds = -*seconds;
    return true;
  }
  bool Take(char c) {
    if (at_ >= text_.size() || text_[at_] != c) return false;
    ++at_;
    return true;
  }
  bool AtEnd() const { return at_ == text_.size(); }
  bool HasTime() const { return !AtEnd() && text_[at_] != ','; }

 private:
  const std::string& text_;
  std::size_t at_ = 0;
};

}  // namespace

bool Zone::Parse(const std::string& text, Zone* zone, std::string* expected) {
  Text t(text);
  Zone z;
  *expected = "a POSIX TZ text like SAST-2 or CET-1CEST,M3.5.0,M10.5.0/3";
  std::int64_t west = 0;
  if (!t.Name() || !t.Time(&west)) return false;
  z.standard_ = z.daylight_ = -west;  // POSIX counts west of Greenwich
  if (!t.AtEnd()) {
    z.saves_ = true;
    z.daylight_ = z.standard_ + 3600;
    if (!t.Name()) return false;
    if (t.HasTime()) {
      if (!t.Time(&west)) return false;
      z.daylight_ = -west;
    }
    for (Change* change : {&z.begins_, &z.ends_}) {
      std::int64_t month = 0, week = 0, day = 0;
      if (!t.Take(',') || !t.Take('M') || !t.Number(12, &month) || !t.Take('.') || !t.Number(5, &week) ||
          !t.Take('.') || !t.Number(6, &day) || month < 1 || week < 1) {
        return false;
      }
      *change = {static_cast<unsigned>(month), static_cast<unsigned>(week), static_cast<unsigned>(day), 7200};
      if (t.Take('/') && !t.Time(&change->at)) return false;
    }
  }
  if (!t.AtEnd()) return false;
  *zone = z;
  return true;
}

std::int64_t Zone::MomentOf(const Change& change, std::chrono::year year, std::int64_t offset) const {
  using namespace std::chrono;
  const weekday day(change.day);
  const sys_days date = change.week == 5 ? sys_days(year / month(change.month) / day[last])
                                         : sys_days(year / month(change.month) / day[change.week]);
  return date.time_since_epoch().count() * kDay + change.at - offset;
}

std::int64_t Zone::OffsetAt(std::int64_t utc) const {
  if (!saves_) return standard_;
  const std::int64_t local = utc + standard_;
  const sys_days day{std::chrono::days(local >= 0 ? local / kDay : (local - kDay + 1) / kDay)};
  const std::chrono::year year = year_month_day(day).year();
  const std::int64_t begins = MomentOf(begins_, year, standard_), ends = MomentOf(ends_, year, daylight_);
  const bool saving = begins < ends ? utc >= begins && utc < ends : utc >= begins || utc < ends;
  return saving ? daylight_ : standard_;
}

std::int64_t Zone::StartOf(sys_days day) const {
  const std::int64_t local = day.time_since_epoch().count() * kDay;
  // A midnight that the clock skips begins the day with the moment of the change; one that comes twice, with
  // the first.
  const std::int64_t early = local - std::max(standard_, daylight_),
                     late = local - std::min(standard_, daylight_);
  if (early + OffsetAt(early) == local) return early;
  if (late + OffsetAt(late) == local) return late;
  std::int64_t low = early, high = late;
  while (low + 1 < high) {
    const std::int64_t middle = low + (high - low) / 2;
    (middle + OffsetAt(middle) < local ? low : high) = middle;
  }
  return high;
}

sys_days Zone::DayOf(std::int64_t utc) const {
  const std::int64_t local = utc + OffsetAt(utc);
  return sys_days{std::chrono::days(local >= 0 ? local / kDay : (local - kDay + 1) / kDay)};
}

Period PeriodOf(const Zone& zone, PeriodKind kind, std::int64_t utc) {
  using namespace std::chrono;
  const year_month_day day(zone.DayOf(utc));
  sys_days from{day}, to{day};
  char name[32];
  switch (kind) {
    case PeriodKind::kDay:
      to += days(1);
      std::snprintf(name, sizeof name, "%04d-%02u-%02u", static_cast<int>(day.year()),
                    static_cast<unsigned>(day.month()), static_cast<unsigned>(day.day()));
      break;
    case PeriodKind::kMonth:
      from = day.year() / day.month() / 1;
      to = (day.year() / day.month() + months(1)) / 1;
      std::snprintf(name, sizeof name, "%04d-%02u", static_cast<int>(day.year()),
                    static_cast<unsigned>(day.month()));
      break;
    case PeriodKind::kYear:
      from = day.year() / 1 / 1;
      to = (day.year() + years(1)) / 1 / 1;
      std::snprintf(name, sizeof name, "%04d", static_cast<int>(day.year()));
      break;
  }
  return {zone.StartOf(from), zone.StartOf(to), name};
}

}  // namespace mountflow::ledger
