// The state that the scheduler stores for each launch request. A plain record: RequestTable writes it, the
// rules read it.
#ifndef MOUNTFLOW_SCHEDULER_REQUEST_RECORD_HPP_
#define MOUNTFLOW_SCHEDULER_REQUEST_RECORD_HPP_

#include <vector>

#include "mountflow/scheduler.hpp"
#include "scheduler/unobserved_load.hpp"

namespace mountflow {

// The first attempt of a request that may have run.
struct FirstEffect {
  bool may_have_run = false;
  Micros sent_at = 0;
  NodeId node = 0;
};

// A launch request and the state of its latest attempt.
struct RequestRecord {
  Task task;
  TaskLoad load;  // load that the task adds to its node; load.sent_at belongs to the latest attempt
  unsigned attempts_made = 0;
  bool in_flight = false;         // the latest attempt has not ended; a running task counts as in flight
  bool started = false;           // the node reported the start of the latest attempt
  bool cancel_requested = false;  // cancellation of the latest attempt was requested
  bool answered = false;          // the request has its final answer, or no longer needs one
  NodeId node = 0;                // node of the latest attempt
  Micros sent_at = 0;             // when the latest attempt was sent
  FirstEffect first_effect;
  std::vector<NodeId> tried_nodes;  // nodes of the attempts that ended
};

}  // namespace mountflow

#endif  // MOUNTFLOW_SCHEDULER_REQUEST_RECORD_HPP_
