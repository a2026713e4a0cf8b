// The thin shell: one libev loop with non-blocking TCP connections, one timer,
// signals and child processes. Single-threaded; all callbacks come from Run().
//
// Every connection has a bounded write buffer: what a peer does not read beyond
// `most_unsent` ends the connection (OnClosed with a reason).
#ifndef MOUNTFLOW_EVENT_LOOP_EVENT_LOOP_HPP_
#define MOUNTFLOW_EVENT_LOOP_EVENT_LOOP_HPP_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "event_loop/connection_filter.hpp"
#include "mountflow/scheduler.hpp"

namespace mountflow::event_loop {

using ConnId = std::uint64_t;
using ListenerId = std::uint64_t;

inline constexpr std::size_t kMaxHandshakes = 1024;

struct PeerInfo {
  std::string address;   // ip:port
  bool has_uid = false;  // the system told who owns the other end
  std::uint32_t uid = 0;
};

class ConnectionHandler {
 public:
  virtual ~ConnectionHandler() = default;
  virtual void OnAccepted(ListenerId, ConnId, const PeerInfo&) {}
  virtual void OnConnected(ConnId) {}
  virtual void OnReceived(ConnId, std::string_view) {}
  virtual void OnSent(ConnId) {}  // the write buffer became empty
  virtual void OnClosed(ConnId, const std::string& /*reason*/) {}
};

using FilterFactory = std::function<std::unique_ptr<ConnectionFilter>()>;

class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Wall time in microseconds that never goes back and does not jump: the wall clock at the start plus the
  // monotonic clock since.
  Micros Now() const;

  void Run();
  void Stop();

  // Listens on ip:port (port 0: a free one). Returns 0 and the reason when that fails.
  // With `filters` each connection passes through one of its own, and is told as accepted when that is ready.
  // At most kMaxHandshakes are on the way to it at a time; further ones are reset, and each after 10 s.
  ListenerId Listen(const std::string& address, ConnectionHandler* handler, std::string* error,
                    FilterFactory filters = {});
  int PortOf(ListenerId listener) const;
  void CloseListener(ListenerId listener);
  void PauseAccepting(ListenerId listener, bool pause);

  // `id` is chosen by the caller when not 0, and must be new; else by the loop. OnConnected or OnClosed
  // follows. With a filter OnConnected comes when that is ready; what is sent before waits.
  ConnId Connect(const std::string& address, ConnectionHandler* handler, ConnId id = 0,
                 std::unique_ptr<ConnectionFilter> filter = nullptr);
  ConnId NewConnectionId();
  void Send(ConnId conn, std::string_view bytes);
  std::size_t UnsentBytes(ConnId conn) const;
  bool AllWritten(ConnId conn) const;  // the connection stands, and the kernel has all that was sent
  // The other end has closed or reset it, or it is no more: told also while nothing is read of it and while
  // bytes sent before the close still wait.
  bool PeerClosed(ConnId conn) const;
  void PauseReading(ConnId conn, bool pause);
  // What is unsent is still written when `flush`; no callback comes any more.
  void Close(ConnId conn, bool flush = false);
  std::size_t closing_count() const;     // those that flush
  void SetMaxClosing(std::size_t most);  // further ones cost the oldest; default 1024
  // Closes so that the other end sees a reset.
  void Abort(ConnId conn);
  void SetMaxUnsentBytes(std::size_t bytes);  // default 64 MiB
  void SetMaxReadBytes(std::size_t bytes);    // at once, of one connection; default and most 64 KiB
  void SetReportPeerUid(bool tell);           // who owns the other end of what is accepted; default true

  // Calls `call` at or soon after `at`. Returns its id.
  std::uint64_t AddTimer(Micros at, std::function<void()> call);
  void CancelTimer(std::uint64_t timer);
  // One timer that is moved often: the next time at which `call` is due (the largest value: none).
  void SetMainTimer(Micros at, std::function<void()> call);
  // After the events of each turn.
  void SetAfterTurn(std::function<void()> call);
  // When this turn began to work, and the one before: what is read in this one arrived after that.
  Micros TurnStart() const;
  Micros PreviousTurnStart() const;
  void OnSignal(int signal, std::function<void()> call);
  // Calls when bytes can be read from a file descriptor, until the call returns false.
  void OnReadable(int fd, std::function<bool()> call);
  // The exit status is as waitpid gives it.
  void OnChild(int pid, std::function<void(int status)> call);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// The user that owns the other end of a TCP connection on this machine, from the kernel's socket table.
bool PeerUid(int fd, std::uint32_t* uid);

// Whether `reason`, as OnClosed got it for a connection that was never made, says that nobody listens there.
bool IsConnectionRefused(const std::string& reason);

bool SplitAddress(const std::string& address, std::string* host, int* port);

}  // namespace mountflow::event_loop

#endif  // MOUNTFLOW_EVENT_LOOP_EVENT_LOOP_HPP_
