#include "scheduler/node_table.hpp"

#include <cmath>

namespace mountflow {
namespace {

// Returns a listed free capacity, or 0 if it is not a finite number. The result may be negative, because
// nodes can accept more than their capacity.
double FiniteOrZero(double amount) { return std::isfinite(amount) ? amount : 0.0; }

}  // namespace

const NodeRecord* NodeTable::Find(NodeId id) const {
  const auto it = nodes_.find(id);
  return it != nodes_.end() ? &it->second : nullptr;
}

NodeRecord* NodeTable::Find(NodeId id) {
  const auto it = nodes_.find(id);
  return it != nodes_.end() ? &it->second : nullptr;
}

NodeRecord& NodeTable::FindOrAdd(NodeId id) {
  NodeRecord& node = nodes_[id];
  node.entry.node = id;
  return node;
}

std::vector<NodeRecord*> NodeTable::Apply(const NodeListUpdate& update, Micros now) {
  for (auto& [id, node] : nodes_) {
    node.previous_free_cores = node.entry.free_cores;
    if (update.kind != NodeListKind::kDelta) node.listed = false;
  }
  std::vector<NodeRecord*> restarted_nodes;
  for (const NodeEntry& entry : update.nodes) {
    NodeRecord& node = nodes_[entry.node];
    const bool is_new = !node.listed;
    const bool restarted = node.listed && entry.started_at != node.entry.started_at;
    const bool changed =
        entry.free_cores != node.entry.free_cores || entry.free_memory != node.entry.free_memory;
    if (is_new || restarted || changed) node.entry_changed_at = now;
    node.entry = entry;
    node.entry.free_cores = FiniteOrZero(entry.free_cores);
    node.entry.free_memory = FiniteOrZero(entry.free_memory);
    node.listed = entry.state != NodeState::kGone;
    if (is_new || restarted) node.previous_free_cores = node.entry.free_cores;
    if (restarted) restarted_nodes.push_back(&node);
  }
  return restarted_nodes;
}

void NodeTable::ForgetUnneeded(Micros now, Micros retention) {
  for (auto& [id, node] : nodes_) {
    if (node.listed || node.own_load.task_count() > 0) node.last_needed_at = now;
  }
  std::erase_if(nodes_, [=](const auto& item) { return now > item.second.last_needed_at + retention; });
}

void NodeTable::RefreshReady() {
  ready_.clear();
  for (auto& [id, node] : nodes_) {
    if (node.listed && node.entry.state == NodeState::kReady) ready_.push_back(&node);
  }
}

}  // namespace mountflow
