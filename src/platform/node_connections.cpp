#include "platform/node_connections.hpp"

#include <algorithm>
#include <utility>

#include "platform/client_codec.hpp"

namespace mountflow::platform {
namespace {

// The cause in a kStop message that cancels an attempt or terminates a running task. The value is defined by
// the node protocol.
constexpr std::uint8_t kCauseCancelled = 16;

}  // namespace

NodeConnections::Peer& NodeConnections::FindOrAddPeer(NodeId node) {
  Peer& peer = peers_[node];
  peer.node = node;
  return peer;
}

NodeConnections::Peer* NodeConnections::FindPeer(NodeId node) {
  const auto found = peers_.find(node);
  return found == peers_.end() ? nullptr : &found->second;
}

NodeConnections::Peer* NodeConnections::FindPeerByConn(ConnId conn) {
  const auto found = node_by_conn_.find(conn);
  return found == node_by_conn_.end() ? nullptr : FindPeer(found->second);
}

void NodeConnections::AddEvent(NodeConnectionEvent::Kind kind, const Peer& peer, RequestUid uid) {
  NodeConnectionEvent event;
  event.kind = kind;
  event.node = peer.node;
  event.uid = uid;
  events_.push_back(std::move(event));
}

std::vector<NodeConnectionEvent> NodeConnections::TakeEvents() { return std::exchange(events_, {}); }

// ---- The node list ----

void NodeConnections::SetNodeAddress(Micros now, NodeId node, const std::string& address) {
  TakeAddressFromOthers(now, node, address);
  Peer& peer = FindOrAddPeer(node);
  peer.listed = true;
  if (peer.address == address) return;
  peer.address = address;
  if (peer.HasConnection()) CloseConnection(now, peer, "its address changed", peer.IsConnected());
}

void NodeConnections::DropConnectionToEarlierProcess(Micros now, NodeId node, Micros process_started_at) {
  Peer* peer = FindPeer(node);
  if (peer == nullptr) return;
  peer->terminations.RemoveRequestedBefore(process_started_at);
  if (!peer->IsConnected() || peer->connection.established_at >= process_started_at) return;
  CloseConnection(now, *peer, "the node has restarted", true);
}

// Clears this address from all other nodes. Two processes cannot share an address, so the tasks of a node
// that had it before are lost unless the old process is still connected. A new connection to the address
// would reach the new node, which answers health checks without reporting that it does not run these tasks.
void NodeConnections::TakeAddressFromOthers(Micros now, NodeId node, const std::string& address) {
  std::vector<NodeId> replaced;
  for (const auto& [id, other] : peers_) {
    const bool connected_there = other.HasConnection() && other.connection.address == address;
    if (id != node && (other.address == address || connected_there)) replaced.push_back(id);
  }
  for (const NodeId id : replaced) {
    Peer& other = peers_.at(id);
    other.address.clear();
    if (other.HasConnection() && (!other.IsConnected() || other.tasks_predate_connection)) {
      CloseConnection(now, other, "another node has its address", other.IsConnected());
    }
    if (!other.HasConnection()) OnProcessEnded(other);
    ForgetIfUnused(id);
  }
}

void NodeConnections::RemoveNode(Micros now, NodeId node) {
  Peer* peer = FindPeer(node);
  if (peer == nullptr) return;
  peer->listed = false;
  peer->address.clear();
  // While the connection is open, the node still reports the ends of its tasks.
  if (peer->IsConnected()) return;
  if (peer->HasConnection()) return CloseConnection(now, *peer, "the node is no longer listed", false);
  ReportTasksLost(*peer);
  ForgetIfUnused(node);
}

void NodeConnections::ForgetIfUnused(NodeId node) {
  const Peer* peer = FindPeer(node);
  if (peer == nullptr || peer->listed || peer->HasConnection() || peer->IsNeeded()) return;
  peers_.erase(node);
}

void NodeConnections::ReportTasksLost(const Peer& peer) {
  if (peer.running_tasks > 0) AddEvent(NodeConnectionEvent::Kind::kNodeLost, peer, 0);
}

void NodeConnections::OnProcessEnded(Peer& peer) {
  peer.terminations.Clear();
  ReportTasksLost(peer);
}

// ---- Attempts and running tasks ----

void NodeConnections::Launch(Micros now, NodeId node, RequestUid uid, std::string message) {
  Peer& peer = FindOrAddPeer(node);
  peer.last_used_at = now;
  if (peer.address.empty() && !peer.HasConnection()) {
    AddEvent(NodeConnectionEvent::Kind::kNeverRan, peer, uid);
    return ForgetIfUnused(node);
  }
  if (peer.attempts.size() >= kMaxAttemptsInFlight) {
    return AddEvent(NodeConnectionEvent::Kind::kNeverRan, peer, uid);
  }
  Connect(now, peer, true);
  if (!peer.HasConnection()) return AddEvent(NodeConnectionEvent::Kind::kNeverRan, peer, uid);
  peer.attempts[uid].message = std::move(message);
  peer.unsent_attempts.push_back(uid);
  if (!peer.IsConnected()) return;
  SendUnsent(now, peer);
  // The attempt waits until the node confirms that it has ended an earlier task with this uid.
  if (peer.terminations.Contains(uid)) SendHealthCheck(now, peer);
}

void NodeConnections::SendUnsent(Micros now, Peer& peer) {
  SendUnsentTerminations(now, peer);
  SendUnsentAttempts(now, peer);
}

void NodeConnections::SendUnsentTerminations(Micros now, Peer& peer) {
  while (transport_->AllWritten(peer.connection.id)) {
    const auto uid = peer.terminations.TakeUnsent(now, health_checks_sent_);
    if (!uid.has_value()) return;
    SendStop(peer, *uid);
  }
}

void NodeConnections::SendUnsentAttempts(Micros now, Peer& peer) {
  auto uid = peer.unsent_attempts.begin();
  while (uid != peer.unsent_attempts.end() && transport_->AllWritten(peer.connection.id)) {
    if (peer.terminations.Contains(*uid)) {
      ++uid;
      continue;
    }
    AttemptInFlight& attempt = peer.attempts.at(*uid);
    uid = peer.unsent_attempts.erase(uid);
    peer.last_used_at = now;
    attempt.sent = true;
    Send(peer, std::exchange(attempt.message, {}));
  }
}

// Sends `bytes`. If the kernel accepts all of them, it has also accepted the bytes of earlier sends that the
// transport had queued.
void NodeConnections::Send(Peer& peer, const std::string& bytes) {
  transport_->Send(peer.connection.id, bytes);
  if (!transport_->AllWritten(peer.connection.id)) return;
  for (auto& [uid, attempt] : peer.attempts) attempt.written |= attempt.sent;
}

void NodeConnections::OnWritten(Micros now, ConnId conn) {
  Peer* peer = FindPeerByConn(conn);
  if (peer == nullptr) return;
  for (auto& [uid, attempt] : peer->attempts) attempt.written |= attempt.sent;
  if (peer->IsConnected()) SendUnsent(now, *peer);
}

void NodeConnections::SendStop(Peer& peer, RequestUid uid) {
  NodeMessage stop;
  stop.kind = NodeMessageKind::kStop;
  stop.uid = uid;
  stop.cause = kCauseCancelled;
  Send(peer, EncodeNodeMessage(stop));
}

void NodeConnections::SendHealthCheck(Micros now, Peer& peer) {
  NodeMessage health_check;
  health_check.kind = NodeMessageKind::kHealthCheck;
  health_check.uid = ++health_checks_sent_;
  health_check.cause = 0;
  peer.connection.health_check_sent_at = now;
  peer.connection.last_health_check_at = now;
  Send(peer, EncodeNodeMessage(health_check));
}

void NodeConnections::CancelAttempt(Micros now, NodeId node, RequestUid uid) {
  Peer* peer = FindPeer(node);
  if (peer == nullptr) return;
  const auto found = peer->attempts.find(uid);
  if (found == peer->attempts.end()) return;
  const AttemptInFlight attempt = std::move(found->second);
  peer->attempts.erase(found);
  if (!attempt.sent) {
    std::erase(peer->unsent_attempts, uid);
  } else if (attempt.written) {
    // The node may have started the task before it reads the cancellation.
    RequestTermination(now, *peer, uid);
  } else {
    // Part of the message is still queued because the node does not read. Sending the remaining part would
    // start a task that no client waits for, or a second one while the next attempt is in flight. The node
    // ignores an incomplete message, so closing the connection prevents this.
    CloseConnection(now, *peer, "an attempt was cancelled before it was written", true);
    ForgetIfUnused(node);
  }
}

void NodeConnections::TerminateTask(Micros now, NodeId node, RequestUid uid) {
  Peer* peer = FindPeer(node);
  if (peer == nullptr) return;
  peer->last_used_at = now;
  RequestTermination(now, *peer, uid);
  if (now >= peer->reconnect_at) Connect(now, *peer);
}

void NodeConnections::RequestTermination(Micros now, Peer& peer, RequestUid uid) {
  if (peer.terminations.size() >= kMaxPendingTerminations) {
    if (peer.IsConnected()) SendStop(peer, uid);
    return;
  }
  peer.terminations.Add(now, uid);
  if (peer.IsConnected()) SendUnsentTerminations(now, peer);
}

bool NodeConnections::IsTerminationPending(NodeId node, RequestUid uid) const {
  const auto peer = peers_.find(node);
  return peer != peers_.end() && peer->second.terminations.Contains(uid);
}

bool NodeConnections::AwaitsTerminations(Micros now) const {
  return std::any_of(peers_.begin(), peers_.end(), [now](const auto& entry) {
    const Peer& peer = entry.second;
    return !peer.terminations.empty() && !peer.address.empty() && !peer.IsLost(now);
  });
}

void NodeConnections::AddRunningTask(Micros now, NodeId node, bool recovered) {
  Peer& peer = FindOrAddPeer(node);
  peer.tasks_predate_connection |= recovered;
  if (peer.running_tasks++ == 0 && !peer.HasConnection()) peer.last_received_at = now;
  if (now >= peer.reconnect_at) Connect(now, peer);
}

void NodeConnections::RemoveRunningTask(NodeId node) {
  Peer* peer = FindPeer(node);
  if (peer == nullptr) return;
  if (peer->running_tasks > 0 && --peer->running_tasks == 0) peer->tasks_predate_connection = false;
  ForgetIfUnused(node);
}

// ---- Received messages ----

void NodeConnections::OnBytes(Micros now, ConnId conn, std::string_view bytes) {
  Peer* peer = FindPeerByConn(conn);
  if (peer == nullptr) return;
  Connection& connection = peer->connection;
  peer->last_received_at = now;
  peer->tasks_reported_lost = false;
  connection.received_any = true;
  connection.health_check_sent_at = 0;
  connection.reader.Feed(bytes);
  NodeMessage message;
  for (;;) {
    const NodeMessageReader::State state = connection.reader.Next(&message);
    if (state == NodeMessageReader::State::kMore) break;
    // After a malformed message the stream cannot be decoded any further, not even for other attempts.
    if (state == NodeMessageReader::State::kBroken) {
      return CloseConnection(now, *peer, connection.reader.error(), true);
    }
    if (message.kind == NodeMessageKind::kAnswer && !IsUtf8(message.Text(kDescription))) {
      return CloseConnection(now, *peer, "description: expected UTF-8", true);
    }
    HandleMessage(now, *peer, message);
  }
  // A confirmed termination may have held back an attempt with its uid.
  SendUnsent(now, *peer);
  if (!connection.reader.within_message()) {
    connection.partial_since = 0;
  } else if (connection.partial_since == 0) {
    connection.partial_since = now;
  }
}

void NodeConnections::HandleMessage(Micros now, Peer& peer, const NodeMessage& message) {
  NodeConnectionEvent event;
  event.node = peer.node;
  event.uid = message.uid;
  // A message with the uid of an attempt that has not been sent yet refers to an earlier attempt of the same
  // request. It must not end the unsent one.
  const auto attempt = peer.attempts.find(message.uid);
  const bool of_attempt = attempt != peer.attempts.end() && attempt->second.sent;
  switch (message.kind) {
    case NodeMessageKind::kAnswer:
      // Without an attempt in flight, this is a duplicate or belongs to a cancelled attempt.
      if (!of_attempt) return;
      peer.attempts.erase(attempt);
      event.kind = NodeConnectionEvent::Kind::kStarted;
      event.connected_at = peer.connection.established_at;
      break;
    case NodeMessageKind::kStop:
      peer.terminations.Remove(message.uid);
      event.kind = NodeConnectionEvent::Kind::kEnded;
      event.of_running_task = !of_attempt;
      if (of_attempt) peer.attempts.erase(attempt);
      break;
    case NodeMessageKind::kStopped:
      peer.terminations.Remove(message.uid);
      return;
    case NodeMessageKind::kHealthCheckReply:
      if (message.uid <= health_checks_sent_) peer.terminations.RemoveSentBefore(message.uid);
      return;
    case NodeMessageKind::kNote:
      event.kind = NodeConnectionEvent::Kind::kProgress;
      break;
    default:
      return;
  }
  peer.last_used_at = now;
  event.message = message;
  events_.push_back(std::move(event));
}

}  // namespace mountflow::platform
