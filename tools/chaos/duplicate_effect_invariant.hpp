// Invariant 2: no task takes effect twice.
//   - A job has at most one attempt in flight at a time.
//   - A task that may have run is retried only as its class allows.
//   - Two tasks with the same idempotency key never run at the same time, even when different daemons sent
//   them.
#ifndef MOUNTFLOW_TOOLS_CHAOS_DUPLICATE_EFFECT_INVARIANT_HPP_
#define MOUNTFLOW_TOOLS_CHAOS_DUPLICATE_EFFECT_INVARIANT_HPP_

#include <string>
#include <vector>

#include "tools/chaos/message_log_model.hpp"

namespace mountflow::chaos {

class DuplicateEffectInvariant {
 public:
  DuplicateEffectInvariant(const MessageLogModel* model, Verdict* verdict)
      : model_(model), verdict_(verdict) {}

  // Checks an attempt. Must be called before the attempt is added to the model.
  void OnAttempt(const Attempt& attempt, LogPosition position);
  // Runs the checks that need the whole log.
  void OnEnd(Micros end_time);

 private:
  // Two attempts of a job that may have been in flight at the same time. They are checked at the end of the
  // log, because messages on different connections are not seen in the order in which they were sent.
  struct Overlap {
    std::string earlier;
    std::string later;
    LogPosition position;
  };
  void CheckRetry(const Attempt& attempt, const Attempt& earlier, LogPosition position);
  void CheckRetryWithKey(const Attempt& attempt, const Attempt& earlier, LogPosition position);
  void CheckOverlap(const Overlap& overlap);
  void CheckKey(const std::string& key, const Attempt& first, const Attempt& second, Micros end_time);
  [[nodiscard]] bool ShareKeys(const std::string& node, const std::string& other,
                               DeduplicationScope scope) const;

  const MessageLogModel* model_;
  Verdict* verdict_;
  std::vector<Overlap> overlaps_;
};

}  // namespace mountflow::chaos

#endif  // MOUNTFLOW_TOOLS_CHAOS_DUPLICATE_EFFECT_INVARIANT_HPP_
