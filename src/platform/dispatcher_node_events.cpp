// The part of the dispatcher that handles the messages of nodes, and the loss of nodes.
#include <cstddef>
#include <string>
#include <string_view>

#include "platform/dispatcher.hpp"
#include "platform/message_mapping.hpp"

namespace mountflow::platform {
namespace {

constexpr std::string_view kNodeLostReason = "the node's process has ended or it is silent";

TaskEndReport MakeTaskEndReport(const NodeMessage& message) {
  TaskEndReport end;
  end.cause = message.cause.value_or(kCauseFailed);
  end.reason = ReadRejectionReason(message.Text(kStatusText));
  return end;
}

}  // namespace

void Dispatcher::HandleNodeEvents(Micros now) {
  now_ = now;
  for (std::vector<NodeConnectionEvent> events = connections_->TakeEvents(); !events.empty();
       events = connections_->TakeEvents()) {
    for (const NodeConnectionEvent& event : events) HandleNodeEvent(event);
  }
}

void Dispatcher::HandleNodeEvent(const NodeConnectionEvent& event) {
  using Kind = NodeConnectionEvent::Kind;
  if (event.kind == Kind::kNodeLost) return EndLostTasks(event.node, kNever, kNodeLostReason);
  Request* request = requests_.FindByUid(event.uid);
  if (request == nullptr) return OnUnknownTask(event);
  // All attempts of a request have the same uid and may be sent to different nodes. Only messages from the
  // node of the latest attempt count.
  if (!request->HasAttempt() || request->node != event.node) return;
  switch (event.kind) {
    case Kind::kStarted:
      return OnStarted(*request, event);
    case Kind::kEnded:
      if (event.of_running_task == request->IsRunning()) OnEnded(*request, event.message);
      return;
    case Kind::kNeverRan:
      return EndAttempt(*request, {AttemptResult::kUnreachable});
    case Kind::kMayHaveRun:
      return EndAttempt(*request, {AttemptResult::kLost});
    case Kind::kProgress:
      return OnProgress(*request, event.message);
    case Kind::kNodeLost:
      return;
  }
}

// Stores the end of a task that no client has named yet. After a restart of this process, the nodes report
// what ended meanwhile as soon as they are connected, which may be before the clients name their tasks.
void Dispatcher::OnUnknownTask(const NodeConnectionEvent& event) {
  if (trace_) trace_(now_, "message about an unknown task " + WriteHex(event.uid));
  if (event.kind != NodeConnectionEvent::Kind::kEnded) return;
  ended_tasks_.Add(now_, event.node, event.uid, MakeTaskEndReport(event.message));
}

// Ends the running tasks of a node whose process was known before `known_before`; kNever: all of them. That
// process has ended, and its tasks with it. Their clients are notified.
void Dispatcher::EndLostTasks(NodeId node, Micros known_before, std::string_view reason) {
  const std::string name = nodes_.NameOf(node);  // the last task of an unlisted node also removes the name
  std::size_t lost = 0;
  for (const RequestId id : nodes_.RunningTasks(node)) {
    Request* request = requests_.Find(id);
    if (request == nullptr || request->process_known_since >= known_before) continue;
    const bool terminated = request->state == RequestState::kTerminating;
    if (!terminated) NotifyClient(*request, ClientMessageKind::kStop, kCauseFailed);
    EndAttempt(*request, {terminated ? AttemptResult::kCancelled : AttemptResult::kLost, true});
    ++lost;
  }
  if (lost == 0) return;
  AddLogRecord({logging::LogEvent::kNodeTasksLost,
                {{logging::kNodeField, name},
                 {logging::kTasksField, std::uint64_t{lost}},
                 {logging::kReasonField, std::string(reason)}}});
}

void Dispatcher::OnStarted(Request& request, const NodeConnectionEvent& event) {
  if (request.IsRunning()) return;
  request.state = RequestState::kRunning;
  request.process_known_since = event.connected_at;
  SetTimer(request, kNever);
  nodes_.AddRunningTask(request.node, request.id);
  requests_.CountRunning(request);
  connections_->AddRunningTask(now_, request.node);
  pending_events_.push_back(
      TaskStarted{request.id, request.attempt, request.node, now_ - request.attempt_started_at});
  ClientMessage answer;
  answer.kind = ClientMessageKind::kAnswer;
  answer.description = event.message.Text(kDescription);
  Answer(request, std::move(answer));
  requests_.ReleasePayload(request);
  RunScheduler();
}

void Dispatcher::OnEnded(Request& request, const NodeMessage& message) {
  TaskEndReport end = MakeTaskEndReport(message);
  const AttemptResult result = ResultOfCause(end.cause, request.IsRunning());
  // A client that ended its task, or was notified to migrate it, gets no further notification. If an earlier
  // process terminated the task, the client that has named it since does not know that.
  const bool client_knows = result == AttemptResult::kCancelled && !request.WasRecovered();
  if (request.state == RequestState::kRunning && !client_knows) {
    NotifyClient(request, ClientMessageKind::kStop, end.cause);
  }
  if (request.IsRunning()) {
    // The client may name the task once more before it reads the notification.
    end.counted = true;
    ended_tasks_.Add(now_, request.node, request.uid, end);
  }
  EndAttempt(request, {result, request.IsRunning(), end.reason, ReadReport(message)});
}

void Dispatcher::OnProgress(const Request& request, const NodeMessage& message) {
  const auto kind = ReadProgressKind(message.Text(kStatusText));
  if (!kind.has_value()) return;
  TaskProgress progress;
  progress.kind = *kind;
  progress.request = request.id;
  progress.attempt = request.attempt;
  progress.node = request.node;
  ReadReportedNumber(message.Text(kProgressValue), &progress.value);
  pending_events_.push_back(progress);
  RunScheduler();
}

}  // namespace mountflow::platform
