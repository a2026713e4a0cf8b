// Owning wrappers of libev's watchers. No other file uses libev directly.
//
// Each wrapper starts and stops its watcher. It does not access its members after it has called its callback,
// so a callback may destroy the wrapper. Wrappers must not outlive their LibevLoop.
#ifndef MOUNTFLOW_EVENT_LOOP_LIBEV_WATCHERS_HPP_
#define MOUNTFLOW_EVENT_LOOP_LIBEV_WATCHERS_HPP_

#include <ev.h>

#include <cstdint>
#include <functional>

#include "mountflow/scheduler.hpp"

namespace mountflow::event_loop {

// The default loop of the process, with the epoll backend. Aborts the program if the kernel does not provide
// epoll.
class LibevLoop {
 public:
  LibevLoop();
  void Run();
  void Stop();
  [[nodiscard]] struct ev_loop* handle() const { return loop_; }

 private:
  struct ev_loop* loop_;
};

// The events of one turn are served in descending order of priority.
enum class EventPriority : std::int8_t { kNormal = 0, kRaised = 1, kHighest = EV_MAXPRI };

// Events of a file descriptor, either to watch for or that have occurred.
struct IoEvents {
  bool readable = false;
  bool writable = false;
};

// Receives the events of several watchers; `key` identifies the watcher.
class IoEventSink {
 public:
  virtual ~IoEventSink() = default;
  virtual void OnIoEvents(std::uint64_t key, IoEvents events) = 0;
};

// Watches a file descriptor, which it does not own. Initially watches for no events.
class IoWatcher {
 public:
  IoWatcher(const LibevLoop& loop, IoEventSink* sink, std::uint64_t key, int fd, EventPriority priority);
  ~IoWatcher() { Stop(); }
  IoWatcher(const IoWatcher&) = delete;
  IoWatcher& operator=(const IoWatcher&) = delete;

  // Watches for exactly the `wanted` events. Does nothing if it watches for them already.
  void Watch(IoEvents wanted);
  void Stop();

 private:
  static void Dispatch(struct ev_loop* loop, ev_io* watcher, int events);

  struct ev_loop* loop_;
  IoEventSink* sink_;
  std::uint64_t key_;
  int fd_;
  ev_io watcher_;
};

// Calls back once, after the delay it was armed with.
class TimerWatcher {
 public:
  TimerWatcher(const LibevLoop& loop, std::function<void()> callback);
  ~TimerWatcher() { Disarm(); }
  TimerWatcher(const TimerWatcher&) = delete;
  TimerWatcher& operator=(const TimerWatcher&) = delete;

  // Starts the timer with `delay` in microseconds, replacing any earlier delay.
  void Arm(Micros delay);
  void Disarm();

 private:
  struct ev_loop* loop_;
  std::function<void()> callback_;
  ev_timer watcher_;
};

// Calls back before the loop waits for events, and again after the wait, before the loop serves them.
class TurnWatcher {
 public:
  TurnWatcher(const LibevLoop& loop, std::function<void()> before_wait, std::function<void()> after_wait);
  ~TurnWatcher();
  TurnWatcher(const TurnWatcher&) = delete;
  TurnWatcher& operator=(const TurnWatcher&) = delete;

 private:
  struct ev_loop* loop_;
  std::function<void()> before_wait_;
  std::function<void()> after_wait_;
  ev_prepare prepare_;
  ev_check check_;
};

// Calls back, with the highest priority, when the process receives the signal.
class SignalWatcher {
 public:
  SignalWatcher(const LibevLoop& loop, int signal, std::function<void()> callback);
  ~SignalWatcher();
  SignalWatcher(const SignalWatcher&) = delete;
  SignalWatcher& operator=(const SignalWatcher&) = delete;

 private:
  struct ev_loop* loop_;
  std::function<void()> callback_;
  ev_signal watcher_;
};

// Receives the exits of child processes.
class ChildExitSink {
 public:
  virtual ~ChildExitSink() = default;
  virtual void OnChildExit(int pid, int status) = 0;
};

// Watches one child process until it exits.
class ChildWatcher {
 public:
  ChildWatcher(const LibevLoop& loop, ChildExitSink* sink, int pid);
  ~ChildWatcher();
  ChildWatcher(const ChildWatcher&) = delete;
  ChildWatcher& operator=(const ChildWatcher&) = delete;

 private:
  struct ev_loop* loop_;
  ChildExitSink* sink_;
  ev_child watcher_;
};

}  // namespace mountflow::event_loop

#endif  // MOUNTFLOW_EVENT_LOOP_LIBEV_WATCHERS_HPP_
