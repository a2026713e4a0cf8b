#include "node_agent/hosted_node.hpp"

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <limits>
#include <utility>

namespace mountflow::node_agent {
namespace {

constexpr Micros kNever = std::numeric_limits<Micros>::max();
constexpr std::size_t kMaxUnreadInput = 1 << 20;    // bytes per connection; further bytes are lost
constexpr std::uint64_t kSeedsPerNode = 1'000'003;  // gives each incarnation a different seed

}  // namespace

HostedNode::HostedNode(event_loop::EventLoop* loop, double memory_unit, HostedNodeConfig config,
                       std::shared_ptr<IdempotencyKeyStore> keys)
    : loop_(loop),
      memory_unit_(memory_unit),
      config_(std::move(config)),
      keys_(std::move(keys)),
      address_(config_.listen_address) {}

tl::expected<void, event_loop::EventLoopError> HostedNode::Start(bool warms_up) {
  const auto listener = loop_->Listen(address_, this);
  if (!listener) return tl::unexpected(listener.error());
  listener_ = *listener;
  const std::string host = event_loop::SplitAddress(address_)->host;  // valid, because Listen() succeeded
  address_ = host + ":" + std::to_string(loop_->PortOf(listener_));
  NodeConfig config = config_.config;
  config.seed = config.seed * kSeedsPerNode + ++incarnations_;
  const Micros now = loop_->Now();
  NodeServerOptions options;
  options.memory_unit = memory_unit_;
  options.process_started = now;
  server_ = std::make_unique<NodeServer>(
      std::make_unique<NodeEmulator>(config, keys_, now, warms_up ? now : 0), options);
  if (config.executes_tasks) {
    executor_ = std::make_unique<TaskExecutor>(loop_, [this](const std::string& attempt, int status) {
      if (server_) server_->node().HandleExit(loop_->Now(), attempt, status);
    });
  }
  return {};
}

void HostedNode::Kill() {
  if (!server_) return;
  loop_->CloseListener(listener_);
  listener_ = 0;
  for (const event_loop::ConnId connection : connections_) loop_->Abort(connection);
  connections_.clear();
  report_senders_.clear();
  executor_.reset();
  for (const std::string& attempt : server_->node().CommittedAttempts()) {
    const TaskSpec* spec = server_->node().FindSpec(attempt);
    if (spec != nullptr && !spec->idempotency_key.empty()) keys_->Release(spec->idempotency_key, attempt);
  }
  server_.reset();
  hangs_ = false;
}

void HostedNode::SetHanging(bool hangs) {
  hangs_ = hangs;
  if (hangs || !server_) return;
  const auto unread = std::exchange(unread_input_, {});
  for (const auto& [connection, bytes] : unread) server_->Receive(loop_->Now(), connection, bytes);
}

void HostedNode::Tick() {
  if (server_ && !hangs_) server_->Tick(loop_->Now());
}

void HostedNode::Dispatch() {
  if (!server_) return;
  server_->Dispatch(loop_->Now());
  for (const event_loop::ConnId connection : server_->TakeConnectionsWithOutput()) SendOutput(connection);
  CarryOutProcessOrders();
  if (const auto failure = server_->TakeOverloadFailure()) {
    last_failure_ = *failure;
    std::fprintf(stderr, "mountflow-node: %s %s\n", config_.config.name.c_str(), failure->c_str());
    return Kill();
  }
  if (!hangs_) SendReports();
}

void HostedNode::SendOutput(event_loop::ConnId connection) {
  std::string* output = server_->OutputOf(connection);
  if (output == nullptr) return;
  if (!output->empty()) loop_->Send(connection, std::exchange(*output, {}));
  if (!server_->WantsClose(connection)) return;
  loop_->Close(connection, true);
  connections_.erase(connection);
  server_->Close(loop_->Now(), connection);
}

void HostedNode::CarryOutProcessOrders() {
  for (const NodeServer::ProcessOrder& order : server_->TakeProcessOrders()) {
    if (!executor_) continue;
    if (!order.signal.empty()) {
      executor_->Signal(order.attempt, order.signal);
    } else if (const SubmittedTask* task = server_->FindTask(order.attempt); task != nullptr) {
      executor_->Run(order.attempt, *task);
    }
  }
}

void HostedNode::SendReports() {
  for (const std::string& daemon : server_->reports().ServersWithReports()) {
    if (server_->reports().AddressOf(daemon).empty()) continue;
    auto& sender = report_senders_[daemon];
    if (!sender) sender = std::make_unique<ReportSender>(loop_, server_.get(), daemon);
    sender->Dispatch();
  }
}

Micros HostedNode::NextTimer() const {
  if (!server_ || hangs_) return kNever;
  Micros next = server_->NextTimer();
  for (const auto& [daemon, sender] : report_senders_) next = std::min(next, sender->NextTimer());
  return next;
}

void HostedNode::OnAccepted(event_loop::ListenerId /*listener*/, event_loop::ConnId connection,
                            const event_loop::PeerInfo& peer) {
  // Tasks run as processes of the user of this program, so only that user and root may submit them.
  const bool other_user = peer.has_uid && peer.uid != 0 && peer.uid != getuid();
  if (config_.config.executes_tasks && other_user) return loop_->Abort(connection);
  connections_.insert(connection);
  server_->Open(connection);
}

void HostedNode::OnReceived(event_loop::ConnId connection, std::string_view bytes) {
  if (!server_) return;
  if (!hangs_) return server_->Receive(loop_->Now(), connection, bytes);
  std::string& unread = unread_input_[connection];
  unread.append(bytes.substr(0, kMaxUnreadInput - std::min(unread.size(), kMaxUnreadInput)));
}

void HostedNode::OnClosed(event_loop::ConnId connection, const std::string& /*reason*/) {
  connections_.erase(connection);
  unread_input_.erase(connection);
  if (server_) server_->Close(loop_->Now(), connection);
}

job_manager::ListedNode HostedNode::NodeListEntry() const {
  const NodeConfig& config = config_.config;
  const NodeEmulator& node = server_->node();
  job_manager::ListedNode entry;
  entry.name = config.name;
  entry.address = config_.advertised_address.empty() ? address_ : config_.advertised_address;
  entry.rack = config.rack;
  entry.room = config.zone;
  entry.kind = config.kind;
  entry.started = node.started();
  entry.state = node.draining() ? NodeState::kDraining : NodeState::kReady;
  entry.free_cores = node.free_cores();
  entry.free_memory = node.free_memory();
  return entry;
}

}  // namespace mountflow::node_agent
