#include "discovery/sourcing.hpp"

#include <algorithm>

namespace mountflow::discovery {

Step Sourcing::Next(Micros now) {
  if (task_ != Task::kNone || now < next_at_) return {};
  task_ = need_all_ ? Task::kReadAll : Task::kFollow;
  heard_ = now;
  return {task_, endpoint_, revision_};
}

Micros Sourcing::NextTimer() const {
  if (task_ == Task::kNone) return next_at_;
  return heard_ + (task_ == Task::kReadAll ? options_.read_timeout : options_.quiet_timeout);
}

bool Sourcing::Overdue(Micros now) const { return task_ != Task::kNone && now >= NextTimer(); }

// Failures in a row wait ever longer, and by different amounts: many daemons lose one registry together.
void Sourcing::Fail(Micros now, bool move_on) {
  task_ = Task::kNone;
  random_ += 0x9e3779b97f4a7c15u;
  std::uint64_t z = random_;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
  const double draw = static_cast<double>((z ^ (z >> 31)) >> 11) * 0x1.0p-53;
  const Micros pause = std::min(options_.most_backoff, options_.first_backoff << std::min(failures_, 16u));
  // The first break of a row resumes at once, where it was: most breaks are of the connection alone.
  const bool at_once = failures_ == 0 && !move_on;
  ++failures_;
  if (move_on || failures_ > 1) endpoint_ = (endpoint_ + 1) % std::max<std::size_t>(options_.endpoints, 1);
  next_at_ =
      at_once ? now : now + pause + static_cast<Micros>(static_cast<double>(pause) * options_.spread * draw);
}

Taken Sourcing::OnAll(Micros now, std::uint64_t revision) {
  const bool older = revision < revision_;
  if (older) {
    behind_.insert(endpoint_);
    // Another endpoint told newer, and some were not asked since: this one is behind.
    if (endpoint_ != teller_ && behind_.size() < options_.endpoints) {
      Fail(now, true);
      return Taken::kBehind;
    }
  }
  task_ = Task::kNone;
  need_all_ = false;
  failures_ = 0;
  behind_.clear();
  teller_ = endpoint_;
  revision_ = revision;
  next_at_ = now;
  return older ? Taken::kNewHistory : Taken::kYes;
}

void Sourcing::OnProgress(Micros now, std::uint64_t revision) {
  heard_ = now;
  failures_ = 0;
  if (revision < revision_) return;
  revision_ = revision;
  teller_ = endpoint_;
  behind_.clear();
}

void Sourcing::OnCompacted(Micros now) {
  task_ = Task::kNone;
  need_all_ = true;
  next_at_ = now;
}

void Sourcing::OnBroken(Micros now) {
  const bool read = task_ == Task::kReadAll;
  Fail(now, read);
}

void Sourcing::OnRefused(Micros now) { Fail(now, true); }

void Sourcing::OnNewHistory(Micros now) {
  if (task_ == Task::kFollow) task_ = Task::kNone;
  need_all_ = true;
  revision_ = 0;
  behind_.clear();
  next_at_ = now;
}

void Sourcing::ReadAnew(Micros now) {
  need_all_ = true;
  if (task_ == Task::kFollow) {  // the caller has ended it
    task_ = Task::kNone;
    next_at_ = now;
  }
  if (task_ == Task::kNone) next_at_ = std::min(next_at_, now);
}

}  // namespace mountflow::discovery
