#include "membership/membership.hpp"

#include <algorithm>

namespace mountflow::membership {

bool GroupMembership::IsCertain(const GroupView& view) const {
  return view.known && std::binary_search(view.names.begin(), view.names.end(), options_.own_name) &&
         view.view_age <= options_.max_view_age && view.lease_expires_at > view.now &&
         view.names.size() <= options_.max_members;
}

std::optional<MembershipChange> GroupMembership::Update(GroupView view) {
  std::vector<std::string>& names = view.names;
  std::sort(names.begin(), names.end());
  names.erase(std::unique(names.begin(), names.end()), names.end());

  MembershipChange change;
  // An uncertain view does not change the size, because the scheduler uses it for more than the slow-start
  // budget.
  change.size = reported_.size;
  next_timer_ = ~Micros{0};
  if (IsCertain(view)) {
    const auto own = std::lower_bound(names.begin(), names.end(), options_.own_name);
    const Micros view_expires_at = view.now + (options_.max_view_age - view.view_age) + 1;
    change.size = static_cast<int>(names.size());
    change.index = static_cast<int>(own - names.begin());
    change.valid_until = std::min(view.lease_expires_at, view_expires_at);
    change.undisturbed = certain_history_ == view.history;
    certain_history_ = view.history;
    next_timer_ = change.valid_until;
  } else {
    change.valid_until = 0;
  }
  if (has_reported_ && change.size == reported_.size && change.index == reported_.index &&
      change.valid_until == reported_.valid_until) {
    return std::nullopt;
  }
  has_reported_ = true;
  reported_ = change;
  return change;
}

}  // namespace mountflow::membership
