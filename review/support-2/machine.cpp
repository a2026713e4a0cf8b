// A machine of a batch cluster: the project's own mountflow-node behind one address. Everything passes
// unchanged until the machine's trouble comes, once, right after a daemon has committed an attempt here.
//
//   crash: the process of the node dies (SIGKILL) once the task has started and before the answer to the
//   commit
//          has left the machine. Its connections are reset and its port refuses. After --down milliseconds
//          the node is started anew under the same name and address.
//   hang:  the machine has taken the commit and then answers nothing and reads nothing for --down
//   milliseconds;
//          its task runs on. After that everything that was held back passes.
//
// With --daemon FILE a crash also kills the process whose id stands in FILE: both are in one room, which is
// lost.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace {

// The first bytes of a Commit request: protocol type 2, version 1, request 5.
constexpr char kCommitHead[] = "+2+1+5";
constexpr int kPollMillis = 5;

volatile sig_atomic_t stopped = 0;

double Seconds() {
  timeval now{};
  gettimeofday(&now, nullptr);
  return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_usec) / 1e6;
}

struct Options {
  std::string name, rack, room = "room-a", node_program, list, record, trouble = "none", started_file,
                          daemon_file, once_file;
  double down_ms = 0;
};

void Record(const Options& options, const std::string& text) {
  std::FILE* file = std::fopen(options.record.c_str(), "a");
  if (file == nullptr) return;
  std::fprintf(file, "%.3f machine %s: %s\n", Seconds(), options.name.c_str(), text.c_str());
  std::fclose(file);
}

