#include "scheduler/admission_rules.hpp"

#include <algorithm>

#include "scheduler/time_units.hpp"

namespace mountflow {
namespace {

// Maximum time for which a node that had no free capacity is skipped. It ensures that the node gets attempts
// again even if node lists are old.
constexpr Micros kMaxCapacitySkip = 3 * kSecond;
// Time for which a node that evicts tasks or rejects all of them is skipped, because it is likely draining.
// The node list shows this only seconds later, and meanwhile the node empties and would get the largest share
// of the attempts. The time covers the highest age of a node list.
constexpr Micros kLikelyDrainingSkip = 6 * kSecond;

// Returns the id of the failure domain that a node belongs to.
unsigned DomainOf(const NodeEntry& entry, TopologySpread spread) {
  if (spread == TopologySpread::kNode) return entry.node;
  return spread == TopologySpread::kRack ? entry.rack : entry.zone;
}

}  // namespace

DomainCounts AdmissionRules::CountByDomain(const Task& task, const ServicePlacements& placements) const {
  DomainCounts counts;
  const TaskClass& task_class = settings_.classes[task.task_class];
  const TopologySpread spread = task_class.topology_spread;
  if (spread == TopologySpread::kNone || task_class.max_per_domain <= 0) return counts;
  for (const auto& [id, count] : placements) {
    if (count.present > 0) counts[DomainOf(nodes_.Find(id)->entry, spread)] += count.present;
  }
  return counts;
}

bool AdmissionRules::Allows(const NodeRecord& node, const RequestRecord& request, const DomainCounts& counts,
                            Micros now) const {
  if (!node.listed || node.entry.state != NodeState::kReady) return false;
  if (!AllowsRepeat(node, request, now) || !slow_start_.Allows(node, now)) return false;
  return counts.empty() || AllowsSpread(node, request.task, counts);
}

void AdmissionRules::Filter(const RequestRecord& request, const DomainCounts& counts, Micros now,
                            std::vector<NodeLoad>* nodes) const {
  const Task& task = request.task;
  const auto& tried = request.tried_nodes;
  const int needed_kind = settings_.classes[task.task_class].node_kind;
  for (NodeLoad& candidate : *nodes) {
    const NodeRecord& node = *candidate.node;
    const bool is_needed_kind = needed_kind < 0 || static_cast<unsigned>(needed_kind) == node.entry.kind;
    const bool was_tried = std::find(tried.begin(), tried.end(), node.entry.node) != tried.end();
    const CapacityRejection& rejection = node.capacity_rejection;
    const bool lacks_capacity =
        now < rejection.skip_until && (task.cores >= rejection.cores || task.memory >= rejection.memory);
    candidate.qualifies = candidate.qualifies && is_needed_kind && !was_tried && !lacks_capacity &&
                          now >= node.likely_draining_until && Allows(node, request, counts, now);
  }
}

bool AdmissionRules::AllowsSpread(const NodeRecord& node, const Task& task,
                                  const DomainCounts& counts) const {
  const TaskClass& task_class = settings_.classes[task.task_class];
  const auto count = counts.find(DomainOf(node.entry, task_class.topology_spread));
  return count == counts.end() || count->second < task_class.max_per_domain;
}

bool AdmissionRules::AllowsRepeat(const NodeRecord& node, const RequestRecord& request, Micros now) const {
  const FirstEffect& first = request.first_effect;
  if (!first.may_have_run) return true;
  const TaskClass& task_class = settings_.classes[request.task.task_class];
  if (task_class.idempotency != Idempotency::kWithKey) {
    return task_class.idempotency == Idempotency::kIdempotent;
  }
  if (now >= first.sent_at + task_class.deduplication_window) return false;
  const NodeRecord* first_node = nodes_.Find(first.node);
  if (first_node == nullptr) return false;
  switch (task_class.deduplication_scope) {
    case DeduplicationScope::kRack:
      return first_node->entry.rack == node.entry.rack;
    case DeduplicationScope::kZone:
      return first_node->entry.zone == node.entry.zone;
    case DeduplicationScope::kAll:
      return true;
  }
  return false;
}

void AdmissionRules::NoteCapacityRejection(const Task& task, NodeRecord* node, Micros now) {
  node->capacity_rejection = {now, now + kMaxCapacitySkip, task.cores, task.memory};
}

void AdmissionRules::NoteLikelyDraining(NodeRecord* node, Micros now) {
  node->likely_draining_until = now + kLikelyDrainingSkip;
}

void AdmissionRules::NoteRestart(NodeRecord* node) {
  node->capacity_rejection.skip_until = 0;
  node->likely_draining_until = 0;
}

void AdmissionRules::NoteObserved(NodeRecord* node, Micros observed_at) {
  if (node->capacity_rejection.at < observed_at) node->capacity_rejection.skip_until = 0;
}

}  // namespace mountflow
