// What the scheduler remembers of one launch request. A plain record, which RequestTable writes and the rules
// read.
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

struct RequestRecord {
  Task task;
  TaskLoad load;  // what it adds to its node; sent_at is that of the latest attempt
  unsigned attempts_made = 0;
  bool in_flight = false;         // the latest attempt has not ended; a running task counts
  bool started = false;           // its node accepted the latest attempt
  bool cancel_requested = false;  // of the latest attempt
  bool answered = false;          // it has its final answer, or needs none any more
  NodeId node = 0;                // of the latest attempt
  Micros sent_at = 0;             // of the latest attempt
  FirstEffect first_effect;
  std::vector<NodeId> tried_nodes;  // of attempts that ended
};

}  // namespace mountflow

#endif  // MOUNTFLOW_SCHEDULER_REQUEST_RECORD_HPP_
