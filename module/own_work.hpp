// A scheduler's own tasks on one machine, as sums: what a view of some age does not show of them yet, what is
// there now, and which services were there lately. No cost grows with the tasks that went out before: sums
// move forward with each start and end, and with the time that the view is true of. They are whole numbers of
// 2^-40, so that they neither drift nor depend on the order. Part of the module: no I/O, no clock, no
// threads.
#ifndef MOUNTFLOW_MODULE_OWN_WORK_HPP_
#define MOUNTFLOW_MODULE_OWN_WORK_HPP_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

#include "mountflow/scheduler.hpp"

namespace mountflow {

using Sum = __int128;  // of 2^-40; no size is taken for more than 2^60, so 2^27 of them fit
inline Sum ToSum(double size) { return static_cast<Sum>(std::min(size, 0x1p60) * 0x1p40); }
inline double ToSize(Sum sum) { return static_cast<double>(sum) * 0x1p-40; }

struct OwnTask {
  RequestId request = 0;
  std::uint64_t service = 0;
  double cores = 0.0, memory = 0.0, ratio = 0.0;  // finite, not negative
  Micros sent = 0;
};

struct OwnSums {
  Sum cores = 0, memory = 0, ratio = 0;
  void Add(const OwnTask& t, int sign) {
    cores += sign * ToSum(t.cores);
    memory += sign * ToSum(t.memory);
    ratio += sign * ToSum(t.ratio);
  }
};

class OwnWork {
 public:
  const OwnSums& unseen() const { return unseen_; }  // sent after the view's time, less ended after it
  const OwnSums& there() const { return there_; }    // not ended
  std::size_t count() const { return count_; }       // not ended
  bool Warm(std::uint64_t service) const { return services_.count(service) > 0; }

  void Start(const OwnTask& t) {
    ++count_;
    ++services_[t.service];
    there_.Add(t, 1);
    if (t.sent > view_) unseen_.Add(t, 1);
    if (t.sent > floor_) Keep({t, t.sent, 1});
  }
  void End(const OwnTask& t, Micros now) {
    --count_;
    there_.Add(t, -1);
    if (now > view_) unseen_.Add(t, -1);
    if (now > floor_) Keep({t, now, -1});
    ended_.push_back({t, now, 0});
  }
  // It never was there, and leaves no trace.
  void Drop(const OwnTask& t) {
    --count_;
    Leave(t.service);
    there_.Add(t, -1);
    if (t.sent > view_) unseen_.Add(t, -1);
    Annul(t.sent, t.request);
  }
  // Forgets what ended before `old`.
  void Expire(Micros old) {
    for (; !ended_.empty() && ended_.front().at < old; ended_.pop_front()) {
      const Change& c = ended_.front();
      Leave(c.task.service);
      if (c.task.sent <= view_ && c.at > view_) unseen_.Add(c.task, 1);
      Annul(c.task.sent, c.task.request);
      Annul(c.at, c.task.request);
    }
  }
  // The view is now true of `view`; nobody will ask for changes at `floor` or before, nor move back there.
  void MoveTo(Micros view, Micros floor) {
    const Micros low = std::min(view, view_), high = std::max(view, view_);
    const int way = view > view_ ? -1 : 1;
    for (auto it = After(low); it != changes_.end() && it->at <= high; ++it)
      unseen_.Add(it->task, way * it->sign);
    view_ = view;
    floor_ = std::max(floor_, floor);
    for (; !changes_.empty() && changes_.front().at <= floor_; changes_.pop_front()) {
      if (changes_.front().sign == 0) --annulled_;
    }
  }
  // Calls visit(time, cores started less ended) for each change after `from`, in the order of time.
  template <typename Visit>
  void ForChanges(Micros from, Visit visit) const {
    for (auto it = After(from); it != changes_.end(); ++it) visit(it->at, it->sign * ToSum(it->task.cores));
  }

 private:
  struct Change {
    OwnTask task;
    Micros at;
    int sign;  // 1 a start, -1 an end, 0 annulled
  };
  using Changes = std::deque<Change>;

  static bool Later(Micros at, const Change& c) { return at < c.at; }
  Changes::const_iterator After(Micros at) const {
    return std::upper_bound(changes_.begin(), changes_.end(), at, Later);
  }
  void Keep(const Change& change) {
    if (changes_.empty() || changes_.back().at <= change.at) return changes_.push_back(change);
    changes_.insert(After(change.at), change);  // a task found running: as old as can be
  }
  void Annul(Micros at, RequestId request) {
    if (at <= floor_) return;
    for (auto it = changes_.begin() + (After(at - 1) - changes_.begin()); it != changes_.end(); ++it) {
      if (it->at != at) return;
      if (it->task.request != request || it->sign == 0) continue;
      it->sign = 0;
      if (++annulled_ * 2 <= changes_.size()) return;
      std::erase_if(changes_, [](const Change& c) { return c.sign == 0; });
      annulled_ = 0;
      return;
    }
  }
  void Leave(std::uint64_t service) {
    const auto it = services_.find(service);
    if (it != services_.end() && --it->second == 0) services_.erase(it);
  }

  OwnSums unseen_, there_;
  std::size_t count_ = 0, annulled_ = 0;
  Micros view_ = 0, floor_ = 0;
  Changes changes_;  // in the order of time, after floor_; of what is there or in ended_ alone
  Changes ended_;    // in the order of their ends
  std::unordered_map<std::uint64_t, unsigned> services_;  // tasks there or in ended_
};

}  // namespace mountflow

#endif  // MOUNTFLOW_MODULE_OWN_WORK_HPP_
