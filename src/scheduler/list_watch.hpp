// Decides when to subscribe to the node list, in deployments where lists arrive only on request.
#ifndef MOUNTFLOW_SCHEDULER_LIST_WATCH_HPP_
#define MOUNTFLOW_SCHEDULER_LIST_WATCH_HPP_

#include "mountflow/scheduler.hpp"

namespace mountflow {

// State of the subscription to the node list. Invariant: at most one call is in flight.
class ListWatch {
 public:
  ListWatch();

  // Records that a call was sent.
  void NoteCall();
  // Records that the call failed.
  void NoteFailure(Micros now);
  // Records that a list arrived.
  void NoteList(NodeListKind kind);

  // Reports whether a call is due at `now`. `list_at` is the time at which the latest list arrived.
  bool IsDue(Micros now, Micros list_at) const;

 private:
  bool in_flight_ = false;
  Micros retry_at_ = 0;  // time of the retry after a failure; 0: no failure since the latest call
  Micros backoff_;
};

}  // namespace mountflow

#endif  // MOUNTFLOW_SCHEDULER_LIST_WATCH_HPP_
