// Exact amounts of 128 bits: usage in millicore-microseconds or mebibyte-microseconds, money in micro-units.
#ifndef MOUNTFLOW_LEDGER_AMOUNT_HPP_
#define MOUNTFLOW_LEDGER_AMOUNT_HPP_

#include <string>

namespace mountflow::ledger {

__extension__ typedef __int128 Amount;

// Decimal digits, with a minus sign where negative.
[[nodiscard]] std::string ToText(Amount amount);

// Rounds half up, also below zero. `divisor` is positive.
[[nodiscard]] Amount DivideHalfUp(Amount dividend, Amount divisor);

}  // namespace mountflow::ledger

#endif  // MOUNTFLOW_LEDGER_AMOUNT_HPP_
