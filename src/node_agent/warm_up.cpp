#include "node_agent/warm_up.hpp"

#include <algorithm>

namespace mountflow::node_agent {
namespace {

constexpr double kMicrosPerSecond = 1e6;

double UncachedStartsPerSecond(const NodeConfig& config) {
  return static_cast<double>(config.max_concurrent_starts) * kMicrosPerSecond /
         (static_cast<double>(config.start_time) * std::max(1.0, config.uncached_start_factor));
}

}  // namespace

WarmUp::WarmUp(const NodeConfig& config, Micros started)
    : started_(started),
      duration_(config.slow_start_duration),
      window_(config.slow_start_window),
      initial_pace_(config.slow_start_initial_pace),
      overload_multiple_(config.overload_multiple),
      min_overload_attempts_(config.min_overload_attempts),
      uncached_starts_per_second_(UncachedStartsPerSecond(config)) {}

bool WarmUp::IsWarmingUp(Micros now) const { return started_ != 0 && now < started_ + duration_; }

double WarmUp::Pace(Micros now) const {
  if (!IsWarmingUp(now)) return 1.0;
  const double age = now > started_ ? static_cast<double>(now - started_) : 0.0;
  return initial_pace_ + (1.0 - initial_pace_) * age / static_cast<double>(duration_);
}

double WarmUp::MaxAttemptsInWindow(Micros now) const {
  const double window_seconds = static_cast<double>(window_) * 1e-6;
  return std::max(min_overload_attempts_,
                  overload_multiple_ * Pace(now) * uncached_starts_per_second_ * window_seconds);
}

std::optional<OverloadFailure> WarmUp::RecordAttempt(Micros now) {
  if (!IsWarmingUp(now)) return std::nullopt;
  arrival_times_.push_back(now);
  while (!arrival_times_.empty() && arrival_times_.front() + window_ <= now) arrival_times_.pop_front();
  const double max_attempts = MaxAttemptsInWindow(now);
  if (static_cast<double>(arrival_times_.size()) <= max_attempts) return std::nullopt;
  return OverloadFailure{arrival_times_.size(), max_attempts};
}

}  // namespace mountflow::node_agent
