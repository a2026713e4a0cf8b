// Slow start: keeps all schedulers together within the attempts that a node bears while it warms up.
#ifndef MOUNTFLOW_SCHEDULER_SLOW_START_HPP_
#define MOUNTFLOW_SCHEDULER_SLOW_START_HPP_

#include "mountflow/scheduler.hpp"
#include "scheduler/node_record.hpp"

namespace mountflow {

// How many schedulers share the nodes, and the number of this one among them.
class GroupMembership {
 public:
  explicit GroupMembership(const Settings& settings);

  int size() const { return size_; }  // at least 1
  int index() const { return index_; }

  // Whether size and index are sure, and every scheduler counts alike. Others may learn of a change later
  // than we do, by as much as a node list may be behind; until then shares by the old and by the new size
  // could add up to more than a node bears. Doubt in which nobody joined or left ends without such a wait.
  bool IsSettled(Micros now) const;

  void Update(const MembershipChange& change, Micros now);

 private:
  int size_;
  int index_;
  bool is_known_;  // index is one of 0 to size - 1
  Micros valid_until_ = ~Micros{0};
  Micros settled_at_ = 0;
  Micros slow_start_window_;
};

// Invariant: over all schedulers of a settled group, no window of settings.slow_start_window holds more than
// settings.slow_start_budget attempts at a node that warms up. `settings` and `group` must outlive this.
class SlowStart {
 public:
  SlowStart(const Settings& settings, const GroupMembership& group) : settings_(settings), group_(group) {}

  // Whether one more attempt may go to the node now.
  bool Allows(const NodeRecord& node, Micros now) const {
    return !IsWarmingUp(settings_, node.entry, now) || AllowsWarmingUp(node, now);
  }

  void RecordAttempt(NodeRecord* node, Micros now) const;

  // What this scheduler sent before that time is not known.
  void set_scheduler_started_at(Micros at) { scheduler_started_at_ = at; }

 private:
  bool AllowsWarmingUp(const NodeRecord& node, Micros now) const;

  const Settings& settings_;
  const GroupMembership& group_;
  Micros scheduler_started_at_ = 0;
};

}  // namespace mountflow

#endif  // MOUNTFLOW_SCHEDULER_SLOW_START_HPP_
