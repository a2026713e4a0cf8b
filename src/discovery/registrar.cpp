#include "discovery/registrar.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include "discovery/backoff.hpp"

namespace mountflow::discovery {
namespace {

constexpr std::size_t kMaxWarnings = 64;          // stored until TakeWarnings() is called
constexpr Micros kMaxObservationLag = 1'000'000;  // of reads from the registry behind a write
constexpr Micros kRenewalsInTimeToLive = 3;
constexpr Micros kMaxJitterDivisor = 4;  // jitter is at most a quarter

}  // namespace

Registrar::Registrar(RegistrarOptions options, std::uint64_t seed)
    : options_(std::move(options)), protocol_(MakeLeaseProtocol(options_)), random_(seed) {}

std::vector<RegistryWarning> Registrar::TakeWarnings() { return std::exchange(warnings_, {}); }

void Registrar::SetEntry(Micros now, std::string value, bool immediately) {
  if (value == wanted_) return;
  wanted_ = std::move(value);
  if (immediately) write_at_ = std::min(write_at_, now);
}

// Note: renewals succeed even if the key was removed, so without this function the entry would stay absent
// until the next write.
void Registrar::OnEntryMissing(Micros at) {
  if (written_.empty() || at <= written_at_ + kMaxObservationLag) return;
  written_.clear();
  write_at_ = std::min(write_at_, at);
  ++incarnations_;
}

// ---- Requests ----

std::optional<Registrar::Request> Registrar::NextRequest(Micros now) {
  if (in_flight_ != LeaseStep::kNone || now < next_at_) return std::nullopt;
  const LeaseStep step = DueStep(now);
  if (step == LeaseStep::kNone) return std::nullopt;
  in_flight_ = step;
  sent_at_ = now;
  sending_ = wanted_;
  return Request{options_.endpoints[endpoint_], protocol_->WriteRequest(step, wanted_)};
}

// Returns the most urgent step that is due: authentication, opening the lease, renewing it, then writing the
// entry. A renewal precedes a write because an expired lease removes the entry.
LeaseStep Registrar::DueStep(Micros now) const {
  const bool is_wanted = !wanted_.empty();
  const bool has_lease = protocol_->HasLease();
  if (protocol_->NeedsAuthentication() && (is_wanted || !written_.empty())) return LeaseStep::kAuthenticate;
  if (is_wanted && !has_lease) return LeaseStep::kOpen;
  if (is_wanted && now >= renew_at_) return LeaseStep::kRenew;
  if (written_ != wanted_ && now >= write_at_) return is_wanted ? LeaseStep::kWrite : LeaseStep::kRemove;
  if (is_wanted && now >= reassert_at_) return LeaseStep::kWrite;
  return LeaseStep::kNone;
}

Micros Registrar::NextTimer() const {
  if (in_flight_ != LeaseStep::kNone) return sent_at_ + options_.timeout;
  Micros due = std::numeric_limits<Micros>::max();
  const bool is_wanted = !wanted_.empty();
  if (is_wanted && !protocol_->HasLease()) due = next_at_;
  if (is_wanted && protocol_->HasLease()) {
    due = std::max(std::min(renew_at_, reassert_at_), next_at_);
  }
  if (written_ != wanted_) due = std::min(due, std::max(write_at_, next_at_));
  return due;
}

// ---- Replies ----

void Registrar::OnReply(Micros now, const http::Message& reply) {
  const LeaseStep step = in_flight_;
  const auto received = protocol_->ReceiveReply(step, reply);
  if (received) return HandleSuccess(now, step, *received);
  if (received.error().is_lease_lost) NoteLeaseLost();
  OnFailure(now, received.error().reason);
}

void Registrar::HandleSuccess(Micros now, LeaseStep step, const LeaseReply& reply) {
  if (step == LeaseStep::kNone) return;
  if (reply.is_lease_lost) {
    NoteLeaseLost();
    return EndRequest(now);
  }
  if (reply.is_entry_written) NoteWritten(now);
  if (step == LeaseStep::kOpen) ++incarnations_;
  if (reply.is_lease_extended) NoteExtended();
  if (step == LeaseStep::kRemove) {
    written_.clear();
    held_until_ = 0;
  }
  EndRequest(now);
}

void Registrar::EndRequest(Micros now) {
  in_flight_ = LeaseStep::kNone;
  failures_ = 0;
  next_at_ = now;
}

void Registrar::NoteWritten(Micros now) {
  written_ = sending_;
  written_at_ = now;
  reassert_at_ = now + options_.reassert + NextRandom() % (options_.reassert / kMaxJitterDivisor + 1);
  write_at_ = now + options_.min_interval;
}

// The registry counts the time to live from when it received the request. That time is unknown but not
// earlier than when the request was sent, so counting from there never overestimates the lease.
void Registrar::NoteExtended() {
  held_until_ = sent_at_ + options_.time_to_live;
  renew_at_ = sent_at_ + options_.time_to_live / kRenewalsInTimeToLive;
}

// The registry removes the entry together with the lease.
void Registrar::NoteLeaseLost() {
  protocol_->DropLease();
  written_.clear();
  held_until_ = 0;
}

void Registrar::OnFailure(Micros now, const std::string& reason) {
  in_flight_ = LeaseStep::kNone;
  const Micros delay = ExponentialDelay(options_.initial_backoff, options_.max_backoff, failures_);
  ++failures_;
  endpoint_ = (endpoint_ + 1) % options_.endpoints.size();
  next_at_ = now + delay + NextRandom() % (delay / kMaxJitterDivisor + 1);
  if (warnings_.size() < kMaxWarnings) {
    RegistryWarning warning;
    warning.code = RegistryWarning::Code::kOwnEntryNotStored;
    warning.reason = reason;
    warnings_.push_back(std::move(warning));
  }
  // A lease that has expired in the meantime is lost, even without a reply from the registry.
  if (held_until_ != 0 && now >= held_until_) NoteLeaseLost();
}

std::uint64_t Registrar::NextRandom() {
  constexpr std::uint64_t kMultiplier = 6364136223846793005U;  // Knuth's MMIX generator
  constexpr std::uint64_t kIncrement = 1442695040888963407U;
  constexpr unsigned kDiscardedLowBits = 33;
  random_ = random_ * kMultiplier + kIncrement;
  return random_ >> kDiscardedLowBits;
}

}  // namespace mountflow::discovery
