// Outlier ejection: decides which nodes look faulty, and for how long they get no attempts.
#ifndef MOUNTFLOW_SCHEDULER_OUTLIER_EJECTION_HPP_
#define MOUNTFLOW_SCHEDULER_OUTLIER_EJECTION_HPP_

#include <vector>

#include "mountflow/scheduler.hpp"
#include "scheduler/cluster_load.hpp"
#include "scheduler/node_record.hpp"

namespace mountflow {

// A node that fails gets no attempts for its ejection time, then one at a time until it responds. Without
// ejection a faulty node would get the largest share of the attempts, because it looks emptier the less it
// does.
//
// Invariant: a response clears failures, failed checks and the ejection, but not the failures by class.
// `settings` must outlive this object.
class OutlierEjection {
 public:
  explicit OutlierEjection(const Settings& settings) : settings_(settings) {}

  // Records a response of the node.
  static void NoteAlive(NodeHealth* health, Micros now);
  // Discards what was recorded of the node's previous incarnation.
  static void NoteRestart(NodeHealth* health, Micros now);

  // Records a failure and ejects the node, unless it is ejected already. Returns whether this is the first
  // failure since the latest response.
  static bool RecordFailure(NodeHealth* health, Micros now);

  // Records that the node fails tasks of one class, and ejects it for that class only.
  static void FailClass(NodeHealth* health, unsigned task_class, Micros now);
  // Clears the failures of the node for one class.
  static void ClearClass(NodeHealth* health, unsigned task_class);

  // Clears `qualifies` of nodes whose health forbids an attempt of the class. If so many nodes look faulty
  // that the fault is more likely on this scheduler's side, only failures by class count.
  void Filter(const ClusterState& cluster, const ClusterLoad& total, unsigned task_class,
              std::vector<NodeLoad>* nodes) const;

  // Reports whether a node counts as silent that has not responded since an attempt was sent to it `elapsed`
  // ago.
  bool IsSilent(const NodeHealth& health, Micros elapsed) const;
  // Reports whether such a node should get a health check now.
  bool IsCheckDue(const NodeHealth& health, Micros elapsed, Micros now) const;
  // Records the start of a health check.
  static void NoteCheckStart(NodeHealth* health, Micros now);
  // Records the result of a health check.
  static void NoteCheckResult(NodeHealth* health, bool answered, Micros now);

 private:
  // Sets is_entry_stale of each node. Returns whether most nodes look faulty.
  bool MarkStaleEntries(const ClusterState& cluster, const ClusterLoad& total,
                        std::vector<NodeLoad>* nodes) const;
  // Reports whether the list entry of a node that has tasks did not change for so long that several of the
  // cluster's starts were due on it. Such a node neither starts nor ends tasks: it hangs, or it is gone but
  // still listed. All schedulers see this in the node list. A change of the entry, or a later response to
  // this scheduler, ends the suspicion.
  bool IsEntryStale(const NodeLoad& node, const ClusterState& cluster, double cluster_capacity) const;

  const Settings& settings_;
};

}  // namespace mountflow

#endif  // MOUNTFLOW_SCHEDULER_OUTLIER_EJECTION_HPP_
