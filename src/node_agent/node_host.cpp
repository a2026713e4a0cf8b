#include "node_agent/node_host.hpp"

#include <algorithm>
#include <cstdio>
#include <optional>
#include <utility>

namespace mountflow::node_agent {
namespace {

constexpr Micros kStopTimeout = 1'000'000;  // upper limit if the registry does not answer

}  // namespace

std::string Describe(const NodeHostError& error) {
  return std::visit([](const auto& cause) { return Describe(cause); }, error);
}

NodeHost::NodeHost(event_loop::EventLoop* loop, NodeHostOptions options, std::vector<HostedNodeConfig> nodes)
    : loop_(loop),
      options_(std::move(options)),
      configs_(std::move(nodes)),
      registry_keys_(options_.tls),
      control_server_(loop_, &nodes_),
      registration_(loop_, options_, &registry_keys_) {}

tl::expected<void, NodeHostError> NodeHost::Start() {
  if (const auto loaded = registry_keys_.Start(loop_->Now()); !loaded) return tl::unexpected(loaded.error());
  if (auto started = StartNodes(); !started) return started;
  if (auto started = StartControlServer(); !started) return started;
  loop_->SetAfterTurn([this] { Dispatch(); });
  loop_->SetMainTimer(loop_->Now(), [this] {
    for (auto& [name, node] : nodes_) node->Tick();
  });
  return {};
}

tl::expected<void, NodeHostError> NodeHost::StartNodes() {
  for (const HostedNodeConfig& config : configs_) {
    auto& keys = rack_keys_[config.config.rack];
    if (!keys) keys = std::make_shared<IdempotencyKeyStore>();
    auto node = std::make_unique<HostedNode>(loop_, options_.memory_unit, config, keys);
    if (const auto started = node->Start(!config.starts_warm); !started) {
      return tl::unexpected(started.error());
    }
    nodes_[config.config.name] = std::move(node);
  }
  return {};
}

tl::expected<void, NodeHostError> NodeHost::StartControlServer() {
  if (options_.control_address.empty()) return {};
  const auto listener = loop_->Listen(options_.control_address, &control_server_);
  if (!listener) return tl::unexpected(listener.error());
  control_listener_ = *listener;
  return {};
}

int NodeHost::control_port() const { return loop_->PortOf(control_listener_); }

int NodeHost::PortOf(const std::string& node) const {
  const auto found = nodes_.find(node);
  if (found == nodes_.end()) return 0;
  const auto address = event_loop::SplitAddress(found->second->address());
  return address ? address->port : 0;
}

void NodeHost::Stop() {
  stopping_ = true;
  loop_->AddTimer(loop_->Now() + kStopTimeout, [this] { loop_->Stop(); });
}

void NodeHost::Dispatch() {
  Micros next = DispatchKeys();
  for (auto& [name, node] : nodes_) next = std::min(next, DispatchNode(name, node.get()));
  next = std::min(next, registration_.Dispatch());
  if (stopping_ && registration_.AllWritten()) return loop_->Stop();
  loop_->SetMainTimer(next, nullptr);
}

Micros NodeHost::DispatchKeys() {
  registry_keys_.Poll(loop_->Now());
  for (const std::string& warning : registry_keys_.TakeWarnings()) {
    std::fprintf(stderr, "mountflow-node: tls: %s\n", warning.c_str());
  }
  return registry_keys_.NextTimer();
}

Micros NodeHost::DispatchNode(const std::string& name, HostedNode* node) {
  node->Dispatch();
  const Micros next = node->NextTimer();
  std::optional<job_manager::ListedNode> entry;
  if (node->IsAlive() && !stopping_) entry = node->NodeListEntry();
  return std::min(next, registration_.Update(name, entry, stopping_));
}

}  // namespace mountflow::node_agent
