#include "tools/chaos/fault_injector.hpp"

#include <signal.h>  // NOLINT: SIGSTOP, SIGCONT and SIGHUP are POSIX

#include <algorithm>
#include <cmath>
#include <utility>

#include "tools/chaos/scenario_codec.hpp"

namespace mountflow::chaos {
namespace {

constexpr double kMicrosPerSecond = 1e6;
constexpr double kMinSecondsBetweenPauses = 0.05;
constexpr double kMinDaemonDownSeconds = 0.2;

Micros ToMicros(double seconds) { return static_cast<Micros>(seconds * kMicrosPerSecond); }

}  // namespace

FaultInjector::FaultInjector(const ClusterContext& context, Cluster* cluster, Workload* workload)
    : context_(context),
      cluster_(cluster),
      workload_(workload),
      registry_(context, cluster),
      random_(context.scenario->seed) {}

const std::vector<FaultInjector::Row>& FaultInjector::Rows() {
  static const std::vector<Row> kRows = {
      {FaultKind::kNodeKill, &FaultInjector::KillNodes},
      {FaultKind::kNodeHang, &FaultInjector::HangOrDrainNodes},
      {FaultKind::kDrain, &FaultInjector::HangOrDrainNodes},
      {FaultKind::kSlowNode, &FaultInjector::SlowNodes},
      {FaultKind::kFailQueue, &FaultInjector::FailQueue},
      {FaultKind::kNodeStall, &FaultInjector::HoldTraffic},
      {FaultKind::kOneWay, &FaultInjector::HoldTraffic},
      {FaultKind::kSlowAnswer, &FaultInjector::HoldTraffic},
      {FaultKind::kPauses, &FaultInjector::PauseNodes},
      {FaultKind::kLateNodeList, &FaultInjector::DelayNodeLists},
      {FaultKind::kDaemonKill, &FaultInjector::KillDaemon},
      {FaultKind::kDaemonStall, &FaultInjector::StallDaemon},
      {FaultKind::kDaemonStop, &FaultInjector::StopDaemon},
      {FaultKind::kDaemonReload, &FaultInjector::ReloadDaemon},
      {FaultKind::kReconnect, &FaultInjector::Reconnect},
      {FaultKind::kBurst, &FaultInjector::Burst},
      {FaultKind::kCancel, &FaultInjector::Cancel},
      {FaultKind::kClientGone, &FaultInjector::LoseClient},
      {FaultKind::kHalfFrame, &FaultInjector::SendHalfFrame},
  };
  return kRows;
}

void FaultInjector::Inject(const Fault& fault) {
  for (const Row& row : Rows()) {
    if (row.kind == fault.kind) return (this->*row.handler)(fault);
  }
  registry_.Inject(fault);
}

void FaultInjector::KillNodes(const Fault& fault) {
  const std::vector<std::size_t> chosen = ChooseNodes(fault);
  for (const std::size_t index : chosen) {
    ClusterNode& node = cluster_->nodes()[index];
    node.is_alive = false;
    cluster_->ControlNode(node.name, "kill");
    node.proxy->CutAll();
    context_.events->Record("node_kill", node.name);
  }
  if (fault.duration_seconds >= kPermanentSeconds) return;
  After(fault.duration_seconds, [this, chosen] {
    for (const std::size_t index : chosen) {
      ClusterNode& node = cluster_->nodes()[index];
      node.is_alive = true;
      context_.events->Record("node_start", node.name);
      cluster_->ControlNode(node.name, "start");
    }
  });
}

void FaultInjector::HangOrDrainNodes(const Fault& fault) {
  const std::string action = NameOf(fault.kind);
  ControlNodes(fault, action, "un" + action);
}

void FaultInjector::SlowNodes(const Fault& fault) {
  ControlNodes(fault, "slow?factor=" + std::to_string(fault.size), "slow?factor=1");
}

void FaultInjector::FailQueue(const Fault& fault) {
  ControlNodes(fault, "fail?queue=" + fault.queue, "fail?queue=");
}

void FaultInjector::ControlNodes(const Fault& fault, const std::string& begin, const std::string& end) {
  for (const std::size_t index : ChooseNodes(fault)) {
    const std::string& name = cluster_->nodes()[index].name;
    cluster_->ControlNode(name, begin);
    Record(fault, name);
    if (fault.duration_seconds >= kPermanentSeconds) continue;
    After(fault.duration_seconds, [this, name, end] { cluster_->ControlNode(name, end); });
  }
}

void FaultInjector::HoldTraffic(const Fault& fault) {
  TrafficControl control;
  if (fault.kind == FaultKind::kSlowAnswer) {
    control.reply_delay = ToMicros(fault.size);
  } else {
    control.hold_replies = true;
    control.hold_requests = fault.kind == FaultKind::kNodeStall;
  }
  for (const std::size_t index : ChooseNodes(fault)) {
    ClusterNode& node = cluster_->nodes()[index];
    node.proxy->SetControl(control);
    Record(fault, node.name);
    After(fault.duration_seconds, [this, index] { cluster_->nodes()[index].proxy->SetControl({}); });
  }
}

void FaultInjector::PauseNodes(const Fault& fault) {
  const std::vector<std::size_t> chosen = ChooseNodes(fault);
  for (const std::size_t index : chosen) Record(fault, cluster_->nodes()[index].name);
  const Micros until = context_.loop->Now() + ToMicros(fault.duration_seconds);
  for (const std::size_t index : chosen) Pause(index, fault, until);
}

void FaultInjector::Pause(std::size_t node, const Fault& fault, Micros until) {
  if (context_.loop->Now() >= until) return;
  TrafficControl control;
  control.hold_requests = true;
  control.hold_replies = true;
  cluster_->nodes()[node].proxy->SetControl(control);
  After(fault.size, [this, node, fault, until] {
    cluster_->nodes()[node].proxy->SetControl({});
    After(std::max(fault.interval_seconds, kMinSecondsBetweenPauses),
          [this, node, fault, until] { Pause(node, fault, until); });
  });
}

void FaultInjector::DelayNodeLists(const Fault& fault) {
  Record(fault);
  const double usual_delay = context_.scenario->node_list_delay_seconds;
  cluster_->DelayNodeLists(usual_delay + fault.size);
  After(fault.duration_seconds, [this, usual_delay] { cluster_->DelayNodeLists(usual_delay); });
}

void FaultInjector::KillDaemon(const Fault& fault) {
  const std::size_t index = ChooseDaemon(fault);
  ClusterDaemon& daemon = cluster_->daemons()[index];
  if (!daemon.is_up) return;
  daemon.is_up = false;
  Record(fault, daemon.name);
  daemon.process->Signal(SIGKILL);
  After(std::max(fault.duration_seconds, kMinDaemonDownSeconds),
        [this, index] { cluster_->StartDaemon(index); });
}

void FaultInjector::StallDaemon(const Fault& fault) {
  const std::size_t index = ChooseDaemon(fault);
  const ClusterDaemon& daemon = cluster_->daemons()[index];
  if (!daemon.is_up) return;
  Record(fault, daemon.name);
  daemon.process->Signal(SIGSTOP);
  After(fault.duration_seconds, [this, index] {
    const ClusterDaemon& stalled = cluster_->daemons()[index];
    stalled.process->Signal(SIGCONT);
    context_.events->Record("daemon_continue", stalled.name);
  });
}

void FaultInjector::StopDaemon(const Fault& fault) {
  const std::size_t index = ChooseDaemon(fault);
  ClusterDaemon& daemon = cluster_->daemons()[index];
  if (!daemon.is_up) return;
  Record(fault, daemon.name);
  const int reloads = static_cast<int>(fault.size);
  for (int i = 0; i < reloads / 2; ++i) daemon.process->Signal(SIGHUP);
  cluster_->StopDaemon(index, fault.duration_seconds);
  for (int i = reloads / 2; i < reloads; ++i) daemon.process->Signal(SIGHUP);
  daemon.process->Signal(SIGTERM);
}

void FaultInjector::ReloadDaemon(const Fault& fault) {
  const ClusterDaemon& daemon = cluster_->daemons()[ChooseDaemon(fault)];
  if (!daemon.is_up) return;
  Record(fault, daemon.name);
  for (int i = 0; i < static_cast<int>(fault.size); ++i) daemon.process->Signal(SIGHUP);
}

void FaultInjector::Reconnect(const Fault& fault) {
  Record(fault);
  workload_->RestartServices(fault.node_share, ToMicros(fault.duration_seconds));
}

void FaultInjector::Burst(const Fault& fault) {
  Record(fault);
  workload_->SetRateFactor(fault.size);
  After(fault.duration_seconds, [this] { workload_->SetRateFactor(1.0); });
}

void FaultInjector::Cancel(const Fault& fault) {
  Record(fault);
  workload_->CancelJobs(static_cast<int>(fault.size));
}

void FaultInjector::LoseClient(const Fault& fault) {
  Record(fault);
  workload_->AbortSubmission();
}

void FaultInjector::SendHalfFrame(const Fault& fault) {
  Record(fault);
  workload_->SendHalfFrame();
}

// Returns all live nodes of the fault's rack or zone. A fault without rack and zone gets the given number or
// share of the live nodes, at least one, chosen at random.
std::vector<std::size_t> FaultInjector::ChooseNodes(const Fault& fault) {
  std::vector<std::size_t> chosen;
  const std::vector<ClusterNode>& nodes = cluster_->nodes();
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    const bool in_rack = fault.rack.empty() || nodes[i].rack == fault.rack;
    const bool in_zone = fault.zone.empty() || nodes[i].zone == fault.zone;
    if (in_rack && in_zone && nodes[i].is_alive) chosen.push_back(i);
  }
  if (!fault.rack.empty() || !fault.zone.empty()) return chosen;
  std::shuffle(chosen.begin(), chosen.end(), random_);
  const auto by_share =
      static_cast<std::size_t>(std::lround(fault.node_share * static_cast<double>(nodes.size())));
  const std::size_t count = fault.nodes > 0 ? static_cast<std::size_t>(fault.nodes) : by_share;
  chosen.resize(std::min(chosen.size(), std::max<std::size_t>(count, 1)));
  return chosen;
}

std::size_t FaultInjector::ChooseDaemon(const Fault& fault) {
  return fault.daemon >= 0 ? static_cast<std::size_t>(fault.daemon) : random_() % cluster_->daemons().size();
}

void FaultInjector::After(double seconds, std::function<void()> call) {
  context_.loop->AddTimer(context_.loop->Now() + ToMicros(seconds), std::move(call));
}

void FaultInjector::Record(const Fault& fault, const std::string& name) {
  context_.events->Record(NameOf(fault.kind), name);
}

}  // namespace mountflow::chaos
