// The core of the scheduler: jobs and their one answer, attempts, what nodes
// may still say yes to, the fleet view, timers. Sans-I/O: commands, messages
// and time go in; messages and the next time to wake come out. It alone talks
// to the module (mountflow::Scheduler): it tells what happens and carries out
// what is decided. On the five rules it decides nothing.
//
// What it settles itself, because the module never sees it:
// - An attempt that ended before its commit went out has certainly not run
//   (told as "unreachable: never ran"); one that ended after may have.
// - An attempt whose commit got no reply is in doubt. The node is asked; its
//   word that it does not have it is final (see QueryNode).
// - An attempt that was given up is stopped at the node until the node answers,
//   or until the node's life is known to be over. Only then is it settled, and
//   only a settled keyed or unsafe job may be asked for again.
//
// With `durable`, what must outlive the process is told as records (TakeJournal). The
// caller makes them durable before it carries out the outputs of the same turn:
// so no answer is told, no attempt goes out and no end is taken that a later life
// does not know. A later life takes the records by Restore. What was placed waits for
// its node's word; what may have been out is asked after, and nothing is asked for
// anew until that is settled, or the owner's time is over.
//
// Bounds: Limits below; each has its stated answer when it is full.
#ifndef MOUNTFLOW_JOB_MANAGER_JOB_MANAGER_HPP_
#define MOUNTFLOW_JOB_MANAGER_JOB_MANAGER_HPP_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "job_manager/job.hpp"
#include "job_manager/journal.hpp"
#include "job_manager/messages.hpp"
#include "mountflow/scheduler.hpp"
#include "retry/retry.hpp"

namespace mountflow::job_manager {

struct Limits {
  std::size_t jobs = 1'000'000;          // not complete; beyond: submissions are refused (kFull)
  std::size_t script_bytes = 256 << 20;  // of all jobs not complete; beyond: as above
  std::size_t history = 100'000;         // complete jobs kept for status; beyond: the oldest is forgotten
  std::size_t nodes = 16'384;            // in the view; beyond: entries are skipped and logged
  std::size_t syncs = 256;               // nodes asked at once what they hold; the others wait their turn
  std::size_t unsettled =
      100'000;  // given-up attempts still being stopped; beyond: the oldest is let go, logged
};

struct JobManagerOptions {
  std::string server = "mountflow";  // name of this daemon: unique in the installation, stable over restarts
  Settings settings;
  std::vector<std::string> classes;  // names, in the order of settings.classes
  std::vector<std::string> tenants;
  std::vector<std::string> kinds;
  std::vector<std::string> rooms;
  std::vector<Micros> hard_limits;  // per class: how long an owner waits for a placement
  retry::RetryPolicy repeats;
  Limits limits;
  Micros stop_again =
      500'000;  // pause before a node is asked again to stop an attempt, doubled up to 16 times this
  Micros sync_again = 500'000;  // pause before a failed sync is tried again, doubled up to 16 times this
  Micros history_kept = 600'000'000;  // complete jobs, and with them keys, are kept this long at the most
  bool durable = false;
  Micros find_again = 300'000;  // pause before nodes that did not answer are asked again for a key
};

enum class CommandResult {
  kOk,
  kUnknownJob,
  kPermission,
  kBadState,
  kNotRunning,
  kFull,    // a bound of Limits is reached
  kExists,  // a job with this key is there; its id is told
  kBadValue,
  kStopping  // the daemon is going down
};

struct SubmitResult {
  CommandResult verdict = CommandResult::kOk;
  std::uint64_t job = 0;
  std::string reason;
};

struct Counts {
  std::size_t queued = 0, held = 0, waiting = 0, running = 0, exiting = 0, complete = 0;
};

class JobManager {
 public:
  // `seed` feeds every random draw, the module's too. `now` is wall time in
  // microseconds; it must not go back between calls (the shell sees to that).
  JobManager(JobManagerOptions options, std::uint64_t seed, Micros now);

  // ---- Commands. `user` empty means the operator. ----

  std::uint64_t NewJobNumber();  // reserves an id for a submission in progress
  bool WasIssued(std::uint64_t number) const { return number <= next_number_; }
  // Takes over a submission at its commit. The job is known from here on.
  SubmitResult Submit(Micros now, std::uint64_t number, JobSpec spec);
  // Looks for a job that the key's owner has here already; 0: none.
  std::uint64_t FindJobByKey(const std::string& user, const std::string& key) const;
  CommandResult Delete(Micros now, std::uint64_t job, const std::string& user);
  CommandResult Hold(Micros now, std::uint64_t job, const std::string& user, const std::string& types);
  CommandResult Release(Micros now, std::uint64_t job, const std::string& user, const std::string& types);
  CommandResult Rerun(Micros now, std::uint64_t job, const std::string& user);
  CommandResult Signal(Micros now, std::uint64_t job, const std::string& user, const std::string& signal);
  // Changes the specification of a job that is not running.
  CommandResult Alter(Micros now, std::uint64_t job, const std::string& user,
                      const std::function<bool(JobSpec*)>& change);

