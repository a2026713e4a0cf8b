// The launch requests that the scheduler knows, and the state of their attempts. Bookkeeping only; it chooses
// nothing: AttemptRules says what a request may have.
#ifndef MOUNTFLOW_SCHEDULER_REQUEST_TABLE_HPP_
#define MOUNTFLOW_SCHEDULER_REQUEST_TABLE_HPP_

#include <map>
#include <set>

#include "mountflow/scheduler.hpp"
#include "scheduler/node_record.hpp"
#include "scheduler/request_record.hpp"

namespace mountflow {

// Invariant: a request has at most one attempt in flight, and each event of an attempt counts for the latest
// one alone. Records keep their address until EraseIfDone removes them.
class RequestTable {
 public:
  // Null where the request is known already. `weight`: the priority weight of its class.
  RequestRecord* Add(const Task& task, double weight);

  // Null where the request is unknown.
  RequestRecord* Find(RequestId id);
  // Null where `attempt` is not the latest of the request, or ended before.
  RequestRecord* FindInFlight(RequestId id, unsigned attempt);
  // Those whose attempt in flight neither started nor ended.
  const std::set<RequestId>& pending_starts() const { return pending_starts_; }

  // An attempt is sent to the node; none may be in flight.
  StartAttempt Start(RequestRecord* request, NodeRecord* node, Micros now);

  // The task was found running on the node: its request had its final answer before.
  static void Recover(RequestRecord* request, NodeId node);

  // The node started the attempt, or it ended: it no longer waits for its start.
  void StopPending(const RequestRecord& request, NodeRecord* node);

  // The attempt in flight at `node` ended; `never_ran` where that is certain.
  void End(RequestRecord* request, NodeRecord* node, bool never_ran);

  // Removes a request that has its final answer and nothing in flight.
  void EraseIfDone(RequestId id);

 private:
  std::map<RequestId, RequestRecord> requests_;
  std::set<RequestId> pending_starts_;
};

}  // namespace mountflow

#endif  // MOUNTFLOW_SCHEDULER_REQUEST_TABLE_HPP_
