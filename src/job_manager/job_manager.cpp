#include "job_manager/job_manager.hpp"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

namespace mountflow::job_manager {
namespace {

constexpr Micros kNever = std::numeric_limits<Micros>::max();
constexpr unsigned kMostBackoff = 4;          // doublings of a pause
constexpr Micros kHorizonMargin = 1'000'000;  // clocks of daemons and nodes may differ by this
constexpr Micros kStopRemind =
    5'000'000;  // a stopped attempt whose end was not reported is asked after again
constexpr std::size_t kMostReason = 1024;  // bytes kept of a node's words

std::uint64_t Hash(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

std::string KeyIndex(const std::string& user, const std::string& key) {
  std::string index = user;
  index.push_back('\0');
  index += key;
  return index;
}

std::string Bounded(std::string text) {
  if (text.size() > kMostReason) text.resize(kMostReason);
  return text;
}

bool IsOver(JobState state) { return state == JobState::kComplete; }

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

NodeId JobManager::NodeIdOf(std::string_view name) { return XXH32(name.data(), name.size(), 0); }

JobManager::JobManager(JobManagerOptions options, std::uint64_t seed, Micros now)
    : options_(std::move(options)),
      scheduler_(options_.settings, seed),
      random_(seed ^ 0x5851f42d4c957f2du),
      now_(now),
      // Ids must not repeat over restarts, also where nothing is kept on disk: numbers start at the wall
      // clock in hundredths of a millisecond and go up by one, so a life would have to take 100,000 jobs a
      // second on the whole to run into the next one.
      next_number_(now / 10) {}

// ---- Ids ----

std::uint64_t JobManager::NewJobNumber() { return ++next_number_; }

std::string JobManager::JobId(std::uint64_t job) const { return std::to_string(job) + "." + options_.server; }

std::uint64_t JobManager::ParseJobId(std::string_view id) const {
  const std::size_t dot = id.find('.');
  const std::string_view digits = id.substr(0, dot);
  if (dot != std::string_view::npos && id.substr(dot + 1) != options_.server) return 0;
  std::uint64_t number = 0;
  const auto read = std::from_chars(digits.data(), digits.data() + digits.size(), number);
  if (read.ec != std::errc() || read.ptr != digits.data() + digits.size()) return 0;
  return number;
}

std::string JobManager::AttemptName(const AttemptId& attempt) const {
  return JobId(attempt.job) + "/" + std::to_string(attempt.number);
}

bool JobManager::ParseAttemptName(std::string_view name, AttemptId* id, std::string* server) const {
  const std::size_t dot = name.find('.'), slash = name.rfind('/');
  if (dot == std::string_view::npos || slash == std::string_view::npos || slash < dot) return false;
  const auto number = [](std::string_view text, auto* to) {
    const auto read = std::from_chars(text.data(), text.data() + text.size(), *to);
    return read.ec == std::errc() && read.ptr == text.data() + text.size();
  };
  if (!number(name.substr(0, dot), &id->job) || !number(name.substr(slash + 1), &id->number)) return false;
  *server = name.substr(dot + 1, slash - dot - 1);
  return true;
}

double JobManager::Draw() {
  random_ += 0x9e3779b97f4a7c15u;
  std::uint64_t z = random_;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
  z ^= z >> 31;
  return static_cast<double>(z >> 11) * 0x1.0p-53;
}

// ---- Reading ----

const Job* JobManager::Find(std::uint64_t job) const {
  const auto it = jobs_.find(job);
  return it == jobs_.end() ? nullptr : &it->second;
}

Job* JobManager::Get(std::uint64_t number) {
  const auto it = jobs_.find(number);
  return it == jobs_.end() ? nullptr : &it->second;
}

void JobManager::ForEach(std::uint64_t from, const std::function<bool(const Job&)>& visit) const {
  for (auto it = jobs_.lower_bound(from); it != jobs_.end(); ++it) {
    if (!visit(it->second)) return;
  }
}

const ListedNode* JobManager::FindNode(NodeId node) const {
  const auto it = nodes_.find(node);
  return it == nodes_.end() ? nullptr : &it->second.listed;
}

void JobManager::ForEachNode(const std::function<void(NodeId, const ListedNode&)>& visit) const {
  for (const auto& [id, node] : nodes_) {
    if (node.present) visit(id, node.listed);
  }
}

Counts JobManager::Count() const { return counts_; }

std::uint64_t JobManager::FindJobByKey(const std::string& user, const std::string& key) const {
  if (key.empty()) return 0;
  const auto it = of_key_.find(KeyIndex(user, key));
  if (it == of_key_.end()) return 0;
  const Job* job = Find(it->second);
  // Refused, failed or deleted ones do not run, and their owner may ask anew.
  if (job == nullptr || (IsOver(job->state) && job->answer != FinalAnswer::kStarted)) return 0;
  return it->second;
}

// ---- Small parts ----

void JobManager::Log(LogLevel level, const char* event, const Job* job, std::uint32_t attempt,
                     const std::string& node, const std::string& text) {
  LogEntry entry;
  entry.level = level;
  entry.event = event;
  entry.job = job != nullptr ? job->number : 0;
  entry.attempt = attempt;
  entry.node = node;
  entry.text = text;
  outputs_.push_back(std::move(entry));
}

std::size_t& JobManager::CountOf(JobState state) {
  switch (state) {
    case JobState::kQueued:
      return counts_.queued;
    case JobState::kHeld:
      return counts_.held;
    case JobState::kWaiting:
      return counts_.waiting;
    case JobState::kRunning:
      return counts_.running;
    case JobState::kExiting:
      return counts_.exiting;
    case JobState::kComplete:
      break;
  }
  return counts_.complete;
}

void JobManager::Touch(const Job& job) {
  if (options_.durable) touched_.insert(job.number);
}

void JobManager::SetState(Job& job, JobState state) {
  Touch(job);
  job.changed = now_;
  if (job.state == state) return;
  --CountOf(job.state);
  ++CountOf(state);
  job.state = state;
}

void JobManager::At(Micros when, TimerKind kind, std::uint64_t a, std::uint32_t b) {
  timers_.push(Timer{when, ++timer_order_, kind, a, b});
}

Micros JobManager::NextTimer() const { return timers_.empty() ? kNever : timers_.top().at; }

// ---- The module ----

void JobManager::Tell(Event event) { events_.push_back(std::move(event)); }

// Events that arise while actions are carried out wait their turn: the module is never entered twice. The
// queue is bounded by the attempts of the requests at hand.
void JobManager::Pump() {
  if (pumping_) return;
  pumping_ = true;
  while (!events_.empty()) {
    const Event event = std::move(events_.front());
    events_.pop_front();
    actions_.clear();
    const std::uint64_t before = clock_ns_ ? clock_ns_() : 0;
    scheduler_.Handle(now_, event, &actions_);
    if (clock_ns_) module_ns_ += clock_ns_() - before;
    for (const Action& action : actions_) Do(action);
  }
  pumping_ = false;
}

void JobManager::Do(const Action& action) {
  std::visit([this](const auto& a) { Do(a); }, action);
}

void JobManager::Do(const StartAttempt& offer) {
  const auto of = of_request_.find(offer.request);
  Job* job = of == of_request_.end() ? nullptr : Get(of->second);
  if (job == nullptr) return;
  Attempt attempt;
  attempt.number = ++job->attempts_made;
  attempt.of_request = offer.request;
  attempt.of_attempt = static_cast<std::uint16_t>(offer.attempt);
  attempt.node = offer.node;
  attempt.sent = now_;
  attempt.until = std::min(offer.deadline, job->give_up);
  const auto node = nodes_.find(offer.node);
  job->attempts.push_back(attempt);
  Touch(*job);
  if (node == nodes_.end() || !node->second.present) {
    TellOutcome(*job, job->attempts.back(), AttemptResult::kUnreachable, RejectionReason::kUnspecified, {});
    return Over(*job, attempt.number);
  }
  job->attempts.back().node_started = node->second.listed.started;
  node->second.held.insert({job->number, attempt.number});
  outputs_.push_back(PrepareAttempt{{job->number, attempt.number}, offer.node});
  At(attempt.until, TimerKind::kAttempt, job->number, attempt.number);
}

void JobManager::Do(const CancelAttempt& cancel) {
  const auto of = of_request_.find(cancel.request);
  Job* job = of == of_request_.end() ? nullptr : Get(of->second);
  if (job == nullptr) return;
  for (Attempt& a : job->attempts) {
    if (a.of_request != cancel.request || a.of_attempt != cancel.attempt || a.told) continue;
    if (a.phase == AttemptPhase::kPreparing) {  // no commit went out: it never ran
      outputs_.push_back(AbandonAttempt{{job->number, a.number}, a.node});
      TellOutcome(*job, a, AttemptResult::kUnreachable, RejectionReason::kUnspecified, {});
      return Over(*job, a.number);
    }
    if (a.phase == AttemptPhase::kRunning) return;  // the yes was first
    TellOutcome(*job, a, AttemptResult::kCancelled, RejectionReason::kUnspecified, {});
    return Stop(*job, a);
  }
}

void JobManager::Do(const RejectTask& refusal) {
  const auto of = of_request_.find(refusal.request);
  Job* job = of == of_request_.end() ? nullptr : Get(of->second);
  if (job == nullptr) return;
  CloseRequest(*job);
  AskEnded(*job, retry::RequestResult::kRejected, refusal.retry_after,
           job->comment.empty() ? "refused by the scheduler: no node qualifies now" : job->comment);
}

void JobManager::Do(const FailTask& failure) {
  const auto of = of_request_.find(failure.request);
  Job* job = of == of_request_.end() ? nullptr : Get(of->second);
  if (job == nullptr) return;
  CloseRequest(*job);
  AskEnded(*job, retry::RequestResult::kFailed, 0, "no certain answer from a node in time; it may have run");
}

void JobManager::Do(const MigrateTask& move) {
  const auto of = of_request_.find(move.request);
  Job* job = of == of_request_.end() ? nullptr : Get(of->second);
  if (job == nullptr) return;
  if (!job->spec->rerunnable)
    return Log(LogLevel::kWarn, "move left out", job, 0, job->node, "not rerunnable");
  for (Attempt& a : job->attempts) {
    if (a.of_request != move.request || a.phase != AttemptPhase::kRunning) continue;
    job->rerun = true;
    Stop(*job, a);
    return;
  }
}

void JobManager::Do(const SetTimer& alarm) { At(alarm.at, TimerKind::kAlarm, alarm.token); }
void JobManager::Do(const StartHealthCheck& probe) { outputs_.push_back(CheckNodeHealth{probe.node}); }
void JobManager::Do(const WatchNodes&) { outputs_.push_back(ReadNodeList{true}); }
void JobManager::Do(const ListNodes&) { outputs_.push_back(ReadNodeList{false}); }
void JobManager::Do(const LogLine& line) { Log(LogLevel::kWarn, "module", nullptr, 0, "", line.text); }

// ---- Commands ----

SubmitResult JobManager::Submit(Micros now, std::uint64_t number, JobSpec spec) {
  now_ = std::max(now_, now);
  SubmitResult result;
  result.job = number;
  if (!accepting_) {
    result.verdict = CommandResult::kStopping;
    result.reason = "the daemon is going down";
    return result;
  }
  if (jobs_.count(number) > 0) {
    result.verdict = CommandResult::kExists;
    result.reason = "a job with this id is here";
    return result;
  }
  if (spec.task_class >= options_.settings.classes.size() || number == 0) {
    result.verdict = CommandResult::kBadValue;
    result.reason = "no such queue or job number";
    return result;
  }
  // Danger: a commit that waited in a stalled daemon's buffer would start a job whose owner has long asked
  // elsewhere.
  if (spec.client_deadline != 0 && now_ >= spec.client_deadline) {
    result.verdict = CommandResult::kBadState;
    result.reason = "the owner's time was over before the commit was read";
    return result;
  }
  if (const std::uint64_t had = FindJobByKey(spec.user, spec.key); had != 0) {
    result.verdict = CommandResult::kExists;
    result.job = had;
    result.reason = "a job with this key is here";
    return result;
  }
  if (door_) {
    result.reason = door_(spec);
    if (!result.reason.empty()) {
      result.verdict = CommandResult::kFull;
      return result;
    }
  }
  if (!refuse_new_.empty()) {
    result.verdict = CommandResult::kFull;
    result.reason = refuse_new_;
    return result;
  }
  if (live_ >= options_.limits.jobs || script_bytes_ + spec.script.size() > options_.limits.script_bytes) {
    result.verdict = CommandResult::kFull;
    result.reason = live_ >= options_.limits.jobs ? "as many jobs as this daemon holds"
                                                  : "as many bytes of scripts as this daemon holds";
    return result;
  }
  Job& job = jobs_[number];
  job.number = number;
  job.spec = std::make_unique<JobSpec>(std::move(spec));
  job.created = job.queued = job.changed = now_;
  ++counts_.queued;
  ++live_;
  script_bytes_ += job.spec->script.size();
  if (!job.spec->key.empty()) of_key_[KeyIndex(job.spec->user, job.spec->key)] = number;
  if (options_.durable) touched_specs_.insert(number);
  Touch(job);
  Log(LogLevel::kInfo, "submitted", &job, 0, "", "");
  Settle(job);
  Pump();
  return result;
}

CommandResult JobManager::Manage(std::uint64_t number, const std::string& user, Job** job) {
  *job = Get(number);
  if (*job == nullptr) return CommandResult::kUnknownJob;
  if (!user.empty() && (*job)->spec->user != user) return CommandResult::kPermission;
  if (IsOver((*job)->state)) return CommandResult::kBadState;
  return CommandResult::kOk;
}

CommandResult JobManager::Delete(Micros now, std::uint64_t number, const std::string& user) {
  now_ = std::max(now_, now);
  Job* job = nullptr;
  if (const CommandResult v = Manage(number, user, &job); v != CommandResult::kOk) return v;
  if (job->deleted) return CommandResult::kOk;  // asked for already
  job->deleted = true;
  Touch(*job);
  job->rerun = false;
  job->settling = false;
  ++job->generation;
  finding_.erase(number);
  Log(LogLevel::kInfo, "deleted", job, 0, "", "by " + (user.empty() ? std::string("operator") : user));
  const bool runs = std::any_of(job->attempts.begin(), job->attempts.end(), [job](const Attempt& a) {
    return a.phase == AttemptPhase::kRunning && a.of_request == job->request;
  });
  if (job->request != 0 && !runs) {
    // The task is no longer wanted. The module is owed one outcome for what is out, and gets it now; whether
    // the node said yes meanwhile is settled below its sight.
    Tell(TaskCancelled{job->request});
    const std::vector<Attempt> out = job->attempts;
    CloseRequest(*job);
    for (const Attempt& was : out) {
      Attempt* a = Get({number, was.number}, &job);
      if (a == nullptr || a->told) continue;
      if (a->phase == AttemptPhase::kPreparing) {
        outputs_.push_back(AbandonAttempt{{number, a->number}, a->node});
        TellOutcome(*job, *a, AttemptResult::kUnreachable, RejectionReason::kUnspecified, {});
        Over(*job, was.number);
      } else {
        TellOutcome(*job, *a, AttemptResult::kCancelled, RejectionReason::kUnspecified, {});
        Stop(*job, *a);
      }
    }
  } else {
    for (Attempt& a : job->attempts) {
      if (a.phase == AttemptPhase::kRunning && !a.stopping) Stop(*job, a);
    }
  }
  if (job->answer == FinalAnswer::kNone) Give(*job, FinalAnswer::kDeleted, "deleted by its owner");
  Close(*job);
  Pump();
  return CommandResult::kOk;
}

CommandResult JobManager::Hold(Micros now, std::uint64_t number, const std::string& user,
                               const std::string& types) {
  now_ = std::max(now_, now);
  Job* job = nullptr;
  if (const CommandResult v = Manage(number, user, &job); v != CommandResult::kOk) return v;
  if (job->state == JobState::kRunning || job->state == JobState::kExiting) return CommandResult::kBadState;
  if (options_.durable) touched_specs_.insert(number);
  for (char c : types) {
    if (job->spec->hold.find(c) == std::string::npos) job->spec->hold.push_back(c);
  }
  // A job that the module is placing right now goes on; the hold acts on its next ask.
  if (job->request == 0 && !job->spec->hold.empty()) {
    ++job->generation;
    finding_.erase(number);
    SetState(*job, JobState::kHeld);
  }
  return CommandResult::kOk;
}

CommandResult JobManager::Release(Micros now, std::uint64_t number, const std::string& user,
                                  const std::string& types) {
  now_ = std::max(now_, now);
  Job* job = nullptr;
  if (const CommandResult v = Manage(number, user, &job); v != CommandResult::kOk) return v;
  if (options_.durable) touched_specs_.insert(number);
  std::erase_if(job->spec->hold, [&types](char c) { return types.find(c) != std::string::npos; });
  if (job->state == JobState::kHeld) Settle(*job);
  Pump();
  return CommandResult::kOk;
}

CommandResult JobManager::Rerun(Micros now, std::uint64_t number, const std::string& user) {
  now_ = std::max(now_, now);
  Job* job = nullptr;
  if (const CommandResult v = Manage(number, user, &job); v != CommandResult::kOk) return v;
  if (job->state != JobState::kRunning) return CommandResult::kNotRunning;
  // An unsafe job that ran must not start again.
  const Idempotency effect = options_.settings.classes[job->spec->task_class].idempotency;
  if (!job->spec->rerunnable || effect == Idempotency::kNotIdempotent) return CommandResult::kBadState;
  for (Attempt& a : job->attempts) {
    if (a.phase != AttemptPhase::kRunning || a.stopping) continue;
    job->rerun = true;
    SetState(*job, JobState::kExiting);
    Stop(*job, a);
  }
  Pump();
  return CommandResult::kOk;
}

CommandResult JobManager::Signal(Micros now, std::uint64_t number, const std::string& user,
                                 const std::string& signal) {
  now_ = std::max(now_, now);
  Job* job = nullptr;
  if (const CommandResult v = Manage(number, user, &job); v != CommandResult::kOk) return v;
  if (job->state != JobState::kRunning) return CommandResult::kNotRunning;
  for (const Attempt& a : job->attempts) {
    if (a.phase == AttemptPhase::kRunning)
      outputs_.push_back(SignalAttempt{{number, a.number}, a.node, signal});
  }
  return CommandResult::kOk;
}

CommandResult JobManager::Alter(Micros now, std::uint64_t number, const std::string& user,
                                const std::function<bool(JobSpec*)>& change) {
  now_ = std::max(now_, now);
  Job* job = nullptr;
  if (const CommandResult v = Manage(number, user, &job); v != CommandResult::kOk) return v;
  if (job->request != 0 || job->state == JobState::kRunning || job->state == JobState::kExiting) {
    return CommandResult::kBadState;
  }
  JobSpec changed = *job->spec;
  if (!change(&changed)) return CommandResult::kBadValue;
  *job->spec = std::move(changed);
  if (options_.durable) touched_specs_.insert(number);
  job->changed = now_;
  if (!job->settling && finding_.count(number) == 0) Settle(*job);
  Pump();
  return CommandResult::kOk;
}

// ---- Jobs ----

// A hold or a start time keeps a job out of the module.
void JobManager::Settle(Job& job) {
  ++job.generation;
  if (!job.spec->hold.empty()) return SetState(job, JobState::kHeld);
  if (job.spec->due > now_) {
    SetState(job, JobState::kWaiting);
    return At(job.spec->due, TimerKind::kJob, job.number, job.generation);
  }
  const Idempotency effect = options_.settings.classes[job.spec->task_class].idempotency;
  if (job.spec->repeat && effect != Idempotency::kIdempotent && !job.spec->key.empty()) return StartFind(job);
  Ask(job);
}

void JobManager::Ask(Job& job) {
  const JobSpec& spec = *job.spec;
  const Micros hard = options_.hard_limits[spec.task_class];
  if (job.give_up == 0) {
    const Micros owner = spec.client_wait != 0 ? spec.client_wait : hard;
    job.give_up = now_ + owner;
    if (spec.client_deadline != 0) job.give_up = std::min(job.give_up, spec.client_deadline);
  }
  // Request numbers are short and come round again; one still in use is passed over.
  do {
    ++next_request_;
  } while (next_request_ == 0 || of_request_.count(next_request_) > 0);
  job.request = next_request_;
  job.settling = false;
  job.comment.clear();
  of_request_[job.request] = job.number;
  SetState(job, JobState::kQueued);
  Task task;
  task.request = job.request;
  task.task_class = spec.task_class;
  task.tenant = spec.tenant;
  task.deadline = std::min(now_ + hard, job.give_up);
  task.key = spec.key.empty() ? Hash(JobId(job.number)) : Hash(KeyIndex(spec.user, spec.key));
  task.service = Hash(spec.service);
  task.cores = spec.cores;
  task.memory = spec.memory;
  Tell(TaskSubmitted{task});
}

void JobManager::CloseRequest(Job& job) {
  of_request_.erase(job.request);
  job.request = 0;
}

bool JobManager::Unsettled(const Job& job) const {
  return std::any_of(job.attempts.begin(), job.attempts.end(),
                     [](const Attempt& a) { return a.phase != AttemptPhase::kEnded; });
}

void JobManager::AskEnded(Job& job, retry::RequestResult end, Micros advised, const std::string& reason) {
  job.comment = reason;
  if (job.closing) return Closed(job);
  retry::RequestEnded ended;
  ended.result = end;
  ended.idempotency = options_.settings.classes[job.spec->task_class].idempotency;
  ended.rerunnable = job.spec->rerunnable;
  ended.unresolved_attempt = Unsettled(job);
  ended.retry_after = advised;
  ended.now = now_;
  if (end == retry::RequestResult::kLost) {  // a new placing: the owner's time begins anew
    const Micros hard = options_.hard_limits[job.spec->task_class];
    job.give_up = now_ + (job.spec->client_wait != 0 ? job.spec->client_wait : hard) +
                  options_.repeats.reconciliation_wait;
  }
  ended.deadline = job.give_up;
  ended.random_draw = Draw();
  const retry::RetryDecision d = job.repeats.Decide(options_.repeats, ended);
  if (d.action == retry::RetryAction::kGiveUp) {
    const FinalAnswer answer = end == retry::RequestResult::kRejected ? FinalAnswer::kRejected : FinalAnswer::kFailed;
    std::string told = reason;
    if (job.spec->rerunnable) told += " (" + std::string(retry::Describe(d.reason)) + ")";
    Give(job, answer, told);
    return Close(job);
  }
  job.settling = d.action == retry::RetryAction::kRetryAfterReconciliation;
  SetState(job, JobState::kWaiting);
  ++job.generation;
  At(d.at, TimerKind::kJob, job.number, job.generation);
}

void JobManager::Give(Job& job, FinalAnswer answer, const std::string& reason) {
  job.comment = Bounded(reason);
  job.changed = now_;
  Touch(job);
  if (job.answer != FinalAnswer::kNone) return;  // the one answer stands; a later loss shows in the comment
  job.answer = answer;
  Log(LogLevel::kInfo, "answered", &job, 0, job.node, std::string(Name(answer)) + ": " + job.comment);
  outputs_.push_back(JobAnswered{job.number});
}

void JobManager::Close(Job& job) {
  job.closing = true;
  Touch(job);
  Closed(job);
}

void JobManager::Closed(Job& job) {
  if (!job.closing || IsOver(job.state)) return;
  if (Unsettled(job)) return SetState(job, JobState::kExiting);
  Complete(job, job.comment);
}

void JobManager::Complete(Job& job, const std::string& reason) {
  if (IsOver(job.state)) return;
  job.comment = Bounded(reason);
  job.ended = now_;
  ++job.generation;
  SetState(job, JobState::kComplete);
  --live_;
  script_bytes_ -= job.spec->script.size();
  job.spec->script = {};
  job.spec->script.shrink_to_fit();
  finding_.erase(job.number);
  Log(LogLevel::kInfo, "complete", &job, 0, job.node, job.comment);
  outputs_.push_back(JobCompleted{job.number});
  history_.push_back(job.number);
  if (history_.size() == 1) At(now_ + options_.history_kept, TimerKind::kHistory, 0);
  while (history_.size() > options_.limits.history) {
    const std::uint64_t oldest = history_.front();
    history_.pop_front();
    if (oldest == job.number) break;  // a history of nothing still shows the newest until the next
    Job* old = Get(oldest);
    if (old == nullptr) continue;
    const auto key = of_key_.find(KeyIndex(old->spec->user, old->spec->key));
    if (key != of_key_.end() && key->second == oldest) of_key_.erase(key);
    --counts_.complete;
    Forget(oldest);
  }
}

// ---- A repeat whose first ask may live elsewhere ----
//
// Daemons do not talk. A keyed or unsafe job that its owner asked for before may run, or may yet be started
// by the daemon that was asked first. So every node is asked for the key until the first ask's time is over;
// if one has it, that start is the answer; if after that time every listed node says no, nobody can start it
// any more and it is asked for here.

void JobManager::StartFind(Job& job) {
  const Micros hard = options_.hard_limits[job.spec->task_class];
  FindState& state = finding_[job.number];
  state = FindState{};
  const Micros earlier = job.spec->earlier_until != 0 ? job.spec->earlier_until : now_ + hard;
  state.horizon = std::min(earlier, now_ + hard + options_.repeats.max_backoff) + kHorizonMargin;
  if (job.give_up == 0) {
    job.give_up = now_ + (job.spec->client_wait != 0 ? job.spec->client_wait : hard);
    if (job.spec->client_deadline != 0) job.give_up = std::min(job.give_up, job.spec->client_deadline);
  }
  SetState(job, JobState::kWaiting);
  job.comment = "asked for before: looking whether it runs";
  FindRound(job, state);
}

void JobManager::FindRound(Job& job, FindState& state) {
  state.asked.clear();
  state.answered.clear();
  state.round_at = now_;
  for (const auto& [id, node] : nodes_) {
    if (!node.present) continue;
    state.asked.insert(id);
    outputs_.push_back(FindKey{id, job.number, job.spec->key});
  }
  At(std::min(now_ + options_.find_again, std::max(state.horizon, now_ + options_.find_again / 8)),
     TimerKind::kFind, job.number, job.generation);
}

void JobManager::FindStep(Job& job) {
  const auto it = finding_.find(job.number);
  if (it == finding_.end()) return;
  FindState& state = it->second;
  if (now_ >= job.give_up) {
    finding_.erase(it);
    Give(job, FinalAnswer::kRejected, "could not be made sure in time that an earlier ask does not run");
    return Close(job);
  }
  std::erase_if(state.asked, [this](NodeId id) { return !nodes_[id].present; });
  const bool all = !state.asked.empty() && std::includes(state.answered.begin(), state.answered.end(),
                                                         state.asked.begin(), state.asked.end());
  if (all && state.round_at >= state.horizon) {
    finding_.erase(it);
    job.spec->repeat = false;
    return Ask(job);
  }
  FindRound(job, state);
}

void JobManager::On(const FindKeyAnswered& m) {
  const auto it = finding_.find(m.job);
  Job* job = it == finding_.end() ? nullptr : Get(m.job);
  if (job == nullptr || m.key != job->spec->key) return;
  if (!m.reached) return;
  if (!m.found) {
    it->second.answered.insert(m.node);
    return;
  }
  const ListedNode* node = FindNode(m.node);
  job->node = node != nullptr ? node->name : "";
  finding_.erase(it);
  Give(*job, FinalAnswer::kStarted, "runs already as " + std::to_string(m.attempt.job) + "." + m.server);
  Complete(*job, job->comment);
}

// ---- Attempts ----

Attempt* JobManager::Get(const AttemptId& id, Job** job) {
  *job = Get(id.job);
  if (*job == nullptr) return nullptr;
  for (Attempt& a : (*job)->attempts) {
    if (a.number == id.number) return &a;
  }
  return nullptr;
}

void JobManager::TellOutcome(Job& job, Attempt& attempt, AttemptResult ending, RejectionReason cause,
                             const LoadReport& report) {
  if (attempt.told) return;
  attempt.told = true;
  if (attempt.restored && !attempt.counted) return;  // the module never knew of it
  if (attempt.counted) {
    attempt.counted = false;
    if (job.request != attempt.of_request) of_request_.erase(attempt.of_request);
  }
  AttemptEnded o;
  o.request = attempt.of_request;
  o.attempt = attempt.of_attempt;
  o.node = attempt.node;
  o.elapsed = now_ - attempt.sent;
  o.request_closed = job.deleted || attempt.phase == AttemptPhase::kRunning;
  o.result = ending;
  o.reason = cause;
  o.report = report;
  Tell(o);
}

void JobManager::Over(Job& job, std::uint32_t number) {
  const auto it = std::find_if(job.attempts.begin(), job.attempts.end(),
                               [number](const Attempt& a) { return a.number == number; });
  if (it == job.attempts.end()) return;
  if (it->counted) TellOutcome(job, *it, AttemptResult::kCancelled, RejectionReason::kUnspecified, {});
  const auto node = nodes_.find(it->node);
  if (node != nodes_.end()) node->second.held.erase({job.number, number});
  unsettled_.erase({job.number, number});
  job.attempts.erase(it);
  Touch(job);
}

// Asked of the node until it answers, or its life is over: it may have said yes, or may yet.
void JobManager::Stop(Job& job, Attempt& attempt) {
  const AttemptId id{job.number, attempt.number};
  attempt.stopping = true;
  Touch(job);
  unsettled_[{id.job, id.number}] = now_;
  outputs_.push_back(StopAttempt{id, attempt.node});
  if (unsettled_.size() <= options_.limits.unsettled) return;
  auto oldest = std::min_element(unsettled_.begin(), unsettled_.end(),
                                 [](const auto& a, const auto& b) { return a.second < b.second; });
  Job* old = nullptr;
  const AttemptId let_go{oldest->first.first, oldest->first.second};
  Attempt* was = Get(let_go, &old);
  if (was == nullptr || let_go == id) return;
  Log(LogLevel::kWarn, "let go", old, let_go.number, "", "too many attempts wait to be stopped");
  Over(*old, let_go.number);
  Closed(*old);
}

void JobManager::StopLater(const AttemptId& id, const Attempt& attempt) {
  const unsigned doublings = std::min<unsigned>(attempt.stop_tries, kMostBackoff);
  At(now_ + (options_.stop_again << doublings), TimerKind::kStop, id.job, id.number);
}

void JobManager::On(const AttemptPrepared& m) {
  Job* job = nullptr;
  Attempt* a = Get(m.attempt, &job);
  if (a == nullptr || a->phase != AttemptPhase::kPreparing || a->told) return;
  // Danger: a daemon that stood still must not go on with an offer whose time is over; its owner may have
  // asked elsewhere.
  if (now_ >= a->until) return FireAttempt(m.attempt);
  a->phase = AttemptPhase::kCommitting;
  outputs_.push_back(CommitAttempt{m.attempt, a->node});
}

void JobManager::On(const AttemptRejected& m) {
  Job* job = nullptr;
  Attempt* a = Get(m.attempt, &job);
  if (a == nullptr || a->phase == AttemptPhase::kRunning) return;
  const ListedNode* node = FindNode(a->node);
  if (!a->told) job->comment = Bounded("node " + (node != nullptr ? node->name : "?") + ": " + m.reason);
  Log(LogLevel::kInfo, "refused by node", job, m.attempt.number, node != nullptr ? node->name : "", m.reason);
  // Nothing before the commit can have run, whatever the node says of itself.
  const bool errs = m.error && a->phase != AttemptPhase::kPreparing;
  TellOutcome(*job, *a, errs ? AttemptResult::kError : AttemptResult::kRejected, m.cause, m.report);
  Over(*job, m.attempt.number);
  Closed(*job);
}

void JobManager::On(const AttemptCommitted& m) {
  Job* job = nullptr;
  Attempt* a = Get(m.attempt, &job);
  if (a == nullptr || a->phase == AttemptPhase::kRunning) return;
  a->phase = AttemptPhase::kRunning;
  Touch(*job);
  if (a->told) return;  // given up before: it is being stopped, and its end will be told
  const ListedNode* node = FindNode(a->node);
  job->node = node != nullptr ? node->name : "";
  job->placed = now_;
  job->repeats.TaskStarted();
  job->settling = false;
  SetState(*job, JobState::kRunning);
  if (a->restored) {
    Readopt(*job, *a);
  } else {
    Tell(TaskStarted{a->of_request, a->of_attempt, a->node, now_ - a->sent});
  }
  Give(*job, FinalAnswer::kStarted, "placed on " + job->node);
}

void JobManager::On(const AttemptDisconnected& m) {
  Job* job = nullptr;
  Attempt* a = Get(m.attempt, &job);
  if (a == nullptr || a->phase == AttemptPhase::kRunning) return;
  if (!m.sent) {
    TellOutcome(*job, *a, AttemptResult::kUnreachable, RejectionReason::kUnspecified, {});
    Over(*job, m.attempt.number);
    Closed(*job);
    return;
  }
  a->phase = AttemptPhase::kInDoubt;
  if (!a->stopping) outputs_.push_back(QueryAttempt{m.attempt, a->node});
}

void JobManager::On(const QueryAnswered& m) {
  if (m.found) return On(AttemptCommitted{m.attempt});
  Job* job = nullptr;
  Attempt* a = Get(m.attempt, &job);
  if (a == nullptr || a->phase != AttemptPhase::kInDoubt) return;
  TellOutcome(*job, *a, AttemptResult::kUnreachable, RejectionReason::kUnspecified, {});
  Over(*job, m.attempt.number);
  Closed(*job);
}

void JobManager::On(const QueryFailed& m) {
  Job* job = nullptr;
  Attempt* a = Get(m.attempt, &job);
  if (a == nullptr || a->phase != AttemptPhase::kInDoubt || a->stopping) return;
  StopLater(m.attempt, *a);
  if (a->stop_tries < 255) ++a->stop_tries;
}

void JobManager::On(const StopAnswered& m) {
  Job* job = nullptr;
  Attempt* a = Get(m.attempt, &job);
  if (a == nullptr || !a->stopping) return;
  if (m.known) {  // its end comes by itself; a reminder in case the report is lost with the node's memory
    At(now_ + kStopRemind, TimerKind::kStop, m.attempt.job, m.attempt.number);
    return;
  }
  if (a->phase == AttemptPhase::kRunning && !a->told) {
    return Lose(*job, *a, AttemptResult::kLost, RejectionReason::kUnspecified, {},
                "the node does not know it any more");
  }
  Over(*job, m.attempt.number);
  Closed(*job);
}

void JobManager::On(const StopFailed& m) {
  Job* job = nullptr;
  Attempt* a = Get(m.attempt, &job);
  if (a == nullptr || !a->stopping) return;
  StopLater(m.attempt, *a);
  if (a->stop_tries < 255) ++a->stop_tries;
}

// A placed task is gone.
void JobManager::Lose(Job& job, Attempt& attempt, AttemptResult ending, RejectionReason cause,
                      const LoadReport& report, const std::string& reason) {
  const std::uint32_t number = attempt.number;
  // Danger: the end of an attempt that was given up says nothing of the request, which may be out elsewhere.
  const bool ours = !attempt.told;
  TellOutcome(job, attempt, ending, cause, report);
  if (ours && job.request == attempt.of_request) CloseRequest(job);
  Over(job, number);
  if (!ours || job.closing) return Closed(job);
  Log(LogLevel::kWarn, "lost", &job, number, job.node, reason);
  AskEnded(job, retry::RequestResult::kLost, 0, reason);
}

void JobManager::On(const AttemptFinished& m) {
  Job* job = nullptr;
  Attempt* a = Get(m.attempt, &job);
  if (a == nullptr) return;
  if (m.started != 0 && m.ended >= m.started) {
    const JobSpec& spec = *job->spec;
    outputs_.push_back(ResourceUsage{m.attempt, a->node, spec.task_class, spec.tenant, spec.cores,
                                     spec.memory, m.started, m.ended});
  }
  if (a->phase != AttemptPhase::kRunning)
    On(AttemptCommitted{m.attempt});  // the yes was overtaken by the end
  a = Get(m.attempt, &job);
  if (a == nullptr) return;
  AttemptResult ending = AttemptResult::kCompleted;
  RejectionReason cause = RejectionReason::kUnspecified;
  switch (m.reason) {
    case EndReason::kExited:
      break;
    case EndReason::kKilled:
      ending = AttemptResult::kCancelled;
      break;
    case EndReason::kEvicted:
      ending = AttemptResult::kLost, cause = RejectionReason::kEvicted;
      break;
    case EndReason::kPreempted:
      ending = AttemptResult::kLost, cause = RejectionReason::kPreempted;
      break;
    case EndReason::kDrained:
      ending = AttemptResult::kLost, cause = RejectionReason::kDrained;
      break;
    case EndReason::kError:
      ending = AttemptResult::kError;
      break;
    case EndReason::kLost:
      ending = AttemptResult::kLost;
      break;
  }
  if (!a->told) {
    job->has_exit = true;
    job->exit_status = m.exit_status;
  }
  const bool again = ending == AttemptResult::kLost || (job->rerun && !job->deleted);
  if (again) {
    if (!a->told) job->rerun = false;
    return Lose(*job, *a, ending, cause, m.report, m.text.empty() ? "lost at the node" : Bounded(m.text));
  }
  const bool ours = !a->told;
  TellOutcome(*job, *a, ending, cause, m.report);
  if (ours && job->request == a->of_request) CloseRequest(*job);
  Over(*job, m.attempt.number);
  if (!ours) {
    // An attempt that was given up has ended: what waits for that may go on.
    return Closed(*job);
  }
  job->comment = m.text.empty() ? "ended with status " + std::to_string(m.exit_status) : Bounded(m.text);
  Close(*job);
}

void JobManager::On(const NodeHealthChecked& m) {
  Tell(HealthCheckResult{m.node, m.answered, m.elapsed, m.report});
}

// ---- Nodes and the list ----

NodeEntry JobManager::EntryOf(NodeId id, const ListedNode& node) const {
  NodeEntry e;
  e.node = id;
  e.rack = static_cast<unsigned>(XXH32(node.rack.data(), node.rack.size(), 1));
  const auto index = [](const std::vector<std::string>& names, const std::string& name) {
    return static_cast<unsigned>(std::find(names.begin(), names.end(), name) - names.begin());
  };
  e.zone = index(options_.rooms, node.room);
  e.kind = index(options_.kinds, node.kind);
  e.started_at = node.started;
  e.state = node.state;
  e.free_cores = node.free_cores;
  e.free_memory = node.free_memory;
  return e;
}

void JobManager::HandleNodeList(Micros now, const NodeListView& view) {
  now_ = std::max(now_, now);
  NodeListUpdate told;
  told.kind = view.kind;
  if (view.kind == NodeListKind::kUnavailable) {
    Tell(told);
    return Pump();
  }
  const bool full = view.kind != NodeListKind::kDelta;
  viewed_ = true;
  std::set<NodeId> seen;
  std::vector<std::pair<NodeId, const char*>> lost;
  for (const ListedNode& listed : view.nodes) {
    const NodeId id = NodeIdOf(listed.name);
    const auto had = nodes_.find(id);
    if (had == nodes_.end() && (nodes_.size() >= options_.limits.nodes || listed.state == NodeState::kGone)) {
      if (listed.state != NodeState::kGone) {
        Log(LogLevel::kWarn, "node skipped", nullptr, 0, listed.name, "more nodes than the view holds");
      }
      continue;
    }
    if (had != nodes_.end() && had->second.listed.name != listed.name) {
      Log(LogLevel::kWarn, "node skipped", nullptr, 0, listed.name,
          "its number is that of " + had->second.listed.name + "; rename one");
      continue;
    }
    NodeRecord& node = nodes_[id];
    seen.insert(id);
    // Danger: the list is late. An entry from before a start that the node itself told must not undo it.
    const bool stale = node.present && listed.started < node.listed.started;
    if (stale && listed.state != NodeState::kGone) continue;
    const bool restarted = node.present && listed.started != node.listed.started;
    const bool appeared = !node.present && listed.state != NodeState::kGone;
    const bool gone = node.present && listed.state == NodeState::kGone;
    const Micros started = listed.started;
    // Attempts of an earlier life of ours at a life of the node that is over.
    const bool waited = node.awaited && listed.state != NodeState::kGone;
    const bool started_since = waited && node.listed.started != 0 && listed.started > node.listed.started;
    if (listed.state == NodeState::kGone && node.awaited)
      lost.emplace_back(id, "lost with its node, which is gone");
    node.awaited = false;
    node.listed = listed;
    if (listed.state != NodeState::kGone) node.present = true;
    if (started_since) LoseNode(id, started, true, "lost with its node, which started anew");
    if (restarted) LoseNode(id, started, true, "lost with its node, which started anew");
    if (gone) lost.emplace_back(id, "lost with its node, which is gone");
    if (appeared || restarted) {
      node.synced = false;
      Sync(node, id);
    }
    told.nodes.push_back(EntryOf(id, node.listed));
  }
  if (full) {
    for (auto& [id, node] : nodes_) {
      const bool awaited = node.awaited && view.kind == NodeListKind::kSnapshot;
      if (awaited) node.awaited = false;
      if ((node.present || awaited) && seen.count(id) == 0)
        lost.emplace_back(id, "lost with its node, which is gone");
    }
  }
  Tell(told);
  // The module learns of the view first: what is lost now may come again in the same turn.
  Pump();
  for (const auto& [id, why] : lost) LoseNode(id, 0, false, why);
  Pump();
}

void JobManager::LoseNode(NodeId id, Micros new_start, bool certain, const char* why) {
  NodeRecord& node = nodes_[id];
  if (!certain) {
    node.present = false;
    node.gone_at = now_;
    ++node.generation;
    Log(LogLevel::kWarn, "node gone", nullptr, 0, node.listed.name, "");
    At(now_ + options_.repeats.reconciliation_wait, TimerKind::kGone, id, node.generation);
  }
  const auto held = node.held;
  for (const auto& [number, attempt] : held) {
    Job* job = nullptr;
    Attempt* a = Get({number, attempt}, &job);
    if (a == nullptr || (certain && a->sent >= new_start && a->node_started >= new_start)) continue;
    if (a->phase == AttemptPhase::kPreparing) {
      outputs_.push_back(AbandonAttempt{{number, attempt}, id});
      TellOutcome(*job, *a, AttemptResult::kUnreachable, RejectionReason::kUnspecified, {});
      Over(*job, attempt);
      Closed(*job);
      continue;
    }
    if (certain) {
      if (a->phase == AttemptPhase::kRunning) {
        Lose(*job, *a, AttemptResult::kLost, RejectionReason::kUnspecified, {}, why);
        continue;
      }
      TellOutcome(*job, *a, AttemptResult::kLost, RejectionReason::kUnspecified, {});
      Over(*job, attempt);
      Closed(*job);
      continue;
    }
    // Only the list says so: it may run on behind a broken network. It is told as lost, and stopped if the
    // node can be reached; it counts as settled once the owner's wait has passed (kGone).
    const bool was_placed = a->phase == AttemptPhase::kRunning && !a->told;
    TellOutcome(*job, *a, AttemptResult::kLost, RejectionReason::kUnspecified, {});
    if (!a->stopping) Stop(*job, *a);
    if (!was_placed) continue;
    if (job->request == a->of_request) CloseRequest(*job);
    if (job->deleted) continue;
    Log(LogLevel::kWarn, "lost", job, attempt, node.listed.name, why);
    AskEnded(*job, retry::RequestResult::kLost, 0, why);
  }
}

void JobManager::Sync(NodeRecord& node, NodeId id) {
  if (node.syncing) return;
  node.syncing = true;
  sync_waiting_.push_back(id);
  SyncEnded(node);
}

// Danger: a daemon that starts among thousands of nodes, or sees them all come back, must not open all
// sessions at once; most may not even be there.
void JobManager::SyncEnded(NodeRecord& ended) {
  if (ended.sync_out) {
    ended.sync_out = false;
    --syncs_out_;
  }
  while (syncs_out_ < options_.limits.syncs && !sync_waiting_.empty()) {
    const NodeId id = sync_waiting_.front();
    sync_waiting_.pop_front();
    const auto it = nodes_.find(id);
    if (it == nodes_.end() || !it->second.syncing || it->second.sync_out) continue;
    if (!it->second.present) {
      it->second.syncing = false;
      continue;
    }
    it->second.sync_out = true;
    it->second.sync_sent = now_;
    ++syncs_out_;
    outputs_.push_back(ReconcileNode{id});
  }
}

void JobManager::On(const ReconcileFailed& m) {
  const auto it = nodes_.find(m.node);
  if (it == nodes_.end()) return;
  NodeRecord& node = it->second;
  // A broken session without a question out says nothing of the one that waits its turn.
  if (node.syncing && !node.sync_out) return;
  node.syncing = node.synced = false;
  SyncEnded(node);
  if (!node.present) return;
  const unsigned doublings = std::min(node.sync_failures++, kMostBackoff);
  const Micros pause = options_.sync_again << doublings;
  At(now_ + pause + static_cast<Micros>(static_cast<double>(pause) * 0.25 * Draw()), TimerKind::kSync,
     m.node);
}

void JobManager::On(const NodeReconciled& m) {
  const auto it = nodes_.find(m.node);
  if (it == nodes_.end()) return;
  NodeRecord& node = it->second;
  node.syncing = false;
  node.synced = true;
  node.sync_failures = 0;
  SyncEnded(node);
  if (m.started > node.listed.started && node.present) {
    // The node itself says that it started anew; the list will say so later. The module must know now: it is
    // cold.
    node.listed.started = m.started;
    NodeListUpdate view;
    view.kind = NodeListKind::kDelta;
    view.nodes.push_back(EntryOf(m.node, node.listed));
    Tell(view);
    Pump();
    LoseNode(m.node, m.started, true, "lost with its node, which started anew");
  }
  std::set<std::pair<std::uint64_t, std::uint32_t>> there;
  for (const ReportedAttempt& held : m.held) {
    there.insert({held.attempt.job, held.attempt.number});
    Job* job = nullptr;
    Attempt* a = Get(held.attempt, &job);
    if (a != nullptr && a->restored && !held.ended && !a->told && !a->stopping) {
      if (a->phase != AttemptPhase::kRunning) {
        On(AttemptCommitted{held.attempt});
      } else if (job->request == 0) {
        Readopt(*job, *a);
      }
      continue;
    }
    if (a != nullptr || held.ended) continue;
    if (job == nullptr) {
      Adopt(m.node, held);
    } else {
      // The job is known and this attempt of it is over: nobody waits for it.
      outputs_.push_back(StopAttempt{held.attempt, m.node});
    }
  }
  const auto ours = node.held;
  for (const auto& [number, attempt] : ours) {
    Job* job = nullptr;
    Attempt* a = Get({number, attempt}, &job);
    if (a != nullptr && a->restored && a->phase == AttemptPhase::kInDoubt && !a->stopping &&
        there.count({number, attempt}) == 0) {
      // Its commit may still be on the way to the node: only the word on a question is final.
      outputs_.push_back(QueryAttempt{{number, attempt}, m.node});
      continue;
    }
    if (a != nullptr && a->restored && a->stopping && a->phase != AttemptPhase::kEnded) {
      outputs_.push_back(StopAttempt{{number, attempt}, m.node});
      continue;
    }
    // What was placed after the question went out may be missing in the answer.
    if (a == nullptr || a->phase != AttemptPhase::kRunning || there.count({number, attempt}) > 0) continue;
    if (job->placed >= node.sync_sent) continue;
    Lose(*job, *a, AttemptResult::kLost, RejectionReason::kUnspecified, {},
         "the node does not know it any more");
  }
}

// Found running at a node after a restart of this daemon.
void JobManager::Adopt(NodeId id, const ReportedAttempt& held) {
  if (live_ >= options_.limits.jobs || held.spec.task_class >= options_.settings.classes.size()) {
    return Log(LogLevel::kWarn, "not adopted", nullptr, held.attempt.number, FindNode(id)->name,
               "no room, or a queue that is not known: " + JobId(held.attempt.job));
  }
  Job& job = jobs_[held.attempt.job];
  job.number = held.attempt.job;
  next_number_ = std::max(next_number_, job.number);
  job.spec = std::make_unique<JobSpec>(held.spec);
  job.state = JobState::kRunning;
  job.answer = FinalAnswer::kStarted;
  job.adopted = true;
  job.node = FindNode(id)->name;
  job.comment = "found running on " + job.node + " after a restart";
  job.created = job.queued = job.changed = job.placed = now_;
  job.attempts_made = held.attempt.number;
  ++counts_.running;
  ++live_;
  if (!job.spec->key.empty()) of_key_[KeyIndex(job.spec->user, job.spec->key)] = job.number;
  if (options_.durable) touched_specs_.insert(job.number);
  Touch(job);
  Attempt a;
  a.number = held.attempt.number;
  a.phase = AttemptPhase::kRunning;
  a.node = id;
  a.node_started = nodes_[id].listed.started;
  a.sent = now_;
  job.attempts.push_back(a);
  nodes_[id].held.insert({job.number, a.number});
  Log(LogLevel::kInfo, "adopted", &job, a.number, job.node, "");
  job.request = job.attempts.back().of_request = TellRunning(job, id);
}

// A placed attempt of an earlier life of this daemon: the module is told what runs.
void JobManager::Readopt(Job& job, Attempt& attempt) {
  attempt.restored = false;
  job.adopted = true;
  job.restored = false;
  Log(LogLevel::kInfo, "adopted", &job, attempt.number, job.node, "known from before the restart");
  job.request = attempt.counted ? attempt.of_request : TellRunning(job, attempt.node);
  attempt.of_request = job.request;
  attempt.counted = false;
}

RequestId JobManager::TellRunning(Job& job, NodeId id) {
  do {
    ++next_request_;
  } while (next_request_ == 0 || of_request_.count(next_request_) > 0);
  of_request_[next_request_] = job.number;
  TaskRecovered running;
  running.node = id;
  running.task.request = next_request_;
  running.task.task_class = job.spec->task_class;
  running.task.tenant = job.spec->tenant;
  running.task.deadline = now_;
  running.task.key =
      job.spec->key.empty() ? Hash(JobId(job.number)) : Hash(KeyIndex(job.spec->user, job.spec->key));
  running.task.service = Hash(job.spec->service);
  running.task.cores = job.spec->cores;
  running.task.memory = job.spec->memory;
  Tell(running);
  return next_request_;
}

// ---- Durable state ----

void JobManager::Forget(std::uint64_t number) {
  jobs_.erase(number);
  if (!options_.durable) return;
  touched_.erase(number);
  touched_specs_.erase(number);
  forgotten_.insert(number);
}

namespace {

StateRecord StateOf(const Job& job, const std::function<std::string(NodeId)>& name_of) {
  StateRecord s;
  s.state = job.state;
  s.answer = job.answer;
  s.deleted = job.deleted, s.closing = job.closing, s.settling = job.settling, s.rerun = job.rerun;
  s.has_exit = job.has_exit;
  s.attempts_made = job.attempts_made;
  for (const Attempt& a : job.attempts) {
    s.attempts.push_back(
        {a.number, a.phase, a.told, a.stopping, name_of(a.node), a.node_started, a.sent, a.until});
  }
  s.created = job.created, s.queued = job.queued, s.changed = job.changed, s.ended = job.ended;
  s.placed = job.placed, s.give_up = job.give_up;
  s.exit_status = job.exit_status;
  s.node = job.node, s.comment = job.comment;
  return s;
}

}  // namespace

std::vector<std::string> JobManager::TakeJournal() {
  std::vector<std::string> records;
  const auto name_of = [this](NodeId id) {
    const ListedNode* node = FindNode(id);
    return node != nullptr ? node->name : std::string();
  };
  for (const std::uint64_t number : touched_specs_) {
    if (const Job* job = Find(number)) records.push_back(WriteSpec(number, *job->spec));
  }
  for (const std::uint64_t number : touched_) {
    if (const Job* job = Find(number)) records.push_back(WriteState(number, StateOf(*job, name_of)));
  }
  for (const std::uint64_t number : forgotten_) records.push_back(WriteForgotten(number));
  touched_specs_.clear();
  touched_.clear();
  forgotten_.clear();
  return records;
}

std::string JobManager::Snapshot() const {
  std::string all;
  const auto name_of = [this](NodeId id) {
    const ListedNode* node = FindNode(id);
    return node != nullptr ? node->name : std::string();
  };
  for (const auto& [number, job] : jobs_) {
    JoinRecord(WriteSpec(number, *job.spec), &all);
    JoinRecord(WriteState(number, StateOf(job, name_of)), &all);
  }
  return all;
}

bool JobManager::Restore(std::string_view record, std::string* expected) {
  JournalRecord kept;
  if (!ReadRecord(record, &kept, expected)) return false;
  if (kept.kind == RecordKind::kForgotten) {
    jobs_.erase(kept.job);
    kept_.erase(kept.job);
  } else if (kept.kind == RecordKind::kSpec) {
    jobs_[kept.job].spec = std::make_unique<JobSpec>(std::move(kept.spec));
  } else {
    kept_[kept.job] = std::move(kept.state);
  }
  next_number_ = std::max(next_number_, kept.job);
  return true;
}

bool JobManager::FinishRestore(Micros now, std::string* expected) {
  now_ = std::max(now_, now);
  std::erase_if(jobs_, [this](const auto& one) { return kept_.count(one.first) == 0; });
  std::vector<std::pair<Micros, std::uint64_t>> complete;
  for (auto& [number, s] : kept_) {
    const auto it = jobs_.find(number);
    if (it == jobs_.end()) continue;
    Job& job = it->second;
    // Danger: an order of queues that changed since must not turn an unsafe job into a safe one.
    const auto find = [&, &number = number, &s = s](const std::vector<std::string>& names,
                                                    const std::string& name, const char* what,
                                                    unsigned* index) {
      const auto at = std::find(names.begin(), names.end(), name);
      const bool found = at != names.end();
      if (!name.empty()) *index = found ? static_cast<unsigned>(at - names.begin()) : 0;
      if (name.empty() || found || IsOver(s.state)) return true;
      *expected =
          "job " + JobId(number) + ": expected " + what + " '" + name + "' to be configured until it is over";
      return false;
    };
    if (!find(options_.classes, job.spec->queue, "queue", &job.spec->task_class) ||
        !find(options_.tenants, job.spec->account, "account", &job.spec->tenant)) {
      return false;
    }
    job.number = number;
    job.restored = true;
    job.state = s.state;
    job.answer = s.answer;
    job.deleted = s.deleted, job.closing = s.closing, job.settling = s.settling, job.rerun = s.rerun;
    job.has_exit = s.has_exit;
    job.attempts_made = s.attempts_made;
    job.created = s.created, job.queued = s.queued, job.changed = s.changed, job.ended = s.ended;
    job.placed = s.placed, job.give_up = s.give_up;
    job.exit_status = s.exit_status;
    job.node = s.node, job.comment = s.comment;
    ++CountOf(job.state);
    if (!job.spec->key.empty()) of_key_[KeyIndex(job.spec->user, job.spec->key)] = number;
    if (IsOver(job.state)) {
      complete.emplace_back(job.ended, number);
      continue;
    }
    ++live_;
    script_bytes_ += job.spec->script.size();
    bool runs = false;
    for (const AttemptRecord& k : s.attempts) {
      Attempt a;
      a.number = k.number;
      a.restored = true;
      a.told = k.told;
      a.stopping = k.stopping;
      // Whatever it was, its messages are lost: only what the node confirmed is sure.
      a.phase = k.phase == AttemptPhase::kRunning ? AttemptPhase::kRunning : AttemptPhase::kInDoubt;
      a.node = NodeIdOf(k.node);
      a.node_started = k.node_started, a.sent = k.sent, a.until = k.until;
      runs |= a.phase == AttemptPhase::kRunning && !a.told;
      // Danger: until its node speaks a task that runs, or may, would not count for the spread of its
      // service.
      if (!a.told && !a.stopping) {
        a.counted = true;
        a.of_request = TellRunning(job, a.node);
      }
      job.attempts.push_back(a);
      if (a.stopping) unsettled_[{number, a.number}] = now_;
      NodeRecord& node = nodes_[a.node];
      node.held.insert({number, a.number});
      node.awaited = true;
      if (node.listed.name.empty()) node.listed.name = k.node;
      node.listed.started = std::max(node.listed.started, k.node_started);
    }
    if (runs || job.closing || job.state == JobState::kHeld) continue;
    // It waits until nothing of it can run and the nodes are known; then it is asked for anew, in the time
    // its owner gave it. Many of them do not come all at once.
    const Micros hard = options_.hard_limits[job.spec->task_class];
    const Micros start = std::max(now_, job.spec->due);
    if (job.give_up == 0) {
      job.give_up = start + (job.spec->client_wait != 0 ? job.spec->client_wait : hard);
      if (job.spec->client_deadline != 0) job.give_up = std::min(job.give_up, job.spec->client_deadline);
    }
    job.settling = true;
    if (job.comment.empty()) job.comment = "asked for before a restart of the daemon";
    SetState(job, JobState::kWaiting);
    ++job.generation;
    const Micros left = job.give_up > start ? job.give_up - start : 0;
    const Micros spread = std::min<Micros>(1'000'000, left / 4);
    At(start + static_cast<Micros>(static_cast<double>(spread) * Draw()), TimerKind::kJob, number,
       job.generation);
  }
  std::sort(complete.begin(), complete.end());
  for (const auto& [ended, number] : complete) history_.push_back(number);
  if (!history_.empty())
    At(std::max(now_, complete.front().first + options_.history_kept), TimerKind::kHistory, 0);
  Log(LogLevel::kInfo, "restored", nullptr, 0, "",
      std::to_string(live_) + " jobs, " + std::to_string(history_.size()) + " complete");
  kept_.clear();
  return true;
}

// ---- In ----

void JobManager::HandleNodeMessage(Micros now, const NodeMessage& message) {
  now_ = std::max(now_, now);
  std::visit([this](const auto& m) { On(m); }, message);
  Pump();
}

void JobManager::HandleMembershipChange(Micros now, const MembershipChange& group) {
  now_ = std::max(now_, now);
  if (group.size != group_.size || group.index != group_.index) {
    Log(group.index < 0 ? LogLevel::kWarn : LogLevel::kInfo, "group", nullptr, 0, "",
        std::to_string(group.size) + " daemons, own number " + std::to_string(group.index) +
            (group.undisturbed ? ", as before" : ""));
  }
  group_ = group;
  Tell(group);
  Pump();
}

void JobManager::Tick(Micros now) {
  now_ = std::max(now_, now);
  while (!timers_.empty() && timers_.top().at <= now_) {
    const Timer timer = timers_.top();
    timers_.pop();
    Fire(timer);
    Pump();
  }
}

void JobManager::FireAttempt(const AttemptId& id) {
  Job* job = nullptr;
  Attempt* a = Get(id, &job);
  if (a == nullptr || a->told || a->phase == AttemptPhase::kRunning) return;
  if (a->phase == AttemptPhase::kPreparing) {
    outputs_.push_back(AbandonAttempt{id, a->node});
    TellOutcome(*job, *a, AttemptResult::kUnreachable, RejectionReason::kUnspecified, {});
    return Over(*job, id.number);
  }
  TellOutcome(*job, *a, AttemptResult::kTimedOut, RejectionReason::kUnspecified, {});
  Stop(*job, *a);
}

void JobManager::Fire(const Timer& timer) {
  switch (timer.kind) {
    case TimerKind::kAlarm:
      Tell(TimerFired{timer.a});
      return;
    case TimerKind::kAttempt:
      return FireAttempt({timer.a, timer.b});
    case TimerKind::kJob: {
      Job* job = Get(timer.a);
      if (job == nullptr || job->generation != timer.b || job->state != JobState::kWaiting) return;
      // Without a list yet the module would refuse what an earlier life took on.
      if (job->settling && (Unsettled(*job) || (job->restored && !viewed_))) {
        if (now_ >= job->give_up) {
          for (Attempt& a : job->attempts) {
            if (!a.stopping) Stop(*job, a);
          }
          Give(*job, FinalAnswer::kFailed, job->comment + " (not settled within the owner's time)");
          return Close(*job);
        }
        return At(std::min(now_ + options_.find_again, job->give_up), TimerKind::kJob, timer.a, timer.b);
      }
      return Settle(*job);
    }
    case TimerKind::kStop: {
      Job* job = nullptr;
      Attempt* a = Get({timer.a, timer.b}, &job);
      if (a == nullptr) return;
      if (a->stopping)
        outputs_.push_back(StopAttempt{{timer.a, timer.b}, a->node});
      else if (a->phase == AttemptPhase::kInDoubt)
        outputs_.push_back(QueryAttempt{{timer.a, timer.b}, a->node});
      return;
    }
    case TimerKind::kSync: {
      const auto it = nodes_.find(static_cast<NodeId>(timer.a));
      if (it != nodes_.end() && it->second.present && !it->second.synced) Sync(it->second, it->first);
      return;
    }
    case TimerKind::kGone: {
      const auto it = nodes_.find(static_cast<NodeId>(timer.a));
      if (it == nodes_.end() || it->second.present || it->second.generation != timer.b) return;
      const auto held = it->second.held;
      for (const auto& [number, attempt] : held) {
        Job* job = nullptr;
        if (Get({number, attempt}, &job) == nullptr) continue;
        Over(*job, attempt);
        Closed(*job);
      }
      outputs_.push_back(ForgetNode{it->first});
      it->second.present = it->second.syncing = false;
      SyncEnded(it->second);
      nodes_.erase(it);
      return;
    }
    case TimerKind::kHistory:
      while (!history_.empty()) {
        Job* old = Get(history_.front());
        if (old != nullptr && old->ended + options_.history_kept > now_) {
          return At(old->ended + options_.history_kept, TimerKind::kHistory, 0);
        }
        if (old != nullptr) {
          const auto key = of_key_.find(KeyIndex(old->spec->user, old->spec->key));
          if (key != of_key_.end() && key->second == old->number) of_key_.erase(key);
          --counts_.complete;
          Forget(old->number);
        }
        history_.pop_front();
      }
      return;
    case TimerKind::kFind: {
      Job* job = Get(timer.a);
      if (job != nullptr && job->generation == timer.b) FindStep(*job);
      return;
    }
  }
}

}  // namespace mountflow::job_manager
