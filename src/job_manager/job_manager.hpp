// The job manager: jobs and their final answers, attempts, nodes and timers.
//
// It performs no I/O. Its inputs are commands, messages and the current time; its results are outputs, which
// the caller carries out, and the time at which Tick must be called next. The scheduler
// (scheduler_bridge.hpp) decides which task to start at which node. The job manager reports events to the
// scheduler and carries out its actions.
//
// The job manager makes these decisions itself, because the scheduler does not see the events behind them:
// - An attempt that ended before its commit was sent cannot have run, and is reported as unreachable. An
//   attempt that ended later may have run.
// - An attempt whose commit was not answered is in doubt, and its node is queried. The node's answer that it
//   does not have the attempt is final (see QueryAttempt).
// - An abandoned attempt has ended only when its node reports the end or answers that it does not have the
//   attempt, or when the incarnation of the node is known to have ended. Until then stop requests are
//   repeated. A job whose task is not idempotent is requested again only when it has no open attempt.
//
// If JobManagerOptions::durable is set, TakeJournal returns records of all changes that must survive the
// process. The caller makes them durable before it carries out the outputs of the same turn. A later
// incarnation therefore knows every final answer that was given, every attempt that was sent and every end
// that was accepted. It reads the records with Restore. A task that was running waits for its node to confirm
// it. For an attempt that may have been in flight, the node is queried, and the job is not requested again
// until the answer is known or the client's wait has ended.
//
// JobTable, NodeTable, KeyIndex, KeySearches, StoppingAttempts, TimerQueue, SchedulerBridge, JobIds and
// RandomSource hold the state. They do not depend on each other, except that JobJournal reads JobTable and
// NodeTable. Only JobManager calls them. The functions of JobManager are spread over these files:
//   - job_manager.cpp: construction, submissions, timers, read access
//   - commands.cpp: commands of users and operators
//   - job_lifecycle.cpp: requests, final answers, completion, the key search
//   - attempts.cpp: actions of the scheduler, and messages about attempts
//   - reconciliation.cpp: the node list, lost nodes, the attempts that nodes report
//   - recovery.cpp: jobs restored from records
#ifndef MOUNTFLOW_JOB_MANAGER_JOB_MANAGER_HPP_
#define MOUNTFLOW_JOB_MANAGER_JOB_MANAGER_HPP_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

#include "job_manager/job.hpp"
#include "job_manager/job_ids.hpp"
#include "job_manager/job_journal.hpp"
#include "job_manager/job_table.hpp"
#include "job_manager/journal.hpp"
#include "job_manager/key_index.hpp"
#include "job_manager/key_search.hpp"
#include "job_manager/messages.hpp"
#include "job_manager/node_table.hpp"
#include "job_manager/random_source.hpp"
#include "job_manager/scheduler_bridge.hpp"
#include "job_manager/stopping_attempts.hpp"
#include "job_manager/timer_queue.hpp"
#include "mountflow/scheduler.hpp"
#include "retry/retry.hpp"

