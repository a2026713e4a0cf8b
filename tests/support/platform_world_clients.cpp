// The clients and the faults of PlatformWorld.
#include "tests/support/platform_world.hpp"

namespace mountflow::testing {

// ---- Clients ----

void PlatformWorld::ConnectClient(unsigned index) {
  SchedulerProcess& scheduler = *schedulers_[index];
  scheduler.client_conns.push_back(++scheduler.last_client_conn);
  scheduler.client_connections->Accept(now_, scheduler.last_client_conn, "10.9.0.1:5");
}

void PlatformWorld::LaunchRequests(unsigned index, Micros end) {
  if (now_ >= end) return;
  At(now_ + (10 + Draw(60)) * kMilli, [this, index, end] { LaunchRequests(index, end); });
  SchedulerProcess& scheduler = *schedulers_[index];
  if (!scheduler.client_connections) return;
  if (scheduler.client_conns.size() < 3) ConnectClient(index);
  const ConnId conn = scheduler.client_conns[Draw(scheduler.client_conns.size())];
  const RequestUid uid = ++last_uid_ << 8 | 1;
  const std::string task_class = Chance(10) ? "batch" : "service";
  const int time_left = 300 + static_cast<int>(Draw(2500));
  requests_[uid] = {index, conn, false, false, false, false, 0, 0};
  ++requested;
  LoggedMessage message{now_, Kind::kRequested, uid};
  message.time_left = static_cast<Micros>(time_left) * kMilli;
  message.task_class = task_class;
  message.service = "b4d65521";
  scheduler.log.push_back(message);
  // An overloaded scheduler reads the request, and a close after it, later.
  const unsigned incarnation = scheduler.incarnation;
  const Micros read_at = now_ + 200 + (Chance(10) ? Draw(40'000) : Draw(600));
  At(read_at, [this, index, incarnation, conn, uid, task_class, time_left] {
    SchedulerProcess& reader = *schedulers_[index];
    if (reader.incarnation != incarnation || !reader.client_connections->HasConnection(conn)) return;
    reader.client_connections->OnBytes(now_, conn, LaunchLine(uid, task_class, time_left));
    AfterCall(index);
  });
  if (Chance(5)) {
    At(read_at + Draw(200'000),
       [this, index, incarnation, conn, uid] { CancelRequest(index, incarnation, conn, uid); });
  }
  if (Chance(3)) CloseClient(index, conn, Draw(300'000));
}

void PlatformWorld::CancelRequest(unsigned index, unsigned incarnation, ConnId conn, RequestUid uid) {
  SchedulerProcess& scheduler = *schedulers_[index];
  ClientRequest& request = requests_[uid];
  if (scheduler.incarnation != incarnation || !scheduler.client_connections->HasConnection(conn)) return;
  if (request.over) return;
  scheduler.log.push_back({now_, Kind::kClientLeft, uid});
  request.answered = true;
  request.over = true;
  request.knows_running = false;
  scheduler.client_connections->OnBytes(now_, conn, StopLine(uid));
  AfterCall(index);
}

void PlatformWorld::CloseClient(unsigned index, ConnId conn, Micros read_delay) {
  SchedulerProcess& scheduler = *schedulers_[index];
  const unsigned incarnation = scheduler.incarnation;
  std::erase(scheduler.client_conns, conn);
  ++clients_left;
  for (auto& [uid, request] : requests_) {
    if (request.scheduler == index && request.conn == conn && !request.answered) LogClientLeft(uid, request);
  }
  scheduler.to_client.erase(conn);
  At(now_ + 200, [this, index, incarnation, conn] {
    SchedulerProcess& other_end = *schedulers_[index];
    if (other_end.incarnation == incarnation) other_end.transport->hung_up.insert(conn);
  });
  At(now_ + 200 + read_delay, [this, index, incarnation, conn] {
    if (schedulers_[index]->incarnation != incarnation) return;
    schedulers_[index]->client_connections->OnClosed(now_, conn);
    AfterCall(index);
  });
}

void PlatformWorld::ClientReads(unsigned index, unsigned incarnation, ConnId conn, const std::string& bytes,
                                bool knew_closed) {
  SchedulerProcess& scheduler = *schedulers_[index];
  if (scheduler.incarnation != incarnation) return;
  const auto& open = scheduler.client_conns;
  const bool closed = std::count(open.begin(), open.end(), conn) == 0;
  ClientMessageReader crossed;
  ClientMessageReader& reader = closed ? crossed : scheduler.to_client[conn];
  reader.Feed(bytes);
  for (ClientMessage message; reader.Next(&message) == ClientMessageReader::State::kMessage;) {
    if (message.kind == ClientMessageKind::kHealthCheckReply) continue;
    ClientRequest& request = requests_[message.uid];
    if (!closed) {
      HandleClientMessage(scheduler, request, message);
    } else if (request.knows_running && !knew_closed) {
      // The client's close and this notification crossed each other.
      request.knows_running = false;
      scheduler.log.push_back({now_, Kind::kClientLeft, message.uid});
    }
  }
}

void PlatformWorld::HandleClientMessage(SchedulerProcess& scheduler, ClientRequest& request,
                                        const ClientMessage& message) {
  if (!request.answered) {
    request.answered = true;
    request.knows_running = message.kind == ClientMessageKind::kAnswer;
    started += request.knows_running ? 1 : 0;
    LoggedMessage answer{now_, Kind::kAnswered, message.uid};
    answer.cause = request.knows_running ? 0 : message.cause.value_or(-1);
    scheduler.log.push_back(answer);
  } else if (request.knows_running && message.kind == ClientMessageKind::kStop) {
    // The node may have reported the task's end while this notification was in flight. If the task is still
    // running, its scheduler has lost it.
    if (request.runs) EndTask(message.uid, request, kCauseEnded);
    request.knows_running = false;
    request.over = true;
    scheduler.log.push_back({now_, Kind::kNotified, message.uid});
  }
}

// ---- Faults ----

void PlatformWorld::InjectFault() {
  const std::size_t node_index = Draw(nodes_.size());
  SimulatedNode& node = nodes_[node_index];
  switch (Draw(6)) {
    case 0:
      if (schedulers_[0]->incarnation < 3 && Chance(50)) {
        const auto index = static_cast<unsigned>(Draw(schedulers_.size()));
        if (schedulers_[index]->client_connections) KillScheduler(index);
      }
      break;
    case 1:
      if (node.alive && node.silent_until <= now_) ReplaceNode(node_index);
      break;
    case 2:
      if (node.alive && node.silent_until < now_) node.silent_until = now_ + kSec + Draw(4 * kSec);
      break;
    case 3:
      if (!node.alive || node.status != "ready") break;
      node.status = "draining";
      ListNode(node_index);
      break;
    default:
      ResetConnectionsOf(node_index);
      break;
  }
}

void PlatformWorld::ReplaceNode(std::size_t node_index) {
  ++nodes_replaced;
  nodes_[node_index].alive = false;
  nodes_[node_index].status = "gone";
  for (auto& [uid, request] : requests_) {
    if (request.runs && request.node == node_index) EndTask(uid, request, kCauseMayHaveRun);
  }
  ResetConnectionsOf(node_index);
  ListNode(node_index);
  const std::string address = nodes_[node_index].address;
  AddNode(address, nodes_[node_index].rack, now_ + 1);
}

}  // namespace mountflow::testing
