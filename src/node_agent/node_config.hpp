// Configuration of one node: its size, how fast it admits and starts tasks, and how it fails. Times are in
// microseconds, memory in units of the configuration (GiB by default).
#ifndef MOUNTFLOW_NODE_AGENT_NODE_CONFIG_HPP_
#define MOUNTFLOW_NODE_AGENT_NODE_CONFIG_HPP_

#include <cstdint>
#include <string>

#include "mountflow/scheduler.hpp"

namespace mountflow::node_agent {

// Configuration of one node, emulated or with real processes.
struct NodeConfig {
  std::string name = "node-0";
  std::string kind = "small", rack = "rack-0", zone = "room-a";
  double cores = 32.0, memory = 64.0;
  // The node accepts tasks until the sum of their requests reaches its size times this factor.
  double overcommit_cores = 1.0, overcommit_memory = 1.0;
  Micros admission_time = 10'000;         // time to decide on one attempt
  std::size_t admission_queue_size = 16;  // waiting attempts, without the one in decision
  unsigned max_concurrent_starts = 4;
  Micros start_time = 50'000;              // start time of a task whose program is cached
  double uncached_start_factor = 8.0;      // multiplies start_time if the program is not cached
  std::size_t program_cache_size = 8;      // cached programs without a running task
  bool acknowledges_when_running = false;  // acknowledges a commit once the task runs
  bool preempts = true;                    // ends tasks of lower priority if a task does not fit
  bool drain_ends_tasks = true;            // draining ends committed tasks too
  double slow_start_initial_pace = 0.25;   // share of the full pace immediately after a start
  Micros slow_start_duration = 15'000'000;
  // A node that is warming up fails if the attempts within a window exceed this factor times the uncached
  // starts that it can do in that window.
  double overload_multiple = 2.0;
  Micros slow_start_window = 3'000'000;
  double min_overload_attempts = 24.0;  // this many attempts in a window never make it fail
  // Mean use of a task as a share of its request. The share `memory_overuse_share` of the tasks uses
  // `memory_overuse_factor` times as much memory.
  double core_use = 0.8, memory_use = 0.8;
  double memory_overuse_share = 0.0, memory_overuse_factor = 2.0;
  Micros memory_growth_time = 3'000'000;  // from a task's start until its full memory use
  Micros task_duration = 10'000'000;      // of an emulated task that does not specify one
  bool executes_tasks = false;            // tasks are real processes; the caller reports their exits
  Micros load_report_period = 200'000;    // maximum age of a load report
  std::size_t max_tombstones = 65'536;
  std::size_t max_tasks = 1'000'000;
  std::uint64_t seed = 1;  // of the random resource use of emulated tasks
};

}  // namespace mountflow::node_agent

#endif  // MOUNTFLOW_NODE_AGENT_NODE_CONFIG_HPP_
