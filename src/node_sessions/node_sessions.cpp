#include "node_sessions/node_sessions.hpp"

#include <algorithm>
#include <utility>

namespace mountflow::node_sessions {
namespace {

constexpr std::size_t kPiece = 64 << 10;  // bytes of a script in one request

pbs_protocol::Request Form(pbs_protocol::RequestType type, const std::string& user, std::string id) {
  pbs_protocol::Request r;
  r.type = type;
  r.user = user;
  r.id = std::move(id);
  return r;
}

// "words\tx0=.. x1=.." as nodes write their refusals.
std::pair<std::string, LoadReport> SplitRefusal(const std::string& text) {
  const std::size_t tab = text.find('\t');
  if (tab == std::string::npos) return {text, {}};
  return {text.substr(0, tab), pbs_server::ReadLoad(std::string_view(text).substr(tab + 1))};
}

}  // namespace

NodeLinks::NodeLinks(const job_manager::JobManager* core, pbs_server::Vocabulary words, LinkOptions options)
    : core_(core), words_(std::move(words)), options_(std::move(options)) {}

void NodeLinks::SetDeadline(ConnId id, Conn& conn, Micros deadline) {
  if (conn.deadline != 0) deadlines_.erase({conn.deadline, id});
  conn.deadline = deadline;
  if (deadline != 0) deadlines_.insert({deadline, id});
}

Micros NodeLinks::NextTimer() const { return deadlines_.empty() ? ~Micros{0} : deadlines_.begin()->first; }

void NodeLinks::Tick(Micros now) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const ConnId id = deadlines_.begin()->second;
    actions_.push_back(CloseConn{id});
    Break(now, id);
  }
}

// The node's address may change with a new life; connections to the old one are of no use then.
NodeLinks::Node* NodeLinks::NodeFor(NodeId id) {
  const job_manager::ListedNode* listed = core_->FindNode(id);
  if (listed == nullptr) {
    const auto it = nodes_.find(id);
    return it == nodes_.end() || it->second.address.empty() ? nullptr : &it->second;
  }
  Node& node = nodes_[id];
  if (node.address != listed->address) {
    const std::vector<ConnId> idle = std::exchange(node.idle, {});
    for (ConnId c : idle) Drop(c);
    if (node.control != 0 && conns_.at(node.control).awaited.empty()) Drop(std::exchange(node.control, 0));
    node.address = listed->address;
  }
  return &node;
}

ConnId NodeLinks::OpenTo(Micros now, NodeId id, Node& node, bool control) {
  const ConnId conn = ++next_conn_;
  Conn& c = conns_[conn];
  c.node = id;
  c.control = control;
  SetDeadline(conn, c, now + options_.connect_timeout);
  actions_.push_back(OpenConn{conn, node.address});
  return conn;
}

void NodeLinks::Send(ConnId id, Conn& conn, std::string bytes) {
  if (!conn.open) {
    conn.unsent += bytes;
    return;
  }
  actions_.push_back(SendBytes{id, std::move(bytes)});
}

void NodeLinks::Drop(ConnId id) {
  const auto it = conns_.find(id);
  if (it == conns_.end()) return;
  SetDeadline(id, it->second, 0);
  conns_.erase(it);
  actions_.push_back(CloseConn{id});
}

