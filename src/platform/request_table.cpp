#include "platform/request_table.hpp"

#include <algorithm>
#include <utility>

#include "platform/event_trace.hpp"
#include "platform/message_mapping.hpp"

namespace mountflow::platform {
namespace {

constexpr std::size_t kMostLog = 100;  // lines a turn
}  // namespace

Dispatcher::Dispatcher(const settings::WireSettings& wire, std::uint64_t seed, NodeConnections* links,
                       std::size_t most_held)
    : wire_(wire), links_(links), scheduler_(wire.settings, seed), most_held_(most_held) {}

std::vector<ClientNotification> Dispatcher::Take() { return std::exchange(outs_, {}); }
std::vector<std::string> Dispatcher::TakeLog() { return std::exchange(log_, {}); }

// ---- The fleet ----

// Equal at all schedulers and after a restart: the module agrees on homes of services by this number.
NodeId Dispatcher::IdOf(const std::string& name) {
  if (const auto it = ids_.find(name); it != ids_.end()) return it->second;
  std::uint32_t hash = 2166136261u;
  for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 16777619u;
  while (names_.count(hash) > 0) ++hash;
  ids_[name] = hash;
  names_[hash] = name;
  return hash;
}

NodeEntry Dispatcher::EntryOf(const ListedNode& machine) {
  NodeEntry entry;
  entry.node = IdOf(machine.name);
  entry.rack = machine.rack;
  entry.zone = IndexOf(wire_.zone_names, machine.zone).value_or(0);
  entry.kind = IndexOf(wire_.kind_names, machine.kind).value_or(0);
  entry.started_at = machine.started_at;
  entry.state = machine.status == "ready"      ? NodeState::kReady
                : machine.status == "draining" ? NodeState::kDraining
                                               : NodeState::kGone;
  entry.free_cores = machine.free_cores;
  entry.free_memory = machine.free_memory;
  return entry;
}

void Dispatcher::Start(Micros now, const std::vector<NodeListChange>& known) {
  // Laid over each other first: the module starts with one list, as it was remembered.
  std::map<std::string, ListedNode> list;
  for (const NodeListChange& change : known) {
    if (change.whole) list.clear();
    for (const ListedNode& machine : change.nodes) list[machine.name] = machine;
  }
  NodeListChange all;
  all.whole = true;
  for (auto& [name, machine] : list) all.nodes.push_back(std::move(machine));
  Fleet(now, all, true);
}

void Dispatcher::Fleet(Micros now, const NodeListChange& change, bool remembered) {
  now_ = now;
  NodeListUpdate view;
  view.kind = remembered     ? NodeListKind::kCached
              : change.whole ? NodeListKind::kSnapshot
                             : NodeListKind::kDelta;
  std::set<std::string> named;
  for (const ListedNode& machine : change.nodes) {
    named.insert(machine.name);
    view.nodes.push_back(EntryOf(machine));
    const NodeEntry& entry = view.nodes.back();
    if (entry.state == NodeState::kGone) {
      listed_.erase(entry.node);
      links_->Gone(now, entry.node);
    } else {
      listed_.insert(entry.node);
      links_->Know(now, entry.node, machine.address);
    }
  }
  if (change.whole) {
    for (const auto& [name, id] : ids_) {
      if (named.count(name) > 0) continue;
      listed_.erase(id);
      links_->Gone(now, id);
    }
  }
  events_.push_back(std::move(view));
  Run();
  FromLinks(now);
  std::vector<NodeId> unlisted;
  for (const auto& [id, name] : names_) {
    if (listed_.count(id) == 0) unlisted.push_back(id);
  }
  for (const NodeId id : unlisted) ForgetName(id);
}

// Names that come once must not add up for ever. What still holds tasks keeps its number.
void Dispatcher::ForgetName(NodeId id) {
  const auto it = names_.find(id);
  if (it == names_.end() || listed_.count(id) > 0 || standing_.count(id) > 0) return;
  ids_.erase(it->second);
  names_.erase(it);
}

// ---- Set-ups ----

void Dispatcher::Refuse(ConnId conn, RequestUid uid, int cause) {
  ClientNotification out;
  out.conn = conn;
  out.answer = true;
  out.message.kind = ClientMessageKind::kStop;
  out.message.uid = uid;
  out.message.cause = cause;
  outs_.push_back(std::move(out));
}

Dispatcher::Took Dispatcher::SetUp(Micros now, ConnId conn, Host host, const ClientMessage& message) {
  now_ = now;
  const auto request = ReadLaunchRequest(message, wire_, now_);
  const std::string& at = request ? request->running_at : request.error().running_at;
  if (at.empty()) last_asked_ = now_;
  if (by_uid_.count(message.uid) > 0) {
    if (!request || at.empty()) return Took::kTwice;
    // Handed over though it is held: its owner is now heard on this connection.
    One& held = tasks_.at(by_uid_.at(message.uid));
    if (held.placed) {
      CountStanding(held.conn, -1);
      CountStanding(conn, 1);
      held.conn = conn;
      held.host = host;
    }
    return Took::kRunning;
  }
  if (!request) {
    if (log_.size() < kMostLog)
      log_.push_back("a launch request that cannot be used: " + Describe(request.error()));
    Refuse(conn, message.uid, kCauseBad);
    return Took::kAsked;
  }
  if (tasks_.size() >= kMostTasks || (at.empty() && (open_ >= kMostOpen || open_on(conn) >= kMostOpenHere ||
                                                     held_ + message.description.size() > most_held_))) {
    if (at.empty()) Refuse(conn, message.uid, kCauseRefused);
    return Took::kAsked;
  }
  Task task = request->task;
  task.request = ++next_;
  One& one = tasks_[task.request];
  one.uid = message.uid;
  one.conn = conn;
  one.host = host;
  one.deadline = task.deadline;
  by_uid_[message.uid] = task.request;
  if (!at.empty()) {
    one.answered = one.out = one.placed = true;
    one.node = IdOf(at);
    standing_[one.node].insert(task.request);
    CountStanding(conn, 1);
    events_.push_back(TaskRecovered{task, one.node});
    Run();
    links_->Stand(now, one.node, true);
    FromLinks(now);
    return Took::kRunning;
  }
  ++open_;
  open_on_[conn].insert(task.request);
  const auto field = [&](const char* name) {
    const auto it = message.fields.find(name);
    return it == message.fields.end() ? std::string() : it->second;
  };
  one.task_class = field("class");
  one.name = field("key");
  one.idem = field("idem");
  one.description = message.description;
  held_ += one.description.size();
  events_.push_back(TaskSubmitted{task});
  Run();
  FromLinks(now);
  return Took::kAsked;
}

void Dispatcher::Offered(const StartAttempt& offer) {
  const auto it = tasks_.find(offer.request);
  if (it == tasks_.end()) return;
  One& one = it->second;
  one.out = true;
  one.attempt = offer.attempt;
  one.node = offer.node;
  one.sent = now_;
  // Its owner may have gone while the set-up waited to be read, or between two attempts, and nothing was read
  // of that yet: an attempt that begins now would be for nobody.
  if (has_left_ && has_left_(one.conn)) {
    events_.push_back(TaskCancelled{offer.request});
    Answered(one);
    return End(one, offer.request, AttemptResult::kNotSent, RejectionReason::kUnspecified, {}, true);
  }
  const Micros until = offer.deadline == 0 ? one.deadline : std::min(offer.deadline, one.deadline);
  Due(offer.request, one, until);
  NodeMessage message;
  message.kind = NodeMessageKind::kLaunch;
  message.uid = one.uid;
  message.params[kClass] = one.task_class;
  message.params[kWait] = std::to_string(std::max<Micros>(1, until > now_ ? (until - now_) / 1000 : 0));
  message.params[kTaskName] = one.name;
  if (!one.idem.empty()) message.params[kIdem] = one.idem;
  if (!one.description.empty()) message.params[kDescription] = one.description;
  std::string bytes = EncodeNodeMessage(message);
  // Too long for this wire: no machine can get it, so it never ran.
  if (bytes.empty())
    return End(one, offer.request, AttemptResult::kNotSent, RejectionReason::kUnspecified, {}, false);
  links_->SetUp(now_, offer.node, one.uid, std::move(bytes));
}

void Dispatcher::Due(RequestId id, One& one, Micros at) {
  if (one.until != kNever) due_.erase({one.until, id});
  one.until = at;
  if (at != kNever) due_.insert({at, id});
}

// ---- Outcomes ----

// The one place that tells the module how an attempt or a task ended.
void Dispatcher::End(One& one, RequestId id, AttemptResult ending, RejectionReason cause, LoadReport report,
                     bool closed) {
  if (!one.out) return;
  one.out = false;
  Due(id, one, kNever);
  if (one.placed) {
    const auto there = standing_.find(one.node);
    if (there != standing_.end() && there->second.erase(id) > 0) {
      links_->Unstand(one.node);
      CountStanding(one.conn, -1);
    }
    if (there != standing_.end() && there->second.empty()) {
      standing_.erase(there);
      ForgetName(one.node);
    }
  }
  AttemptEnded outcome;
  outcome.request = id;
  outcome.attempt = one.attempt;
  outcome.node = one.node;
  outcome.elapsed = now_ > one.sent ? now_ - one.sent : 0;
  outcome.request_closed = closed;
  outcome.result = ending;
  outcome.reason = cause;
  outcome.report = report;
  events_.push_back(std::move(outcome));
  if (one.answered) Drop(id);
  Run();
}

void Dispatcher::CountStanding(ConnId conn, int change) {
  std::size_t& count = standing_on_[conn];
  count += static_cast<std::size_t>(change);
  if (count == 0) standing_on_.erase(conn);
}

void Dispatcher::Drop(RequestId id) {
  const auto it = tasks_.find(id);
  if (it == tasks_.end()) return;
  Due(id, it->second, kNever);
  held_ -= it->second.description.size();
  by_uid_.erase(it->second.uid);
  tasks_.erase(it);
}

void Dispatcher::Answered(One& one) {
  if (one.answered) return;
  one.answered = true;
  --open_;
  const auto it = open_on_.find(one.conn);
  if (it == open_on_.end()) return;
  it->second.erase(by_uid_.at(one.uid));
  if (it->second.empty()) open_on_.erase(it);
}

void Dispatcher::Answer(One& one, ClientMessage message) {
  if (one.answered) return;
  ClientNotification out;
  out.conn = one.conn;
  out.answer = true;
  message.uid = one.uid;
  out.message = std::move(message);
  outs_.push_back(std::move(out));
  Answered(one);
}

void Dispatcher::Tell(const One& one, ClientMessageKind kind, int cause) {
  ClientNotification out;
  out.conn = one.conn;
  out.host = one.host;
  out.anywhere = true;
  out.message.kind = kind;
  out.message.uid = one.uid;
  if (kind == ClientMessageKind::kStop) out.message.cause = cause;
  outs_.push_back(std::move(out));
}

void Dispatcher::FromLinks(Micros now) {
  now_ = now;
  for (std::vector<NodeConnectionEvent> events = links_->Take(); !events.empty(); events = links_->Take()) {
    for (NodeConnectionEvent& event : events) {
      if (event.kind == NodeConnectionEvent::Kind::kMachineLost) {
        const auto there = standing_.find(event.node);
        if (there == standing_.end()) continue;
        const std::set<RequestId> lost = there->second;
        for (const RequestId id : lost) {
          One& one = tasks_.at(id);
          if (!one.ended) Tell(one, ClientMessageKind::kStop, kCauseFailed);
          End(one, id, one.ended ? AttemptResult::kCancelled : AttemptResult::kLost,
              RejectionReason::kUnspecified, {}, true);
        }
        continue;
      }
      const auto by_uid = by_uid_.find(event.uid);
      if (by_uid == by_uid_.end()) {
        if (trace_) trace_(now, "word of an unknown task " + WriteHex(event.uid));
        continue;
      }
      const RequestId id = by_uid->second;
      One& one = tasks_.at(id);
      // One id goes to several machines: word of another attempt than the one that is out is not taken.
      if (!one.out || one.node != event.node) continue;
      const NodeMessage& message = event.message;
      switch (event.kind) {
        case NodeConnectionEvent::Kind::kAnswered: {
          if (one.placed) break;
          one.placed = true;
          Due(id, one, kNever);
          standing_[one.node].insert(id);
          CountStanding(one.conn, 1);
          links_->Stand(now, one.node);
          events_.push_back(TaskStarted{id, one.attempt, one.node, now > one.sent ? now - one.sent : 0});
          ClientMessage answer;
          answer.kind = ClientMessageKind::kAnswer;
          answer.description = message.Text(kDescription);
          Answer(one, std::move(answer));
          held_ -= one.description.size();
          for (std::string* text : {&one.task_class, &one.name, &one.idem, &one.description}) {
            std::string().swap(*text);
          }
          Run();
          break;
        }
        case NodeConnectionEvent::Kind::kEnded: {
          if (event.standing != one.placed) break;
          const int cause = message.cause.value_or(kCauseFailed);
          const AttemptResult ending = ResultOfCause(cause, one.placed);
          // Moved, or ended by its owner: no release is owed.
          if (one.placed && !one.ended && ending != AttemptResult::kCancelled)
            Tell(one, ClientMessageKind::kStop, cause);
          End(one, id, ending, ReadRejectionReason(message.Text(kSaid)), ReadReport(message), one.placed);
          break;
        }
        case NodeConnectionEvent::Kind::kNeverRan:
          End(one, id, AttemptResult::kUnreachable, RejectionReason::kUnspecified, {}, false);
          break;
        case NodeConnectionEvent::Kind::kMayHaveRun:
          End(one, id, AttemptResult::kLost, RejectionReason::kUnspecified, {}, false);
          break;
        case NodeConnectionEvent::Kind::kNoted: {
          const auto kind = ReadProgressKind(message.Text(kSaid));
          if (!kind) break;
          TaskProgress note{id, one.attempt, one.node, *kind, 0.0};
          ReadReportedNumber(message.Text(kFigure), &note.value);
          events_.push_back(note);
          Run();
          break;
        }
        case NodeConnectionEvent::Kind::kMachineLost:
          break;
      }
    }
  }
}

// ---- What owners say later ----

void Dispatcher::Stop(Micros now, ConnId, RequestUid uid) {
  now_ = now;
  const auto by_uid = by_uid_.find(uid);
  if (by_uid == by_uid_.end()) return;
  const RequestId id = by_uid->second;
  One& one = tasks_.at(id);
  if (one.ended) return;
  events_.push_back(TaskCancelled{id});
  if (one.placed) {
    one.ended = true;
    links_->Release(now, one.node, uid);
    Due(id, one, now + kReleaseWait);
    Run();
  } else {
    Answered(one);
    links_->GiveUp(now, one.node, uid);
    if (one.out) {
      End(one, id, AttemptResult::kCancelled, RejectionReason::kUnspecified, {}, true);
    } else {
      Drop(id);
      Run();
    }
  }
  FromLinks(now);
}

void Dispatcher::OwnerLeft(Micros now, ConnId conn) {
  const auto it = open_on_.find(conn);
  if (it == open_on_.end()) return;
  const std::set<RequestId> left = it->second;
  for (const RequestId id : left) {
    if (const auto one = tasks_.find(id); one != tasks_.end()) Stop(now, conn, one->second.uid);
  }
}

void Dispatcher::FailOpen(Micros now) {
  now_ = now;
  std::vector<RequestId> open;
  for (const auto& [conn, ids] : open_on_) open.insert(open.end(), ids.begin(), ids.end());
  for (const RequestId id : open) {
    const auto it = tasks_.find(id);
    if (it == tasks_.end() || it->second.answered) continue;
    ClientMessage failed;
    failed.kind = ClientMessageKind::kStop;
    failed.cause = kCauseFailed;
    const RequestUid uid = it->second.uid;
    Answer(it->second, std::move(failed));
    Stop(now, 0, uid);
  }
}

// ---- The module ----

void Dispatcher::Run() {
  if (running_) return;  // an action's outcome waits its turn
  running_ = true;
  std::vector<Action> actions;
  while (!events_.empty()) {
    const Event event = std::move(events_.front());
    events_.pop_front();
    actions.clear();
    scheduler_.Handle(now_, event, &actions);
    if (trace_) TraceTurn(event, actions);
    for (const Action& action : actions) Act(action);
  }
  running_ = false;
}

void Dispatcher::TraceTurn(const Event& event, const std::vector<Action>& actions) {
  std::string told = Describe(event);
  if (const auto* running = std::get_if<TaskRecovered>(&event)) {
    told += " uid=" + WriteHex(tasks_.at(running->task.request).uid);
  }
  if (!told.empty()) trace_(now_, told);
  for (const Action& action : actions) {
    const std::string done = Describe(action);
    if (!done.empty()) trace_(now_, "  " + done);
  }
}

void Dispatcher::Act(const Action& action) {
  if (const auto* offer = std::get_if<StartAttempt>(&action)) return Offered(*offer);
  if (const auto* alarm = std::get_if<SetTimer>(&action)) {
    alarms_.insert({alarm->at, alarm->token});
    return;
  }
  if (const auto* line = std::get_if<LogLine>(&action)) {
    if (log_.size() < kMostLog) log_.push_back(line->text);
    return;
  }
  // Probes are not among the platform's messages, and the change log is followed unasked.
  RequestId id = 0;
  std::visit(
      [&](const auto& a) {
        if constexpr (requires { a.request; }) id = a.request;
      },
      action);
  const auto it = tasks_.find(id);
  if (it == tasks_.end()) return;
  One& one = it->second;
  if (const auto* refusal = std::get_if<RejectTask>(&action)) {
    ClientMessage message;
    message.kind = ClientMessageKind::kStop;
    message.cause = kCauseRefused;
    if (refusal->retry_after > 0)
      message.fields["wait"] = std::to_string((refusal->retry_after + 999) / 1000);
    Answer(one, std::move(message));
    if (!one.out) Drop(id);
  } else if (std::holds_alternative<FailTask>(action)) {
    ClientMessage message;
    message.kind = ClientMessageKind::kStop;
    message.cause = kCauseFailed;
    Answer(one, std::move(message));
    if (!one.out) Drop(id);
  } else if (std::holds_alternative<CancelAttempt>(action)) {
    if (!one.out || one.placed) return;
    links_->GiveUp(now_, one.node, one.uid);
    End(one, id, AttemptResult::kCancelled, RejectionReason::kUnspecified, {}, false);
  } else if (std::holds_alternative<MigrateTask>(action)) {
    if (!one.placed || one.ended) return;
    one.ended = true;
    Tell(one, ClientMessageKind::kMigrate, 0);
    links_->Release(now_, one.node, one.uid);
    Due(id, one, now_ + kReleaseWait);
  }
}

Micros Dispatcher::NextDue() const {
  const Micros due = due_.empty() ? kNever : due_.begin()->first;
  return alarms_.empty() ? due : std::min(due, alarms_.begin()->first);
}

void Dispatcher::Tick(Micros now) {
  now_ = now;
  while (!alarms_.empty() && alarms_.begin()->first <= now) {
    const std::uint64_t token = alarms_.begin()->second;
    alarms_.erase(alarms_.begin());
    events_.push_back(TimerFired{token});
    Run();
  }
  while (!due_.empty() && due_.begin()->first <= now) {
    const RequestId id = due_.begin()->second;
    One& one = tasks_.at(id);
    Due(id, one, kNever);
    if (one.placed) {
      End(one, id, AttemptResult::kCancelled, RejectionReason::kUnspecified, {},
          true);  // released, and no word of it
    } else {
      // Given up at the machine before another attempt may go out.
      links_->GiveUp(now, one.node, one.uid);
      End(one, id, AttemptResult::kTimedOut, RejectionReason::kUnspecified, {}, false);
    }
  }
  FromLinks(now);
}

}  // namespace mountflow::platform
