// The launch requests known to the scheduler, and the state of their attempts. Makes no decisions:
// AttemptRules decides what a request may get.
#ifndef MOUNTFLOW_SCHEDULER_REQUEST_TABLE_HPP_
#define MOUNTFLOW_SCHEDULER_REQUEST_TABLE_HPP_

#include <map>
#include <set>

#include "mountflow/scheduler.hpp"
#include "scheduler/node_record.hpp"
#include "scheduler/request_record.hpp"

namespace mountflow {

// Owns the record of each launch request.
// Invariant: a request has at most one attempt in flight, and only events of its latest attempt have an
// effect.
//
// The address of a record is stable until EraseIfDone removes it.
class RequestTable {
 public:
  // Adds a request and returns its record, or null if the request is known already. `weight` is the priority
  // weight of its class.
  RequestRecord* Add(const Task& task, double weight);

  // Returns the record of a request, or null if the request is unknown.
  RequestRecord* Find(RequestId id);
  // Returns the record of a request whose latest attempt is `attempt` and has not ended; otherwise null.
  RequestRecord* FindInFlight(RequestId id, unsigned attempt);
  // Returns the requests whose attempt in flight has neither started nor ended.
  const std::set<RequestId>& pending_starts() const { return pending_starts_; }

  // Records a new attempt on the node and returns the action that sends it. No attempt may be in flight.
  StartAttempt Start(RequestRecord* request, NodeRecord* node, Micros now);

  // Marks the request as running on the node. Its client already has the final answer.
  static void Recover(RequestRecord* request, NodeId node);

  // Records that the attempt in flight started or ended, so that its start is no longer pending.
  void StopPending(const RequestRecord& request, NodeRecord* node);

  // Records that the attempt in flight on `node` ended. `never_ran` must be true only if that is certain.
  void End(RequestRecord* request, NodeRecord* node, bool never_ran);

  // Removes a request that has its final answer and nothing in flight.
  void EraseIfDone(RequestId id);

 private:
  std::map<RequestId, RequestRecord> requests_;
  std::set<RequestId> pending_starts_;
};

}  // namespace mountflow

#endif  // MOUNTFLOW_SCHEDULER_REQUEST_TABLE_HPP_
