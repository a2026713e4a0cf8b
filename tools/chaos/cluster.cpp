#include "tools/chaos/cluster.hpp"

#include <signal.h>  // NOLINT: SIGKILL is POSIX

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <utility>

#include "http/message.hpp"

namespace mountflow::chaos {
namespace {

constexpr const char* kRegistryProgram = "mountflow-registry-standin";
constexpr const char* kNodeProgram = "mountflow-node";
constexpr const char* kLoopback = "127.0.0.1:";
constexpr double kMicrosPerSecond = 1e6;
constexpr double kStopLimitSeconds = 15.0;  // from SIGTERM to exit; exceeds the daemon's stop_grace_s
constexpr double kMillisPerSecond = 1e3;

}  // namespace

Cluster::Cluster(const ClusterContext& context, std::function<void()> on_ready,
                 std::function<void(const RunError&)> on_failure)
    : context_(context), on_ready_(std::move(on_ready)), on_failure_(std::move(on_failure)) {}

tl::expected<void, RunError> Cluster::Start() {
  for (int i = 0; i < context_.scenario->nodes; ++i) {
    if (auto added = AddNode(i); !added) return added;
  }
  for (int i = 0; i < context_.scenario->daemons; ++i) {
    if (auto added = AddDaemon(i); !added) return added;
  }
  context_.log->Write(context_.loop->Now(), "head", HeadFields(*context_.scenario, NodeAddresses()));
  return StartRegistry();
}

tl::expected<void, RunError> Cluster::AddNode(int number) {
  ClusterNode node;
  node.name = "n" + std::to_string(number);
  node.rack = RackOf(*context_.scenario, number);
  node.zone = ZoneOf(*context_.scenario, number);
  auto proxy = OpenProxy(ProxyPoint::kNode, node.name);
  if (!proxy) return tl::unexpected(proxy.error());
  node.proxy = std::move(*proxy);
  nodes_.push_back(std::move(node));
  return {};
}

tl::expected<void, RunError> Cluster::AddDaemon(int number) {
  ClusterDaemon daemon;
  daemon.name = "d" + std::to_string(number);
  auto client_proxy = OpenProxy(ProxyPoint::kClient, daemon.name);
  if (!client_proxy) return tl::unexpected(client_proxy.error());
  auto report_proxy = OpenProxy(ProxyPoint::kReport, daemon.name);
  if (!report_proxy) return tl::unexpected(report_proxy.error());
  auto node_list_proxy = OpenProxy(ProxyPoint::kNodeList, daemon.name);
  if (!node_list_proxy) return tl::unexpected(node_list_proxy.error());
  daemon.client_proxy = std::move(*client_proxy);
  daemon.report_proxy = std::move(*report_proxy);
  daemon.node_list_proxy = std::move(*node_list_proxy);
  const auto index = static_cast<std::size_t>(number);
  daemon.node_list_proxy->SetNodeListCallback([this, index](std::size_t count) {
    if (count < nodes_.size() || daemons_[index].sees_all_nodes) return;
    daemons_[index].sees_all_nodes = true;
    ReportReadyOnce();
  });
  daemons_.push_back(std::move(daemon));
  return {};
}

tl::expected<std::unique_ptr<RecordingProxy>, RunError> Cluster::OpenProxy(ProxyPoint point,
                                                                           const std::string& peer) {
  auto proxy = std::make_unique<RecordingProxy>(context_.loop, context_.log, point, peer);
  if (const auto listening = proxy->Listen(); !listening) {
    return tl::unexpected(RunError{RunError::Code::kListen, "", event_loop::Describe(listening.error())});
  }
  return proxy;
}

tl::expected<void, RunError> Cluster::StartRegistry() {
  std::vector<std::string> arguments = {Program(kRegistryProgram), "--listen", "127.0.0.1:0"};
  if (context_.scenario->uses_etcd) arguments.emplace_back("--etcd");
  registry_process_ = std::make_unique<ChildProcess>(context_.loop, FileNamed("list.log"));
  const auto started = registry_process_->Start(
      arguments, [this](const std::string& line) { OnRegistryReady(line); }, FailOnExit(kRegistryProgram));
  if (started) return {};
  return tl::unexpected(RunError{RunError::Code::kCannotStart, kRegistryProgram, started.error().message()});
}

// The registry stand-in's first line ends with its port.
void Cluster::OnRegistryReady(const std::string& first_line) {
  registry_address_ = kLoopback + first_line.substr(first_line.rfind(' ') + 1);
  for (ClusterDaemon& daemon : daemons_) daemon.node_list_proxy->SetUpstream(registry_address_);
  if (!WriteFile("nodes.json", NodesFile(*context_.scenario, NodeAddresses(), registry_address_))) {
    return on_failure_({RunError::Code::kConfigNotWritten, "", "nodes.json"});
  }
  nodes_process_ = std::make_unique<ChildProcess>(context_.loop, FileNamed("nodes.log"));
  const auto started = nodes_process_->Start(
      {Program(kNodeProgram), "--nodes", FileNamed("nodes.json")},
      [this](const std::string& line) { OnNodesReady(line); }, FailOnExit(kNodeProgram));
  if (started) return;
  on_failure_({RunError::Code::kCannotStart, kNodeProgram, started.error().message()});
}

// The first line has the form "mountflow-node ready: control PORT NODE PORT NODE PORT ...".
void Cluster::OnNodesReady(const std::string& first_line) {
  std::istringstream words(first_line);
  std::string word;
  int port = 0;
  words >> word >> word >> word >> port;
  node_control_address_ = kLoopback + std::to_string(port);
  for (std::string name; words >> name >> port;) {
    for (ClusterNode& node : nodes_) {
      if (node.name == name) node.proxy->SetUpstream(kLoopback + std::to_string(port));
    }
  }
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    const ClusterDaemon& daemon = daemons_[i];
    const json file =
        DaemonFile(*context_.scenario, static_cast<int>(i),
                   {daemon.name, daemon.report_proxy->address(), daemon.node_list_proxy->address(),
                    FileNamed(daemon.name + ".log"), FileNamed(daemon.name + ".state")});
    if (!WriteFile(daemon.name + ".json", file)) {
      return on_failure_({RunError::Code::kConfigNotWritten, "", "the configuration of a daemon"});
    }
    StartDaemon(i);
  }
}

