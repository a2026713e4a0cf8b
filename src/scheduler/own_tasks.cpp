#include "scheduler/own_tasks.hpp"

namespace mountflow {

const ServicePlacements& OwnTasks::OfService(std::uint64_t service) const {
  const auto it = by_service_.find(service);
  return it != by_service_.end() ? it->second : no_placements_;
}

void OwnTasks::Start(std::uint64_t service, const TaskLoad& load, NodeRecord* node) {
  node->own_load.Start(load);
  PlacementCount& count = by_service_[service][node->entry.node];
  ++count.present;
  ++count.recent;
}

void OwnTasks::End(std::uint64_t service, const TaskLoad& load, NodeRecord* node, Micros now) {
  --by_service_[service][node->entry.node].present;
  node->own_load.End(load, now);
  ended_.push_back({now, node->entry.node, service, load});
}

void OwnTasks::Remove(std::uint64_t service, const TaskLoad& load, NodeRecord* node) {
  --by_service_[service][node->entry.node].present;
  node->own_load.Remove(load);
  RemoveRecent(service, node->entry.node);
}

void OwnTasks::ForgetEndedBefore(Micros time, NodeTable* nodes) {
  for (; !ended_.empty() && ended_.front().ended_at < time; ended_.pop_front()) {
    const EndedTask& task = ended_.front();
    nodes->FindOrAdd(task.node).own_load.Forget(task.load, task.ended_at);
    RemoveRecent(task.service, task.node);
  }
}

void OwnTasks::RemoveRecent(std::uint64_t service, NodeId node) {
  const auto placements = by_service_.find(service);
  const auto count = placements->second.find(node);
  if (--count->second.recent == 0) placements->second.erase(count);
  if (placements->second.empty()) by_service_.erase(placements);
}

}  // namespace mountflow
