#include "platform/node_directory.hpp"

#include <cstdint>

#include "platform/message_mapping.hpp"

namespace mountflow::platform {
namespace {

// Parameters of the 32-bit FNV-1a hash.
constexpr std::uint32_t kHashOffset = 2166136261U;
constexpr std::uint32_t kHashPrime = 16777619U;

std::uint32_t HashOf(const std::string& name) {
  std::uint32_t hash = kHashOffset;
  for (const char byte : name) hash = (hash ^ static_cast<unsigned char>(byte)) * kHashPrime;
  return hash;
}

NodeState StateOf(const std::string& status) {
  if (status == "ready") return NodeState::kReady;
  if (status == "draining") return NodeState::kDraining;
  return NodeState::kGone;
}

}  // namespace

NodeEntry ToNodeEntry(const ListedNode& node, NodeId id, const settings::WireSettings& wire) {
  NodeEntry entry;
  entry.node = id;
  entry.rack = node.rack;
  entry.zone = IndexOf(wire.zone_names, node.zone).value_or(0);
  entry.kind = IndexOf(wire.kind_names, node.kind).value_or(0);
  entry.started_at = node.started_at;
  entry.state = StateOf(node.status);
  entry.free_cores = node.free_cores;
  entry.free_memory = node.free_memory;
  return entry;
}

NodeId NodeDirectory::IdOf(const std::string& name) {
  if (const auto known = ids_.find(name); known != ids_.end()) return known->second;
  NodeId id = HashOf(name);
  while (names_.count(id) > 0) ++id;
  ids_[name] = id;
  names_[id] = name;
  return id;
}

std::string NodeDirectory::NameOf(NodeId id) const {
  const auto known = names_.find(id);
  return known == names_.end() ? std::string() : known->second;
}

bool NodeDirectory::RecordProcessStart(NodeId id, Micros started_at) {
  if (started_at == 0) return false;
  Micros& recorded = process_started_at_[id];
  if (started_at <= recorded) return false;
  recorded = started_at;
  return true;
}

std::vector<NodeId> NodeDirectory::NotNamedIn(const std::set<std::string>& names) const {
  std::vector<NodeId> missing;
  for (const auto& [name, id] : ids_) {
    if (names.count(name) == 0) missing.push_back(id);
  }
  return missing;
}

void NodeDirectory::ForgetUnlisted() {
  std::vector<NodeId> unlisted;
  for (const auto& [id, name] : names_) {
    if (listed_.count(id) == 0) unlisted.push_back(id);
  }
  for (const NodeId id : unlisted) ForgetIfUnused(id);
}

bool NodeDirectory::RemoveRunningTask(NodeId id, RequestId task) {
  const auto tasks = running_tasks_.find(id);
  if (tasks == running_tasks_.end()) return false;
  const bool removed = tasks->second.erase(task) > 0;
  if (tasks->second.empty()) {
    running_tasks_.erase(tasks);
    ForgetIfUnused(id);
  }
  return removed;
}

std::set<RequestId> NodeDirectory::RunningTasks(NodeId id) const {
  const auto tasks = running_tasks_.find(id);
  return tasks == running_tasks_.end() ? std::set<RequestId>() : tasks->second;
}

// Removes a node that is neither listed nor runs a task. Without this, the directory would grow with each new
// node name.
void NodeDirectory::ForgetIfUnused(NodeId id) {
  const auto name = names_.find(id);
  if (name == names_.end() || listed_.count(id) > 0 || running_tasks_.count(id) > 0) return;
  ids_.erase(name->second);
  names_.erase(name);
  process_started_at_.erase(id);
}

}  // namespace mountflow::platform
