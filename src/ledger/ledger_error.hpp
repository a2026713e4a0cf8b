// Errors of the ledger.
#ifndef MOUNTFLOW_LEDGER_LEDGER_ERROR_HPP_
#define MOUNTFLOW_LEDGER_LEDGER_ERROR_HPP_

#include <string>
#include <tl/expected.hpp>

namespace mountflow::ledger {

enum class LedgerErrorCode {
  kInvalidArgument,  // the call asks for something that cannot be posted, corrected, closed or parsed
  kDuplicate,        // this attempt was posted before, with the same usage: nothing is left to do
  kConflict,         // this attempt was posted before, with other usage: an operator has to correct
  kTooOld,           // the attempt ended too long ago to know whether it was posted
  kMalformedRecord,  // bytes that are no record of this version
  kOutOfSequence,    // a record that does not follow the last one
  kPeriodClosed,     // a posting that would change a closed period
};

struct LedgerError {
  LedgerErrorCode code = LedgerErrorCode::kInvalidArgument;
  std::string subject;   // the attempt, field, period or sequence that it is about; may be empty
  std::string expected;  // what was expected of it
  std::string found;     // and what was found in its place; may be empty
};

template <typename T>
using LedgerResult = tl::expected<T, LedgerError>;
using LedgerStatus = LedgerResult<void>;

// "SUBJECT: expected X, found Y"
[[nodiscard]] std::string Describe(const LedgerError& error);

[[nodiscard]] tl::unexpected<LedgerError> MakeError(LedgerErrorCode code, std::string subject,
                                                    std::string expected, std::string found = "");

}  // namespace mountflow::ledger

#endif  // MOUNTFLOW_LEDGER_LEDGER_ERROR_HPP_
