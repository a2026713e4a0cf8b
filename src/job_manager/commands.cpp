// Commands of users and operators.
#include <algorithm>
#include <utility>

#include "job_manager/job_manager.hpp"

namespace mountflow::job_manager {

tl::expected<Job*, CommandResult> JobManager::FindManaged(std::uint64_t number, const std::string& user) {
  Job* job = jobs_.Find(number);
  if (job == nullptr) return tl::unexpected(CommandResult::kUnknownJob);
  if (!user.empty() && job->spec->user != user) return tl::unexpected(CommandResult::kPermission);
  if (job->IsComplete()) return tl::unexpected(CommandResult::kBadState);
  return job;
}

// The scheduler expects one outcome for each attempt in flight, and receives all of them here. Whether a node
// has accepted an attempt meanwhile is determined without the scheduler.
void JobManager::CancelRequest(std::uint64_t number) {
  Job* job = jobs_.Find(number);
  scheduler_.QueueEvent(TaskCancelled{job->request});
  const std::vector<Attempt> in_flight = job->attempts;
  CloseRequest(job);
  for (const Attempt& copy : in_flight) {
    Attempt* attempt = FindAttempt({number, copy.number}).attempt;
    if (attempt == nullptr || attempt->outcome_reported) continue;
    if (attempt->phase == AttemptPhase::kPreparing) {
      AbandonPrepared(job, attempt);
    } else {
      ReportOutcome(job, attempt, {AttemptResult::kCancelled});
      StopUntilAnswered(job, attempt);
    }
  }
}

CommandResult JobManager::Delete(Micros now, std::uint64_t number, const std::string& user) {
  AdvanceTime(now);
  const auto managed = FindManaged(number, user);
  if (!managed) return managed.error();
  Job* job = *managed;
  if (job->deleted) return CommandResult::kOk;
  job->deleted = true;
  MarkStateChanged(*job);
  job->rerun = false;
  job->awaiting_attempts = false;
  ++job->timer_generation;
  key_searches_.Stop(number);
  Log({.event = logging::LogEvent::kDeleted,
       .job = number,
       .fields = {{logging::kUserField, user.empty() ? std::string("operator") : user}}});
  const bool is_running =
      std::any_of(job->attempts.begin(), job->attempts.end(), [job](const Attempt& attempt) {
        return attempt.phase == AttemptPhase::kRunning && attempt.request == job->request;
      });
  if (job->request != 0 && !is_running) {
    CancelRequest(number);
  } else {
    for (Attempt& attempt : job->attempts) {
      if (attempt.phase == AttemptPhase::kRunning && !attempt.stopping) StopUntilAnswered(job, &attempt);
    }
  }
  if (job->answer == FinalAnswer::kNone) GiveAnswer(job, FinalAnswer::kDeleted, "deleted by its owner");
  Close(job);
  RunScheduler();
  return CommandResult::kOk;
}

CommandResult JobManager::Hold(Micros now, std::uint64_t number, const std::string& user,
                               const std::string& types) {
  AdvanceTime(now);
  const auto managed = FindManaged(number, user);
  if (!managed) return managed.error();
  Job* job = *managed;
  if (job->state == JobState::kRunning || job->state == JobState::kExiting) return CommandResult::kBadState;
  journal_.MarkSpecChanged(number);
  std::string& holds = job->spec->hold;
  for (const char type : types) {
    if (holds.find(type) == std::string::npos) holds.push_back(type);
  }
  // An open request continues; the hold takes effect before the next request.
  if (job->request == 0 && !holds.empty()) {
    ++job->timer_generation;
    key_searches_.Stop(number);
    SetState(job, JobState::kHeld);
  }
  return CommandResult::kOk;
}

CommandResult JobManager::Release(Micros now, std::uint64_t number, const std::string& user,
                                  const std::string& types) {
  AdvanceTime(now);
  const auto managed = FindManaged(number, user);
  if (!managed) return managed.error();
  Job* job = *managed;
  journal_.MarkSpecChanged(number);
  std::erase_if(job->spec->hold, [&types](char type) { return types.find(type) != std::string::npos; });
  if (job->state == JobState::kHeld) Advance(job);
  RunScheduler();
  return CommandResult::kOk;
}

CommandResult JobManager::Rerun(Micros now, std::uint64_t number, const std::string& user) {
  AdvanceTime(now);
  const auto managed = FindManaged(number, user);
  if (!managed) return managed.error();
  Job* job = *managed;
  if (job->state != JobState::kRunning) return CommandResult::kNotRunning;
  // A task that is not idempotent must not start again after it has run.
  if (!job->spec->rerunnable || IdempotencyOf(*job) == Idempotency::kNotIdempotent) {
    return CommandResult::kBadState;
  }
  for (Attempt& attempt : job->attempts) {
    if (attempt.phase != AttemptPhase::kRunning || attempt.stopping) continue;
    job->rerun = true;
    SetState(job, JobState::kExiting);
    StopUntilAnswered(job, &attempt);
  }
  RunScheduler();
  return CommandResult::kOk;
}

CommandResult JobManager::Signal(Micros now, std::uint64_t number, const std::string& user,
                                 const std::string& signal) {
  AdvanceTime(now);
  const auto managed = FindManaged(number, user);
  if (!managed) return managed.error();
  const Job* job = *managed;
  if (job->state != JobState::kRunning) return CommandResult::kNotRunning;
  for (const Attempt& attempt : job->attempts) {
    if (attempt.phase != AttemptPhase::kRunning) continue;
    outputs_.emplace_back(SignalAttempt{{number, attempt.number}, attempt.node, signal});
  }
  return CommandResult::kOk;
}

CommandResult JobManager::Alter(Micros now, std::uint64_t number, const std::string& user,
                                const std::function<bool(JobSpec*)>& change) {
  AdvanceTime(now);
  const auto managed = FindManaged(number, user);
  if (!managed) return managed.error();
  Job* job = *managed;
  if (job->request != 0 || job->state == JobState::kRunning || job->state == JobState::kExiting) {
    return CommandResult::kBadState;
  }
  JobSpec changed = *job->spec;
  if (!change(&changed)) return CommandResult::kBadValue;
  *job->spec = std::move(changed);
  journal_.MarkSpecChanged(number);
  job->changed = now_;
  if (!job->awaiting_attempts && key_searches_.Find(number) == nullptr) Advance(job);
  RunScheduler();
  return CommandResult::kOk;
}

}  // namespace mountflow::job_manager
