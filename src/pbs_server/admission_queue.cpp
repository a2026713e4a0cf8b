#include "pbs_server/admission_queue.hpp"

namespace mountflow::pbs_server {

admission::AdmissionDecision AdmissionQueue::Enqueue(Micros now, const QueuedSubmission& submission,
                                                     std::size_t unanswered_jobs) {
  const admission::AdmissionDecision decision =
      controller_->Decide({now, submission.arrived_at, submission.deadline, queue_.size(), unanswered_jobs});
  if (decision.admitted()) queue_.push_back(submission);
  return decision;
}

std::optional<QueuedSubmission> AdmissionQueue::TakeFirst() {
  if (queue_.empty()) return std::nullopt;
  const QueuedSubmission first = queue_.front();
  queue_.pop_front();
  return first;
}

admission::AdmissionDecision AdmissionQueue::Decide(Micros now, const QueuedSubmission& submission,
                                                    std::size_t unanswered_jobs) {
  return controller_->Decide({now, submission.arrived_at, submission.deadline, 0, unanswered_jobs});
}

}  // namespace mountflow::pbs_server
