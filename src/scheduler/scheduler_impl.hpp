// The implementation of Scheduler: its parts and its event handlers. The public header describes thread
// safety and errors.
#ifndef MOUNTFLOW_SCHEDULER_SCHEDULER_IMPL_HPP_
#define MOUNTFLOW_SCHEDULER_SCHEDULER_IMPL_HPP_

#include <cstdint>
#include <utility>
#include <vector>

#include "mountflow/scheduler.hpp"
#include "scheduler/admission_rules.hpp"
#include "scheduler/attempt_rules.hpp"
#include "scheduler/list_staleness.hpp"
#include "scheduler/list_watch.hpp"
#include "scheduler/load_model.hpp"
#include "scheduler/node_ranking.hpp"
#include "scheduler/node_table.hpp"
#include "scheduler/outlier_ejection.hpp"
#include "scheduler/own_tasks.hpp"
#include "scheduler/priority_weights.hpp"
#include "scheduler/request_table.hpp"
#include "scheduler/slow_start.hpp"

namespace mountflow {

// Turns events into actions. Its parts know neither: the tables store state, each other part decides one
// concern, and the handlers below connect them. It has more than fifteen fields because it has one for each
// part.
class Scheduler::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed);

  void Handle(Micros now, const Event& event, std::vector<Action>* actions);

 private:
  void On(const NodeListUpdate& update);
  void On(const TaskSubmitted& submitted);
  void On(const TaskRecovered& recovered);
  void On(const TaskStarted& started);
  void On(const TaskProgress& progress);
  void On(const AttemptEnded& ended);
  void On(const TaskCancelled& cancelled);
  void On(const HealthCheckResult& result);
  void On(const MembershipChange& change);
  void On(const TimerFired& timer);

  // Subscribes to the node list.
  void WatchNodeList();
  // Updates, after a node list arrived, which own tasks it already shows.
  void ObserveOwnLoad();

  // Starts another attempt, or sends the final answer if no node may get one.
  void StartOrConclude(RequestRecord* request);
  // Sends an attempt of the request to the node; nothing else sends attempts. Returns false if a rule forbids
  // it.
  bool Start(RequestRecord* request, NodeRecord* node);
  // Sends the final answer, unless the request already has one.
  void Conclude(RequestRecord* request);
  // Handles an attempt that has neither started nor ended on a node that has not responded since it was sent.
  // Starts a health check where that is allowed. Once the node counts as silent, ejects it, and cancels the
  // attempt if another one is safe and possible. The cancellation comes first because the attempt may still
  // run.
  void CheckPendingStart(RequestRecord* request);

  // Updates the state of the node after an attempt ended on it. `may_have_copy` is true if an earlier
  // attempt of the request may have run.
  void UpdateNodeHealth(const AttemptEnded& ended, const RequestRecord& request, bool may_have_copy,
                        NodeRecord* node);
  // Updates the state of the node after it rejected `task`.
  void HandleRejection(RejectionReason reason, const Task& task, bool may_have_copy, NodeRecord* node);
  // Records a failure of the node, and logs the first one since its latest response.
  void RecordFailure(NodeRecord* node, const char* reason);

  // Returns the current state of the cluster, for one pick.
  ClusterState Cluster() const;
  void Emit(Action action) { actions_->push_back(std::move(action)); }

  const Settings settings_;
  const PriorityWeights weights_;
  GroupMembership group_;
  NodeTable nodes_;
  RequestTable requests_;
  OwnTasks own_tasks_;
  ListStaleness staleness_;
  ClusterStartRate start_rate_;
  ListWatch list_watch_;
  SlowStart slow_start_;
  LoadModel load_model_;
  OutlierEjection outlier_ejection_;
  AdmissionRules admission_rules_;
  AttemptRules attempt_rules_;
  NodeRanking ranking_;

  std::vector<Action>* actions_ = nullptr;  // output of the current Handle call
  Micros now_ = 0;
  Micros started_at_ = 0;             // time of the first event
  Micros list_at_ = 0;                // when the latest node list arrived; 0: none yet
  Micros logged_at_ = 0;              // time of the latest log line; 0: none yet
  bool starts_are_reported_ = false;  // nodes report running tasks, not just accepted ones
};

}  // namespace mountflow

#endif  // MOUNTFLOW_SCHEDULER_SCHEDULER_IMPL_HPP_
