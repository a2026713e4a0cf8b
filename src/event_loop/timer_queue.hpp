// A queue of timers ordered by due time. The caller passes the current time.
//
// This is a separate type from the timers of platform/ and job_manager/: here a timer is a callback that is
// cancelled by its id alone, and the main timer, which moves in each turn, runs after all other timers that
// are due at the same time.
#ifndef MOUNTFLOW_EVENT_LOOP_TIMER_QUEUE_HPP_
#define MOUNTFLOW_EVENT_LOOP_TIMER_QUEUE_HPP_

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <unordered_map>
#include <utility>

#include "mountflow/scheduler.hpp"

namespace mountflow::event_loop {

using TimerId = std::uint64_t;

inline constexpr Micros kNever = std::numeric_limits<Micros>::max();

// One-shot timers, and one main timer that is moved often. Timers run in the order of their due times; those
// with equal due times run in the order of their ids. The main timer runs after all of them. Not thread-safe.
class TimerQueue {
 public:
  using Callback = std::function<void()>;

  // Adds a timer. `id` must be greater than the ids of all timers added before.
  void Add(TimerId id, Micros due, Callback callback);
  // Cancels a timer. Does nothing if it has run or was never added.
  void Cancel(TimerId id);
  // Sets the main timer; kNever disarms it. An empty callback leaves the previous one in place.
  void SetMain(Micros due, Callback callback);

  // Returns when the next timer is due; kNever if there is none.
  [[nodiscard]] Micros NextDue() const;
  // Runs all timers that are due at `now`, including those that the callbacks add. Disarms the main timer
  // before its callback runs.
  void RunDue(Micros now);

 private:
  std::map<std::pair<Micros, TimerId>, Callback> timers_;
  std::unordered_map<TimerId, Micros> due_;  // due time of each timer in timers_
  Micros main_due_ = kNever;
  Callback main_callback_;
};

}  // namespace mountflow::event_loop

#endif  // MOUNTFLOW_EVENT_LOOP_TIMER_QUEUE_HPP_
