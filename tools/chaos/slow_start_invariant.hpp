// Invariant 4: the daemons that know that a node is warming up do not together exceed its slow-start budget.
#ifndef MOUNTFLOW_TOOLS_CHAOS_SLOW_START_INVARIANT_HPP_
#define MOUNTFLOW_TOOLS_CHAOS_SLOW_START_INVARIANT_HPP_

#include <cstddef>
#include <deque>
#include <map>
#include <string>

#include "tools/chaos/message_log_model.hpp"

namespace mountflow::chaos {

class SlowStartInvariant {
 public:
  SlowStartInvariant(const MessageLogModel* model, Verdict* verdict) : model_(model), verdict_(verdict) {}

  void OnAttempt(const Attempt& attempt, LogPosition position);

 private:
  struct ReceivedAttempt {
    Micros time = 0;
    std::string daemon;
  };
  // The attempts that one incarnation of a node received within the overload window.
  struct Load {
    std::size_t incarnation_line = 0;
    std::deque<ReceivedAttempt> recent;
    bool is_reported = false;  // at most one violation per incarnation
  };
  Load& LoadOf(const std::string& node, const NodeIncarnation& incarnation);
  // Returns the number of attempts that a node of this age in microseconds can take within the overload
  // window.
  [[nodiscard]] double BudgetAt(Micros age) const;
  // Reports whether at least two thirds of the attempts are from daemons that know that the node is warming
  // up.
  [[nodiscard]] static bool MostlyInformed(std::size_t informed, std::size_t all);

  const MessageLogModel* model_;
  Verdict* verdict_;
  std::map<std::string, Load> loads_;  // by node
};

}  // namespace mountflow::chaos

#endif  // MOUNTFLOW_TOOLS_CHAOS_SLOW_START_INVARIANT_HPP_
