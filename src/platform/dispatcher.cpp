#include "platform/dispatcher.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "platform/event_trace.hpp"
#include "platform/message_mapping.hpp"

namespace mountflow::platform {
namespace {

// Maximum number of log records per turn, so that a flood of records does not use up memory that requests
// need.
constexpr std::size_t kMaxLogRecords = 100;

// Start times of nodes are whole milliseconds, which may be rounded up.
constexpr Micros kStartTimeResolution = 1000;

constexpr std::string_view kNodeRestartedReason = "the node has restarted";

// Returns the value of a field, or an empty string if the message does not have it.
std::string FieldOf(const ClientMessage& message, const std::string& name) {
  const auto field = message.fields.find(name);
  return field == message.fields.end() ? std::string() : field->second;
}

Micros TimeBetween(Micros from, Micros to) { return to > from ? to - from : 0; }

}  // namespace

Dispatcher::Dispatcher(const settings::WireSettings& wire, std::uint64_t seed, NodeConnections* connections,
                       std::size_t max_description_bytes)
    : wire_(wire),
      connections_(connections),
      scheduler_(wire.settings, seed),
      requests_(max_description_bytes) {}

std::vector<logging::LogRecord> Dispatcher::TakeLogRecords() { return std::exchange(log_records_, {}); }

void Dispatcher::AddLogRecord(logging::LogRecord record) {
  if (log_records_.size() < kMaxLogRecords) log_records_.push_back(std::move(record));
}

// ---- The node list ----

void Dispatcher::Start(Micros now, const std::vector<NodeListEvent>& cached_changes) {
  std::map<std::string, ListedNode> nodes;
  for (const NodeListEvent& change : cached_changes) {
    if (change.whole) nodes.clear();
    for (const ListedNode& node : change.nodes) nodes[node.name] = node;
  }
  NodeListEvent snapshot;
  snapshot.whole = true;
  for (auto& [name, node] : nodes) snapshot.nodes.push_back(std::move(node));
  UpdateNodes(now, snapshot, NodeListKind::kCached);
}

void Dispatcher::ApplyNodeList(Micros now, const NodeListEvent& change) {
  UpdateNodes(now, change, change.whole ? NodeListKind::kSnapshot : NodeListKind::kDelta);
}

void Dispatcher::UpdateNodes(Micros now, const NodeListEvent& change, NodeListKind kind) {
  now_ = now;
  NodeListUpdate update;
  update.kind = kind;
  std::set<std::string> names;
  for (const ListedNode& node : change.nodes) {
    names.insert(node.name);
    update.nodes.push_back(ToNodeEntry(node, nodes_.IdOf(node.name), wire_));
    const NodeEntry& entry = update.nodes.back();
    if (entry.state == NodeState::kGone) {
      nodes_.MarkUnlisted(entry.node);
      connections_->RemoveNode(now, entry.node);
    } else {
      OnNodeListed(entry, node.address);
    }
  }
  if (change.whole) {
    for (const NodeId id : nodes_.NotNamedIn(names)) {
      nodes_.MarkUnlisted(id);
      connections_->RemoveNode(now, id);
    }
  }
  pending_events_.push_back(std::move(update));
  RunScheduler();
  HandleNodeEvents(now);
  nodes_.ForgetUnlisted();
}

void Dispatcher::OnNodeListed(const NodeEntry& entry, const std::string& address) {
  nodes_.MarkListed(entry.node);
  connections_->SetNodeAddress(now_, entry.node, address);
  if (!nodes_.RecordProcessStart(entry.node, entry.started_at)) return;
  const Micros earliest_start = TimeBetween(kStartTimeResolution, entry.started_at);
  // The scheduler gets the ends of the tasks before the new list entry, so that they do not count as failures
  // of the new process.
  EndLostTasks(entry.node, earliest_start, kNodeRestartedReason);
  connections_->DropConnectionToEarlierProcess(now_, entry.node, earliest_start);
}

// ---- Requests of clients ----

SubmitResult Dispatcher::Submit(Micros now, ConnId conn, ClientHost host, const ClientMessage& message) {
  now_ = now;
  const auto request = ReadLaunchRequest(message, wire_, now_);
  const std::string& running_at = request ? request->running_at : request.error().running_at;
  const bool runs_already = !running_at.empty();
  if (!runs_already) last_submitted_at_ = now_;
  if (Request* known = requests_.FindByUid(message.uid); known != nullptr) {
    if (!request || !runs_already) return SubmitResult::kDuplicateUid;
    MoveToConnection(*known, conn, host);
    return SubmitResult::kAlreadyRunning;
  }
  if (!request) {
    AddLogRecord(
        {logging::LogEvent::kUnreadableRequest, {{logging::kReasonField, Describe(request.error())}}});
    notifications_.AddFinalAnswer(conn, MakeNegativeAnswer(message.uid, kCauseInvalidRequest));
    return SubmitResult::kSubmitted;
  }
  if (runs_already) return Recover(request->task, running_at, message.uid, conn, host);
  return SubmitNew(request->task, message, conn, host);
}

// Makes the connection on which a client has named its running task again the first choice for notifications
// about the task.
void Dispatcher::MoveToConnection(Request& request, ConnId conn, ClientHost host) {
  if (!request.IsRunning()) return;
  requests_.UncountRunning(request);
  request.conn = conn;
  request.host = host;
  requests_.CountRunning(request);
}

SubmitResult Dispatcher::Recover(Task task, const std::string& node_name, RequestUid uid, ConnId conn,
                                 ClientHost host) {
  const NodeId node = nodes_.IdOf(node_name);
  std::optional<TaskEndReport> end = ended_tasks_.Find(now_, node, uid);
  if (end) notifications_.AddTaskNotification(conn, host, uid, ClientMessageKind::kStop, end->cause);
  if (end && end->counted) return SubmitResult::kAlreadyRunning;
  if (!requests_.HasCapacityForRunningTask()) return SubmitResult::kSubmitted;
  Request& request = requests_.Add(uid, conn, host);
  request.state = RequestState::kRunning;
  request.answered = true;
  request.deadline = task.deadline;
  request.node = node;
  request.process_known_since = now_;
  nodes_.AddRunningTask(node, request.id);
  requests_.CountRunning(request);
  task.request = request.id;
  pending_events_.push_back(TaskRecovered{task, node});
  RunScheduler();
  connections_->AddRunningTask(now_, node, true);
  if (end) {
    EndAttempt(request, {ResultOfCause(end->cause, true), true, end->reason});
    end->counted = true;
    ended_tasks_.Add(now_, node, uid, *end);
  }
  HandleNodeEvents(now_);
  return SubmitResult::kAlreadyRunning;
}

SubmitResult Dispatcher::SubmitNew(Task task, const ClientMessage& message, ConnId conn, ClientHost host) {
  if (!requests_.HasCapacityForRequest(conn, message.description.size())) {
    notifications_.AddFinalAnswer(conn, MakeNegativeAnswer(message.uid, kCauseRejected));
    return SubmitResult::kSubmitted;
  }
  ended_tasks_.Discard(message.uid);
  Request& request = requests_.Add(message.uid, conn, host);
  request.deadline = task.deadline;
  LaunchPayload payload;
  payload.task_class = FieldOf(message, "class");
  payload.task_name = FieldOf(message, "key");
  payload.idempotency_key = FieldOf(message, "idem");
  payload.description = message.description;
  requests_.AddUnanswered(request, std::move(payload));
  task.request = request.id;
  pending_events_.push_back(TaskSubmitted{task});
  RunScheduler();
  HandleNodeEvents(now_);
  return SubmitResult::kSubmitted;
}

void Dispatcher::Cancel(Micros now, RequestUid uid) {
  now_ = now;
  Request* request = requests_.FindByUid(uid);
  if (request == nullptr || request->state == RequestState::kTerminating) return;
  pending_events_.push_back(TaskCancelled{request->id});
  if (request->state == RequestState::kRunning) {
    Terminate(*request);
    RunScheduler();
  } else {
    requests_.MarkAnswered(*request);
    connections_->CancelAttempt(now, request->node, uid);
    if (request->state == RequestState::kAttemptInFlight) {
      EndAttempt(*request, {AttemptResult::kCancelled, true});
    } else {
      RemoveRequest(*request);
      RunScheduler();
    }
  }
  HandleNodeEvents(now);
}

void Dispatcher::OnClientDisconnected(Micros now, ConnId conn) {
  for (const RequestId id : requests_.UnansweredOn(conn)) {
    if (const Request* request = requests_.Find(id); request != nullptr) Cancel(now, request->uid);
  }
}

void Dispatcher::FailUnanswered(Micros now) {
  now_ = now;
  for (const RequestId id : requests_.Unanswered()) {
    Request* request = requests_.Find(id);
    if (request == nullptr || request->answered) continue;
    const RequestUid uid = request->uid;
    Answer(*request, MakeNegativeAnswer(uid, kCauseFailed));
    Cancel(now, uid);
  }
}

// ---- Records ----

// Reports the end of an attempt or running task to the scheduler. No other function does so. `request` may be
// removed by this call.
void Dispatcher::EndAttempt(Request& request, const AttemptOutcome& outcome) {
  if (!request.HasAttempt()) return;
  const bool was_running = request.IsRunning();
  request.state = RequestState::kPending;
  SetTimer(request, kNever);
  if (was_running && nodes_.RemoveRunningTask(request.node, request.id)) {
    connections_->RemoveRunningTask(request.node);
    requests_.UncountRunning(request);
  }
  AttemptEnded ended;
  ended.request = request.id;
  ended.attempt = request.attempt;
  ended.node = request.node;
  ended.elapsed = TimeBetween(request.attempt_started_at, now_);
  ended.request_closed = outcome.request_closed;
  ended.result = outcome.result;
  ended.reason = outcome.reason;
  ended.report = outcome.report;
  pending_events_.push_back(ended);
  if (request.answered) RemoveRequest(request);
  RunScheduler();
}

void Dispatcher::RemoveRequest(Request& request) {
  SetTimer(request, kNever);
  requests_.Remove(request.id);
}

// Replaces the timer of a request. kNever removes it.
void Dispatcher::SetTimer(Request& request, Micros at) {
  if (request.timer_at != kNever) request_timers_.Remove(request.timer_at, request.id);
  request.timer_at = at;
  if (at != kNever) request_timers_.Add(at, request.id);
}

void Dispatcher::Answer(Request& request, ClientMessage message) {
  if (request.answered) return;
  message.uid = request.uid;
  notifications_.AddFinalAnswer(request.conn, std::move(message));
  requests_.MarkAnswered(request);
}

void Dispatcher::NotifyClient(const Request& request, ClientMessageKind kind, int cause) {
  notifications_.AddTaskNotification(request.conn, request.host, request.uid, kind, cause);
}

void Dispatcher::Terminate(Request& request) {
  request.state = RequestState::kTerminating;
  connections_->TerminateTask(now_, request.node, request.uid);
  SetTimer(request, now_ + kTerminationTimeout);
}

// ---- Time ----

Micros Dispatcher::NextDue() const {
  return std::min(request_timers_.NextDue(), scheduler_timers_.NextDue());
}

void Dispatcher::Tick(Micros now) {
  now_ = now;
  while (const auto token = scheduler_timers_.TakeDue(now)) {
    pending_events_.push_back(TimerFired{*token});
    RunScheduler();
  }
  while (const auto id = request_timers_.TakeDue(now)) {
    Request* request = requests_.Find(*id);
    if (request == nullptr) continue;
    request->timer_at = kNever;
    OnTimer(*request);
  }
  HandleNodeEvents(now);
}

// The node did not report the end of a terminated task. Until it has confirmed the termination, the task may
// still run and use capacity.
void Dispatcher::OnTerminationTimeout(Request& request) {
  if (connections_->IsTerminationPending(request.node, request.uid)) {
    return SetTimer(request, now_ + kTerminationTimeout);
  }
  EndAttempt(request, {AttemptResult::kCancelled, true});
}

void Dispatcher::OnTimer(Request& request) {
  if (request.IsRunning()) return OnTerminationTimeout(request);
  // The cancellation must be sent before the scheduler can start the next attempt on another node.
  connections_->CancelAttempt(now_, request.node, request.uid);
  EndAttempt(request, {AttemptResult::kTimedOut});
}

}  // namespace mountflow::platform
