#include "tools/chaos/duplicate_effect_invariant.hpp"

#include <algorithm>

namespace mountflow::chaos {
namespace {

// Messages on different connections may be logged out of order by up to this many microseconds.
constexpr Micros kReorderTolerance = 50'000;

}  // namespace

void DuplicateEffectInvariant::OnAttempt(const Attempt& attempt, LogPosition position) {
  for (const Attempt* earlier : model_->AttemptsOfJob(attempt.job)) {
    if (earlier->in_flight()) overlaps_.push_back({earlier->id, attempt.id, position});
    if (!earlier->never_ran && earlier->is_committed()) CheckRetry(attempt, *earlier, position);
  }
}

// Checks an attempt after `earlier`, which was committed and may have run.
void DuplicateEffectInvariant::CheckRetry(const Attempt& attempt, const Attempt& earlier,
                                          LogPosition position) {
  const Effect effect = model_->ClassOf(attempt.queue).effect;
  if (effect == Effect::kNotIdempotent) {
    verdict_->AddViolation(Invariant::kDuplicateEffect, position.time,
                           "unsafe " + attempt.job + " is offered again to " + attempt.node + " though " +
                               earlier.id + " at " + earlier.node + " may have run",
                           {earlier.sent.line, earlier.committed.line, position.line});
  } else if (effect == Effect::kIdempotentWithKey && !earlier.has_ended()) {
    CheckRetryWithKey(attempt, earlier, position);
  }
}

// Checks that the node of the retry recognises the key. It does so only within the deduplication scope and
// window of the earlier attempt.
void DuplicateEffectInvariant::CheckRetryWithKey(const Attempt& attempt, const Attempt& earlier,
                                                 LogPosition position) {
  const TaskClass& task_class = model_->ClassOf(attempt.queue);
  const bool same_scope = ShareKeys(earlier.node, attempt.node, task_class.scope);
  const Micros window_end = earlier.sent.time + task_class.deduplication_window + model_->head().allowance;
  if (same_scope && position.time <= window_end) return;
  verdict_->AddViolation(Invariant::kDuplicateEffect, position.time,
                         "keyed " + attempt.job + " is offered to " + attempt.node +
                             (same_scope ? " too late" : " of another group") + " though " + earlier.id +
                             " at " + earlier.node + " may have run",
                         {earlier.committed.line, position.line});
}

bool DuplicateEffectInvariant::ShareKeys(const std::string& node, const std::string& other,
                                         DeduplicationScope scope) const {
  switch (scope) {
    case DeduplicationScope::kAllNodes:
      return true;
    case DeduplicationScope::kZone:
      return model_->DomainOf(node, SpreadDomain::kZone) == model_->DomainOf(other, SpreadDomain::kZone);
    case DeduplicationScope::kRack:
      return model_->DomainOf(node, SpreadDomain::kRack) == model_->DomainOf(other, SpreadDomain::kRack);
    case DeduplicationScope::kNone:
      return false;
  }
  return false;
}

void DuplicateEffectInvariant::OnEnd(Micros end_time) {
  for (const Overlap& overlap : overlaps_) CheckOverlap(overlap);
  for (const auto& [key, ids] : model_->accepted_by_key()) {
    for (std::size_t i = 0; i < ids.size(); ++i) {
      for (std::size_t j = i + 1; j < ids.size(); ++j) {
        CheckKey(key, model_->attempt(ids[i]), model_->attempt(ids[j]), end_time);
      }
    }
  }
}

void DuplicateEffectInvariant::CheckOverlap(const Overlap& overlap) {
  const Attempt& earlier = model_->attempt(overlap.earlier);
  const Attempt& later = model_->attempt(overlap.later);
  if (earlier.in_flight_until <= overlap.position.time + kReorderTolerance) return;
  verdict_->AddViolation(Invariant::kDuplicateEffect, overlap.position.time,
                         "two attempts of " + later.job + " are out together: " + earlier.id + " at " +
                             earlier.node + " and " + later.id + " at " + later.node,
                         {earlier.sent.line, overlap.position.line});
}

void DuplicateEffectInvariant::CheckKey(const std::string& key, const Attempt& first, const Attempt& second,
                                        Micros end_time) {
  const Micros from = std::max(first.accepted.time, second.accepted.time);
  const Micros to = std::min({first.ended, second.ended, end_time});
  if (from + model_->head().allowance >= to) return;
  verdict_->AddViolation(Invariant::kDuplicateEffect, from,
                         "key " + key + " runs twice: " + first.id + " at " + first.node + " and " +
                             second.id + " at " + second.node,
                         {first.accepted.line, second.accepted.line});
}

}  // namespace mountflow::chaos
