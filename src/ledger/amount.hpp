// Exact amounts as 128-bit integers: usage in millicore-microseconds or mebibyte-microseconds, and money in
// micro-units.
#ifndef MOUNTFLOW_LEDGER_AMOUNT_HPP_
#define MOUNTFLOW_LEDGER_AMOUNT_HPP_

#include <string>

namespace mountflow::ledger {

__extension__ typedef __int128 Amount;

// Returns the decimal digits of `amount`, after a minus sign if it is negative.
[[nodiscard]] std::string ToText(Amount amount);

// Returns the quotient rounded to the nearest integer. Halves are rounded up, for negative quotients too.
// `divisor` must be positive.
[[nodiscard]] Amount DivideHalfUp(Amount dividend, Amount divisor);

}  // namespace mountflow::ledger

#endif  // MOUNTFLOW_LEDGER_AMOUNT_HPP_
