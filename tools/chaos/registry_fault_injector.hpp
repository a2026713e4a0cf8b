// Injects faults into the connections between the daemons and the registry, and into the registry stand-in.
#ifndef MOUNTFLOW_TOOLS_CHAOS_REGISTRY_FAULT_INJECTOR_HPP_
#define MOUNTFLOW_TOOLS_CHAOS_REGISTRY_FAULT_INJECTOR_HPP_

#include <functional>
#include <string>
#include <vector>

#include "tools/chaos/cluster.hpp"

namespace mountflow::chaos {

class RegistryFaultInjector {
 public:
  RegistryFaultInjector(const ClusterContext& context, Cluster* cluster)
      : context_(context), cluster_(cluster) {}

  // Starts the fault. Ignores faults that do not concern the registry.
  void Inject(const Fault& fault);

 private:
  using Handler = void (RegistryFaultInjector::*)(const Fault& fault);
  struct Row {
    FaultKind kind;
    Handler handler;
  };
  static const std::vector<Row>& Rows();

  void RejectConnections(const Fault& fault);
  void CutConnections(const Fault& fault);
  void CutInReply(const Fault& fault);
  void TrickleReplies(const Fault& fault);
  void LoseLeader(const Fault& fault);
  void RestoreBackup(const Fault& fault);
  void Compact(const Fault& fault);
  void Empty(const Fault& fault);
  void Flood(const Fault& fault);

  // Requests a scripted fault from the registry stand-in.
  void ControlStandIn(const std::string& parameters);
  void After(double seconds, std::function<void()> call);

  ClusterContext context_;
  Cluster* cluster_;
};

}  // namespace mountflow::chaos

#endif  // MOUNTFLOW_TOOLS_CHAOS_REGISTRY_FAULT_INJECTOR_HPP_
