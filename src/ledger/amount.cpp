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
  for (Magnitude rest = negative ? ~bits + 1 : bits; rest != 0; rest /= 10)
    text.push_back(static_cast<char>('0' + static_cast<int>(rest % 10)));
  if (negative) text.push_back('-');
  std::reverse(text.begin(), text.end());
  return text;
}

Amount DivideHalfUp(Amount dividend, Amount divisor) {
  const Amount doubled = 2 * dividend + divisor;
  const Amount quotient = doubled / (2 * divisor);
  const bool was_rounded_up = doubled % (2 * divisor) < 0;  // towards zero, from below it
  return was_rounded_up ? quotient - 1 : quotient;
}

}  // namespace mountflow::ledger
