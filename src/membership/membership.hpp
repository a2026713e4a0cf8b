// Which schedulers share the fleet: decided from the entries of a registry,
// free of I/O and clock.
//
// The answer is sure only while the own entry is surely seen by the others (its
// lease is renewed) and the view of theirs is fresh. In all other cases the own
// number is -1: an unsure number must never enlarge a share of what a cold
// machine bears. What is sure carries the time until which it is, so that a
// scheduler that was stopped in between does not act on it.
//
// Doubt that passes is no change: when nobody came or went meanwhile, as the
// registry's own history shows, the numbers are told as undisturbed.
#ifndef MOUNTFLOW_MEMBERSHIP_MEMBERSHIP_HPP_
#define MOUNTFLOW_MEMBERSHIP_MEMBERSHIP_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "mountflow/scheduler.hpp"

namespace mountflow::membership {

struct GroupOptions {
  std::string self;
  Micros most_age = 5'000'000;  // of the view of the others; older: not sure
  std::size_t most = 100'000;   // members; more: not sure
};

struct GroupInput {
  std::vector<std::string> names;  // in any order; as the registry shows them
  bool known = false;              // the registry was read in this life
  Micros view_age = 0;
  Micros held_until = 0;  // of the own entry
  // Differs whenever somebody may have come or gone between two inputs, the own entry included.
  std::uint64_t history = 0;
  Micros now = 0;
};

// How often the view of the others must be vouched for, so that it counts as fresh with one word to spare.
inline Micros VouchEvery(Micros most_age) { return most_age / 2; }

class Group {
 public:
  explicit Group(GroupOptions options) : options_(std::move(options)) {}
  // What the module is to be told, when it differs from what it was told last.
  std::optional<MembershipChange> Update(GroupInput input);
  // When to ask again though nothing happened: the own entry's time, or the view's age, may be over.
  Micros NextTimer() const { return next_; }
  const MembershipChange& told() const { return told_; }

 private:
  GroupOptions options_;
  MembershipChange told_;
  bool ever_ = false, was_sure_ = false;
  std::uint64_t sure_history_ = 0;  // when the numbers were sure last
  Micros next_ = ~Micros{0};
};

}  // namespace mountflow::membership

#endif  // MOUNTFLOW_MEMBERSHIP_MEMBERSHIP_HPP_
