// Rules that decide whether a request gets another attempt, and its final answer.
#ifndef MOUNTFLOW_SCHEDULER_ATTEMPT_RULES_HPP_
#define MOUNTFLOW_SCHEDULER_ATTEMPT_RULES_HPP_

#include "mountflow/scheduler.hpp"
#include "scheduler/request_record.hpp"

namespace mountflow {

// The parts of rules 1 and 2 of the public header that do not depend on a node; AdmissionRules has the
// others. All methods are pure functions of the request. `settings` must outlive this object.
class AttemptRules {
 public:
  explicit AttemptRules(const Settings& settings) : settings_(settings) {}

  // Reports whether the deadline and the maximum number of attempts allow another attempt.
  bool MayRetry(const RequestRecord& request, Micros now) const;
  // Reports whether MayRetry() holds, no attempt is in flight or running, and the request has no final answer
  // yet.
  bool MayStart(const RequestRecord& request, Micros now) const;

  // Reports whether an attempt on an unresponsive node may be cancelled in favour of another attempt,
  // although it may have run.
  bool MayCancelForRetry(const RequestRecord& request) const;

  // Reports whether an attempt with this result certainly did not run. Does not apply to an attempt whose
  // start was reported.
  static bool NeverRan(AttemptResult result);

  // Returns the final answer of a request for which no further attempt is possible. The answer is a
  // rejection, which tells the client that a retry is safe, if no attempt may have run, if the task is
  // idempotent, or if every node would discard a repeat. Otherwise it is a failure.
  Action FinalAnswer(const RequestRecord& request) const;

 private:
  const Settings& settings_;
};

}  // namespace mountflow

#endif  // MOUNTFLOW_SCHEDULER_ATTEMPT_RULES_HPP_
