#include "ledger/ledger_error.hpp"

#include <utility>

namespace mountflow::ledger {

std::string Describe(const LedgerError& error) {
  std::string text = error.subject;
  if (!text.empty()) text += ": ";
  text += "expected " + error.expected;
  if (!error.found.empty()) text += ", found " + error.found;
  return text;
}

tl::unexpected<LedgerError> MakeError(LedgerErrorCode code, std::string subject, std::string expected,
                                      std::string found) {
  return tl::unexpected(LedgerError{code, std::move(subject), std::move(expected), std::move(found)});
}

}  // namespace mountflow::ledger
