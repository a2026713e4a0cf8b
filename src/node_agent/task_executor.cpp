#include "node_agent/task_executor.hpp"

#include <fcntl.h>
#include <pwd.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <string_view>
#include <utility>
#include <vector>

#include "node_agent/job_environment.hpp"
#include "node_agent/unique_fd.hpp"

namespace mountflow::node_agent {
namespace {

constexpr Micros kTerminationGrace = 5'000'000;  // from SIGTERM until SIGKILL
constexpr int kExitStatusNotStarted = 1;
constexpr int kExitStatusNoCommand = 127;  // a child could not run its script; as in shells
constexpr mode_t kOutputMode = 0644;

std::string HomeFolder() {
  const passwd* entry = getpwuid(geteuid());
  return entry != nullptr ? entry->pw_dir : "/";
}

bool WriteAll(int fd, std::string_view text) {
  while (!text.empty()) {
    const ssize_t written = write(fd, text.data(), text.size());
    if (written <= 0) return false;
    text.remove_prefix(static_cast<std::size_t>(written));
  }
  return true;
}

// Writes the script to an unlinked temporary file, which leaves nothing behind even after a crash. Returns a
// closed descriptor on errors.
UniqueFd WriteScript(const std::string& script) {
  char name[] = "/tmp/mountflow-job-XXXXXX";
  UniqueFd file(mkostemp(name, O_CLOEXEC));
  if (!file.IsOpen()) return file;
  unlink(name);
  if (!WriteAll(file.get(), script)) return UniqueFd();
  lseek(file.get(), 0, SEEK_SET);
  return file;
}

UniqueFd OpenOutput(const std::string& path) {
  return UniqueFd(open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kOutputMode));
}

// The data that a child process uses between fork and exec, where it must not allocate memory.
struct ChildProcess {
  pid_t parent = 0;
  int script = -1, in = -1, out = -1, err = -1;
  std::string script_path, home;
  std::vector<char*> environment;  // ends with a null pointer
};

[[noreturn]] void ExecuteScript(const ChildProcess& child) {
  setsid();
  prctl(PR_SET_PDEATHSIG, SIGKILL);  // a job does not outlive its node
  if (getppid() != child.parent) _exit(kExitStatusNoCommand);
  signal(SIGPIPE, SIG_DFL);
  sigset_t no_signals;
  sigemptyset(&no_signals);
  sigprocmask(SIG_SETMASK, &no_signals, nullptr);
  if (chdir(child.home.c_str()) != 0) _exit(kExitStatusNoCommand);
  dup2(child.in, STDIN_FILENO);
  dup2(child.out, STDOUT_FILENO);
  dup2(child.err, STDERR_FILENO);
  fcntl(child.script, F_SETFD, 0);
  execle("/bin/sh", "sh", child.script_path.c_str(), static_cast<char*>(nullptr), child.environment.data());
  _exit(kExitStatusNoCommand);
}

// Returns the process id of the child, or a value below 0 if it could not be started.
pid_t StartProcess(const std::string& attempt, const SubmittedTask& task) {
  const UniqueFd script = WriteScript(task.script);
  if (!script.IsOpen()) return -1;
  ChildProcess child;
  child.home = HomeFolder();
  const OutputFiles files = OutputFilesOf(attempt, task, child.home);
  const UniqueFd in(open("/dev/null", O_RDONLY | O_CLOEXEC));
  const UniqueFd out = files.joins_out_to_err ? UniqueFd() : OpenOutput(files.out);
  const UniqueFd err = files.joins_err_to_out ? UniqueFd() : OpenOutput(files.err);
  child.parent = getpid();
  child.script = script.get();
  child.script_path = "/dev/fd/" + std::to_string(script.get());
  child.in = in.get();
  child.out = files.joins_out_to_err ? err.get() : out.get();
  child.err = files.joins_err_to_out ? out.get() : err.get();
  if (child.out < 0 || child.err < 0) return -1;
  std::vector<std::string> environment = EnvironmentOf(attempt, task, child.home);
  for (std::string& variable : environment) child.environment.push_back(variable.data());
  child.environment.push_back(nullptr);
  const pid_t process = fork();
  if (process == 0) ExecuteScript(child);
  if (process > 0) setpgid(process, process);  // in case it is signalled before its setsid()
  return process;
}

}  // namespace

TaskExecutor::TaskExecutor(event_loop::EventLoop* loop, ExitHandler on_exit)
    : loop_(loop), on_exit_(std::move(on_exit)), alive_(std::make_shared<int>()) {}

TaskExecutor::~TaskExecutor() {
  for (const auto& [attempt, process] : processes_) kill(-process, SIGKILL);
}

template <typename Callback>
auto TaskExecutor::WhileAlive(Callback callback) {
  return [alive = std::weak_ptr<void>(alive_), callback = std::move(callback)](auto... arguments) {
    if (!alive.expired()) callback(arguments...);
  };
}

void TaskExecutor::ReportFailedStart(const std::string& attempt) {
  loop_->AddTimer(loop_->Now(), WhileAlive([this, attempt] { on_exit_(attempt, kExitStatusNotStarted); }));
}

void TaskExecutor::HandleExit(const std::string& attempt, int wait_status) {
  processes_.erase(attempt);
  on_exit_(attempt, WIFSIGNALED(wait_status) ? kExitStatusSignalBase + WTERMSIG(wait_status)
                                             : WEXITSTATUS(wait_status));
}

void TaskExecutor::Run(const std::string& attempt, const SubmittedTask& task) {
  const pid_t process = StartProcess(attempt, task);
  if (process < 0) return ReportFailedStart(attempt);
  processes_[attempt] = process;
  loop_->OnChild(process, WhileAlive([this, attempt](int status) { HandleExit(attempt, status); }));
}

void TaskExecutor::Signal(const std::string& attempt, const std::string& signal) {
  const auto found = processes_.find(attempt);
  const int number = SignalNumber(signal);
  if (found == processes_.end() || number == 0) return;
  const int process = found->second;
  kill(-process, number);
  if (number != SIGTERM) return;
  loop_->AddTimer(loop_->Now() + kTerminationGrace, WhileAlive([this, attempt, process] {
                    const auto still_runs = processes_.find(attempt);
                    if (still_runs != processes_.end() && still_runs->second == process) {
                      kill(-process, SIGKILL);
                    }
                  }));
}

}  // namespace mountflow::node_agent
