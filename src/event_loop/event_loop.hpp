// A single-threaded event loop: non-blocking TCP connections, timers, signals and child processes.
//
// All methods and all callbacks run in the thread that calls Run(). Methods that take the id of a connection,
// listener or timer do nothing if it no longer exists.
//
// Every connection has a bounded write buffer. If more bytes than SetMaxUnsentBytes allows wait for the peer
// to read them, the connection is reset and OnClosed reports the reason.
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

// An event loop over the default loop of libev, so only one object may exist in a process at a time. Ignores
// SIGPIPE in the whole process.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Returns the wall time in microseconds. It never goes back and does not jump: it is the wall clock at the
  // start plus the monotonic time elapsed since.
  [[nodiscard]] Micros Now() const;
  // Returns when the current turn began to serve events.
  [[nodiscard]] Micros TurnStart() const;
  // Returns when the previous turn began to serve events. Data that is read in the current turn arrived after
  // that time.
  [[nodiscard]] Micros PreviousTurnStart() const;

  // Serves events until Stop().
  void Run();
  void Stop();

  // Listens on "IP:PORT"; port 0 selects a free port. `handler` must outlive the listener and its
  // connections. With `filters`, each connection gets its own filter and is reported as accepted once the
  // filter is ready. At most 1024 handshakes are in progress at a time; further connections are reset. A
  // connection whose handshake takes over 10 s is reset too.
  [[nodiscard]] tl::expected<ListenerId, EventLoopError> Listen(const std::string& address,
                                                                ConnectionHandler* handler,
                                                                FilterFactory filters = {});
  // Returns the bound port; 0 if the listener is closed.
  [[nodiscard]] int PortOf(ListenerId listener) const;
  // Closes the listener. Connections that it accepted stay open.
  void CloseListener(ListenerId listener);
  // Pauses or resumes accepting. While paused, new connections wait in the listen queue of the kernel.
  void PauseAccepting(ListenerId listener, bool pause);
  // Sets whether PeerInfo contains the user that owns the other end of an accepted connection. Default true.
  void SetReportPeerUid(bool report);

  // Connects to "IP:PORT". OnConnected or OnClosed follows, never inside this call; with a filter,
  // OnConnected follows once the filter is ready. If `id` is not 0, the connection gets that id, which must
  // be new; otherwise the loop chooses one. Bytes sent before OnConnected are buffered.
  ConnId Connect(const std::string& address, ConnectionHandler* handler, ConnId id = 0,
                 std::unique_ptr<ConnectionFilter> filter = nullptr);
  // Returns an unused id for Connect().
  [[nodiscard]] ConnId NewConnectionId();
  // Queues bytes for sending. Never calls the handler inside this call: if the connection fails, OnClosed is
  // called later.
  void Send(ConnId connection, std::string_view bytes);
  [[nodiscard]] std::size_t UnsentBytes(ConnId connection) const;
  // Reports whether the connection exists and all bytes sent on it are written to the socket.
  [[nodiscard]] bool AllWritten(ConnId connection) const;
  // Reports whether the peer has closed or reset the connection, or it no longer exists. Detects this also
  // while reading is paused and while bytes sent before the close are unread.
  [[nodiscard]] bool PeerClosed(ConnId connection) const;
  // Pauses or resumes reading. While paused, received bytes wait in the receive buffer of the socket.
  void PauseReading(ConnId connection, bool pause);
  // Closes the connection; no callback follows. With `flush`, unsent bytes are still written for up to 10 s.
  void Close(ConnId connection, bool flush = false);
  // Closes the connection with a reset; no callback follows.
  void Abort(ConnId connection);

  // Sets how many closed connections may be flushing at a time. One more resets the oldest of them. Default
  // 1024, at least 1.
  void SetMaxClosing(std::size_t max);
  // Returns the number of closed connections that are flushing.
  [[nodiscard]] std::size_t closing_count() const;
  // Sets how many bytes may wait to be written on one connection. Default 64 MiB.
  void SetMaxUnsentBytes(std::size_t bytes);
  // Sets how many bytes are read from one connection at a time. Default and maximum 64 KiB.
  void SetMaxReadBytes(std::size_t bytes);

  // Calls `callback` once, at or soon after `due`. Timers run in the order of their due times; those with
  // equal due times run in the order in which they were added.
  TimerId AddTimer(Micros due, std::function<void()> callback);
  // Cancels a timer that has not run yet.
  void CancelTimer(TimerId timer);
  // Sets the main timer, one further timer that is moved often. It runs once at `due`, or never if `due` is
  // the largest value. An empty callback leaves the previous one in place.
  void SetMainTimer(Micros due, std::function<void()> callback);
  // Sets a callback that runs after the events of each turn.
  void SetAfterTurn(std::function<void()> callback);

  // Calls `callback` at each `signal`, before the other events of the turn.
  void OnSignal(int signal, std::function<void()> callback);
  // Calls `callback` whenever `fd` is readable, until the callback returns false.
  void OnReadable(int fd, std::function<bool()> callback);
  // Calls `callback` when the child process exits, with the status in the form that waitpid() returns.
  void OnChild(int pid, std::function<void(int status)> callback);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace mountflow::event_loop

#endif  // MOUNTFLOW_EVENT_LOOP_EVENT_LOOP_HPP_
