#include "tools/chaos/child_process.hpp"

#include <fcntl.h>
#include <signal.h>  // NOLINT: kill() and SIGKILL are POSIX
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <memory>
#include <utility>

namespace mountflow::chaos {
namespace {

constexpr int kExitNotStarted = 127;  // the value that shells use for a command that cannot be run
constexpr int kLogFileMode = 0644;

// Runs between fork() and exec(), so it makes only async-signal-safe calls.
[[noreturn]] void Execute(const std::vector<char*>& argv, int output, int log, pid_t parent) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) _exit(kExitNotStarted);  // the parent died before prctl
  dup2(output, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  execv(argv[0], argv.data());
  _exit(kExitNotStarted);
}

}  // namespace

tl::expected<void, std::error_code> ChildProcess::Start(const std::vector<std::string>& arguments,
                                                        std::function<void(const std::string&)> on_ready,
                                                        std::function<void(int status)> on_exit) {
  std::array<int, 2> pipe_ends{};
  if (pipe2(pipe_ends.data(), O_CLOEXEC) != 0) {
    return tl::unexpected(std::error_code(errno, std::system_category()));
  }
  const auto [read_end, write_end] = pipe_ends;
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (const std::string& argument : arguments) argv.push_back(const_cast<char*>(argument.c_str()));
  argv.push_back(nullptr);
  const int log = open(log_file_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kLogFileMode);
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ == 0) Execute(argv, write_end, log, parent);
  const int fork_error = errno;
  close(write_end);
  if (log >= 0) close(log);
  if (pid_ < 0) {
    close(read_end);
    pid_ = 0;
    return tl::unexpected(std::error_code(fork_error, std::system_category()));
  }
  AwaitFirstLine(read_end, std::move(on_ready));
  loop_->OnChild(pid_, [this, on_exit = std::move(on_exit)](int status) {
    pid_ = 0;
    on_exit(status);
  });
  return {};
}

// Reads the output to its end, so that the child never blocks on a full pipe. Only the first line is used.
void ChildProcess::AwaitFirstLine(int fd, std::function<void(const std::string&)> on_ready) {
  fcntl(fd, F_SETFL, O_NONBLOCK);
  auto text = std::make_shared<std::string>();
  loop_->OnReadable(fd, [fd, text, on_ready = std::move(on_ready)] {
    std::array<char, 4096> buffer{};
    const ssize_t size = read(fd, buffer.data(), buffer.size());
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) return true;
    if (size <= 0) {
      close(fd);
      return false;
    }
    if (text->find('\n') != std::string::npos) return true;
    text->append(buffer.data(), static_cast<std::size_t>(size));
    const std::size_t end = text->find('\n');
    if (end != std::string::npos) on_ready(text->substr(0, end));
    return true;
  });
}

void ChildProcess::Signal(int number) const {
  if (running()) kill(pid_, number);
}

void ChildProcess::Wait() const {
  if (running()) waitpid(pid_, nullptr, 0);
}

}  // namespace mountflow::chaos
