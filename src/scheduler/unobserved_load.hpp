// A scheduler's own tasks on one machine, as sums: what a view of some age does not show of them yet, and
// what is there now. No cost grows with the tasks that went out before: sums move forward with each start and
// end, and with the view. They are whole numbers of 2^-40, so that they neither drift nor depend on the
// order.
#ifndef MOUNTFLOW_SCHEDULER_UNOBSERVED_LOAD_HPP_
#define MOUNTFLOW_SCHEDULER_UNOBSERVED_LOAD_HPP_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>

#include "mountflow/scheduler.hpp"

namespace mountflow {
using Sum = __int128;  // of 2^-40; no size is taken for more than 2^60, so 2^27 of them fit
inline Sum ToSum(double size) { return static_cast<Sum>(std::min(size, 0x1p60) * 0x1p40); }
inline double ToSize(Sum sum) { return static_cast<double>(sum) * 0x1p-40; }

struct OwnTask {
  RequestId request = 0;
  double cores = 0.0, memory = 0.0, ratio = 0.0;  // finite, not negative
  Micros sent = 0;
};

template <typename T>
struct Parts {
  T cores = 0, memory = 0, ratio = 0;
};

class OwnWork {
 public:
  const Parts<Sum>& unseen() const { return unseen_; }  // sent after the view's time, less ended after it
  const Parts<Sum>& there() const { return there_; }    // not ended
  std::size_t count() const { return count_; }
  const Parts<double>& unseen_sizes() const { return sizes_; }  // of unseen(); kept: asked far more often
  double mean_ratio() const { return mean_ratio_; }             // of what is there, if anything

  void Start(const OwnTask& t) {
    Count(t, 1, t.sent > view_);
    Keep({t, t.sent, 1});
  }
  void End(const OwnTask& t, Micros now) {
    Count(t, -1, now > view_);
    Keep({t, now, -1});
  }
  // It never was there, and leaves no trace.
  void Drop(const OwnTask& t) {
    Count(t, -1, t.sent > view_);
    Annul(t.sent, t.request);
  }
  // One that ended at `at` need not be known any more.
  void Forget(const OwnTask& t, Micros at) {
    if (t.sent <= view_ && at > view_) Add(t, 1, &unseen_);
    Annul(t.sent, t.request);
    Annul(at, t.request);
    Settle();
  }
  // The view is now true of `view`; nobody will ask for changes at `floor` or before, nor move back there.
  void MoveTo(Micros view, Micros floor) {
    const int way = view > view_ ? -1 : 1;
    ForEach(std::min(view, view_), std::max(view, view_),
            [&](const Change& c) { Add(c.task, way * c.sign, &unseen_); });
    view_ = view;
    floor_ = std::max(floor_, floor);
    for (; !changes_.empty() && changes_.front().at <= floor_; changes_.pop_front()) {
      if (changes_.front().sign == 0) --annulled_;
    }
    Settle();
  }
  // Calls visit(time, cores started less ended) for each change after `from` and not after `to`, in its
  // order.
  template <typename Visit>
  void ForChanges(Micros from, Micros to, Visit visit) const {
    ForEach(from, to, [&](const Change& c) { visit(c.at, c.sign * ToSum(c.task.cores)); });
  }

 private:
  struct Change {
    OwnTask task;
    Micros at;
    int sign;  // 1 a start, -1 an end, 0 annulled
  };

  static void Add(const OwnTask& t, int sign, Parts<Sum>* to) {
    to->cores += sign * ToSum(t.cores);
    to->memory += sign * ToSum(t.memory);
    to->ratio += sign * ToSum(t.ratio);
  }
  std::size_t After(Micros at) const {
    const auto later = [](Micros time, const Change& c) { return time < c.at; };
    return std::upper_bound(changes_.begin(), changes_.end(), at, later) - changes_.begin();
  }
  template <typename Visit>
  void ForEach(Micros from, Micros to, Visit visit) const {
    for (auto it = changes_.begin() + After(from); it != changes_.end() && it->at <= to; ++it) visit(*it);
  }
  void Count(const OwnTask& t, int sign, bool unseen) {
    count_ += sign;
    Add(t, sign, &there_);
    if (unseen) Add(t, sign, &unseen_);
    Settle();
  }
  void Settle() {
    sizes_ = {ToSize(unseen_.cores), ToSize(unseen_.memory), ToSize(unseen_.ratio)};
    mean_ratio_ = count_ > 0 ? ToSize(there_.ratio) / static_cast<double>(count_) : 0.0;
  }
  void Keep(const Change& change) {  // most are the last; a task found running is as old as can be
    if (change.at > floor_) changes_.insert(changes_.begin() + After(change.at), change);
  }
  void Annul(Micros at, RequestId request) {
    if (at <= floor_) return;
    auto it = changes_.begin() + After(at - 1);
    while (it != changes_.end() && it->at == at && (it->task.request != request || it->sign == 0)) ++it;
    if (it == changes_.end() || it->at != at) return;
    it->sign = 0;
    if (++annulled_ * 2 <= changes_.size()) return;
    std::erase_if(changes_, [](const Change& c) { return c.sign == 0; });
    annulled_ = 0;
  }

  Parts<Sum> unseen_, there_;
  Parts<double> sizes_;
  double mean_ratio_ = 0.0;
  std::size_t count_ = 0, annulled_ = 0;
  Micros view_ = 0, floor_ = 0;
  std::deque<Change> changes_;  // in the order of time, after floor_; of what is there or was not forgotten
};

}  // namespace mountflow

#endif  // MOUNTFLOW_SCHEDULER_UNOBSERVED_LOAD_HPP_