namespace mountflow::job_manager {

// Upper bounds, each with the effect of reaching it.
struct Limits {
  std::size_t jobs = 1'000'000;          // live jobs; at the bound, submissions are rejected (kFull)
  std::size_t script_bytes = 256 << 20;  // scripts of live jobs; beyond it, submissions are rejected (kFull)
  std::size_t history = 100'000;         // complete jobs; beyond it, the oldest job is forgotten
  std::size_t nodes = 16'384;            // at the bound, new entries of the node list are skipped and logged
  std::size_t reconciliations = 256;     // concurrent reconciliations; further nodes wait in a queue
  std::size_t stopping_attempts = 100'000;  // beyond it, the oldest counts as ended, which is logged
};

// All durations are in microseconds.
struct JobManagerOptions {
  std::string server = "mountflow";  // name of this daemon: unique in the installation, same after restarts
  Settings settings;
  std::vector<std::string> classes;  // names of the classes, in the order of settings.classes
  std::vector<std::string> tenants;
  std::vector<std::string> kinds;
  std::vector<std::string> zones;
  std::vector<Micros> hard_limits;  // for each class: the default time that a client waits for the answer
  retry::RetryPolicy retry_policy;
  Limits limits;
  Micros stop_retry_delay = 500'000;  // before the next stop request or query of an attempt; with backoff
  Micros reconcile_retry_delay = 500'000;  // before a failed reconciliation is retried; with backoff
  Micros history_retention = 600'000'000;  // maximum time for which complete jobs and their keys are retained
  bool durable = false;                    // changes are written to the journal
  Micros key_search_interval = 300'000;    // between two rounds of a key search
};

// The result of a command, or of a submission.
enum class CommandResult {
  kOk,
  kUnknownJob,
  kPermission,
  kBadState,
  kNotRunning,
  kFull,    // a bound of Limits is reached, or new jobs are rejected for another reason
  kExists,  // a job with this key or this number exists; its number is returned
  kBadValue,
  kStopping  // the daemon is shutting down
};

struct SubmitResult {
  CommandResult command_result = CommandResult::kOk;
  std::uint64_t job = 0;
  std::string reason;  // for a rejection; otherwise empty
};

// The state of all jobs of one daemon; see the top of this file. Not thread-safe. Movable. It has more than
// fifteen fields, because it has one for each of its components.
class JobManager {
 public:
  // `seed` determines every random draw, including those of the scheduler. `now`, here and in all other
  // functions, is wall time in microseconds. The caller ensures that it never decreases from call to call.
  JobManager(JobManagerOptions options, std::uint64_t seed, Micros now);

  // ---- Commands. An empty `user` means the operator. ----

  // Returns the number for a new submission. No two calls return the same number.
  std::uint64_t NewJobNumber() { return jobs_.NewNumber(); }
  // Reports whether the number is at most the highest number issued.
  bool WasIssued(std::uint64_t number) const { return jobs_.WasIssued(number); }
  // Accepts or rejects a submission at its commit. If the result is kOk, the job exists from now on.
  SubmitResult Submit(Micros now, std::uint64_t number, JobSpec spec);
  // Returns the user's job with this key if it may run or has run, and 0 otherwise.
  std::uint64_t FindJobByKey(const std::string& user, const std::string& key) const;
  // Cancels the job and stops its attempts. The job is complete once no attempt can run.
  CommandResult Delete(Micros now, std::uint64_t number, const std::string& user);
  // Adds hold types. Returns kBadState for a running job. If a request of the job is open, the hold takes
  // effect before the next request.
  CommandResult Hold(Micros now, std::uint64_t number, const std::string& user, const std::string& types);
  // Removes hold types. The job continues when none is left.
  CommandResult Release(Micros now, std::uint64_t number, const std::string& user, const std::string& types);
  // Stops a running job and then requests it again. Returns kBadState unless the specification and the class
  // of the job allow a second run.
  CommandResult Rerun(Micros now, std::uint64_t number, const std::string& user);
  // Sends a signal to a running job. Returns kNotRunning for other jobs.
  CommandResult Signal(Micros now, std::uint64_t number, const std::string& user, const std::string& signal);
  // Changes the specification of a job that is neither running nor requested. Returns kBadValue, and changes
  // nothing, if `change` returns false.
  CommandResult Alter(Micros now, std::uint64_t number, const std::string& user,
                      const std::function<bool(JobSpec*)>& change);

  // ---- Messages ----

  void HandleNodeMessage(Micros now, const NodeMessage& message);
  void HandleNodeList(Micros now, const NodeListEvent& event);
  // Applies a change of the group of daemons that share the nodes.
  void HandleMembershipChange(Micros now, const MembershipChange& membership);
  // Handles all timers that are due.
  void Tick(Micros now);

  // ---- Outputs ----

  // Returns the outputs since the list was last cleared. The caller carries them out in order and clears the
  // list.
  std::vector<Output>& outputs() { return outputs_; }
  // Returns the time of the earliest timer, or the largest value of Micros if there is none.
  Micros NextTimer() const { return timers_.NextDue(); }

  // ---- Durable state ----

