#include "tools/chaos/message_log_model.hpp"

#include <algorithm>

namespace mountflow::chaos {
namespace {

using pbs_protocol::Code;
using pbs_protocol::RequestType;

// Tolerance in microseconds for comparing the start time of a node in a node list with the runner's event.
// The two times come from different processes, and the time in the list may be slightly earlier.
constexpr Micros kStartTimeTolerance = 1'000'000;

std::string ServiceIndexKey(const std::string& daemon, const std::string& service) {
  return daemon + "/" + service;
}

}  // namespace

void MessageLogModel::AddPendingRequest(const RequestEntry& request) {
  pending_requests_[request.connection].push_back(request);
}

std::optional<RequestEntry> MessageLogModel::TakePendingRequest(const ConnectionId& connection) {
  auto& pending = pending_requests_[connection];
  if (pending.empty()) return std::nullopt;
  RequestEntry request = std::move(pending.front());
  pending.pop_front();
  return request;
}

void MessageLogModel::OnClientRequest(const RequestEntry& request) {
  if (request.type == RequestType::kQueueJob) submissions_[request.connection] = request;
  if (request.type == RequestType::kDeleteJob) deleted_.insert(request.id);
  if (!request.WaitsForAnswer()) return;
  if (Job* const job = FindJob(request.id)) job->waiting.insert(request.connection);
}

void MessageLogModel::OnJobCommitted(const ReplyEntry& reply, LogPosition position) {
  const RequestEntry& submission = submissions_[reply.connection];
  Job& job = jobs_[reply.text];
  job.daemon = reply.connection.peer;
  job.queue = submission.queue;
  job.committed = position;
  job.has_key = !submission.Attribute("key").empty();
  job.deadline = position.time + ClassOf(job.queue).hard_limit;
  if (submission.client_deadline) job.deadline = std::min(job.deadline, *submission.client_deadline);
  ++verdict_->jobs;
}

void MessageLogModel::OnFinalAnswer(Job* job, const std::string& answer, LogPosition position) {
  job->answer = answer;
  job->answered = position;
  ++verdict_->answered;
  ++verdict_->answers[answer];
}

void MessageLogModel::OnNodeReply(const RequestEntry& request, const ReplyEntry& reply,
                                  LogPosition position) {
  if (request.type == RequestType::kStatusJob && request.id.empty()) return OnNodeStatus(request, reply);
  // Every request about an attempt contains the attempt's id, including each request of a submission.
  if (Attempt* const attempt = FindAttempt(request.id)) {
    OnAttemptReply(attempt, request.type, reply.code, position);
  }
}

// Applies a node's full status, from which the daemon learns the node's incarnation and tasks.
void MessageLogModel::OnNodeStatus(const RequestEntry& request, const ReplyEntry& reply) {
  for (const StatusObjectEntry& object : reply.objects) {
    if (object.type == pbs_protocol::ObjectType::kServer) {
      if (object.started) {
        NoteIncarnationKnown(request.Attribute("server"), reply.connection.peer, *object.started);
      }
      continue;
    }
    Attempt* const attempt = FindAttempt(object.name);
    if (attempt != nullptr && !attempt->has_ended()) attempt->known_to_daemon = true;
  }
}

void MessageLogModel::OnAttemptReply(Attempt* attempt, RequestType type, Code code, LogPosition position) {
  const bool rejected = code != Code::kNone;
  switch (type) {
    case RequestType::kQueueJob:
    case RequestType::kJobScript:
    case RequestType::kReadyToCommit:
      if (!rejected || attempt->is_committed()) return;
      if (type == RequestType::kReadyToCommit) ++verdict_->rejected_by_nodes;
      EndAttempt(attempt, position.time);
      attempt->never_ran = true;
      return;
    case RequestType::kCommit:
      if (!rejected) Accept(attempt, position);
      EndAttempt(attempt, position.time);
      // The node may still run the task after a system error.
      if (rejected && code != Code::kSystem) attempt->never_ran = true;
      return;
    case RequestType::kDeleteJob:
      if (rejected && !attempt->is_accepted()) attempt->never_ran = true;
      if (!rejected && attempt->is_accepted()) attempt->ended = std::min(attempt->ended, position.time);
      return;
    case RequestType::kStatusJob:
      if (!rejected) return Accept(attempt, position);
      if (attempt->is_accepted()) return;
      EndAttempt(attempt, position.time);
      attempt->never_ran = true;
      return;
    default:
      return;
  }
}

void MessageLogModel::Accept(Attempt* attempt, LogPosition position) {
  if (attempt->is_accepted()) return;
  ++verdict_->accepted;
  attempt->accepted = position;
  EndAttempt(attempt, position.time);
  if (!attempt->key.empty() && ClassOf(attempt->queue).effect != Effect::kIdempotent) {
    accepted_by_key_[attempt->key].push_back(attempt->id);
  }
}

void MessageLogModel::OnTaskReport(const std::string& attempt_id, LogPosition position) {
  Attempt* const attempt = FindAttempt(attempt_id);
  if (attempt == nullptr) return;
  Accept(attempt, position);  // a task that ended was accepted, even if no reply was logged
  attempt->ended = std::min(attempt->ended, position.time);
}

void MessageLogModel::OnConnectionClosed(const ConnectionId& connection, Micros now) {
  pending_requests_.erase(connection);
  submissions_.erase(connection);
  if (connection.point == ProxyPoint::kClient) {
    for (auto& [id, job] : jobs_) job.waiting.erase(connection);
  }
  const auto it = attempt_by_connection_.find(connection);
  if (it == attempt_by_connection_.end()) return;
  Attempt& attempt = attempts_.at(it->second);
  attempt_by_connection_.erase(it);
  if (attempt.connection != connection || attempt.is_committed()) return;
  EndAttempt(&attempt, now);
  attempt.never_ran = true;
}

void MessageLogModel::OnNodeList(const NodeListEntry& list, LogPosition position) {
  std::set<std::string>& known = nodes_known_to_[list.daemon];
  for (const auto& [node, entry] : list.nodes) {
    known.insert(node);
    NoteIncarnationKnown(list.daemon, node, entry.started);
    if (entry.ready) {
      drain_notices_.erase({list.daemon, node});
    } else {
      AddDrainNotice(list.daemon, node, position);
    }
  }
  for (const std::string& node : known) {
    if (!list.nodes.contains(node)) AddDrainNotice(list.daemon, node, position);
  }
}

void MessageLogModel::AddDrainNotice(const std::string& daemon, const std::string& node,
                                     LogPosition position) {
  if (drain_notices_.emplace(std::pair(daemon, node), position).second) ++verdict_->drain_notices;
}

void MessageLogModel::NoteIncarnationKnown(const std::string& daemon, const std::string& node,
                                           Micros started) {
  const auto it = incarnations_.find(node);
  if (it == incarnations_.end() || started == 0) return;
  if (started + kStartTimeTolerance >= it->second.started.time) it->second.known_to.insert(daemon);
}

void MessageLogModel::OnClientGaveUp(const std::string& job, LogPosition position) {
  client_gave_up_[job] = position.line;
}

void MessageLogModel::OnEvent(const EventEntry& event, LogPosition position) {
  std::vector<Outage>& outages = outages_[event.name];
  switch (event.kind) {
    case EventKind::kNodeStart:
      incarnations_[event.name] = {position, {}};
      ++verdict_->incarnations;
      return;
    case EventKind::kNodeKill:
      return OnNodeKilled(event.name, position.time);
    case EventKind::kDaemonKill:
      outages.push_back({position.time, kNever});
      return OnDaemonKilled(event.name, position.time);
    case EventKind::kDaemonStart:
      if (!outages.empty() && outages.back().to == kNever) outages.back().to = position.time;
      return;
    case EventKind::kDaemonStall:
      outages.push_back({position.time, kNever});
      return;
    case EventKind::kDaemonContinue:
      if (!outages.empty()) outages.back().to = position.time;
      return;
    case EventKind::kEnd:
      end_time_ = position.time;
      return;
    case EventKind::kOther:
      return;
  }
}

void MessageLogModel::OnNodeKilled(const std::string& node, Micros now) {
  incarnations_.erase(node);
  for (const std::string& id : by_node_[node]) {
    Attempt& attempt = attempts_.at(id);
    if (!attempt.is_committed()) attempt.never_ran = true;
    EndAttempt(&attempt, now);
    attempt.ended = std::min(attempt.ended, now);
  }
  by_node_[node].clear();
}

// Discards the daemon's knowledge of the nodes. Its committed jobs remain: it must answer them after its
// restart.
void MessageLogModel::OnDaemonKilled(const std::string& daemon, Micros now) {
  for (auto& [id, attempt] : attempts_) {
    if (attempt.daemon != daemon) continue;
    attempt.known_to_daemon = false;
    EndAttempt(&attempt, now);
  }
  std::erase_if(drain_notices_, [&daemon](const auto& notice) { return notice.first.first == daemon; });
  nodes_known_to_[daemon].clear();
  for (auto& [node, incarnation] : incarnations_) incarnation.known_to.erase(daemon);
}

// Attempt ids have the form JOB/NUMBER, job ids the form NUMBER.DAEMON.
Attempt MessageLogModel::MakeAttempt(const RequestEntry& request, LogPosition position) {
  ++verdict_->attempts;
  Attempt attempt;
  attempt.id = request.id;
  attempt.job = request.id.substr(0, request.id.rfind('/'));
  attempt.daemon = attempt.job.substr(attempt.job.find('.') + 1);
  attempt.node = request.connection.peer;
  attempt.queue = request.queue;
  attempt.service = request.Attribute("service");
  const std::string key = request.Attribute("key");
  if (!key.empty()) attempt.key = request.Attribute("Job_Owner") + "/" + key;
  attempt.connection = request.connection;
  attempt.sent = position;
  return attempt;
}

void MessageLogModel::AddAttempt(Attempt attempt) {
  by_job_[attempt.job].push_back(attempt.id);
  by_service_[ServiceIndexKey(attempt.daemon, attempt.service)].push_back(attempt.id);
  by_node_[attempt.node].push_back(attempt.id);
  attempt_by_connection_[attempt.connection] = attempt.id;
  std::string id = attempt.id;
  attempts_[std::move(id)] = std::move(attempt);
}

void MessageLogModel::EndAttempt(Attempt* attempt, Micros now) {
  attempt->in_flight_until = std::min(attempt->in_flight_until, now);
}

const TaskClass& MessageLogModel::ClassOf(const std::string& queue) const {
  static const TaskClass kUnknownQueue;
  const auto it = head_.classes.find(queue);
  return it == head_.classes.end() ? kUnknownQueue : it->second;
}

std::string MessageLogModel::DomainOf(const std::string& node, SpreadDomain domain) const {
  const auto it = head_.nodes.find(node);
  if (it == head_.nodes.end() || domain == SpreadDomain::kNode) return node;
  return domain == SpreadDomain::kZone ? it->second.zone : it->second.rack;
}

Job* MessageLogModel::FindJob(const std::string& id) {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

Attempt* MessageLogModel::FindAttempt(const std::string& id) {
  const auto it = attempts_.find(id);
  return it == attempts_.end() ? nullptr : &it->second;
}

std::vector<const Attempt*> MessageLogModel::AttemptsIn(const std::map<std::string, AttemptIds>& index,
                                                        const std::string& name) const {
  std::vector<const Attempt*> attempts;
  const auto it = index.find(name);
  if (it == index.end()) return attempts;
  for (const std::string& id : it->second) attempts.push_back(&attempts_.at(id));
  return attempts;
}

std::vector<const Attempt*> MessageLogModel::AttemptsOfJob(const std::string& job) const {
  return AttemptsIn(by_job_, job);
}

std::vector<const Attempt*> MessageLogModel::AttemptsOfService(const std::string& daemon,
                                                               const std::string& service) const {
  return AttemptsIn(by_service_, ServiceIndexKey(daemon, service));
}

const NodeIncarnation* MessageLogModel::FindIncarnation(const std::string& node) const {
  const auto it = incarnations_.find(node);
  return it == incarnations_.end() ? nullptr : &it->second;
}

std::optional<std::size_t> MessageLogModel::ClientGaveUp(const std::string& job) const {
  const auto it = client_gave_up_.find(job);
  return it == client_gave_up_.end() ? std::nullopt : std::optional(it->second);
}

std::vector<Outage> MessageLogModel::OutagesOf(const std::string& daemon) const {
  const auto it = outages_.find(daemon);
  return it == outages_.end() ? std::vector<Outage>{} : it->second;
}

}  // namespace mountflow::chaos
