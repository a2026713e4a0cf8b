// A child process that prints one line on standard output when it is ready.
#ifndef MOUNTFLOW_TOOLS_CHAOS_CHILD_PROCESS_HPP_
#define MOUNTFLOW_TOOLS_CHAOS_CHILD_PROCESS_HPP_

#include <functional>
#include <string>
#include <system_error>
#include <tl/expected.hpp>
#include <vector>

#include "event_loop/event_loop.hpp"

namespace mountflow::chaos {

// Starts one program and reports its first line of output and its exit. The child is killed when this process
// ends. The event loop must outlive this object; callbacks run in the loop.
class ChildProcess {
 public:
  // The child's standard error is appended to `log_file`.
  ChildProcess(event_loop::EventLoop* loop, std::string log_file)
      : loop_(loop), log_file_(std::move(log_file)) {}

  // Runs the program arguments[0]. `on_ready` receives the first line of its standard output, and `on_exit`
  // the exit status in the format of waitpid().
  [[nodiscard]] tl::expected<void, std::error_code> Start(const std::vector<std::string>& arguments,
                                                          std::function<void(const std::string&)> on_ready,
                                                          std::function<void(int status)> on_exit);
  // Sends the signal `number` to the child.
  void Signal(int number) const;
  [[nodiscard]] bool running() const { return pid_ > 0; }
  // Blocks until the child has ended. Does not call `on_exit`.
  void Wait() const;

 private:
  void AwaitFirstLine(int fd, std::function<void(const std::string&)> on_ready);

  event_loop::EventLoop* loop_;
  std::string log_file_;
  int pid_ = 0;
};

}  // namespace mountflow::chaos

#endif  // MOUNTFLOW_TOOLS_CHAOS_CHILD_PROCESS_HPP_
