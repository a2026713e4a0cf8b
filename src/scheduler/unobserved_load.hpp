// Load that this scheduler put on one node, as sums: what a node list of some age does not show yet, and what
// is there now. Bookkeeping only; it chooses nothing.
//
// No cost grows with the number of tasks sent before: the sums move forward with each start and end, and with
// each node list. They are whole numbers of 2^-40, so that they neither drift nor depend on the order.
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

// In units of 2^-40. No amount is taken for more than 2^60, so that 2^27 of them fit.
using FixedPoint = __int128;
inline FixedPoint ToFixedPoint(double amount) {
  return static_cast<FixedPoint>(std::min(amount, 0x1p60) * 0x1p40);
}
inline double ToDouble(FixedPoint amount) { return static_cast<double>(amount) * 0x1p-40; }

// Amounts are finite and not negative.
inline bool IsAmount(double amount) { return std::isfinite(amount) && amount >= 0.0; }

// What one task adds to the load of its node.
struct TaskLoad {
  RequestId request = 0;
  double cores = 0.0;
  double memory = 0.0;
  double priority_weight = 0.0;
  Micros sent_at = 0;
};

template <typename Number>
struct LoadAmounts {
  Number cores = 0;
  Number memory = 0;
  Number priority_weight = 0;
};

class UnobservedLoad {
 public:
  // Sent after the time that the node list is true of, less what ended after it.
  const LoadAmounts<FixedPoint>& unobserved() const { return unobserved_; }
  // The same as numbers; kept, since they are read far more often than they change.
  const LoadAmounts<double>& unobserved_amounts() const { return unobserved_amounts_; }
  // Of the tasks that have not ended.
  const LoadAmounts<FixedPoint>& present() const { return present_; }
  std::size_t task_count() const { return task_count_; }
  // Of the tasks that have not ended; 0 where there are none.
  double mean_priority_weight() const { return mean_priority_weight_; }

  void Start(const TaskLoad& task) {
    Count(task, 1, task.sent_at > observed_at_);
    Insert({task, task.sent_at, 1});
  }

  void End(const TaskLoad& task, Micros now) {
    Count(task, -1, now > observed_at_);
    Insert({task, now, -1});
  }

  // Takes back a task that never ran: no trace of it is left.
  void Withdraw(const TaskLoad& task) {
    Count(task, -1, task.sent_at > observed_at_);
    Annul(task.sent_at, task.request);
  }

  // A task that ended at `ended_at` need not be known any more.
  void Forget(const TaskLoad& task, Micros ended_at) {
    if (task.sent_at <= observed_at_ && ended_at > observed_at_) Add(task, 1, &unobserved_);
    Annul(task.sent_at, task.request);
    Annul(ended_at, task.request);
    UpdateAmounts();
  }

  // The node list is now true of `observed_at`, which may be earlier than before. Nobody will ask for changes
  // at `forget_until` or earlier, nor move back there.
  void ObserveUntil(Micros observed_at, Micros forget_until) {
    const int direction = observed_at > observed_at_ ? -1 : 1;
    ForEach(std::min(observed_at, observed_at_), std::max(observed_at, observed_at_),
            [&](const Change& change) { Add(change.task, direction * change.sign, &unobserved_); });
    observed_at_ = observed_at;
    forgotten_until_ = std::max(forgotten_until_, forget_until);
    while (!changes_.empty() && changes_.front().at <= forgotten_until_) {
      if (changes_.front().sign == 0) --annulled_count_;
      changes_.pop_front();
    }
    UpdateAmounts();
  }

  // Calls visit(time, cores started less cores ended) for each change after `from` and not after `until`, in
  // the order of time.
  template <typename Visit>
  void ForEachChange(Micros from, Micros until, Visit visit) const {
    ForEach(from, until,
            [&](const Change& change) { visit(change.at, change.sign * ToFixedPoint(change.task.cores)); });
  }

 private:
  struct Change {
    TaskLoad task;
    Micros at;
    int sign;  // 1: started, -1: ended, 0: annulled
  };

  static void Add(const TaskLoad& task, int sign, LoadAmounts<FixedPoint>* amounts) {
    amounts->cores += sign * ToFixedPoint(task.cores);
    amounts->memory += sign * ToFixedPoint(task.memory);
    amounts->priority_weight += sign * ToFixedPoint(task.priority_weight);
  }

  // Index of the first change after `at`.
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

  void Count(const TaskLoad& task, int sign, bool is_unobserved) {
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

  // Most changes are the latest; a recovered task is as old as can be.
  void Insert(const Change& change) {
    if (change.at > forgotten_until_) changes_.insert(changes_.begin() + IndexAfter(change.at), change);
  }

  void Annul(Micros at, RequestId request) {
    if (at <= forgotten_until_) return;
    auto it = changes_.begin() + IndexAfter(at - 1);
    while (it != changes_.end() && it->at == at && (it->task.request != request || it->sign == 0)) ++it;
    if (it == changes_.end() || it->at != at) return;
    it->sign = 0;
    if (++annulled_count_ * 2 <= changes_.size()) return;
    std::erase_if(changes_, [](const Change& change) { return change.sign == 0; });
    annulled_count_ = 0;
  }

  // First what each pick reads of each node.
  LoadAmounts<double> unobserved_amounts_;
  double mean_priority_weight_ = 0.0;
  std::size_t task_count_ = 0;
  LoadAmounts<FixedPoint> unobserved_;
  LoadAmounts<FixedPoint> present_;
  Micros observed_at_ = 0;
  Micros forgotten_until_ = 0;
  // By time, after forgotten_until_: of the tasks that are present or ended and not forgotten.
  std::deque<Change> changes_;
  std::size_t annulled_count_ = 0;  // changes with sign 0
};

// Cores that own starts and ends took on a node between two node lists, which came at `previous_at` and
// `now`, if lists are true of `age` before they come: for ages of 0, 1 ... Ages - 1 times `step`. Kept as
// differences: the cores at an age are the sum of the elements up to it.
template <std::size_t Ages>
std::array<FixedPoint, Ages + 1> OwnChangesByAge(const UnobservedLoad& load, Micros previous_at, Micros now,
                                                 Micros step) {
  std::array<FixedPoint, Ages + 1> differences{};
  const auto add_change = [&](Micros at, FixedPoint cores) {
    // The ages at which it happened after the list before and not after this one.
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
  // Lists that come often: visits only what each age newly shows.
  for (Micros age = 0; age <= std::min(previous_at, highest_age); age += step) {
    load.ForEachChange(previous_at - age, now - age, add_change);
  }
  return differences;
}

}  // namespace mountflow

#endif  // MOUNTFLOW_SCHEDULER_UNOBSERVED_LOAD_HPP_
