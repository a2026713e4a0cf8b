// Encodes and decodes node entries, the JSON values that a registry stores for each node, and the key-value
// replies of Consul's published HTTP interface (/v1/kv).
#ifndef MOUNTFLOW_DISCOVERY_ENTRY_HPP_
#define MOUNTFLOW_DISCOVERY_ENTRY_HPP_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "discovery/decode_error.hpp"
#include "job_manager/messages.hpp"

namespace mountflow::discovery {

// Maximum size of one value in bytes. A typical entry has 300. Longer values are skipped with a warning.
inline constexpr std::size_t kMaxEntryBytes = 16U << 10U;

// Returns the entry of `node` as JSON.
[[nodiscard]] std::string EncodeNodeEntry(const job_manager::ListedNode& node);
// Decodes an entry. Unknown members are ignored, and absent optional members get their defaults.
[[nodiscard]] tl::expected<job_manager::ListedNode, DecodeError> DecodeNodeEntry(std::string_view text);

// One key of a registry with its value.
struct KeyValue {
  std::string key;
  std::string value;
  std::uint64_t create_index = 0;
  std::uint64_t modify_index = 0;
  std::string session = {};  // Consul: ID of the session that holds the key
};
// Returns the body of a /v1/kv reply.
[[nodiscard]] std::string EncodeKeyValues(const std::vector<KeyValue>& pairs);
// Decodes the body of a /v1/kv reply.
[[nodiscard]] tl::expected<std::vector<KeyValue>, DecodeError> DecodeKeyValues(std::string_view text);

// Returns the string member `name` of an object, or an empty string if it is absent or not a string.
[[nodiscard]] std::string TextOf(const nlohmann::json& object, const char* name);

// Returns `bytes` in base64, with padding.
[[nodiscard]] std::string Base64(std::string_view bytes);
// Decodes base64. Returns false if `text` is not valid base64; `bytes` then holds a part of the result.
bool FromBase64(std::string_view text, std::string* bytes);

}  // namespace mountflow::discovery

#endif  // MOUNTFLOW_DISCOVERY_ENTRY_HPP_
