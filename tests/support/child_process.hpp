// Child processes for tests: runs programs, waits for their output, and kills them when the test ends.
#ifndef MOUNTFLOW_TESTS_SUPPORT_CHILD_PROCESS_HPP_
#define MOUNTFLOW_TESTS_SUPPORT_CHILD_PROCESS_HPP_

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/inotify.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <ctime>
#include <fstream>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "mountflow/scheduler.hpp"

namespace mountflow::testing {

// Maximum duration of any single wait, in microseconds. Reached only if the test fails.
inline constexpr Micros kWaitLimit = 30'000'000;

inline Micros MonotonicTime() {
  timespec time;
  clock_gettime(CLOCK_MONOTONIC, &time);
  return static_cast<Micros>(time.tv_sec) * 1'000'000u + static_cast<Micros>(time.tv_nsec) / 1000u;
}

// Calls `holds` until it returns true. Returns false if it is still false after kWaitLimit. Meant for states
// of another program that cause no event: `holds` sends a blocking request to that program, which limits the
// rate of the loop.
inline bool PollUntil(const std::function<bool()>& holds) {
  const Micros deadline = MonotonicTime() + kWaitLimit;
  while (!holds()) {
    if (MonotonicTime() > deadline) return false;
  }
  return true;
}

// Returns the folder of the test program, into which the build puts all programs.
inline std::string ProgramFolder() {
  char path[4096] = "";
  const ssize_t length = readlink("/proc/self/exe", path, sizeof path - 1);
  const std::string text(path, length > 0 ? static_cast<std::size_t>(length) : 0);
  return text.substr(0, text.rfind('/'));
}

// A child process whose standard output is connected to a pipe. Standard error is discarded unless
// MOUNTFLOW_TEST_LOGS is set. The destructor kills the child; the kernel kills it if the test program dies.
class Process {
 public:
  // A program name without a '/' refers to a program in ProgramFolder(). With `uid` not 0, the child runs as
  // that user, which requires root.
  explicit Process(std::vector<std::string> arguments, std::map<std::string, std::string> environment = {},
                   unsigned uid = 0) {
    int pipe_ends[2];
    if (pipe2(pipe_ends, O_CLOEXEC) != 0) abort();
    const pid_t parent = getpid();
    pid_ = fork();
    if (pid_ == 0) Execute(std::move(arguments), environment, uid, parent, pipe_ends[1]);
    close(pipe_ends[1]);
    output_ = pipe_ends[0];
  }
  ~Process() { Kill(); }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Returns the next line of the child's output without the line end; empty if the output has ended or
  // kWaitLimit has passed.
  std::string ReadLine() {
    const Micros deadline = MonotonicTime() + kWaitLimit;
    for (;;) {
      const std::size_t end = unread_.find('\n');
      if (end != std::string::npos) {
        const std::string line = unread_.substr(0, end);
        unread_.erase(0, end + 1);
        return line;
      }
      pollfd readable{output_, POLLIN, 0};
      if (MonotonicTime() > deadline || poll(&readable, 1, 1000) < 0) return "";
      if (readable.revents == 0) continue;
      char buffer[4096];
      const ssize_t size = read(output_, buffer, sizeof buffer);
      if (size <= 0) return std::exchange(unread_, {});
      unread_.append(buffer, static_cast<std::size_t>(size));
    }
  }
  // Returns all lines up to the first empty line or the end of the output.
  std::string ReadToEnd() {
    std::string all;
    for (std::string line = ReadLine(); !line.empty(); line = ReadLine()) all += line + "\n";
    return all;
  }
  // Waits until the child has ended. Returns its exit status, or 256 plus the number of the signal that
  // killed it.
  int Wait() {
    int status = 0;
    if (pid_ > 0) waitpid(pid_, &status, 0);
    pid_ = 0;
    return WIFSIGNALED(status) ? 256 + WTERMSIG(status) : WEXITSTATUS(status);
  }
  // Reports whether the child has ended, without waiting. Wait() can still return its exit status.
  bool HasEnded() const {
    siginfo_t info{};
    const bool is_known =
        pid_ > 0 && waitid(P_PID, static_cast<id_t>(pid_), &info, WEXITED | WNOHANG | WNOWAIT) == 0;
    return !is_known || info.si_pid == pid_;
  }
  void Signal(int number) { kill(pid_, number); }
  int pid() const { return pid_; }
  // Suspends the child until Signal(SIGCONT). Bytes sent to it meanwhile remain in the kernel's buffers.
  void Halt() {
    kill(pid_, SIGSTOP);
    int status = 0;
    waitpid(pid_, &status, WUNTRACED);
  }
  void Kill() {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      Wait();
    }
    if (output_ >= 0) close(std::exchange(output_, -1));
  }

