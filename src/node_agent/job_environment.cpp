#include "node_agent/job_environment.hpp"

#include <signal.h>

#include <cstdlib>

namespace mountflow::node_agent {
namespace {

constexpr int kDecimal = 10;
constexpr long kMaxSignal = 64;

struct SignalName {
  const char* name;
  int number;
};
constexpr SignalName kSignals[] = {{"HUP", SIGHUP},   {"INT", SIGINT},   {"QUIT", SIGQUIT},
                                   {"KILL", SIGKILL}, {"TERM", SIGTERM}, {"USR1", SIGUSR1},
                                   {"USR2", SIGUSR2}, {"STOP", SIGSTOP}, {"CONT", SIGCONT},
                                   {"ALRM", SIGALRM}, {"ABRT", SIGABRT}, {"TSTP", SIGTSTP}};

std::string AttributeOf(const SubmittedTask& task, std::string_view name) {
  return std::string(pbs_protocol::ValueOf(task.attributes, name));
}

// Returns the job id from "JOB/ATTEMPT".
std::string JobIdOf(const std::string& attempt) { return attempt.substr(0, attempt.rfind('/')); }

}  // namespace

std::vector<std::pair<std::string, std::string>> ParseVariableList(const std::string& text) {
  std::vector<std::pair<std::string, std::string>> variables;
  std::string part;
  const auto end_part = [&variables, &part] {
    const std::size_t equals = part.find('=');
    if (equals != std::string::npos && equals > 0) {
      variables.emplace_back(part.substr(0, equals), part.substr(equals + 1));
    }
    part.clear();
  };
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '\\' && i + 1 < text.size()) {
      part.push_back(text[++i]);
    } else if (text[i] == ',') {
      end_part();
    } else {
      part.push_back(text[i]);
    }
  }
  end_part();
  return variables;
}

int SignalNumber(const std::string& name) {
  const std::string bare_name = name.rfind("SIG", 0) == 0 ? name.substr(3) : name;
  for (const SignalName& signal : kSignals) {
    if (bare_name == signal.name) return signal.number;
  }
  char* end = nullptr;
  const long number = std::strtol(name.c_str(), &end, kDecimal);
  const bool is_signal = !name.empty() && *end == '\0' && number > 0 && number <= kMaxSignal;
  return is_signal ? static_cast<int>(number) : 0;
}

std::string ResolveOutputPath(const std::string& text, const std::string& home,
                              const std::string& default_name) {
  const std::size_t colon = text.find(':');
  const std::size_t slash = text.find('/');
  const bool has_host = colon != std::string::npos && (slash == std::string::npos || colon < slash);
  std::string path = has_host ? text.substr(colon + 1) : text;
  if (path.empty() || path[0] != '/') path = home + "/" + path;
  if (path.back() == '/') path += default_name;
  return path;
}

OutputFiles OutputFilesOf(const std::string& attempt, const SubmittedTask& task, const std::string& home) {
  const std::string job_id = JobIdOf(attempt);
  const std::string sequence = job_id.substr(0, job_id.find('.'));
  const std::string name = AttributeOf(task, "Job_Name");
  const std::string join = AttributeOf(task, "Join_Path");  // "oe", "eo" or "n"
  OutputFiles files;
  files.out = ResolveOutputPath(AttributeOf(task, "Output_Path"), home, name + ".o" + sequence);
  files.err = ResolveOutputPath(AttributeOf(task, "Error_Path"), home, name + ".e" + sequence);
  files.joins_out_to_err = join.size() > 1 && join[0] == 'e';
  files.joins_err_to_out = join.size() > 1 && join[0] == 'o';
  return files;
}

std::vector<std::string> EnvironmentOf(const std::string& attempt, const SubmittedTask& task,
                                       const std::string& home) {
  std::vector<std::string> environment;
  for (const auto& [name, value] : ParseVariableList(AttributeOf(task, "Variable_List"))) {
    std::string& variable = environment.emplace_back(name);
    variable += "=";
    variable += value;
  }
  environment.insert(environment.end(),
                     {"PBS_ENVIRONMENT=PBS_BATCH", "HOME=" + home, "PATH=/usr/local/bin:/usr/bin:/bin",
                      "SHELL=/bin/sh", "PBS_JOBID=" + JobIdOf(attempt),
                      "PBS_JOBNAME=" + AttributeOf(task, "Job_Name"), "PBS_QUEUE=" + task.queue});
  return environment;
}

}  // namespace mountflow::node_agent
