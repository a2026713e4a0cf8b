#include "admission/admission.hpp"

#include <algorithm>
#include <cmath>

namespace mountflow::admission {
namespace {

constexpr Micros kHorizon = 100'000;  // of the busy share, and the least window of the cost
constexpr double kSaturated = 0.9;    // busy share from which what is ahead counts as waiting time
constexpr std::size_t kEnough = 20;   // answers in a window that tell the cost
constexpr double kGain = 0.3;         // of one window
constexpr double kLeastCost = 10.0, kMostCost = 100'000.0;  // microseconds
constexpr Micros kLeastTold = 20'000;

}  // namespace

Door::Door(DoorOptions options) : options_(options), cost_(static_cast<double>(options.first_cost)) {}

void Door::Turn(Micros began, Micros ended) {
  if (ended_ == 0) ended_ = window_began_ = began;
  began = std::max(began, ended_);
  ended = std::max(ended, began);
  const double period = static_cast<double>(ended - ended_), worked = static_cast<double>(ended - began);
  if (period > 0.0) {
    const double weight = std::min(1.0, period / static_cast<double>(kHorizon));
    busy_ += weight * (worked / period - busy_);
  }
  ended_ = ended;
  worked_ += ended - began;
  if (ended - window_began_ < kHorizon) return;
  // Danger: a stall (a slow disk, a stopped process) is no cost of a job: one window moves it by little.
  if (answers_ >= kEnough) {
    const double seen = static_cast<double>(worked_) / static_cast<double>(answers_);
    cost_ += kGain * (std::clamp(seen, cost_ / 2.0, cost_ * 2.0) - cost_);
    cost_ = std::clamp(cost_, kLeastCost, kMostCost);
  }
  window_began_ = ended;
  worked_ = 0;
  answers_ = 0;
}

bool Door::saturated() const { return busy_ >= kSaturated; }

std::size_t Door::Batch() const {
  return std::max<std::size_t>(
      1, static_cast<std::size_t>(std::lround(static_cast<double>(options_.slice) / cost_)));
}

Verdict Door::Ask(const Asked& asked) {
  const Micros owner = asked.give_up > asked.arrived ? asked.give_up - asked.arrived : 0;
  const Micros waited = asked.now > asked.arrived ? asked.now - asked.arrived : 0;
  const Micros allowed =
      std::min(options_.most_wait, static_cast<Micros>(options_.share * static_cast<double>(owner)));
  const double ahead = saturated() ? static_cast<double>(asked.in_line + asked.unanswered) * cost_ : 0.0;
  const auto expected = static_cast<Micros>(ahead);
  if (asked.now >= asked.give_up) return {false, 0, "the owner's time was over before the request was read"};
  if (waited + expected >= owner)
    return Refuse(asked, "no answer could come within the owner's time", expected);
  if (asked.in_line >= options_.most_line) return Refuse(asked, "as many submissions wait as may", expected);
  if (disk_owes_ > allowed) return Refuse(asked, "the disk does not keep up", disk_owes_);
  if (waited + expected > allowed)
    return Refuse(asked, "more work than this daemon gets done", waited + expected - allowed);
  return {};
}

Verdict Door::Refuse(const Asked& asked, const char* reason, Micros drained_in) {
  Verdict verdict{false, 0, reason};
  next_place_ = std::max(next_place_, asked.now + std::max(drained_in, kLeastTold));
  // Beyond the longest wait all are told the same: the schedule does not grow without end.
  next_place_ = std::min(next_place_ + static_cast<Micros>(cost_), asked.now + options_.most_told);
  if (next_place_ < asked.give_up) verdict.wait = next_place_ - asked.now;
  return verdict;
}

}  // namespace mountflow::admission