 private:
  [[noreturn]] static void Execute(std::vector<std::string> arguments,
                                   const std::map<std::string, std::string>& environment, unsigned uid,
                                   pid_t parent, int output) {
    constexpr int kCannotSwitchUser = 126;
    constexpr int kCannotStart = 127;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(kCannotStart);
    if (uid != 0 && (setgid(uid) != 0 || setuid(uid) != 0)) _exit(kCannotSwitchUser);
    for (const auto& [name, value] : environment) setenv(name.c_str(), value.c_str(), 1);
    dup2(output, 1);
    if (getenv("MOUNTFLOW_TEST_LOGS") == nullptr) dup2(open("/dev/null", O_WRONLY), 2);
    if (arguments[0].find('/') == std::string::npos) arguments[0] = ProgramFolder() + "/" + arguments[0];
    std::vector<char*> argv;
    for (std::string& argument : arguments) argv.push_back(argument.data());
    argv.push_back(nullptr);
    execv(argv[0], argv.data());
    _exit(kCannotStart);
  }

  int pid_ = 0;
  int output_ = -1;
  std::string unread_;
};

struct CommandResult {
  int status = 0;  // as returned by Process::Wait()
  std::string output;
};

// Runs a command until it ends and returns its exit status and output.
inline CommandResult RunCommand(std::vector<std::string> arguments,
                                std::map<std::string, std::string> environment = {}, unsigned uid = 0) {
  Process process(std::move(arguments), std::move(environment), uid);
  CommandResult result;
  result.output = process.ReadToEnd();
  result.status = process.Wait();
  return result;
}

// Returns the port after `label` in the line that a program prints when it is ready, such as "batch 4711,
// http 4712"; 0 if there is none.
inline int PortAfter(const std::string& line, const std::string& label) {
  const std::size_t found = line.find(label);
  return found == std::string::npos ? 0 : std::atoi(line.c_str() + found + label.size());
}

// Waits until a file, which need not exist yet, contains `text`; with an empty `text`, until the file is not
// empty. Watches the file's folder for changes. Returns false after kWaitLimit.
inline bool WaitForTextInFile(const std::string& path, const std::string& text) {
  const int changes = inotify_init1(IN_CLOEXEC);
  const std::string folder = path.substr(0, path.rfind('/'));
  inotify_add_watch(changes, folder.c_str(), IN_CREATE | IN_MODIFY | IN_MOVED_TO | IN_CLOSE_WRITE);
  const Micros deadline = MonotonicTime() + kWaitLimit;
  bool found = false;
  while (!found) {
    std::ifstream file(path);
    const std::string content(std::istreambuf_iterator<char>(file), {});
    found = !content.empty() && content.find(text) != std::string::npos;
    const Micros now = MonotonicTime();
    pollfd changed{changes, POLLIN, 0};
    if (found || now >= deadline) break;
    if (poll(&changed, 1, static_cast<int>((deadline - now) / 1000) + 1) <= 0) break;
    char buffer[4096];
    if (read(changes, buffer, sizeof buffer) < 0) break;
  }
  close(changes);
  return found;
}

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_SUPPORT_CHILD_PROCESS_HPP_
