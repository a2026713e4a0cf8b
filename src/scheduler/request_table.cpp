#include "scheduler/request_table.hpp"

namespace mountflow {

RequestRecord* RequestTable::Add(const Task& task, double weight) {
  const auto [it, is_new] = requests_.try_emplace(task.request);
  if (!is_new) return nullptr;
  it->second.task = task;
  it->second.load = {task.request, task.cores, task.memory, weight, 0};
  return &it->second;
}

RequestRecord* RequestTable::Find(RequestId id) {
  const auto it = requests_.find(id);
  return it != requests_.end() ? &it->second : nullptr;
}

RequestRecord* RequestTable::FindInFlight(RequestId id, unsigned attempt) {
  RequestRecord* request = Find(id);
  if (request == nullptr || !request->in_flight || attempt + 1 != request->attempts_made) return nullptr;
  return request;
}

StartAttempt RequestTable::Start(RequestRecord* request, NodeRecord* node, Micros now) {
  request->node = node->entry.node;
  request->sent_at = now;
  request->load.sent_at = now;
  request->in_flight = true;
  request->cancel_requested = false;
  ++node->pending_starts;
  pending_starts_.insert(request->task.request);
  const unsigned attempt = request->attempts_made++;
  return StartAttempt{request->task.request, attempt, request->node, request->task.deadline};
}

void RequestTable::Recover(RequestRecord* request, NodeId node) {
  request->attempts_made = 1;
  request->in_flight = true;
  request->started = true;
  request->answered = true;
  request->node = node;
  request->load.sent_at = 1;  // earliest possible time: every node list shows the task
}

void RequestTable::StopPending(const RequestRecord& request, NodeRecord* node) {
  if (pending_starts_.erase(request.task.request) > 0 && node->pending_starts > 0) --node->pending_starts;
}

void RequestTable::End(RequestRecord* request, NodeRecord* node, bool never_ran) {
  StopPending(*request, node);
  request->in_flight = false;
  request->tried_nodes.push_back(request->node);
  if (!request->started && !never_ran && !request->first_effect.may_have_run) {
    request->first_effect = {true, request->sent_at, request->node};
  }
}

void RequestTable::EraseIfDone(RequestId id) {
  const auto it = requests_.find(id);
  if (it != requests_.end() && it->second.answered && !it->second.in_flight) requests_.erase(it);
}

}  // namespace mountflow
