// Wakes the event loop from a committer's thread.
#ifndef MOUNTFLOW_DAEMON_COMMIT_SIGNAL_HPP_
#define MOUNTFLOW_DAEMON_COMMIT_SIGNAL_HPP_

#include "event_loop/event_loop.hpp"

namespace mountflow::daemon {

// Wraps an eventfd that is readable from the first Notify() until the event loop has read it. Must outlive
// the threads that call Notify().
class CommitSignal {
 public:
  CommitSignal();
  ~CommitSignal();
  CommitSignal(const CommitSignal&) = delete;
  CommitSignal& operator=(const CommitSignal&) = delete;

  // Makes `loop` run a turn after each Notify(). The code that runs after the turn checks which commits have
  // finished.
  void WatchFrom(event_loop::EventLoop* loop);
  // Wakes the event loop. Thread-safe.
  void Notify() const;

 private:
  int fd_;
};

}  // namespace mountflow::daemon

#endif  // MOUNTFLOW_DAEMON_COMMIT_SIGNAL_HPP_
