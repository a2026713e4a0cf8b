#include "tls/renewal.hpp"

#include <algorithm>
#include <utility>

namespace mountflow::tls {
namespace {

constexpr std::int64_t kSecondsPerDay = 86'400;
constexpr std::int64_t kSecondsPerHour = 3'600;
constexpr Micros kMicrosPerSecond = 1'000'000;
constexpr std::size_t kMaxWarnings = 64;
constexpr std::size_t kMaxRememberedExpiries = 64;  // beyond it, all are forgotten and reported again

}  // namespace

void Renewal::AddWarning(std::string text) {
  if (warnings_.size() < kMaxWarnings) warnings_.push_back(std::move(text));
}

bool Renewal::CheckFiles(Micros now, const std::string& stamp) {
  next_check_ = now + options_.check_interval;
  checked_stamp_ = stamp;
  return stamp != loaded_stamp_;
}

void Renewal::OnLoaded(const TlsStatus& status) {
  if (status) {
    if (!loaded_stamp_.empty()) AddWarning("keys loaded anew");
    loaded_stamp_ = checked_stamp_;
    failed_stamp_.clear();
  } else if (failed_stamp_ != checked_stamp_) {
    failed_stamp_ = checked_stamp_;
    AddWarning("keys not loaded, the previous ones stay in use: " + Describe(status.error()));
  }
}

std::int64_t Renewal::ReachedThreshold(std::int64_t seconds_left, std::int64_t none) const {
  // Returns 0, -1, ... for each day after the expiry, so that the result only decreases as time passes.
  if (seconds_left <= 0) return seconds_left / kSecondsPerDay;
  std::int64_t reached = none;
  for (const int days : options_.warning_days) {
    if (seconds_left <= days * kSecondsPerDay) reached = std::min<std::int64_t>(reached, days);
  }
  return reached;
}

void Renewal::CheckExpiries(Micros now, const std::vector<Expiry>& expiries) {
  const auto now_seconds = static_cast<std::int64_t>(now / kMicrosPerSecond);
  const std::int64_t no_threshold = options_.warning_days.empty() ? 1 : options_.warning_days[0] + 1;
  if (last_warnings_.size() > kMaxRememberedExpiries) last_warnings_.clear();
  for (const Expiry& expiry : expiries) {
    LastWarning& last = last_warnings_[expiry.description];
    if (last.not_after != expiry.not_after) last = {expiry.not_after, no_threshold};
    const std::int64_t seconds_left = expiry.not_after - now_seconds;
    const std::int64_t reached = ReachedThreshold(seconds_left, last.days_left);
    if (reached >= last.days_left) continue;
    last.days_left = reached;
    if (seconds_left <= 0) {
      AddWarning(expiry.description + " has ended");
    } else {
      AddWarning(expiry.description + " ends in " + std::to_string(seconds_left / kSecondsPerHour) +
                 " hours");
    }
  }
}

std::vector<std::string> Renewal::TakeWarnings() { return std::exchange(warnings_, {}); }

}  // namespace mountflow::tls
