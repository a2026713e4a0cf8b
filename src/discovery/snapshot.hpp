// Saves the last node list to a file, for a start while the registry is unreachable.
//
// Format, version 1: the line "mountflow-view 1 CHECKSUM LENGTH\n", then LENGTH bytes of JSON. CHECKSUM is
// the XXH3-64 hash of the JSON in hexadecimal. The list is written to a temporary file, which is synced and
// then renamed, so that a crash leaves either the old file or the new one.
#ifndef MOUNTFLOW_DISCOVERY_SNAPSHOT_HPP_
#define MOUNTFLOW_DISCOVERY_SNAPSHOT_HPP_

#include <string>
#include <string_view>
#include <system_error>
#include <tl/expected.hpp>
#include <vector>

#include "discovery/decode_error.hpp"
#include "job_manager/messages.hpp"

namespace mountflow::discovery {

// A node list and the time at which it was saved.
struct Snapshot {
  Micros taken_at = 0;  // wall clock time in microseconds since the epoch
  std::vector<job_manager::ListedNode> nodes;
};

// The reason why a snapshot could not be saved or loaded.
struct SnapshotError {
  enum class Code { kOpen, kWrite, kSync, kRename, kUnreadable, kInvalid };

  Code code = Code::kOpen;
  std::string file;
  std::error_code system;  // kOpen, kWrite, kSync, kRename
  DecodeError decoding;    // kInvalid
};

// Returns the error as text for a log.
[[nodiscard]] std::string Describe(const SnapshotError& error);

// Returns the contents of the file.
[[nodiscard]] std::string EncodeSnapshot(const Snapshot& snapshot);
// Decodes the contents of the file. Truncated or modified contents, or another version, are an error.
[[nodiscard]] tl::expected<Snapshot, DecodeError> DecodeSnapshot(std::string_view bytes);

// Saves the snapshot. Blocks until the file is on disk.
[[nodiscard]] tl::expected<void, SnapshotError> SaveSnapshot(const std::string& file,
                                                             const Snapshot& snapshot);
[[nodiscard]] tl::expected<Snapshot, SnapshotError> LoadSnapshot(const std::string& file);

}  // namespace mountflow::discovery

#endif  // MOUNTFLOW_DISCOVERY_SNAPSHOT_HPP_