  // ---- Messages ----

  void HandleNodeMessage(Micros now, const NodeMessage& message);
  void HandleNodeList(Micros now, const NodeListView& view);
  void HandleMembershipChange(Micros now, const MembershipChange& group);  // who shares the fleet
  void Tick(Micros now);                                                   // runs what is due

  // ---- Out ----

  std::vector<Output>& outputs() { return outputs_; }  // the caller carries out and clears
  Micros NextTimer() const;                            // Micros max: none

  // ---- Durable state ----

  // Before anything else, in the order written; false with what was expected.
  bool Restore(std::string_view record, std::string* expected);
  // After the last of them. False with the job and what it expects of the configuration: a queue and an
  // account that live jobs name must still be there, whatever their order.
  bool FinishRestore(Micros now, std::string* expected);
  std::vector<std::string> TakeJournal();
  std::string Snapshot() const;  // records joined (core/journal.hpp)
  // New submissions are refused with this reason (kFull) until it is empty.
  void RejectNewJobs(std::string reason) { refuse_new_ = std::move(reason); }
  // Asked of each submission before anything else sees it; a reason refuses it (kFull).
  void SetAdmissionCheck(std::function<std::string(const JobSpec&)> door) { door_ = std::move(door); }
  const std::string& rejection_of_new_jobs() const { return refuse_new_; }

  // ---- Reading ----

  const Job* Find(std::uint64_t job) const;
  // In the order of their numbers; stops when `visit` returns false.
  void ForEach(std::uint64_t from, const std::function<bool(const Job&)>& visit) const;
  const ListedNode* FindNode(NodeId node) const;
  void ForEachNode(const std::function<void(NodeId, const ListedNode&)>& visit) const;
  Counts Count() const;
  const JobManagerOptions& options() const { return options_; }
  std::string JobId(std::uint64_t job) const;               // NUMBER.SERVER
  std::uint64_t ParseJobId(std::string_view id) const;      // 0: not an id of this server
  std::string AttemptName(const AttemptId& attempt) const;  // NUMBER.SERVER/ATTEMPT
  bool ParseAttemptName(std::string_view name, AttemptId* id, std::string* server) const;
  std::size_t unsettled() const { return unsettled_.size(); }
  void StopAccepting() { accepting_ = false; }
  // Wall time the module took, for measurements; only counted when a clock is set.
  void MeasureScheduler(std::function<std::uint64_t()> clock_ns) { clock_ns_ = std::move(clock_ns); }
  std::uint64_t scheduler_ns() const { return module_ns_; }

  static NodeId NodeIdOf(std::string_view name);  // equal at every daemon

 private:
  struct NodeRecord {
    ListedNode listed;
    bool present = false;
    bool awaited = false;   // not seen yet; attempts of an earlier life of this daemon are there
    bool synced = false;    // in this life of the node
    bool syncing = false;   // asked, or waiting its turn to be
    bool sync_out = false;  // asked
    unsigned sync_failures = 0;
    std::uint32_t generation = 0;
    Micros gone_at = 0;
    Micros sync_sent = 0;
    std::set<std::pair<std::uint64_t, std::uint32_t>> held;  // attempts here that are not over
  };
  struct FindState {            // a repeat whose first ask may live at another daemon
    Micros horizon = 0;         // after this nobody else starts it any more
    std::set<NodeId> asked;     // in this round
    std::set<NodeId> answered;  // in this round, and have nothing of the key
    Micros round_at = 0;
  };
  enum class TimerKind : std::uint8_t { kAlarm, kAttempt, kJob, kStop, kSync, kGone, kHistory, kFind };
  struct Timer {
    Micros at = 0;
    std::uint64_t order = 0;
    TimerKind kind = TimerKind::kAlarm;
    std::uint64_t a = 0;
    std::uint32_t b = 0;
    bool operator>(const Timer& other) const { return at != other.at ? at > other.at : order > other.order; }
  };

  // ---- The module ----
  void Tell(Event event);
  void Pump();  // runs queued events through the module and carries out its actions
  void Do(const Action& action);
  void Do(const StartAttempt& offer);
  void Do(const CancelAttempt& cancel);
  void Do(const RejectTask& refusal);
  void Do(const FailTask& failure);
  void Do(const MigrateTask& move);
  void Do(const SetTimer& alarm);
  void Do(const StartHealthCheck& probe);
  void Do(const WatchNodes& follow);
  void Do(const ListNodes& fetch);
  void Do(const LogLine& line);

