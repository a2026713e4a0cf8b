// A node, sans-I/O: what it accepts, starts, runs and ends, as the brief's
// machines do. The same code serves modelled tasks (they end by themselves) and
// real ones (the shell runs them and tells their exit).
//
// - It looks at one ask at a time, and lets so many wait.
// - It accepts while what tasks ask stays within its cores and memory, else it
//   refuses and says why; it may push out tasks of lower priority to make room.
// - It starts few tasks at a time; a start takes several times the work where
//   the node holds no task of the service and has not kept its program.
// - Fresh nodes are cold: they start at a part of their pace. Offered more than
//   a multiple of what it can start, within a window, a cold node falls over.
// - Tasks use other than they asked; out of memory, the node evicts.
// - The nodes of one rack let one copy of a keyed task stand (KeyMemory).
#ifndef MOUNTFLOW_NODE_AGENT_MODEL_HPP_
#define MOUNTFLOW_NODE_AGENT_MODEL_HPP_

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "mountflow/scheduler.hpp"

namespace mountflow::node_agent {

struct NodeConfig {
  std::string name = "node-0";
  std::string kind = "small", rack = "rack-0", room = "room-a";
  double cores = 32.0, memory = 64.0;
  double overcommit_cores = 1.0, overcommit_memory = 1.0;  // accepts up to this times its size
  Micros admit = 10'000;                                   // to look at one ask
  std::size_t admit_queue = 16;  // asks that wait beside the one looked at; beyond: refused
  unsigned starts = 4;           // at once
  Micros start_work = 50'000;    // of a start with the program there
  double setup = 8.0;            // times that without it
  std::size_t kept = 8;          // programs kept after their last task
  bool ack_running = false;      // says yes when the task runs, not when it is accepted
  bool preempts = true;
  bool drain_sends_away = true;
  double slow_start_initial_pace = 0.25;
  Micros slow_start_duration = 15'000'000;
  double overload_multiple = 2.0;
  Micros slow_start_window = 3'000'000;
  double cold_bears = 24.0;
  double use_cores = 0.8, use_memory = 0.8;    // mean share of what was asked
  double over_share = 0.0, over_factor = 2.0;  // this share of tasks uses so many times more memory
  Micros grow = 3'000'000;                     // memory grows to its use within this
  Micros life = 10'000'000;                    // of a modelled task that states none
  bool exec = false;                           // tasks are run by the shell
  Micros report_period = 200'000;              // load values are this old at the most
  std::size_t tombstones = 65'536;
  std::size_t most_tasks = 1'000'000;
  std::uint64_t seed = 1;
};

// Keys of the copies that stand on the nodes of one rack.
class KeyMemory {
 public:
  bool Take(const std::string& key, const std::string& attempt) { return keys_.emplace(key, attempt).second; }
  void Release(const std::string& key, const std::string& attempt) {
    const auto it = keys_.find(key);
    if (it != keys_.end() && it->second == attempt) keys_.erase(it);
  }
  const std::string* Holder(const std::string& key) const {
    const auto it = keys_.find(key);
    return it == keys_.end() ? nullptr : &it->second;
  }

 private:
  std::map<std::string, std::string> keys_;
};

struct TaskAsk {
  std::string attempt;  // unique name
  std::string service;
  std::string key;
  double cores = 1.0, memory = 1.0;
  int priority = 0;
  Micros until = 0;  // a commit that comes later is refused
  Micros life = 0;   // of a modelled task; 0: the node's own
  Micros walltime = 0;
};

enum class TaskEnd { kExited, kKilled, kEvicted, kPushedOut, kSentAway };

// ---- What it says ----

struct OfferAnswer {
  std::string attempt;
  bool yes = false;
  RejectionReason cause = RejectionReason::kUnspecified;
  std::string words;
};
struct Accepted {  // the answer to the commit
  std::string attempt;
};
struct RunTask {  // exec only: start it now
  std::string attempt;
};
struct KillTask {  // exec only
  std::string attempt;
  std::string signal;
};
struct TaskEnded {
  std::string attempt;
  TaskEnd end = TaskEnd::kExited;
  int status = 0;
  std::string words;
};
struct FellOver {
  std::size_t offers = 0;  // within the window
  double borne = 0.0;
};
using NodeSays = std::variant<OfferAnswer, Accepted, RunTask, KillTask, TaskEnded, FellOver>;

class NodeModel {
 public:
  // `started` 0: it is taken to run for long, and is warm.
  NodeModel(NodeConfig config, std::shared_ptr<KeyMemory> keys, Micros now, Micros started);

