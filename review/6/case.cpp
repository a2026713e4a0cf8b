// Tasks that come to their end while the scheduler is down: do their owners hear of it after its restart?
//
// Four owners have 25 tasks each on four machines. The scheduler is killed, and started anew 2 s later; 30
// tasks come to their end meanwhile. When the front has passed its first test, each owner hands its tasks
// over at once. A machine sends a release on the next connection that is opened. Without the trouble the same
// tasks end while the scheduler runs.
#include <algorithm>
#include <string>
#include <vector>

#include "platform.hpp"

using namespace review;

namespace {

constexpr int kOwners = 4, kTasksOfEach = 25, kEnding = 20;
constexpr double kDownTime = 2, kAllowed = 8, kWatched = 20;

struct Ended {
  std::uint64_t uid;
  double at;
};

std::uint64_t UidOf(int owner, int task) { return 0x5000'0000'0000'0000 + (owner + 1) * 0x1000 + task; }
int OwnerOf(std::uint64_t uid) { return static_cast<int>(uid >> 12 & 0xf) - 1; }

Owner& Connect(Deployment* site, int owner) {
  return site->AddOwner("owner " + std::to_string(owner), "127.0.0." + std::to_string(20 + owner));
}

}  // namespace

// Arguments: the root of the repository and the record.
int main(int, char** argv) {
  Deployment site(argv[1], argv[2]);
  for (const char* name : {"s-00000001", "s-00000002", "s-00000003", "s-00000004"}) site.AddMachine(name);
  site.ListAll();
  if (!site.StartScheduler()) return kNotRun;
  std::vector<Owner*> owners;
  for (int owner = 0; owner < kOwners; ++owner) {
    owners.push_back(&Connect(&site, owner));
    for (int task = 0; task < kTasksOfEach; ++task) {
      const std::uint64_t uid = UidOf(owner, task);
      owners.back()->Launch(uid, "keyed", Hex(uid));
    }
  }
  const bool all_stand = site.RunUntil(5, [&] {
    std::size_t standing = 0;
    for (const auto& machine : site.machines) standing += machine->standing().size();
    return standing == kOwners * kTasksOfEach;
  });
  if (!all_stand) return kNotRun;
  site.RunFor(1);

  if (HasTrouble()) site.scheduler.Kill();
  // Every fifth task comes to its end, spread over the down time.
  std::vector<Ended> ended;
  for (int i = 0; i < kEnding; ++i) {
    site.RunFor(kDownTime / kEnding);
    const std::uint64_t uid = UidOf(i % kOwners, i / kOwners * 5);
    for (const auto& machine : site.machines) machine->End(uid);
    ended.push_back({uid, Now()});
  }
  if (HasTrouble()) {
    if (!site.StartScheduler()) return kNotRun;
    // Where each owner believes its tasks to be: where they stood before.
    for (int owner = 0; owner < kOwners; ++owner)
      owners[static_cast<std::size_t>(owner)] = &Connect(&site, owner);
    // All owners hand over at the same time, each one task after the other, one in a millisecond or two.
    for (int task = 0; task < kTasksOfEach; ++task) {
      for (int owner = 0; owner < kOwners; ++owner) {
        const std::uint64_t uid = UidOf(owner, task);
        for (const auto& machine : site.machines) {
          if (!machine->has_held(uid)) continue;
          owners[static_cast<std::size_t>(owner)]->Launch(uid, "keyed", Hex(uid), machine->name());
        }
      }
      site.Turn();
    }
    site.record.Write("all tasks have been handed over");
  }
  site.RunFor(kWatched);

  int late = 0;
  for (const Ended& task : ended) {
    const auto& answers = owners[static_cast<std::size_t>(OwnerOf(task.uid))]->AnswersTo(task.uid);
    const bool released = std::any_of(answers.begin(), answers.end(), [&](const Owner::Answer& answer) {
      return answer.kind == "stop" && answer.at <= task.at + kAllowed;
    });
    if (released) continue;
    ++late;
    site.record.Write("BROKEN: the owner of " + Hex(task.uid) + " was not told of its end within " +
                      std::to_string(Now() - task.at) + " s");
  }
  if (!site.scheduler.IsRunning()) site.record.Write("the scheduler has ended by itself");
  site.record.Write(std::to_string(ended.size()) + " tasks came to their end, " + std::to_string(late) +
                    " were never released towards their owners");
  return late == 0 ? kHeld : kBroken;
}
