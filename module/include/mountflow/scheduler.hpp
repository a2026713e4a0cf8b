// The interface of mountflow: settings and events in, actions out, and the
// Scheduler that decides. Types only; every decision is in module/brain.cpp.
//
// Embedding: make one Scheduler per scheduler process, feed it events in the
// order in which they happened, and carry out the actions in the order given.
// Time arrives with the events; the module reads no clock, starts no thread,
// does no I/O and keeps no global state.
#ifndef MOUNTFLOW_SCHEDULER_HPP_
#define MOUNTFLOW_SCHEDULER_HPP_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace mountflow {

using Micros = std::uint64_t;  // a point in time or a length, microseconds
using RequestId = std::uint32_t;
using MachineId = std::uint32_t;

enum class Effect { kSafe, kKeyed, kUnsafe };
enum class Scope { kAll, kZone, kCell };  // which machines discard repeats
enum class Spread { kNone, kMachine, kCell, kZone };

// One class of tasks.
struct TaskClass {
  Effect effect = Effect::kUnsafe;  // the strictest where nothing is told
  Scope scope = Scope::kCell;
  Micros window = 0;           // how long the group remembers a keyed task
  Micros aim = 0;              // a first start within this earns its full worth
  double worth = 1.0;          // of a second of service at mean size
  double start_seconds = 0.0;  // what a start in time is worth, in seconds
  double late_value = 0.0;     // share of it left when the start is late
  Spread spread = Spread::kNone;
  int together_max = 0;  // most tasks of one service in one such place; 0: none
  int kind = -1;         // machine kind that it needs; -1: any
  int priority = 0;
  double calm = 1.0;  // served in full while cores are busy up to this share
};

struct Kind {
  double cores = 1.0;
  double memory = 1.0;
};

// What a deployment states at the start. Defaults are the neutral meaning of a
// setting that is absent.
struct Settings {
  std::vector<TaskClass> classes;
  std::vector<Kind> kinds;
  int group_size = 0;   // schedulers that share the fleet; 0: not told
  int self_index = -1;  // own number among them, from 0; -1: not told
  int own_zone = 0;
  bool must_ask = false;          // the list of machines comes only when asked for
  bool lists_free = false;        // list entries carry free cores and memory
  bool placed_at_running = true;  // Placement means running, not just accepted
  bool reports_asked = false;     // reported free room counts asks, not use
  bool may_probe = false;
  bool may_cancel = false;
  bool second_copies = false;
  bool preempts = false;
  unsigned max_attempts = 1;
  double mean_cores = 1.0;    // of a task
  double mean_memory = 1.0;   // of a task
  double accept_cores = 1.0;  // a machine accepts up to this times its cores
  double accept_memory = 1.0;
  Micros owner_wait = 0;  // owner's wait where a task may be running
  Micros answer_slack = 0;
  Micros ask_within = 0;
  Micros drain_grace = 0;
  double cold_from = 1.0;  // share of its pace at which a fresh machine starts
  Micros cold_time = 0;    // and is warm no later than this
  double fall_multiple = 1.0;
  Micros fall_window = 0;
  double cold_offers = 0.0;  // offers in that window that are always borne
  double refusal_price = 0.0;
  double cross_zone_price = 0.0;
  double moves_price = 0.0;
  double eviction_weight = 1.0;
  double probe_price = 0.0;
};

enum class MachineState { kGone, kReady, kDraining };

struct MachineEntry {
  MachineId machine = 0;
  unsigned cell = 0;
  unsigned zone = 0;
  unsigned kind = 0;
  Micros started_at = 0;  // 0: long ago
  MachineState state = MachineState::kReady;
  double free_cores = 0.0;  // not asked for, some time ago
  double free_memory = 0.0;
};

// A machine's own word on its load; what it does not tell is empty.
struct LoadReport {
  std::optional<double> free_cores;
  std::optional<double> free_memory;
  std::optional<double> queued;
  std::optional<double> busy;
};

// ---- Events ----

enum class ViewMode { kChanges, kFull, kRemembered, kFailed };
struct FleetView {
  ViewMode mode = ViewMode::kChanges;
  std::vector<MachineEntry> machines;
};

