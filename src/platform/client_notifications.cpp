#include "platform/client_notifications.hpp"

#include <utility>

namespace mountflow::platform {

void ClientNotifications::AddFinalAnswer(ConnId conn, ClientMessage message) {
  ClientNotification notification;
  notification.conn = conn;
  notification.message = std::move(message);
  queue_.push_back(std::move(notification));
}

void ClientNotifications::AddTaskNotification(ConnId conn, ClientHost host, RequestUid uid,
                                              ClientMessageKind kind, int cause) {
  ClientNotification notification;
  notification.conn = conn;
  notification.host = host;
  notification.any_connection = true;
  notification.message.kind = kind;
  notification.message.uid = uid;
  if (kind == ClientMessageKind::kStop) notification.message.cause = cause;
  queue_.push_back(std::move(notification));
}

std::vector<ClientNotification> ClientNotifications::Take() { return std::exchange(queue_, {}); }

ClientMessage MakeNegativeAnswer(RequestUid uid, int cause) {
  ClientMessage message;
  message.kind = ClientMessageKind::kStop;
  message.uid = uid;
  message.cause = cause;
  return message;
}

}  // namespace mountflow::platform