void Cluster::StartDaemon(std::size_t index) {
  ClusterDaemon& daemon = daemons_[index];
  daemon.process = std::make_unique<ChildProcess>(context_.loop, FileNamed(daemon.name + ".err"));
  const auto started = daemon.process->Start(
      {Program(context_.options->daemon), "-c", FileNamed(daemon.name + ".json")},
      [this, index](const std::string& line) { OnDaemonReady(index, line); },
      [this, index](int status) { OnDaemonExit(index, status); });
  if (started) return;
  on_failure_({RunError::Code::kCannotStart, daemon.name, started.error().message()});
}

// The first line has the form "mountflowd NAME ready: batch PORT, http PORT".
void Cluster::OnDaemonReady(std::size_t index, const std::string& first_line) {
  static const std::string kBeforePort = "batch ";
  ClusterDaemon& daemon = daemons_[index];
  const std::size_t at = first_line.find(kBeforePort);
  if (at == std::string::npos) {
    return on_failure_({RunError::Code::kUnexpectedFirstLine, daemon.name, first_line});
  }
  const long port = std::strtol(first_line.c_str() + at + kBeforePort.size(), nullptr, 10);
  const std::string address = kLoopback + std::to_string(port);
  daemon.client_proxy->SetUpstream(address);
  daemon.report_proxy->SetUpstream(address);
  daemon.is_up = true;
  context_.events->Record("daemon_start", daemon.name);
  ReportReadyOnce();
}

void Cluster::StopDaemon(std::size_t index, double restart_after_seconds) {
  ClusterDaemon& daemon = daemons_[index];
  daemon.is_up = false;
  daemon.is_stopping = true;
  daemon.restart_after_seconds = restart_after_seconds;
  daemon.process->Signal(SIGTERM);
  const auto limit = static_cast<Micros>(kStopLimitSeconds * kMicrosPerSecond);
  context_.loop->AddTimer(context_.loop->Now() + limit, [this, index] {
    if (!daemons_[index].is_stopping) return;
    on_failure_({RunError::Code::kUncleanStop, daemons_[index].name, "the process is still running"});
  });
}

