// The schedulers of PlatformWorld and the node list that they read.
#include "tests/support/platform_world.hpp"

namespace mountflow::testing {

// ---- The node list ----

void PlatformWorld::AddNode(const std::string& address, unsigned rack, Micros started_at) {
  SimulatedNode node;
  node.name = "m-" + std::to_string(nodes_.size());
  node.address = address;
  node.rack = rack;
  node.started_at = started_at;
  nodes_.push_back(node);
  ListNode(nodes_.size() - 1);
}

void PlatformWorld::ListNode(std::size_t node_index) {
  const LoggedMessage message = LogEntryOf(nodes_[node_index]);
  NodeListEvent change;
  change.nodes = {EntryOf(nodes_[node_index])};
  const Micros delay = Draw(1'500'000);
  last_listed_at_ = std::max(last_listed_at_ + 1, now_ + delay);
  for (unsigned i = 0; i < schedulers_.size(); ++i) {
    schedulers_[i]->log.push_back(message);
    const unsigned incarnation = schedulers_[i]->incarnation;
    At(last_listed_at_, [this, i, incarnation, change] {
      SchedulerProcess& scheduler = *schedulers_[i];
      if (scheduler.incarnation != incarnation || !scheduler.dispatcher) return;
      scheduler.known_nodes.insert(change.nodes[0].name);
      scheduler.dispatcher->ApplyNodeList(now_, change);
      AfterCall(i);
    });
  }
}

// ---- Schedulers ----

void PlatformWorld::StartScheduler(unsigned index) {
  SchedulerProcess& scheduler = *schedulers_[index];
  scheduler.transport = std::make_unique<FakeTransport>();
  scheduler.transport->digest = &digest;
  NodeConnectionOptions options;
  if (scheduler_count_ % 2 == 0) options.max_connections = 4;         // fewer than nodes
  scheduler.transport->last_conn += 100'000 * scheduler.incarnation;  // ids are never reused
  scheduler.last_seen_conn = scheduler.transport->last_conn;
  scheduler.config = ReadPlatformConfig(ConfigurationOf(index), nullptr, nullptr);
  ASSERT_TRUE(scheduler.config.ok()) << Describe(scheduler.config.errors[0]);
  scheduler.node_connections = std::make_unique<NodeConnections>(options, scheduler.transport.get());
  scheduler.dispatcher =
      std::make_unique<Dispatcher>(scheduler.config.wire, random_(), scheduler.node_connections.get());
  scheduler.client_connections =
      std::make_unique<ClientConnections>(40, scheduler.dispatcher.get(), scheduler.transport.get());
  NodeListEvent cached;
  cached.whole = true;
  for (const SimulatedNode& node : nodes_) {
    if (scheduler.incarnation == 0) scheduler.log.push_back(LogEntryOf(node));
    if (node.status != "gone") cached.nodes.push_back(EntryOf(node));
    scheduler.known_nodes.insert(node.name);
  }
  scheduler.dispatcher->Start(now_, {cached});
  scheduler.last_client_conn = 0;
  for (int i = 0; i < 3; ++i) ConnectClient(index);
  for (const auto& [uid, request] : requests_) {  // clients send their running tasks to the new process
    if (request.scheduler != index || !request.knows_running) continue;
    scheduler.client_connections->OnBytes(now_, scheduler.client_conns[0],
                                          LaunchLine(uid, "service", 0, ";at:" + nodes_[request.node].name));
  }
  AfterCall(index);
}

void PlatformWorld::KillScheduler(unsigned index) {
  SchedulerProcess& scheduler = *schedulers_[index];
  ++restarts;
  ++scheduler.incarnation;
  for (auto it = connections_.begin(); it != connections_.end();) {
    if (it->second.scheduler == index) EndAttempts(it->second);
    it = it->second.scheduler == index ? connections_.erase(it) : std::next(it);
  }
  for (auto& [uid, request] : requests_) {
    if (request.scheduler == index && !request.answered) LogClientLeft(uid, request);
  }
  scheduler.client_connections.reset();
  scheduler.dispatcher.reset();
  scheduler.node_connections.reset();
  scheduler.transport.reset();
  scheduler.client_conns.clear();
  scheduler.to_client.clear();
  scheduler.tick_at = kNever;
  At(now_ + 300 * kMilli, [this, index] { StartScheduler(index); });
}

void PlatformWorld::AfterCall(unsigned index) {
  SchedulerProcess& scheduler = *schedulers_[index];
  scheduler.dispatcher->HandleNodeEvents(now_);
  scheduler.client_connections->DeliverNotifications(now_);
  for (const ConnId conn : std::exchange(scheduler.transport->closed, {})) {
    if (const auto found = connections_.find({index, conn}); found != connections_.end()) {
      EndAttempts(found->second);
      connections_.erase(found);
    }
    std::erase(scheduler.client_conns, conn);
  }
  for (auto& [conn, bytes] : scheduler.transport->sent) {
    if (bytes.empty()) continue;
    DeliverBytes(index, conn, std::exchange(bytes, {}));
  }
  for (; scheduler.last_seen_conn < scheduler.transport->last_conn; ++scheduler.last_seen_conn) {
    OpenConnection(index, scheduler.incarnation, scheduler.last_seen_conn + 1);
  }
  SetTimer(index);
}

void PlatformWorld::DeliverBytes(unsigned index, ConnId conn, const std::string& bytes) {
  SchedulerProcess& scheduler = *schedulers_[index];
  const unsigned incarnation = scheduler.incarnation;
  if (conn < kFirstNodeConn) {
    const bool knows_closed = scheduler.transport->hung_up.count(conn) > 0;
    At(now_ + 200 + Draw(600), [this, index, incarnation, conn, bytes, knows_closed] {
      ClientReads(index, incarnation, conn, bytes, knows_closed);
    });
    return;
  }
  const auto found = connections_.find({index, conn});
  if (found == connections_.end()) return;
  NodeMessageReader sent;  // an attempt is in flight until its cancellation is sent
  sent.Feed(bytes);
  for (NodeMessage message; sent.Next(&message) == NodeMessageReader::State::kMessage;) {
    if (message.kind == NodeMessageKind::kStop && found->second.unanswered.erase(message.uid) > 0) {
      LogAttemptEnd(found->second, message.uid, kCauseMayHaveRun);
    }
  }
  Micros& arrives_at = node_reads_at_[{index, conn}];
  arrives_at = std::max(arrives_at + 1, now_ + 100 + Draw(900));
  At(arrives_at, [this, index, incarnation, conn, bytes] { NodeReads(index, incarnation, conn, bytes); });
}

void PlatformWorld::SetTimer(unsigned index) {
  SchedulerProcess& scheduler = *schedulers_[index];
  const unsigned incarnation = scheduler.incarnation;
  const Micros due = std::min({scheduler.dispatcher->NextDue(), scheduler.node_connections->NextDue(),
                               scheduler.client_connections->NextDue()});
  if (due == kNever || due >= scheduler.tick_at) return;
  scheduler.tick_at = std::max(due, now_ + 1);
  At(scheduler.tick_at, [this, index, incarnation] {
    SchedulerProcess& ticked = *schedulers_[index];
    if (ticked.incarnation != incarnation || ticked.tick_at > now_) return;
    ticked.tick_at = kNever;
    ticked.dispatcher->Tick(now_);
    ticked.node_connections->Tick(now_);
    ticked.client_connections->Tick(now_);
    AfterCall(index);
  });
}

}  // namespace mountflow::testing
