#include "tls/renewal.hpp"

#include <algorithm>
#include <utility>

namespace mountflow::tls {
namespace {

constexpr std::int64_t kDay = 86'400;
constexpr std::size_t kMostComplaints = 64;  // kept until taken
constexpr std::size_t kMostTold = 64;        // ends remembered; beyond: all are forgotten, and told again

}  // namespace

void Renewal::Complain(std::string text) {
  if (complaints_.size() < kMostComplaints) complaints_.push_back(std::move(text));
}

bool Renewal::Look(Micros now, const std::string& files) {
  next_ = now + options_.look_every;
  seen_ = files;
  return files != loaded_;
}

void Renewal::Loaded(bool good, const std::string& error) {
  if (good) {
    if (!loaded_.empty()) Complain("keys loaded anew");
    loaded_ = seen_;
    complained_.clear();
  } else if (complained_ != seen_) {
    complained_ = seen_;
    Complain("keys not loaded, those from before stay: " + error);
  }
}

void Renewal::Consider(Micros now, const std::vector<Expiry>& ends) {
  const auto seconds = static_cast<std::int64_t>(now / 1'000'000);
  if (told_.size() > kMostTold) told_.clear();
  for (const Expiry& end : ends) {
    Told& told = told_[end.what];
    if (told.not_after != end.not_after)
      told = {end.not_after, options_.days.empty() ? 1 : options_.days[0] + 1};
    const std::int64_t left = end.not_after - seconds;
    // Days left at the thresholds, then 0, -1, ... for each day past the end: ever smaller.
    long step = told.step;
    if (left <= 0) {
      step = static_cast<long>(left / kDay);
    } else {
      for (const int days : options_.days) {
        if (left <= days * kDay) step = std::min<long>(step, days);
      }
    }
    if (step >= told.step) continue;
    told.step = step;
    Complain(left <= 0 ? end.what + " has ended"
                       : end.what + " ends in " + std::to_string(left / 3600) + " hours");
  }
}

std::vector<std::string> Renewal::TakeComplaints() { return std::exchange(complaints_, {}); }

}  // namespace mountflow::tls
