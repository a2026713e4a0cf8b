#include "tools/chaos/verdict.hpp"

#include <utility>

namespace mountflow::chaos {
namespace {

std::string RuleNumber(Invariant invariant) {
  return "rule " + std::to_string(static_cast<unsigned>(invariant));
}

std::string DescribeCoverage(const Verdict& verdict) {
  std::string answers;
  for (const auto& [answer, count] : verdict.answers) {
    answers += (answers.empty() ? "" : ", ") + answer + " " + std::to_string(count);
  }
  return "judged: " + std::to_string(verdict.jobs) + " jobs committed, " + std::to_string(verdict.answered) +
         " answered (" + answers + "), " + std::to_string(verdict.excused) + " excused; " +
         std::to_string(verdict.attempts) + " attempts, " + std::to_string(verdict.accepted) + " accepted, " +
         std::to_string(verdict.rejected_by_nodes) + " refused by nodes; " +
         std::to_string(verdict.drain_notices) + " leaving nodes told, " +
         std::to_string(verdict.incarnations) + " cold lives with " +
         std::to_string(verdict.attempts_while_warming_up) + " offers, " +
         std::to_string(verdict.spread_checks) + " spread checks\n";
}

std::string CountByInvariant(const std::vector<Violation>& violations) {
  std::map<Invariant, std::size_t> counts;
  for (const Violation& violation : violations) ++counts[violation.invariant];
  std::string text = "rules broken:";
  for (const auto& [invariant, count] : counts) {
    text += " " + RuleNumber(invariant) + " " + std::to_string(count) + "x";
  }
  return text + "\n";
}

std::string DescribeViolation(const Violation& violation) {
  std::string text = "  " + RuleNumber(violation.invariant) + ": " + violation.text + " (record lines";
  for (const std::size_t line : violation.lines) text += " " + std::to_string(line);
  return text + ")\n";
}

}  // namespace

void Verdict::AddViolation(Invariant invariant, Micros time, std::string text,
                           std::vector<std::size_t> lines) {
  violations.push_back({invariant, time, std::move(text), std::move(lines)});
}

std::string Report(const Verdict& verdict, std::size_t max_violations) {
  if (!verdict.error.empty()) return "the record cannot be judged: " + verdict.error + "\n";
  std::string text = DescribeCoverage(verdict);
  const std::vector<Violation>& violations = verdict.violations;
  if (violations.empty()) return text + "rules broken: none\n";
  text += CountByInvariant(violations);
  for (std::size_t i = 0; i < violations.size() && i < max_violations; ++i) {
    text += DescribeViolation(violations[i]);
  }
  if (violations.size() > max_violations) {
    text += "  and " + std::to_string(violations.size() - max_violations) + " more\n";
  }
  return text;
}

}  // namespace mountflow::chaos
