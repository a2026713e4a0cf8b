// One TCP connection of the event loop: its socket, its buffers and the events it is watched for.
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
  kFlushing,  // closed by the user; removed once all bytes are written to the socket
};

// A socket with its filter, both of which it owns. Makes no decisions itself: the ConnectionTable calls the
// handler and removes connections.
class Connection {
 public:
  // Takes ownership of the non-blocking socket `fd` and starts to watch it. `sink` and `handler` must outlive
  // the connection.
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
  // Reports whether a listener with filters accepted the connection and its filter is not ready yet. Its
  // handler has not been notified of the connection in that case.
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

  // Returns the error of a completed connection attempt; no error if the connection is established.
  [[nodiscard]] std::error_code ConnectError() const;
  // Calls recv() once. Returns its result and leaves errno set on error.
  [[nodiscard]] std::ptrdiff_t Read(char* buffer, std::size_t size) const;

  // Appends bytes to the write buffer, through the filter if there is one. Holds them back while the filter
  // is not ready. Returns false if the filter cannot send any more.
  [[nodiscard]] bool Append(std::string_view bytes);
  // Appends the bytes that were held back for the filter. Returns false if the filter cannot send any more.
  [[nodiscard]] bool AppendDelayed();
  [[nodiscard]] bool HasDelayedBytes() const { return !delayed_.empty(); }
  // Reports whether appended bytes may be written yet: the connection is established and its handshake done.
  [[nodiscard]] bool CanWrite() const;
  [[nodiscard]] std::string* write_tail() { return write_buffer_.tail(); }
  // Writes as many buffered bytes as the socket accepts.
  [[nodiscard]] std::error_code Write() { return write_buffer_.WriteTo(fd_); }
  [[nodiscard]] bool AllWritten() const { return write_buffer_.empty(); }
  // Returns the number of bytes not yet written, including those held back for the filter.
  [[nodiscard]] std::size_t UnsentBytes() const { return write_buffer_.size() + delayed_.size(); }

  // Sets the events to watch for from the current state. Call it after each change of the state, the write
  // buffer or the reading pause.
  void UpdateWatch();
  // Reports whether the peer has closed or reset the connection, without reading from it.
  [[nodiscard]] bool PeerClosed() const;
  // Makes the closing of the socket send a reset to the peer.
  void ResetOnClose() const;

 private:
  ConnId id_;
  int fd_;
  ConnectionHandler* handler_;
  ConnectionState state_;
  bool handshaking_ = false;
  bool reading_paused_ = false;
  WriteBuffer write_buffer_;
  std::string delayed_;  // plain bytes to send once the filter is ready
  std::unique_ptr<ConnectionFilter> filter_;
  ListenerId accepted_by_ = 0;  // set for accepted connections with a filter only
  PeerInfo peer_;               // set for accepted connections with a filter only
  IoWatcher watcher_;
};

}  // namespace mountflow::event_loop

#endif  // MOUNTFLOW_EVENT_LOOP_CONNECTION_HPP_
