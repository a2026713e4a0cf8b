// mountflow-chaos-test: runs a scenario on this host and checks its invariants.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <string>
#include <vector>

#include "config/config.hpp"
#include "tools/chaos/invariant_checker.hpp"
#include "tools/chaos/message_log.hpp"
#include "tools/chaos/runner.hpp"
#include "tools/chaos/scenario_codec.hpp"
#include "tools/chaos/scenario_generator.hpp"

namespace {

using namespace mountflow;

// Exit statuses. Scripts depend on these values.
constexpr int kExitNoViolation = 0;
constexpr int kExitViolations = 1;
constexpr int kExitNotRun = 2;

struct Options {
  std::string scenario_file;
  std::string folder;
  std::string fault_names;
  std::string message_log;
  std::string daemon = "mountflowd";
  std::uint64_t seed = 0;  // 0: use the seed of the scenario
  bool draws_soak = false;
  bool show = false;
  bool quiet = false;
};

int Fail(const std::string& error) {
  (void)std::fprintf(stderr, "mountflow-chaos-test: %s\n", error.c_str());
  return kExitNotRun;
}

int CheckMessageLog(const std::string& file) {
  const auto log = chaos::ReadMessageLog(file);
  if (!log) return Fail(Describe(log.error()));
  const chaos::Verdict verdict = chaos::CheckInvariants(*log);
  (void)std::fputs(chaos::Report(verdict).c_str(), stdout);
  if (verdict.clean()) return kExitNoViolation;
  return verdict.error.empty() ? kExitViolations : kExitNotRun;
}

std::string FolderOfThisProgram() {
  std::array<char, 4096> path{};
  const ssize_t size = readlink("/proc/self/exe", path.data(), path.size() - 1);
  const std::string program(path.data(), size > 0 ? static_cast<std::size_t>(size) : 0);
  return program.substr(0, program.rfind('/'));
}

std::vector<std::string> SplitAtCommas(const std::string& text) {
  std::vector<std::string> parts;
  for (std::size_t from = 0; from <= text.size();) {
    const std::size_t comma = std::min(text.find(',', from), text.size());
    parts.push_back(text.substr(from, comma - from));
    from = comma + 1;
  }
  return parts;
}

struct ScenarioText {
  std::string text;
  std::string source;
};

// Returns the scenario that the options select. Prints the error and returns nullopt if it cannot be read.
std::optional<ScenarioText> LoadScenario(const Options& options) {
  if (options.draws_soak || !options.fault_names.empty()) {
    const std::uint64_t seed = options.seed == 0 ? 1 : options.seed;
    const std::vector<std::string> names =
        options.draws_soak ? chaos::DrawSoakFaults(seed) : SplitAtCommas(options.fault_names);
    const auto text = chaos::GenerateScenario(names, seed);
    if (text) return ScenarioText{*text, "made day"};
    (void)Fail(Describe(text.error()));
    return std::nullopt;
  }
  if (options.scenario_file.empty()) return ScenarioText{chaos::kDefaultScenario, "embedded day"};
  const config::ConfigResult<std::string> text = config::ReadFile(options.scenario_file);
  if (text) return ScenarioText{*text, options.scenario_file};
  (void)Fail(config::Describe(text.error()));
  return std::nullopt;
}

int RunAndCheck(const ScenarioText& scenario_text, const Options& options) {
  auto scenario = chaos::ParseScenario(scenario_text.text, scenario_text.source);
  if (!scenario) {
    for (const chaos::ScenarioError& error : scenario.error()) (void)Fail(Describe(error));
    return kExitNotRun;
  }
  if (options.seed != 0) scenario->seed = options.seed;
  chaos::RunOptions run_options;
  run_options.program_folder = FolderOfThisProgram();
  run_options.daemon = options.daemon;
  run_options.quiet = options.quiet;
  run_options.folder = options.folder;
  if (options.folder.empty()) {
    std::string folder = "/tmp/mountflow-chaos-test-XXXXXX";
    if (mkdtemp(folder.data()) == nullptr) return kExitNotRun;
    run_options.folder = folder;
  }
  const auto result = chaos::RunScenario(*scenario, run_options);
  if (!result) return Fail(Describe(result.error()));
  std::printf("%s\nrecord: %s\n", result->summary.c_str(), result->message_log.c_str());
  return CheckMessageLog(result->message_log);
}

}  // namespace

// An exception that reaches main() is a bug; std::terminate prints its message and ends the process.
// NOLINTNEXTLINE(bugprone-exception-escape): see above
int main(int argc, char** argv) {
  CLI::App app{
      "mountflow-chaos-test: runs several daemons and many nodes on this host under injected faults, and "
      "reports every violated invariant\n"
      "Exit status: 0 no violation, 1 violations, 2 the scenario could not be run or its log not checked"};
  Options options;
  app.add_option("day", options.scenario_file,
                 "scenario file, JSON with comments (default: the embedded scenario)");
  app.add_option("--out", options.folder,
                 "folder for the message log, configurations and logs (default: a new one in /tmp)");
  app.add_option("--seed", options.seed, "in place of the scenario's own seed");
  app.add_option("--daemon", options.daemon, "program to run in place of mountflowd");
  app.add_option("--trouble", options.fault_names,
                 "run a scenario generated from these faults, separated by commas: crash, hang, pauses, ...");
  app.add_flag("--soak", options.draws_soak,
               "run a scenario of the soak: stops, reloads and kills of daemons and three faults by --seed");
  app.add_option("--judge", options.message_log, "check an existing message log, run nothing");
  app.add_flag("--show", options.show, "print the scenario and stop");
  app.add_flag("-q,--quiet", options.quiet, "do not print events");
  CLI11_PARSE(app, argc, argv);
  if (!options.message_log.empty()) return CheckMessageLog(options.message_log);
  const std::optional<ScenarioText> scenario = LoadScenario(options);
  if (!scenario) return kExitNotRun;
  if (options.show) {
    (void)std::fputs(scenario->text.c_str(), stdout);
    return kExitNoViolation;
  }
  return RunAndCheck(*scenario, options);
}
