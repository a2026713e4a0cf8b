#include "scheduler/outlier_ejection.hpp"

#include <algorithm>

#include "scheduler/time_units.hpp"

namespace mountflow {
namespace {

// Ejection time of a node. It doubles with each consecutive failure, up to the maximum.
constexpr Micros kBaseEjectionTime = 1 * kSecond;
constexpr Micros kMaxEjectionTime = 8 * kSecond;
// Ejection time of a node for one task class. It is longer, because such a fault lasts until an operator
// acts, and because this scheduler sends too few tasks of the class to detect it again soon.
constexpr Micros kBaseClassEjectionTime = 8 * kSecond;
constexpr Micros kMaxClassEjectionTime = 32 * kSecond;
// Maximum number of doublings, which prevents an overflow.
constexpr int kMaxDoublings = 8;
// If more than this fraction of the ready nodes look faulty, the fault is more likely on this scheduler's
// side.
constexpr double kMaxEjectedShare = 0.5;
// Number of starts that must have been due on a node while its list entry did not change, for the entry to be
// stale.
constexpr double kStaleAfterStarts = 6.0;
// A node is silent if it did not respond for this long after an attempt was sent to it. An acceptance takes
// tens of milliseconds, and a stall of the node half a second. If the node reports only the start, that can
// take seconds.
constexpr Micros kSilenceBeforeAcceptance = 800 * kMillisecond;
constexpr Micros kSilenceBeforeStart = 2500 * kMillisecond;
// Health checks detect silence sooner. The first is sent this long after the attempt, further ones at the
// same interval, and the node is silent after this many consecutive failed checks.
constexpr Micros kHealthCheckInterval = 500 * kMillisecond;
constexpr int kMaxFailedChecks = 2;

Micros EjectionTime(Micros base, Micros highest, int previous_failures) {
  return std::min(highest, base << std::min(previous_failures, kMaxDoublings));
}

}  // namespace

void OutlierEjection::NoteAlive(NodeHealth* health, Micros now) {
  health->last_alive_at = now;
  health->failures = 0;
  health->failed_checks = 0;
  health->ejected_until = 0;
}

void OutlierEjection::NoteRestart(NodeHealth* health, Micros now) {
  NoteAlive(health, now);
  health->class_health.clear();
}

bool OutlierEjection::RecordFailure(NodeHealth* health, Micros now) {
  if (now < health->ejected_until) return false;
  health->ejected_until = now + EjectionTime(kBaseEjectionTime, kMaxEjectionTime, health->failures);
  return ++health->failures == 1;
}

void OutlierEjection::FailClass(NodeHealth* health, unsigned task_class, Micros now) {
  ClassHealth& in_class = health->class_health[task_class];
  in_class.ejected_until =
      now + EjectionTime(kBaseClassEjectionTime, kMaxClassEjectionTime, in_class.failures);
  ++in_class.failures;
}

void OutlierEjection::ClearClass(NodeHealth* health, unsigned task_class) {
  health->class_health.erase(task_class);
}

inline bool OutlierEjection::IsEntryStale(const NodeLoad& node, const ClusterState& cluster,
                                          double cluster_capacity) const {
  const NodeRecord& record = *node.node;
  if (!settings_.list_has_free_capacity || node.is_warming_up || record.entry_changed_at == 0) return false;
  if (record.entry.free_cores >= node.kind.cores) return false;
  if (record.health.last_alive_at > record.entry_changed_at) return false;
  const double part = cluster_capacity > 0.0 ? node.capacity / cluster_capacity : 0.0;
  const Micros changed_at = record.entry_changed_at;
  const Micros unchanged_for = cluster.list_at > changed_at ? cluster.list_at - changed_at : 0;
  return 2.0 * cluster.start_rate * part * static_cast<double>(unchanged_for) > kStaleAfterStarts;
}

bool OutlierEjection::MarkStaleEntries(const ClusterState& cluster, const ClusterLoad& total,
                                       std::vector<NodeLoad>* nodes) const {
  int faulty_nodes = 0;
  for (NodeLoad& node : *nodes) {
    node.is_entry_stale = IsEntryStale(node, cluster, total.capacity);
    if (node.node->health.failures > 0 || node.is_entry_stale) ++faulty_nodes;
  }
  return faulty_nodes > kMaxEjectedShare * static_cast<double>(nodes->size());
}

void OutlierEjection::Filter(const ClusterState& cluster, const ClusterLoad& total, unsigned task_class,
                             std::vector<NodeLoad>* nodes) const {
  const bool trust_all = MarkStaleEntries(cluster, total, nodes);
  for (NodeLoad& node : *nodes) {
    const NodeHealth& health = node.node->health;
    if (health.failures == 0 && !node.is_entry_stale && health.class_health.empty()) continue;
    const auto in_class = health.class_health.find(task_class);
    const bool is_class_ejected =
        in_class != health.class_health.end() && cluster.now < in_class->second.ejected_until;
    const bool may_be_tried = cluster.now >= health.ejected_until && node.node->pending_starts == 0;
    const bool is_trusted = (health.failures == 0 || may_be_tried) && !node.is_entry_stale;
    if (is_class_ejected || (!trust_all && !is_trusted)) node.qualifies = false;
  }
}

bool OutlierEjection::IsSilent(const NodeHealth& health, Micros elapsed) const {
  const Micros silence_limit =
      settings_.started_means_running ? kSilenceBeforeStart : kSilenceBeforeAcceptance;
  return health.failed_checks >= kMaxFailedChecks || elapsed >= silence_limit;
}

bool OutlierEjection::IsCheckDue(const NodeHealth& health, Micros elapsed, Micros now) const {
  return settings_.may_check_health && elapsed >= kHealthCheckInterval && !health.check_in_flight &&
         now >= health.checked_at + kHealthCheckInterval;
}

void OutlierEjection::NoteCheckStart(NodeHealth* health, Micros now) {
  health->check_in_flight = true;
  health->checked_at = now;
}

void OutlierEjection::NoteCheckResult(NodeHealth* health, bool answered, Micros now) {
  health->check_in_flight = false;
  if (answered) return NoteAlive(health, now);
  ++health->failed_checks;
}

}  // namespace mountflow
