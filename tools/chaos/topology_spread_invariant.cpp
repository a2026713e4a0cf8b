#include "tools/chaos/topology_spread_invariant.hpp"

#include <string>
#include <utility>
#include <vector>

namespace mountflow::chaos {

void TopologySpreadInvariant::OnAttempt(const Attempt& attempt, LogPosition position) {
  const TaskClass& task_class = model_->ClassOf(attempt.queue);
  if (task_class.spread == SpreadDomain::kNone || task_class.max_per_domain <= 0) return;
  ++verdict_->spread_checks;
  const std::string domain = model_->DomainOf(attempt.node, task_class.spread);
  std::vector<std::size_t> lines = {position.line};  // of the attempts in the domain, starting with this one
  for (const Attempt* other : model_->AttemptsOfService(attempt.daemon, attempt.service)) {
    if (!CountsForSpread(*other) || model_->DomainOf(other->node, task_class.spread) != domain) continue;
    lines.push_back(other->sent.line);
  }
  const std::size_t tasks = lines.size();
  if (tasks <= static_cast<std::size_t>(task_class.max_per_domain)) return;
  verdict_->AddViolation(Invariant::kTopologySpread, position.time,
                         attempt.daemon + " has " + std::to_string(tasks) + " tasks of " + attempt.service +
                             " in " + domain + ", where " + std::to_string(task_class.max_per_domain) +
                             " are the most",
                         std::move(lines));
}

bool TopologySpreadInvariant::CountsForSpread(const Attempt& attempt) {
  return attempt.known_to_daemon && !attempt.has_ended() && (attempt.in_flight() || attempt.is_accepted());
}

}  // namespace mountflow::chaos
