#include "discovery/endpoint_selector.hpp"

#include <algorithm>

namespace mountflow::discovery {

ReadStep EndpointSelector::StartNextRead(Micros now) {
  if (current_read_ != ReadKind::kNone || now < next_read_at_) return {};
  current_read_ = full_read_needed_ ? ReadKind::kFull : ReadKind::kFollow;
  active_at_ = now;
  const bool is_brief = current_read_ == ReadKind::kFollow && !is_revision_confirmed_;
  return {current_read_, endpoint_, revision_, is_brief};
}

Micros EndpointSelector::NextTimer() const {
  if (current_read_ == ReadKind::kNone) return next_read_at_;
  return active_at_ +
         (current_read_ == ReadKind::kFull ? options_.full_read_timeout : options_.follow_timeout);
}

bool EndpointSelector::IsOverdue(Micros now) const {
  return current_read_ != ReadKind::kNone && now >= NextTimer();
}

void EndpointSelector::EndWithFailure(Micros now, bool advance) {
  current_read_ = ReadKind::kNone;
  is_revision_confirmed_ = false;
  // The first failure is retried at once at the same endpoint, because usually only the connection has
  // failed.
  const bool resume = backoff_.failures() == 0 && !advance;
  // Computed in either case, so that the random sequence does not depend on `resume`.
  const Micros delay = backoff_.NextDelay();
  next_read_at_ = resume ? now : now + delay;
  if (!resume) endpoint_ = (endpoint_ + 1) % std::max<std::size_t>(options_.endpoint_count, 1);
}

ReadVerdict EndpointSelector::OnFullRead(Micros now, std::uint64_t revision) {
  const bool is_older = revision < revision_;
  if (is_older) {
    endpoints_behind_.insert(endpoint_);
    const bool all_behind = endpoints_behind_.size() >= options_.endpoint_count;
    if (endpoint_ != newest_revision_endpoint_ && !all_behind) {
      EndWithFailure(now, true);
      return ReadVerdict::kBehind;
    }
  }
  // A full read does not block, and a pause may follow it. Only a blocking read confirms the revision.
  is_revision_confirmed_ = current_read_ == ReadKind::kFollow && revision == revision_;
  current_read_ = ReadKind::kNone;
  full_read_needed_ = false;
  backoff_.Reset();
  endpoints_behind_.clear();
  newest_revision_endpoint_ = endpoint_;
  revision_ = revision;
  next_read_at_ = now;
  return is_older ? ReadVerdict::kNewHistory : ReadVerdict::kAccepted;
}

void EndpointSelector::OnProgress(Micros now, std::uint64_t revision) {
  active_at_ = now;
  backoff_.Reset();
  if (revision < revision_) return;
  revision_ = revision;
  newest_revision_endpoint_ = endpoint_;
  endpoints_behind_.clear();
}

void EndpointSelector::OnCompaction(Micros now) {
  current_read_ = ReadKind::kNone;
  full_read_needed_ = true;
  next_read_at_ = now;
}

void EndpointSelector::OnConnectionFailure(Micros now) {
  EndWithFailure(now, current_read_ == ReadKind::kFull);
}

void EndpointSelector::OnRejection(Micros now) { EndWithFailure(now, true); }

void EndpointSelector::OnNewHistory(Micros now) {
  if (current_read_ == ReadKind::kFollow) current_read_ = ReadKind::kNone;
  full_read_needed_ = true;
  revision_ = 0;
  endpoints_behind_.clear();
  next_read_at_ = now;
}

void EndpointSelector::RequestFullRead(Micros now) {
  full_read_needed_ = true;
  if (current_read_ == ReadKind::kFollow) {
    current_read_ = ReadKind::kNone;
    next_read_at_ = now;
  }
  if (current_read_ == ReadKind::kNone) next_read_at_ = std::min(next_read_at_, now);
}

}  // namespace mountflow::discovery
