// The tasks that this scheduler sent, by service and node and as load of their nodes. Bookkeeping only: it
// chooses nothing.
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

// Own tasks of one service on one node.
struct PlacementCount {
  int present = 0;  // sent and not ended
  int recent = 0;   // these, and those that ended and are not forgotten
};
using ServicePlacements = std::map<NodeId, PlacementCount>;

// Invariant: a service has an entry for a node exactly while `recent` is above 0 there, and each recent task
// is known to the node's own load too.
class OwnTasks {
 public:
  // Where the tasks of `service` are and lately were. Valid until the next change.
  const ServicePlacements& OfService(std::uint64_t service) const;

  // An attempt was sent to the node, or a running task was found there.
  void Start(std::uint64_t service, const TaskLoad& load, NodeRecord* node);
  // It ran, or may have run, and ended: remembered until ForgetEndedBefore.
  void End(std::uint64_t service, const TaskLoad& load, NodeRecord* node, Micros now);
  // It never ran. What was rejected held no capacity and left no program behind: remembered as ended, it
  // would show as capacity that comes free in any node list younger than the attempt, and the very node that
  // rejected it would rank first.
  void Withdraw(std::uint64_t service, const TaskLoad& load, NodeRecord* node);

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
  std::deque<EndedTask> ended_;  // by time
};

}  // namespace mountflow

#endif  // MOUNTFLOW_SCHEDULER_OWN_TASKS_HPP_
