#include "retry/retry.hpp"

#include <algorithm>

namespace mountflow::retry {

RepeatDecision Repeats::Decide(const RepeatPolicy& policy, const AskEnded& e) {
  RepeatDecision d;
  if (!e.rerunnable) {
    d.why = "not rerunnable";
    return d;
  }
  // Danger: an unsafe task that may have run must never start again, whatever its owner allows; only the
  // certain knowledge that no attempt ran or runs could permit it, and a loss is proof of the contrary.
  if (e.idempotency == Idempotency::kNotIdempotent && e.end != AskEnd::kRefused) {
    d.why = "it may have run, and its class must not run twice";
    return d;
  }
  if (in_row_ >= policy.most) {
    d.why = "no repeats left";
    return d;
  }
  Micros wait = policy.lost_wait;
  if (e.end != AskEnd::kLost || in_row_ > 0) {
    wait = policy.first_wait;
    for (unsigned i = 0; i < in_row_ && wait < policy.most_wait; ++i) wait *= 2;
    wait = std::min(wait, policy.most_wait);
  }
  wait = std::max(wait, e.advised);
  const bool settle = e.idempotency != Idempotency::kIdempotent && (e.unsettled || e.end == AskEnd::kFailed);
  if (settle) wait = std::max(wait, policy.settle_wait);
  // Many owners refused together must not come back together.
  wait += static_cast<Micros>(static_cast<double>(wait) * policy.spread * e.draw);
  if (e.now + wait >= e.give_up) {
    d.why = "the owner's time is over";
    return d;
  }
  ++in_row_;
  d.verdict = settle ? RepeatVerdict::kSettle : RepeatVerdict::kAgain;
  d.at = e.now + wait;
  return d;
}

}  // namespace mountflow::retry
