#include "pbs_server/attribute_comparison.hpp"

#include <optional>
#include <string_view>

#include "pbs_server/attribute_values.hpp"

namespace mountflow::pbs_server {
namespace {

using pbs_protocol::Attribute;
using pbs_protocol::Op;

// Reports whether the comparison `operation` is true for two values. `order` is negative, zero or positive if
// the left value is less than, equal to or greater than the right one.
bool IsSatisfied(Op operation, int order) {
  switch (operation) {
    case Op::kNe:
      return order != 0;
    case Op::kGe:
      return order >= 0;
    case Op::kGt:
      return order > 0;
    case Op::kLe:
      return order <= 0;
    case Op::kLt:
      return order < 0;
    default:
      return order == 0;
  }
}

template <typename T>
bool Compare(Op operation, T left, T right) {
  return IsSatisfied(operation, left < right ? -1 : left > right ? 1 : 0);
}

std::optional<bool> MatchNumbers(const std::string& value, const Attribute& wanted) {
  const std::optional<double> left = ParseNumber(value);
  const std::optional<double> right = ParseNumber(wanted.value);
  if (!left || !right) return std::nullopt;
  return Compare(wanted.op, *left, *right);
}

std::optional<bool> MatchSizes(const std::string& value, const Attribute& wanted) {
  const std::optional<double> left = ParseSize(value);
  const std::optional<double> right = ParseSize(wanted.value);
  if (!left || !right) return std::nullopt;
  return Compare(wanted.op, *left, *right);
}

std::optional<bool> MatchTimes(const std::string& value, const Attribute& wanted) {
  const std::optional<Micros> left = ParseDuration(value);
  const std::optional<Micros> right = ParseDuration(wanted.value);
  if (!left || !right) return std::nullopt;
  return Compare(wanted.op, *left, *right);
}

// Equality means that the job is in any of the listed states.
std::optional<bool> MatchStates(const std::string& value, const Attribute& wanted) {
  if (wanted.op != Op::kEq && wanted.op != Op::kSet) return std::nullopt;
  return value.size() == 1 && wanted.value.find(value[0]) != std::string::npos;
}

// Compares user names without their hosts. Every operator except "not equal" means equality.
std::optional<bool> MatchUsers(const std::string& value, const Attribute& wanted) {
  const bool same = UserOf(value) == UserOf(wanted.value);
  return wanted.op == Op::kNe ? !same : same;
}

std::optional<bool> MatchTexts(const std::string& value, const Attribute& wanted) {
  return IsSatisfied(wanted.op, value.compare(wanted.value));
}

// Comparison of attributes of one type. The first row that applies to the attribute and returns a result
// decides. A row returns no result if a value is not of its type. An empty name or resource matches any.
struct ComparisonRow {
  std::string_view name;
  std::string_view resource;
  std::optional<bool> (*match)(const std::string& value, const Attribute& wanted);
};

constexpr ComparisonRow kComparisons[] = {
    {"", "", MatchNumbers},         {"", "mem", MatchSizes},       {"", "walltime", MatchTimes},
    {"job_state", "", MatchStates}, {"Job_Owner", "", MatchUsers}, {"", "", MatchTexts},
};

}  // namespace

std::string UserOf(const std::string& user) { return user.substr(0, user.find('@')); }

bool Matches(const pbs_protocol::Attributes& shown, const Attribute& wanted) {
  const std::string value(pbs_protocol::ValueOf(shown, wanted.name, wanted.resource));
  for (const ComparisonRow& row : kComparisons) {
    if (!row.name.empty() && row.name != wanted.name) continue;
    if (!row.resource.empty() && row.resource != wanted.resource) continue;
    if (const std::optional<bool> matches = row.match(value, wanted)) return *matches;
  }
  return false;
}

}  // namespace mountflow::pbs_server
