// Judges a rehearsal by its record alone: the messages seen on the sockets and
// the clients' own logs. It shares no code with the daemon and asks it nothing.
#ifndef MOUNTFLOW_TOOLS_CHAOS_INVARIANT_CHECKER_HPP_
#define MOUNTFLOW_TOOLS_CHAOS_INVARIANT_CHECKER_HPP_

#include <map>
#include <string>
#include <vector>

#include "tools/chaos/message_log.hpp"

namespace mountflow::chaos {

struct Breach {
  int rule = 0;  // 1 to 5, as the brief numbers them
  Micros at = 0;
  std::string text;
  std::vector<std::size_t> lines;  // of the record, from 1: the messages that show it
};

struct Verdict {
  std::vector<Breach> breaches;
  std::string error;  // the record cannot be judged
  // What was looked at: a verdict on nothing is none.
  std::uint64_t jobs = 0, answered = 0, attempts = 0, accepted = 0, refused_by_nodes = 0, drains_told = 0,
                cold_lives = 0, slow_start_budget = 0, spread_checks = 0, excused = 0;
  std::map<std::string, std::uint64_t> answers;
  bool clean() const { return error.empty() && breaches.empty(); }
};

Verdict Judge(const std::vector<json>& record);
std::string Report(const Verdict& verdict, std::size_t most = 20);

}  // namespace mountflow::chaos

#endif  // MOUNTFLOW_TOOLS_CHAOS_INVARIANT_CHECKER_HPP_
