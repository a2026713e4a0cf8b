// The last view, kept on disk for a start while the registry is away.
//
// Format, version 1: the line "mountflow-view 1 CHECKSUM LENGTH\n", then LENGTH
// bytes of JSON; CHECKSUM is XXH3-64 of these in hexadecimal. Written aside,
// synced and renamed, so that a crash leaves the old file or the new one.
#ifndef MOUNTFLOW_DISCOVERY_SNAPSHOT_HPP_
#define MOUNTFLOW_DISCOVERY_SNAPSHOT_HPP_

#include <string>
#include <string_view>
#include <vector>

#include "job_manager/messages.hpp"

namespace mountflow::discovery {

struct Snapshot {
  Micros taken_at = 0;  // wall time
  std::vector<job_manager::ListedNode> nodes;
};

std::string WriteSnapshot(const Snapshot& snapshot);
// False with what was expected; a file that is cut, changed or of another version is never taken.
bool ReadSnapshot(std::string_view bytes, Snapshot* snapshot, std::string* expected);

bool SaveSnapshot(const std::string& file, const Snapshot& snapshot, std::string* error);
bool LoadSnapshot(const std::string& file, Snapshot* snapshot, std::string* error);

}  // namespace mountflow::discovery

#endif  // MOUNTFLOW_DISCOVERY_SNAPSHOT_HPP_
