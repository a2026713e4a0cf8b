// A deliberately wrong module in place of ours: MOUNTFLOW_WRONG names the rule that it breaks. Linked into a
// daemon of its own, it proves that the judge catches a daemon that errs.
#include <cstdlib>
#include <map>

#include "mountflow/scheduler.hpp"

namespace mountflow {

class Scheduler::Brain {
 public:
  struct Request {
    Task task;
    unsigned made = 0;
    bool over = false;
  };
  int wrong = std::getenv("MOUNTFLOW_WRONG") != nullptr ? std::atoi(std::getenv("MOUNTFLOW_WRONG")) : 0;
  std::map<MachineId, MachineEntry> machines;
  std::map<RequestId, Request> requests;
  std::uint64_t turn = 0;

  const MachineEntry* Pick() {
    std::vector<const MachineEntry*> fit;
    const MachineEntry* newest = nullptr;
    for (const auto& [id, m] : machines) {
      if (m.state == MachineState::kGone || (m.state == MachineState::kDraining && wrong != 3)) continue;
      if (m.state == MachineState::kDraining) return &m;  // rule 3: these above all
      fit.push_back(&m);
      if (newest == nullptr || m.started_at > newest->started_at) newest = &m;
    }
    if (fit.empty()) return nullptr;
    if (wrong == 4) return newest;  // rule 4: all to the one that just came up
    if (wrong == 5) return fit[0];  // rule 5: all to one place
    return fit[turn++ % fit.size()];
  }
  void OfferNext(Micros now, Request& r, std::vector<Action>* out) {
    const MachineEntry* m = r.made < 4 ? Pick() : nullptr;
    if (m == nullptr) {
      r.over = true;
      out->push_back(Refusal{r.task.request, 0});
      return;
    }
    // Rule 2: given up soon, and offered again whatever may have run.
    const Micros until = wrong == 2 ? now + 700'000 : r.task.deadline;
    out->push_back(Offer{r.task.request, r.made++, m->machine, until});
  }
  void Handle(Micros now, const Event& event, std::vector<Action>* out) {
    if (const auto* view = std::get_if<FleetView>(&event)) {
      for (const MachineEntry& e : view->machines) machines[e.machine] = e;
    } else if (const auto* arrival = std::get_if<TaskArrival>(&event)) {
      if (wrong == 1 && ++turn % 3 == 0) return;  // rule 1: forgotten
      Request& r = requests[arrival->task.request];
      r.task = arrival->task;
      OfferNext(now, r, out);
    } else if (const auto* placed = std::get_if<Placement>(&event)) {
      requests[placed->request].over = true;
    } else if (const auto* gone = std::get_if<Withdrawal>(&event)) {
      requests[gone->request].over = true;
    } else if (const auto* outcome = std::get_if<Outcome>(&event)) {
      Request& r = requests[outcome->request];
      if (r.over || outcome->closed) return;
      if (now < r.task.deadline) return OfferNext(now, r, out);
      r.over = true;
      out->push_back(Failure{outcome->request});
    }
  }
};

Scheduler::Scheduler(const Settings&, std::uint64_t) : brain_(std::make_unique<Brain>()) {}
Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler&&) noexcept = default;
Scheduler& Scheduler::operator=(Scheduler&&) noexcept = default;
void Scheduler::Handle(Micros now, const Event& event, std::vector<Action>* actions) {
  brain_->Handle(now, event, actions);
}

}  // namespace mountflow
