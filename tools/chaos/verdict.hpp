// The result of checking a message log: the violations of invariants, and the number of items checked.
#ifndef MOUNTFLOW_TOOLS_CHAOS_VERDICT_HPP_
#define MOUNTFLOW_TOOLS_CHAOS_VERDICT_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "mountflow/scheduler.hpp"

namespace mountflow::chaos {

// The values are the numbers printed in reports.
enum class Invariant : std::uint8_t {
  kLogConsistency = 0,  // the log contradicts itself
  kFinalAnswer = 1,
  kDuplicateEffect = 2,
  kDraining = 3,
  kSlowStart = 4,
  kTopologySpread = 5,
};

// A place in the message log.
struct LogPosition {
  Micros time = 0;
  std::size_t line = 0;  // from 1
};

struct Violation {
  Invariant invariant = Invariant::kLogConsistency;
  Micros time = 0;
  std::string text;
  std::vector<std::size_t> lines;  // line numbers in the log, from 1, of the messages that show the violation
};

struct Verdict {
  std::vector<Violation> violations;  // by time, then in the order in which they were found
  std::string error;                  // not empty if the log could not be checked to its end
  // Coverage. A log without jobs or attempts has no violations either, so the counts show what was checked.
  std::uint64_t jobs = 0;
  std::uint64_t answered = 0;
  std::uint64_t attempts = 0;
  std::uint64_t accepted = 0;
  std::uint64_t rejected_by_nodes = 0;
  std::uint64_t drain_notices = 0;
  std::uint64_t incarnations = 0;  // node starts during the scenario
  std::uint64_t attempts_while_warming_up = 0;
  std::uint64_t spread_checks = 0;
  std::uint64_t excused = 0;  // unanswered jobs for which no answer was due
  std::map<std::string, std::uint64_t> answers;

  void AddViolation(Invariant invariant, Micros time, std::string text, std::vector<std::size_t> lines);
  [[nodiscard]] bool clean() const { return error.empty() && violations.empty(); }
};

inline constexpr std::size_t kMaxPrintedViolations = 20;

// Returns a report for people. Scripts parse it too, so its format must stay stable.
[[nodiscard]] std::string Report(const Verdict& verdict, std::size_t max_violations = kMaxPrintedViolations);

}  // namespace mountflow::chaos

#endif  // MOUNTFLOW_TOOLS_CHAOS_VERDICT_HPP_
