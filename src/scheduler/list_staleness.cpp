#include "scheduler/list_staleness.hpp"

#include <algorithm>
#include <array>

#include "scheduler/time_units.hpp"

namespace mountflow {
namespace {

// Candidate ages: multiples of 250 ms up to 12 s.
constexpr Micros kAgeStep = 250 * kMillisecond;
constexpr std::size_t kAges = 49;
// Initial estimate: 2 s.
constexpr std::size_t kFirstAgeStep = 8;
// Factor by which the weight of earlier lists decreases with each list. The effective window is about 33
// lists.
constexpr double kEvidenceFade = 0.97;
// An age replaces the estimate if its error is less than this fraction of the current estimate's error. With
// few own tasks, the lowest error among 49 ages is a matter of chance.
constexpr double kClearlyBetter = 0.9;
// Minimum number of lists before the estimate changes.
constexpr std::size_t kMinLists = 8;
// Weight of the latest list in the exponential moving average of the start rate.
constexpr double kStartRateGain = 0.2;
// Assumed duration of a task, used for the start rate until the first starts are observed.
constexpr Micros kAssumedTaskDuration = 20 * kSecond;

}  // namespace

ListStaleness::ListStaleness() : errors_(kAges, 0.0), age_step_(kFirstAgeStep) {}

Micros ListStaleness::MaxAge() { return (kAges - 1) * kAgeStep; }
Micros ListStaleness::Horizon() { return kAges * kAgeStep; }

Micros ListStaleness::ObservedAt(Micros list_at) const {
  const Micros age = age_step_ * kAgeStep;
  return list_at > age ? list_at - age : 1;
}

void ListStaleness::Learn(const NodeTable::Nodes& nodes, Micros previous_at, Micros now) {
  std::array<double, kAges> errors{};
  for (const auto& [id, node] : nodes) {
    if (!node.listed) continue;
    const auto own_changes = OwnChangesByAge<kAges>(node.own_load, previous_at, now, kAgeStep);
    const double fall = node.previous_free_cores - node.entry.free_cores;
    FixedPoint own_cores = 0;
    double unexplained = fall;
    for (std::size_t step = 0; step < kAges; ++step) {
      own_cores += own_changes[step];
      if (own_changes[step] != 0) unexplained = fall - ToDouble(own_cores);
      errors[step] += unexplained * unexplained;
    }
  }
  for (std::size_t step = 0; step < kAges && step * kAgeStep <= previous_at; ++step) {
    errors_[step] = errors_[step] * kEvidenceFade + errors[step];
  }
  if (++lists_seen_ < kMinLists) return;
  const auto best = std::min_element(errors_.begin(), errors_.end()) - errors_.begin();
  if (errors_[best] < errors_[age_step_] * kClearlyBetter) age_step_ = static_cast<std::size_t>(best);
}

void ClusterStartRate::Learn(const NodeTable::Nodes& nodes, const Settings& settings, Micros elapsed) {
  double started = 0.0;
  for (const auto& [id, node] : nodes) {
    if (!node.listed) continue;
    started += std::max(0.0, node.previous_free_cores - node.entry.free_cores) / settings.mean_cores;
  }
  rate_ += (started / static_cast<double>(elapsed) - rate_) * kStartRateGain;
}

void ClusterStartRate::GuessIfUnknown(const NodeTable::Nodes& nodes, const Settings& settings) {
  if (rate_ != 0.0) return;
  for (const auto& [id, node] : nodes) {
    if (!node.listed) continue;
    const double used_cores = KindOf(settings, node.entry).cores - node.entry.free_cores;
    rate_ += std::max(0.0, used_cores) / settings.mean_cores;
  }
  rate_ /= static_cast<double>(kAssumedTaskDuration);
}

}  // namespace mountflow