  // Restores one record. Must be called before any other function, for all records in the order in which they
  // were written.
  [[nodiscard]] tl::expected<void, JournalError> Restore(std::string_view record);
  // Completes the restoration after the last record. Returns an error if the queue or account of a live job
  // is no longer configured; their order in the configuration may have changed.
  [[nodiscard]] tl::expected<void, JournalError> FinishRestore(Micros now);
  // Returns the records of all changes since the last call.
  std::vector<std::string> TakeJournal() { return journal_.TakeRecords(jobs_, nodes_); }
  // Returns the records of all jobs, joined into one text that ForEachRecord reads.
  std::string Snapshot() const { return JobJournal::Snapshot(jobs_, nodes_); }

  // ---- Admission of submissions ----

  // Rejects new submissions with kFull and this reason. An empty reason ends the rejection.
  void RejectNewJobs(std::string reason) { submissions_.rejection = std::move(reason); }
  const std::string& rejection_of_new_jobs() const { return submissions_.rejection; }
  // Sets a function that is called for each submission that passed the earlier checks. If it returns a
  // reason, the submission is rejected with kFull and this reason.
  void SetAdmissionCheck(std::function<std::string(const JobSpec&)> check) {
    submissions_.admission_check = std::move(check);
  }
  // Rejects all further submissions with kStopping, because the daemon is shutting down.
  void StopAccepting() { submissions_.accepting = false; }

  // ---- Read access ----

  // Returns nullptr if the job is not known. The pointer is valid until the next call of a non-const
  // function.
  const Job* Find(std::uint64_t number) const { return jobs_.Find(number); }
  // Calls `visit` for each job whose number is at least `from`, in the order of the numbers, until `visit`
  // returns false.
  void ForEach(std::uint64_t from, const std::function<bool(const Job&)>& visit) const;
  // Returns nullptr if the node is not known. The pointer is valid until the next call of a non-const
  // function.
  const ListedNode* FindNode(NodeId node) const;
  // Calls `visit` for each node that is in the node list.
  void ForEachNode(const std::function<void(NodeId, const ListedNode&)>& visit) const;
  Counts Count() const { return jobs_.counts(); }
  const JobManagerOptions& options() const { return options_; }
  std::string JobId(std::uint64_t number) const { return ids_.JobId(number); }
  std::uint64_t ParseJobId(std::string_view id) const { return ids_.ParseJobId(id); }
  std::string AttemptName(const AttemptId& attempt) const { return ids_.AttemptName(attempt); }
  [[nodiscard]] static bool ParseAttemptName(std::string_view name, AttemptId* id, std::string* server) {
    return JobIds::ParseAttemptName(name, id, server);
  }
  // Returns the number of attempts that are being stopped.
  std::size_t stopping_attempts() const { return stopping_.size(); }
  // Sets the clock, in nanoseconds, by which the time spent in the scheduler is measured.
  void MeasureScheduler(SchedulerBridge::Clock clock_ns) { scheduler_.SetClock(std::move(clock_ns)); }
  // Returns the total time spent in the scheduler, in nanoseconds, since a clock was set.
  std::uint64_t scheduler_ns() const { return scheduler_.elapsed_ns(); }

  // Returns the id of the node with this name, which is the same in every daemon.
  static NodeId NodeIdOf(std::string_view name) { return NodeTable::IdOf(name); }

 private:
  // The conditions under which submissions are rejected.
  struct SubmissionPolicy {
    bool accepting = true;
    std::string rejection;  // reason for which all are rejected; empty: none
    std::function<std::string(const JobSpec&)> admission_check;
  };
  // The result of FindAttempt. `job` is null if the job is not known; `attempt` is null if the attempt is not
  // known or has ended.
  struct FoundAttempt {
    Job* job = nullptr;
    Attempt* attempt = nullptr;
  };
  // The outcome of an attempt, as it is reported to the scheduler.
  struct AttemptOutcome {
    AttemptResult result = AttemptResult::kCompleted;
    RejectionReason reason = RejectionReason::kUnspecified;
    LoadReport report{};
  };
  // The effects of one event of the node list.
  struct NodeListOutcome {
    NodeListUpdate update;                             // reported to the scheduler
    std::set<NodeId> listed;                           // nodes that the event names
    std::vector<std::pair<NodeId, const char*>> lost;  // nodes that left the list, with the reason
  };

