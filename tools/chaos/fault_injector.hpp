// Injects the faults of a scenario. A table in fault_injector.cpp maps each fault kind to its handler; faults
// of the registry are handled in registry_fault_injector.hpp.
#ifndef MOUNTFLOW_TOOLS_CHAOS_FAULT_INJECTOR_HPP_
#define MOUNTFLOW_TOOLS_CHAOS_FAULT_INJECTOR_HPP_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "event_loop/event_loop.hpp"
#include "tools/chaos/cluster.hpp"
#include "tools/chaos/registry_fault_injector.hpp"
#include "tools/chaos/workload.hpp"

namespace mountflow::chaos {

class FaultInjector {
 public:
  // Nodes and daemons are chosen by a random generator that starts from the seed of the scenario.
  FaultInjector(const ClusterContext& context, Cluster* cluster, Workload* workload);

  // Starts the fault now and ends it after its duration.
  void Inject(const Fault& fault);

 private:
  using Handler = void (FaultInjector::*)(const Fault& fault);
  struct Row {
    FaultKind kind;
    Handler handler;
  };
  static const std::vector<Row>& Rows();

  void KillNodes(const Fault& fault);
  void HangOrDrainNodes(const Fault& fault);
  void SlowNodes(const Fault& fault);
  void FailQueue(const Fault& fault);
  void HoldTraffic(const Fault& fault);
  void PauseNodes(const Fault& fault);
  void DelayNodeLists(const Fault& fault);
  void KillDaemon(const Fault& fault);
  void StallDaemon(const Fault& fault);
  void StopDaemon(const Fault& fault);
  void ReloadDaemon(const Fault& fault);
  void Reconnect(const Fault& fault);
  void Burst(const Fault& fault);
  void Cancel(const Fault& fault);
  void LoseClient(const Fault& fault);
  void SendHalfFrame(const Fault& fault);

  [[nodiscard]] std::vector<std::size_t> ChooseNodes(const Fault& fault);
  [[nodiscard]] std::size_t ChooseDaemon(const Fault& fault);
  // Sends the control action `begin` to each chosen node now, and `end` when the fault ends.
  void ControlNodes(const Fault& fault, const std::string& begin, const std::string& end);
  void Pause(std::size_t node, const Fault& fault, Micros until);
  void After(double seconds, std::function<void()> call);
  void Record(const Fault& fault, const std::string& name = "");

  ClusterContext context_;
  Cluster* cluster_;
  Workload* workload_;
  RegistryFaultInjector registry_;
  std::mt19937_64 random_;
};

}  // namespace mountflow::chaos

#endif  // MOUNTFLOW_TOOLS_CHAOS_FAULT_INJECTOR_HPP_
