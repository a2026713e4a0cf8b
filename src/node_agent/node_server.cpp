#include "node_agent/node_server.hpp"

#include "pbs_server/attribute_values.hpp"

namespace mountflow::node_agent {
namespace {

using pbs_protocol::Choice;
using pbs_protocol::Code;
using pbs_protocol::RequestType;

// Returns a reply with a code and, unless it is empty, a text.
pbs_protocol::Reply CodeReply(Code code, std::string text = "") {
  pbs_protocol::Reply reply;
  reply.code = code;
  if (!text.empty()) {
    reply.choice = Choice::kText;
    reply.text = std::move(text);
  }
  return reply;
}

pbs_protocol::Reply AttemptReply(Choice choice, std::string attempt) {
  pbs_protocol::Reply reply;
  reply.choice = choice;
  reply.text = std::move(attempt);
  return reply;
}

pbs_protocol::Reply RejectionReply(Code code, std::string text, RejectionReason reason) {
  pbs_protocol::Reply reply = CodeReply(code, std::move(text));
  reply.auxiliary = static_cast<int>(reason);
  return reply;
}

}  // namespace

NodeServer::NodeServer(std::unique_ptr<NodeEmulator> node, NodeServerOptions options)
    : node_(std::move(node)), options_(options), reports_(options.max_reports) {}

// ---- Sessions ----

void NodeServer::Open(SessionId id) {
  PbsSession& session = sessions_[id];
  if (sessions_.size() > options_.max_sessions) session.CloseAfterOutput();
}

void NodeServer::Receive(Micros now, SessionId id, std::string_view bytes) {
  const auto found = sessions_.find(id);
  if (found == sessions_.end() || found->second.closing()) return;
  found->second.AddInput(bytes);
  HandleRequests(now, id, &found->second);
}

void NodeServer::HandleRequests(Micros now, SessionId id, PbsSession* session) {
  while (!session->closing() && !session->awaits_node) {
    std::optional<Request> request = session->ReadRequest();
    if (!request) {
      if (session->closing()) sessions_with_output_.insert(id);  // to send the error reply
      break;
    }
    Handle(now, id, session, &*request);
  }
  session->DiscardReadInput();
}

void NodeServer::Close(Micros now, SessionId id) {
  const auto found = sessions_.find(id);
  if (found == sessions_.end()) return;
  const std::optional<PbsSession::Submission>& submission = found->second.submission;
  if (submission && submission->admission_requested) {
    node_->Abandon(now, submission->attempt);
    if (node_->FindSpec(submission->attempt) == nullptr) tasks_.erase(submission->attempt);
    awaiting_.erase(submission->attempt);
  }
  std::erase_if(awaiting_, [id](const auto& awaiting) { return awaiting.second == id; });
  sessions_.erase(found);
  sessions_with_output_.erase(id);
}

void NodeServer::Reply(SessionId id, PbsSession* session, const pbs_protocol::Reply& reply) {
  session->AddReply(reply);
  sessions_with_output_.insert(id);
}

void NodeServer::EndSubmission(PbsSession* session) {
  tasks_.erase(session->submission->attempt);
  session->submission.reset();
}

std::pair<NodeServer::SessionId, PbsSession*> NodeServer::TakeAwaiting(const std::string& attempt) {
  const auto awaiting = awaiting_.find(attempt);
  if (awaiting == awaiting_.end()) return {0, nullptr};
  const SessionId id = awaiting->second;
  awaiting_.erase(awaiting);
  PbsSession& session = sessions_.at(id);
  session.awaits_node = false;
  return {id, &session};
}

// ---- Requests ----

void NodeServer::Handle(Micros now, SessionId id, PbsSession* session, Request* request) {
  switch (request->type) {
    case RequestType::kConnect:
      return Reply(id, session, CodeReply(Code::kNone));
    case RequestType::kDisconnect:
      return session->CloseAfterOutput();
    case RequestType::kQueueJob:
      return HandleQueueJob(id, session, request);
    case RequestType::kJobScript:
      return HandleJobScript(id, session, *request);
    case RequestType::kReadyToCommit:
      return HandleReadyToCommit(now, id, session, *request);
    case RequestType::kCommit:
      return HandleCommit(now, id, session, *request);
    case RequestType::kDeleteJob:
      return HandleDeleteJob(now, id, session, *request);
    case RequestType::kSignalJob:
      return HandleSignalJob(now, id, session, *request);
    case RequestType::kSelectJobs:
      return HandleSelectJobs(id, session, *request);
    case RequestType::kStatusJob:
      return HandleStatusJob(now, id, session, *request);
    case RequestType::kStatusServer:
      return HandleStatusServer(now, id, session);
    default:
      return Reply(id, session, CodeReply(Code::kUnknownRequest));
  }
}

void NodeServer::HandleQueueJob(SessionId id, PbsSession* session, Request* request) {
  if (session->submission) {
    return Reply(id, session, CodeReply(Code::kTooMany, "a submission is in progress on this connection"));
  }
  if (request->id.empty()) {
    return Reply(id, session, CodeReply(Code::kInvalid, "a node takes named attempts only"));
  }
  if (tasks_.count(request->id) > 0) return Reply(id, session, CodeReply(Code::kExists));
  session->submission = PbsSession::Submission{request->id, ReadSubmittedTask(request), false};
  const SubmittedTask& task = session->submission->task;
  reports_.SetAddress(task.daemon, ReadReportAddress(task.attributes));
  Reply(id, session, AttemptReply(Choice::kQueued, request->id));
}

void NodeServer::HandleJobScript(SessionId id, PbsSession* session, const Request& request) {
  if (!session->IsSubmitting(request.id) || session->submission->admission_requested) {
    return Reply(id, session, CodeReply(Code::kUnknownJob));
  }
  std::string& script = session->submission->task.script;
  if (script.size() + request.script.size() > options_.max_script_bytes) {
    session->submission.reset();
    return Reply(id, session, CodeReply(Code::kBadValue, "script: too large"));
  }
  script += request.script;
  Reply(id, session, CodeReply(Code::kNone));
}

void NodeServer::HandleReadyToCommit(Micros now, SessionId id, PbsSession* session, const Request& request) {
  if (!session->IsSubmitting(request.id) || session->submission->admission_requested) {
    return Reply(id, session, CodeReply(Code::kUnknownJob));
  }
  PbsSession::Submission& submission = *session->submission;
  std::optional<TaskSpec> spec = ReadTaskSpec(submission.attempt, submission.task, options_.memory_unit);
  if (!spec) {
    session->submission.reset();
    return Reply(id, session,
                 CodeReply(Code::kBadValue, "Resource_List: expected ncpus, mem and walltime as numbers"));
  }
  submission.admission_requested = true;
  session->awaits_node = true;
  awaiting_[submission.attempt] = id;
  tasks_[submission.attempt] = submission.task;
  node_->RequestAdmission(now, std::move(*spec));
}

void NodeServer::HandleCommit(Micros now, SessionId id, PbsSession* session, const Request& request) {
  const bool admission_requested = session->HasRequestedAdmission(request.id);
  if (admission_requested && !failing_queue_.empty() && session->submission->task.queue == failing_queue_) {
    node_->Stop(now, request.id);
    EndSubmission(session);
    return Reply(id, session, CodeReply(Code::kSystem, "the node fails tasks of this queue"));
  }
  if (!admission_requested || !node_->Commit(now, request.id)) {
    if (admission_requested) EndSubmission(session);
    return Reply(id, session,
                 RejectionReply(Code::kUnknownJob, "not held: given up, too late, or never asked",
                                RejectionReason::kNotAccepting));
  }
  awaiting_[request.id] = id;
  session->submission.reset();
  session->awaits_node = true;
}

void NodeServer::HandleDeleteJob(Micros now, SessionId id, PbsSession* session, const Request& request) {
  const bool committed = node_->Stop(now, request.id);
  const bool is_known = committed || reports_.tasks().count(request.id) > 0;
  Reply(id, session, is_known ? CodeReply(Code::kNone) : UnknownAttemptReply(request));
}

void NodeServer::HandleSignalJob(Micros now, SessionId id, PbsSession* session, const Request& request) {
  const bool runs = node_->Signal(now, request.id, request.signal);
  Reply(id, session, CodeReply(runs ? Code::kNone : Code::kNotRunning));
}

void NodeServer::HandleSelectJobs(SessionId id, PbsSession* session, const Request& request) {
  const std::string key = ReadIdempotencyKey(request.attributes);
  // A reply without attempts would let the daemon start the task a second time.
  if (!pbs_server::IsUserKey(key)) {
    return Reply(id, session, CodeReply(Code::kBadValue, "key: expected a user, a line feed and a key"));
  }
  pbs_protocol::Reply reply;
  reply.choice = Choice::kSelected;
  const std::string* holder = node_->FindKeyHolder(key);
  if (holder != nullptr) reply.ids.push_back(*holder);
  Reply(id, session, reply);
}

void NodeServer::HandleStatusJob(Micros now, SessionId id, PbsSession* session, const Request& request) {
  if (request.id.empty()) return ListTasks(now, id, session, request);
  pbs_protocol::Reply reply;
  reply.choice = Choice::kStatus;
  const auto ended = reports_.tasks().find(request.id);
  if (node_->Query(now, request.id)) {
    reply.objects.push_back(EncodeTaskStatus(request.id, tasks_[request.id], kTaskRunning));
  } else if (ended != reports_.tasks().end()) {
    reply.objects.push_back(EncodeTaskStatus(request.id, ended->second, kTaskExiting));
  } else {
    return Reply(id, session, UnknownAttemptReply(request));
  }
  Reply(id, session, reply);
}

// Returns the reply to a request about an attempt that this process does not have. It has the start of this
// process if the request asks for it: an earlier process may have run the attempt.
pbs_protocol::Reply NodeServer::UnknownAttemptReply(const Request& request) const {
  pbs_protocol::Reply reply = CodeReply(Code::kUnknownJob);
  if (!RequestsProcessStart(request.attributes)) return reply;
  reply.choice = Choice::kStatus;
  reply.objects.push_back({pbs_protocol::ObjectType::kServer,
                           node_->config().name,
                           {EncodeProcessStarted(options_.process_started)}});
  return reply;
}

// Replies with the status of the node and of the tasks of one daemon, or of all daemons if none is named.
void NodeServer::ListTasks(Micros now, SessionId id, PbsSession* session, const Request& request) {
  const std::string daemon = ReadDaemon(request.attributes);
  if (!daemon.empty()) reports_.SetAddress(daemon, ReadReportAddress(request.attributes));
  const auto is_listed = [&daemon](const SubmittedTask& task) {
    return daemon.empty() || task.daemon == daemon;
  };
  pbs_protocol::Reply reply;
  reply.choice = Choice::kStatus;
  pbs_protocol::StatusObject self;
  self.type = pbs_protocol::ObjectType::kServer;
  self.name = node_->config().name;
  self.attributes.push_back(EncodeStarted(node_->started()));
  self.attributes.push_back(EncodeLoad(node_->ReportLoad(now)));
  if (RequestsProcessStart(request.attributes)) {
    self.attributes.push_back(EncodeProcessStarted(options_.process_started));
  }
  reply.objects.push_back(std::move(self));
  for (const std::string& attempt : node_->CommittedAttempts()) {
    const auto task = tasks_.find(attempt);
    if (task == tasks_.end() || !is_listed(task->second)) continue;
    reply.objects.push_back(EncodeTaskStatus(attempt, task->second, kTaskRunning));
  }
  for (const auto& [attempt, task] : reports_.tasks()) {
    if (is_listed(task)) reply.objects.push_back(EncodeTaskStatus(attempt, task, kTaskExiting));
  }
  Reply(id, session, reply);
}

void NodeServer::HandleStatusServer(Micros now, SessionId id, PbsSession* session) {
  pbs_protocol::StatusObject self;
  self.type = pbs_protocol::ObjectType::kServer;
  self.name = node_->config().name;
  self.attributes.push_back(EncodeLoad(node_->ReportLoad(now)));
  pbs_protocol::Reply reply;
  reply.choice = Choice::kStatus;
  reply.objects.push_back(std::move(self));
  Reply(id, session, reply);
}

// ---- Outputs of the node ----

void NodeServer::Dispatch(Micros now) {
  // After an answer, a session's buffered requests are handled, which may produce further outputs.
  for (;;) {
    const std::vector<NodeOutput> outputs = node_->TakeOutputs();
    if (outputs.empty()) return;
    for (const NodeOutput& output : outputs) {
      std::visit([this, now](const auto& message) { HandleOutput(now, message); }, output);
    }
  }
}

void NodeServer::HandleOutput(Micros now, const AttemptDecision& decision) {
  if (!decision.accepted) tasks_.erase(decision.attempt);
  const auto [id, session] = TakeAwaiting(decision.attempt);
  if (session == nullptr) return;
  if (decision.accepted) {
    Reply(id, session, AttemptReply(Choice::kReady, decision.attempt));
  } else {
    session->submission.reset();
    std::string text = decision.text + "\t" + pbs_server::FormatLoad(node_->ReportLoad(now));
    Reply(id, session, RejectionReply(Code::kNoRoom, std::move(text), decision.reason));
  }
  HandleRequests(now, id, session);
}

void NodeServer::HandleOutput(Micros now, const CommitAcknowledged& acknowledged) {
  const auto task = tasks_.find(acknowledged.attempt);
  if (task != tasks_.end()) task->second.acknowledged_at = now;
  const auto [id, session] = TakeAwaiting(acknowledged.attempt);
  if (session == nullptr) return;
  Reply(id, session, AttemptReply(Choice::kCommitted, acknowledged.attempt));
  HandleRequests(now, id, session);
}

void NodeServer::HandleOutput(Micros /*now*/, const RunTask& run) {
  process_orders_.push_back({run.attempt, ""});
}

void NodeServer::HandleOutput(Micros /*now*/, const SignalTask& signal) {
  process_orders_.push_back({signal.attempt, signal.signal});
}

void NodeServer::HandleOutput(Micros now, const TaskEnded& ended) {
  const auto task = tasks_.find(ended.attempt);
  if (task == tasks_.end()) return;
  std::string bytes = EncodeEndReport(node_->config().name, ended, task->second, now, node_->ReportLoad(now));
  reports_.Add({ended.attempt, std::move(bytes)}, std::move(task->second));
  tasks_.erase(task);
}

void NodeServer::HandleOutput(Micros /*now*/, const OverloadFailure& failure) {
  overload_failure_ = "fell over: " + std::to_string(failure.attempts) + " offers where " +
                      std::to_string(failure.max_attempts) + " are borne";
}

std::string* NodeServer::OutputOf(SessionId id) {
  const auto found = sessions_.find(id);
  return found == sessions_.end() ? nullptr : found->second.output();
}

bool NodeServer::WantsClose(SessionId id) const {
  const auto found = sessions_.find(id);
  return found == sessions_.end() || found->second.closing();
}

std::vector<NodeServer::SessionId> NodeServer::TakeConnectionsWithOutput() {
  const std::set<SessionId> ids = std::exchange(sessions_with_output_, {});
  return {ids.begin(), ids.end()};
}

const SubmittedTask* NodeServer::FindTask(const std::string& attempt) const {
  const auto found = tasks_.find(attempt);
  return found == tasks_.end() ? nullptr : &found->second;
}

}  // namespace mountflow::node_agent
