#include "scheduler/priority_weights.hpp"

#include <algorithm>
#include <functional>

namespace mountflow {
namespace {

// Weights of the highest and the lowest priority. Three priorities get 4, 3 and 2, as in the paper on
// Normalized Service Capacity; any other number of priorities gets evenly spaced weights.
constexpr double kHighestWeight = 4.0;
constexpr double kLowestWeight = 2.0;

}  // namespace

double PriorityWeights::Highest() { return kHighestWeight; }

PriorityWeights::PriorityWeights(const std::vector<TaskClass>& classes) {
  std::vector<int> priorities;
  priorities.reserve(classes.size());
  for (const TaskClass& task_class : classes) priorities.push_back(task_class.priority);
  std::sort(priorities.begin(), priorities.end(), std::greater<>());
  priorities.erase(std::unique(priorities.begin(), priorities.end()), priorities.end());
  for (const TaskClass& task_class : classes) {
    const auto rank =
        std::find(priorities.begin(), priorities.end(), task_class.priority) - priorities.begin();
    const double step =
        priorities.size() > 1 ? static_cast<double>(rank) / static_cast<double>(priorities.size() - 1) : 0.0;
    weights_.push_back(kHighestWeight - (kHighestWeight - kLowestWeight) * step);
    highest_priority_ = std::max(highest_priority_, task_class.priority);
  }
  for (const double weight : weights_) mean_ += weight / static_cast<double>(weights_.size());
}

}  // namespace mountflow