  // ---- job_manager.cpp ----
  void AdvanceTime(Micros now);
  void RunScheduler();
  SubmitResult CheckSubmission(std::uint64_t number, const JobSpec& spec) const;
  void MarkStateChanged(const Job& job) { journal_.MarkStateChanged(job.number); }
  void SetState(Job* job, JobState state);
  void Log(LogEntry entry) { outputs_.emplace_back(std::move(entry)); }
  void Fire(const SchedulerTimer& timer);
  void Fire(const AttemptDeadline& timer);
  void Fire(const JobWakeup& timer);
  void Fire(const StopOrQueryRetry& timer);
  void Fire(const ReconcileRetry& timer);
  void Fire(const NodeRemoval& timer);
  void Fire(const HistoryExpiry& timer);
  void Fire(const KeySearchRound& timer);

  // ---- commands.cpp ----
  // Returns the job if it exists, the user may manage it and it is not complete.
  tl::expected<Job*, CommandResult> FindManaged(std::uint64_t number, const std::string& user);
  // Cancels the open request of the job, and abandons or stops its attempts.
  void CancelRequest(std::uint64_t number);

  // ---- job_lifecycle.cpp ----
  Idempotency IdempotencyOf(const Job& job) const;
  // Returns the time that the client waits for the final answer: as submitted, or the hard limit of the
  // class.
  Micros ClientWait(const Job& job) const;
  // Sets the deadline of a job whose client begins to wait at `start`, unless the job has a deadline already.
  void StartClientWait(Job* job, Micros start);
  Task MakeTask(const Job& job, RequestId request, Micros deadline) const;
  // Takes the next step of a job without a request: holds it, waits for its start time, starts a key search,
  // or requests the job.
  void Advance(Job* job);
  // Submits the job's task to the scheduler as a new request.
  void Request(Job* job);
  void CloseRequest(Job* job);
  // Handles the end of a request that has no running task, or whose task was lost. Schedules a retry or gives
  // the final answer.
  void HandleRequestEnd(Job* job, retry::RequestResult end, Micros advised_wait, const std::string& reason);
  // Stores `reason` as the job's comment, and gives the final answer unless it was given before.
  void GiveAnswer(Job* job, FinalAnswer answer, const std::string& reason);
  // Prevents any further request of the job. The job is complete once it has no open attempt.
  void Close(Job* job);
  void CompleteIfClosed(Job* job);
  void Complete(Job* job, const std::string& reason);
  void ForgetJob(std::uint64_t number);
  // See key_search.hpp.
  void StartKeySearch(Job* job);
  void RunKeySearchRound(Job* job, KeySearch* search);
  void ContinueKeySearch(Job* job);
  void Handle(const FindKeyAnswered& answer);

  // ---- attempts.cpp ----
  Job* JobOfRequest(RequestId request);
  void CarryOut(const StartAttempt& action);
  void CarryOut(const CancelAttempt& action);
  void CarryOut(const RejectTask& action);
  void CarryOut(const FailTask& action);
  void CarryOut(const MigrateTask& action);
  void CarryOut(const SetTimer& action);
  void CarryOut(const StartHealthCheck& action);
  void CarryOut(const WatchNodes& action);
  void CarryOut(const ListNodes& action);
  void CarryOut(const LogLine& action);
  FoundAttempt FindAttempt(const AttemptId& id);
  // Reports the outcome of an attempt to the scheduler, unless it was reported before.
  void ReportOutcome(Job* job, Attempt* attempt, const AttemptOutcome& outcome);
  // Removes an attempt that can no longer run. Pointers to the attempts of the job are invalid afterwards.
  void EndAttempt(Job* job, std::uint32_t number);
  // Records which process of a node has answered. The attempts that are sent from now on are for it.
  void NoteProcess(NodeId id, const std::optional<Micros>& process_started);
  // Ends an attempt that was sent to a process of its node that has ended. It may have run.
  void EndLostAttempt(Job* job, Attempt* attempt);
  // Ends an attempt whose commit was not sent, so that it never ran.
  void AbandonPrepared(Job* job, Attempt* attempt);
  // Sends stop requests for an attempt that its node may have accepted or may still accept. The requests are
  // repeated until the node answers, or until its incarnation is known to have ended.
  void StopUntilAnswered(Job* job, Attempt* attempt);
  // Schedules the next stop request or query after one that failed, with backoff.
  void ScheduleStopOrQueryRetry(const AttemptId& id, Attempt* attempt);
  // Handles the loss of a running task: it was evicted, preempted, drained or stopped for a rerun, or its
  // node lost it.
  void HandleLostTask(Job* job, Attempt* attempt, const AttemptOutcome& outcome, const std::string& reason);
  // Handles the end of a task that ran to its end or was killed.
  void FinishTask(Job* job, Attempt* attempt, const AttemptOutcome& outcome, const AttemptFinished& message);
  void Handle(const AttemptPrepared& message);
  void Handle(const AttemptRejected& message);
  void Handle(const AttemptCommitted& message);
  void Handle(const AttemptDisconnected& message);
  void Handle(const StopAnswered& message);
  void Handle(const StopFailed& message);
  void Handle(const QueryAnswered& message);
  void Handle(const QueryFailed& message);
  void Handle(const AttemptFinished& message);
  void Handle(const NodeHealthChecked& message);