  // Exactly one OfferAnswer follows, unless it is dropped before.
  void Offer(Micros now, TaskAsk ask);
  // True: Accepted follows, now or later. False: it is not held (never asked, dropped, stopped, too late).
  bool Commit(Micros now, const std::string& attempt);
  void Drop(Micros now, const std::string& attempt);  // not committed, and the asker is gone
  // True when it was there; its end follows as TaskEnded if it had been accepted. From now on the attempt can
  // never be accepted.
  bool Stop(Micros now, const std::string& attempt);
  bool Signal(Micros now, const std::string& attempt, const std::string& signal);
  // Accepted and not over. False also settles that it never will be.
  bool Query(Micros now, const std::string& attempt);
  void SetDraining(Micros now, bool draining);
  // Everything it does takes so many times longer (a neighbour, ageing).
  void SetSlow(double factor) { slow_ = factor; }
  void Exited(Micros now, const std::string& attempt, int status);  // exec only
  void Tick(Micros now);
  Micros NextTimer() const;
  std::vector<NodeSays>& says() { return says_; }

  std::vector<std::string> Held() const;  // accepted and not over
  const TaskAsk* AskOf(const std::string& attempt) const;
  const std::string* HolderOf(const std::string& key) const;  // of a copy on this very node
  LoadReport Load(Micros now);
  double free_cores() const { return config_.cores - asked_cores_; }
  double free_memory() const { return config_.memory - asked_memory_; }
  Micros started() const { return started_; }
  bool draining() const { return draining_; }
  bool fallen() const { return fallen_; }
  std::size_t running() const;
  const NodeConfig& config() const { return config_; }

 private:
  enum class Step { kInLine, kLooked, kReserved, kCommitted, kStarting, kRunning };
  struct Entry {
    TaskAsk ask;
    Step step = Step::kInLine;
    bool stopping = false;
    Micros since = 0;  // of the step
    Micros due = 0;    // when the step is over, of looking and starting
    Micros ends = 0;   // a modelled task, or its walltime
    double use_cores = 0.0, use_memory = 0.0;
    std::uint64_t order = 0;
  };
  bool HasRoom(const TaskAsk& ask, RejectionReason* cause) const;
  bool MakeRoom(const TaskAsk& ask);
  void Look();
  void StartSome();
  void Run(const std::string& attempt);
  void End(const std::string& attempt, TaskEnd end, int status, const std::string& words);
  void Remove(const std::string& attempt);
  void Bury(const std::string& attempt);
  void Keep(const std::string& service);
  void Evict();
  double Pace() const;
  double Draw();
  void At(Micros when, const std::string& attempt = "");

  NodeConfig config_;
  std::shared_ptr<KeyMemory> keys_;
  Micros now_ = 0, started_ = 0;
  bool draining_ = false, fallen_ = false;
  double slow_ = 1.0;
  std::uint64_t random_ = 0, order_ = 0;
  double asked_cores_ = 0.0, asked_memory_ = 0.0;
  std::map<std::string, Entry> held_;
  std::deque<std::string> line_;
  std::string looked_;  // the ask being looked at
  std::deque<std::string> to_start_;
  unsigned starting_ = 0;
  std::map<std::string, unsigned> services_;  // accepted tasks of each
  std::deque<std::string> kept_;
  std::deque<Micros> offers_;
  std::set<std::string> buried_;
  std::deque<std::string> buried_order_;
  std::multimap<Micros, std::string> timers_;
  Micros evict_at_ = 0;
  LoadReport load_;
  Micros load_at_ = 0;
  std::vector<NodeSays> says_;
};

}  // namespace mountflow::node_agent

#endif  // MOUNTFLOW_NODE_AGENT_MODEL_HPP_
