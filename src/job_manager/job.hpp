// Jobs and their attempts, as the job manager stores them in memory.
//
// Plain data types. JobTable owns the jobs; all other code refers to a job by its number.
#ifndef MOUNTFLOW_JOB_MANAGER_JOB_HPP_
#define MOUNTFLOW_JOB_MANAGER_JOB_HPP_

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "mountflow/scheduler.hpp"
#include "retry/retry.hpp"

namespace mountflow::job_manager {

// The specification of a job, as its client submitted it. After acceptance only JobManager::Alter, Hold and
// Release change it; the job manager also clears `repeat` once a key search is complete, and `script` when
// the job completes.
//
// It has one field for each attribute of a batch submission that the job manager reads. All times are in
// microseconds.
struct JobSpec {
  std::string name = "STDIN";
  std::string user;     // only this user and the operator may manage the job
  std::string queue;    // name of the job's class
  std::string account;  // name of the job's tenant; empty: the first configured tenant
  std::string service;  // tasks of one service run the same program; empty: the job's name
  std::string key;      // idempotency key; empty: none
  unsigned task_class = 0;
  unsigned tenant = 0;
  double cores = 1.0;
  double memory = 1.0;         // in the memory unit of the deployment
  Micros walltime = 0;         // 0: unlimited
  Micros due = 0;              // wall time before which the job does not start; 0: it may start at once
  Micros client_wait = 0;      // time that the client waits for the final answer; 0: the class's hard limit
  Micros client_deadline = 0;  // wall time; a submission committed at or after it is rejected; 0: none
  Micros earlier_until = 0;    // if `repeat`: wall time until which an earlier submission may start the job
  int priority = 0;
  bool rerunnable = false;
  bool repeat = false;  // the client has submitted the job before, to this daemon or another one
  std::string hold;     // POSIX hold types, any of u, o and s; empty: not held
  std::string script;
  // Attributes that the job manager only passes on to the node: paths, variables, join.
  std::vector<std::pair<std::string, std::string>> forwarded_attributes;
};

// The state of a job. The letters are those of the PBS documents and are stored in journal records.
enum class JobState : char {
  kQueued = 'Q',
  kHeld = 'H',
  kWaiting = 'W',  // for its start time, a key search, a retry, or the end of an earlier attempt
  kRunning = 'R',
  kExiting = 'E',
  kComplete = 'C'
};

// The final answer to the client that submitted a job. It is given once and does not change.
enum class FinalAnswer : std::uint8_t { kNone, kStarted, kRejected, kFailed, kDeleted };

// Returns the spelling that clients read: "none", "placed", "refused", "failed" or "deleted".
const char* Name(FinalAnswer answer);

// The progress of an attempt, as far as this daemon knows it.
enum class AttemptPhase : std::uint8_t {
  kPreparing,   // reservation requested from the node; no commit sent, so the attempt cannot run
  kCommitting,  // commit sent and not answered; the attempt may run
  kInDoubt,     // commit sent, and the connection broke before the answer; the attempt may run
  kRunning,     // the node has accepted the attempt
  kEnded
};

// Identifies an attempt of this daemon. On the wire an attempt is named JOBNUMBER.SERVER/ATTEMPT; the name is
// unique across restarts of the daemon.
struct AttemptId {
  std::uint64_t job = 0;
  std::uint32_t number = 0;
  auto operator<=>(const AttemptId&) const = default;
};

// One try to run a job's task at one node.
struct Attempt {
  std::uint32_t number = 0;           // counts from 1 for each job; part of the name on the wire
  RequestId request = 0;              // the scheduler's request that started it
  std::uint16_t request_attempt = 0;  // the scheduler's attempt number in that request; 0 if recovered
  AttemptPhase phase = AttemptPhase::kPreparing;
  bool outcome_reported = false;  // the scheduler has received the outcome
  bool stopping = false;          // stop requests are sent until the node answers
  bool restored = false;  // from an earlier incarnation of this daemon, and not yet confirmed by its node
  bool reported_as_recovered = false;  // restored, and the scheduler counts it before its node confirms it
  std::uint8_t failed_stops_or_queries = 0;  // failed stop requests and queries, at most 255
  NodeId node = 0;
  Micros node_started = 0;  // start time of the node's incarnation that got the attempt; 0: not known
  // When the process of the node was started that gets the attempt. No value: not known, as for every
  // restored attempt, because it is not stored.
  std::optional<Micros> process_started;
  Micros sent = 0;      // when the attempt was started
  Micros deadline = 0;  // time by which the node must have accepted the attempt
};

// The part of a job that state records store, besides its attempts. Each field is stored. Times are wall
// times in microseconds.
struct JobStatus {
  JobState state = JobState::kQueued;
  FinalAnswer answer = FinalAnswer::kNone;
  bool deleted = false;            // by its user or the operator
  bool closing = false;            // no further request is made; the job is complete once no attempt can run
  bool awaiting_attempts = false;  // no further request until no earlier attempt can run
  bool rerun = false;              // a new request follows once the running attempt has ended
  bool has_exit = false;           // exit_status is valid
  std::uint32_t attempts_made = 0;
  Micros created = 0;
  Micros queued = 0;
  Micros changed = 0;  // last change of the state, the specification or the answer
  Micros ended = 0;
  Micros placed = 0;    // when a node last accepted an attempt
  Micros deadline = 0;  // end of the client's wait; 0: the wait has not begun
  int exit_status = 0;
  std::string node;     // name of the node that runs the job, or ran it last
  std::string comment;  // reason for the final answer or for the latest event
};

// A job with its specification, status and open attempts.
struct Job : JobStatus {
  std::uint64_t number = 0;  // the job's id is NUMBER.SERVER
  std::unique_ptr<JobSpec> spec;
  bool recovered = false;  // a node reported it running after a restart of the daemon
  bool restored = false;   // restored from records, and no attempt confirmed by a node since
  retry::RetryState retry_state;
  RequestId request = 0;               // open request at the scheduler; 0: none
  std::uint32_t timer_generation = 0;  // timers with an earlier generation are ignored
  std::vector<Attempt> attempts;       // attempts that have not ended

  // Reports whether an attempt may be running, or may still be accepted by its node.
  bool HasOpenAttempt() const {
    for (const Attempt& attempt : attempts) {
      if (attempt.phase != AttemptPhase::kEnded) return true;
    }
    return false;
  }
  bool IsComplete() const { return state == JobState::kComplete; }
};

}  // namespace mountflow::job_manager

#endif  // MOUNTFLOW_JOB_MANAGER_JOB_HPP_
