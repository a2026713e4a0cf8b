// Queue of submissions that wait for admission, in the order of arrival.
#ifndef MOUNTFLOW_PBS_SERVER_ADMISSION_QUEUE_HPP_
#define MOUNTFLOW_PBS_SERVER_ADMISSION_QUEUE_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "admission/admission.hpp"

namespace mountflow::pbs_server {

struct QueuedSubmission {
  std::uint64_t connection = 0;
  std::uint64_t ordinal = 0;  // counts the submissions that were queued for this connection, from 1
  Micros arrived_at = 0;      // when the bytes of the submission arrived
  Micros deadline = 0;        // when the client stops waiting
};

// A first-in, first-out queue whose length the admission controller bounds. Entries of closed connections
// stay in the queue until they reach the head, where the caller must skip them.
class AdmissionQueue {
 public:
  // Sets the controller, which must outlive this object. Without a controller, the caller admits every
  // submission at once and queues none.
  void SetController(admission::AdmissionController* controller) { controller_ = controller; }
  [[nodiscard]] bool enabled() const { return controller_ != nullptr; }
  [[nodiscard]] std::size_t size() const { return queue_.size(); }

  // Decides on a submission and queues it unless it is rejected. `unanswered_jobs` is the number of admitted
  // jobs without a final answer, as in admission::SubmissionState.
  [[nodiscard]] admission::AdmissionDecision Enqueue(Micros now, const QueuedSubmission& submission,
                                                     std::size_t unanswered_jobs);
  // Removes and returns the first submission, or nothing if the queue is empty.
  [[nodiscard]] std::optional<QueuedSubmission> TakeFirst();
  // Decides again on a submission that TakeFirst returned.
  [[nodiscard]] admission::AdmissionDecision Decide(Micros now, const QueuedSubmission& submission,
                                                    std::size_t unanswered_jobs);
  [[nodiscard]] std::size_t MaxAdmissionsPerIteration() const {
    return controller_->MaxAdmissionsPerIteration();
  }

 private:
  admission::AdmissionController* controller_ = nullptr;
  std::deque<QueuedSubmission> queue_;
};

}  // namespace mountflow::pbs_server

#endif  // MOUNTFLOW_PBS_SERVER_ADMISSION_QUEUE_HPP_
