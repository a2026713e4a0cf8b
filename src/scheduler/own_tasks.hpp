// The tasks that this scheduler sent, counted by service and node, and as load of their nodes. Makes no
// decisions.
#ifndef MOUNTFLOW_SCHEDULER_OWN_TASKS_HPP_
#define MOUNTFLOW_SCHEDULER_OWN_TASKS_HPP_

#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>

#include "mountflow/scheduler.hpp"
#include "scheduler/node_record.hpp"
#include "scheduler/node_table.hpp"
#include "scheduler/unobserved_load.hpp"

namespace mountflow {

// Number of own tasks of one service on one node.
struct PlacementCount {
  int present = 0;  // tasks that were sent and have not ended
  int recent = 0;   // these, and ended tasks that ForgetEndedBefore has not removed yet
};
using ServicePlacements = std::map<NodeId, PlacementCount>;

// Counts own tasks by service and node.
// Invariant: a service has an entry for a node exactly while `recent` is above 0 there, and each recent task
// is also part of NodeRecord::own_load.
class OwnTasks {
 public:
  // Returns the nodes that run, or recently ran, tasks of `service`. The reference is valid until the next
  // change.
  const ServicePlacements& OfService(std::uint64_t service) const;

  // Records that an attempt was sent to the node, or that a running task was found there.
  void Start(std::uint64_t service, const TaskLoad& load, NodeRecord* node);
  // Records the end of a task that ran or may have run. It stays recent until ForgetEndedBefore removes it.
  void End(std::uint64_t service, const TaskLoad& load, NodeRecord* node, Micros now);
  // Removes a task that never ran. A rejected task held no capacity and left no program on the node. If it
  // were recorded as ended, its end would count as freed capacity with any node list made after the attempt
  // was sent, and the node that rejected it would rank first.
  void Remove(std::uint64_t service, const TaskLoad& load, NodeRecord* node);

  // Removes tasks that ended before `time`.
  void ForgetEndedBefore(Micros time, NodeTable* nodes);

 private:
  struct EndedTask {
    Micros ended_at;
    NodeId node;
    std::uint64_t service;
    TaskLoad load;
  };

  void RemoveRecent(std::uint64_t service, NodeId node);

  ServicePlacements no_placements_;  // always empty
  std::unordered_map<std::uint64_t, ServicePlacements> by_service_;
  std::deque<EndedTask> ended_;  // in the order of ended_at
};

}  // namespace mountflow

#endif  // MOUNTFLOW_SCHEDULER_OWN_TASKS_HPP_
