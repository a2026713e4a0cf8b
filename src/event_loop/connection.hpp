// One TCP connection of the event loop: its socket, its buffers and what is watched of it.
#ifndef MOUNTFLOW_EVENT_LOOP_CONNECTION_HPP_
#define MOUNTFLOW_EVENT_LOOP_CONNECTION_HPP_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

#include "event_loop/connection_filter.hpp"
#include "event_loop/connection_handler.hpp"
#include "event_loop/libev_watchers.hpp"
#include "event_loop/write_buffer.hpp"

namespace mountflow::event_loop {

enum class ConnectionState : std::uint8_t {
  kConnecting,
  kEstablished,
  kFlushing,  // closed by the user; removed as soon as the kernel has all bytes
};

// Owns the socket and the filter. Decides nothing: the ConnectionTable calls the handler and removes
// connections.
class Connection {
 public:
  // Takes over the non-blocking socket `fd` and begins to watch it.
  Connection(const LibevLoop& loop, IoEventSink* sink, ConnId id, int fd, ConnectionHandler* handler,
             ConnectionState state);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  [[nodiscard]] ConnId id() const { return id_; }
  [[nodiscard]] ConnectionHandler* handler() const { return handler_; }
  [[nodiscard]] ConnectionState state() const { return state_; }
  [[nodiscard]] bool flushing() const { return state_ == ConnectionState::kFlushing; }
  [[nodiscard]] bool handshaking() const { return handshaking_; }
  // Accepted by a listener with filters, and its filter is not ready: its handler has not heard of it.
  [[nodiscard]] bool accept_pending() const { return handshaking_ && accepted_by_ != 0; }
  [[nodiscard]] bool reading_paused() const { return reading_paused_; }
  [[nodiscard]] ListenerId accepted_by() const { return accepted_by_; }
  [[nodiscard]] const PeerInfo& peer() const { return peer_; }
  [[nodiscard]] ConnectionFilter* filter() const { return filter_.get(); }

  void set_state(ConnectionState state) { state_ = state; }
  void set_handshaking(bool handshaking) { handshaking_ = handshaking; }
  void set_reading_paused(bool paused) { reading_paused_ = paused; }
  void set_filter(std::unique_ptr<ConnectionFilter> filter) { filter_ = std::move(filter); }
  void set_accepted(ListenerId listener, PeerInfo peer) {
    accepted_by_ = listener;
    peer_ = std::move(peer);
  }

  // The error of a connection attempt that ended; none when it is established.
  [[nodiscard]] std::error_code ConnectError() const;
  // What the socket gives at once: recv's result, with errno.
  [[nodiscard]] std::ptrdiff_t Read(char* buffer, std::size_t size) const;

  // Appends bytes to the write buffer, through the filter if there is one; while that is not ready they wait.
  // False when the filter can send nothing more.
  [[nodiscard]] bool Append(std::string_view bytes);
  // Appends what waited for the filter. False as in Append.
  [[nodiscard]] bool AppendDelayed();
  [[nodiscard]] bool HasDelayedBytes() const { return !delayed_.empty(); }
  // Whether what is appended may be written already.
  [[nodiscard]] bool CanWrite() const;
  [[nodiscard]] std::string* write_tail() { return write_buffer_.tail(); }
  // Writes what the kernel takes.
  [[nodiscard]] std::error_code Write() { return write_buffer_.WriteTo(fd_); }
  [[nodiscard]] bool AllWritten() const { return write_buffer_.empty(); }
  // Also those that wait for the filter.
  [[nodiscard]] std::size_t UnsentBytes() const { return write_buffer_.size() + delayed_.size(); }

  // Watches what the state calls for; after each change of state, buffer or pause.
  void UpdateWatch();
  // The peer has closed or reset it, seen without reading.
  [[nodiscard]] bool PeerClosed() const;
  // Lets the peer see a reset when the socket is closed.
  void ResetOnClose() const;

 private:
  ConnId id_;
  int fd_;
  ConnectionHandler* handler_;
  ConnectionState state_;
  bool handshaking_ = false;
  bool reading_paused_ = false;
  WriteBuffer write_buffer_;
  std::string delayed_;  // sent by the handler before the filter was ready
  std::unique_ptr<ConnectionFilter> filter_;
  ListenerId accepted_by_ = 0;  // with a filter only
  PeerInfo peer_;               // likewise
  IoWatcher watcher_;
};

}  // namespace mountflow::event_loop

#endif  // MOUNTFLOW_EVENT_LOOP_CONNECTION_HPP_
