// Errors of the ledger.
#ifndef MOUNTFLOW_LEDGER_LEDGER_ERROR_HPP_
#define MOUNTFLOW_LEDGER_LEDGER_ERROR_HPP_

#include <string>
#include <tl/expected.hpp>

namespace mountflow::ledger {

enum class LedgerErrorCode {
  kInvalidArgument,  // the argument cannot be posted, corrected, closed or parsed
  kDuplicate,        // this attempt was posted before with the same usage; no action is required
  kConflict,         // this attempt was posted before with other usage; an operator must post a correction
  kTooOld,           // the attempt ended so long ago that it is unknown whether it was posted
  kMalformedRecord,  // the bytes are not a valid record of this version
  kOutOfSequence,    // the record does not follow the last one
  kPeriodClosed,     // the posting would change a closed period
};

struct LedgerError {
  LedgerErrorCode code = LedgerErrorCode::kInvalidArgument;
  std::string subject;   // the attempt, field, period or sequence that is wrong; may be empty
  std::string expected;  // the valid value
  std::string found;     // the invalid value found instead of `expected`; may be empty
};

template <typename T>
using LedgerResult = tl::expected<T, LedgerError>;
using LedgerStatus = LedgerResult<void>;

// Returns the text "SUBJECT: expected X, found Y".
[[nodiscard]] std::string Describe(const LedgerError& error);

[[nodiscard]] tl::unexpected<LedgerError> MakeError(LedgerErrorCode code, std::string subject,
                                                    std::string expected, std::string found = "");

}  // namespace mountflow::ledger

#endif  // MOUNTFLOW_LEDGER_LEDGER_ERROR_HPP_
