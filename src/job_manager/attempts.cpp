// Carries out the actions of the scheduler, and handles messages from nodes about attempts.
#include <algorithm>
#include <limits>
#include <optional>

#include "job_manager/backoff.hpp"
#include "job_manager/job_manager.hpp"
#include "job_manager/reasons.hpp"

namespace mountflow::job_manager {
namespace {

// If the end of a stopped attempt is not reported within this time, the stop request is sent again, because
// the node may have restarted and lost the report.
constexpr Micros kStopRecheckDelay = 5'000'000;

// Reports whether the process of a node that was started at `process_started` is the one that got the
// attempt. Two starts are compared for equality, because the clock of a node may go back between two
// processes. If it is not known which process got the attempt, one that was started after the attempt was
// sent is another one.
bool GotAttempt(const std::optional<Micros>& process_started, const Attempt& attempt) {
  if (!process_started) return false;
  if (attempt.process_started) return *process_started == *attempt.process_started;
  return *process_started <= attempt.sent;
}

struct EndOutcome {
  AttemptResult result = AttemptResult::kCompleted;
  RejectionReason reason = RejectionReason::kUnspecified;
};

EndOutcome OutcomeOf(EndReason reason) {
  switch (reason) {
    case EndReason::kExited:
      return {AttemptResult::kCompleted};
    case EndReason::kKilled:
      return {AttemptResult::kCancelled};
    case EndReason::kEvicted:
      return {AttemptResult::kLost, RejectionReason::kEvicted};
    case EndReason::kPreempted:
      return {AttemptResult::kLost, RejectionReason::kPreempted};
    case EndReason::kDrained:
      return {AttemptResult::kLost, RejectionReason::kDrained};
    case EndReason::kError:
      return {AttemptResult::kError};
    case EndReason::kLost:
      return {AttemptResult::kLost};
  }
  return {};
}

}  // namespace

// ---- Actions of the scheduler ----

Job* JobManager::JobOfRequest(RequestId request) {
  const auto number = scheduler_.JobOf(request);
  return number ? jobs_.Find(*number) : nullptr;
}

void JobManager::CarryOut(const StartAttempt& action) {
  Job* job = JobOfRequest(action.request);
  if (job == nullptr) return;
  Attempt attempt;
  attempt.number = ++job->attempts_made;
  attempt.request = action.request;
  attempt.request_attempt = static_cast<std::uint16_t>(action.attempt);
  attempt.node = action.node;
  attempt.sent = now_;
  attempt.deadline = std::min(action.deadline, job->deadline);
  job->attempts.push_back(attempt);
  MarkStateChanged(*job);
  NodeRecord* node = nodes_.Find(action.node);
  if (node == nullptr || !node->present) {
    ReportOutcome(job, &job->attempts.back(), {AttemptResult::kUnreachable});
    return EndAttempt(job, attempt.number);
  }
  const AttemptId id{job->number, attempt.number};
  job->attempts.back().node_started = node->listed.started;
  job->attempts.back().process_started = node->process_started;
  node->attempts.insert(id);
  outputs_.emplace_back(PrepareAttempt{id, action.node});
  timers_.Add(attempt.deadline, AttemptDeadline{id});
}

void JobManager::CarryOut(const CancelAttempt& action) {
  Job* job = JobOfRequest(action.request);
  if (job == nullptr) return;
  for (Attempt& attempt : job->attempts) {
    if (attempt.request != action.request || attempt.request_attempt != action.attempt) continue;
    if (attempt.outcome_reported) continue;
    if (attempt.phase == AttemptPhase::kPreparing) return AbandonPrepared(job, &attempt);
    if (attempt.phase == AttemptPhase::kRunning) return;  // the node had accepted it before the cancellation
    ReportOutcome(job, &attempt, {AttemptResult::kCancelled});
    return StopUntilAnswered(job, &attempt);
  }
}

void JobManager::CarryOut(const RejectTask& action) {
  Job* job = JobOfRequest(action.request);
  if (job == nullptr) return;
  CloseRequest(job);
  HandleRequestEnd(job, retry::RequestResult::kRejected, action.retry_after,
                   job->comment.empty() ? "refused by the scheduler: no node qualifies now" : job->comment);
}

void JobManager::CarryOut(const FailTask& action) {
  Job* job = JobOfRequest(action.request);
  if (job == nullptr) return;
  CloseRequest(job);
  HandleRequestEnd(job, retry::RequestResult::kFailed, 0,
                   "no certain answer from a node in time; it may have run");
}

void JobManager::CarryOut(const MigrateTask& action) {
  Job* job = JobOfRequest(action.request);
  if (job == nullptr) return;
  if (!job->spec->rerunnable) {
    return Log({.event = logging::LogEvent::kMigrationSkipped,
                .job = job->number,
                .node = job->node,
                .text = "not rerunnable"});
  }
  for (Attempt& attempt : job->attempts) {
    if (attempt.request != action.request || attempt.phase != AttemptPhase::kRunning) continue;
    job->rerun = true;
    return StopUntilAnswered(job, &attempt);
  }
}

void JobManager::CarryOut(const SetTimer& action) { timers_.Add(action.at, SchedulerTimer{action.token}); }

void JobManager::CarryOut(const StartHealthCheck& action) {
  outputs_.emplace_back(CheckNodeHealth{action.node});
}

void JobManager::CarryOut(const WatchNodes&) { outputs_.emplace_back(ReadNodeList{true}); }

void JobManager::CarryOut(const ListNodes&) { outputs_.emplace_back(ReadNodeList{false}); }

void JobManager::CarryOut(const LogLine& action) {
  Log({.event = logging::LogEvent::kScheduler, .text = action.text});
}

// ---- Attempts ----

JobManager::FoundAttempt JobManager::FindAttempt(const AttemptId& id) {
  Job* job = jobs_.Find(id.job);
  if (job == nullptr) return {};
  for (Attempt& attempt : job->attempts) {
    if (attempt.number == id.number) return {job, &attempt};
  }
  return {job, nullptr};
}

void JobManager::ReportOutcome(Job* job, Attempt* attempt, const AttemptOutcome& outcome) {
  if (attempt->outcome_reported) return;
  attempt->outcome_reported = true;
  if (attempt->restored && !attempt->reported_as_recovered) return;  // the scheduler does not know it
  if (attempt->reported_as_recovered) {
    attempt->reported_as_recovered = false;
    if (job->request != attempt->request) scheduler_.CloseRequest(attempt->request);
  }
  AttemptEnded ended;
  ended.request = attempt->request;
  ended.attempt = attempt->request_attempt;
  ended.node = attempt->node;
  ended.elapsed = now_ - attempt->sent;
  ended.request_closed = job->deleted || attempt->phase == AttemptPhase::kRunning;
  ended.result = outcome.result;
  ended.reason = outcome.reason;
  ended.report = outcome.report;
  scheduler_.QueueEvent(ended);
}

void JobManager::EndAttempt(Job* job, std::uint32_t number) {
  const AttemptId id{job->number, number};
  const auto it = std::find_if(job->attempts.begin(), job->attempts.end(),
                               [number](const Attempt& attempt) { return attempt.number == number; });
  if (it == job->attempts.end()) return;
  if (it->reported_as_recovered) ReportOutcome(job, &*it, {AttemptResult::kCancelled});
  if (NodeRecord* node = nodes_.Find(it->node); node != nullptr) node->attempts.erase(id);
  stopping_.Remove(id);
  job->attempts.erase(it);
  MarkStateChanged(*job);
}

void JobManager::NoteProcess(NodeId id, const std::optional<Micros>& process_started) {
  NodeRecord* node = nodes_.Find(id);
  if (node != nullptr && process_started) node->process_started = process_started;
}

void JobManager::EndLostAttempt(Job* job, Attempt* attempt) {
  ReportOutcome(job, attempt, {AttemptResult::kLost});
  EndAttempt(job, attempt->number);
  // A job that waits for the end of its attempts has no request whose end would decide about a retry.
  const bool must_not_run_again =
      job->awaiting_attempts && !job->closing && IdempotencyOf(*job) == Idempotency::kNotIdempotent;
  if (!must_not_run_again) return CompleteIfClosed(job);
  GiveAnswer(job, FinalAnswer::kFailed, kMayHaveRunAtLostNode);
  Close(job);
}

void JobManager::AbandonPrepared(Job* job, Attempt* attempt) {
  const std::uint32_t number = attempt->number;
  outputs_.emplace_back(AbandonAttempt{{job->number, number}, attempt->node});
  ReportOutcome(job, attempt, {AttemptResult::kUnreachable});
  EndAttempt(job, number);
}

void JobManager::StopUntilAnswered(Job* job, Attempt* attempt) {
  const AttemptId id{job->number, attempt->number};
  attempt->stopping = true;
  MarkStateChanged(*job);
  stopping_.Add(id, now_);
  outputs_.emplace_back(StopAttempt{id, attempt->node});
  if (stopping_.size() <= options_.limits.stopping_attempts) return;
  const AttemptId oldest = stopping_.Oldest();
  const FoundAttempt found = FindAttempt(oldest);
  if (found.attempt == nullptr || oldest == id) return;
  Log({.event = logging::LogEvent::kAttemptAbandoned,
       .job = oldest.job,
       .attempt = oldest.number,
       .text = "too many attempts wait to be stopped"});
  EndAttempt(found.job, oldest.number);
  CompleteIfClosed(found.job);
}

void JobManager::ScheduleStopOrQueryRetry(const AttemptId& id, Attempt* attempt) {
  const Micros delay = BackoffDelay(options_.stop_retry_delay, attempt->failed_stops_or_queries);
  timers_.Add(now_ + delay, StopOrQueryRetry{id});
  if (attempt->failed_stops_or_queries < std::numeric_limits<std::uint8_t>::max())
    ++attempt->failed_stops_or_queries;
}

void JobManager::HandleLostTask(Job* job, Attempt* attempt, const AttemptOutcome& outcome,
                                const std::string& reason) {
  const std::uint32_t number = attempt->number;
  // The end of an abandoned attempt must not close the request: another attempt of it may be in flight at
  // another node.
  const bool is_current = !attempt->outcome_reported;
  ReportOutcome(job, attempt, outcome);
  if (is_current && job->request == attempt->request) CloseRequest(job);
  EndAttempt(job, number);
  if (!is_current || job->closing) return CompleteIfClosed(job);
  Log({.event = logging::LogEvent::kLost,
       .job = job->number,
       .attempt = number,
       .node = job->node,
       .text = reason});
  HandleRequestEnd(job, retry::RequestResult::kLost, 0, reason);
}

// ---- Messages from nodes ----

void JobManager::Handle(const AttemptPrepared& message) {
  const auto [job, attempt] = FindAttempt(message.attempt);
  if (attempt == nullptr || attempt->phase != AttemptPhase::kPreparing || attempt->outcome_reported) return;
  // A daemon that was suspended must not commit an attempt after its deadline, because the client may have
  // submitted the job to another daemon meanwhile.
  if (now_ >= attempt->deadline) return Fire(AttemptDeadline{message.attempt});
  attempt->phase = AttemptPhase::kCommitting;
  outputs_.emplace_back(CommitAttempt{message.attempt, attempt->node});
}

void JobManager::Handle(const AttemptRejected& message) {
  const auto [job, attempt] = FindAttempt(message.attempt);
  if (attempt == nullptr || attempt->phase == AttemptPhase::kRunning) return;
  if (!attempt->outcome_reported) {
    job->comment = BoundedReason("node " + nodes_.NameOf(attempt->node, "?") + ": " + message.reason);
  }
  Log({.event = logging::LogEvent::kAttemptRejected,
       .job = job->number,
       .attempt = message.attempt.number,
       .node = nodes_.NameOf(attempt->node),
       .text = message.reason});
  // An attempt cannot have run before its commit, even if the node reports an error.
  const bool may_have_run = message.error && attempt->phase != AttemptPhase::kPreparing;
  ReportOutcome(
      job, attempt,
      {may_have_run ? AttemptResult::kError : AttemptResult::kRejected, message.cause, message.report});
  EndAttempt(job, message.attempt.number);
  CompleteIfClosed(job);
}

void JobManager::Handle(const AttemptCommitted& message) {
  const auto [job, attempt] = FindAttempt(message.attempt);
  if (attempt == nullptr || attempt->phase == AttemptPhase::kRunning) return;
  attempt->phase = AttemptPhase::kRunning;
  MarkStateChanged(*job);
  if (attempt->outcome_reported) return;  // abandoned: it is being stopped, and the node will report its end
  job->node = nodes_.NameOf(attempt->node);
  job->placed = now_;
  job->retry_state.TaskStarted();
  job->awaiting_attempts = false;
  SetState(job, JobState::kRunning);
  if (attempt->restored) {
    ConfirmRestored(job, attempt);
  } else {
    scheduler_.QueueEvent(
        TaskStarted{attempt->request, attempt->request_attempt, attempt->node, now_ - attempt->sent});
  }
  GiveAnswer(job, FinalAnswer::kStarted, "placed on " + job->node);
}

void JobManager::Handle(const AttemptDisconnected& message) {
  const auto [job, attempt] = FindAttempt(message.attempt);
  if (attempt == nullptr || attempt->phase == AttemptPhase::kRunning) return;
  if (!message.sent) {
    ReportOutcome(job, attempt, {AttemptResult::kUnreachable});
    EndAttempt(job, message.attempt.number);
    return CompleteIfClosed(job);
  }
  attempt->phase = AttemptPhase::kInDoubt;
  if (!attempt->stopping) outputs_.emplace_back(QueryAttempt{message.attempt, attempt->node});
}

void JobManager::Handle(const QueryAnswered& message) {
  if (message.found) return Handle(AttemptCommitted{message.attempt});
  const auto [job, attempt] = FindAttempt(message.attempt);
  if (attempt == nullptr || attempt->phase != AttemptPhase::kInDoubt) return;
  NoteProcess(attempt->node, message.process_started);
  if (!GotAttempt(message.process_started, *attempt)) return EndLostAttempt(job, attempt);
  ReportOutcome(job, attempt, {AttemptResult::kUnreachable});
  EndAttempt(job, message.attempt.number);
  CompleteIfClosed(job);
}

void JobManager::Handle(const QueryFailed& message) {
  Attempt* attempt = FindAttempt(message.attempt).attempt;
  if (attempt == nullptr || attempt->phase != AttemptPhase::kInDoubt || attempt->stopping) return;
  ScheduleStopOrQueryRetry(message.attempt, attempt);
}

void JobManager::Handle(const StopAnswered& message) {
  const auto [job, attempt] = FindAttempt(message.attempt);
  if (attempt == nullptr || !attempt->stopping) return;
  if (message.known) return timers_.Add(now_ + kStopRecheckDelay, StopOrQueryRetry{message.attempt});
  if (attempt->phase == AttemptPhase::kRunning && !attempt->outcome_reported) {
    return HandleLostTask(job, attempt, {AttemptResult::kLost}, kUnknownToNode);
  }
  NoteProcess(attempt->node, message.process_started);
  if (!GotAttempt(message.process_started, *attempt)) return EndLostAttempt(job, attempt);
  EndAttempt(job, message.attempt.number);
  CompleteIfClosed(job);
}

void JobManager::Handle(const StopFailed& message) {
  Attempt* attempt = FindAttempt(message.attempt).attempt;
  if (attempt == nullptr || !attempt->stopping) return;
  ScheduleStopOrQueryRetry(message.attempt, attempt);
}

void JobManager::Handle(const AttemptFinished& message) {
  FoundAttempt found = FindAttempt(message.attempt);
  if (found.attempt == nullptr) return;
  if (message.started != 0 && message.ended >= message.started) {
    const JobSpec& spec = *found.job->spec;
    outputs_.emplace_back(ResourceUsage{message.attempt, found.attempt->node, spec.task_class, spec.tenant,
                                        spec.cores, spec.memory, message.started, message.ended});
  }
  // The report of the end may arrive before the answer to the commit.
  if (found.attempt->phase != AttemptPhase::kRunning) Handle(AttemptCommitted{message.attempt});
  found = FindAttempt(message.attempt);
  const auto [job, attempt] = found;
  if (attempt == nullptr) return;
  const EndOutcome end = OutcomeOf(message.reason);
  const AttemptOutcome outcome{end.result, end.reason, message.report};
  if (!attempt->outcome_reported) {
    job->has_exit = true;
    job->exit_status = message.exit_status;
  }
  if (end.result != AttemptResult::kLost && (!job->rerun || job->deleted)) {
    return FinishTask(job, attempt, outcome, message);
  }
  if (!attempt->outcome_reported) job->rerun = false;
  HandleLostTask(job, attempt, outcome,
                 message.text.empty() ? "lost at the node" : BoundedReason(message.text));
}

void JobManager::FinishTask(Job* job, Attempt* attempt, const AttemptOutcome& outcome,
                            const AttemptFinished& message) {
  const bool is_current = !attempt->outcome_reported;
  ReportOutcome(job, attempt, outcome);
  if (is_current && job->request == attempt->request) CloseRequest(job);
  EndAttempt(job, message.attempt.number);
  // An abandoned attempt has ended, which may complete a job that is closing.
  if (!is_current) return CompleteIfClosed(job);
  job->comment = message.text.empty() ? "ended with status " + std::to_string(message.exit_status)
                                      : BoundedReason(message.text);
  Close(job);
}

void JobManager::Handle(const NodeHealthChecked& message) {
  scheduler_.QueueEvent(HealthCheckResult{message.node, message.answered, message.elapsed, message.report});
}

}  // namespace mountflow::job_manager
