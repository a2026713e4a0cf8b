// The queue of messages for clients: final answers to requests, and notifications about running tasks.
//
// Not thread-safe. The queue holds at most the messages of one turn of the event loop, because
// ClientConnections takes all of them at the end of the turn.
#ifndef MOUNTFLOW_PLATFORM_CLIENT_NOTIFICATIONS_HPP_
#define MOUNTFLOW_PLATFORM_CLIENT_NOTIFICATIONS_HPP_

#include <cstdint>
#include <vector>

#include "platform/client_codec.hpp"
#include "platform/transport.hpp"

namespace mountflow::platform {

// The cause codes in kStop messages to clients, as the client protocol numbers them.
inline constexpr int kCauseRejected = 34;        // the task never ran, so a retry by the client is safe
inline constexpr int kCauseFailed = 41;          // the task may have run
inline constexpr int kCauseInvalidRequest = 47;  // the request could not be parsed

// The IPv4 address of a client, in host byte order.
using ClientHost = std::uint32_t;

// A message for a client, and the connections that it may be sent on.
struct ClientNotification {
  ConnId conn = 0;
  ClientHost host = 0;
  // False for a final answer, which is sent only on the connection of its request. True for a notification
  // about a running task, which may be sent on any connection from the same host.
  bool any_connection = false;
  ClientMessage message;
};

// Queues messages for clients until they are taken. Not thread-safe.
class ClientNotifications {
 public:
  void AddFinalAnswer(ConnId conn, ClientMessage message);
  // `cause` is sent only if `kind` is kStop.
  void AddTaskNotification(ConnId conn, ClientHost host, RequestUid uid, ClientMessageKind kind, int cause);

  // Returns the messages added since the last call, in the order of adding, and clears the queue.
  [[nodiscard]] std::vector<ClientNotification> Take();

 private:
  std::vector<ClientNotification> queue_;
};

// Returns the final answer to a request whose task was not started.
[[nodiscard]] ClientMessage MakeNegativeAnswer(RequestUid uid, int cause);

}  // namespace mountflow::platform

#endif  // MOUNTFLOW_PLATFORM_CLIENT_NOTIFICATIONS_HPP_
