#include "tools/chaos/registry_fault_injector.hpp"

#include <algorithm>
#include <utility>

#include "http/message.hpp"
#include "tools/chaos/scenario_codec.hpp"

namespace mountflow::chaos {
namespace {

constexpr double kMicrosPerSecond = 1e6;
constexpr double kFloodStepSeconds = 0.1;

template <typename Number>
Number AtLeastOne(double size) {
  return static_cast<Number>(std::max(size, 1.0));
}

std::string EncodedPrefix() { return http::EncodeUrl(kNodeListPrefix); }

}  // namespace

const std::vector<RegistryFaultInjector::Row>& RegistryFaultInjector::Rows() {
  static const std::vector<Row> kRows = {
      {FaultKind::kRegistryAway, &RegistryFaultInjector::RejectConnections},
      {FaultKind::kRegistryCut, &RegistryFaultInjector::CutConnections},
      {FaultKind::kRegistryHalf, &RegistryFaultInjector::CutInReply},
      {FaultKind::kRegistryTrickle, &RegistryFaultInjector::TrickleReplies},
      {FaultKind::kRegistryLeaderless, &RegistryFaultInjector::LoseLeader},
      {FaultKind::kRegistryRestore, &RegistryFaultInjector::RestoreBackup},
      {FaultKind::kRegistryCompact, &RegistryFaultInjector::Compact},
      {FaultKind::kRegistryEmpty, &RegistryFaultInjector::Empty},
      {FaultKind::kRegistryFlood, &RegistryFaultInjector::Flood},
  };
  return kRows;
}

void RegistryFaultInjector::Inject(const Fault& fault) {
  for (const Row& row : Rows()) {
    if (row.kind != fault.kind) continue;
    const bool of_one_daemon = fault.daemon >= 0;
    context_.events->Record(
        NameOf(fault.kind),
        of_one_daemon ? cluster_->daemons()[static_cast<std::size_t>(fault.daemon)].name : "");
    return (this->*row.handler)(fault);
  }
}

void RegistryFaultInjector::RejectConnections(const Fault& fault) {
  const int daemon = fault.daemon;
  cluster_->ChangeNodeListControl(daemon,
                                  [](TrafficControl* control) { control->reject_connections = true; });
  CutConnections(fault);
  After(fault.duration_seconds, [this, daemon] {
    cluster_->ChangeNodeListControl(daemon,
                                    [](TrafficControl* control) { control->reject_connections = false; });
  });
}

void RegistryFaultInjector::CutConnections(const Fault& fault) {
  cluster_->ForEachNodeListProxy(fault.daemon, [](RecordingProxy* proxy) { proxy->CutAll(); });
}

void RegistryFaultInjector::CutInReply(const Fault& fault) {
  const auto bytes = AtLeastOne<std::size_t>(fault.size);
  cluster_->ForEachNodeListProxy(fault.daemon,
                                 [bytes](RecordingProxy* proxy) { proxy->CutAfterReplyBytes(bytes); });
}

void RegistryFaultInjector::TrickleReplies(const Fault& fault) {
  const int daemon = fault.daemon;
  const auto bytes = AtLeastOne<std::size_t>(fault.size);
  cluster_->ChangeNodeListControl(daemon,
                                  [bytes](TrafficControl* control) { control->reply_piece_size = bytes; });
  After(fault.duration_seconds, [this, daemon] {
    cluster_->ChangeNodeListControl(daemon, [](TrafficControl* control) { control->reply_piece_size = 0; });
  });
}

void RegistryFaultInjector::LoseLeader(const Fault& fault) {
  ControlStandIn("leader=false");
  After(fault.duration_seconds, [this] { ControlStandIn("leader=true"); });
}

void RegistryFaultInjector::RestoreBackup(const Fault& fault) {
  ControlStandIn("restore=" + std::to_string(AtLeastOne<long>(fault.size)));
}

void RegistryFaultInjector::Compact(const Fault&) { ControlStandIn("compact=true"); }

void RegistryFaultInjector::Empty(const Fault&) { ControlStandIn("empty=" + EncodedPrefix()); }

void RegistryFaultInjector::Flood(const Fault& fault) {
  const int steps = std::max(1, static_cast<int>(fault.duration_seconds / kFloodStepSeconds));
  const auto changes = static_cast<long>(fault.size * kFloodStepSeconds);
  for (int i = 0; i < steps; ++i) {
    const bool is_last = i + 1 == steps;
    const std::string parameters = "flood=" + std::to_string(changes) + "&prefix=" + EncodedPrefix() +
                                   "&leave=" + (is_last ? "false" : "true");
    After(i * kFloodStepSeconds, [this, parameters] { ControlStandIn(parameters); });
  }
}

void RegistryFaultInjector::ControlStandIn(const std::string& parameters) {
  cluster_->ControlRegistry("/v1/break?" + parameters);
}

void RegistryFaultInjector::After(double seconds, std::function<void()> call) {
  const Micros delay = static_cast<Micros>(seconds * kMicrosPerSecond);
  context_.loop->AddTimer(context_.loop->Now() + delay, std::move(call));
}

}  // namespace mountflow::chaos
