// The nodes of PlatformWorld.
#include "tests/support/platform_world.hpp"

namespace mountflow::testing {

void PlatformWorld::OpenConnection(unsigned index, unsigned incarnation, ConnId conn) {
  const auto found = schedulers_[index]->transport->outgoing.find(conn);
  if (found == schedulers_[index]->transport->outgoing.end()) return;
  const std::string address = found->second;
  const Micros delay = Chance(5) ? Draw(1'000'000) : 300 + Draw(3'000);
  At(now_ + delay, [this, index, incarnation, conn, address] {
    SchedulerProcess& scheduler = *schedulers_[index];
    if (scheduler.incarnation != incarnation || scheduler.transport->outgoing.count(conn) == 0) return;
    const std::size_t node = ListeningAt(address);
    if (node < nodes_.size() && nodes_[node].silent_until > now_) return;
    if (node == nodes_.size()) {
      scheduler.transport->outgoing.erase(conn);
      scheduler.node_connections->OnClosed(now_, conn, true);
    } else {
      connections_[{index, conn}] = {index, incarnation, node, {}, {}, false};
      scheduler.node_connections->OnConnected(now_, conn);
    }
    AfterCall(index);
  });
}

void PlatformWorld::NodeReads(unsigned index, unsigned incarnation, ConnId conn, const std::string& bytes) {
  const auto found = connections_.find({index, conn});
  if (found == connections_.end() || found->second.incarnation != incarnation) return;
  NodeConnection& connection = found->second;
  // Bytes that arrive while the node is silent are buffered by its kernel.
  const Micros reads_at = std::max(now_, nodes_[connection.node].silent_until);
  if (!std::exchange(connection.received_any, true)) {  // the first message identifies the scheduler
    At(reads_at, [this, index, conn] { ReportEndsAgain(index, conn); });
  }
  connection.reader.Feed(bytes);
  for (NodeMessage message; connection.reader.Next(&message) == NodeMessageReader::State::kMessage;) {
    HandleNodeMessage(index, conn, connection, message, reads_at);
  }
}

void PlatformWorld::HandleNodeMessage(unsigned index, ConnId conn, NodeConnection& connection,
                                      const NodeMessage& message, Micros reads_at) {
  if (message.kind == NodeMessageKind::kHealthCheck) {
    NodeSends(index, conn, NodeMessageBytes(NodeMessageKind::kHealthCheckReply, message.uid, 1));
  } else if (message.kind == NodeMessageKind::kStop) {
    if (connection.unanswered.erase(message.uid) > 0) {
      LogAttemptEnd(connection, message.uid, kCauseMayHaveRun);
    }
    ClientRequest& request = requests_[message.uid];
    if (!request.runs || request.node != connection.node) return;
    EndTask(message.uid, request, kCauseCancelled);
    NodeSends(index, conn, EndedBytes(message.uid, kCauseCancelled));
  } else if (message.kind == NodeMessageKind::kLaunch) {
    LoggedMessage attempt{now_, Kind::kAttempt, message.uid, NameKnownTo(index, connection.node)};
    attempt.task_class = message.Text(kClass);
    schedulers_[index]->log.push_back(attempt);
    attempt_node_[message.uid] = attempt.node;
    connection.unanswered.insert(message.uid);
    const Micros roll = Draw(100);
    At(reads_at + (5 + Draw(40)) * kMilli,
       [this, index, conn, uid = message.uid, roll] { AnswerAttempt(index, conn, uid, roll); });
  }
}

void PlatformWorld::AnswerAttempt(unsigned index, ConnId conn, RequestUid uid, Micros roll) {
  const auto found = connections_.find({index, conn});
  if (found == connections_.end() || found->second.unanswered.count(uid) == 0) return;  // cancelled
  NodeConnection& connection = found->second;
  if (roll < 3) return ResetConnection(index, conn);
  if (roll < 5) return;  // the node does not answer
  connection.unanswered.erase(uid);
  if (roll < 15) {
    LogAttemptEnd(connection, uid, kCauseRejected);
    return NodeSends(index, conn, EndedBytes(uid, kCauseRejected, {{kStatusText, "no_cores"}}));
  }
  LogAttemptEnd(connection, uid, 0);
  ClientRequest& request = requests_[uid];
  request.runs = true;
  request.node = connection.node;
  request.node_conn = conn;
  NodeSends(index, conn, StartedBytes(uid));
  At(now_ + 300 * kMilli + Draw(6 * kSec),
     [this, uid, node = connection.node] { EndTaskByItself(uid, node); });
}

void PlatformWorld::EndTaskByItself(RequestUid uid, std::size_t node) {
  ClientRequest& request = requests_[uid];
  if (!request.runs || request.node != node) return;
  EndTask(uid, request, kCauseEnded);
  ends_to_report_again_[{request.scheduler, node}].insert(uid);
  if (connections_.count({request.scheduler, request.node_conn}) > 0) {
    return NodeSends(request.scheduler, request.node_conn, EndedBytes(uid, kCauseEnded));
  }
  for (const auto& [key, connection] : connections_) {
    if (key.first != request.scheduler || connection.node != node) continue;
    return NodeSends(key.first, key.second, EndedBytes(uid, kCauseEnded));
  }
}

void PlatformWorld::NodeSends(unsigned index, ConnId conn, const std::string& bytes) {
  const unsigned incarnation = schedulers_[index]->incarnation;
  const std::size_t node = connections_.at({index, conn}).node;
  const Micros sends_at = std::max(now_, nodes_[node].silent_until);
  Micros& arrives_at = scheduler_reads_at_[{index, conn}];
  arrives_at = std::max(arrives_at + 1, sends_at + 100 + Draw(900));
  At(arrives_at, [this, index, incarnation, conn, bytes, node] {
    if (schedulers_[index]->incarnation != incarnation || connections_.count({index, conn}) == 0) {
      return QueueUnreadEnds(index, node, bytes);
    }
    schedulers_[index]->node_connections->OnBytes(now_, conn, bytes);
    AfterCall(index);
  });
}

void PlatformWorld::QueueUnreadEnds(unsigned index, std::size_t node, const std::string& bytes) {
  NodeMessageReader unread;
  unread.Feed(bytes);
  for (NodeMessage message; unread.Next(&message) == NodeMessageReader::State::kMessage;) {
    if (message.kind != NodeMessageKind::kStop || message.cause != kCauseEnded) continue;
    ends_to_report_again_[{index, node}].insert(message.uid);
    for (const auto& [key, connection] : connections_) {
      if (key.first != index || connection.node != node) continue;
      At(now_ + 100, [this, index, conn = key.second] { ReportEndsAgain(index, conn); });
    }
  }
}

void PlatformWorld::ReportEndsAgain(unsigned index, ConnId conn) {
  const auto found = connections_.find({index, conn});
  if (found == connections_.end()) return;
  for (const RequestUid uid : std::exchange(ends_to_report_again_[{index, found->second.node}], {})) {
    NodeSends(index, conn, EndedBytes(uid, kCauseEnded));
  }
}

void PlatformWorld::ResetConnection(unsigned index, ConnId conn) {
  const auto found = connections_.find({index, conn});
  EndAttempts(found->second);
  const unsigned incarnation = found->second.incarnation;
  connections_.erase(found);
  At(now_ + 100 + Draw(900), [this, index, incarnation, conn] {
    SchedulerProcess& scheduler = *schedulers_[index];
    if (scheduler.incarnation != incarnation || scheduler.transport->outgoing.erase(conn) == 0) return;
    scheduler.node_connections->OnClosed(now_, conn, false);
    AfterCall(index);
  });
}

void PlatformWorld::ResetConnectionsOf(std::size_t node) {
  for (const auto& [key, connection] : std::map<ConnKey, NodeConnection>(connections_)) {
    if (connection.node == node) ResetConnection(key.first, key.second);
  }
}

}  // namespace mountflow::testing
