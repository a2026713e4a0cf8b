// Wakes the event loop from a committer's thread.
#ifndef MOUNTFLOW_DAEMON_COMMIT_SIGNAL_HPP_
#define MOUNTFLOW_DAEMON_COMMIT_SIGNAL_HPP_

#include "event_loop/event_loop.hpp"

namespace mountflow::daemon {

// An eventfd: readable from the first Notify until the loop has read it. Must outlive the threads that
// notify.
class CommitSignal {
 public:
  CommitSignal();
  ~CommitSignal();
  CommitSignal(const CommitSignal&) = delete;
  CommitSignal& operator=(const CommitSignal&) = delete;

  // Makes the loop take a turn after each Notify; its call after the turn looks at what was committed.
  void WatchFrom(event_loop::EventLoop* loop);
  // Thread-safe.
  void Notify() const;

 private:
  int fd_;
};

}  // namespace mountflow::daemon

#endif  // MOUNTFLOW_DAEMON_COMMIT_SIGNAL_HPP_
