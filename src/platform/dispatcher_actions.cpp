// The part of the dispatcher that passes events to the scheduler and carries out its actions.
#include <algorithm>
#include <utility>
#include <variant>

#include "platform/dispatcher.hpp"
#include "platform/event_trace.hpp"
#include "platform/message_mapping.hpp"

namespace mountflow::platform {
namespace {

constexpr Micros kMicrosPerMilli = 1000;

// Returns the message that starts an attempt. `wait` is how long the scheduler waits for the node's answer,
// in microseconds.
NodeMessage MakeLaunchMessage(const Request& request, Micros wait) {
  const LaunchPayload& payload = request.payload;
  NodeMessage message;
  message.kind = NodeMessageKind::kLaunch;
  message.uid = request.uid;
  message.params[kClass] = payload.task_class;
  message.params[kWait] = std::to_string(std::max<Micros>(1, wait / kMicrosPerMilli));
  message.params[kTaskName] = payload.task_name;
  if (!payload.idempotency_key.empty()) message.params[kDeduplicationKey] = payload.idempotency_key;
  if (!payload.description.empty()) message.params[kDescription] = payload.description;
  return message;
}

}  // namespace

void Dispatcher::RunScheduler() {
  if (scheduler_runs_) return;  // the outer call handles events that an action caused
  scheduler_runs_ = true;
  std::vector<Action> actions;
  while (!pending_events_.empty()) {
    const Event event = std::move(pending_events_.front());
    pending_events_.pop_front();
    actions.clear();
    scheduler_.Handle(now_, event, &actions);
    if (trace_) TraceTurn(event, actions);
    for (const Action& action : actions) {
      std::visit([this](const auto& typed_action) { Execute(typed_action); }, action);
    }
  }
  scheduler_runs_ = false;
}

void Dispatcher::TraceTurn(const Event& event, const std::vector<Action>& actions) {
  std::string text = Describe(event);
  if (const auto* recovered = std::get_if<TaskRecovered>(&event)) {
    const Request* request = requests_.Find(recovered->task.request);
    if (request != nullptr) text += " uid=" + WriteHex(request->uid);
  }
  if (!text.empty()) trace_(now_, text);
  for (const Action& action : actions) {
    const std::string action_text = Describe(action);
    if (!action_text.empty()) trace_(now_, "  " + action_text);
  }
}

void Dispatcher::Execute(const StartAttempt& action) {
  Request* request = requests_.Find(action.request);
  if (request == nullptr) return;
  request->state = RequestState::kAttemptInFlight;
  request->attempt = action.attempt;
  request->node = action.node;
  request->attempt_started_at = now_;
  // The client may have closed its connection before the request was read, or between two attempts, without
  // the close being read yet. No client would wait for the answer to this attempt, so it is not started.
  if (client_has_left_ && client_has_left_(request->conn)) {
    pending_events_.push_back(TaskCancelled{action.request});
    requests_.MarkAnswered(*request);
    return EndAttempt(*request, {AttemptResult::kNotSent, true});
  }
  const Micros deadline =
      action.deadline == 0 ? request->deadline : std::min(action.deadline, request->deadline);
  SetTimer(*request, deadline);
  const Micros wait = deadline > now_ ? deadline - now_ : 0;
  std::string bytes = EncodeNodeMessage(MakeLaunchMessage(*request, wait));
  // The message exceeds the maximum size of the protocol, so it cannot be sent and the task never ran.
  if (bytes.empty()) return EndAttempt(*request, {AttemptResult::kNotSent});
  connections_->Launch(now_, action.node, request->uid, std::move(bytes));
}

void Dispatcher::Execute(const CancelAttempt& action) {
  Request* request = requests_.Find(action.request);
  if (request == nullptr || request->state != RequestState::kAttemptInFlight) return;
  connections_->CancelAttempt(now_, request->node, request->uid);
  EndAttempt(*request, {AttemptResult::kCancelled});
}

void Dispatcher::Execute(const RejectTask& action) {
  Request* request = requests_.Find(action.request);
  if (request == nullptr) return;
  ClientMessage answer = MakeNegativeAnswer(request->uid, kCauseRejected);
  if (action.retry_after > 0) {
    const Micros rounded_up = action.retry_after + kMicrosPerMilli - 1;
    answer.fields["wait"] = std::to_string(rounded_up / kMicrosPerMilli);
  }
  Answer(*request, std::move(answer));
  if (!request->HasAttempt()) RemoveRequest(*request);
}

void Dispatcher::Execute(const FailTask& action) {
  Request* request = requests_.Find(action.request);
  if (request == nullptr) return;
  Answer(*request, MakeNegativeAnswer(request->uid, kCauseFailed));
  if (!request->HasAttempt()) RemoveRequest(*request);
}

void Dispatcher::Execute(const MigrateTask& action) {
  Request* request = requests_.Find(action.request);
  if (request == nullptr || request->state != RequestState::kRunning) return;
  NotifyClient(*request, ClientMessageKind::kMigrate, 0);
  Terminate(*request);
}

void Dispatcher::Execute(const mountflow::SetTimer& action) {
  scheduler_timers_.Add(action.at, action.token);
}

void Dispatcher::Execute(const LogLine& action) {
  AddLogRecord({logging::LogEvent::kScheduler, {{logging::kTextField, action.text}}});
}

}  // namespace mountflow::platform
