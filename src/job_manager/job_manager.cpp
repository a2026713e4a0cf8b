#include "job_manager/job_manager.hpp"

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

namespace mountflow::job_manager {
namespace {

// Makes the draws of the job manager independent of those of the scheduler.
constexpr std::uint64_t kRandomStreamSeed = 0x5851f42d4c957f2dU;
// Job numbers must not repeat after a restart, even if nothing is stored. The first number of an incarnation
// is the wall time in this unit, and each new job increments it by one. Numbers would repeat only if an
// incarnation accepted more than 100,000 jobs per second on average.
constexpr Micros kMicrosPerJobNumber = 10;

SubmitResult Rejected(CommandResult command_result, std::uint64_t job, std::string reason) {
  return {command_result, job, std::move(reason)};
}

}  // namespace

const char* Name(FinalAnswer answer) {
  switch (answer) {
    case FinalAnswer::kNone:
      return "none";
    case FinalAnswer::kStarted:
      return "placed";
    case FinalAnswer::kRejected:
      return "refused";
    case FinalAnswer::kFailed:
      return "failed";
    case FinalAnswer::kDeleted:
      return "deleted";
  }
  return "none";
}

JobManager::JobManager(JobManagerOptions options, std::uint64_t seed, Micros now)
    : options_(std::move(options)),
      ids_(options_.server),
      random_(seed ^ kRandomStreamSeed),
      now_(now),
      scheduler_(options_.settings, seed),
      jobs_({options_.limits.jobs, options_.limits.script_bytes}, now / kMicrosPerJobNumber),
      nodes_(options_.limits.reconciliations),
      journal_(options_.durable) {}

// ---- Read access ----

void JobManager::ForEach(std::uint64_t from, const std::function<bool(const Job&)>& visit) const {
  for (auto it = jobs_.jobs().lower_bound(from); it != jobs_.jobs().end(); ++it) {
    if (!visit(it->second)) return;
  }
}

const ListedNode* JobManager::FindNode(NodeId node) const {
  const NodeRecord* record = nodes_.Find(node);
  return record == nullptr ? nullptr : &record->listed;
}

void JobManager::ForEachNode(const std::function<void(NodeId, const ListedNode&)>& visit) const {
  for (const auto& [id, node] : nodes_.nodes()) {
    if (node.present) visit(id, node.listed);
  }
}

std::uint64_t JobManager::FindJobByKey(const std::string& user, const std::string& key) const {
  const std::uint64_t number = keys_.Find(user, key);
  const Job* job = Find(number);
  if (job == nullptr) return 0;
  // A rejected, failed or deleted job does not run, and its client may submit it again.
  if (job->IsComplete() && job->answer != FinalAnswer::kStarted) return 0;
  return number;
}

// ---- Time, state and the scheduler ----

void JobManager::AdvanceTime(Micros now) { now_ = std::max(now_, now); }

void JobManager::RunScheduler() {
  scheduler_.Run(now_, [this](const Action& action) {
    std::visit([this](const auto& typed_action) { CarryOut(typed_action); }, action);
  });
}

void JobManager::SetState(Job* job, JobState state) {
  MarkStateChanged(*job);
  job->changed = now_;
  if (job->state != state) jobs_.SetState(job, state);
}

// ---- Submissions ----

SubmitResult JobManager::CheckSubmission(std::uint64_t number, const JobSpec& spec) const {
  if (!submissions_.accepting) {
    return Rejected(CommandResult::kStopping, number, "the daemon is going down");
  }
  if (Find(number) != nullptr) {
    return Rejected(CommandResult::kExists, number, "a job with this id is here");
  }
  if (spec.task_class >= options_.settings.classes.size() || number == 0) {
    return Rejected(CommandResult::kBadValue, number, "no such queue or job number");
  }
  // A commit may have waited in the buffer of a stalled daemon. Its client may have submitted the job to
  // another daemon since then, and the job would run twice.
  if (spec.client_deadline != 0 && now_ >= spec.client_deadline) {
    return Rejected(CommandResult::kBadState, number, "the owner's time was over before the commit was read");
  }
  if (const std::uint64_t existing = FindJobByKey(spec.user, spec.key); existing != 0) {
    return Rejected(CommandResult::kExists, existing, "a job with this key is here");
  }
  if (submissions_.admission_check) {
    const std::string reason = submissions_.admission_check(spec);
    if (!reason.empty()) return Rejected(CommandResult::kFull, number, reason);
  }
  if (!submissions_.rejection.empty()) {
    return Rejected(CommandResult::kFull, number, submissions_.rejection);
  }
  if (jobs_.IsFull()) return Rejected(CommandResult::kFull, number, "as many jobs as this daemon holds");
  if (!jobs_.HasSpaceForScript(spec.script.size())) {
    return Rejected(CommandResult::kFull, number, "as many bytes of scripts as this daemon holds");
  }
  return {CommandResult::kOk, number, ""};
}

SubmitResult JobManager::Submit(Micros now, std::uint64_t number, JobSpec spec) {
  AdvanceTime(now);
  SubmitResult result = CheckSubmission(number, spec);
  if (result.command_result != CommandResult::kOk) return result;
  Job& job = jobs_.FindOrCreate(number);
  job.spec = std::make_unique<JobSpec>(std::move(spec));
  job.created = job.queued = job.changed = now_;
  jobs_.Count(job);
  keys_.Add(number, *job.spec);
  journal_.MarkSpecChanged(number);
  MarkStateChanged(job);
  Log({.event = logging::LogEvent::kSubmitted, .job = number});
  Advance(&job);
  RunScheduler();
  return result;
}

// ---- Messages ----

void JobManager::HandleNodeMessage(Micros now, const NodeMessage& message) {
  AdvanceTime(now);
  std::visit([this](const auto& typed_message) { Handle(typed_message); }, message);
  RunScheduler();
}

void JobManager::HandleMembershipChange(Micros now, const MembershipChange& membership) {
  AdvanceTime(now);
  if (membership.size != membership_.size || membership.index != membership_.index) {
    Log({.event =
             membership.index < 0 ? logging::LogEvent::kGroupIndexUnknown : logging::LogEvent::kGroupChanged,
         .text = membership.undisturbed ? "no daemon joined or left" : "",
         .fields = {{logging::kGroupSizeField, membership.size},
                    {logging::kGroupIndexField, membership.index}}});
  }
  membership_ = membership;
  scheduler_.QueueEvent(membership);
  RunScheduler();
}

// ---- Timers ----

void JobManager::Tick(Micros now) {
  AdvanceTime(now);
  while (const std::optional<Timer> timer = timers_.PopDue(now_)) {
    std::visit([this](const auto& typed_timer) { Fire(typed_timer); }, *timer);
    RunScheduler();
  }
}

void JobManager::Fire(const SchedulerTimer& timer) { scheduler_.QueueEvent(TimerFired{timer.token}); }

void JobManager::Fire(const AttemptDeadline& timer) {
  const auto [job, attempt] = FindAttempt(timer.attempt);
  if (attempt == nullptr || attempt->outcome_reported || attempt->phase == AttemptPhase::kRunning) return;
  if (attempt->phase == AttemptPhase::kPreparing) return AbandonPrepared(job, attempt);
  ReportOutcome(job, attempt, {AttemptResult::kTimedOut});
  StopUntilAnswered(job, attempt);
}

void JobManager::Fire(const JobWakeup& timer) {
  Job* job = jobs_.Find(timer.job);
  if (job == nullptr || job->timer_generation != timer.generation || job->state != JobState::kWaiting) return;
  // Without a node list the scheduler would reject a job that an earlier incarnation had accepted.
  const bool lacks_node_list = job->restored && !has_node_list_;
  if (!job->awaiting_attempts || (!job->HasOpenAttempt() && !lacks_node_list)) return Advance(job);
  if (now_ < job->deadline) {
    return timers_.Add(std::min(now_ + options_.key_search_interval, job->deadline), timer);
  }
  for (Attempt& attempt : job->attempts) {
    if (!attempt.stopping) StopUntilAnswered(job, &attempt);
  }
  GiveAnswer(job, FinalAnswer::kFailed, job->comment + " (not settled within the owner's time)");
  Close(job);
}

void JobManager::Fire(const StopOrQueryRetry& timer) {
  const auto [job, attempt] = FindAttempt(timer.attempt);
  if (attempt == nullptr) return;
  if (attempt->stopping) {
    outputs_.emplace_back(StopAttempt{timer.attempt, attempt->node});
  } else if (attempt->phase == AttemptPhase::kInDoubt) {
    outputs_.emplace_back(QueryAttempt{timer.attempt, attempt->node});
  }
}

void JobManager::Fire(const ReconcileRetry& timer) {
  const NodeRecord* node = nodes_.Find(timer.node);
  if (node != nullptr && node->present && !node->reconciled) Reconcile(timer.node);
}

void JobManager::Fire(const NodeRemoval& timer) {
  NodeRecord* node = nodes_.Find(timer.node);
  if (node == nullptr || node->present || node->removal_generation != timer.generation) return;
  const std::set<AttemptId> attempts = node->attempts;
  for (const AttemptId& id : attempts) {
    const auto [job, attempt] = FindAttempt(id);
    if (attempt != nullptr) EndLostAttempt(job, attempt);
  }
  outputs_.emplace_back(ForgetNode{timer.node});
  node->present = false;
  node->reconciling = false;
  nodes_.EndReconciliation(node);
  StartNextReconciliations();
  nodes_.Erase(timer.node);
}

void JobManager::Fire(const HistoryExpiry& timer) {
  while (jobs_.history_size() > 0) {
    const Job* oldest = jobs_.Find(jobs_.OldestComplete());
    if (oldest != nullptr && oldest->ended + options_.history_retention > now_) {
      return timers_.Add(oldest->ended + options_.history_retention, timer);
    }
    ForgetJob(jobs_.PopOldestComplete());
  }
}

void JobManager::Fire(const KeySearchRound& timer) {
  Job* job = jobs_.Find(timer.job);
  if (job != nullptr && job->timer_generation == timer.generation) ContinueKeySearch(job);
}

}  // namespace mountflow::job_manager