  // ---- Jobs ----
  Job* Get(std::uint64_t number);
  CommandResult Manage(std::uint64_t number, const std::string& user, Job** job);
  void Settle(Job& job);  // from hold, time or wait to the module, as far as it may go
  void Ask(Job& job);     // hands the job to the module as a new request
  void AskEnded(Job& job, retry::RequestResult end, Micros advised, const std::string& reason);
  void Give(Job& job, FinalAnswer answer, const std::string& reason);
  void Complete(Job& job, const std::string& reason);
  void Close(Job& job);   // no further ask; completes when no attempt is left
  void Closed(Job& job);  // if it is closing: completes when no attempt is left
  void CloseRequest(Job& job);
  bool Unsettled(const Job& job) const;
  void StartFind(Job& job);
  void FindRound(Job& job, FindState& state);
  void FindStep(Job& job);

  // ---- Attempts ----
  Attempt* Get(const AttemptId& id, Job** job);
  void TellOutcome(Job& job, Attempt& attempt, AttemptResult ending, RejectionReason cause,
                   const LoadReport& report);
  void Over(Job& job, std::uint32_t number);
  void Stop(Job& job, Attempt& attempt);
  void Lose(Job& job, Attempt& attempt, AttemptResult ending, RejectionReason cause, const LoadReport& report,
            const std::string& reason);
  // The node's life is over: `certain` when a later life was seen, else only the list says so.
  void LoseNode(NodeId id, Micros new_start, bool certain, const char* why);
  void Adopt(NodeId id, const ReportedAttempt& held);
  void Readopt(Job& job, Attempt& attempt);  // of an earlier life, found running
  RequestId TellRunning(Job& job, NodeId node);
  void Touch(const Job& job);
  void Forget(std::uint64_t number);
  void StopLater(const AttemptId& id, const Attempt& attempt);

  // ---- Messages ----
  void On(const AttemptPrepared& m);
  void On(const AttemptRejected& m);
  void On(const AttemptCommitted& m);
  void On(const AttemptDisconnected& m);
  void On(const StopAnswered& m);
  void On(const StopFailed& m);
  void On(const QueryAnswered& m);
  void On(const QueryFailed& m);
  void On(const NodeReconciled& m);
  void On(const ReconcileFailed& m);
  void On(const FindKeyAnswered& m);
  void On(const AttemptFinished& m);
  void On(const NodeHealthChecked& m);

  // ---- Timers ----
  void At(Micros when, TimerKind kind, std::uint64_t a, std::uint32_t b = 0);
  void Fire(const Timer& timer);
  void FireAttempt(const AttemptId& id);

  NodeEntry EntryOf(NodeId id, const ListedNode& node) const;
  void Sync(NodeRecord& node, NodeId id);
  void SyncEnded(NodeRecord& node);  // its turn is the next one's
  double Draw();
  void Log(LogLevel level, const char* event, const Job* job, std::uint32_t attempt, const std::string& node,
           const std::string& text);
  std::size_t& CountOf(JobState state);
  void SetState(Job& job, JobState state);

  JobManagerOptions options_;
  Scheduler scheduler_;
  std::uint64_t random_;
  Micros now_ = 0;
  MembershipChange group_{-1, -1};  // as told last
  bool accepting_ = true;
  bool viewed_ = false;  // a list of nodes was taken
  std::string refuse_new_;
  std::function<std::string(const JobSpec&)> door_;
  std::set<std::uint64_t> touched_, touched_specs_, forgotten_;  // since the last TakeJournal
  std::map<std::uint64_t, StateRecord> kept_;                    // while restoring
  std::uint64_t next_number_ = 0;
  RequestId next_request_ = 0;
  std::map<std::uint64_t, Job> jobs_;
  std::unordered_map<RequestId, std::uint64_t> of_request_;
  std::map<std::string, std::uint64_t> of_key_;  // USER\0KEY -> job
  std::deque<std::uint64_t> history_;
  std::size_t live_ = 0, script_bytes_ = 0;
  Counts counts_;
  std::map<NodeId, NodeRecord> nodes_;
  std::deque<NodeId> sync_waiting_;
  std::size_t syncs_out_ = 0;
  std::map<std::uint64_t, FindState> finding_;
  std::map<std::pair<std::uint64_t, std::uint32_t>, Micros> unsettled_;  // attempts being stopped, since when
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  std::uint64_t timer_order_ = 0;
  std::deque<Event> events_;
  bool pumping_ = false;
  std::vector<Action> actions_;
  std::vector<Output> outputs_;
  std::function<std::uint64_t()> clock_ns_;
  std::uint64_t module_ns_ = 0;
};

}  // namespace mountflow::job_manager

#endif  // MOUNTFLOW_JOB_MANAGER_JOB_MANAGER_HPP_
