// Encoding and decoding of values in the format of etcd's JSON gateway: 64-bit numbers as strings, bytes in
// base64, and each message of a stream as one line in one HTTP chunk.
#ifndef MOUNTFLOW_TOOLS_REGISTRY_STANDIN_ETCD_JSON_HPP_
#define MOUNTFLOW_TOOLS_REGISTRY_STANDIN_ETCD_JSON_HPP_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "tools/registry_standin/key_value_store.hpp"

namespace mountflow::registry_standin {

// The store and the cluster id, both of which appear in the header of each reply.
struct EtcdCluster {
  KeyValueStore store;
  std::uint64_t cluster_id = 1;

  [[nodiscard]] nlohmann::json Header() const;
};

[[nodiscard]] std::string NumberText(std::uint64_t number);
// Returns a member that is a number or a string holding a number; 0 if it is neither.
[[nodiscard]] std::uint64_t NumberOf(const nlohmann::json& object, const char* name);
// Returns the decoded bytes of a base64 member; empty if it is not valid base64.
[[nodiscard]] std::string BytesOf(const nlohmann::json& object, const char* name);
// Returns the range given by the members `key` and `range_end`.
[[nodiscard]] KeyRange RangeOf(const nlohmann::json& object);

[[nodiscard]] std::string WriteStreamHead();
// Returns one message of a stream, with `result` wrapped as the gateway does.
[[nodiscard]] std::string WriteStreamMessage(const nlohmann::json& result);

}  // namespace mountflow::registry_standin

#endif  // MOUNTFLOW_TOOLS_REGISTRY_STANDIN_ETCD_JSON_HPP_
