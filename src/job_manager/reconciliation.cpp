// The node list, nodes that are lost or restart, and the attempts that nodes report.
#include <xxhash.h>

#include <algorithm>

#include "job_manager/backoff.hpp"
#include "job_manager/job_manager.hpp"
#include "job_manager/reasons.hpp"

namespace mountflow::job_manager {
namespace {

constexpr double kRetryJitter = 0.25;  // a retry is delayed by up to this additional share, at random
constexpr std::uint64_t kRackHashSeed = 1;
constexpr const char* kNodeGone = "lost with its node, which is gone";
constexpr const char* kNodeRestarted = "lost with its node, which started anew";

// Returns the index of the name, or the size of the list if the name is not in it.
unsigned IndexOf(const std::vector<std::string>& names, const std::string& name) {
  return static_cast<unsigned>(std::find(names.begin(), names.end(), name) - names.begin());
}

// Reports whether the process that a node started at `started` may have got the attempt, although the daemon
// did not know of that process when it sent the attempt. The reconciliation of the node then decides.
bool MayBeOfProcess(const Job& job, const Attempt& attempt, Micros started) {
  const bool was_accepted = attempt.phase == AttemptPhase::kRunning;
  return (was_accepted ? std::max(attempt.sent, job.placed) : attempt.sent) > started;
}

}  // namespace

// ---- The node list ----

NodeEntry JobManager::EntryOf(NodeId id, const ListedNode& node) const {
  NodeEntry entry;
  entry.node = id;
  entry.rack = static_cast<unsigned>(XXH32(node.rack.data(), node.rack.size(), kRackHashSeed));
  entry.zone = IndexOf(options_.zones, node.room);
  entry.kind = IndexOf(options_.kinds, node.kind);
  entry.started_at = node.started;
  entry.state = node.state;
  entry.free_cores = node.free_cores;
  entry.free_memory = node.free_memory;
  return entry;
}

void JobManager::HandleNodeList(Micros now, const NodeListEvent& event) {
  AdvanceTime(now);
  NodeListOutcome outcome;
  outcome.update.kind = event.kind;
  if (event.kind == NodeListKind::kUnavailable) {
    scheduler_.QueueEvent(outcome.update);
    return RunScheduler();
  }
  has_node_list_ = true;
  for (const ListedNode& listed : event.nodes) ApplyListedNode(listed, &outcome);
  if (event.kind != NodeListKind::kDelta) AddMissingNodes(event.kind, &outcome);
  scheduler_.QueueEvent(outcome.update);
  // The scheduler receives the list before the lost nodes are handled, because tasks that were lost with them
  // may be requested again in the same turn.
  RunScheduler();
  for (const auto& [id, reason] : outcome.lost) HandleNodeRemoved(id, reason);
  RunScheduler();
}

bool JobManager::IsAccepted(NodeId id, const ListedNode& listed) {
  const NodeRecord* known = nodes_.Find(id);
  if (known == nullptr) {
    if (listed.state == NodeState::kGone) return false;
    if (nodes_.size() < options_.limits.nodes) return true;
    Log({.event = logging::LogEvent::kNodeSkipped, .node = listed.name, .text = "more nodes than the limit"});
    return false;
  }
  if (known->listed.name == listed.name) return true;
  Log({.event = logging::LogEvent::kNodeSkipped,
       .node = listed.name,
       .text = "its node id equals that of " + known->listed.name + "; rename one of the two"});
  return false;
}

void JobManager::ApplyListedNode(const ListedNode& listed, NodeListOutcome* outcome) {
  const NodeId id = NodeIdOf(listed.name);
  if (!IsAccepted(id, listed)) return;
  NodeRecord& node = nodes_.FindOrCreate(id);
  outcome->listed.insert(id);
  const bool is_gone = listed.state == NodeState::kGone;
  // The list lags behind the nodes. An entry with an older start time must not replace a start time that the
  // node itself has reported.
  if (node.present && listed.started < node.listed.started && !is_gone) return;
  const bool restarted = node.present && listed.started != node.listed.started;
  const bool appeared = !node.present && !is_gone;
  // The node has restarted since it received the restored attempts.
  const bool restarted_while_awaited =
      node.awaited && !is_gone && node.listed.started != 0 && listed.started > node.listed.started;
  if (is_gone && node.awaited) outcome->lost.emplace_back(id, kNodeGone);
  const bool left_list = node.present && is_gone;
  node.awaited = false;
  node.listed = listed;
  if (!is_gone) node.present = true;
  if (restarted || appeared) node.process_started.reset();
  if (restarted_while_awaited) HandleNodeRestart(id, listed.started);
  if (restarted) HandleNodeRestart(id, listed.started);
  if (left_list) outcome->lost.emplace_back(id, kNodeGone);
  if (appeared || restarted) {
    node.reconciled = false;
    Reconcile(id);
  }
  outcome->update.nodes.push_back(EntryOf(id, node.listed));
}

void JobManager::AddMissingNodes(NodeListKind kind, NodeListOutcome* outcome) {
  for (auto& [id, node] : nodes_.nodes()) {
    const bool awaited = node.awaited && kind == NodeListKind::kSnapshot;
    if (awaited) node.awaited = false;
    if ((node.present || awaited) && outcome->listed.count(id) == 0)
      outcome->lost.emplace_back(id, kNodeGone);
  }
}

// ---- Lost nodes ----

void JobManager::HandleNodeRemoved(NodeId id, const char* reason) {
  NodeRecord& node = nodes_.FindOrCreate(id);
  node.present = false;
  ++node.removal_generation;
  Log({.event = logging::LogEvent::kNodeRemoved, .node = node.listed.name});
  timers_.Add(now_ + options_.retry_policy.reconciliation_wait, NodeRemoval{id, node.removal_generation});
  const std::set<AttemptId> attempts = node.attempts;
  for (const AttemptId& attempt_id : attempts) {
    const auto [job, attempt] = FindAttempt(attempt_id);
    if (attempt == nullptr) continue;
    if (attempt->phase == AttemptPhase::kPreparing) {
      AbandonPrepared(job, attempt);
      CompleteIfClosed(job);
    } else {
      HandleUnreachableAttempt(job, attempt, reason);
    }
  }
}

// The node list is the only evidence that the node is gone; after a network failure the attempt may still be
// running. It is reported as lost, and stopped if the node can be reached. It is considered ended when the
// NodeRemoval timer fires.
void JobManager::HandleUnreachableAttempt(Job* job, Attempt* attempt, const char* reason) {
  const bool was_running = attempt->phase == AttemptPhase::kRunning && !attempt->outcome_reported;
  ReportOutcome(job, attempt, {AttemptResult::kLost});
  if (!attempt->stopping) StopUntilAnswered(job, attempt);
  if (!was_running) return;
  if (job->request == attempt->request) CloseRequest(job);
  if (job->deleted) return;
  Log({.event = logging::LogEvent::kLost,
       .job = job->number,
       .attempt = attempt->number,
       .node = nodes_.NameOf(attempt->node),
       .text = reason});
  HandleRequestEnd(job, retry::RequestResult::kLost, 0, reason);
}

void JobManager::HandleNodeRestart(NodeId id, Micros started) {
  const std::set<AttemptId> attempts = nodes_.FindOrCreate(id).attempts;
  for (const AttemptId& attempt_id : attempts) {
    const auto [job, attempt] = FindAttempt(attempt_id);
    if (attempt == nullptr || MayBeOfProcess(*job, *attempt, started)) continue;
    if (attempt->phase == AttemptPhase::kRunning) {
      HandleLostTask(job, attempt, {AttemptResult::kLost}, kNodeRestarted);
      continue;
    }
    if (attempt->phase != AttemptPhase::kPreparing) {
      EndLostAttempt(job, attempt);
      continue;
    }
    AbandonPrepared(job, attempt);
    CompleteIfClosed(job);
  }
}

// ---- Reconciliation ----

void JobManager::Reconcile(NodeId id) {
  nodes_.QueueReconciliation(id);
  StartNextReconciliations();
}

void JobManager::StartNextReconciliations() {
  for (const NodeId id : nodes_.StartReconciliations(now_)) outputs_.emplace_back(ReconcileNode{id});
}

void JobManager::Handle(const ReconcileFailed& message) {
  NodeRecord* node = nodes_.Find(message.node);
  if (node == nullptr) return;
  // No reconciliation is in flight, so this failure does not concern the one that is queued.
  if (node->reconciling && !node->reconcile_in_flight) return;
  node->reconciling = false;
  node->reconciled = false;
  nodes_.EndReconciliation(node);
  StartNextReconciliations();
  if (!node->present) return;
  const Micros delay = BackoffDelay(options_.reconcile_retry_delay, node->reconcile_failures++);
  const auto spread = static_cast<Micros>(static_cast<double>(delay) * kRetryJitter * random_.Draw());
  timers_.Add(now_ + delay + spread, ReconcileRetry{message.node});
}

void JobManager::Handle(const NodeReconciled& message) {
  NodeRecord* node = nodes_.Find(message.node);
  if (node == nullptr) return;
  node->reconciling = false;
  node->reconciled = true;
  node->reconcile_failures = 0;
  NoteProcess(message.node, message.process_started);
  nodes_.EndReconciliation(node);
  StartNextReconciliations();
  if (message.started > node->listed.started && node->present) {
    // The node reports a restart that the list will contain only later. The scheduler must know it now,
    // because the node is warming up.
    node->listed.started = message.started;
    NodeListUpdate update;
    update.kind = NodeListKind::kDelta;
    update.nodes.push_back(EntryOf(message.node, node->listed));
    scheduler_.QueueEvent(update);
    RunScheduler();
    HandleNodeRestart(message.node, message.started);
  }
  std::set<AttemptId> reported;
  for (const ReportedAttempt& held : message.held) {
    reported.insert(held.attempt);
    ReconcileReported(message.node, held);
  }
  ReconcileMissing(*node, message.node, reported);
}

void JobManager::ReconcileReported(NodeId node, const ReportedAttempt& reported) {
  const auto [job, attempt] = FindAttempt(reported.attempt);
  if (attempt == nullptr) {
    if (reported.ended) return;
    if (job == nullptr) return AdoptReported(node, reported);
    // The job is known, but this attempt of it has ended for the daemon: its result is not needed.
    outputs_.emplace_back(StopAttempt{reported.attempt, node});
    return;
  }
  if (!attempt->restored || reported.ended || attempt->outcome_reported || attempt->stopping) return;
  if (attempt->phase != AttemptPhase::kRunning) return Handle(AttemptCommitted{reported.attempt});
  if (job->request == 0) ConfirmRestored(job, attempt);
}

void JobManager::ReconcileMissing(const NodeRecord& node, NodeId id, const std::set<AttemptId>& reported) {
  const std::set<AttemptId> expected = node.attempts;
  bool is_undecided = false;
  for (const AttemptId& attempt_id : expected) {
    const auto [job, attempt] = FindAttempt(attempt_id);
    if (attempt == nullptr) continue;
    const bool is_reported = reported.count(attempt_id) > 0;
    if (attempt->restored && attempt->phase == AttemptPhase::kInDoubt && !attempt->stopping && !is_reported) {
      // The commit may still be in flight to the node; only the answer to a query is final.
      outputs_.emplace_back(QueryAttempt{attempt_id, id});
      continue;
    }
    if (attempt->restored && attempt->stopping && attempt->phase != AttemptPhase::kEnded) {
      outputs_.emplace_back(StopAttempt{attempt_id, id});
      continue;
    }
    if (attempt->phase != AttemptPhase::kRunning || is_reported) continue;
    // The answer may lack a task that was accepted after the reconciliation was started.
    if (job->placed < node.reconcile_sent) {
      HandleLostTask(job, attempt, {AttemptResult::kLost}, kUnknownToNode);
    } else if (attempt->node_started < node.listed.started) {
      is_undecided = true;  // it may also have been accepted by the earlier process
    }
  }
  if (is_undecided) Reconcile(id);
}

void JobManager::AdoptReported(NodeId id, const ReportedAttempt& reported) {
  const AttemptId& attempt_id = reported.attempt;
  NodeRecord& node = nodes_.FindOrCreate(id);
  if (jobs_.IsFull() || reported.spec.task_class >= options_.settings.classes.size()) {
    return Log({.event = logging::LogEvent::kTaskNotAdopted,
                .attempt = attempt_id.number,
                .node = node.listed.name,
                .text = "too many jobs, or an unknown queue: " + JobId(attempt_id.job)});
  }
  Job& job = jobs_.FindOrCreate(attempt_id.job);
  jobs_.ReserveNumbersUpTo(job.number);
  job.spec = std::make_unique<JobSpec>(reported.spec);
  job.state = JobState::kRunning;
  job.answer = FinalAnswer::kStarted;
  job.recovered = true;
  job.node = node.listed.name;
  job.comment = "found running on " + job.node + " after a restart";
  job.created = job.queued = job.changed = job.placed = now_;
  job.attempts_made = attempt_id.number;
  jobs_.Count(job);
  keys_.Add(job.number, *job.spec);
  journal_.MarkSpecChanged(job.number);
  MarkStateChanged(job);
  Attempt attempt;
  attempt.number = attempt_id.number;
  attempt.phase = AttemptPhase::kRunning;
  attempt.node = id;
  attempt.node_started = node.listed.started;
  attempt.sent = now_;
  node.attempts.insert(attempt_id);
  Log({.event = logging::LogEvent::kAdopted, .job = job.number, .attempt = attempt.number, .node = job.node});
  job.request = attempt.request = ReportRecovered(job, id);
  job.attempts.push_back(attempt);
}

void JobManager::ConfirmRestored(Job* job, Attempt* attempt) {
  attempt->restored = false;
  job->recovered = true;
  job->restored = false;
  Log({.event = logging::LogEvent::kAdopted,
       .job = job->number,
       .attempt = attempt->number,
       .node = job->node,
       .text = "restored from the journal"});
  job->request = attempt->reported_as_recovered ? attempt->request : ReportRecovered(*job, attempt->node);
  attempt->request = job->request;
  attempt->reported_as_recovered = false;
}

RequestId JobManager::ReportRecovered(const Job& job, NodeId node) {
  TaskRecovered recovered;
  recovered.node = node;
  recovered.task = MakeTask(job, scheduler_.OpenRequest(job.number), now_);
  scheduler_.QueueEvent(recovered);
  return recovered.task.request;
}

}  // namespace mountflow::job_manager
