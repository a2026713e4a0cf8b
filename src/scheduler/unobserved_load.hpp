// The load that this scheduler put on one node, as two sums: the load that the node list does not show yet,
// and the load of all tasks that are present. Makes no decisions.
//
// The cost of an operation does not grow with the number of earlier tasks, because the sums are updated
// incrementally with each start, each end and each node list. They are integers in units of 2^-40, so that
// they neither drift nor depend on the order of the updates.
#ifndef MOUNTFLOW_SCHEDULER_UNOBSERVED_LOAD_HPP_
#define MOUNTFLOW_SCHEDULER_UNOBSERVED_LOAD_HPP_

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>

#include "mountflow/scheduler.hpp"

namespace mountflow {

// A number in units of 2^-40. Amounts are limited to 2^60, so that the sum of 2^27 of them does not overflow.
using FixedPoint = __int128;
inline FixedPoint ToFixedPoint(double amount) {
  return static_cast<FixedPoint>(std::min(amount, 0x1p60) * 0x1p40);
}
inline double ToDouble(FixedPoint amount) { return static_cast<double>(amount) * 0x1p-40; }

// Reports whether a number is a valid amount: finite and not negative.
inline bool IsAmount(double amount) { return std::isfinite(amount) && amount >= 0.0; }

// The load that one task adds to its node.
struct TaskLoad {
  RequestId request = 0;
  double cores = 0.0;
  double memory = 0.0;
  double priority_weight = 0.0;
  Micros sent_at = 0;  // when the latest attempt was sent
};

// Sums over the loads of several tasks.
template <typename Number>
struct LoadAmounts {
  Number cores = 0;
  Number memory = 0;
  Number priority_weight = 0;
};

// The sums of own load on one node, and the recent changes that they consist of.
class UnobservedLoad {
 public:
  // Returns the load that was sent after the observed time, minus the load that ended after it. The observed
  // time is the time whose state the node list shows.
  const LoadAmounts<FixedPoint>& unobserved() const { return unobserved_; }
  // Returns the same sums as floating-point numbers. They are cached because reads are far more frequent than
  // changes.
  const LoadAmounts<double>& unobserved_amounts() const { return unobserved_amounts_; }
  // Returns the load of the tasks that have not ended.
  const LoadAmounts<FixedPoint>& present() const { return present_; }
  // Returns the number of tasks that have not ended.
  std::size_t task_count() const { return task_count_; }
  // Returns the mean priority weight of the tasks that have not ended, or 0 if there are none.
  double mean_priority_weight() const { return mean_priority_weight_; }

  // Adds a task that was sent at task.sent_at.
  void Start(const TaskLoad& task) {
    AddToSums(task, 1, task.sent_at > observed_at_);
    Insert({task, task.sent_at, 1});
  }

  // Records that a task ended at `now`.
  void End(const TaskLoad& task, Micros now) {
    AddToSums(task, -1, now > observed_at_);
    Insert({task, now, -1});
  }

  // Removes a task that never ran, as if it had not been sent.
  void Remove(const TaskLoad& task) {
    AddToSums(task, -1, task.sent_at > observed_at_);
    Invalidate(task.sent_at, task.request);
  }

  // Removes all record of a task that ended at `ended_at`. The sums then no longer include its start or its
  // end.
  void Forget(const TaskLoad& task, Micros ended_at) {
    if (task.sent_at <= observed_at_ && ended_at > observed_at_) Add(task, 1, &unobserved_);
    Invalidate(task.sent_at, task.request);
    Invalidate(ended_at, task.request);
    UpdateAmounts();
  }

  // Sets the observed time, which may be earlier than before. The caller guarantees that it will neither
  // query changes at or before `forget_until`, nor set an observed time before it.
  void ObserveUntil(Micros observed_at, Micros forget_until) {
    const int direction = observed_at > observed_at_ ? -1 : 1;
    ForEach(std::min(observed_at, observed_at_), std::max(observed_at, observed_at_),
            [&](const Change& change) { Add(change.task, direction * change.sign, &unobserved_); });
    observed_at_ = observed_at;
    forgotten_until_ = std::max(forgotten_until_, forget_until);
    while (!changes_.empty() && changes_.front().at <= forgotten_until_) {
      if (changes_.front().sign == 0) --invalidated_count_;
      changes_.pop_front();
    }
    UpdateAmounts();
  }

  // Calls visit(time, cores) for each change after `from` and not after `until`, in the order of time. Cores
  // are positive for a start and negative for an end.
  template <typename Visit>
  void ForEachChange(Micros from, Micros until, Visit visit) const {
    ForEach(from, until,
            [&](const Change& change) { visit(change.at, change.sign * ToFixedPoint(change.task.cores)); });
  }

