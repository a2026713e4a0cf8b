// The cores and memory of a node, and the amounts that its tasks have reserved.
#ifndef MOUNTFLOW_NODE_AGENT_NODE_CAPACITY_HPP_
#define MOUNTFLOW_NODE_AGENT_NODE_CAPACITY_HPP_

#include <optional>
#include <string>

#include "node_agent/node_config.hpp"
#include "node_agent/node_messages.hpp"

namespace mountflow::node_agent {

// Tracks the reservations of a node. Memory is in the units of NodeConfig. Not thread-safe.
class NodeCapacity {
 public:
  explicit NodeCapacity(const NodeConfig& config);

  // Returns the reason why a task of this size does not fit, or nullopt if it fits.
  [[nodiscard]] std::optional<RejectionReason> FindShortage(const TaskSpec& spec) const;
  // Reports whether the task would fit if `cores` and `memory` were released first.
  [[nodiscard]] bool FitsAfterRelease(const TaskSpec& spec, double cores, double memory) const;
  void Reserve(const TaskSpec& spec);
  void Release(const TaskSpec& spec);
  // Sets the reservations to zero, which removes accumulated rounding errors. May only be called when no task
  // has a reservation.
  void Reset();

  // Returns the size of the node less its reservations. Below 0 if the node is overcommitted.
  [[nodiscard]] double free_cores() const { return cores_ - reserved_cores_; }
  [[nodiscard]] double free_memory() const { return memory_ - reserved_memory_; }
  // Returns a text like "no cores: 1 of 4 free, asked for 2". Scripts parse it, so its form must not change.
  [[nodiscard]] std::string DescribeShortage(RejectionReason reason, const TaskSpec& spec) const;

 private:
  double cores_, memory_;
  double max_reserved_cores_, max_reserved_memory_;
  double reserved_cores_ = 0.0, reserved_memory_ = 0.0;
};

}  // namespace mountflow::node_agent

#endif  // MOUNTFLOW_NODE_AGENT_NODE_CAPACITY_HPP_
