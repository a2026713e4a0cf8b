// Selects the tasks that a node ends so that a task of higher priority fits.
#ifndef MOUNTFLOW_NODE_AGENT_PREEMPTION_HPP_
#define MOUNTFLOW_NODE_AGENT_PREEMPTION_HPP_

#include <cstdint>
#include <string>
#include <vector>

#include "node_agent/node_capacity.hpp"
#include "node_agent/node_messages.hpp"

namespace mountflow::node_agent {

// A committed task that may be preempted.
struct PreemptionCandidate {
  std::string attempt;
  std::uint64_t sequence = 0;  // increases with the time of the attempt
  TaskSpec spec;
};

// Returns the attempts to preempt, in order. They have a lower priority than `spec`; the lowest priority
// comes first and, within a priority, the most recent attempt. Selects no more than needed. Returns an empty
// list if `spec` would not fit even without all candidates of lower priority, so that no task is ended
// unnecessarily.
[[nodiscard]] std::vector<std::string> SelectPreempted(std::vector<PreemptionCandidate> candidates,
                                                       const TaskSpec& spec, NodeCapacity capacity);

}  // namespace mountflow::node_agent

#endif  // MOUNTFLOW_NODE_AGENT_PREEMPTION_HPP_
