// The connections of an event loop: reading, writing, filter handshakes and closing.
#ifndef MOUNTFLOW_EVENT_LOOP_CONNECTION_TABLE_HPP_
#define MOUNTFLOW_EVENT_LOOP_CONNECTION_TABLE_HPP_

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <unordered_map>
#include <vector>

#include "event_loop/connection.hpp"
#include "event_loop/connection_filter.hpp"
#include "event_loop/connection_handler.hpp"
#include "event_loop/loop_context.hpp"

namespace mountflow::event_loop {

inline constexpr std::size_t kMaxHandshakes = 1024;     // accepted connections whose handshake is in progress
inline constexpr std::size_t kMaxReadBytes = 64 << 10;  // in one read of one connection
inline constexpr std::size_t kDefaultMaxUnsentBytes = 64u << 20;
inline constexpr std::size_t kDefaultMaxClosing = 1024;

// Owns all connections of one event loop. Methods that take a ConnId do nothing if the connection no longer
// exists; EventLoop documents those that it forwards to.
class ConnectionTable : public IoEventSink {
 public:
  explicit ConnectionTable(LoopContext* context);

  // Takes ownership of a socket whose connect() is in progress. OnConnected or OnClosed follows.
  void AddConnecting(ConnId id, int fd, ConnectionHandler* handler, std::unique_ptr<ConnectionFilter> filter);
  // Takes ownership of an accepted socket. Calls OnAccepted at once, or once its filter is ready.
  void AddAccepted(ListenerId listener, int fd, ConnectionHandler* handler, const PeerInfo& peer,
                   const FilterFactory& filters);

  void Send(ConnId id, std::string_view bytes);
  [[nodiscard]] std::size_t UnsentBytes(ConnId id) const;
  [[nodiscard]] bool AllWritten(ConnId id) const;
  [[nodiscard]] bool PeerClosed(ConnId id) const;
  void PauseReading(ConnId id, bool pause);
  void Close(ConnId id, bool flush);
  void Abort(ConnId id) { Remove(id, CloseMode::kReset); }

  [[nodiscard]] std::size_t closing_count() const { return flushing_.size(); }
  void set_max_closing(std::size_t max);
  void set_max_unsent_bytes(std::size_t bytes) { max_unsent_bytes_ = bytes; }
  void set_max_read_bytes(std::size_t bytes);

  void OnIoEvents(std::uint64_t id, IoEvents events) override;

 private:
  enum class CloseMode : std::uint8_t { kOrderly, kReset };

  [[nodiscard]] Connection* Find(ConnId id) const;
  Connection& Add(ConnId id, int fd, ConnectionHandler* handler, ConnectionState state);
  void Remove(ConnId id, CloseMode mode);
  // Removes the connection and calls OnClosed, unless the handler has not been notified of the connection yet
  // or has closed it already. `reason` must not refer to a string inside the connection.
  void Fail(const Connection& connection, const std::string& reason);
  // Removes the connection and calls OnClosed from a timer, so that the handler is not called inside the
  // user's own call.
  void FailLater(const Connection& connection, std::string reason, CloseMode mode);

  void FinishConnecting(Connection& connection);
  void ContinueWriting(Connection& connection);
  void Read(Connection& connection);
  void StartHandshake(Connection& connection);
  void ReceiveThroughFilter(Connection& connection, std::string_view bytes);
  // Notifies the handler that the filter is ready and sends the bytes held back for it. Returns false if the
  // connection no longer exists afterwards.
  [[nodiscard]] bool FinishHandshake(Connection& connection);
  void StartFlushing(Connection& connection);

  LoopContext* context_;
  std::unordered_map<ConnId, std::unique_ptr<Connection>> connections_;
  std::size_t accept_pending_ = 0;  // accepted connections whose filter is not ready
  std::list<ConnId> flushing_;      // oldest first
  std::size_t max_closing_ = kDefaultMaxClosing;
  std::size_t max_unsent_bytes_ = kDefaultMaxUnsentBytes;
  std::size_t max_read_bytes_ = kMaxReadBytes;
  std::vector<char> read_buffer_;
};

}  // namespace mountflow::event_loop

#endif  // MOUNTFLOW_EVENT_LOOP_CONNECTION_TABLE_HPP_
