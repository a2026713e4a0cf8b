// Events other than those of connections: signals, child processes and readable file descriptors.
#ifndef MOUNTFLOW_EVENT_LOOP_PROCESS_EVENTS_HPP_
#define MOUNTFLOW_EVENT_LOOP_PROCESS_EVENTS_HPP_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>

#include "event_loop/libev_watchers.hpp"

namespace mountflow::event_loop {

// Owns the watchers of signals, child processes and readable descriptors of one event loop. EventLoop
// documents OnSignal, OnChild and OnReadable.
class ProcessEvents : public IoEventSink, public ChildExitSink {
 public:
  explicit ProcessEvents(const LibevLoop* loop) : loop_(loop) {}

  void OnSignal(int signal, std::function<void()> callback);
  void OnChild(int pid, std::function<void(int status)> callback);
  void OnReadable(int fd, std::function<bool()> callback);

  void OnIoEvents(std::uint64_t fd, IoEvents events) override;
  void OnChildExit(int pid, int status) override;

 private:
  struct Child {
    std::function<void(int status)> callback;
    std::unique_ptr<ChildWatcher> watcher;
  };
  struct ReadableDescriptor {
    std::function<bool()> callback;
    std::unique_ptr<IoWatcher> watcher;
  };

  const LibevLoop* loop_;
  std::list<SignalWatcher> signals_;
  std::map<int, Child> children_;                  // by process id
  std::map<int, ReadableDescriptor> descriptors_;  // by file descriptor
};

}  // namespace mountflow::event_loop

#endif  // MOUNTFLOW_EVENT_LOOP_PROCESS_EVENTS_HPP_
