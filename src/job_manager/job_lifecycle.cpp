// Requests of a job, its final answer, its completion, and the key search.
#include <xxhash.h>

#include <algorithm>

#include "job_manager/job_manager.hpp"
#include "job_manager/reasons.hpp"

namespace mountflow::job_manager {
namespace {

constexpr Micros kMaxClockDifference = 1'000'000;  // between the clocks of daemons and nodes
constexpr Micros kMinRoundDivisor = 8;  // a round of a key search takes at least the interval divided by this

std::uint64_t Hash(const std::string& text) { return XXH3_64bits(text.data(), text.size()); }

}  // namespace

Idempotency JobManager::IdempotencyOf(const Job& job) const {
  return options_.settings.classes[job.spec->task_class].idempotency;
}

Micros JobManager::ClientWait(const Job& job) const {
  return job.spec->client_wait != 0 ? job.spec->client_wait : options_.hard_limits[job.spec->task_class];
}

void JobManager::StartClientWait(Job* job, Micros start) {
  if (job->deadline != 0) return;
  job->deadline = start + ClientWait(*job);
  if (job->spec->client_deadline != 0) job->deadline = std::min(job->deadline, job->spec->client_deadline);
}

Task JobManager::MakeTask(const Job& job, RequestId request, Micros deadline) const {
  const JobSpec& spec = *job.spec;
  Task task;
  task.request = request;
  task.task_class = spec.task_class;
  task.tenant = spec.tenant;
  task.deadline = deadline;
  task.key = Hash(spec.key.empty() ? JobId(job.number) : QualifiedKey(spec.user, spec.key));
  task.service = Hash(spec.service);
  task.cores = spec.cores;
  task.memory = spec.memory;
  return task;
}

void JobManager::Advance(Job* job) {
  ++job->timer_generation;
  const JobSpec& spec = *job->spec;
  if (!spec.hold.empty()) return SetState(job, JobState::kHeld);
  if (spec.due > now_) {
    SetState(job, JobState::kWaiting);
    return timers_.Add(spec.due, JobWakeup{job->number, job->timer_generation});
  }
  if (spec.repeat && !spec.key.empty() && IdempotencyOf(*job) != Idempotency::kIdempotent) {
    return StartKeySearch(job);
  }
  Request(job);
}

void JobManager::Request(Job* job) {
  StartClientWait(job, now_);
  job->request = scheduler_.OpenRequest(job->number);
  job->awaiting_attempts = false;
  job->comment.clear();
  SetState(job, JobState::kQueued);
  const Micros latest = now_ + options_.hard_limits[job->spec->task_class];
  scheduler_.QueueEvent(TaskSubmitted{MakeTask(*job, job->request, std::min(latest, job->deadline))});
}

void JobManager::CloseRequest(Job* job) {
  scheduler_.CloseRequest(job->request);
  job->request = 0;
}

void JobManager::HandleRequestEnd(Job* job, retry::RequestResult end, Micros advised_wait,
                                  const std::string& reason) {
  job->comment = reason;
  if (job->closing) return CompleteIfClosed(job);
  retry::RequestEnded ended;
  ended.result = end;
  ended.idempotency = IdempotencyOf(*job);
  ended.rerunnable = job->spec->rerunnable;
  ended.unresolved_attempt = job->HasOpenAttempt();
  ended.retry_after = advised_wait;
  ended.now = now_;
  // A lost task is started again, so the client's wait begins again.
  if (end == retry::RequestResult::kLost)
    job->deadline = now_ + ClientWait(*job) + options_.retry_policy.reconciliation_wait;
  ended.deadline = job->deadline;
  ended.random_draw = random_.Draw();
  const retry::RetryDecision decision = job->retry_state.Decide(options_.retry_policy, ended);
  if (decision.action == retry::RetryAction::kGiveUp) {
    const bool rejected = end == retry::RequestResult::kRejected;
    std::string explained = reason;
    if (job->spec->rerunnable) explained += " (" + std::string(retry::Describe(decision.reason)) + ")";
    GiveAnswer(job, rejected ? FinalAnswer::kRejected : FinalAnswer::kFailed, explained);
    return Close(job);
  }
  job->awaiting_attempts = decision.action == retry::RetryAction::kRetryAfterReconciliation;
  SetState(job, JobState::kWaiting);
  ++job->timer_generation;
  timers_.Add(decision.at, JobWakeup{job->number, job->timer_generation});
}

void JobManager::GiveAnswer(Job* job, FinalAnswer answer, const std::string& reason) {
  job->comment = BoundedReason(reason);
  job->changed = now_;
  MarkStateChanged(*job);
  if (job->answer != FinalAnswer::kNone) return;  // it does not change; the comment shows a later loss
  job->answer = answer;
  Log({.event = logging::LogEvent::kAnswered,
       .job = job->number,
       .node = job->node,
       .text = job->comment,
       .fields = {{logging::kAnswerField, std::string(Name(answer))}}});
  outputs_.emplace_back(JobAnswered{job->number});
}

void JobManager::Close(Job* job) {
  job->closing = true;
  MarkStateChanged(*job);
  CompleteIfClosed(job);
}

void JobManager::CompleteIfClosed(Job* job) {
  if (!job->closing || job->IsComplete()) return;
  if (job->HasOpenAttempt()) return SetState(job, JobState::kExiting);
  Complete(job, job->comment);
}

void JobManager::Complete(Job* job, const std::string& reason) {
  if (job->IsComplete()) return;
  job->comment = BoundedReason(reason);
  job->ended = now_;
  ++job->timer_generation;
  SetState(job, JobState::kComplete);
  jobs_.Retire(job);
  key_searches_.Stop(job->number);
  Log({.event = logging::LogEvent::kComplete, .job = job->number, .node = job->node, .text = job->comment});
  outputs_.emplace_back(JobCompleted{job->number});
  if (jobs_.history_size() == 1) timers_.Add(now_ + options_.history_retention, HistoryExpiry{});
  while (jobs_.history_size() > options_.limits.history) {
    const std::uint64_t oldest = jobs_.PopOldestComplete();
    if (oldest == job->number) break;  // with a limit of 0, the latest complete job is still retained
    ForgetJob(oldest);
  }
}

void JobManager::ForgetJob(std::uint64_t number) {
  const Job* job = jobs_.Find(number);
  if (job == nullptr) return;
  keys_.Remove(number, *job->spec);
  jobs_.Forget(number);
  journal_.MarkForgotten(number);
}

// ---- Key search (see key_search.hpp) ----

void JobManager::StartKeySearch(Job* job) {
  const Micros limit = options_.hard_limits[job->spec->task_class];
  const Micros stated = job->spec->earlier_until != 0 ? job->spec->earlier_until : now_ + limit;
  const Micros latest = now_ + limit + options_.retry_policy.max_backoff;
  KeySearch& search = key_searches_.Start(job->number, std::min(stated, latest) + kMaxClockDifference);
  StartClientWait(job, now_);
  SetState(job, JobState::kWaiting);
  job->comment = "asked for before: looking whether it runs";
  RunKeySearchRound(job, &search);
}

void JobManager::RunKeySearchRound(Job* job, KeySearch* search) {
  const std::vector<NodeId> nodes = nodes_.PresentNodes();
  search->BeginRound(now_, nodes);
  for (const NodeId node : nodes) {
    outputs_.emplace_back(FindKey{node, job->number, job->spec->user, job->spec->key});
  }
  const Micros interval = options_.key_search_interval;
  const Micros earliest = std::max(search->horizon(), now_ + interval / kMinRoundDivisor);
  timers_.Add(std::min(now_ + interval, earliest), KeySearchRound{job->number, job->timer_generation});
}

void JobManager::ContinueKeySearch(Job* job) {
  KeySearch* search = key_searches_.Find(job->number);
  if (search == nullptr) return;
  if (now_ >= job->deadline) {
    key_searches_.Stop(job->number);
    GiveAnswer(job, FinalAnswer::kRejected,
               "could not be made sure in time that an earlier ask does not run");
    return Close(job);
  }
  search->RemoveNodesIf([this](NodeId node) { return !nodes_.FindOrCreate(node).present; });
  if (search->IsConclusive()) {
    key_searches_.Stop(job->number);
    job->spec->repeat = false;
    return Request(job);
  }
  RunKeySearchRound(job, search);
}

void JobManager::Handle(const FindKeyAnswered& answer) {
  KeySearch* search = key_searches_.Find(answer.job);
  Job* job = search == nullptr ? nullptr : jobs_.Find(answer.job);
  if (job == nullptr || answer.key != job->spec->key || !answer.reached) return;
  if (!answer.found) return search->RecordAbsent(answer.node);
  job->node = nodes_.NameOf(answer.node);
  key_searches_.Stop(answer.job);
  GiveAnswer(job, FinalAnswer::kStarted,
             "runs already as " + std::to_string(answer.attempt.job) + "." + answer.server);
  Complete(job, job->comment);
}

}  // namespace mountflow::job_manager
