// The entry points that are fuzzed. Each takes any bytes, must not crash, and checks what must hold for them.
#ifndef MOUNTFLOW_TOOLS_FUZZ_TARGETS_HPP_
#define MOUNTFLOW_TOOLS_FUZZ_TARGETS_HPP_

#include <ostream>
#include <string_view>

namespace mountflow::fuzz {

void Dis(std::string_view bytes);    // requests and replies: what was read is written back and read alike
void Front(std::string_view bytes);  // a daemon's batch session, in pieces as the first byte says
void Http(std::string_view bytes);   // both sides
void Directives(std::string_view bytes);  // a job script; the first line is the prefix
void Config(std::string_view bytes);      // a daemon's configuration
void Entry(std::string_view bytes);       // a node's entry, and a list of keys
void Owner(
    std::string_view bytes);  // the platform's JSON lines, in pieces: what is read is written back alike
void Machine(std::string_view bytes);  // its binary messages, likewise

struct Target {
  const char* name;
  void (*run)(std::string_view);
};
inline std::ostream& operator<<(std::ostream& out, const Target& target) { return out << target.name; }
inline constexpr Target kTargets[] = {
    {"dis", Dis},       {"front", Front}, {"http", Http},   {"directives", Directives},
    {"config", Config}, {"entry", Entry}, {"owner", Owner}, {"machine", Machine}};

}  // namespace mountflow::fuzz

#endif  // MOUNTFLOW_TOOLS_FUZZ_TARGETS_HPP_
