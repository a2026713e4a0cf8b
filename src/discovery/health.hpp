// Nodes registered as instances of one Consul service, each with a TTL check (HTTP interface: /v1/health,
// /v1/agent). Instances are converted to the same entries as the values of the key-value interface.
//
// The node's name is the ID of the service instance. The fields of an entry other than name and address
// (rack, room, kind, started, state, free_cores, free_memory) come from the instance's Meta or, if absent
// there, from tags of the form key=value.
//   - A node is draining while its service or its agent is in maintenance mode.
//   - A node is gone while any other check is critical, for example because its TTL expired or its
//     agent failed.
#ifndef MOUNTFLOW_DISCOVERY_HEALTH_HPP_
#define MOUNTFLOW_DISCOVERY_HEALTH_HPP_

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "discovery/entry.hpp"
#include "mountflow/scheduler.hpp"

namespace mountflow::discovery {

// Decodes a reply of /v1/health/service/NAME. The result omits nodes that are gone. An instance with invalid
// fields gets a value that is not a valid node entry, so that the caller warns about it.
[[nodiscard]] tl::expected<std::vector<KeyValue>, DecodeError> DecodeHealth(std::string_view body);

// Returns the body of a /v1/agent/service/register request for an entry made by EncodeNodeEntry, or an empty
// string if the entry is invalid. `time_to_live` is the TTL of the check.
[[nodiscard]] std::string EncodeService(std::string_view entry, const std::string& service,
                                        Micros time_to_live);

}  // namespace mountflow::discovery

#endif  // MOUNTFLOW_DISCOVERY_HEALTH_HPP_
