#include "discovery/node_list_coalescer.hpp"

#include <utility>

namespace mountflow::discovery {

std::vector<RegistryWarning> NodeListCoalescer::Merge(const std::vector<KeyChange>& changes) {
  std::vector<RegistryWarning> warnings;
  for (const KeyChange& change : changes) {
    if (change.removed) {
      RemoveNode(change.key);
      continue;
    }
    auto node = DecodeNodeEntry(change.value);
    if (node) {
      UpdateNode(change.key, std::move(*node));
      continue;
    }
    std::uint64_t& warned = warned_revisions_[change.key];
    if (std::exchange(warned, change.revision) == change.revision) continue;
    RegistryWarning warning;
    warning.code = RegistryWarning::Code::kEntrySkipped;
    warning.key = change.key;
    warning.reason = Describe(node.error());
    warnings.push_back(std::move(warning));
  }
  return warnings;
}

void NodeListCoalescer::RemoveNode(const std::string& key) {
  warned_revisions_.erase(key);
  const auto known = nodes_.find(key);
  if (known == nodes_.end()) return;
  job_manager::ListedNode node = std::move(known->second);
  nodes_.erase(known);
  node.state = NodeState::kGone;
  pending_[key] = std::move(node);
  is_urgent_ = true;
}

void NodeListCoalescer::UpdateNode(const std::string& key, job_manager::ListedNode node) {
  warned_revisions_.erase(key);
  const auto known = nodes_.find(key);
  const bool was_ready = known == nodes_.end() || known->second.state == NodeState::kReady;
  is_urgent_ |= was_ready && node.state != NodeState::kReady;
  nodes_[key] = node;
  pending_[key] = std::move(node);
}

std::optional<job_manager::NodeListEvent> NodeListCoalescer::TakeEvent(Micros now) {
  if (!HasPending()) return std::nullopt;
  const bool is_immediate = is_urgent_ || snapshot_due_ || published_at_ == 0;
  if (!is_immediate && now < published_at_ + min_interval_) return std::nullopt;
  job_manager::NodeListEvent event;
  event.kind = snapshot_due_ ? NodeListKind::kSnapshot : NodeListKind::kDelta;
  for (const auto& [key, node] : snapshot_due_ ? nodes_ : pending_) event.nodes.push_back(node);
  pending_.clear();
  is_urgent_ = false;
  snapshot_due_ = false;
  has_published_ = true;
  published_at_ = now;
  return event;
}

std::optional<Micros> NodeListCoalescer::NextTimer() const {
  if (!HasPending()) return std::nullopt;
  return is_urgent_ ? 0 : published_at_ + min_interval_;
}

}  // namespace mountflow::discovery
