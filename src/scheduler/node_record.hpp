// The state that the scheduler stores for each node. Plain records without decisions; the comment of each
// names the class that writes it.
#ifndef MOUNTFLOW_SCHEDULER_NODE_RECORD_HPP_
#define MOUNTFLOW_SCHEDULER_NODE_RECORD_HPP_

#include <deque>
#include <map>

#include "mountflow/scheduler.hpp"
#include "scheduler/unobserved_load.hpp"

namespace mountflow {

// The health of a node for one task class. Written by OutlierEjection.
struct ClassHealth {
  int failures = 0;  // in a row
  Micros ejected_until = 0;
};

// The responses and failures of a node. Written by OutlierEjection.
struct NodeHealth {
  Micros last_alive_at = 0;  // time of the latest response
  int failures = 0;          // failures since the latest response
  Micros ejected_until = 0;
  bool check_in_flight = false;
  Micros checked_at = 0;
  int failed_checks = 0;                         // in a row
  std::map<unsigned, ClassHealth> class_health;  // by task class; only classes with failures
};

// The latest rejection of a task because the node had no free capacity for it. Written by AdmissionRules.
struct CapacityRejection {
  Micros at = 0;
  Micros skip_until = 0;
  double cores = 0.0;   // that the rejected task requested
  double memory = 0.0;  // that the rejected task requested
};

// The latest load report. Written by LoadModel.
struct ReportedUtilisation {
  Micros at = 0;       // 0: none yet
  double share = 0.0;  // fraction of the node's cores in use, 0 to 1
};

// All state of one node. Fields that every pick reads come first, because each pick visits hundreds of
// records.
struct NodeRecord {
  NodeEntry entry;  // written by NodeTable
  bool listed = false;
  Micros entry_changed_at = 0;  // when the listed free capacity last changed; 0: never

  ReportedUtilisation utilisation;
  CapacityRejection capacity_rejection;
  // Time until which the node is assumed to be draining. Written by AdmissionRules.
  Micros likely_draining_until = 0;

  // Number of own attempts that have neither started nor ended. Written by RequestTable.
  unsigned pending_starts = 0;

  NodeHealth health;
  UnobservedLoad own_load;  // written by OwnTasks

  // Times of own attempts sent within the last slow-start window while the node warmed up. Written by
  // SlowStart.
  std::deque<Micros> slow_start_attempts;

  // Written by NodeTable.
  Micros last_needed_at = 0;         // when the node was last listed or had own tasks
  double previous_free_cores = 0.0;  // free cores in the previous node list
};

// Returns the kind of a node, or a default-constructed NodeKind if the settings do not define it.
inline NodeKind KindOf(const Settings& settings, const NodeEntry& entry) {
  return entry.kind < settings.node_kinds.size() ? settings.node_kinds[entry.kind] : NodeKind{};
}

// Reports whether the node started less than the slow-start duration ago.
inline bool IsWarmingUp(const Settings& settings, const NodeEntry& entry, Micros now) {
  return entry.started_at != 0 && now < entry.started_at + settings.slow_start_duration;
}

}  // namespace mountflow

#endif  // MOUNTFLOW_SCHEDULER_NODE_RECORD_HPP_
