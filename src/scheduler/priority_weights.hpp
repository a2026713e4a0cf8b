// Priority weights of the task classes: m_j of the Normalized Service Capacity strategy.
#ifndef MOUNTFLOW_SCHEDULER_PRIORITY_WEIGHTS_HPP_
#define MOUNTFLOW_SCHEDULER_PRIORITY_WEIGHTS_HPP_

#include <vector>

#include "mountflow/scheduler.hpp"

namespace mountflow {

// Assigns a weight to each task class by the rank of its priority.
class PriorityWeights {
 public:
  explicit PriorityWeights(const std::vector<TaskClass>& classes);

  // Returns the weight of the classes with the highest priority.
  static double Highest();
  // Returns the weight of a class. `task_class` must be an index in Settings::classes.
  double Of(unsigned task_class) const { return weights_[task_class]; }
  // Returns the mean weight over all classes, or 0 if there are none.
  double mean() const { return mean_; }
  // Returns the highest priority of any class, or 0 if that is negative.
  int highest_priority() const { return highest_priority_; }

 private:
  std::vector<double> weights_;
  double mean_ = 0.0;
  int highest_priority_ = 0;
};

}  // namespace mountflow

#endif  // MOUNTFLOW_SCHEDULER_PRIORITY_WEIGHTS_HPP_
