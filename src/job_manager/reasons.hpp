// Texts that are stored with a job as the reason of its answer or of its last event.
#ifndef MOUNTFLOW_JOB_MANAGER_REASONS_HPP_
#define MOUNTFLOW_JOB_MANAGER_REASONS_HPP_

#include <string>

namespace mountflow::job_manager {

// Of a running task that its node does not report any more. Stored in records.
inline constexpr const char* kUnknownToNode = "the node does not know it any more";

inline constexpr std::size_t kMaxReasonBytes = 1024;

// The beginning of a reason that came from a node, as far as it is stored.
inline std::string BoundedReason(std::string reason) {
  if (reason.size() > kMaxReasonBytes) reason.resize(kMaxReasonBytes);
  return reason;
}

}  // namespace mountflow::job_manager

#endif  // MOUNTFLOW_JOB_MANAGER_REASONS_HPP_