 private:
  // The start or end of one task.
  struct Change {
    TaskLoad task;
    Micros at;
    int sign;  // 1: started, -1: ended, 0: invalidated
  };

  static void Add(const TaskLoad& task, int sign, LoadAmounts<FixedPoint>* amounts) {
    amounts->cores += sign * ToFixedPoint(task.cores);
    amounts->memory += sign * ToFixedPoint(task.memory);
    amounts->priority_weight += sign * ToFixedPoint(task.priority_weight);
  }

  // Returns the index of the first change after `at`.
  std::ptrdiff_t IndexAfter(Micros at) const {
    const auto is_later = [](Micros time, const Change& change) { return time < change.at; };
    return std::upper_bound(changes_.begin(), changes_.end(), at, is_later) - changes_.begin();
  }

  template <typename Visit>
  void ForEach(Micros from, Micros until, Visit visit) const {
    for (auto it = changes_.begin() + IndexAfter(from); it != changes_.end() && it->at <= until; ++it) {
      visit(*it);
    }
  }

  // Adds (sign 1) or subtracts (sign -1) a task from the sums.
  void AddToSums(const TaskLoad& task, int sign, bool is_unobserved) {
    task_count_ += sign;
    Add(task, sign, &present_);
    if (is_unobserved) Add(task, sign, &unobserved_);
    UpdateAmounts();
  }

  void UpdateAmounts() {
    unobserved_amounts_ = {ToDouble(unobserved_.cores), ToDouble(unobserved_.memory),
                           ToDouble(unobserved_.priority_weight)};
    mean_priority_weight_ =
        task_count_ > 0 ? ToDouble(present_.priority_weight) / static_cast<double>(task_count_) : 0.0;
  }

  // Inserts a change in the order of time. Most changes are appended at the end; only recovered tasks, whose
  // time is the earliest possible, are not.
  void Insert(const Change& change) {
    if (change.at > forgotten_until_) changes_.insert(changes_.begin() + IndexAfter(change.at), change);
  }

  // Invalidates the change of the request at time `at`. Erases invalidated changes once they are the
  // majority.
  void Invalidate(Micros at, RequestId request) {
    if (at <= forgotten_until_) return;
    auto it = changes_.begin() + IndexAfter(at - 1);
    while (it != changes_.end() && it->at == at && (it->task.request != request || it->sign == 0)) ++it;
    if (it == changes_.end() || it->at != at) return;
    it->sign = 0;
    if (++invalidated_count_ * 2 <= changes_.size()) return;
    std::erase_if(changes_, [](const Change& change) { return change.sign == 0; });
    invalidated_count_ = 0;
  }

  // Fields that every pick reads come first.
  LoadAmounts<double> unobserved_amounts_;
  double mean_priority_weight_ = 0.0;
  std::size_t task_count_ = 0;
  LoadAmounts<FixedPoint> unobserved_;
  LoadAmounts<FixedPoint> present_;
  Micros observed_at_ = 0;
  Micros forgotten_until_ = 0;
  // Changes after forgotten_until_ of tasks that are present, or that ended and were not forgotten, by time.
  std::deque<Change> changes_;
  std::size_t invalidated_count_ = 0;  // changes with sign 0
};

// Returns the net number of cores that starts and ends of own tasks took on a node between the states that
// two node lists show. The lists arrived at `previous_at` and `now`, and each shows the state at `age` before
// its arrival. The result covers the ages 0, 1 ... Ages - 1 times `step`. It is stored as differences: the
// cores for an age are the sum of the elements up to and including that age.
template <std::size_t Ages>
std::array<FixedPoint, Ages + 1> OwnChangesByAge(const UnobservedLoad& load, Micros previous_at, Micros now,
                                                 Micros step) {
  std::array<FixedPoint, Ages + 1> differences{};
  const auto add_change = [&](Micros at, FixedPoint cores) {
    // The range of ages for which the change lies after the previous list and not after this one.
    const std::size_t first = at > previous_at ? 0 : (previous_at - at) / step + 1;
    const std::size_t last = std::min<std::size_t>((now - at) / step, Ages - 1);
    if (first > last) return;
    differences[first] += cores;
    differences[last + 1] -= cores;
  };
  const Micros highest_age = (Ages - 1) * step;
  if (now - previous_at >= step) {
    load.ForEachChange(previous_at > highest_age ? previous_at - highest_age : 0, now, add_change);
    return differences;
  }
  // Lists arrive more often than once per step: visits only the changes between the two lists for each age.
  for (Micros age = 0; age <= std::min(previous_at, highest_age); age += step) {
    load.ForEachChange(previous_at - age, now - age, add_change);
  }
  return differences;
}

}  // namespace mountflow

#endif  // MOUNTFLOW_SCHEDULER_UNOBSERVED_LOAD_HPP_
