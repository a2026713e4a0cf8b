// Capacity and load of nodes, in the units of the Normalized Service Capacity strategy:
//   C_h              capacity of node h: its cores divided by the cores of the most common node kind
//   sum(m_j * n_hj)  load of node h: the sum of the priority weights of its tasks
#ifndef MOUNTFLOW_SCHEDULER_LOAD_MODEL_HPP_
#define MOUNTFLOW_SCHEDULER_LOAD_MODEL_HPP_

#include <vector>

#include "mountflow/scheduler.hpp"
#include "scheduler/cluster_load.hpp"
#include "scheduler/node_record.hpp"
#include "scheduler/priority_weights.hpp"
#include "scheduler/slow_start.hpp"

namespace mountflow {

// Computes the capacity and load of nodes. `settings`, `weights` and `group` must outlive this object.
class LoadModel {
 public:
  LoadModel(const Settings& settings, const PriorityWeights& weights, const GroupMembership& group)
      : settings_(settings), weights_(weights), group_(group) {}

  // Makes the most common kind among `ready` the reference kind, whose capacity is 1.
  void ChooseReferenceKind(const std::vector<NodeRecord*>& ready);

  // Returns the highest load per capacity that a node may have, including the task to be scheduled.
  double Cap() const;

  // Stores the utilisation that the node reported. Ignores reports without a valid utilisation.
  static void NoteReport(const LoadReport& report, NodeRecord* node, Micros now);

  // Returns the load of each ready node, in the order of `cluster.ready`.
  std::vector<NodeLoad> LoadOfEach(const ClusterState& cluster) const;

  // Returns the totals over `loads`. Hundreds of schedulers see the same late list, and would all send to the
  // nodes that are emptiest in it. The tasks that they sent since that list was made are therefore estimated,
  // and assumed to fill up the least loaded nodes first. The ranking treats a node below the resulting fill
  // level as if it were at that level.
  ClusterLoad LoadOfAll(const std::vector<NodeLoad>& loads, const ClusterState& cluster) const;

  // Clears `qualifies` of nodes without free capacity for the task.
  void Filter(const Task& task, const ClusterLoad& total, std::vector<NodeLoad>* nodes) const;

 private:
  // Returns C_h of a node of this kind, above 0.
  double Capacity(const NodeKind& kind) const;
  // Returns sum(m_j * n_hj) without the task to be scheduled.
  double Load(const NodeRecord& node, const NodeKind& kind) const;
  // Returns the mean priority weight of own tasks on the node, or the mean over all classes if there are
  // none.
  double MeanWeight(const NodeRecord& node) const;

  // Returns the load according to the node's own report. It can exceed the load from requests, because tasks
  // use more than they requested, the node is slow, or another program uses its cores. It counts in the
  // ranking, but not against the cap.
  double ReportedLoad(const NodeRecord& node, const NodeKind& kind, Micros now) const;
  // Reports whether the node has free capacity for the task. Where nodes preempt, a task that can be
  // preempted must also leave capacity for the estimated unobserved tasks of other schedulers.
  bool Fits(const NodeLoad& node, const Task& task, const ClusterLoad& total) const;

  const Settings& settings_;
  const PriorityWeights& weights_;
  const GroupMembership& group_;
  double reference_cores_ = 1.0;
};

}  // namespace mountflow

#endif  // MOUNTFLOW_SCHEDULER_LOAD_MODEL_HPP_