int Listen(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || listen(fd, 128) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

int PortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

int ConnectTo(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  fcntl(fd, F_SETFL, O_NONBLOCK);
  return fd;
}

void CloseWithReset(int fd) {
  const linger reset{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  close(fd);
}

struct Node {
  pid_t process = 0;
  int port = 0;
};

// Starts mountflow-node and reads its port from the line that it prints.
Node StartNode(const Options& options, int public_port) {
  int out[2];
  if (pipe2(out, O_CLOEXEC) != 0) return {};
  const std::string advertised = "127.0.0.1:" + std::to_string(public_port);
  const pid_t parent = getpid();
  const pid_t process = fork();
  if (process == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(1);
    dup2(out[1], STDOUT_FILENO);
    execl(options.node_program.c_str(), "mountflow-node", "--exec", "--name", options.name.c_str(), "--rack",
          options.rack.c_str(), "--room", options.room.c_str(), "--kind", "small", "--cores", "32",
          "--memory", "64", "--listen", "127.0.0.1:0", "--advertise", advertised.c_str(), "--list",
          options.list.c_str(), static_cast<char*>(nullptr));
    _exit(127);
  }
  close(out[1]);
  std::string line;
  // The reading end stays open, so that a later line of the node does not end it.
  for (char byte = 0; read(out[0], &byte, 1) == 1 && byte != '\n';) line += byte;
  const std::size_t at = line.rfind(' ');
  return {process, at == std::string::npos ? 0 : std::atoi(line.c_str() + at + 1)};
}

struct Pair {
  int daemon = -1, node = -1;
  std::string to_daemon, to_node, tail;
  bool daemon_ended = false, node_ended = false;
  bool withholds_answer = false;
};

class Machine {
 public:
  explicit Machine(Options options) : options_(std::move(options)) {}

  bool Start() {
    listener_ = Listen(0);
    if (listener_ < 0) return false;
    port_ = PortOf(listener_);
    node_ = StartNode(options_, port_);
    if (node_.port == 0) return false;
    std::printf("machine %s ready: %d\n", options_.name.c_str(), port_);
    std::fflush(stdout);
    Record(options_, "node started, process " + std::to_string(node_.process));
    return true;
  }

  void Run() {
    while (stopped == 0) {
      if (down_until_ != 0 && Seconds() >= down_until_) Return();
      if (crash_pending_ && TaskHasStarted()) Crash();
      Turn();
    }
    EndNode();
  }

 private:
  bool IsHanging() const { return hang_until_ != 0 && Seconds() < hang_until_; }

  bool TaskHasStarted() const {
    struct stat info {};
    return stat(options_.started_file.c_str(), &info) == 0 && info.st_size > 0;
  }

  void Turn() {
    std::vector<pollfd> polled;
    if (listener_ >= 0) polled.push_back({listener_, POLLIN, 0});
    const bool hangs = IsHanging();
    for (Pair& pair : pairs_) {
      if (hangs) continue;
      polled.push_back({pair.daemon, static_cast<short>(POLLIN | (pair.to_daemon.empty() ? 0 : POLLOUT)), 0});
      polled.push_back({pair.node, static_cast<short>(POLLIN | (pair.to_node.empty() ? 0 : POLLOUT)), 0});
    }
    poll(polled.data(), polled.size(), kPollMillis);
    if (listener_ >= 0 && !hangs) Accept();
    if (hangs) return;
    if (hang_until_ != 0) {
      hang_until_ = 0;
      Record(options_, "answers again");
    }
    for (auto pair = pairs_.begin(); pair != pairs_.end();) {
      Relay(&*pair);
      if (IsHanging() || pairs_.empty()) return;
      pair = CloseIfEnded(&*pair) ? pairs_.erase(pair) : std::next(pair);
    }
  }

  void Accept() {
    for (;;) {
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0) return;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      const int node = ConnectTo(node_.port);
      if (node < 0) {
        CloseWithReset(fd);
        continue;
      }
      pairs_.emplace_back();
      pairs_.back().daemon = fd;
      pairs_.back().node = node;
    }
  }

  // Returns false when the peer has closed.
  static bool ReadAll(int fd, std::string* to) {
    char buffer[16384];
    for (;;) {
      const ssize_t count = read(fd, buffer, sizeof buffer);
      if (count > 0) {
        to->append(buffer, static_cast<std::size_t>(count));
        continue;
      }
      return count < 0 && (errno == EAGAIN || errno == EINTR);
    }
  }

  static void Write(int fd, std::string* from) {
    while (!from->empty()) {
      const ssize_t count = send(fd, from->data(), from->size(), MSG_NOSIGNAL);
      if (count <= 0) return;
      from->erase(0, static_cast<std::size_t>(count));
    }
  }

  void Relay(Pair* pair) {
    std::string arrived;
    if (!ReadAll(pair->daemon, &arrived)) pair->daemon_ended = true;
    pair->to_node += arrived;
    const bool commits = HasCommit(pair, arrived);
    Write(pair->node, &pair->to_node);
    if (commits) OnCommit(pair);
    if (IsHanging()) return;
    if (!ReadAll(pair->node, &pair->to_daemon)) pair->node_ended = true;
    if (!pair->withholds_answer) Write(pair->daemon, &pair->to_daemon);
  }

  static bool HasCommit(Pair* pair, const std::string& arrived) {
    pair->tail += arrived;
    const bool found = pair->tail.find(kCommitHead) != std::string::npos;
    const std::size_t keep = found ? 0 : sizeof kCommitHead - 2;
    if (pair->tail.size() > keep) pair->tail.erase(0, pair->tail.size() - keep);
    return found;
  }

  void OnCommit(Pair* pair) {
    Record(options_, "a commit has been handed to the node");
    if (options_.trouble == "none" || troubled_) return;
    // The trouble strikes one machine of the cluster.
    const int once = open(options_.once_file.c_str(), O_CREAT | O_EXCL | O_WRONLY | O_CLOEXEC, 0600);
    if (once < 0) return;
    close(once);
    troubled_ = true;
    if (options_.trouble == "crash") {
      pair->withholds_answer = true;
      crash_pending_ = true;
      return;
    }
    hang_until_ = Seconds() + options_.down_ms / 1e3;
    Record(options_, "answers nothing from now on");
  }

  void Crash() {
    crash_pending_ = false;
    EndNode();
    if (!options_.daemon_file.empty()) {
      int daemon = 0;
      std::ifstream(options_.daemon_file) >> daemon;
      if (daemon > 0) kill(daemon, SIGKILL);
      Record(options_, "the daemon of this room was killed, process " + std::to_string(daemon));
    }
    for (const Pair& pair : pairs_) {
      CloseWithReset(pair.daemon);
      close(pair.node);
    }
    pairs_.clear();
    close(listener_);
    listener_ = -1;
    down_until_ = Seconds() + options_.down_ms / 1e3;
    Record(options_, "node killed after its task had started and before it had answered the commit");
  }

  void Return() {
    down_until_ = 0;
    listener_ = Listen(port_);
    node_ = StartNode(options_, port_);
    Record(options_, "node started anew, process " + std::to_string(node_.process));
  }

  void EndNode() {
    if (node_.process == 0) return;
    kill(node_.process, SIGKILL);
    waitpid(node_.process, nullptr, 0);
    node_ = {};
  }

  static bool CloseIfEnded(Pair* pair) {
    const bool daemon_done = pair->daemon_ended;
    const bool node_done = pair->node_ended && pair->to_daemon.empty();
    if (!daemon_done && !node_done) return false;
    if (daemon_done) Write(pair->node, &pair->to_node);
    close(pair->daemon);
    close(pair->node);
    return true;
  }

  Options options_;
  int listener_ = -1, port_ = 0;
  Node node_;
  std::list<Pair> pairs_;
  bool troubled_ = false, crash_pending_ = false;
  double hang_until_ = 0, down_until_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  Options options;
  const std::map<std::string, std::string*> texts = {
      {"--name", &options.name},          {"--room", &options.room},
      {"--rack", &options.rack},          {"--node", &options.node_program},
      {"--list", &options.list},          {"--record", &options.record},
      {"--trouble", &options.trouble},    {"--started", &options.started_file},
      {"--daemon", &options.daemon_file}, {"--once", &options.once_file}};
  for (int i = 1; i + 1 < argc; i += 2) {
    if (const auto text = texts.find(argv[i]); text != texts.end()) *text->second = argv[i + 1];
    if (std::strcmp(argv[i], "--down") == 0) options.down_ms = std::atof(argv[i + 1]);
  }
  signal(SIGTERM, [](int) { stopped = 1; });
  signal(SIGINT, [](int) { stopped = 1; });
  Machine machine(options);
  if (!machine.Start()) return 2;
  machine.Run();
  return 0;
}