void NodeLinks::Take(Micros now, const job_manager::Output& output) {
  if (const auto* ask = std::get_if<job_manager::PrepareAttempt>(&output)) return Ask(now, *ask);
  if (const auto* go = std::get_if<job_manager::CommitAttempt>(&output)) {
    const auto of = of_attempt_.find({go->attempt.job, go->attempt.number});
    if (of == of_attempt_.end()) {  // its connection broke meanwhile: nothing was sent
      messages_.push_back(job_manager::AttemptDisconnected{go->attempt, false});
      return;
    }
    Conn& conn = conns_.at(of->second);
    conn.step = Step::kGoing;
    std::string bytes;
    pbs_protocol::Encode(
        Form(pbs_protocol::RequestType::kCommit, options_.user, core_->AttemptName(go->attempt)), &bytes);
    return Send(of->second, conn, std::move(bytes));
  }
  if (const auto* abandon = std::get_if<job_manager::AbandonAttempt>(&output)) {
    const auto of = of_attempt_.find({abandon->attempt.job, abandon->attempt.number});
    if (of != of_attempt_.end()) {  // a connection lost before the commit leaves no job
      const ConnId id = of->second;
      of_attempt_.erase(of);
      const NodeId node = conns_.at(id).node;
      --nodes_[node].busy;
      Drop(id);
      return Next(now, node);
    }
    const auto node = nodes_.find(abandon->node);
    if (node != nodes_.end()) std::erase(node->second.waiting, abandon->attempt);
    return;
  }
  if (const auto* stop = std::get_if<job_manager::StopAttempt>(&output)) {
    // Its commit's reply may never come; the connection is not kept for it for ever.
    const auto of = of_attempt_.find({stop->attempt.job, stop->attempt.number});
    if (of != of_attempt_.end())
      SetDeadline(of->second, conns_.at(of->second), now + 2 * options_.control_timeout);
    return ControlRequest(now, stop->node, output);
  }
  if (const auto* signal = std::get_if<job_manager::SignalAttempt>(&output))
    return ControlRequest(now, signal->node, output);
  if (const auto* query = std::get_if<job_manager::QueryAttempt>(&output))
    return ControlRequest(now, query->node, output);
  if (const auto* sync = std::get_if<job_manager::ReconcileNode>(&output))
    return ControlRequest(now, sync->node, output);
  if (const auto* find = std::get_if<job_manager::FindKey>(&output))
    return ControlRequest(now, find->node, output);
  if (const auto* probe = std::get_if<job_manager::CheckNodeHealth>(&output))
    return ControlRequest(now, probe->node, output);
  if (const auto* forget = std::get_if<job_manager::ForgetNode>(&output)) {
    std::vector<ConnId> its;
    for (const auto& [id, conn] : conns_) {
      if (conn.node == forget->node) its.push_back(id);
    }
    for (ConnId id : its) {
      of_attempt_.erase({conns_.at(id).attempt.job, conns_.at(id).attempt.number});
      Drop(id);
    }
    nodes_.erase(forget->node);
  }
}

// ---- Attempts ----

void NodeLinks::Ask(Micros now, const job_manager::PrepareAttempt& ask) {
  Node* node = NodeFor(ask.node);
  if (node == nullptr ||
      (node->busy >= options_.most_connections && node->waiting.size() >= options_.most_waiting)) {
    messages_.push_back(job_manager::AttemptDisconnected{ask.attempt, false});
    return;
  }
  if (node->busy >= options_.most_connections) {
    node->waiting.push_back(ask.attempt);
    return;
  }
  Start(now, ask.node, *node, ask.attempt);
}

void NodeLinks::Start(Micros now, NodeId id, Node& node, const job_manager::AttemptId& attempt) {
  const job_manager::Job* job = core_->Find(attempt.job);
  const job_manager::Attempt* of = nullptr;
  if (job != nullptr) {
    for (const job_manager::Attempt& a : job->attempts) {
      if (a.number == attempt.number) of = &a;
    }
  }
  if (of == nullptr) {
    messages_.push_back(job_manager::AttemptDisconnected{attempt, false});
    return;
  }
  ConnId conn_id = 0;
  if (node.idle.empty()) {
    conn_id = OpenTo(now, id, node, false);
  } else {
    conn_id = node.idle.back();
    node.idle.pop_back();
  }
  ++node.busy;
  Conn& conn = conns_.at(conn_id);
  conn.step = Step::kAsking;
  conn.attempt = attempt;
  conn.refused = false;
  of_attempt_[{attempt.job, attempt.number}] = conn_id;
  const job_manager::JobSpec& spec = *job->spec;
  const std::string name = core_->AttemptName(attempt);
  std::string bytes;
  pbs_protocol::Request queue = Form(pbs_protocol::RequestType::kQueueJob, options_.user, name);
  queue.destination = spec.queue;
  queue.attributes = pbs_server::ForNode(spec, words_);
  const auto put = [&queue](const char* key, std::string value) {
    queue.attributes.push_back({key, "", std::move(value), pbs_protocol::Op::kSet});
  };
  put("until", std::to_string(of->deadline));  // a commit that comes later is refused
  put("report_to", options_.report_to);
  put("server", core_->options().server);
  put("class_priority", std::to_string(core_->options().settings.classes[spec.task_class].priority));
  pbs_protocol::Encode(queue, &bytes);
  conn.replies = 2;
  std::size_t at = 0;
  do {  // an empty script is one empty piece
    pbs_protocol::Request piece = Form(pbs_protocol::RequestType::kJobScript, options_.user, name);
    piece.sequence = conn.replies - 2;
    piece.script = spec.script.substr(at, kPiece);
    at += piece.script.size();
    pbs_protocol::Encode(piece, &bytes);
    ++conn.replies;
  } while (at < spec.script.size());
  pbs_protocol::Encode(Form(pbs_protocol::RequestType::kReadyToCommit, options_.user, name), &bytes);
  Send(conn_id, conn, std::move(bytes));
}

