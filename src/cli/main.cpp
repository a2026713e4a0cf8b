// Main program of all batch commands. The name under which it is called, or else its first argument, selects
// the command.
#include <cstdio>
#include <string_view>

#include "cli/commands.hpp"

namespace mountflow::cli {
namespace {

using CommandFunction = int (*)(int argc, char** argv);

constexpr int kUsageError = 2;

struct Command {
  std::string_view name;
  CommandFunction run;
};
constexpr Command kCommands[] = {
    {"qsub", Qsub},     {"qstat", Qstat},     {"qdel", Qdel}, {"qhold", Qhold},   {"qrls", Qrls},
    {"qalter", Qalter}, {"qselect", Qselect}, {"qsig", Qsig}, {"qrerun", Qrerun}, {"qmove", Qmove}};

CommandFunction FindCommand(std::string_view name) {
  for (const Command& command : kCommands) {
    if (command.name == name) return command.run;
  }
  return nullptr;
}

std::string_view FileName(std::string_view path) { return path.substr(path.rfind('/') + 1); }

int Run(int argc, char** argv) {
  if (const CommandFunction run = FindCommand(FileName(argv[0]))) return run(argc, argv);
  // Called as "mountflow-batch qsub ...".
  if (argc > 1) {
    if (const CommandFunction run = FindCommand(argv[1])) return run(argc - 1, argv + 1);
  }
  std::fprintf(stderr, "usage: qsub|qstat|qdel|qhold|qrls|qalter|qselect|qsig|qrerun|qmove ...\n");
  return kUsageError;
}

}  // namespace
}  // namespace mountflow::cli

int main(int argc, char** argv) { return mountflow::cli::Run(argc, argv); }
