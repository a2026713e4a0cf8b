// One program for all batch commands: the name under which it is called says which.
#include <cstdio>
#include <string>

#include "cli/common.hpp"

int main(int argc, char** argv) {
  using namespace mountflow::cli;
  static const std::pair<const char*, int (*)(int, char**)> kCommands[] = {
      {"qsub", Qsub},     {"qstat", Qstat},     {"qdel", Qdel}, {"qhold", Qhold},   {"qrls", Qrls},
      {"qalter", Qalter}, {"qselect", Qselect}, {"qsig", Qsig}, {"qrerun", Qrerun}, {"qmove", Qmove}};
  const auto base = [](const std::string& path) { return path.substr(path.rfind('/') + 1); };
  for (const auto& [name, run] : kCommands) {
    if (base(argv[0]) == name) return run(argc, argv);
  }
  // Called as "mountflow-batch qsub ...".
  for (const auto& [name, run] : kCommands) {
    if (argc > 1 && std::string(argv[1]) == name) return run(argc - 1, argv + 1);
  }
  std::fprintf(stderr, "usage: qsub|qstat|qdel|qhold|qrls|qalter|qselect|qsig|qrerun|qmove ...\n");
  return 2;
}
