// Who may come in when there is more than can be done: decisions on new submissions
// before the core, free of I/O, clock and threads. Equal events, equal verdicts.
//
// A submission waits at the door from the arrival of its bytes until the daemon has
// done what comes first in a turn: answers, ends, commits, drains. It is refused at once
// when its owner's time is over or could not be kept any more, when it waited or would
// wait longer than `share` of that time (`most_wait` at the most), when `most_line` stand
// in line, and while the disk has owed a confirmation for that long.
//
// How long it would wait: the jobs ahead of it times what a job costs this daemon. The
// cost is the time that the loop worked by the answers that came of it (utilization law);
// it counts only while the loop works without a pause, so that jobs which wait for slow
// nodes keep nobody out. Who is refused is told when to ask again: each the next place in
// a schedule of one job a cost, so that those who come back do not come together.
#ifndef MOUNTFLOW_ADMISSION_ADMISSION_HPP_
#define MOUNTFLOW_ADMISSION_ADMISSION_HPP_

#include <cstddef>
#include <string>

#include "mountflow/scheduler.hpp"

namespace mountflow::admission {

struct DoorOptions {
  double share = 0.25;             // of the owner's time, that may pass at the door
  Micros most_wait = 500'000;      // and never longer than this
  std::size_t most_line = 16'384;  // submissions in line; beyond: refused
  Micros slice = 2'000;            // of one turn, for letting in
  Micros first_cost = 200;         // of a job, until answers tell
  Micros most_told = 30'000'000;   // the longest wait that is told
};

struct Asked {
  Micros now = 0;
  Micros arrived = 0;          // of its bytes
  Micros give_up = 0;          // when its owner's time is over
  std::size_t in_line = 0;     // ahead of it at the door
  std::size_t unanswered = 0;  // in the core
};

struct Verdict {
  bool admit = true;
  Micros wait = 0;     // a refused one may ask again after this; 0: not within its time
  std::string reason;  // of a refusal
};

class Door {
 public:
  explicit Door(DoorOptions options);

  // The loop worked from `began` to `ended`, and had nothing to do before since the last turn's end.
  void Turn(Micros began, Micros ended);
  void Answered() { ++answers_; }
  // How long the oldest that waits for the disk has waited; 0: nothing waits.
  void DiskOwes(Micros since) { disk_owes_ = since; }

  // At its arrival, and again when its turn has come (with nobody in line ahead of it).
  Verdict Ask(const Asked& asked);
  // So many of the line may come in this turn.
  std::size_t Batch() const;

  double cost() const { return cost_; }  // of a job, microseconds of the loop
  double busy() const { return busy_; }  // share of the time that the loop works, over some 100 ms
  bool saturated() const;

 private:
  Verdict Refuse(const Asked& asked, const char* reason, Micros drained_in);

  DoorOptions options_;
  double cost_, busy_ = 0.0;
  Micros ended_ = 0;         // of the last turn
  Micros window_began_ = 0;  // of the window that the cost is measured in
  Micros worked_ = 0;        // in it
  std::size_t answers_ = 0;  // in it
  Micros next_place_ = 0;    // in the schedule of those who are told to come back
  Micros disk_owes_ = 0;
};

}  // namespace mountflow::admission

#endif  // MOUNTFLOW_ADMISSION_ADMISSION_HPP_
