#include "membership/membership.hpp"

#include <algorithm>

namespace mountflow::membership {

std::optional<MembershipChange> Group::Update(GroupInput input) {
  std::vector<std::string>& names = input.names;
  std::sort(names.begin(), names.end());
  names.erase(std::unique(names.begin(), names.end()), names.end());
  MembershipChange now;
  // Not sure, the last size stands: it is used for more than the cold share.
  now.size = told_.size;
  const auto self = std::lower_bound(names.begin(), names.end(), options_.self);
  const bool there = self != names.end() && *self == options_.self;
  const bool sure = input.known && there && input.view_age <= options_.most_age &&
                    input.held_until > input.now && names.size() <= options_.most;
  if (sure) {
    now.size = static_cast<int>(names.size());
    now.index = static_cast<int>(self - names.begin());
    now.valid_until = std::min(input.held_until, input.now + (options_.most_age - input.view_age) + 1);
    now.undisturbed = was_sure_ && input.history == sure_history_;
    was_sure_ = true;
    sure_history_ = input.history;
  } else {
    now.valid_until = 0;
  }
  next_ = sure ? now.valid_until : ~Micros{0};
  if (ever_ && now.size == told_.size && now.index == told_.index && now.valid_until == told_.valid_until)
    return std::nullopt;
  ever_ = true;
  told_ = now;
  return now;
}

}  // namespace mountflow::membership
