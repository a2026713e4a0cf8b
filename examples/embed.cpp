// A minimal use of mountflow: submits one task to a cluster of one node, and prints the decision.
#include <iostream>
#include <variant>
#include <vector>

#include "mountflow/scheduler.hpp"

int main() {
  using namespace mountflow;

  Settings settings;
  settings.classes.resize(1);
  settings.classes[0].idempotency = Idempotency::kIdempotent;
  settings.node_kinds = {{8.0, 16.0}};
  settings.list_has_free_capacity = true;
  settings.max_attempts = 2;
  Scheduler scheduler(settings, /*seed=*/42);

  NodeListUpdate node_list;
  node_list.kind = NodeListKind::kSnapshot;
  NodeEntry entry;
  entry.node = 7;
  entry.free_cores = 8.0;
  entry.free_memory = 16.0;
  node_list.nodes = {entry};

  TaskSubmitted submitted;
  submitted.task.request = 1;
  submitted.task.deadline = 5'000'000;
  submitted.task.cores = 1.0;
  submitted.task.memory = 2.0;

  std::vector<Action> actions;
  scheduler.Handle(1'000'000, node_list, &actions);
  scheduler.Handle(1'000'000, submitted, &actions);
  for (const Action& action : actions) {
    if (const auto* start = std::get_if<StartAttempt>(&action)) {
      std::cout << "start request " << start->request << " on node " << start->node << "\n";
      return 0;
    }
  }
  std::cout << "no attempt was started\n";
  return 1;
}