void Cluster::OnDaemonStopped(std::size_t index, int status) {
  ClusterDaemon& daemon = daemons_[index];
  daemon.is_stopping = false;
  if (status != 0) {
    return on_failure_({RunError::Code::kUncleanStop, daemon.name, "wait status " + std::to_string(status)});
  }
  context_.events->Record("daemon_end", daemon.name);
  const auto delay = static_cast<Micros>(daemon.restart_after_seconds * kMicrosPerSecond);
  context_.loop->AddTimer(context_.loop->Now() + delay, [this, index] { StartDaemon(index); });
}

// A fault sets `is_up` to false before it kills a daemon, so an exit with `is_up` set is unexpected.
void Cluster::OnDaemonExit(std::size_t index, int status) {
  ClusterDaemon& daemon = daemons_[index];
  if (daemon.is_stopping && !is_stopping_) return OnDaemonStopped(index, status);
  const bool is_expected = is_stopping_ || !daemon.is_up;
  daemon.is_up = false;
  if (is_expected) return;
  on_failure_({RunError::Code::kUnexpectedEnd, daemon.name, context_.options->folder});
}

std::function<void(int)> Cluster::FailOnExit(const std::string& program) {
  return [this, program](int) {
    if (is_stopping_) return;
    on_failure_({RunError::Code::kUnexpectedEnd, program, context_.options->folder});
  };
}

void Cluster::ReportReadyOnce() {
  if (is_ready_) return;
  is_ready_ = std::all_of(daemons_.begin(), daemons_.end(),
                          [](const ClusterDaemon& daemon) { return daemon.is_up && daemon.sees_all_nodes; });
  if (is_ready_) on_ready_();
}

void Cluster::KillAll() {
  is_stopping_ = true;
  std::vector<ChildProcess*> processes;
  for (const ClusterDaemon& daemon : daemons_) processes.push_back(daemon.process.get());
  processes.push_back(nodes_process_.get());
  processes.push_back(registry_process_.get());
  std::erase(processes, nullptr);
  for (const ChildProcess* process : processes) process->Signal(SIGKILL);
  for (const ChildProcess* process : processes) process->Wait();
}

void Cluster::ControlNode(const std::string& node, const std::string& action) {
  Put(node_control_address_, "/v1/nodes/" + node + "/" + action);
}

void Cluster::ControlRegistry(const std::string& path) { Put(registry_address_, path); }

void Cluster::Put(const std::string& address, const std::string& path) {
  const event_loop::ConnId connection = context_.loop->Connect(address, this);
  context_.loop->Send(connection, http::WriteRequest("PUT", path, {{"Host", "control"}}, ""));
}

void Cluster::OnReceived(event_loop::ConnId connection, std::string_view) {
  context_.loop->Close(connection);
}

// The Consul stand-in delays changes itself. For etcd, the proxies delay the registry's replies.
void Cluster::DelayNodeLists(double seconds) {
  if (!context_.scenario->uses_etcd) {
    const auto millis = static_cast<long>(seconds * kMillisPerSecond);
    return ControlRegistry("/v1/delay?ms=" + std::to_string(millis));
  }
  ChangeNodeListControl(kAnyDaemon, [seconds](TrafficControl* control) {
    control->reply_delay = static_cast<Micros>(seconds * kMicrosPerSecond);
  });
}

void Cluster::ChangeNodeListControl(int daemon, const std::function<void(TrafficControl*)>& change) {
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    if (daemon >= 0 && static_cast<std::size_t>(daemon) != i) continue;
    change(&daemons_[i].node_list_control);
    daemons_[i].node_list_proxy->SetControl(daemons_[i].node_list_control);
  }
}

void Cluster::ForEachNodeListProxy(int daemon, const std::function<void(RecordingProxy*)>& call) {
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    if (daemon < 0 || static_cast<std::size_t>(daemon) == i) call(daemons_[i].node_list_proxy.get());
  }
}

std::vector<NodeAddress> Cluster::NodeAddresses() const {
  std::vector<NodeAddress> addresses;
  for (const ClusterNode& node : nodes_) {
    addresses.push_back({node.name, node.rack, node.zone, node.proxy->address()});
  }
  return addresses;
}

bool Cluster::WriteFile(const std::string& name, const json& content) {
  std::ofstream out(FileNamed(name));
  out << content.dump(2) << "\n";
  return out.good();
}

std::string Cluster::FileNamed(const std::string& name) const {
  return context_.options->folder + "/" + name;
}

std::string Cluster::Program(const std::string& name) const {
  return name.find('/') != std::string::npos ? name : context_.options->program_folder + "/" + name;
}

}  // namespace mountflow::chaos
