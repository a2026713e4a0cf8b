#include "event_loop/timer_queue.hpp"

#include <algorithm>

namespace mountflow::event_loop {

void TimerQueue::Add(TimerId id, Micros due, Callback callback) {
  timers_.emplace(std::make_pair(due, id), std::move(callback));
  due_[id] = due;
}

void TimerQueue::Cancel(TimerId id) {
  const auto found = due_.find(id);
  if (found == due_.end()) return;
  timers_.erase({found->second, id});
  due_.erase(found);
}

void TimerQueue::SetMain(Micros due, Callback callback) {
  main_due_ = due;
  if (callback) main_callback_ = std::move(callback);
}

Micros TimerQueue::NextDue() const {
  return timers_.empty() ? main_due_ : std::min(main_due_, timers_.begin()->first.first);
}

void TimerQueue::RunDue(Micros now) {
  while (!timers_.empty() && timers_.begin()->first.first <= now) {
    const auto first = timers_.begin();
    const TimerId id = first->first.second;
    const Callback callback = std::move(first->second);
    timers_.erase(first);
    due_.erase(id);
    callback();
  }
  if (main_due_ <= now && main_callback_) {
    main_due_ = kNever;
    main_callback_();
  }
}

}  // namespace mountflow::event_loop
