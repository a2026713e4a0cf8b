#include "node_sessions/attempt_sessions.hpp"

#include <optional>

namespace mountflow::node_sessions {

void AttemptSessions::ReportNotSent(const job_manager::AttemptId& attempt) {
  context_->messages.emplace_back(job_manager::AttemptDisconnected{attempt, false});
}

// ---- Requests of the job manager ----

void AttemptSessions::Submit(Micros now, const job_manager::PrepareAttempt& request,
                             const std::string& address) {
  const NodeSessionOptions& options = context_->options;
  Node& node = nodes_[request.node];
  node.address = address;
  if (node.busy < options.max_connections) {
    Start(now, request.node, node, request.attempt);
  } else if (node.waiting.size() < options.max_waiting) {
    node.waiting.push_back(request.attempt);
  } else {
    ReportNotSent(request.attempt);
  }
}

void AttemptSessions::Commit(const job_manager::CommitAttempt& request) {
  const auto found = connection_of_attempt_.find(KeyOf(request.attempt));
  if (found == connection_of_attempt_.end()) {  // the connection ended before the commit
    ReportNotSent(request.attempt);
    return;
  }
  exchanges_.at(found->second).BeginCommit();
  context_->connections.Send(found->second, EncodeCommit(*context_, request.attempt));
}

void AttemptSessions::Abandon(Micros now, const job_manager::AbandonAttempt& request) {
  const auto found = connection_of_attempt_.find(KeyOf(request.attempt));
  if (found == connection_of_attempt_.end()) {
    const auto node = nodes_.find(request.node);
    if (node != nodes_.end()) std::erase(node->second.waiting, request.attempt);
    return;
  }
  const ConnId id = found->second;
  const NodeId node_id = context_->connections.Find(id)->node;
  connection_of_attempt_.erase(found);
  --nodes_[node_id].busy;
  exchanges_.erase(id);
  context_->connections.Close(id);
  StartWaiting(now, node_id);
}

void AttemptSessions::SetReplyDeadline(const job_manager::AttemptId& attempt, Micros deadline) {
  const auto found = connection_of_attempt_.find(KeyOf(attempt));
  if (found != connection_of_attempt_.end()) context_->connections.SetDeadline(found->second, deadline);
}

// ---- Starting and releasing ----

void AttemptSessions::Start(Micros now, NodeId node_id, Node& node, const job_manager::AttemptId& attempt) {
  std::optional<Submission> submission = EncodeSubmission(*context_, attempt);
  if (!submission) {
    ReportNotSent(attempt);
    return;
  }
  const ConnId id = TakeConnection(now, node_id, node);
  ++node.busy;
  exchanges_.at(id).Begin(attempt, submission->requests);
  connection_of_attempt_[KeyOf(attempt)] = id;
  context_->connections.Send(id, std::move(submission->bytes));
}

ConnId AttemptSessions::TakeConnection(Micros now, NodeId node_id, Node& node) {
  if (!node.idle.empty()) {
    const ConnId id = node.idle.back();
    node.idle.pop_back();
    return id;
  }
  const Micros deadline = now + context_->options.connect_timeout;
  const ConnId id = context_->connections.Open(node_id, ConnectionKind::kAttempt, node.address, deadline);
  exchanges_.try_emplace(id);
  return id;
}

void AttemptSessions::Release(Micros now, ConnId id, const job_manager::AttemptId& attempt) {
  const NodeId node_id = context_->connections.Find(id)->node;
  Node& node = nodes_[node_id];
  connection_of_attempt_.erase(KeyOf(attempt));
  context_->connections.SetDeadline(id, kNoDeadline);
  --node.busy;
  if (node.idle.size() >= context_->options.max_idle && node.waiting.empty()) {
    exchanges_.erase(id);
    context_->connections.Close(id);
  } else {
    node.idle.push_back(id);
  }
  StartWaiting(now, node_id);
}

void AttemptSessions::StartWaiting(Micros now, NodeId node_id) {
  Node& node = nodes_[node_id];
  while (!node.waiting.empty() && node.busy < context_->options.max_connections) {
    const job_manager::AttemptId attempt = node.waiting.front();
    node.waiting.pop_front();
    Start(now, node_id, node, attempt);
  }
}

// ---- Events of the connections ----

void AttemptSessions::OnReply(Micros now, ConnId id, pbs_protocol::Reply reply) {
  AttemptExchange& exchange = exchanges_.at(id);
  std::optional<job_manager::NodeMessage> message = exchange.OnReply(std::move(reply));
  if (!message) return;
  context_->messages.push_back(std::move(*message));
  if (exchange.step() == AttemptStep::kIdle) Release(now, id, job_manager::AttemptId(exchange.attempt()));
}

void AttemptSessions::OnClosed(Micros now, ConnId id, NodeId node_id) {
  const AttemptExchange exchange = exchanges_.at(id);
  exchanges_.erase(id);
  Node& node = nodes_[node_id];
  if (exchange.step() == AttemptStep::kIdle) {
    std::erase(node.idle, id);
    return;
  }
  connection_of_attempt_.erase(KeyOf(exchange.attempt()));
  --node.busy;
  const bool commit_sent = exchange.step() == AttemptStep::kCommitting;
  context_->messages.emplace_back(job_manager::AttemptDisconnected{exchange.attempt(), commit_sent});
  StartWaiting(now, node_id);
}

void AttemptSessions::CloseIdle(NodeId node_id, const std::string& new_address) {
  const auto found = nodes_.find(node_id);
  if (found == nodes_.end()) return;
  found->second.address = new_address;
  for (const ConnId id : std::exchange(found->second.idle, {})) {
    exchanges_.erase(id);
    context_->connections.Close(id);
  }
}

void AttemptSessions::ForgetConnection(ConnId id) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end()) return;
  connection_of_attempt_.erase(KeyOf(found->second.attempt()));
  exchanges_.erase(found);
}

}  // namespace mountflow::node_sessions
