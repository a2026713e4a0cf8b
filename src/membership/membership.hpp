// Group membership: computes from the entries of a registry how many schedulers share the cluster, and the
// index of this scheduler among them. Does no I/O, reads no clock and starts no thread.
//
// The result is certain only while the lease of this scheduler's entry is valid, so that the other schedulers
// see the entry, and while the view of their entries is fresh. Otherwise the index is -1: an uncertain index
// must never enlarge this scheduler's share of a node's slow-start budget. A certain result carries the time
// until which it is valid, so that a scheduler that was suspended does not act on an outdated result.
//
// A period of uncertainty does not by itself change the group. If the registry's history shows that no member
// joined or left since the last certain view, the result is marked as undisturbed.
#ifndef MOUNTFLOW_MEMBERSHIP_MEMBERSHIP_HPP_
#define MOUNTFLOW_MEMBERSHIP_MEMBERSHIP_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "mountflow/scheduler.hpp"

namespace mountflow::membership {

// The name of this scheduler and the limits of a certain view.
struct GroupOptions {
  std::string own_name;
  Micros max_view_age = 5'000'000;    // an older view of the other members is uncertain
  std::size_t max_members = 100'000;  // a larger group is uncertain
};

// The group as the registry shows it at the time `now`.
struct GroupView {
  std::vector<std::string> names;  // names of the members, in any order; duplicates count once
  bool known = false;              // whether the registry has been read since this process started
  Micros view_age = 0;
  Micros lease_expires_at = 0;  // expiry of the lease of this scheduler's own entry
  // Differs between two views whenever a member, this scheduler included, may have joined or left between
  // them.
  std::uint64_t history = 0;
  Micros now = 0;
};

// Returns the interval at which the registry must confirm the view. It is short enough that the view stays
// fresh if one confirmation is lost.
inline Micros ConfirmationInterval(Micros max_view_age) { return max_view_age / 2; }

// Computes the membership changes for the scheduler from successive views. Not thread-safe.
class GroupMembership {
 public:
  explicit GroupMembership(GroupOptions options) : options_(std::move(options)) {}

  // Evaluates a view. Returns the change to pass to the scheduler, or nothing if the result equals the last
  // one that was returned.
  [[nodiscard]] std::optional<MembershipChange> Update(GroupView view);
  // Returns the time at which Update must be called even without a new view, because the lease expires or the
  // view becomes too old; the largest value if there is no such time.
  [[nodiscard]] Micros NextTimer() const { return next_timer_; }
  // Returns the change that Update returned last.
  [[nodiscard]] const MembershipChange& reported() const { return reported_; }

 private:
  // Reports whether the group size and the index of this scheduler can be derived from `view` with certainty.
  [[nodiscard]] bool IsCertain(const GroupView& view) const;

  GroupOptions options_;
  MembershipChange reported_;
  bool has_reported_ = false;
  std::optional<std::uint64_t> certain_history_;  // history of the last certain view
  Micros next_timer_ = ~Micros{0};                // the largest value: no timer
};

}  // namespace mountflow::membership

#endif  // MOUNTFLOW_MEMBERSHIP_MEMBERSHIP_HPP_
