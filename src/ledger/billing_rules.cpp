#include "ledger/billing_rules.hpp"

#include <algorithm>
#include <tuple>

namespace mountflow::ledger {
namespace {

bool Matches(const Price& price, const std::string& task_class, const std::string& kind, Micros at) {
  if (price.from > at) return false;
  if (!price.task_class.empty() && price.task_class != task_class) return false;
  return price.kind.empty() || price.kind == kind;
}

}  // namespace

const Price* FindPrice(const std::vector<Price>& prices, const std::string& task_class,
                       const std::string& kind, Micros at) {
  const auto rank = [](const Price& price) {
    return std::make_tuple(!price.task_class.empty(), !price.kind.empty(), price.from);
  };
  const Price* best = nullptr;
  for (const Price& price : prices) {
    if (!Matches(price, task_class, kind, at)) continue;
    if (best == nullptr || rank(price) > rank(*best)) best = &price;
  }
  return best;
}

Micros NextPriceChange(const std::vector<Price>& prices, Micros from, Micros to) {
  Micros next = to;
  for (const Price& price : prices) {
    if (price.from > from) next = std::min(next, price.from);
  }
  return next;
}

}  // namespace mountflow::ledger
