// The fault injection request, an extension of this program that the chaos test uses: PUT /v1/break with any
// of these query parameters.
//   - leader=true|false: sets whether the cluster has a leader
//   - restore=N: restores a backup that is N revisions old
//   - compact=true: compacts the whole history (etcd only)
//   - empty=PREFIX: deletes all keys under the prefix
//   - flood=N: writes N changes to fifty entries under prefix=P, then deletes these entries
//   - leave=true: keeps the entries of the flood
// Several faults in one request are injected in this order.
#ifndef MOUNTFLOW_TOOLS_REGISTRY_STANDIN_FAULT_CONTROL_HPP_
#define MOUNTFLOW_TOOLS_REGISTRY_STANDIN_FAULT_CONTROL_HPP_

#include "http/message.hpp"
#include "mountflow/scheduler.hpp"
#include "tools/registry_standin/registry_backend.hpp"

namespace mountflow::registry_standin {

// Reports whether the path is that of the fault injection request.
[[nodiscard]] bool IsFaultRequest(const http::Message& request);
// Injects all faults that `request` lists into `backend`.
void InjectFaults(Micros now, const http::Message& request, RegistryBackend* backend);

}  // namespace mountflow::registry_standin

#endif  // MOUNTFLOW_TOOLS_REGISTRY_STANDIN_FAULT_CONTROL_HPP_
