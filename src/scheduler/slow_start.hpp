// Slow start: limits the attempts that all schedulers together send to a node while it warms up.
#ifndef MOUNTFLOW_SCHEDULER_SLOW_START_HPP_
#define MOUNTFLOW_SCHEDULER_SLOW_START_HPP_

#include "mountflow/scheduler.hpp"
#include "scheduler/node_record.hpp"

namespace mountflow {

// The size of the group of schedulers that share the nodes, and the index of this scheduler in it.
class GroupMembership {
 public:
  explicit GroupMembership(const Settings& settings);

  int size() const { return size_; }  // at least 1
  int index() const { return index_; }

  // Reports whether size and index are certain, and all schedulers use the same membership. Another scheduler
  // may learn of a change later than this one, by at most the highest age of a node list. Until then, shares
  // computed from the old size and from the new size could add up to more than the budget. No wait is needed
  // after a period of uncertainty in which no member joined or left.
  bool IsSettled(Micros now) const;

  // Applies a change that arrived at `now`.
  void Update(const MembershipChange& change, Micros now);

 private:
  int size_;
  int index_;
  bool is_known_;  // index_ is in the range 0 to size_ - 1
  Micros valid_until_ = ~Micros{0};
  Micros settled_at_ = 0;
  Micros slow_start_window_;
};

// Enforces the slow-start budget of this scheduler.
// Invariant: all schedulers of a settled group together send at most settings.slow_start_budget attempts to a
// node that is warming up in any window of settings.slow_start_window. `settings` and `group` must outlive
// this object.
class SlowStart {
 public:
  SlowStart(const Settings& settings, const GroupMembership& group) : settings_(settings), group_(group) {}

  // Reports whether one more attempt may be sent to the node now.
  bool Allows(const NodeRecord& node, Micros now) const {
    return !IsWarmingUp(settings_, node.entry, now) || AllowsWarmingUp(node, now);
  }

  // Records an attempt that was sent to the node at `now`.
  void RecordAttempt(NodeRecord* node, Micros now) const;

  // Sets the time at which this scheduler started. What it sent before is unknown.
  void set_scheduler_started_at(Micros at) { scheduler_started_at_ = at; }

 private:
  // Reports whether this scheduler may send one more attempt now to a node that is warming up.
  bool AllowsWarmingUp(const NodeRecord& node, Micros now) const;

  const Settings& settings_;
  const GroupMembership& group_;
  Micros scheduler_started_at_ = 0;
};

}  // namespace mountflow

#endif  // MOUNTFLOW_SCHEDULER_SLOW_START_HPP_
