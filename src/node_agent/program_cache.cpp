#include "node_agent/program_cache.hpp"

#include <algorithm>

namespace mountflow::node_agent {

bool ProgramCache::Contains(const std::string& service) const {
  return running_.count(service) > 0 || std::find(unused_.begin(), unused_.end(), service) != unused_.end();
}

void ProgramCache::AddRunningTask(const std::string& service) {
  ++running_tasks_;
  ++running_[service];
  std::erase(unused_, service);
}

void ProgramCache::RemoveRunningTask(const std::string& service) {
  --running_tasks_;
  const auto tasks = running_.find(service);
  if (--tasks->second > 0) return;
  running_.erase(tasks);
  unused_.push_back(service);
  while (unused_.size() > max_unused_) unused_.pop_front();
}

}  // namespace mountflow::node_agent
