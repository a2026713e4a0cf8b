// Runs tasks as real processes. Each script runs under sh, as the invoking user, in its own session, with its
// output written to files.
#ifndef MOUNTFLOW_NODE_AGENT_TASK_EXECUTOR_HPP_
#define MOUNTFLOW_NODE_AGENT_TASK_EXECUTOR_HPP_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "event_loop/event_loop.hpp"
#include "node_agent/submitted_task.hpp"

namespace mountflow::node_agent {

// Starts and signals the processes of tasks. The loop must outlive this object. The destructor sends SIGKILL
// to all processes and does not report their exits.
class TaskExecutor {
 public:
  // Receives the attempt and its exit status, which is kExitStatusSignalBase plus the signal's number if a
  // signal ended the process. Never called from within Run() or Signal().
  using ExitHandler = std::function<void(const std::string& attempt, int status)>;
  TaskExecutor(event_loop::EventLoop* loop, ExitHandler on_exit);
  TaskExecutor(const TaskExecutor&) = delete;
  TaskExecutor& operator=(const TaskExecutor&) = delete;
  ~TaskExecutor();

  // Starts the task's process. If that fails, a failed exit is reported.
  void Run(const std::string& attempt, const SubmittedTask& task);
  // Sends a signal to the task's process group. After SIGTERM, SIGKILL follows when a grace period has
  // passed.
  void Signal(const std::string& attempt, const std::string& signal);

 private:
  void ReportFailedStart(const std::string& attempt);
  void HandleExit(const std::string& attempt, int wait_status);
  // Wraps a callback for the loop so that it does nothing after the executor is destroyed.
  template <typename Callback>
  auto WhileAlive(Callback callback);

  event_loop::EventLoop* loop_;
  ExitHandler on_exit_;
  std::map<std::string, int> processes_;  // attempt to process id, which is also the group id
  std::shared_ptr<void> alive_;           // callbacks in the loop hold weak references
};

}  // namespace mountflow::node_agent

#endif  // MOUNTFLOW_NODE_AGENT_TASK_EXECUTOR_HPP_
