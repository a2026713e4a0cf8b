// The queue of attempts that wait for a node's admission decision. The node decides on one attempt at a time,
// in the order of arrival.
#ifndef MOUNTFLOW_NODE_AGENT_ADMISSION_QUEUE_HPP_
#define MOUNTFLOW_NODE_AGENT_ADMISSION_QUEUE_HPP_

#include <cstddef>
#include <deque>
#include <string>
#include <utility>

namespace mountflow::node_agent {

// A cancelled attempt stays in the queue, and counts towards its size, until TakeNext() reaches it. The
// caller must skip it then. Not thread-safe.
class AdmissionQueue {
 public:
  explicit AdmissionQueue(std::size_t max_waiting) : max_waiting_(max_waiting) {}

  // Reports whether an attempt is in decision and the maximum number of attempts wait.
  [[nodiscard]] bool IsFull() const { return waiting_.size() >= max_waiting_ && IsDeciding(); }
  [[nodiscard]] bool IsDeciding() const { return !in_decision_.empty(); }
  // Returns the number of waiting attempts, plus one if an attempt is in decision.
  [[nodiscard]] std::size_t size() const { return waiting_.size() + (IsDeciding() ? 1 : 0); }

  void Add(const std::string& attempt) { waiting_.push_back(attempt); }
  // Moves the next waiting attempt into decision. Returns false if no attempt waits. No attempt may be in
  // decision when this is called.
  bool TakeNext() {
    if (waiting_.empty()) return false;
    in_decision_ = std::move(waiting_.front());
    waiting_.pop_front();
    return true;
  }
  [[nodiscard]] const std::string& in_decision() const { return in_decision_; }
  void EndDecision() { in_decision_.clear(); }
  // Ends the decision on `attempt`. Does nothing if that attempt is not in decision.
  void EndDecisionOn(const std::string& attempt) {
    if (in_decision_ == attempt) EndDecision();
  }
  // Takes and clears the waiting attempts. The attempt in decision is not affected.
  [[nodiscard]] std::deque<std::string> TakeWaiting() { return std::exchange(waiting_, {}); }

 private:
  std::size_t max_waiting_;
  std::deque<std::string> waiting_;
  std::string in_decision_;  // empty: no attempt is in decision
};

}  // namespace mountflow::node_agent

#endif  // MOUNTFLOW_NODE_AGENT_ADMISSION_QUEUE_HPP_
