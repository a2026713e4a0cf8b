// The load of the ready nodes while a node is picked. Plain records: LoadModel fills them in, the filters and
// the ranking read them.
#ifndef MOUNTFLOW_SCHEDULER_CLUSTER_LOAD_HPP_
#define MOUNTFLOW_SCHEDULER_CLUSTER_LOAD_HPP_

#include <vector>

#include "mountflow/scheduler.hpp"
#include "scheduler/node_record.hpp"

namespace mountflow {

// The ready nodes and the age of the information about them. `ready` must outlive this object.
struct ClusterState {
  const std::vector<NodeRecord*>& ready;
  Micros now = 0;
  Micros list_at = 0;       // when the latest node list arrived
  Micros observed_at = 0;   // the time whose state that list shows
  double start_rate = 0.0;  // tasks per microsecond that all schedulers together start
};

// One ready node while a node is picked. Does not own `node`.
struct NodeLoad {
  NodeRecord* node;
  NodeKind kind;
  double load;           // sum(m_j * n_hj), without the task to be scheduled
  double reported_load;  // the same from the node's own load report; 0 if there is none
  double capacity;       // C_h, above 0
  bool is_warming_up;
  bool is_entry_stale = false;  // set by OutlierEjection
  bool qualifies = true;        // cleared by the filters
};

// Totals over the ready nodes that are not warming up.
struct ClusterLoad {
  double capacity = 0.0;
  double mean_load = 0.0;   // load per capacity, without the unobserved load of other schedulers
  double fill_level = 0.0;  // load per capacity up to which that unobserved load fills the least loaded nodes
  double unobserved_tasks_by_capacity = 0.0;  // unobserved tasks of other schedulers, per capacity
};

}  // namespace mountflow

#endif  // MOUNTFLOW_SCHEDULER_CLUSTER_LOAD_HPP_
