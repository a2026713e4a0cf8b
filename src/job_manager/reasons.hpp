// Texts that are stored with a job as the reason for its final answer or for its latest event.
#ifndef MOUNTFLOW_JOB_MANAGER_REASONS_HPP_
#define MOUNTFLOW_JOB_MANAGER_REASONS_HPP_

#include <string>

namespace mountflow::job_manager {

// The reason for the loss of a running task that its node no longer reports. Stored in records.
inline constexpr const char* kUnknownToNode = "the node does not know it any more";

// The reason for the final answer to a job that must not run twice, after an attempt of it was lost before
// its node had confirmed it.
inline constexpr const char* kMayHaveRunAtLostNode =
    "it may have run on a node that was lost, and its class must not run twice";

inline constexpr std::size_t kMaxReasonBytes = 1024;

// Truncates a reason, which may come from a node, to kMaxReasonBytes.
inline std::string BoundedReason(std::string reason) {
  if (reason.size() > kMaxReasonBytes) reason.resize(kMaxReasonBytes);
  return reason;
}

}  // namespace mountflow::job_manager

#endif  // MOUNTFLOW_JOB_MANAGER_REASONS_HPP_
