// What one attempt used, as its node reported it.
#ifndef MOUNTFLOW_LEDGER_ATTEMPT_USAGE_HPP_
#define MOUNTFLOW_LEDGER_ATTEMPT_USAGE_HPP_

#include <cstdint>
#include <string>

#include "ledger/ledger_error.hpp"
#include "mountflow/scheduler.hpp"

namespace mountflow::ledger {

constexpr std::size_t kMaxTextBytes = 1024;  // of each text in a record

struct AttemptUsage {
  std::string attempt;  // JOB.SERVER/NUMBER: unique over restarts
  std::string tenant;
  std::string task_class;
  std::string kind;  // of node
  Micros start = 0;  // wall time
  Micros end = 0;
  std::int64_t millicores = 0;  // requested
  std::int64_t mebibytes = 0;
};

// kInvalidArgument when a field is beyond its bounds. Within them all sums stay far within 128 bits.
[[nodiscard]] LedgerStatus Validate(const AttemptUsage& usage);

// A digest of everything but the name, to tell a repeated report from a conflicting one. It is stored.
[[nodiscard]] std::uint64_t DigestOf(const AttemptUsage& usage);

}  // namespace mountflow::ledger

#endif  // MOUNTFLOW_LEDGER_ATTEMPT_USAGE_HPP_
