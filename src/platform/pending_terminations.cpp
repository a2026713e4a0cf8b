#include "platform/pending_terminations.hpp"

namespace mountflow::platform {

void PendingTerminations::Add(Micros now, RequestUid uid) {
  if (Contains(uid)) return;
  Termination termination;
  termination.uid = uid;
  termination.requested_at = now;
  pending_[++last_number_] = termination;
  number_by_uid_[uid] = last_number_;
}

std::optional<RequestUid> PendingTerminations::TakeUnsent(Micros now, std::uint64_t last_health_check) {
  const auto unsent = pending_.lower_bound(first_unsent_);
  if (unsent == pending_.end()) return std::nullopt;
  unsent->second.sent_at = now;
  unsent->second.last_health_check = last_health_check;
  first_unsent_ = unsent->first + 1;
  return unsent->second.uid;
}

void PendingTerminations::MarkAllUnsent() {
  for (auto& [number, termination] : pending_) termination.sent_at = kNever;
  first_unsent_ = 0;
}

bool PendingTerminations::Remove(RequestUid uid) {
  const auto number = number_by_uid_.find(uid);
  if (number == number_by_uid_.end()) return false;
  Erase(pending_.find(number->second));
  return true;
}

void PendingTerminations::RemoveSentBefore(std::uint64_t health_check) {
  for (Iterator termination = pending_.begin(); termination != pending_.end();) {
    const bool sent = termination->second.sent_at != kNever;
    // Terminations are sent in the order of requests, so none of the further ones was sent earlier.
    if (!sent || termination->second.last_health_check >= health_check) return;
    termination = Erase(termination);
  }
}

void PendingTerminations::RemoveRequestedBefore(Micros time) {
  Iterator oldest = pending_.begin();
  while (oldest != pending_.end() && oldest->second.requested_at < time) oldest = Erase(oldest);
}

void PendingTerminations::Clear() {
  pending_.clear();
  number_by_uid_.clear();
}

Micros PendingTerminations::OldestSentAt() const {
  return pending_.empty() ? kNever : pending_.begin()->second.sent_at;
}

Micros PendingTerminations::NextExpiry() const {
  return pending_.empty() ? kNever : pending_.begin()->second.requested_at + kTerminationRetention;
}

PendingTerminations::Iterator PendingTerminations::Erase(Iterator termination) {
  number_by_uid_.erase(termination->second.uid);
  return pending_.erase(termination);
}

}  // namespace mountflow::platform
