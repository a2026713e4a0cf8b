#include "platform/ended_tasks.hpp"

namespace mountflow::platform {

void EndedTasks::Add(Micros now, NodeId node, RequestUid uid, const TaskEndReport& report) {
  DiscardExpired(now);
  const Key key{uid, node};
  reports_[key] = {report, now};
  by_age_.push_back({now, key});
  if (by_age_.size() > kMaxEndedTasks) DiscardOldest();
}

std::optional<TaskEndReport> EndedTasks::Find(Micros now, NodeId node, RequestUid uid) {
  DiscardExpired(now);
  const auto found = reports_.find({uid, node});
  if (found == reports_.end()) return std::nullopt;
  return found->second.report;
}

void EndedTasks::Discard(RequestUid uid) {
  auto report = reports_.lower_bound({uid, NodeId{0}});
  while (report != reports_.end() && report->first.first == uid) report = reports_.erase(report);
}

void EndedTasks::DiscardOldest() {
  const ReceivedKey oldest = by_age_.front();
  by_age_.pop_front();
  const auto found = reports_.find(oldest.key);
  if (found != reports_.end() && found->second.received_at == oldest.received_at) reports_.erase(found);
}

void EndedTasks::DiscardExpired(Micros now) {
  while (!by_age_.empty() && by_age_.front().received_at + kEndedTaskRetention <= now) DiscardOldest();
}

}  // namespace mountflow::platform
