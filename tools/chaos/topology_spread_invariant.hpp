// Invariant 5: a daemon has at most as many tasks of a service in one failure domain as their class allows.
#ifndef MOUNTFLOW_TOOLS_CHAOS_TOPOLOGY_SPREAD_INVARIANT_HPP_
#define MOUNTFLOW_TOOLS_CHAOS_TOPOLOGY_SPREAD_INVARIANT_HPP_

#include "tools/chaos/message_log_model.hpp"

namespace mountflow::chaos {

class TopologySpreadInvariant {
 public:
  TopologySpreadInvariant(const MessageLogModel* model, Verdict* verdict)
      : model_(model), verdict_(verdict) {}

  // Checks an attempt. Must be called before the attempt is added to the model.
  void OnAttempt(const Attempt& attempt, LogPosition position);

 private:
  // Reports whether the daemon of the attempt counts it as running or about to run.
  [[nodiscard]] static bool CountsForSpread(const Attempt& attempt);

  const MessageLogModel* model_;
  Verdict* verdict_;
};

}  // namespace mountflow::chaos

#endif  // MOUNTFLOW_TOOLS_CHAOS_TOPOLOGY_SPREAD_INVARIANT_HPP_
