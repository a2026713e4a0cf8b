// Errors of durable storage.
#ifndef MOUNTFLOW_STORAGE_STORAGE_ERROR_HPP_
#define MOUNTFLOW_STORAGE_STORAGE_ERROR_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <system_error>
#include <tl/expected.hpp>

namespace mountflow::storage {

enum class StorageErrorCode {
  kSystem,           // a system call failed; see `operation` and `system`
  kLocked,           // another process has locked the directory
  kDamaged,          // stored bytes differ from those that were written; see `file` and `offset`
  kTooLarge,         // a record or a commit exceeds its limit
  kInvalidArgument,  // the state does not allow the call
};

// An error with the details that its code has. Details that do not apply are empty.
struct StorageError {
  StorageErrorCode code = StorageErrorCode::kSystem;
  std::string file;                     // path, or name within the directory of the log; may be empty
  std::optional<std::uint64_t> offset;  // kDamaged: byte offset within `file`
  std::string operation;                // kSystem: the operation that failed, such as "open" or "write"
  std::error_code system;               // kSystem: the error of the system call
  std::string expected;                 // kDamaged, kTooLarge, kInvalidArgument: the valid value
  std::string found;                    // the invalid value found instead of `expected`; may be empty

  bool operator==(const StorageError&) const = default;
};

template <typename T>
using StorageResult = tl::expected<T, StorageError>;
using StorageStatus = StorageResult<void>;

// Returns one line of text for operators: "FILE at byte N: expected X, found Y" or "FILE: OPERATION: REASON".
[[nodiscard]] std::string Describe(const StorageError& error);

}  // namespace mountflow::storage

#endif  // MOUNTFLOW_STORAGE_STORAGE_ERROR_HPP_
