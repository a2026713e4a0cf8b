// Errors from decoding a registry's replies or a saved node list.
#ifndef MOUNTFLOW_DISCOVERY_DECODE_ERROR_HPP_
#define MOUNTFLOW_DISCOVERY_DECODE_ERROR_HPP_

#include <cstddef>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace mountflow::discovery {

// The reason why bytes could not be decoded. A comment after a code names the other fields that it sets.
struct DecodeError {
  enum class Code {
    // Codes of a node entry.
    kEntryTooLong,  // limit
    kNotAnObject,
    kInvalidString,  // field, limit
    kInvalidNumber,  // field
    kInvalidStart,
    kInvalidState,
    // Codes of a Consul reply.
    kNotAKeyList,
    kNoKey,
    kInvalidBase64Value,
    kNotAnInstanceList,
    kMissingServiceId,
    // Codes of an etcd reply.
    kInvalidRange,
    kInvalidPairList,
    kInvalidBase64Pair,
    kInvalidWatchMessage,  // detail: the text of the error object received instead
    kInvalidEventList,
    kInvalidBase64Event,
    // Codes of a saved node list.
    kUnsupportedVersion,
    kLengthMismatch,
    kChecksumMismatch,
    kInvalidNodeList,
  };

  Code code = Code::kNotAnObject;
  std::string field;
  std::size_t limit = 0;  // bytes
  std::optional<std::string> detail;
};

// Returns what was expected, worded to follow "expected ".
[[nodiscard]] std::string Describe(const DecodeError& error);

// Returns an error for a function whose return type is tl::expected<..., DecodeError>.
[[nodiscard]] inline tl::unexpected<DecodeError> Expected(DecodeError::Code code, std::string field = "",
                                                          std::size_t limit = 0) {
  return tl::unexpected(DecodeError{code, std::move(field), limit, {}});
}

}  // namespace mountflow::discovery

#endif  // MOUNTFLOW_DISCOVERY_DECODE_ERROR_HPP_
