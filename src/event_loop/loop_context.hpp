// State shared by the parts of one event loop: the libev loop, the clock, the timers and the id sequence.
#ifndef MOUNTFLOW_EVENT_LOOP_LOOP_CONTEXT_HPP_
#define MOUNTFLOW_EVENT_LOOP_LOOP_CONTEXT_HPP_

#include <cstdint>
#include <utility>

#include "event_loop/libev_watchers.hpp"
#include "event_loop/steady_clock.hpp"
#include "event_loop/timer_queue.hpp"

namespace mountflow::event_loop {

// The shared state. Connections, listeners and timers take their ids from one sequence, so an id identifies
// only one of them.
class LoopContext {
 public:
  [[nodiscard]] std::uint64_t NewId() { return ++last_id_; }

  TimerId AddTimer(Micros due, TimerQueue::Callback callback) {
    const TimerId id = NewId();
    timers.Add(id, due, std::move(callback));
    return id;
  }

  LibevLoop libev;
  SteadyClock clock;
  TimerQueue timers;

 private:
  std::uint64_t last_id_ = 0;
};

}  // namespace mountflow::event_loop

#endif  // MOUNTFLOW_EVENT_LOOP_LOOP_CONTEXT_HPP_