void NodeLinks::Free(Micros now, ConnId id, Conn& conn) {
  const NodeId node_id = conn.node;
  Node& node = nodes_[node_id];
  of_attempt_.erase({conn.attempt.job, conn.attempt.number});
  conn.step = Step::kIdle;
  SetDeadline(id, conn, 0);
  --node.busy;
  if (node.idle.size() >= options_.most_idle && node.waiting.empty()) {
    Drop(id);
  } else {
    node.idle.push_back(id);
  }
  Next(now, node_id);
}

void NodeLinks::Next(Micros now, NodeId id) {
  Node& node = nodes_[id];
  while (!node.waiting.empty() && node.busy < options_.most_connections) {
    const job_manager::AttemptId attempt = node.waiting.front();
    node.waiting.pop_front();
    Start(now, id, node, attempt);
  }
}

// ---- Control ----

void NodeLinks::FailControl(const job_manager::Output& asked, NodeId node) {
  if (const auto* stop = std::get_if<job_manager::StopAttempt>(&asked))
    messages_.push_back(job_manager::StopFailed{stop->attempt});
  if (const auto* query = std::get_if<job_manager::QueryAttempt>(&asked))
    messages_.push_back(job_manager::QueryFailed{query->attempt});
  if (std::holds_alternative<job_manager::ReconcileNode>(asked))
    messages_.push_back(job_manager::ReconcileFailed{node});
  if (const auto* find = std::get_if<job_manager::FindKey>(&asked)) {
    job_manager::FindKeyAnswered found;
    found.node = node;
    found.job = find->job;
    found.key = find->key;
    messages_.push_back(found);
  }
  if (std::holds_alternative<job_manager::CheckNodeHealth>(asked))
    messages_.push_back(job_manager::NodeHealthChecked{node, false, 0, {}});
}

void NodeLinks::ControlRequest(Micros now, NodeId id, const job_manager::Output& asked) {
  Node* node = NodeFor(id);
  if (node == nullptr) return FailControl(asked, id);
  if (node->control == 0) node->control = OpenTo(now, id, *node, true);
  Conn& conn = conns_.at(node->control);
  if (conn.awaited.size() >= options_.most_controls) return FailControl(asked, id);
  pbs_protocol::Request r = Form(pbs_protocol::RequestType::kStatusJob, options_.user, "");
  if (const auto* stop = std::get_if<job_manager::StopAttempt>(&asked)) {
    r.type = pbs_protocol::RequestType::kDeleteJob;
    r.command = 1;
    r.id = core_->AttemptName(stop->attempt);
  } else if (const auto* signal = std::get_if<job_manager::SignalAttempt>(&asked)) {
    r.type = pbs_protocol::RequestType::kSignalJob;
    r.id = core_->AttemptName(signal->attempt);
    r.signal = signal->signal;
  } else if (const auto* query = std::get_if<job_manager::QueryAttempt>(&asked)) {
    r.id = core_->AttemptName(query->attempt);
  } else if (std::holds_alternative<job_manager::ReconcileNode>(asked)) {
    r.attributes.push_back({"server", "", core_->options().server, pbs_protocol::Op::kEq});
    r.attributes.push_back({"report_to", "", options_.report_to, pbs_protocol::Op::kSet});
  } else if (const auto* find = std::get_if<job_manager::FindKey>(&asked)) {
    r.type = pbs_protocol::RequestType::kSelectJobs;
    r.attributes.push_back({"key", "", find->key, pbs_protocol::Op::kEq});
  } else {
    r.type = pbs_protocol::RequestType::kStatusServer;
  }
  std::string bytes;
  pbs_protocol::Encode(r, &bytes);
  conn.awaited.push_back({asked, now});
  if (conn.open && conn.deadline == 0) SetDeadline(node->control, conn, now + options_.control_timeout);
  Send(node->control, conn, std::move(bytes));
}

