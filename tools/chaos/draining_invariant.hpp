// Invariant 3: once a daemon has read that a node is draining or has left, and a grace time has passed, it
// sends no more attempts to that node.
#ifndef MOUNTFLOW_TOOLS_CHAOS_DRAINING_INVARIANT_HPP_
#define MOUNTFLOW_TOOLS_CHAOS_DRAINING_INVARIANT_HPP_

#include "tools/chaos/message_log_model.hpp"

namespace mountflow::chaos {

class DrainingInvariant {
 public:
  DrainingInvariant(const MessageLogModel* model, Verdict* verdict) : model_(model), verdict_(verdict) {}

  void OnAttempt(const Attempt& attempt, LogPosition position);

 private:
  const MessageLogModel* model_;
  Verdict* verdict_;
};

}  // namespace mountflow::chaos

#endif  // MOUNTFLOW_TOOLS_CHAOS_DRAINING_INVARIANT_HPP_
