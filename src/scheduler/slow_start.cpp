#include "scheduler/slow_start.hpp"

#include <algorithm>
#include <cstdint>

#include "scheduler/list_staleness.hpp"
#include "scheduler/time_units.hpp"

namespace mountflow {
namespace {

// Upper limit of a budget, in effect unlimited. It keeps the conversion to an integer defined.
constexpr double kMaxBudget = 1e9;

}  // namespace

GroupMembership::GroupMembership(const Settings& settings)
    : size_(std::max(1, settings.group_size)),
      index_(settings.self_index),
      is_known_(settings.self_index >= 0 && settings.self_index < settings.group_size),
      slow_start_window_(settings.slow_start_window) {}

bool GroupMembership::IsSettled(Micros now) const {
  return is_known_ && now < valid_until_ && now >= settled_at_;
}

void GroupMembership::Update(const MembershipChange& change, Micros now) {
  const bool is_certain = change.index >= 0 && change.index < change.size;
  const bool is_same = is_certain && change.size == size_ && change.index == index_;
  const bool is_undisturbed = is_same && (is_known_ || change.undisturbed);
  is_known_ = is_certain;
  valid_until_ = change.valid_until;
  if (change.size > 0) size_ = change.size;
  if (!is_certain || is_undisturbed) return;
  index_ = change.index;
  settled_at_ = now + ListStaleness::Horizon() + slow_start_window_;
}

// Each scheduler sends at most its share of the budget in any window. If the group is larger than the budget,
// teams of schedulers take turns of one window each, counted from the start of the node. Any window overlaps
// at most two turns, so a team has half of the budget as members, and each member sends once in its turn. A
// scheduler that started within the window or the turn waits, because it may have used its share before its
// restart.
bool SlowStart::AllowsWarmingUp(const NodeRecord& node, Micros now) const {
  const Micros window = settings_.slow_start_window;
  const Micros node_started_at = node.entry.started_at;
  if (!group_.IsSettled(now) || window == 0 || now < node_started_at) return false;
  const auto group_size = static_cast<std::uint64_t>(group_.size());
  const auto budget = static_cast<std::uint64_t>(std::clamp(settings_.slow_start_budget, 0.0, kMaxBudget));
  std::uint64_t allowance = budget / group_size;
  Micros counted_from = TimeBefore(now, window);
  if (allowance == 0) {
    const std::uint64_t team_size = budget / 2;
    if (team_size == 0) return false;
    const std::uint64_t team_count = (group_size + team_size - 1) / team_size;
    const std::uint64_t turn = (now - node_started_at) / window;
    const auto index = static_cast<std::uint64_t>(group_.index());
    if ((index + node.entry.node + turn) % team_count != 0) return false;
    allowance = 1;
    counted_from = node_started_at + turn * window;
  }
  if (scheduler_started_at_ > node_started_at && scheduler_started_at_ > counted_from) return false;
  const auto sent = std::count_if(node.slow_start_attempts.begin(), node.slow_start_attempts.end(),
                                  [counted_from](Micros at) { return at >= counted_from; });
  return static_cast<std::uint64_t>(sent) < allowance;
}

void SlowStart::RecordAttempt(NodeRecord* node, Micros now) const {
  if (!IsWarmingUp(settings_, node->entry, now)) return;
  std::deque<Micros>& attempts = node->slow_start_attempts;
  while (!attempts.empty() && attempts.front() + settings_.slow_start_window < now) attempts.pop_front();
  attempts.push_back(now);
}

}  // namespace mountflow
