// Names of attempts that ended or were cancelled. Messages can arrive out of order, and an attempt that
// arrives after its cancellation must not be accepted.
#ifndef MOUNTFLOW_NODE_AGENT_TOMBSTONES_HPP_
#define MOUNTFLOW_NODE_AGENT_TOMBSTONES_HPP_

#include <cstddef>
#include <deque>
#include <set>
#include <string>

namespace mountflow::node_agent {

// A bounded set of names. Beyond `max_size` names, the oldest is removed. Not thread-safe.
class Tombstones {
 public:
  explicit Tombstones(std::size_t max_size) : max_size_(max_size) {}

  // Adds a name. A name that is already present retains its position.
  void AddTombstone(const std::string& attempt) {
    if (!names_.insert(attempt).second) return;
    in_order_.push_back(attempt);
    if (in_order_.size() <= max_size_) return;
    names_.erase(in_order_.front());
    in_order_.pop_front();
  }
  [[nodiscard]] bool Contains(const std::string& attempt) const { return names_.count(attempt) > 0; }

 private:
  std::size_t max_size_;
  std::set<std::string> names_;
  std::deque<std::string> in_order_;
};

}  // namespace mountflow::node_agent

#endif  // MOUNTFLOW_NODE_AGENT_TOMBSTONES_HPP_
