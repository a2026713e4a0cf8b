// The warm-up of a node after its start. Its pace grows linearly to the full pace. While it warms up, it
// fails if it receives too many attempts within a window.
#ifndef MOUNTFLOW_NODE_AGENT_WARM_UP_HPP_
#define MOUNTFLOW_NODE_AGENT_WARM_UP_HPP_

#include <deque>
#include <optional>

#include "node_agent/node_config.hpp"
#include "node_agent/node_messages.hpp"

namespace mountflow::node_agent {

// Tracks the pace and the recent attempts at a node that warms up. Not thread-safe.
class WarmUp {
 public:
  // If `started` is 0, the node is warm from the beginning.
  WarmUp(const NodeConfig& config, Micros started);

  // Returns the pace at `now` as a share of the full pace, above 0 and at most 1.
  [[nodiscard]] double Pace(Micros now) const;
  // Records the arrival of an attempt. Must be called for every attempt, because rejected ones are load too.
  // Returns the failure if this attempt exceeds the limit. A warm node never fails.
  [[nodiscard]] std::optional<OverloadFailure> RecordAttempt(Micros now);

 private:
  [[nodiscard]] bool IsWarmingUp(Micros now) const;
  [[nodiscard]] double MaxAttemptsInWindow(Micros now) const;

  Micros started_, duration_, window_;
  double initial_pace_, overload_multiple_, min_overload_attempts_;
  double uncached_starts_per_second_;  // at the full pace
  std::deque<Micros> arrival_times_;   // of the attempts within the window
};

}  // namespace mountflow::node_agent

#endif  // MOUNTFLOW_NODE_AGENT_WARM_UP_HPP_
