// The usage of one attempt, as its node reported it.
#ifndef MOUNTFLOW_LEDGER_ATTEMPT_USAGE_HPP_
#define MOUNTFLOW_LEDGER_ATTEMPT_USAGE_HPP_

#include <cstdint>
#include <string>

#include "ledger/ledger_error.hpp"
#include "mountflow/scheduler.hpp"

namespace mountflow::ledger {

constexpr std::size_t kMaxTextBytes = 1024;  // maximum size of each text in a record

// The time and the requested resources of one attempt.
struct AttemptUsage {
  std::string attempt;  // name of the attempt, JOB.SERVER/NUMBER; unique across restarts
  std::string tenant;
  std::string task_class;
  std::string kind;             // kind of the node
  Micros start = 0;             // wall-clock time
  Micros end = 0;               // wall-clock time
  std::int64_t millicores = 0;  // requested CPU
  std::int64_t mebibytes = 0;   // requested memory
};

// Returns kInvalidArgument when a field is outside its bounds. The bounds ensure that no sum of usages
// approaches the limits of 128 bits.
[[nodiscard]] LedgerStatus Validate(const AttemptUsage& usage);

// Returns a digest of all fields except `attempt`, which distinguishes a repeated report from a conflicting
// one. The digest is stored, so its definition must not change.
[[nodiscard]] std::uint64_t DigestOf(const AttemptUsage& usage);

}  // namespace mountflow::ledger

#endif  // MOUNTFLOW_LEDGER_ATTEMPT_USAGE_HPP_
