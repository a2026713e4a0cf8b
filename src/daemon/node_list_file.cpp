#include "daemon/node_list_file.hpp"

#include <algorithm>

#include "discovery/snapshot.hpp"

namespace mountflow::daemon {

std::optional<job_manager::NodeListEvent> NodeListFile::Load(Micros now) const {
  if (file_.empty()) return std::nullopt;
  auto snapshot = discovery::LoadSnapshot(file_);
  if (!snapshot) {
    log_->Write(logging::LogEvent::kNodeListCacheNotLoaded, Describe(snapshot.error()));
    return std::nullopt;
  }
  job_manager::NodeListEvent view;
  view.kind = NodeListKind::kCached;
  view.nodes = std::move(snapshot->nodes);
  constexpr Micros kMicrosPerMillisecond = 1000;
  const Micros age = now - std::min(now, snapshot->taken_at);
  log_->Write(
      {logging::LogEvent::kNodeListCacheLoaded,
       {{logging::kNodesField, view.nodes.size()}, {logging::kAgeField, age / kMicrosPerMillisecond}}});
  return view;
}

void NodeListFile::SaveIfDue(Micros now, const job_manager::JobManager& job_manager) {
  if (now >= saved_at_ + kMinSaveInterval) SaveIfChanged(now, job_manager);
}

void NodeListFile::SaveIfChanged(Micros now, const job_manager::JobManager& job_manager) {
  if (file_.empty() || !changed_) return;
  saved_at_ = now;
  changed_ = false;
  discovery::Snapshot snapshot;
  snapshot.taken_at = now;
  job_manager.ForEachNode(
      [&snapshot](NodeId /*id*/, const job_manager::ListedNode& node) { snapshot.nodes.push_back(node); });
  const auto saved = discovery::SaveSnapshot(file_, snapshot);
  if (!saved) log_->Write(logging::LogEvent::kNodeListCacheNotSaved, Describe(saved.error()));
}

}  // namespace mountflow::daemon
