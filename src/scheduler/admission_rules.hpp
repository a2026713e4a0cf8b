// Rules that decide whether a node may receive an attempt of a request at all, independent of its rank.
#ifndef MOUNTFLOW_SCHEDULER_ADMISSION_RULES_HPP_
#define MOUNTFLOW_SCHEDULER_ADMISSION_RULES_HPP_

#include <map>
#include <vector>

#include "mountflow/scheduler.hpp"
#include "scheduler/cluster_load.hpp"
#include "scheduler/node_table.hpp"
#include "scheduler/own_tasks.hpp"
#include "scheduler/request_record.hpp"
#include "scheduler/slow_start.hpp"

namespace mountflow {

// Number of own tasks of one service in each failure domain. The domains are nodes, racks or zones, depending
// on the task class. Empty if no limit applies.
using DomainCounts = std::map<unsigned, int>;

// Checks the rules for draining, deduplication, slow start and topology spread. `settings`, `nodes` and
// `slow_start` must outlive this object.
class AdmissionRules {
 public:
  AdmissionRules(const Settings& settings, const NodeTable& nodes, const SlowStart& slow_start)
      : settings_(settings), nodes_(nodes), slow_start_(slow_start) {}

  // Returns the number of tasks per failure domain that count against the topology spread of `task`: attempts
  // in flight and running tasks.
  DomainCounts CountByDomain(const Task& task, const ServicePlacements& placements) const;

  // Reports whether rules 2 to 5 of the public header allow an attempt of the request on the node. Drain: a
  // node gets no attempts once it is listed as draining or gone. Spread: with this task, the service must
  // stay within its limit for the failure domain.
  bool Allows(const NodeRecord& node, const RequestRecord& request, const DomainCounts& counts,
              Micros now) const;

  // Clears `qualifies` of nodes that Allows() forbids, that are not of the kind that the class requires, that
  // an earlier attempt of the request was sent to, or that recently rejected such a task.
  void Filter(const RequestRecord& request, const DomainCounts& counts, Micros now,
              std::vector<NodeLoad>* nodes) const;

  // Records that the node rejected the task because it had no free capacity. The node gets no task that is as
  // large until a node list made after the rejection arrives, or until a few seconds have passed. Smaller
  // tasks are not affected.
  static void NoteCapacityRejection(const Task& task, NodeRecord* node, Micros now);
  // Records that the node rejects or evicts tasks like a draining node, although it is not listed as draining
  // yet.
  static void NoteLikelyDraining(NodeRecord* node, Micros now);
  // Discards what was recorded of the node's previous incarnation.
  static void NoteRestart(NodeRecord* node);
  // Records that the node list now shows the state of the node at `observed_at`.
  static void NoteObserved(NodeRecord* node, Micros observed_at);

 private:
  // Reports whether the idempotency of the task allows an attempt on the node. This is always so unless an
  // earlier attempt may have run.
  bool AllowsRepeat(const NodeRecord& node, const RequestRecord& request, Micros now) const;
  // Reports whether the failure domain of the node is below the service's limit.
  bool AllowsSpread(const NodeRecord& node, const Task& task, const DomainCounts& counts) const;

  const Settings& settings_;
  const NodeTable& nodes_;
  const SlowStart& slow_start_;
};

}  // namespace mountflow

#endif  // MOUNTFLOW_SCHEDULER_ADMISSION_RULES_HPP_
