#include "node_sessions/node_sessions.hpp"

#include <optional>
#include <utility>
#include <variant>

namespace mountflow::node_sessions {
namespace {

// The connection of a stopped attempt whose commit got no reply is closed after this multiple of the control
// timeout.
constexpr Micros kStopTimeoutFactor = 2;

}  // namespace

NodeSessions::NodeSessions(const job_manager::JobManager* job_manager, pbs_server::Vocabulary vocabulary,
                           NodeSessionOptions options)
    : context_{job_manager, std::move(vocabulary), std::move(options), {}, {}},
      attempts_(&context_),
      controls_(&context_) {}

// ---- Requests of the job manager ----

struct NodeSessions::OutputVisitor {
  NodeSessions& sessions;
  Micros now;

  void operator()(const job_manager::PrepareAttempt& request) const { sessions.Submit(now, request); }
  void operator()(const job_manager::CommitAttempt& request) const { sessions.attempts_.Commit(request); }
  void operator()(const job_manager::AbandonAttempt& request) const {
    sessions.attempts_.Abandon(now, request);
  }
  void operator()(const job_manager::StopAttempt& request) const {
    const Micros timeout = kStopTimeoutFactor * sessions.context_.options.control_timeout;
    sessions.attempts_.SetReplyDeadline(request.attempt, now + timeout);
    sessions.SendControl(now, request.node, request);
  }
  void operator()(const job_manager::SignalAttempt& request) const {
    sessions.SendControl(now, request.node, request);
  }
  void operator()(const job_manager::QueryAttempt& request) const {
    sessions.SendControl(now, request.node, request);
  }
  void operator()(const job_manager::ReconcileNode& request) const {
    sessions.SendControl(now, request.node, request);
  }
  void operator()(const job_manager::FindKey& request) const {
    sessions.SendControl(now, request.node, request);
  }
  void operator()(const job_manager::CheckNodeHealth& request) const {
    sessions.SendControl(now, request.node, request);
  }
  void operator()(const job_manager::ForgetNode& request) const { sessions.ForgetNode(request.node); }
  // Ignores outputs that are not for nodes.
  template <typename Other>
  void operator()(const Other& /*other*/) const {}
};

void NodeSessions::Deliver(Micros now, const job_manager::Output& output) {
  std::visit(OutputVisitor{*this, now}, output);
}

const std::string* NodeSessions::AddressOf(NodeId node) {
  const job_manager::ListedNode* listed = context_.job_manager->FindNode(node);
  if (listed == nullptr) {
    const auto known = addresses_.find(node);
    return known == addresses_.end() || known->second.empty() ? nullptr : &known->second;
  }
  std::string& address = addresses_[node];
  if (address != listed->address) {
    address = listed->address;
    attempts_.CloseIdle(node, address);
    controls_.CloseIfIdle(node);
  }
  return &address;
}

void NodeSessions::Submit(Micros now, const job_manager::PrepareAttempt& request) {
  const std::string* address = AddressOf(request.node);
  if (address != nullptr) {
    attempts_.Submit(now, request, *address);
  } else {
    context_.messages.emplace_back(job_manager::AttemptDisconnected{request.attempt, false});
  }
}

void NodeSessions::SendControl(Micros now, NodeId node, const ControlRequest& request) {
  const std::string* address = AddressOf(node);
  if (address != nullptr) {
    controls_.Send(now, node, *address, request);
  } else {
    controls_.ReportFailure(node, request);
  }
}

void NodeSessions::ForgetNode(NodeId node) {
  for (const ConnId id : context_.connections.OfNode(node)) {
    attempts_.ForgetConnection(id);
    context_.connections.Close(id);
  }
  attempts_.ForgetNode(node);
  controls_.ForgetNode(node);
  addresses_.erase(node);
}

// ---- Events of the connections ----

void NodeSessions::Connected(Micros now, ConnId id) {
  const SessionConnection* connection = context_.connections.Find(id);
  if (connection == nullptr) return;
  const bool control_pending =
      connection->kind == ConnectionKind::kControl && controls_.AwaitsReply(connection->node);
  const Micros deadline = control_pending ? now + context_.options.control_timeout : kNoDeadline;
  context_.connections.SetOpen(id, deadline);
}

bool NodeSessions::AwaitsReply(ConnId id, const SessionConnection& connection) const {
  if (connection.kind == ConnectionKind::kControl) return controls_.AwaitsReply(connection.node);
  return attempts_.AwaitsReply(id);
}

void NodeSessions::Received(Micros now, ConnId id, std::string_view bytes) {
  SessionConnection* connection = context_.connections.Find(id);
  if (connection == nullptr) return;
  connection->reader.Append(bytes);
  // Handling a reply may close the connection, so it is looked up again.
  for (; connection != nullptr; connection = context_.connections.Find(id)) {
    pbs_protocol::Reply reply;
    const ReadResult result = connection->reader.Next(&reply);
    if (result == ReadResult::kIncomplete) return;
    if (result == ReadResult::kMalformed || !AwaitsReply(id, *connection)) {
      CloseBroken(now, id);
      return;
    }
    if (connection->kind == ConnectionKind::kControl) {
      controls_.OnReply(now, id, connection->node, reply);
    } else {
      attempts_.OnReply(now, id, std::move(reply));
    }
  }
}

void NodeSessions::Closed(Micros now, ConnId id) { OnConnectionClosed(now, id); }

void NodeSessions::Tick(Micros now) {
  while (const std::optional<ConnId> expired = context_.connections.FindExpired(now)) {
    CloseBroken(now, *expired);
  }
}

void NodeSessions::CloseBroken(Micros now, ConnId id) {
  context_.connections.actions().emplace_back(CloseConn{id});
  OnConnectionClosed(now, id);
}

void NodeSessions::OnConnectionClosed(Micros now, ConnId id) {
  const SessionConnection* connection = context_.connections.Find(id);
  if (connection == nullptr) return;
  const NodeId node = connection->node;
  const ConnectionKind kind = connection->kind;
  context_.connections.Remove(id);
  if (kind == ConnectionKind::kControl) {
    controls_.OnClosed(node);
  } else {
    attempts_.OnClosed(now, id, node);
  }
}

}  // namespace mountflow::node_sessions
