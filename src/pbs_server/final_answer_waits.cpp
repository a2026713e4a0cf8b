#include "pbs_server/final_answer_waits.hpp"

#include <algorithm>

namespace mountflow::pbs_server {

void FinalAnswerWaits::Add(ConnectionId connection, const Wait& wait) {
  waits_[connection] = wait;
  by_job_.emplace(wait.job, connection);
  by_deadline_.emplace(wait.deadline, connection);
}

void FinalAnswerWaits::Remove(ConnectionId connection) {
  const auto wait = waits_.find(connection);
  if (wait == waits_.end()) return;
  by_deadline_.erase({wait->second.deadline, connection});
  const auto [from, to] = by_job_.equal_range(wait->second.job);
  const auto entry =
      std::find_if(from, to, [connection](const auto& candidate) { return candidate.second == connection; });
  if (entry != to) by_job_.erase(entry);
  waits_.erase(wait);
}

std::vector<FinalAnswerWaits::ConnectionId> FinalAnswerWaits::Take(std::uint64_t job, bool completed) {
  std::vector<ConnectionId> taken;
  const auto [from, to] = by_job_.equal_range(job);
  for (auto it = from; it != to; ++it) {
    if (completed || !waits_.at(it->second).for_end) taken.push_back(it->second);
  }
  for (const ConnectionId connection : taken) Remove(connection);
  return taken;
}

std::optional<FinalAnswerWaits::Expired> FinalAnswerWaits::TakeExpired(Micros now) {
  if (by_deadline_.empty() || by_deadline_.begin()->first > now) return std::nullopt;
  const ConnectionId connection = by_deadline_.begin()->second;
  const Expired expired{connection, waits_.at(connection).job};
  Remove(connection);
  return expired;
}

Micros FinalAnswerWaits::NextDeadline() const {
  return by_deadline_.empty() ? ~Micros{0} : by_deadline_.begin()->first;
}

}  // namespace mountflow::pbs_server
