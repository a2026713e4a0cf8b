// The part of NodeConnections that opens, evicts, health-checks and closes connections.
#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "platform/node_connections.hpp"

namespace mountflow::platform {
namespace {

// Returns the time before which a termination must have been requested to have expired.
Micros ExpiryLimit(Micros now) { return now >= kTerminationRetention ? now - kTerminationRetention + 1 : 0; }

}  // namespace

// ---- Making connections ----

// Evicts one connection if the maximum number is reached. Returns false if none can be evicted. Connections
// with attempts in flight are never evicted. A connection that is not needed is evicted first, then the least
// recently used one on which the node has already sent something; that node is connected again in rotation. A
// connection that is needed and has received nothing yet is evicted only to send an attempt. Otherwise many
// waiting nodes would close each other's connections before any of these is established, and healthy nodes
// would be considered lost. No needed connection is evicted for a lost node.
bool NodeConnections::EvictIfFull(Micros now, const Peer& for_peer, bool for_attempt) {
  if (node_by_conn_.size() < options_.max_connections) return true;
  const bool for_lost_node = !for_attempt && for_peer.IsLost(now);
  Peer* evicted = nullptr;
  EvictionRank smallest;
  for (auto& [node, peer] : peers_) {
    if (!peer.HasConnection() || !peer.attempts.empty()) continue;
    const bool received_any = peer.connection.received_any;
    if (peer.IsNeeded() && !received_any && !for_attempt) continue;
    if (peer.IsNeeded() && for_lost_node) continue;
    EvictionRank rank{0, peer.last_used_at};
    if (peer.IsNeeded()) rank.need = received_any ? 1 : 2;
    if (evicted != nullptr && rank >= smallest) continue;
    evicted = &peer;
    smallest = rank;
  }
  if (evicted == nullptr) return false;
  transport_->Close(evicted->connection.id, true);
  OnConnectionEnded(now, *evicted, evicted->IsConnected());
  evicted->reconnect_at = now + kRotationInterval;
  return true;
}

void NodeConnections::Connect(Micros now, Peer& peer, bool for_attempt) {
  if (peer.HasConnection() || peer.address.empty()) return;
  if (!EvictIfFull(now, peer, for_attempt)) {
    peer.reconnect_at = now + kNoConnectionFreeDelay;
    return;
  }
  peer.connection = {};
  peer.connection.id = transport_->Connect(peer.address);
  peer.connection.address = peer.address;
  peer.connection.connect_deadline = now + options_.connect_timeout;
  node_by_conn_[peer.connection.id] = peer.node;
  if (peer.last_received_at == 0) peer.last_received_at = now;
}

void NodeConnections::OnConnected(Micros now, ConnId conn) {
  Peer* peer = FindPeerByConn(conn);
  if (peer == nullptr) return;
  peer->connection.established_at = now;
  peer->connection.connect_deadline = kNever;
  peer->reconnect_delay = 0;
  peer->last_used_at = now;
  SendUnsentTerminations(now, *peer);
  // A node recognises the scheduler by the first message on a connection, and reports the ends of running
  // tasks only after it. Without a message now, these reports would be delayed until the first periodic
  // health check. The reply also confirms the terminations before it.
  const bool has_only_tasks = peer->running_tasks > 0 && peer->attempts.empty();
  if (has_only_tasks || !peer->terminations.empty()) SendHealthCheck(now, *peer);
  SendUnsentAttempts(now, *peer);
}

// ---- Closing connections ----

void NodeConnections::CloseConnection(Micros now, Peer& peer, const std::string& reason,
                                      bool was_established) {
  transport_->Log({logging::LogEvent::kNodeConnectionClosed,
                   {{logging::kAddressField, peer.connection.address}, {logging::kReasonField, reason}}});
  transport_->Close(peer.connection.id, false);
  OnConnectionEnded(now, peer, was_established);
}

void NodeConnections::OnConnectionEnded(Micros now, Peer& peer, bool was_established) {
  node_by_conn_.erase(peer.connection.id);
  peer.connection = {};
  peer.tasks_predate_connection = peer.running_tasks > 0;
  peer.terminations.MarkAllUnsent();
  peer.unsent_attempts.clear();
  for (const auto& [uid, attempt] : std::exchange(peer.attempts, {})) {
    const bool may_have_run = was_established && attempt.written;
    AddEvent(may_have_run ? NodeConnectionEvent::Kind::kMayHaveRun : NodeConnectionEvent::Kind::kNeverRan,
             peer, uid);
  }
  // The first reconnect is immediate, later ones have backoff.
  peer.reconnect_at = now + peer.reconnect_delay;
  const Micros longest_delay = peer.IsLost(now) ? kLostNodeReconnectDelayMax : kReconnectDelayMax;
  peer.reconnect_delay = std::clamp(peer.reconnect_delay * 2, kReconnectDelayMin, longest_delay);
  if (!peer.listed) ReportTasksLost(peer);
}

void NodeConnections::OnClosed(Micros now, ConnId conn, bool refused) {
  Peer* peer = FindPeerByConn(conn);
  if (peer == nullptr) return;
  const NodeId node = peer->node;
  const bool was_established = peer->IsConnected();
  OnConnectionEnded(now, *peer, was_established);
  if (refused && !was_established) OnProcessEnded(*peer);
  ForgetIfUnused(node);
}

// ---- Timers ----

Micros NodeConnections::DueOf(const Peer& peer) const {
  const Connection& connection = peer.connection;
  if (!peer.HasConnection()) {
    if (!peer.IsNeeded()) return kNever;
    const Micros reconnect_at = peer.address.empty() ? kNever : peer.reconnect_at;
    const Micros lost_at = peer.running_tasks > 0 ? peer.last_received_at + kNodeLostTimeout : kNever;
    return std::min({reconnect_at, lost_at, peer.terminations.NextExpiry()});
  }
  if (!peer.IsConnected()) return connection.connect_deadline;
  if (connection.partial_since != 0) return connection.partial_since + kPartialNodeMessageTimeout;
  if (connection.health_check_sent_at != 0) return connection.health_check_sent_at + kHealthCheckTimeout;
  if (!peer.IsNeeded()) return peer.listed ? peer.last_used_at + options_.idle_timeout : 0;
  Micros check_due = std::max(peer.last_received_at, peer.last_used_at);
  // A node that is never quiet for long enough may leave terminations unconfirmed.
  const Micros unconfirmed_since = peer.terminations.OldestSentAt();
  if (unconfirmed_since != kNever) {
    check_due = std::min(check_due, std::max(unconfirmed_since, connection.last_health_check_at));
  }
  return check_due + kHealthCheckInterval;
}

Micros NodeConnections::NextDue() const {
  Micros due = kNever;
  for (const auto& [node, peer] : peers_) due = std::min(due, DueOf(peer));
  return due;
}

void NodeConnections::Tick(Micros now) {
  // Handles the peers from which nothing was received for the longest time first.
  struct DuePeer {
    Micros last_received_at;
    NodeId node;
    auto operator<=>(const DuePeer&) const = default;
  };
  std::vector<DuePeer> due;
  for (const auto& [node, peer] : peers_) {
    if (DueOf(peer) <= now) due.push_back({peer.last_received_at, node});
  }
  std::sort(due.begin(), due.end());
  for (const DuePeer& due_peer : due) {
    Peer* peer = FindPeer(due_peer.node);
    if (peer == nullptr || DueOf(*peer) > now) continue;
    TickPeer(now, *peer);
    ForgetIfUnused(due_peer.node);
  }
}

void NodeConnections::TickPeer(Micros now, Peer& peer) {
  const Connection& connection = peer.connection;
  if (!peer.HasConnection()) {
    if (peer.running_tasks > 0 && now >= peer.last_received_at + kNodeLostTimeout) {
      ReportTasksLost(peer);
      peer.tasks_reported_lost = true;
      peer.last_received_at = now;  // do not report again before another kNodeLostTimeout
    }
    peer.terminations.RemoveRequestedBefore(ExpiryLimit(now));
    if (peer.IsNeeded() && now >= peer.reconnect_at) Connect(now, peer);
  } else if (!peer.IsConnected()) {
    CloseConnection(now, peer, "connecting timed out", false);
  } else if (connection.partial_since != 0) {
    CloseConnection(now, peer, "a message did not end in time", true);
  } else if (connection.health_check_sent_at != 0) {
    // Either the node accepts connections but does not respond, or the connection is half open. Attempts
    // written on it may have run.
    CloseConnection(now, peer, "no reply to a health check", true);
  } else if (peer.IsNeeded()) {
    SendHealthCheck(now, peer);
  } else {
    transport_->Close(connection.id, true);
    OnConnectionEnded(now, peer, true);
  }
}

}  // namespace mountflow::platform
