// The smallest use of mountflow: one machine, one task, print what is decided.
#include <iostream>
#include <variant>
#include <vector>

#include "mountflow/scheduler.hpp"

int main() {
  using namespace mountflow;

  Settings settings;
  settings.classes.resize(1);
  settings.classes[0].effect = Effect::kSafe;
  settings.kinds = {{8.0, 16.0}};
  settings.lists_free = true;
  settings.max_attempts = 2;
  Scheduler scheduler(settings, /*seed=*/42);

  FleetView view;
  view.mode = ViewMode::kFull;
  MachineEntry machine;
  machine.machine = 7;
  machine.free_cores = 8.0;
  machine.free_memory = 16.0;
  view.machines = {machine};

  TaskArrival arrival;
  arrival.task.request = 1;
  arrival.task.deadline = 5'000'000;
  arrival.task.cores = 1.0;
  arrival.task.memory = 2.0;

  std::vector<Action> actions;
  scheduler.Handle(1'000'000, view, &actions);
  scheduler.Handle(1'000'000, arrival, &actions);
  for (const Action& action : actions) {
    if (const auto* offer = std::get_if<Offer>(&action)) {
      std::cout << "offer request " << offer->request << " to machine " << offer->machine << "\n";
      return 0;
    }
  }
  std::cout << "no offer was made\n";
  return 1;
}
