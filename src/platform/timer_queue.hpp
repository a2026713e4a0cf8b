// A queue of timers, each a time and an id. The earliest timer comes first, and timers with equal times are
// ordered by id. The queue reads no clock: the caller passes the time.
//
// This queue is separate from the one in job_manager/, which keeps equal times in the order of adding. The
// order of the actions within one tick depends on this order, and so does every recorded run.
#ifndef MOUNTFLOW_PLATFORM_TIMER_QUEUE_HPP_
#define MOUNTFLOW_PLATFORM_TIMER_QUEUE_HPP_

#include <cstddef>
#include <optional>
#include <set>
#include <utility>

#include "platform/transport.hpp"

namespace mountflow::platform {

// Not thread-safe. `Id` must be ordered by operator<.
template <typename Id>
class TimerQueue {
 public:
  // Adds a timer. Has no effect if the same time and id are already in the queue.
  void Add(Micros at, Id id) { timers_.insert({at, id}); }
  // Removes a timer. Has no effect if the time and id are not in the queue.
  void Remove(Micros at, Id id) { timers_.erase({at, id}); }

  // Returns the time of the earliest timer; kNever: the queue is empty.
  [[nodiscard]] Micros NextDue() const { return timers_.empty() ? kNever : timers_.begin()->first; }
  // Removes the earliest timer and returns its id, if it is due by `now`. Otherwise returns no value.
  [[nodiscard]] std::optional<Id> TakeDue(Micros now) {
    if (timers_.empty() || timers_.begin()->first > now) return std::nullopt;
    const Id id = timers_.begin()->second;
    timers_.erase(timers_.begin());
    return id;
  }

  [[nodiscard]] std::size_t size() const { return timers_.size(); }

 private:
  std::set<std::pair<Micros, Id>> timers_;
};

}  // namespace mountflow::platform

#endif  // MOUNTFLOW_PLATFORM_TIMER_QUEUE_HPP_
