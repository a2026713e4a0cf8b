#include "platform/client_connections.hpp"

#include <algorithm>
#include <utility>

namespace mountflow::platform {
namespace {

// Returns the IPv4 address of IP:PORT as one number. An address of another form gives a number that several
// hosts may share.
ClientHost HostOf(const std::string& address) {
  constexpr ClientHost kLowByte = 255;
  ClientHost host = 0;
  ClientHost octet = 0;
  for (const char character : address) {
    if (character >= '0' && character <= '9') {
      octet = octet * 10 + static_cast<ClientHost>(character - '0');
      continue;
    }
    host = host << 8 | (octet & kLowByte);
    octet = 0;
    if (character == ':') break;
  }
  return host;
}

}  // namespace

ClientConnections::ClientConnections(std::size_t max_connections, Dispatcher* dispatcher,
                                     Transport* transport)
    : max_connections_(max_connections), dispatcher_(dispatcher), transport_(transport) {
  dispatcher_->SetClientHasLeft([transport](ConnId conn) { return transport->HungUp(conn); });
}

void ClientConnections::Accept(Micros now, ConnId conn, const std::string& address) {
  if (!EvictIfFull(now)) return transport_->Close(conn, false);
  if (trace_) trace_(now, "client " + std::to_string(conn) + " from " + address);
  Connection& connection = connections_[conn];
  connection.host = HostOf(address);
  connection.accepted_at = now;
}

// Some clients send one request and keep their connection open forever, and new clients must still be able to
// connect. A connection with running tasks is evicted last, because it may be the only one for notifications
// about them.
bool ClientConnections::EvictIfFull(Micros now) {
  if (connections_.size() < max_connections_) return true;
  ConnId evicted = 0;
  EvictionRank smallest;
  for (const auto& [id, connection] : connections_) {
    const EvictionRank rank{dispatcher_->requests().running_on(id) > 0, connection.last_message_at};
    if (rank >= smallest || dispatcher_->requests().unanswered_on(id) > 0) continue;
    evicted = id;
    smallest = rank;
  }
  if (evicted == 0) return false;
  CloseConnection(now, evicted,
                  smallest.last_message_at == 0 ? "evicted at the connection limit: it has sent no message"
                                                : "evicted at the connection limit: least recently used");
  return true;
}

void ClientConnections::OnBytes(Micros now, ConnId conn, std::string_view bytes) {
  const auto found = connections_.find(conn);
  if (found == connections_.end()) return;
  found->second.reader.Feed(bytes);
  ReadMessages(now, conn);
}

std::vector<ConnId> ClientConnections::ProcessBacklog(Micros now) {
  const std::vector<ConnId> waiting(backlog_.begin(), backlog_.end());
  std::vector<ConnId> finished;
  for (const ConnId conn : waiting) {
    ReadMessages(now, conn);
    if (!HasBacklog(conn)) finished.push_back(conn);
  }
  return finished;
}

void ClientConnections::ReadMessages(Micros now, ConnId conn) {
  for (std::size_t i = 0; i < kMaxMessagesPerTurn; ++i) {
    if (!ReadMessage(now, conn)) return;
  }
  if (HasConnection(conn)) backlog_.insert(conn);
}

// Also returns false when no complete message is left.
bool ClientConnections::ReadMessage(Micros now, ConnId conn) {
  const auto found = connections_.find(conn);
  if (found == connections_.end()) return false;
  Connection& connection = found->second;
  ClientMessage message;
  const ClientMessageReader::State state = connection.reader.Next(&message);
  if (state == ClientMessageReader::State::kMore) {
    if (!connection.reader.within_message()) {
      connection.partial_since = 0;
    } else if (connection.partial_since == 0) {
      connection.partial_since = now;
    }
    backlog_.erase(conn);
    return false;
  }
  if (state == ClientMessageReader::State::kBroken) {
    CloseConnection(now, conn, connection.reader.error());
    return false;
  }
  connection.last_message_at = now;
  connection.partial_since = 0;
  if (state == ClientMessageReader::State::kUnusable) return HandleUnusable(now, conn, message.uid);
  return HandleMessage(now, conn, message);
}

bool ClientConnections::HandleUnusable(Micros now, ConnId conn, RequestUid uid) {
  // The request with this uid gets its own final answer. A second answer with the same uid could be mistaken
  // for it.
  if (dispatcher_->requests().Contains(uid)) {
    CloseConnection(now, conn, "invalid message with the uid of another request");
    return false;
  }
  Send(conn, MakeNegativeAnswer(uid, kCauseInvalidRequest));
  return true;
}

bool ClientConnections::HandleMessage(Micros now, ConnId conn, const ClientMessage& message) {
  switch (message.kind) {
    case ClientMessageKind::kLaunch:
      return HandleLaunch(now, conn, message);
    case ClientMessageKind::kStop:
      dispatcher_->Cancel(now, message.uid);
      DeliverNotifications(now);
      return HasConnection(conn);
    case ClientMessageKind::kHealthCheck: {
      ClientMessage reply;
      reply.kind = ClientMessageKind::kHealthCheckReply;
      reply.uid = message.uid;
      reply.cause = ready_ ? 1 : 0;
      Send(conn, reply);
      return true;
    }
    default:
      return true;  // the scheduler does not use the other kinds
  }
}

bool ClientConnections::HandleLaunch(Micros now, ConnId conn, const ClientMessage& message) {
  const SubmitResult result = dispatcher_->Submit(now, conn, connections_.at(conn).host, message);
  if (result == SubmitResult::kDuplicateUid) {
    // The client could mistake an answer to the second request for an answer to the first.
    CloseConnection(now, conn, "second request with the uid of another request");
    return false;
  }
  if (result == SubmitResult::kAlreadyRunning) OnTaskStarted(conn);
  DeliverNotifications(now);
  return HasConnection(conn);
}

void ClientConnections::Send(ConnId conn, const ClientMessage& message) {
  transport_->Send(conn, EncodeClientMessage(message));
}

void ClientConnections::CloseConnection(Micros now, ConnId conn, const std::string& reason) {
  transport_->Log({logging::LogEvent::kClientConnectionClosed, {{logging::kReasonField, reason}}});
  transport_->Close(conn, true);
  OnClosed(now, conn);
}

void ClientConnections::OnClosed(Micros now, ConnId conn) {
  const auto found = connections_.find(conn);
  if (found == connections_.end()) return;
  if (trace_) trace_(now, "client " + std::to_string(conn) + " left");
  connections_.erase(found);
  backlog_.erase(conn);
  dispatcher_->OnClientDisconnected(now, conn);
  DeliverNotifications(now);
}

bool ClientConnections::HasUnfinishedWork() const {
  if (!backlog_.empty() || !undelivered_.empty()) return true;
  return std::any_of(connections_.begin(), connections_.end(), [this](const auto& entry) {
    return !transport_->AllWritten(entry.first) && !transport_->HungUp(entry.first);
  });
}

// ---- Notifications ----

// A final answer is sent only on the connection of its request. A notification about a running task is sent
// there as well, or else on the newest connection from the same host on which a task was started. For
// notifications, a connection that its client has closed is skipped: bytes written to it would be lost, and
// the client would wait for the notification forever.
ConnId ClientConnections::ConnectionFor(const ClientNotification& notification) const {
  const bool any_connection = notification.any_connection;
  if (HasConnection(notification.conn) && (!any_connection || !transport_->HungUp(notification.conn))) {
    return notification.conn;
  }
  if (!any_connection) return 0;
  for (auto it = connections_.rbegin(); it != connections_.rend(); ++it) {
    const auto& [id, connection] = *it;
    const bool same_client = connection.started_task && connection.host == notification.host;
    if (same_client && !transport_->HungUp(id)) return id;
  }
  return 0;
}

void ClientConnections::DeliverNotifications(Micros now) {
  for (std::vector<ClientNotification> notifications = dispatcher_->TakeNotifications();
       !notifications.empty(); notifications = dispatcher_->TakeNotifications()) {
    for (ClientNotification& notification : notifications) Deliver(now, std::move(notification));
  }
}

void ClientConnections::Deliver(Micros now, ClientNotification notification) {
  const ConnId to = ConnectionFor(notification);
  if (trace_ && notification.any_connection) TraceDelivery(now, notification, to);
  if (to != 0) {
    Send(to, notification.message);
    if (notification.message.kind == ClientMessageKind::kAnswer) OnTaskStarted(to);
  } else if (notification.any_connection && undelivered_.size() < kMaxUndelivered) {
    undelivered_.push_back({now + kUndeliveredTimeout, notification.host, std::move(notification.message)});
  } else if (notification.any_connection) {
    LogDropped("too many notifications wait for a connection from their client");
  }
}

void ClientConnections::LogDropped(const char* reason) {
  transport_->Log({logging::LogEvent::kNotificationDropped, {{logging::kReasonField, reason}}});
}

void ClientConnections::TraceDelivery(Micros now, const ClientNotification& notification, ConnId to) const {
  const char* route = " goes to another connection of its host";
  if (to == 0) {
    route = " waits for a connection of its host";
  } else if (to == notification.conn) {
    route = " goes to its connection";
  }
  trace_(now, "notification about " + WriteHex(notification.message.uid) + route);
}

// Sends the notifications that wait for a connection from the same host on this connection.
void ClientConnections::OnTaskStarted(ConnId conn) {
  Connection& connection = connections_.at(conn);
  connection.started_task = true;
  std::deque<Undelivered> others;
  for (Undelivered& waiting : undelivered_) {
    if (waiting.host == connection.host) {
      Send(conn, waiting.message);
    } else {
      others.push_back(std::move(waiting));
    }
  }
  undelivered_.swap(others);
}

// ---- Time ----

Micros ClientConnections::DueOf(const Connection& connection) const {
  if (connection.last_message_at == 0) return connection.accepted_at + kFirstMessageTimeout;
  return connection.partial_since != 0 ? connection.partial_since + kPartialMessageTimeout : kNever;
}

Micros ClientConnections::NextDue() const {
  Micros due = undelivered_.empty() ? kNever : undelivered_.front().expires_at;
  for (const auto& [id, connection] : connections_) due = std::min(due, DueOf(connection));
  return due;
}

void ClientConnections::Tick(Micros now) {
  std::vector<ConnId> due;
  for (const auto& [id, connection] : connections_) {
    if (DueOf(connection) <= now) due.push_back(id);
  }
  for (const ConnId conn : due) {
    const auto found = connections_.find(conn);
    if (found == connections_.end()) continue;
    if (found->second.last_message_at == 0) {
      CloseConnection(now, conn, "timed out waiting for the first message");
    } else if (dispatcher_->requests().unanswered_on(conn) == 0) {
      CloseConnection(now, conn, "timed out waiting for the rest of a message");
    } else {
      found->second.partial_since = now;  // final answers are due on it, so the timeout starts again
    }
  }
  for (; !undelivered_.empty() && undelivered_.front().expires_at <= now; undelivered_.pop_front()) {
    LogDropped("its client did not connect in time");
  }
}

}  // namespace mountflow::platform