struct Task {
  RequestId request = 0;
  unsigned task_class = 0;
  unsigned tenant = 0;
  Micros deadline = 0;
  std::uint64_t key = 0;
  std::uint64_t service = 0;
  double cores = 0.0;
  double memory = 0.0;
};
struct TaskArrival {
  Task task;
};
// A task that already runs and is now this scheduler's to look after.
struct RunningTask {
  Task task;
  MachineId machine = 0;
};
struct Placement {
  RequestId request = 0;
  unsigned attempt = 0;
  MachineId machine = 0;
  Micros elapsed = 0;
};
enum class NoteKind { kRuns = 1, kCores = 2, kMemory = 3, kServed = 4, kPressure = 5 };
struct TaskNote {
  RequestId request = 0;
  unsigned attempt = 0;
  MachineId machine = 0;
  NoteKind kind = NoteKind::kRuns;
  double value = 0.0;
};
enum class Ending {
  kDone,         // the task ended
  kError,        // the machine answered with an error; it may have run
  kRefused,      // never ran
  kTimedOut,     // proves nothing
  kUnreachable,  // never ran
  kLost,         // evicted, pushed out, sent away, or lost with its machine
  kCancelled,    // called off; before a placement it may have been accepted
  kMoot          // was never sent
};
enum class Cause {
  kUntold = 0,
  kNoCores = 1,
  kNoMemory = 2,
  kQueueFull = 3,
  kNotHere = 4,
  kEvicted = 5,
  kPushedOut = 6,
  kSentAway = 7
};
// How an offer ended. Exactly one comes for each offer.
struct Outcome {
  RequestId request = 0;
  unsigned attempt = 0;
  MachineId machine = 0;
  Micros elapsed = 0;
  bool closed = false;  // the request is over, by this outcome or earlier
  Ending ending = Ending::kDone;
  Cause cause = Cause::kUntold;
  LoadReport report;
};
struct Withdrawal {  // the task is no longer wanted
  RequestId request = 0;
};
struct Alarm {
  std::uint64_t token = 0;
};
struct ProbeResult {
  MachineId machine = 0;
  bool answered = false;
  Micros elapsed = 0;
  LoadReport report;
};
// How many schedulers share the fleet, and the own number among them, as far as is known now; an index
// outside 0 to size - 1: not sure. The settings' numbers hold until the first of these.
struct GroupChange {
  int size = 0;
  int index = -1;
  Micros until = ~Micros{0};  // sure until then, unless told anew
  bool undisturbed = false;   // nobody came or went since the numbers that were sure last
};
using Event = std::variant<FleetView, TaskArrival, RunningTask, Placement, TaskNote, Outcome, Withdrawal,
                           Alarm, ProbeResult, GroupChange>;

// ---- Actions ----

struct Offer {  // attempts of a request count from 0 in the order of offers
  RequestId request = 0;
  unsigned attempt = 0;
  MachineId machine = 0;
  Micros until = 0;  // given up at this time
};
struct CancelOffer {
  RequestId request = 0;
  unsigned attempt = 0;
};
struct Refusal {  // final; tells the owner that asking again is harmless
  RequestId request = 0;
  Micros wait = 0;  // 0: no advice
};
struct Failure {  // final; promises nothing
  RequestId request = 0;
};
struct Move {  // stops a placed task; its owner asks again
  RequestId request = 0;
};
struct SetAlarm {
  Micros at = 0;
  std::uint64_t token = 0;
};
struct Probe {
  MachineId machine = 0;
};
struct FollowList {};  // subscribe to changes of the list of machines
struct FetchList {};   // ask for the whole list once
struct LogLine {
  std::string text;
};
using Action =
    std::variant<Offer, CancelOffer, Refusal, Failure, Move, SetAlarm, Probe, FollowList, FetchList, LogLine>;

class Scheduler {
 public:
  // `seed` feeds every random draw: equal seeds and events give equal actions.
  Scheduler(const Settings& settings, std::uint64_t seed);
  ~Scheduler();
  Scheduler(Scheduler&&) noexcept;
  Scheduler& operator=(Scheduler&&) noexcept;

  // Takes one event that happened at `now` and appends what is to be done.
  void Handle(Micros now, const Event& event, std::vector<Action>* actions);

 private:
  class Brain;
  std::unique_ptr<Brain> brain_;
};

}  // namespace mountflow

#endif  // MOUNTFLOW_SCHEDULER_HPP_
