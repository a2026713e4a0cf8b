// What waits to be sent to clients: the final answers of requests, and notifications about running tasks.
//
// Not thread-safe. Bounds: the queue holds what one turn produced; ClientConnections takes it at the turn's
// end.
#ifndef MOUNTFLOW_PLATFORM_CLIENT_NOTIFICATIONS_HPP_
#define MOUNTFLOW_PLATFORM_CLIENT_NOTIFICATIONS_HPP_

#include <cstdint>
#include <vector>

#include "platform/client_codec.hpp"
#include "platform/transport.hpp"

namespace mountflow::platform {

// The causes that a kStop message gives a client, as its protocol numbers them.
inline constexpr int kCauseRejected = 34;        // the task never ran: asking again is harmless
inline constexpr int kCauseFailed = 41;          // the task may have run
inline constexpr int kCauseInvalidRequest = 47;  // the request could not be read

// The IPv4 address of a client, in host byte order.
using ClientHost = std::uint32_t;

struct ClientNotification {
  ConnId conn = 0;
  ClientHost host = 0;
  // A final answer goes on the connection of its request alone. A notification about a running task may take
  // any connection of the same host.
  bool any_connection = false;
  ClientMessage message;
};

class ClientNotifications {
 public:
  void AddFinalAnswer(ConnId conn, ClientMessage message);
  // `cause` goes with a kStop alone.
  void AddTaskNotification(ConnId conn, ClientHost host, RequestUid uid, ClientMessageKind kind, int cause);

  // Everything added since the last call, in that order.
  [[nodiscard]] std::vector<ClientNotification> Take();

 private:
  std::vector<ClientNotification> queue_;
};

// The final answer of a request that was not started.
[[nodiscard]] ClientMessage MakeNegativeAnswer(RequestUid uid, int cause);

}  // namespace mountflow::platform

#endif  // MOUNTFLOW_PLATFORM_CLIENT_NOTIFICATIONS_HPP_
