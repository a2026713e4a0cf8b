#include "tools/chaos/slow_start_invariant.hpp"

#include <algorithm>

namespace mountflow::chaos {
namespace {

constexpr double kSecondsPerMicro = 1e-6;

}  // namespace

void SlowStartInvariant::OnAttempt(const Attempt& attempt, LogPosition position) {
  const NodeIncarnation* const incarnation = model_->FindIncarnation(attempt.node);
  if (incarnation == nullptr) return;
  const HeadEntry& head = model_->head();
  if (position.time >= incarnation->started.time + head.warm_up_time) return;
  ++verdict_->attempts_while_warming_up;

  Load& load = LoadOf(attempt.node, *incarnation);
  load.recent.push_back({position.time, attempt.daemon});
  while (load.recent.front().time + head.overload_window <= position.time) load.recent.pop_front();

  const double budget = BudgetAt(position.time - incarnation->started.time);
  if (static_cast<double>(load.recent.size()) <= budget || load.is_reported) return;
  const auto informed = static_cast<std::size_t>(
      std::count_if(load.recent.begin(), load.recent.end(), [incarnation](const ReceivedAttempt& received) {
        return incarnation->known_to.contains(received.daemon);
      }));
  if (!MostlyInformed(informed, load.recent.size())) return;
  load.is_reported = true;
  verdict_->AddViolation(Invariant::kSlowStart, position.time,
                         "cold " + attempt.node + " got " + std::to_string(load.recent.size()) +
                             " offers within its window, where " + std::to_string(budget) + " are borne; " +
                             std::to_string(informed) + " from daemons that knew",
                         {incarnation->started.line, position.line});
}

SlowStartInvariant::Load& SlowStartInvariant::LoadOf(const std::string& node,
                                                     const NodeIncarnation& incarnation) {
  Load& load = loads_[node];
  if (load.incarnation_line != incarnation.started.line) load = {incarnation.started.line, {}, false};
  return load;
}

// The capacity rises linearly from its initial share to full capacity while the node warms up.
double SlowStartInvariant::BudgetAt(Micros age) const {
  const HeadEntry& head = model_->head();
  const double progress = static_cast<double>(age);
  const double capacity = head.initial_capacity +
                          (1.0 - head.initial_capacity) * progress / static_cast<double>(head.warm_up_time);
  return std::max(head.min_slow_start_budget, head.overload_multiple * capacity * head.starts_per_second *
                                                  static_cast<double>(head.overload_window) *
                                                  kSecondsPerMicro);
}

bool SlowStartInvariant::MostlyInformed(std::size_t informed, std::size_t all) {
  return 3 * informed >= 2 * all;
}

}  // namespace mountflow::chaos
