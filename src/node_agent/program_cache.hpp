// The programs of services that a node has cached: those of its running tasks, and a limited number of
// programs without a running task.
#ifndef MOUNTFLOW_NODE_AGENT_PROGRAM_CACHE_HPP_
#define MOUNTFLOW_NODE_AGENT_PROGRAM_CACHE_HPP_

#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace mountflow::node_agent {

// Tracks the cached programs by service name. Not thread-safe.
class ProgramCache {
 public:
  // `max_unused` is the maximum number of cached programs without a running task. Beyond it, the program that
  // was unused for longest is evicted.
  explicit ProgramCache(std::size_t max_unused) : max_unused_(max_unused) {}

  [[nodiscard]] bool Contains(const std::string& service) const;
  void AddRunningTask(const std::string& service);
  void RemoveRunningTask(const std::string& service);  // the service must have one
  [[nodiscard]] std::size_t running_tasks() const { return running_tasks_; }

 private:
  std::size_t max_unused_;
  std::size_t running_tasks_ = 0;
  std::map<std::string, std::size_t> running_;  // running tasks by service, at least one each
  std::deque<std::string> unused_;              // the longest unused first
};

}  // namespace mountflow::node_agent

#endif  // MOUNTFLOW_NODE_AGENT_PROGRAM_CACHE_HPP_