job_manager::NodeReconciled NodeLinks::ReadSync(NodeId node, const pbs_protocol::Reply& reply) const {
  job_manager::NodeReconciled synced;
  synced.node = node;
  for (const pbs_protocol::StatusObject& o : reply.objects) {
    if (o.type == pbs_protocol::ObjectType::kServer) {
      std::uint64_t started = 0;
      if (pbs_server::ReadCount(pbs_protocol::ValueOf(o.attributes, "started"), &started))
        synced.started = started;
      continue;
    }
    job_manager::ReportedAttempt held;
    std::string server;
    if (!core_->ParseAttemptName(o.name, &held.attempt, &server) || server != core_->options().server)
      continue;
    held.ended = pbs_protocol::ValueOf(o.attributes, "job_state") == "E";
    held.spec.user = pbs_protocol::ValueOf(o.attributes, "Job_Owner");
    pbs_protocol::Attributes known = o.attributes;
    std::erase_if(known, [](const pbs_protocol::Attribute& a) {
      return a.name == "job_state" || a.name == "Job_Owner" || a.name == "queue";
    });
    const pbs_server::Problem problem = pbs_server::Read(
        known, std::string(pbs_protocol::ValueOf(o.attributes, "queue")), words_, false, &held.spec);
    if (problem.code != pbs_protocol::Code::kNone)
      held.spec.task_class = ~0u;  // told by the core as not adopted
    synced.held.push_back(std::move(held));
  }
  return synced;
}

void NodeLinks::OnControlReply(Micros now, Conn& conn, const pbs_protocol::Reply& reply) {
  const Control control = std::move(conn.awaited.front());
  conn.awaited.pop_front();
  if (const auto* stop = std::get_if<job_manager::StopAttempt>(&control.asked)) {
    messages_.push_back(job_manager::StopAnswered{stop->attempt, reply.code == pbs_protocol::Code::kNone});
  } else if (const auto* query = std::get_if<job_manager::QueryAttempt>(&control.asked)) {
    messages_.push_back(job_manager::QueryAnswered{query->attempt, reply.code == pbs_protocol::Code::kNone});
  } else if (std::holds_alternative<job_manager::ReconcileNode>(control.asked)) {
    messages_.push_back(ReadSync(conn.node, reply));
  } else if (const auto* find = std::get_if<job_manager::FindKey>(&control.asked)) {
    job_manager::FindKeyAnswered found;
    found.node = conn.node;
    found.job = find->job;
    found.key = find->key;
    found.reached = reply.code == pbs_protocol::Code::kNone;
    if (found.reached && !reply.ids.empty()) {
      found.found = core_->ParseAttemptName(reply.ids[0], &found.attempt, &found.server);
    }
    messages_.push_back(found);
  } else if (std::holds_alternative<job_manager::CheckNodeHealth>(control.asked)) {
    job_manager::NodeHealthChecked probed{
        conn.node, reply.code == pbs_protocol::Code::kNone, now - control.sent, {}};
    if (!reply.objects.empty())
      probed.report = pbs_server::ReadLoad(pbs_protocol::ValueOf(reply.objects[0].attributes, "load"));
    messages_.push_back(probed);
  }
}

// ---- From the shell ----

void NodeLinks::Connected(Micros now, ConnId id) {
  const auto it = conns_.find(id);
  if (it == conns_.end()) return;
  Conn& conn = it->second;
  conn.open = true;
  SetDeadline(id, conn, conn.control && !conn.awaited.empty() ? now + options_.control_timeout : 0);
  if (!conn.unsent.empty()) actions_.push_back(SendBytes{id, std::exchange(conn.unsent, {})});
}

