// Estimates how old a node list is when it arrives, and how fast all schedulers together start tasks.
#ifndef MOUNTFLOW_SCHEDULER_LIST_STALENESS_HPP_
#define MOUNTFLOW_SCHEDULER_LIST_STALENESS_HPP_

#include <cstddef>
#include <vector>

#include "mountflow/scheduler.hpp"
#include "scheduler/node_table.hpp"

namespace mountflow {

// Estimates the age that node lists have on arrival. Of a fixed set of candidate ages, the estimate is the
// one at which the starts and ends of own tasks best explain the changes of free capacity from list to list.
// Invariant: the estimate is one of the candidates, and only Learn() changes it.
class ListStaleness {
 public:
  ListStaleness();

  // Returns the highest candidate age.
  static Micros MaxAge();
  // Returns the delay after which every scheduler knows of an event, whatever the age of its node list.
  static Micros Horizon();

  // Returns the time whose state a list shows that arrived at `list_at`. Never returns 0.
  Micros ObservedAt(Micros list_at) const;

  // Updates the estimate from a delta that arrived at `now`. The previous list arrived at `previous_at`,
  // which must be earlier.
  void Learn(const NodeTable::Nodes& nodes, Micros previous_at, Micros now);

 private:
  std::vector<double> errors_;  // exponentially weighted squared error of each candidate age
  std::size_t age_step_;        // the estimate, as an index of errors_
  std::size_t lists_seen_ = 0;
};

// Estimates the number of tasks per microsecond that all schedulers together start, from the decreases of
// free capacity between node lists. The estimate is low, because starts and ends on the same node cancel each
// other out: users of value() multiply it by 2.
class ClusterStartRate {
 public:
  // Returns the estimate in tasks per microsecond.
  double value() const { return rate_; }
  // Updates the estimate from a delta that arrived `elapsed` microseconds after the previous list.
  void Learn(const NodeTable::Nodes& nodes, const Settings& settings, Micros elapsed);
  // Sets a first estimate from the running tasks if there is none yet.
  void GuessIfUnknown(const NodeTable::Nodes& nodes, const Settings& settings);

 private:
  double rate_ = 0.0;
};

}  // namespace mountflow

#endif  // MOUNTFLOW_SCHEDULER_LIST_STALENESS_HPP_
