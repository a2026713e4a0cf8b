// A single-threaded event loop: non-blocking TCP connections, timers, signals and child processes.
//
// All methods and all callbacks run in the thread that calls Run(). Methods that take the id of a connection,
// listener or timer that is gone do nothing.
//
// Every connection has a bounded write buffer: when its peer leaves more than SetMaxUnsentBytes unread, the
// connection is reset, and OnClosed gives the reason.
#ifndef MOUNTFLOW_EVENT_LOOP_EVENT_LOOP_HPP_
#define MOUNTFLOW_EVENT_LOOP_EVENT_LOOP_HPP_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "event_loop/address.hpp"
#include "event_loop/connection_filter.hpp"
#include "event_loop/connection_handler.hpp"
#include "event_loop/event_loop_error.hpp"
#include "event_loop/timer_queue.hpp"
#include "mountflow/scheduler.hpp"

namespace mountflow::event_loop {

// Uses the default loop of libev: one object at a time in a process. Ignores SIGPIPE in the whole process.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Wall time in microseconds that never goes back and does not jump: the wall clock at the start plus the
  // monotonic clock since.
  [[nodiscard]] Micros Now() const;
  // When this turn began to serve events, and the one before: what is read in this turn arrived after the
  // latter.
  [[nodiscard]] Micros TurnStart() const;
  [[nodiscard]] Micros PreviousTurnStart() const;

  // Serves events until Stop().
  void Run();
  void Stop();

  // Listens on "IP:PORT"; port 0 chooses a free one. `handler` must outlive the listener and its connections.
  // With `filters` each connection passes through a filter of its own, and is reported as accepted when that
  // is ready. At most 1024 handshakes are under way at a time; further connections are reset, and so is each
  // whose handshake takes over 10 s.
  [[nodiscard]] tl::expected<ListenerId, EventLoopError> Listen(const std::string& address,
                                                                ConnectionHandler* handler,
                                                                FilterFactory filters = {});
  // 0 when the listener is closed.
  [[nodiscard]] int PortOf(ListenerId listener) const;
  void CloseListener(ListenerId listener);
  void PauseAccepting(ListenerId listener, bool pause);
  // Whether PeerInfo has the user that owns the other end of accepted connections. Default true.
  void SetReportPeerUid(bool report);

  // Connects to "IP:PORT". OnConnected or OnClosed follows, never inside this call. `id` is chosen by the
  // caller when not 0, and must be new; else by the loop. With a filter OnConnected comes when that is ready.
  // Bytes sent before OnConnected wait.
  ConnId Connect(const std::string& address, ConnectionHandler* handler, ConnId id = 0,
                 std::unique_ptr<ConnectionFilter> filter = nullptr);
  [[nodiscard]] ConnId NewConnectionId();
  // Never calls the handler: when the connection fails, OnClosed comes later.
  void Send(ConnId connection, std::string_view bytes);
  [[nodiscard]] std::size_t UnsentBytes(ConnId connection) const;
  // The connection is open, and the kernel has all that was sent.
  [[nodiscard]] bool AllWritten(ConnId connection) const;
  // The peer has closed or reset the connection, or it is gone: seen also while reading is paused and while
  // bytes sent before the close are unread.
  [[nodiscard]] bool PeerClosed(ConnId connection) const;
  void PauseReading(ConnId connection, bool pause);
  // No callback comes any more. With `flush` what is unsent is still written, for at most 10 s.
  void Close(ConnId connection, bool flush = false);
  // Closes so that the peer sees a reset. No callback comes any more.
  void Abort(ConnId connection);

  // Connections that are flushed at a time; a further one costs the oldest. Default 1024, at least 1.
  void SetMaxClosing(std::size_t max);
  [[nodiscard]] std::size_t closing_count() const;
  // Of one connection. Default 64 MiB.
  void SetMaxUnsentBytes(std::size_t bytes);
  // Read at once, of one connection. Default and largest 64 KiB.
  void SetMaxReadBytes(std::size_t bytes);

  // Calls `callback` once, at or soon after `due`. Timers run in the order of their due times, equal ones in
  // the order they were added.
  TimerId AddTimer(Micros due, std::function<void()> callback);
  void CancelTimer(TimerId timer);
  // One further timer that is moved often: `due` is when it runs next, the largest value never. An empty
  // callback keeps the one set before.
  void SetMainTimer(Micros due, std::function<void()> callback);
  // Runs after the events of each turn.
  void SetAfterTurn(std::function<void()> callback);

  // Runs before the other events of its turn.
  void OnSignal(int signal, std::function<void()> callback);
  // Runs when bytes can be read from `fd`, until the callback returns false.
  void OnReadable(int fd, std::function<bool()> callback);
  // Runs when the child process ends; the status is as waitpid gives it.
  void OnChild(int pid, std::function<void(int status)> callback);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace mountflow::event_loop

#endif  // MOUNTFLOW_EVENT_LOOP_EVENT_LOOP_HPP_