void NodeLinks::Received(Micros now, ConnId id, std::string_view bytes) {
  auto it = conns_.find(id);
  if (it == conns_.end()) return;
  it->second.input.append(bytes);
  std::size_t used = 0;
  for (;;) {
    it = conns_.find(id);
    if (it == conns_.end()) return;
    Conn& conn = it->second;
    const std::string_view left = std::string_view(conn.input).substr(used);
    if (left.size() < conn.needs) break;
    pbs_protocol::Reply reply;
    const pbs_protocol::Parsed parsed = pbs_protocol::Decode(left, &reply);
    if (parsed.state == pbs_protocol::DisState::kMore) {
      conn.needs = parsed.needs;
      break;
    }
    conn.needs = 1;
    const bool awaited = conn.control ? !conn.awaited.empty() : conn.replies > 0 || conn.step == Step::kGoing;
    if (parsed.state == pbs_protocol::DisState::kBad || !awaited) {
      actions_.push_back(CloseConn{id});
      return Break(now, id);
    }
    used += parsed.used;
    if (conn.control) {
      OnControlReply(now, conn, reply);
      SetDeadline(id, conn, conn.awaited.empty() ? 0 : now + options_.control_timeout);
    } else {
      OnReply(now, id, conn, std::move(reply));
    }
  }
  it->second.input.erase(0, used);
}

void NodeLinks::OnReply(Micros now, ConnId id, Conn& conn, pbs_protocol::Reply reply) {
  if (conn.step == Step::kGoing) {
    const job_manager::AttemptId attempt = conn.attempt;
    if (reply.code == pbs_protocol::Code::kNone) {
      messages_.push_back(job_manager::AttemptCommitted{attempt});
    } else {
      auto [words, load] = SplitRefusal(reply.text);
      if (words.empty()) words = pbs_protocol::Describe(reply.code);
      messages_.push_back(job_manager::AttemptRejected{
          attempt, static_cast<RejectionReason>(std::clamp<std::int64_t>(reply.auxiliary, 0, 7)), words,
          load});
    }
    return Free(now, id, conn);
  }
  if (reply.code != pbs_protocol::Code::kNone && !conn.refused) {
    conn.refused = true;
    conn.refusal = std::move(reply);
  }
  if (--conn.replies > 0) return;
  if (!conn.refused) {
    conn.step = Step::kReady;
    messages_.push_back(job_manager::AttemptPrepared{conn.attempt});
    return;
  }
  auto [words, load] = SplitRefusal(conn.refusal.text);
  if (words.empty()) words = pbs_protocol::Describe(conn.refusal.code);
  messages_.push_back(job_manager::AttemptRejected{
      conn.attempt, static_cast<RejectionReason>(std::clamp<std::int64_t>(conn.refusal.auxiliary, 0, 7)),
      words, load, false});
  Free(now, id, conn);
}

void NodeLinks::Closed(Micros now, ConnId id) { Break(now, id); }

// The connection is gone, whoever ended it.
void NodeLinks::Break(Micros now, ConnId id) {
  const auto it = conns_.find(id);
  if (it == conns_.end()) return;
  Conn conn = std::move(it->second);
  if (conn.deadline != 0) deadlines_.erase({conn.deadline, id});
  conns_.erase(it);
  Node& node = nodes_[conn.node];
  if (conn.control) {
    if (node.control == id) node.control = 0;
    bool synced = false;
    for (const Control& c : conn.awaited) {
      synced |= std::holds_alternative<job_manager::ReconcileNode>(c.asked);
      FailControl(c.asked, conn.node);
    }
    // A control connection that broke may mean that the node died: its list of attempts is asked for again.
    if (!synced) messages_.push_back(job_manager::ReconcileFailed{conn.node});
    return;
  }
  if (conn.step == Step::kIdle) {
    std::erase(node.idle, id);
    return;
  }
  of_attempt_.erase({conn.attempt.job, conn.attempt.number});
  --node.busy;
  messages_.push_back(job_manager::AttemptDisconnected{conn.attempt, conn.step == Step::kGoing});
  Next(now, conn.node);
}

}  // namespace mountflow::node_sessions
