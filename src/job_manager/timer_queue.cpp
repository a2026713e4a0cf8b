#include "job_manager/timer_queue.hpp"

#include <limits>

namespace mountflow::job_manager {

void TimerQueue::Add(Micros at, const Timer& timer) { entries_.push(Entry{at, ++added_, timer}); }

Micros TimerQueue::NextDue() const {
  return entries_.empty() ? std::numeric_limits<Micros>::max() : entries_.top().at;
}

std::optional<Timer> TimerQueue::PopDue(Micros now) {
  if (entries_.empty() || entries_.top().at > now) return std::nullopt;
  const Timer timer = entries_.top().timer;
  entries_.pop();
  return timer;
}

}  // namespace mountflow::job_manager
