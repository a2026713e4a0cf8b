// Jobs restored from the records of an earlier incarnation of the daemon.
#include <algorithm>
#include <utility>

#include "job_manager/job_manager.hpp"

namespace mountflow::job_manager {
namespace {

constexpr Micros kMaxRequestSpread = 1'000'000;
constexpr Micros kRequestSpreadDivisor = 4;  // the spread is at most the remaining time divided by this

// Sets `*index` to the position of a configured name. Returns false, and sets `*index` to 0, if the name is
// not configured. An empty name is accepted and leaves the index unchanged.
bool ResolveName(const std::vector<std::string>& names, const std::string& name, unsigned* index) {
  if (name.empty()) return true;
  const auto it = std::find(names.begin(), names.end(), name);
  const bool found = it != names.end();
  *index = found ? static_cast<unsigned>(it - names.begin()) : 0;
  return found;
}

}  // namespace

tl::expected<void, JournalError> JobManager::Restore(std::string_view record) {
  auto read = ReadRecord(record);
  if (!read) return tl::unexpected(std::move(read.error()));
  switch (read->kind) {
    case RecordKind::kForgotten:
      jobs_.Discard(read->job);
      restored_states_.erase(read->job);
      break;
    case RecordKind::kSpec:
      jobs_.FindOrCreate(read->job).spec = std::make_unique<JobSpec>(std::move(read->spec));
      break;
    case RecordKind::kState:
      restored_states_[read->job] = std::move(read->state);
      break;
  }
  jobs_.ReserveNumbersUpTo(read->job);
  return {};
}

tl::expected<void, JournalError> JobManager::FinishRestore(Micros now) {
  AdvanceTime(now);
  jobs_.DiscardIf([this](std::uint64_t number) { return restored_states_.count(number) == 0; });
  std::vector<std::pair<Micros, std::uint64_t>> ended;
  for (const auto& [number, state] : restored_states_) {
    Job* job = jobs_.Find(number);
    if (job == nullptr) continue;
    static_cast<JobStatus&>(*job) = state;
    if (auto resolved = ResolveNames(job); !resolved) return resolved;
    RestoreJob(job, state, &ended);
  }
  std::sort(ended.begin(), ended.end());
  for (const auto& [ended_at, number] : ended) jobs_.AppendToHistory(number);
  if (!ended.empty()) {
    timers_.Add(std::max(now_, ended.front().first + options_.history_retention), HistoryExpiry{});
  }
  Log({.event = logging::LogEvent::kRestored,
       .fields = {{logging::kJobsField, jobs_.live()}, {logging::kCompleteJobsField, jobs_.history_size()}}});
  restored_states_.clear();
  return {};
}

// The class and tenant indexes of the record are not used: if the order of the configured queues has changed,
// they could turn a task that is not idempotent into an idempotent one.
tl::expected<void, JournalError> JobManager::ResolveNames(Job* job) {
  JobSpec& spec = *job->spec;
  const auto missing = [this, job](JournalErrorCode code, const std::string& name) {
    return tl::unexpected(JournalError{.code = code, .job_id = JobId(job->number), .detail = name});
  };
  if (!ResolveName(options_.classes, spec.queue, &spec.task_class) && !job->IsComplete()) {
    return missing(JournalErrorCode::kUnknownQueue, spec.queue);
  }
  if (!ResolveName(options_.tenants, spec.account, &spec.tenant) && !job->IsComplete()) {
    return missing(JournalErrorCode::kUnknownAccount, spec.account);
  }
  return {};
}

void JobManager::RestoreJob(Job* job, const StateRecord& state,
                            std::vector<std::pair<Micros, std::uint64_t>>* ended) {
  job->restored = true;
  jobs_.Count(*job);
  keys_.Add(job->number, *job->spec);
  if (job->IsComplete()) {
    ended->emplace_back(job->ended, job->number);
    return;
  }
  for (const AttemptRecord& record : state.attempts) RestoreAttempt(job, record);
  const bool is_running = std::any_of(job->attempts.begin(), job->attempts.end(), [](const Attempt& attempt) {
    return attempt.phase == AttemptPhase::kRunning && !attempt.outcome_reported;
  });
  if (is_running || job->closing || job->state == JobState::kHeld) return;
  WaitForRestoredAttempts(job);
}

void JobManager::RestoreAttempt(Job* job, const AttemptRecord& record) {
  const AttemptId id{job->number, record.number};
  Attempt attempt;
  attempt.number = record.number;
  attempt.restored = true;
  attempt.outcome_reported = record.outcome_reported;
  attempt.stopping = record.stopping;
  // Messages in flight were lost with the earlier incarnation, so an attempt is in doubt unless the node had
  // accepted it.
  const bool is_running = record.phase == AttemptPhase::kRunning;
  attempt.phase = is_running ? AttemptPhase::kRunning : AttemptPhase::kInDoubt;
  attempt.node = NodeIdOf(record.node);
  attempt.node_started = record.node_started;
  attempt.sent = record.sent;
  attempt.deadline = record.deadline;
  // Reports a task that runs or may run before its node confirms it. Otherwise it would not count towards the
  // topology spread of its service until then.
  if (!attempt.outcome_reported && !attempt.stopping) {
    attempt.reported_as_recovered = true;
    attempt.request = ReportRecovered(*job, attempt.node);
  }
  job->attempts.push_back(attempt);
  if (attempt.stopping) stopping_.Add(id, now_);
  NodeRecord& node = nodes_.FindOrCreate(attempt.node);
  node.attempts.insert(id);
  node.awaited = true;
  if (node.listed.name.empty()) node.listed.name = record.node;
  node.listed.started = std::max(node.listed.started, record.node_started);
}

// Makes the job wait until no attempt of it can run and a node list has been received. It is then requested
// again, if the wait of its client has not ended. The requests of restored jobs are spread over time.
void JobManager::WaitForRestoredAttempts(Job* job) {
  const Micros start = std::max(now_, job->spec->due);
  StartClientWait(job, start);
  job->awaiting_attempts = true;
  if (job->comment.empty()) job->comment = "asked for before a restart of the daemon";
  SetState(job, JobState::kWaiting);
  ++job->timer_generation;
  const Micros left = job->deadline > start ? job->deadline - start : 0;
  const Micros spread = std::min(kMaxRequestSpread, left / kRequestSpreadDivisor);
  timers_.Add(start + static_cast<Micros>(static_cast<double>(spread) * random_.Draw()),
              JobWakeup{job->number, job->timer_generation});
}

}  // namespace mountflow::job_manager
