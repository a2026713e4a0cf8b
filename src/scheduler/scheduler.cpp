// The event handlers of the scheduler. The public interface is include/mountflow/scheduler.hpp. Each concern
// is a class of its own in this directory. docs/design.md explains the decisions.
#include "mountflow/scheduler.hpp"

#include <algorithm>
#include <string>

#include "scheduler/scheduler_impl.hpp"
#include "scheduler/time_units.hpp"

namespace mountflow {
namespace {

// Interval of the tick, which checks for silent nodes, due node list calls and ended tasks to remove.
constexpr Micros kTickInterval = 100 * kMillisecond;
constexpr std::uint64_t kTickToken = 1;
// Ended tasks are stored until every node list shows their end, plus this margin.
constexpr Micros kEndedTaskMargin = 1 * kSecond;
// Time after which the record of a removed node is deleted, so that nodes that never return do not
// accumulate. It is much longer than any request is open, because a retry may be bound to the rack or zone of
// the first node.
constexpr Micros kGoneNodeRetention = 3600 * kSecond;
// Minimum interval between log lines.
constexpr Micros kLogInterval = 1 * kSecond;

}  // namespace

void Scheduler::Impl::Handle(Micros now, const Event& event, std::vector<Action>* actions) {
  now_ = std::max(now_, now);
  actions_ = actions;
  if (started_at_ == 0) {
    started_at_ = now_;
    slow_start_.set_scheduler_started_at(now_);
    Emit(SetTimer{now_ + kTickInterval, kTickToken});
  }
  std::visit([this](const auto& typed_event) { On(typed_event); }, event);
}

// ---- The node list, the group and the tick ----

void Scheduler::Impl::On(const NodeListUpdate& update) {
  if (update.kind == NodeListKind::kUnavailable) return list_watch_.NoteFailure(now_);
  list_watch_.NoteList(update.kind);
  if (settings_.list_on_request && update.kind == NodeListKind::kCached) WatchNodeList();
  for (NodeRecord* node : nodes_.Apply(update, now_)) {
    OutlierEjection::NoteRestart(&node->health, now_);
    AdmissionRules::NoteRestart(node);
  }
  const bool is_delta = update.kind == NodeListKind::kDelta;
  if (is_delta && settings_.list_has_free_capacity && list_at_ != 0 && now_ > list_at_) {
    staleness_.Learn(nodes_.nodes(), list_at_, now_);
    start_rate_.Learn(nodes_.nodes(), settings_, now_ - list_at_);
  }
  start_rate_.GuessIfUnknown(nodes_.nodes(), settings_);
  list_at_ = now_;
  ObserveOwnLoad();
  nodes_.ForgetUnneeded(now_, kGoneNodeRetention);
  nodes_.RefreshReady();
  load_model_.ChooseReferenceKind(nodes_.ready());
}

void Scheduler::Impl::ObserveOwnLoad() {
  const Micros observed_at = staleness_.ObservedAt(list_at_);
  const Micros forget_until = TimeBefore(now_, ListStaleness::MaxAge());
  for (auto& [id, node] : nodes_.nodes()) {
    AdmissionRules::NoteObserved(&node, observed_at);
    // A list without free capacity shows none of the own load.
    node.own_load.ObserveUntil(settings_.list_has_free_capacity ? observed_at : 0, forget_until);
  }
}

void Scheduler::Impl::WatchNodeList() {
  list_watch_.NoteCall();
  Emit(WatchNodes{});
}

void Scheduler::Impl::On(const MembershipChange& change) { group_.Update(change, now_); }

void Scheduler::Impl::On(const TimerFired& timer) {
  if (timer.token != kTickToken) return;
  Emit(SetTimer{now_ + kTickInterval, kTickToken});
  for (const RequestId id : requests_.pending_starts()) CheckPendingStart(requests_.Find(id));
  own_tasks_.ForgetEndedBefore(TimeBefore(now_, ListStaleness::Horizon() + kEndedTaskMargin), &nodes_);
  if (settings_.list_on_request && list_watch_.IsDue(now_, list_at_)) WatchNodeList();
}

// ---- Requests and their attempts ----

void Scheduler::Impl::On(const TaskSubmitted& submitted) {
  const Task& task = submitted.task;
  if (requests_.Find(task.request) != nullptr) return;  // duplicate event
  if (task.task_class >= settings_.classes.size() || !IsAmount(task.cores) || !IsAmount(task.memory)) {
    return Emit(RejectTask{task.request, 0});  // invalid for every node, and nothing has run
  }
  StartOrConclude(requests_.Add(task, weights_.Of(task.task_class)));
  requests_.EraseIfDone(task.request);
}

void Scheduler::Impl::On(const TaskRecovered& recovered) {
  Task task = recovered.task;
  if (task.task_class >= settings_.classes.size()) return;
  if (!IsAmount(task.cores)) task.cores = 0.0;
  if (!IsAmount(task.memory)) task.memory = 0.0;
  RequestRecord* request = requests_.Add(task, weights_.Of(task.task_class));
  if (request == nullptr) return;
  RequestTable::Recover(request, recovered.node);
  own_tasks_.Start(task.service, request->load, &nodes_.FindOrAdd(recovered.node));
}

void Scheduler::Impl::On(const TaskStarted& started) {
  RequestRecord* request = requests_.FindInFlight(started.request, started.attempt);
  if (request == nullptr) return;
  NodeRecord& node = nodes_.FindOrAdd(request->node);
  // An acceptance arrives within milliseconds, but the task may start seconds later. If nodes report starts,
  // the task remains pending until its own start is reported.
  if (!starts_are_reported_) requests_.StopPending(*request, &node);
  request->started = true;
  request->answered = true;
  OutlierEjection::NoteAlive(&node.health, now_);
  if (settings_.started_means_running) OutlierEjection::ClearClass(&node.health, request->task.task_class);
}

void Scheduler::Impl::On(const TaskProgress& progress) {
  const RequestRecord* request = requests_.Find(progress.request);
  if (request == nullptr || !request->in_flight) return;
  NodeRecord& node = nodes_.FindOrAdd(request->node);
  if (progress.kind == ProgressKind::kRunning) {
    starts_are_reported_ = true;
    requests_.StopPending(*request, &node);
  }
  OutlierEjection::NoteAlive(&node.health, now_);
}

void Scheduler::Impl::On(const AttemptEnded& ended) {
  RequestRecord* request = requests_.FindInFlight(ended.request, ended.attempt);
  if (request == nullptr) return;
  NodeRecord& node = nodes_.FindOrAdd(request->node);
  const bool may_have_copy = request->first_effect.may_have_run;
  const bool never_ran = AttemptRules::NeverRan(ended.result);
  requests_.End(request, &node, never_ran);
  if (never_ran && !request->started) {
    own_tasks_.Remove(request->task.service, request->load, &node);
  } else {
    own_tasks_.End(request->task.service, request->load, &node, now_);
  }
  LoadModel::NoteReport(ended.report, &node, now_);
  UpdateNodeHealth(ended, *request, may_have_copy, &node);
  if (ended.request_closed) request->answered = true;
  if (ended.result == AttemptResult::kNotSent) {
    Conclude(request);
  } else if (!request->answered) {
    StartOrConclude(request);
  }
  requests_.EraseIfDone(ended.request);
}

void Scheduler::Impl::On(const TaskCancelled& cancelled) {
  RequestRecord* request = requests_.Find(cancelled.request);
  if (request == nullptr) return;
  request->answered = true;
  requests_.EraseIfDone(cancelled.request);
}

void Scheduler::Impl::StartOrConclude(RequestRecord* request) {
  NodeRecord* node = attempt_rules_.MayRetry(*request, now_) ? ranking_.Pick(*request, Cluster()) : nullptr;
  if (node == nullptr || !Start(request, node)) Conclude(request);
}

bool Scheduler::Impl::Start(RequestRecord* request, NodeRecord* node) {
  const Task& task = request->task;
  const DomainCounts counts = admission_rules_.CountByDomain(task, own_tasks_.OfService(task.service));
  if (!attempt_rules_.MayStart(*request, now_) || !admission_rules_.Allows(*node, *request, counts, now_)) {
    return false;
  }
  slow_start_.RecordAttempt(node, now_);
  const StartAttempt start = requests_.Start(request, node, now_);
  own_tasks_.Start(task.service, request->load, node);
  Emit(start);
  return true;
}

void Scheduler::Impl::Conclude(RequestRecord* request) {
  if (request->answered) return;
  request->answered = true;
  Emit(attempt_rules_.FinalAnswer(*request));
}

void Scheduler::Impl::CheckPendingStart(RequestRecord* request) {
  NodeRecord& node = nodes_.FindOrAdd(request->node);
  if (!request->in_flight || request->started || request->cancel_requested) return;
  if (node.health.last_alive_at >= request->sent_at) return;
  const Micros elapsed = now_ - request->sent_at;
  if (outlier_ejection_.IsCheckDue(node.health, elapsed, now_)) {
    OutlierEjection::NoteCheckStart(&node.health, now_);
    Emit(StartHealthCheck{request->node});
  }
  if (!outlier_ejection_.IsSilent(node.health, elapsed)) return;
  RecordFailure(&node, "no answer to an attempt");
  if (!attempt_rules_.MayCancelForRetry(*request)) return;
  RequestRecord as_if_ended = *request;
  if (!as_if_ended.first_effect.may_have_run) {
    as_if_ended.first_effect = {true, request->sent_at, request->node};
  }
  if (ranking_.Pick(as_if_ended, Cluster()) == nullptr) return;
  request->cancel_requested = true;
  Emit(CancelAttempt{request->task.request, request->attempts_made - 1});
}

// ---- Health of nodes ----

void Scheduler::Impl::UpdateNodeHealth(const AttemptEnded& ended, const RequestRecord& request,
                                       bool may_have_copy, NodeRecord* node) {
  NodeHealth& health = node->health;
  const unsigned task_class = request.task.task_class;
  switch (ended.result) {
    case AttemptResult::kCompleted:
      OutlierEjection::ClearClass(&health, task_class);
      return OutlierEjection::NoteAlive(&health, now_);
    case AttemptResult::kError:
      OutlierEjection::FailClass(&health, task_class, now_);
      return OutlierEjection::NoteAlive(&health, now_);
    case AttemptResult::kRejected:
      return HandleRejection(ended.reason, request.task, may_have_copy, node);
    case AttemptResult::kTimedOut:  // a node that responded since fails only this class
      if (health.last_alive_at < request.sent_at) return RecordFailure(node, "no answer by the deadline");
      return OutlierEjection::FailClass(&health, task_class, now_);
    case AttemptResult::kUnreachable:
      return RecordFailure(node, "unreachable");
    case AttemptResult::kLost:  // without a reason, the node has likely failed and is still listed
      if (ended.reason == RejectionReason::kUnspecified) return RecordFailure(node, "lost a running task");
      OutlierEjection::NoteAlive(&health, now_);
      if (ended.reason == RejectionReason::kDrained) AdmissionRules::NoteLikelyDraining(node, now_);
      return;
    case AttemptResult::kCancelled:
    case AttemptResult::kNotSent:
      return;
  }
}

void Scheduler::Impl::HandleRejection(RejectionReason reason, const Task& task, bool may_have_copy,
                                      NodeRecord* node) {
  // A hung node reports a full queue for as long as it hangs, while its list entry looks emptier and emptier.
  // The rejection therefore counts as a failure, not as a response. A node that is only busy responds again
  // soon.
  if (reason == RejectionReason::kQueueFull) return RecordFailure(node, "its queue of attempts is full");
  OutlierEjection::NoteAlive(&node->health, now_);
  if (reason != RejectionReason::kNotAccepting) {
    return AdmissionRules::NoteCapacityRejection(task, node, now_);
  }
  // If an earlier attempt may have run, the node may have rejected this one because it already has the task.
  if (!may_have_copy) AdmissionRules::NoteLikelyDraining(node, now_);
}

void Scheduler::Impl::RecordFailure(NodeRecord* node, const char* reason) {
  if (!OutlierEjection::RecordFailure(&node->health, now_)) return;
  if (logged_at_ != 0 && now_ < logged_at_ + kLogInterval) return;
  logged_at_ = now_;
  Emit(LogLine{"node " + std::to_string(node->entry.node) + " ejected: " + reason});
}

void Scheduler::Impl::On(const HealthCheckResult& result) {
  NodeRecord* node = nodes_.Find(result.node);
  if (node == nullptr) return;
  LoadModel::NoteReport(result.report, node, now_);
  OutlierEjection::NoteCheckResult(&node->health, result.answered, now_);
}

}  // namespace mountflow
