// The resource use of emulated tasks, and the selection of the task to evict when a node runs out of memory.
#ifndef MOUNTFLOW_NODE_AGENT_RESOURCE_USE_HPP_
#define MOUNTFLOW_NODE_AGENT_RESOURCE_USE_HPP_

#include <cstdint>
#include <string>
#include <vector>

#include "node_agent/node_config.hpp"
#include "node_agent/node_messages.hpp"

namespace mountflow::node_agent {

// Cores and memory that a task uses. Memory is in units of the configuration.
struct ResourceUse {
  double cores = 0.0, memory = 0.0;
};

// Draws the resource use of tasks at random. Equal seeds give equal draws.
class ResourceUseSampler {
 public:
  explicit ResourceUseSampler(const NodeConfig& config);
  // Draws the full resource use of a task.
  [[nodiscard]] ResourceUse Draw(const TaskSpec& spec);

 private:
  double DrawUniform();  // in [0, 1)

  double core_use_, memory_use_, memory_overuse_share_, memory_overuse_factor_;
  std::uint64_t state_;
};

// Returns the memory use of a task that has been running for `age` microseconds. It grows linearly from half
// of `full_use` to all of it within `growth_time` microseconds.
[[nodiscard]] double MemoryInUse(double full_use, Micros age, Micros growth_time);

// A running task that may be evicted.
struct EvictionCandidate {
  const std::string* attempt = nullptr;
  int priority = 0;
  double requested_memory = 0.0, used_memory = 0.0;
};

// Returns the attempt to evict: among the tasks of the lowest priority, the one that exceeds its memory
// request by most, or the first one if none exceeds it. Returns null if the total use fits into `memory`.
[[nodiscard]] const std::string* SelectEvicted(const std::vector<EvictionCandidate>& tasks, double memory);

}  // namespace mountflow::node_agent

#endif  // MOUNTFLOW_NODE_AGENT_RESOURCE_USE_HPP_
