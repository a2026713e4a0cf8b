// The smallest use of mountflow: one machine, one task, print what is decided.
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

  NodeListUpdate view;
  view.kind = NodeListKind::kSnapshot;
  NodeEntry machine;
  machine.node = 7;
  machine.free_cores = 8.0;
  machine.free_memory = 16.0;
  view.nodes = {machine};

  TaskSubmitted arrival;
  arrival.task.request = 1;
  arrival.task.deadline = 5'000'000;
  arrival.task.cores = 1.0;
  arrival.task.memory = 2.0;

  std::vector<Action> actions;
  scheduler.Handle(1'000'000, view, &actions);
  scheduler.Handle(1'000'000, arrival, &actions);
  for (const Action& action : actions) {
    if (const auto* offer = std::get_if<StartAttempt>(&action)) {
      std::cout << "offer request " << offer->request << " to machine " << offer->node << "\n";
      return 0;
    }
  }
  std::cout << "no offer was made\n";
  return 1;
}
