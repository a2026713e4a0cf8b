// When to subscribe to the node list, where it comes only on request.
#ifndef MOUNTFLOW_SCHEDULER_LIST_WATCH_HPP_
#define MOUNTFLOW_SCHEDULER_LIST_WATCH_HPP_

#include "mountflow/scheduler.hpp"

namespace mountflow {

// Invariant: at most one call is in flight.
class ListWatch {
 public:
  ListWatch();

  void NoteCall();
  // The list could not be read.
  void NoteFailure(Micros now);
  void NoteList(NodeListKind kind);

  // Whether to call now. `list_at`: when the latest list came.
  bool IsDue(Micros now, Micros list_at) const;

 private:
  bool in_flight_ = false;
  Micros retry_at_ = 0;  // after a failure; 0: none since the latest call
  Micros backoff_;
};

}  // namespace mountflow

#endif  // MOUNTFLOW_SCHEDULER_LIST_WATCH_HPP_
