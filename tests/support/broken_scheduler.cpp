// A deliberately broken replacement of Scheduler, linked into a daemon of its own. The environment variable
// MOUNTFLOW_WRONG is the number of the chaos test's invariant that it violates. Tests use it to show that the
// invariant checker finds such violations.
#include <cstdlib>
#include <map>

#include "mountflow/scheduler.hpp"

namespace mountflow {

class Scheduler::Impl {
 public:
  struct Request {
    Task task;
    unsigned attempts_started = 0;
    bool is_finished = false;
  };
  int violated_invariant =
      std::getenv("MOUNTFLOW_WRONG") != nullptr ? std::atoi(std::getenv("MOUNTFLOW_WRONG")) : 0;
  std::map<NodeId, NodeEntry> known_nodes;
  std::map<RequestId, Request> requests;
  std::uint64_t counter = 0;

  const NodeEntry* ChooseNode() {
    std::vector<const NodeEntry*> eligible;
    const NodeEntry* newest = nullptr;
    for (const auto& [id, entry] : known_nodes) {
      if (entry.state == NodeState::kGone || (entry.state == NodeState::kDraining && violated_invariant != 3))
        continue;
      if (entry.state == NodeState::kDraining) return &entry;  // invariant 3: prefers draining nodes
      eligible.push_back(&entry);
      if (newest == nullptr || entry.started_at > newest->started_at) newest = &entry;
    }
    if (eligible.empty()) return nullptr;
    if (violated_invariant == 4) return newest;  // invariant 4: sends all tasks to the node that started last
    if (violated_invariant == 5) return eligible[0];  // invariant 5: sends all tasks to the same node
    return eligible[counter++ % eligible.size()];
  }
  void StartNextAttempt(Micros now, Request& pending, std::vector<Action>* out) {
    const NodeEntry* entry = pending.attempts_started < 4 ? ChooseNode() : nullptr;
    if (entry == nullptr) {
      pending.is_finished = true;
      out->push_back(RejectTask{pending.task.request, 0});
      return;
    }
    // Invariant 2: attempts end early and are retried even if the task may have run.
    const Micros until = violated_invariant == 2 ? now + 700'000 : pending.task.deadline;
    out->push_back(StartAttempt{pending.task.request, pending.attempts_started++, entry->node, until});
  }
  void Handle(Micros now, const Event& event, std::vector<Action>* out) {
    if (const auto* node_list = std::get_if<NodeListUpdate>(&event)) {
      for (const NodeEntry& updated : node_list->nodes) known_nodes[updated.node] = updated;
    } else if (const auto* submitted = std::get_if<TaskSubmitted>(&event)) {
      if (violated_invariant == 1 && ++counter % 3 == 0) return;  // invariant 1: ignores every third task
      Request& pending = requests[submitted->task.request];
      pending.task = submitted->task;
      StartNextAttempt(now, pending, out);
    } else if (const auto* started = std::get_if<TaskStarted>(&event)) {
      requests[started->request].is_finished = true;
    } else if (const auto* cancelled = std::get_if<TaskCancelled>(&event)) {
      requests[cancelled->request].is_finished = true;
    } else if (const auto* ended = std::get_if<AttemptEnded>(&event)) {
      Request& pending = requests[ended->request];
      if (pending.is_finished || ended->request_closed) return;
      if (now < pending.task.deadline) return StartNextAttempt(now, pending, out);
      pending.is_finished = true;
      out->push_back(FailTask{ended->request});
    }
  }
};

Scheduler::Scheduler(const Settings&, std::uint64_t) : impl_(std::make_unique<Impl>()) {}
Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler&&) noexcept = default;
Scheduler& Scheduler::operator=(Scheduler&&) noexcept = default;
void Scheduler::Handle(Micros now, const Event& event, std::vector<Action>* actions) {
  impl_->Handle(now, event, actions);
}

}  // namespace mountflow
