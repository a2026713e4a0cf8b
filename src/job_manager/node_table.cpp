#include "job_manager/node_table.hpp"

#include <xxhash.h>

namespace mountflow::job_manager {

NodeId NodeTable::IdOf(std::string_view name) { return XXH32(name.data(), name.size(), 0); }

NodeRecord* NodeTable::Find(NodeId node) {
  const auto it = nodes_.find(node);
  return it == nodes_.end() ? nullptr : &it->second;
}

const NodeRecord* NodeTable::Find(NodeId node) const {
  const auto it = nodes_.find(node);
  return it == nodes_.end() ? nullptr : &it->second;
}

std::vector<NodeId> NodeTable::PresentNodes() const {
  std::vector<NodeId> present;
  for (const auto& [id, node] : nodes_) {
    if (node.present) present.push_back(id);
  }
  return present;
}

std::string NodeTable::NameOf(NodeId node, const std::string& unknown) const {
  const NodeRecord* record = Find(node);
  return record != nullptr ? record->listed.name : unknown;
}

void NodeTable::QueueReconciliation(NodeId node) {
  NodeRecord& record = nodes_[node];
  if (record.reconciling) return;
  record.reconciling = true;
  waiting_.push_back(node);
}

void NodeTable::EndReconciliation(NodeRecord* node) {
  if (!node->reconcile_in_flight) return;
  node->reconcile_in_flight = false;
  --in_flight_;
}

std::vector<NodeId> NodeTable::StartReconciliations(Micros now) {
  std::vector<NodeId> started;
  while (in_flight_ < max_reconciliations_ && !waiting_.empty()) {
    const NodeId id = waiting_.front();
    waiting_.pop_front();
    NodeRecord* node = Find(id);
    if (node == nullptr || !node->reconciling || node->reconcile_in_flight) continue;
    if (!node->present) {
      node->reconciling = false;
      continue;
    }
    node->reconcile_in_flight = true;
    node->reconcile_sent = now;
    ++in_flight_;
    started.push_back(id);
  }
  return started;
}

}  // namespace mountflow::job_manager
