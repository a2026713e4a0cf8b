#include "node_agent/preemption.hpp"

#include <algorithm>

namespace mountflow::node_agent {

std::vector<std::string> SelectPreempted(std::vector<PreemptionCandidate> candidates, const TaskSpec& spec,
                                         NodeCapacity capacity) {
  std::erase_if(candidates, [&spec](const PreemptionCandidate& candidate) {
    return candidate.spec.priority >= spec.priority;
  });
  double cores = 0.0;
  double memory = 0.0;
  for (const PreemptionCandidate& candidate : candidates) {
    cores += candidate.spec.cores;
    memory += candidate.spec.memory;
  }
  if (!capacity.FitsAfterRelease(spec, cores, memory)) return {};
  std::sort(candidates.begin(), candidates.end(),
            [](const PreemptionCandidate& a, const PreemptionCandidate& b) {
              if (a.spec.priority != b.spec.priority) return a.spec.priority < b.spec.priority;
              return a.sequence > b.sequence;
            });
  std::vector<std::string> preempted;
  for (const PreemptionCandidate& candidate : candidates) {
    if (!capacity.FindShortage(spec)) break;
    capacity.Release(candidate.spec);
    preempted.push_back(candidate.attempt);
  }
  return preempted;
}

}  // namespace mountflow::node_agent
