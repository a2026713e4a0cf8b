// Priority weights of the task classes: m_j of the Normalized Service Capacity strategy.
#ifndef MOUNTFLOW_SCHEDULER_PRIORITY_WEIGHTS_HPP_
#define MOUNTFLOW_SCHEDULER_PRIORITY_WEIGHTS_HPP_

#include <vector>

#include "mountflow/scheduler.hpp"

namespace mountflow {

class PriorityWeights {
 public:
  explicit PriorityWeights(const std::vector<TaskClass>& classes);

  // Of the most important class, where there are several.
  static double Highest();
  // `task_class` must be an index of the settings' classes.
  double Of(unsigned task_class) const { return weights_[task_class]; }
  // Of the classes evenly; 0 where there are none.
  double mean() const { return mean_; }
  // At least 0.
  int highest_priority() const { return highest_priority_; }

 private:
  std::vector<double> weights_;
  double mean_ = 0.0;
  int highest_priority_ = 0;
};

}  // namespace mountflow

#endif  // MOUNTFLOW_SCHEDULER_PRIORITY_WEIGHTS_HPP_
