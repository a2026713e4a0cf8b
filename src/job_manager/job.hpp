// Jobs and their attempts, as the core holds them.
#ifndef MOUNTFLOW_JOB_MANAGER_JOB_HPP_
#define MOUNTFLOW_JOB_MANAGER_JOB_HPP_

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "mountflow/scheduler.hpp"
#include "retry/retry.hpp"

namespace mountflow::job_manager {

// What an owner submits. Immutable once accepted, but for `Alter`.
struct JobSpec {
  std::string name = "STDIN";
  std::string user;     // who may manage it
  std::string queue;    // a class by name
  std::string account;  // a tenant by name; empty: the first
  std::string service;  // tasks of one service share a program; empty: the job's name
  std::string key;      // idempotency key; empty: none
  unsigned task_class = 0;
  unsigned tenant = 0;
  double cores = 1.0;
  double memory = 1.0;         // in the deployment's unit
  Micros walltime = 0;         // 0: unlimited
  Micros due = 0;              // not asked for before this time; 0: at once
  Micros client_wait = 0;      // how long the owner waits for the answer; 0: the class's
  Micros client_deadline = 0;  // wall time; a commit taken later than this is refused; 0: none stated
  Micros earlier_until = 0;    // of a repeat: wall time until which an earlier ask may still start it
  int priority = 0;
  bool rerunnable = false;
  bool repeat = false;  // the owner asked before, here or elsewhere
  std::string hold;     // POSIX hold types of u, o, s; empty: none
  std::string script;
  // What the node needs and the core does not: paths, variables, join.
  std::vector<std::pair<std::string, std::string>> passed;
};

enum class JobState : char {
  kQueued = 'Q',
  kHeld = 'H',
  kWaiting = 'W',  // for its time, or for the owner's next ask
  kRunning = 'R',
  kExiting = 'E',
  kComplete = 'C'
};

// The job's one answer. It is given once and does not change.
enum class FinalAnswer : std::uint8_t { kNone, kStarted, kRejected, kFailed, kDeleted };
const char* Name(FinalAnswer answer);

enum class AttemptPhase : std::uint8_t {
  kPreparing,   // the node was asked and has not been told to go on: it cannot run
  kCommitting,  // told to go on, no word yet: it may run
  kInDoubt,     // the same, and the connection broke
  kRunning,     // the node has it
  kEnded
};

struct Attempt {
  std::uint32_t number = 0;      // counts from 1 over the job's life; part of the name on the wire
  std::uint32_t of_request = 0;  // the module's request and its number there
  std::uint16_t of_attempt = 0;
  AttemptPhase phase = AttemptPhase::kPreparing;
  bool told = false;      // the module has its outcome
  bool stopping = false;  // the node is asked to stop it until it answers
  bool restored = false;  // of an earlier life of this daemon, and its node has not spoken of it yet
  bool counted = false;   // the module knows it as running, though it is restored and in doubt
  std::uint8_t stop_tries = 0;
  NodeId node = 0;
  Micros node_started = 0;  // the node's life that it belongs to, where known
  Micros sent = 0;
  Micros until = 0;
};

struct Job {
  std::uint64_t number = 0;  // its id is NUMBER.SERVER
  std::unique_ptr<JobSpec> spec;
  JobState state = JobState::kQueued;
  FinalAnswer answer = FinalAnswer::kNone;
  bool deleted = false;   // by its owner
  bool closing = false;   // nothing more will be asked; complete once no attempt can run
  bool settling = false;  // waits until no earlier attempt can run
  bool adopted = false;   // found running, after a restart
  bool restored = false;  // of an earlier life of this daemon, not asked for in this one
  bool rerun = false;     // qrerun, or moved: asks anew once the running attempt has ended
  retry::RetryState repeats;
  RequestId request = 0;  // the ask that the module holds; 0: none
  std::uint32_t attempts_made = 0;
  std::uint32_t generation = 0;   // of its timer
  std::vector<Attempt> attempts;  // those not over
  Micros created = 0, queued = 0, changed = 0, ended = 0, placed = 0;
  Micros give_up = 0;  // the owner's time ends
  int exit_status = 0;
  bool has_exit = false;
  std::string node;     // where it runs or ran last
  std::string comment;  // the reason of the answer or of the last event
};

}  // namespace mountflow::job_manager

#endif  // MOUNTFLOW_JOB_MANAGER_JOB_HPP_
