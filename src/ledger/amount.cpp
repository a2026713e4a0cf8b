#include "ledger/amount.hpp"

#include <algorithm>

namespace mountflow::ledger {
namespace {

__extension__ typedef unsigned __int128 Magnitude;

}  // namespace

std::string ToText(Amount amount) {
  if (amount == 0) return "0";
  const bool negative = amount < 0;
  const auto bits = static_cast<Magnitude>(amount);
  std::string text;
  for (Magnitude remaining = negative ? ~bits + 1 : bits; remaining != 0; remaining /= 10)
    text.push_back(static_cast<char>('0' + static_cast<int>(remaining % 10)));
  if (negative) text.push_back('-');
  std::reverse(text.begin(), text.end());
  return text;
}

Amount DivideHalfUp(Amount dividend, Amount divisor) {
  const Amount doubled = 2 * dividend + divisor;
  const Amount quotient = doubled / (2 * divisor);
  // Integer division rounds towards zero, which is up if the exact quotient is negative and not an integer.
  const bool was_rounded_up = doubled % (2 * divisor) < 0;
  return was_rounded_up ? quotient - 1 : quotient;
}

}  // namespace mountflow::ledger
