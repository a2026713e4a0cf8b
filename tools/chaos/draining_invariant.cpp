#include "tools/chaos/draining_invariant.hpp"

#include <string>

namespace mountflow::chaos {
namespace {

constexpr Micros kMicrosPerMilli = 1000;

}  // namespace

void DrainingInvariant::OnAttempt(const Attempt& attempt, LogPosition position) {
  const auto it = model_->drain_notices().find({attempt.daemon, attempt.node});
  if (it == model_->drain_notices().end()) return;
  const LogPosition notice = it->second;
  if (position.time <= notice.time + model_->head().drain_grace + model_->head().allowance) return;
  const Micros late = (position.time - notice.time) / kMicrosPerMilli;
  verdict_->AddViolation(Invariant::kDraining, position.time,
                         attempt.daemon + " offers " + attempt.id + " to " + attempt.node + " " +
                             std::to_string(late) + " ms after it was told that it leaves",
                         {notice.line, position.line});
}

}  // namespace mountflow::chaos
