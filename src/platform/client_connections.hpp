// Manages the connections of clients. Limits their number and how many messages of each are handled per turn,
// closes connections on timeouts and protocol errors, and chooses the connection for each notification. Does
// no I/O: the transport reads and writes.
//
// At the connection limit, a new connection replaces an old one, chosen in this order:
//   - the oldest connection that has sent no message
//   - the least recently used connection without running tasks
//   - the least recently used connection with running tasks
// Connections with unanswered requests are never evicted. If no connection can be evicted, the new one is
// closed.
//
// Not thread-safe; the caller passes the time. Each connection buffers at most one read of the transport,
// because reading pauses until the messages of that read are handled.
#ifndef MOUNTFLOW_PLATFORM_CLIENT_CONNECTIONS_HPP_
#define MOUNTFLOW_PLATFORM_CLIENT_CONNECTIONS_HPP_

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "platform/client_codec.hpp"
#include "platform/client_notifications.hpp"
#include "platform/dispatcher.hpp"
#include "platform/transport.hpp"

namespace mountflow::platform {

// A connection that has sent no complete message within this time is closed, to free its descriptor.
inline constexpr Micros kFirstMessageTimeout = 2'000'000;
// A connection is closed when the rest of a partially received message does not arrive within this time,
// unless a final answer is due on it.
inline constexpr Micros kPartialMessageTimeout = 2'000'000;
// Maximum number of messages that are handled per connection and turn, so that a flood of messages on one
// connection does not delay the others.
inline constexpr std::size_t kMaxMessagesPerTurn = 32;
// Notifications whose client has no connection wait for its next one. At most kMaxUndelivered of them are
// stored, each for at most kUndeliveredTimeout: a client must be notified of the end of its task within 8 s.
inline constexpr std::size_t kMaxUndelivered = 4096;
inline constexpr Micros kUndeliveredTimeout = 8'000'000;

// Reads the messages of clients, passes them to the dispatcher, and sends the dispatcher's messages to
// clients.
class ClientConnections {
 public:
  // `dispatcher` and `transport` must outlive this object.
  ClientConnections(std::size_t max_connections, Dispatcher* dispatcher, Transport* transport);

  // Adds a new connection from `address` (IP:PORT), or has the transport close it if the connection limit is
  // reached and no connection can be evicted.
  void Accept(Micros now, ConnId conn, const std::string& address);
  // Handles received bytes. Messages beyond kMaxMessagesPerTurn wait for ProcessBacklog().
  void OnBytes(Micros now, ConnId conn, std::string_view bytes);
  // Forgets a connection that is closed and cancels its unanswered requests.
  void OnClosed(Micros now, ConnId conn);
  [[nodiscard]] bool HasConnection(ConnId conn) const { return connections_.count(conn) > 0; }

  // Handles up to kMaxMessagesPerTurn waiting messages of each connection. Returns the connections without
  // further waiting messages, which may be read again.
  [[nodiscard]] std::vector<ConnId> ProcessBacklog(Micros now);
  [[nodiscard]] bool has_backlog() const { return !backlog_.empty(); }
  // Reports whether messages of the connection wait. If so, the connection must not be read until
  // ProcessBacklog() returns it.
  [[nodiscard]] bool HasBacklog(ConnId conn) const { return backlog_.count(conn) > 0; }

  // Sends the dispatcher's queued answers and notifications to clients.
  void DeliverNotifications(Micros now);
  // Closes connections and drops notifications whose timeout has passed.
  void Tick(Micros now);
  // Returns the time at which Tick() must be called next; kNever: no timeout is pending.
  [[nodiscard]] Micros NextDue() const;
  // Sets the function that receives the time and text of each trace line.
  void SetTrace(std::function<void(Micros, const std::string&)> trace) { trace_ = std::move(trace); }
  // Sets whether clients' health checks are answered as ready. The initial value is true.
  void SetReady(bool ready) { ready_ = ready; }

  [[nodiscard]] std::size_t connection_count() const { return connections_.size(); }
  [[nodiscard]] std::size_t undelivered_count() const { return undelivered_.size(); }
  // Reports whether bytes for clients are not yet passed to the kernel, notifications wait for a connection,
  // or received messages are not yet handled. Stopping the process now would lose them.
  [[nodiscard]] bool HasUnfinishedWork() const;

 private:
  struct Connection {
    ClientHost host = 0;
    ClientMessageReader reader;
    Micros accepted_at = 0;
    Micros last_message_at = 0;  // 0: none yet
    Micros partial_since = 0;    // when the incomplete message began; 0: there is none
    // A task was started or recovered on this connection, so notifications about other tasks of the same host
    // may be sent on it.
    bool started_task = false;
  };
  // A notification that waits for a connection from its host.
  struct Undelivered {
    Micros expires_at;
    ClientHost host;
    ClientMessage message;
  };
  // The eviction order: the connection with the smallest rank is evicted first.
  struct EvictionRank {
    bool has_running_tasks = true;
    Micros last_message_at = kNever;
    auto operator<=>(const EvictionRank&) const = default;
  };

  // Evicts a connection if the connection limit is reached. Returns false if none can be evicted.
  [[nodiscard]] bool EvictIfFull(Micros now);
  void ReadMessages(Micros now, ConnId conn);
  // These return false when the connection is closed. ReadMessage() also returns false when no complete
  // message is left.
  bool ReadMessage(Micros now, ConnId conn);
  bool HandleMessage(Micros now, ConnId conn, const ClientMessage& message);
  bool HandleLaunch(Micros now, ConnId conn, const ClientMessage& message);
  bool HandleUnusable(Micros now, ConnId conn, RequestUid uid);

  void Send(ConnId conn, const ClientMessage& message);
  void CloseConnection(Micros now, ConnId conn, const std::string& reason);
  // Returns when the connection times out; kNever: not at present.
  [[nodiscard]] Micros DueOf(const Connection& connection) const;
  // Returns the connection to send a notification on; 0: there is none now.
  [[nodiscard]] ConnId ConnectionFor(const ClientNotification& notification) const;
  void Deliver(Micros now, ClientNotification notification);
  void LogDropped(const char* reason);
  void TraceDelivery(Micros now, const ClientNotification& notification, ConnId to) const;
  void OnTaskStarted(ConnId conn);

  std::size_t max_connections_;
  Dispatcher* dispatcher_;
  Transport* transport_;
  bool ready_ = true;
  std::function<void(Micros, const std::string&)> trace_;
  std::map<ConnId, Connection> connections_;
  std::set<ConnId> backlog_;
  std::deque<Undelivered> undelivered_;
};

}  // namespace mountflow::platform

#endif  // MOUNTFLOW_PLATFORM_CLIENT_CONNECTIONS_HPP_