  // ---- reconciliation.cpp ----
  NodeEntry EntryOf(NodeId id, const ListedNode& node) const;
  // Reports whether an entry of the node list is accepted. Logs entries beyond the limit and colliding ids.
  bool IsAccepted(NodeId id, const ListedNode& listed);
  void ApplyListedNode(const ListedNode& listed, NodeListOutcome* outcome);
  // Adds the known nodes that a complete node list does not name to the lost nodes.
  void AddMissingNodes(NodeListKind kind, NodeListOutcome* outcome);
  // Handles a node that left the list. It is forgotten after the reconciliation wait unless it returns.
  void HandleNodeRemoved(NodeId id, const char* reason);
  // Ends the attempts of an earlier incarnation of the node; `started` is the start of the current one.
  void HandleNodeRestart(NodeId id, Micros started);
  // Handles an attempt at a node that left the list. The attempt may still be running.
  void HandleUnreachableAttempt(Job* job, Attempt* attempt, const char* reason);
  // Compares the attempts that the node reports with the expected ones, as soon as the limit of concurrent
  // reconciliations allows.
  void Reconcile(NodeId id);
  void StartNextReconciliations();
  void Handle(const NodeReconciled& message);
  void Handle(const ReconcileFailed& message);
  void ReconcileReported(NodeId node, const ReportedAttempt& reported);
  void ReconcileMissing(const NodeRecord& node, NodeId id, const std::set<AttemptId>& reported);
  // Creates a job from a reported attempt whose job is not known.
  void AdoptReported(NodeId id, const ReportedAttempt& reported);
  // Handles a node's confirmation of a restored attempt.
  void ConfirmRestored(Job* job, Attempt* attempt);
  // Reports a recovered task to the scheduler under a new request, and returns the request.
  RequestId ReportRecovered(const Job& job, NodeId node);

  // ---- recovery.cpp ----
  // Sets the class and tenant of a restored job from the names of its queue and account.
  tl::expected<void, JournalError> ResolveNames(Job* job);
  // Restores a job. For a complete job, its end time and number are appended to `ended`.
  void RestoreJob(Job* job, const StateRecord& state, std::vector<std::pair<Micros, std::uint64_t>>* ended);
  void RestoreAttempt(Job* job, const AttemptRecord& record);
  void WaitForRestoredAttempts(Job* job);

  JobManagerOptions options_;
  JobIds ids_;
  RandomSource random_;
  Micros now_;
  MembershipChange membership_{-1, -1};  // latest one received
  bool has_node_list_ = false;
  SubmissionPolicy submissions_;
  SchedulerBridge scheduler_;
  JobTable jobs_;
  KeyIndex keys_;
  KeySearches key_searches_;
  NodeTable nodes_;
  StoppingAttempts stopping_;
  TimerQueue timers_;
  JobJournal journal_;
  std::map<std::uint64_t, StateRecord> restored_states_;  // filled by Restore and cleared by FinishRestore
  std::vector<Output> outputs_;
};

}  // namespace mountflow::job_manager

#endif  // MOUNTFLOW_JOB_MANAGER_JOB_MANAGER_HPP_
