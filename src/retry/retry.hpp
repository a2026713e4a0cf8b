// When an owner asks again: the decision on repeats of a job whose ask ended
// without a placement, or whose placed task was lost.
//
// Free of I/O, clock and threads; the draw comes from the caller. The scheduler
// proper is not asked here: a repeat is a new ask to it, and each ask has its
// own one answer.
#ifndef MOUNTFLOW_RETRY_RETRY_HPP_
#define MOUNTFLOW_RETRY_RETRY_HPP_

#include <cstdint>

#include "mountflow/scheduler.hpp"

namespace mountflow::retry {

struct RepeatPolicy {
  unsigned most = 8;               // repeats without a placement between; 0: never
  Micros first_wait = 1'000'000;   // after a refusal or failure, doubled each time in a row
  Micros most_wait = 30'000'000;   // up to this
  Micros lost_wait = 200'000;      // after a placed task was lost: the node, not the fleet, was the trouble
  double spread = 0.25;            // each wait is stretched by up to this share, drawn
  Micros settle_wait = 3'000'000;  // where an attempt may have run and a second start could do harm
};

enum class AskEnd {
  kRefused,  // asking again is harmless
  kFailed,   // an attempt may have run
  kLost      // it was placed and then evicted, sent away, moved, or lost with its node
};

struct AskEnded {
  AskEnd end = AskEnd::kRefused;
  Idempotency idempotency = Idempotency::kNotIdempotent;
  bool rerunnable = false;
  bool unsettled = false;  // an attempt may still run or be accepted
  Micros advised = 0;      // wait that the refusal advised
  Micros now = 0;
  Micros give_up = 0;  // the owner's time ends
  double draw = 0.0;   // in [0, 1)
};

enum class RepeatVerdict {
  kAgain,   // ask again at `at`
  kSettle,  // ask again at `at` at the earliest, and only once every earlier attempt is known not to run
  kFinal    // the last answer stands
};

struct RepeatDecision {
  RepeatVerdict verdict = RepeatVerdict::kFinal;
  Micros at = 0;
  const char* why = "";  // for kFinal: told to the owner
};

// The state of one job's repeats; one decision a call.
class Repeats {
 public:
  RepeatDecision Decide(const RepeatPolicy& policy, const AskEnded& ended);
  // A placement ends the row: waits and counts begin anew.
  void Placed() { in_row_ = 0; }
  unsigned in_row() const { return in_row_; }

 private:
  std::uint16_t in_row_ = 0;
};

}  // namespace mountflow::retry

#endif  // MOUNTFLOW_RETRY_RETRY_HPP_
