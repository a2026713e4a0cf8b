// Stand-ins for the cases of the platform's service: machines, owners and the change log, on loopback, in one
// thread, and the scheduler itself as a process started as the deploy file says. Each stand-in does only what
// the protocol page allows it to do.
#ifndef REVIEW_SUPPORT_2_PLATFORM_HPP_
#define REVIEW_SUPPORT_2_PLATFORM_HPP_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/ioctl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace review {

using nlohmann::json;

// The exit statuses of a case.
inline constexpr int kHeld = 0, kBroken = 1, kNotRun = 2;

inline double Now() {
  timeval now{};
  gettimeofday(&now, nullptr);
  return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_usec) / 1e6;
}

inline bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::strcmp(trouble, "0") != 0;
}

// What was sent, answered and run, one line each.
class RecordFile {
 public:
  explicit RecordFile(const std::string& name) : file_(std::fopen(name.c_str(), "w")) {}
  ~RecordFile() {
    if (file_ != nullptr) std::fclose(file_);
  }
  RecordFile(const RecordFile&) = delete;
  RecordFile& operator=(const RecordFile&) = delete;
  void Write(const std::string& text) {
    if (file_ == nullptr) return;
    std::fprintf(file_, "%.3f %s\n", Now(), text.c_str());
    std::fflush(file_);
  }

 private:
  std::FILE* file_;
};

inline std::string Hex(std::uint64_t uid) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(uid));
  return text;
}

// ---- Sockets ----

inline sockaddr_in AddressOf(const std::string& host, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

// Listens on a port below the range of ephemeral ports, or on `port`. Returns -1 if that is not possible.
inline int ListenOn(int port, int receive_buffer = 0) {
  static int next = getpid() * 37;
  for (int i = 0; i < 2000; ++i) {
    const int tried = port != 0 ? port : 10240 + next++ % 20000;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (receive_buffer != 0) setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    const sockaddr_in address = AddressOf("127.0.0.1", tried);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 && listen(fd, 256) == 0) {
      return fd;
    }
    close(fd);
    if (port != 0) return -1;
  }
  return -1;
}

inline int PortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

inline void CloseWithReset(int fd) {
  const linger reset{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  close(fd);
}

// A non-blocking connection with what was read and what is still to be written.
struct Stream {
  int fd = -1;
  std::string in, out;
  bool ended = false;

  bool IsOpen() const { return fd >= 0; }
  void Read() {
    char buffer[16384];
    for (;;) {
      const ssize_t count = recv(fd, buffer, sizeof buffer, 0);
      if (count > 0) {
        in.append(buffer, static_cast<std::size_t>(count));
        continue;
      }
      if (count == 0 || (errno != EAGAIN && errno != EINTR)) ended = true;
      return;
    }
  }
  void Send(const std::string& bytes) {
    out += bytes;
    Flush();
  }
  void Flush() {
    while (!out.empty()) {
      const ssize_t count = send(fd, out.data(), out.size(), MSG_NOSIGNAL);
      if (count <= 0) return;
      out.erase(0, static_cast<std::size_t>(count));
    }
  }
  void Close() {
    if (fd >= 0) close(fd);
    fd = -1;
  }
  void Reset() {
    if (fd >= 0) CloseWithReset(fd);
    fd = -1;
  }
};

// ---- Binary messages ----

enum Kind : std::uint8_t { kLaunch = 1, kAnswer = 9, kStop = 12, kStopped = 16, kCheck = 52, kChecked = 53 };
enum Parameter : std::uint8_t {
  kClass = 129,
  kWait = 132,
  kTaskName = 141,
  kStatus = 150,
  kCause = 171,
  kBody = 174
};

struct Message {
  std::uint8_t kind = 0;
  std::uint64_t uid = 0;
  std::map<std::uint8_t, std::string> parameters;
};

inline void AppendNumber(std::uint64_t value, int bytes, std::string* to) {
  for (int i = bytes - 1; i >= 0; --i) to->push_back(static_cast<char>(value >> (8 * i) & 0xff));
}

inline std::string Encode(const Message& message) {
  std::string body(1, static_cast<char>(message.kind));
  AppendNumber(message.uid, 8, &body);
  for (const auto& [code, value] : message.parameters) {
    body.push_back(static_cast<char>(code));
    AppendNumber(value.size(), 2, &body);
    body += value;
  }
  std::string bytes;
  AppendNumber(body.size(), 2, &bytes);
  return bytes + body;
}

inline std::uint64_t NumberAt(const std::string& bytes, std::size_t at, std::size_t size) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < size; ++i) value = value << 8 | static_cast<unsigned char>(bytes[at + i]);
  return value;
}

// Takes the first whole message out of `bytes`. Returns false if there is none.
inline bool Decode(std::string* bytes, Message* message) {
  if (bytes->size() < 2) return false;
  const std::size_t size = 2 + NumberAt(*bytes, 0, 2);
  if (bytes->size() < size || size < 11) return false;
  *message = {};
  message->kind = static_cast<std::uint8_t>((*bytes)[2]);
  message->uid = NumberAt(*bytes, 3, 8);
  for (std::size_t at = 11; at + 3 <= size;) {
    const std::size_t length = NumberAt(*bytes, at + 1, 2);
    message->parameters[static_cast<std::uint8_t>((*bytes)[at])] = bytes->substr(at + 3, length);
    at += 3 + length;
  }
  bytes->erase(0, size);
  return true;
}

inline Message WithCause(Kind kind, std::uint64_t uid, int cause, const std::string& status = "") {
  Message message;
  message.kind = kind;
  message.uid = uid;
  message.parameters[kCause] = std::string(1, static_cast<char>(cause));
  if (!status.empty()) message.parameters[kStatus] = status;
  return message;
}

// ---- Machines ----

// A machine that accepts what it is sent. A task stands from its answer on until it is released or cut.
class Machine {
 public:
  struct Task {
    std::string key;
    double since = 0;
    int set_up_on = 0;  // the connection of its set-up
  };
  struct Connection {
    int number = 0;
    Stream stream;
    bool has_spoken = false;  // its scheduler is known by its first message
    bool forgotten = false;   // whatever comes next on it is answered with a reset, unread
  };

  Machine(std::string name, RecordFile* record, int receive_buffer = 0)
      : name_(std::move(name)), record_(record), listener_(ListenOn(0, receive_buffer)) {}
  ~Machine() {
    for (Connection& connection : connections_) connection.stream.Close();
    if (listener_ >= 0) close(listener_);
  }
  Machine(const Machine&) = delete;
  Machine& operator=(const Machine&) = delete;

  const std::string& name() const { return name_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(PortOf(listener_)); }
  const std::map<std::uint64_t, Task>& standing() const { return standing_; }
  // Reports whether the task stands or has stood here.
  bool has_held(std::uint64_t uid) const { return held_.count(uid) > 0; }
  double last_check_at() const { return last_check_at_; }

  // Decides about a set-up. Returns 0 to accept it, or the cause of a refusal.
  std::function<int(const Message&)> on_launch = [](const Message&) { return 0; };
  // A machine that hangs reads and writes nothing.
  bool hangs = false;

  // The task has come to its end.
  void End(std::uint64_t uid) {
    const auto task = standing_.find(uid);
    if (task == standing_.end()) return;
    const int set_up_on = task->second.set_up_on;
    standing_.erase(task);
    Connection* chosen = nullptr;
    for (Connection& connection : connections_) {
      if (!connection.has_spoken) continue;
      if (chosen == nullptr || connection.number == set_up_on) chosen = &connection;
    }
    record_->Write(name_ + ": task " + Hex(uid) + " has come to its end" +
                   (chosen == nullptr ? ", no connection is open" : ", release sent"));
    if (chosen != nullptr) chosen->stream.Send(Encode(WithCause(kStop, uid, 16)));
    unreported_.push_back(uid);  // the release is also sent on the next connection that is opened
  }
  // From now on the machine no longer knows its open connections.
  void ForgetConnections() {
    for (Connection& connection : connections_) connection.forgotten = true;
    record_->Write(name_ + ": forgets its idle connections");
  }

  void Turn() {
    if (hangs) return;
    for (;;) {
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0) break;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      connections_.emplace_back();
      connections_.back().number = ++last_connection_;
      connections_.back().stream.fd = fd;
    }
    for (auto connection = connections_.begin(); connection != connections_.end();) {
      connection->stream.Flush();
      if (connection->forgotten) {
        char byte = 0;
        if (recv(connection->stream.fd, &byte, 1, MSG_PEEK) == 1) {
          record_->Write(name_ + ": bytes on a connection that it has forgotten, reset");
          connection->stream.Reset();
        }
      } else {
        connection->stream.Read();
        for (Message message; Decode(&connection->stream.in, &message);) Handle(&*connection, message);
        if (connection->stream.ended) connection->stream.Close();
      }
      connection = connection->stream.IsOpen() ? std::next(connection) : connections_.erase(connection);
    }
  }

 private:
  void Handle(Connection* connection, const Message& message) {
    if (!connection->has_spoken) {
      connection->has_spoken = true;
      for (const std::uint64_t uid : std::exchange(unreported_, {})) {
        record_->Write(name_ + ": release of task " + Hex(uid) +
                       " sent on the next connection that was opened");
        connection->stream.Send(Encode(WithCause(kStop, uid, 16)));
      }
    }
    if (message.kind == kCheck) {
      last_check_at_ = Now();
      connection->stream.Send(Encode(WithCause(kChecked, message.uid, 1)));
    } else if (message.kind == kStop) {
      const bool stood = standing_.erase(message.uid) > 0;
      record_->Write(name_ + ": release of " + Hex(message.uid) + " received" + (stood ? ", task cut" : ""));
      connection->stream.Send(Encode(WithCause(kStopped, message.uid, 0)));
    } else if (message.kind == kLaunch) {
      const auto key = message.parameters.find(kTaskName);
      const std::string name = key == message.parameters.end() ? "" : key->second;
      const int cause = on_launch(message);
      record_->Write(name_ + ": set-up " + Hex(message.uid) + " key " + name +
                     (cause == 0 ? ", the task stands" : ", refused with cause " + std::to_string(cause)));
      if (cause != 0) {
        connection->stream.Send(Encode(WithCause(kStop, message.uid, cause, refusal)));
        return;
      }
      standing_[message.uid] = {name, Now(), connection->number};
      held_.insert(message.uid);
      Message answer;
      answer.kind = kAnswer;
      answer.uid = message.uid;
      answer.parameters[kBody] = "made by " + name_;
      connection->stream.Send(Encode(answer));
    }
  }

 public:
  std::string refusal = "no_cores";

 private:
  std::string name_;
  RecordFile* record_;
  int listener_;
  std::list<Connection> connections_;
  int last_connection_ = 0;
  double last_check_at_ = 0;
  std::map<std::uint64_t, Task> standing_;
  std::set<std::uint64_t> held_;
  std::vector<std::uint64_t> unreported_;
};

// ---- The change log ----

class ChangeLog {
 public:
  explicit ChangeLog(RecordFile* record) : record_(record), listener_(ListenOn(0)) {}
  ~ChangeLog() {
    for (Poller& poller : pollers_) poller.stream.Close();
    if (listener_ >= 0) close(listener_);
  }
  ChangeLog(const ChangeLog&) = delete;
  ChangeLog& operator=(const ChangeLog&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(PortOf(listener_)); }
  json Known() const { return {{"seq", events_.size()}, {"results", events_}}; }
  // Adds an event. The first one must hold the whole list.
  void Add(const json& entries) {
    const std::size_t number = events_.size() + 1;
    events_.push_back(
        {{"seq", number}, {"fleet", {{"index", number}, {"snapshot", number == 1}, {"endpoints", entries}}}});
    if (!quiet) record_->Write("change log: event " + std::to_string(number) + " " + entries.dump());
  }
  // Each answer leaves so many seconds late.
  double late_by = 0;
  // While it is down it closes what is open and what comes.
  bool down = false;
  // The events are not written into the record.
  bool quiet = false;
  std::size_t answered() const { return answered_; }
  std::size_t broken_off() const { return broken_off_; }

  void Turn() {
    for (;;) {
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0) break;
      pollers_.emplace_back();
      pollers_.back().stream.fd = fd;
    }
    if (down) {
      for (Poller& poller : pollers_) poller.stream.Reset();
      pollers_.clear();
    }
    for (auto poller = pollers_.begin(); poller != pollers_.end();) {
      Serve(&*poller);
      poller = poller->stream.IsOpen() ? std::next(poller) : pollers_.erase(poller);
    }
  }

 private:
  static constexpr std::size_t kLargeAnswer = 1'000'000;
  struct Poller {
    Stream stream;
    bool waits = false;
    std::size_t since = 0;
    double until = 0;
    double ready_at = 0;  // when the answer to the call in progress is due; 0: not yet
  };

  void Serve(Poller* poller) {
    poller->stream.Flush();
    poller->stream.Read();
    if (poller->stream.ended) {
      if (poller->waits) {
        ++broken_off_;
        record_->Write("change log: the scheduler has closed its call before the answer left");
      }
      return poller->stream.Close();
    }
    const std::size_t end = poller->stream.in.find("\r\n\r\n");
    if (!poller->waits && end != std::string::npos) {
      const std::string head = poller->stream.in.substr(0, end);
      poller->stream.in.erase(0, end + 4);
      poller->since = NumberAfter(head, "since=");
      poller->until = Now() + static_cast<double>(NumberAfter(head, "timeout=")) / 1e3;
      poller->ready_at = 0;
      poller->waits = true;
    }
    if (!poller->waits) return;
    const bool has_news = events_.size() > poller->since;
    if (poller->ready_at == 0 && (has_news || Now() >= poller->until)) poller->ready_at = Now() + late_by;
    if (poller->ready_at == 0 || Now() < poller->ready_at) return;
    Answer(poller);
  }

  void Answer(Poller* poller) {
    json results = json::array();
    for (std::size_t i = poller->since; i < events_.size(); ++i) results.push_back(events_[i]);
    const std::string body = json{{"seq", events_.size()}, {"results", results}}.dump();
    poller->stream.Send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body);
    poller->waits = false;
    ++answered_;
    if (body.size() > kLargeAnswer) {
      record_->Write("change log: " + std::to_string(results.size()) + " events in an answer of " +
                     std::to_string(body.size()) + " bytes");
    }
  }

  static std::size_t NumberAfter(const std::string& text, const std::string& name) {
    const std::size_t at = text.find(name);
    return at == std::string::npos ? 0 : std::strtoull(text.c_str() + at + name.size(), nullptr, 10);
  }

  RecordFile* record_;
  int listener_;
  std::vector<json> events_;
  std::list<Poller> pollers_;
  std::size_t answered_ = 0, broken_off_ = 0;
};

// ---- Owners ----

// One connection of an owner to the scheduler, and what came on it.
class Owner {
 public:
  struct Answer {
    std::string kind;
    int cause = -1;
    double at = 0;
  };

  // Connects from the loopback address `host`, so that each owner is a host of its own.
  Owner(std::string name, const std::string& host, int scheduler_port, RecordFile* record)
      : name_(std::move(name)), record_(record) {
    stream_.fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in own = AddressOf(host, 0);
    const sockaddr_in scheduler = AddressOf("127.0.0.1", scheduler_port);
    if (bind(stream_.fd, reinterpret_cast<const sockaddr*>(&own), sizeof own) != 0 ||
        connect(stream_.fd, reinterpret_cast<const sockaddr*>(&scheduler), sizeof scheduler) != 0) {
      stream_.Close();
      return;
    }
    const int on = 1;
    setsockopt(stream_.fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    fcntl(stream_.fd, F_SETFL, O_NONBLOCK);
  }
  ~Owner() { stream_.Close(); }
  Owner(const Owner&) = delete;
  Owner& operator=(const Owner&) = delete;

  bool IsOpen() const { return stream_.IsOpen(); }
  void Close() { stream_.Close(); }
  void Test() { Send({{"kind", "check"}, {"uid", Hex(0xc0ffee)}, {"meta", json::object()}, {"reason", 0}}); }
  bool has_passed() const { return has_passed_; }

  // Sends a set-up. With `at` it names the machine that holds the task already.
  void Launch(std::uint64_t uid, const std::string& task_class, const std::string& key,
              const std::string& at = "", int left_ms = 3000, const std::string& body = "what to start") {
    std::string extras = "cores:0.5;memory:1;service:00000000b4d65521";
    if (!at.empty()) extras += ";at:" + at;
    json meta = {{"class", task_class}, {"left", std::to_string(left_ms)},
                 {"tenant", "acme"},    {"key", key},
                 {"idem", key + key},   {"extras", extras}};
    record_->Write(name_ + ": set-up " + Hex(uid) + " key " + key + (at.empty() ? "" : " at " + at));
    Send({{"kind", "launch"}, {"uid", Hex(uid)}, {"meta", meta}, {"body", body}});
  }
  // Ends a task that stands, or gives a set-up up.
  void Stop(std::uint64_t uid) {
    record_->Write(name_ + ": release of " + Hex(uid));
    Send({{"kind", "stop"}, {"uid", Hex(uid)}, {"meta", json::object()}, {"reason", 16}});
  }
  const std::vector<Answer>& AnswersTo(std::uint64_t uid) { return answers_[uid]; }
  bool Stands(std::uint64_t uid) {
    const std::vector<Answer>& answers = answers_[uid];
    return !answers.empty() && answers.back().kind == "running";
  }

  void Turn() {
    if (!stream_.IsOpen()) return;
    stream_.Flush();
    stream_.Read();
    for (std::size_t end = 0; (end = stream_.in.find('\n')) != std::string::npos;) {
      const json line = json::parse(stream_.in.substr(0, end), nullptr, false);
      stream_.in.erase(0, end + 1);
      if (line.is_object()) Handle(line);
    }
    if (!stream_.ended) return;
    record_->Write(name_ + ": the scheduler has closed the connection");
    stream_.Close();
  }

 private:
  void Send(const json& line) {
    if (stream_.IsOpen()) stream_.Send(line.dump() + "\n");
  }
  void Handle(const json& line) {
    const std::string kind = line.value("kind", "");
    if (kind == "checked") {
      has_passed_ = has_passed_ || line.value("reason", 0) == 1;
      return;
    }
    const std::uint64_t uid = std::strtoull(line.value("uid", "0").c_str(), nullptr, 16);
    answers_[uid].push_back({kind, line.value("reason", -1), Now()});
    record_->Write(name_ + ": got " + kind + " " + Hex(uid) +
                   (line.contains("reason") ? " cause " + line["reason"].dump() : ""));
  }

  std::string name_;
  RecordFile* record_;
  Stream stream_;
  bool has_passed_ = false;
  std::map<std::uint64_t, std::vector<Answer>> answers_;
};

// ---- The scheduler ----

// The program, started as the deploy file's `run` says, from the root of the repository.
class Scheduler {
 public:
  Scheduler(std::string root, RecordFile* record) : root_(std::move(root)), record_(record) {
    const char* temporary = std::getenv("TMPDIR");
    std::string folder = std::string(temporary == nullptr ? "/tmp" : temporary) + "/mountflow-case-XXXXXX";
    if (const char* made = mkdtemp(folder.data())) folder_ = made;
    const int probe = ListenOn(0);
    port_ = PortOf(probe);
    close(probe);
  }
  ~Scheduler() {
    Kill();
    for (const char* file : {"/config.json", "/config.json.new", "/log"}) unlink((folder_ + file).c_str());
    rmdir(folder_.c_str());
  }
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  int port() const { return port_; }
  bool IsRunning() { return process_ > 0 && waitpid(process_, nullptr, WNOHANG) == 0; }
  void Configure(const json& known, const std::string& change_log, const json& settings) {
    const json config = {{"name", "n0"},
                         {"listen", "127.0.0.1:" + std::to_string(port_)},
                         {"seed", "8c1f30d27a5be964"},
                         {"limits", {{"cores", 1.0}, {"memory_mb", 128}, {"sockets", 512}}},
                         {"changelog", change_log},
                         {"known", known},
                         {"settings", settings}};
    std::ofstream(folder_ + "/config.json.new") << config.dump();
    std::rename((folder_ + "/config.json.new").c_str(), (folder_ + "/config.json").c_str());
  }
  void Start() {
    const std::string listen = "127.0.0.1:" + std::to_string(port_);
    const pid_t parent = getpid();
    process_ = fork();
    if (process_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent || chdir(root_.c_str()) != 0) _exit(1);
      const int log = open((folder_ + "/log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(log, STDOUT_FILENO);
      dup2(log, STDERR_FILENO);
      setenv("LB_NAME", "n0", 1);
      setenv("LB_LISTEN", listen.c_str(), 1);
      setenv("LB_CONFIG", (folder_ + "/config.json").c_str(), 1);
      execl("/bin/sh", "sh", "-c", "exec build/mountflowd --platform", static_cast<char*>(nullptr));
      _exit(127);
    }
    record_->Write("scheduler started, process " + std::to_string(process_));
  }
  void Signal(int number) {
    if (process_ > 0) kill(process_, number);
    record_->Write("scheduler: signal " + std::to_string(number));
  }
  void Kill() {
    if (process_ <= 0) return;
    kill(process_, SIGKILL);
    waitpid(process_, nullptr, 0);
    record_->Write("scheduler killed");
    process_ = 0;
  }
  // Copies the scheduler's own log into the record.
  void RecordLog() {
    std::ifstream log(folder_ + "/log");
    for (std::string line; std::getline(log, line);) record_->Write("scheduler's log: " + line);
  }

 private:
  std::string root_, folder_;
  RecordFile* record_;
  int port_ = 0;
  pid_t process_ = 0;
};

// ---- A whole deployment ----

// Classes `batch` (safe), `keyed` and `once` (unsafe).
inline json SmallSettings() {
  return json::parse(R"({
    "bounds": {"cancel": true, "conn_idle_us": 15000000, "connect_timeout_us": 250000, "max_attempts": 4},
    "discovery": "push",
    "domain": {"ack": "accepted", "counts": "asked", "kind_cores": [40], "mem_of_kind": [80], "lists_free": true,
               "mean_cores": 1.33, "usual_memory": 2.38, "spread_by": ["silent", "silent", "silent"],
               "together_max": [0, 0, 0], "priority_by_class": [0, 0, 0], "owner_wait_us": 3000000, "cold_bears": 54},
    "failure_domains": ["room-a"], "kinds": ["std"], "group_size": 1, "self_index": 0,
    "orgs": [{"name": "acme", "share": 1.0}],
    "profiles": [
      {"name": "batch", "effect": "safe", "key_scope": "all", "window_us": 5000000, "hard_limit_us": 9000000,
       "aim_us": 5000000, "worth": 1.0},
      {"name": "keyed", "effect": "keyed", "key_scope": "cell", "window_us": 5000000, "hard_limit_us": 8000000,
       "aim_us": 1000000, "worth": 3.0},
      {"name": "once", "effect": "unsafe", "key_scope": "all", "window_us": 5000000, "hard_limit_us": 10000000,
       "aim_us": 6000000, "worth": 2.0}],
    "safety": {"answer_slack_us": 8000, "drain_grace_us": 2000000, "cold_us": 17000000, "cold_from": 0.26,
               "tip_after_us": 3000000, "fall_multiple": 2.0},
    "stats": {"names": ["x0", "x1", "pending", "cpu_share"]}})");
}

class Deployment {
 public:
  Deployment(const std::string& root, const std::string& record_name)
      : record(record_name), log(&record), scheduler(root, &record) {}

  json EntryOf(const Machine& machine, unsigned group, const std::string& status = "ready") const {
    return {{"name", machine.name()},
            {"address", machine.address()},
            {"zone", "room-a"},
            {"type", "std"},
            {"group", group},
            {"status", status},
            {"weight", 1},
            {"since_ms", 0},
            {"free", {40, 80}}};
  }
  Machine& AddMachine(const std::string& name) {
    machines.push_back(std::make_unique<Machine>(name, &record));
    return *machines.back();
  }
  Owner& AddOwner(const std::string& name, const std::string& host) {
    owners.push_back(std::make_unique<Owner>(name, host, scheduler.port(), &record));
    return *owners.back();
  }
  void ListAll() {
    json entries = json::array();
    for (std::size_t i = 0; i < machines.size(); ++i) {
      entries.push_back(EntryOf(*machines[i], static_cast<unsigned>(i)));
    }
    log.Add(entries);
  }
  void Turn() {
    for (const auto& machine : machines) machine->Turn();
    for (const auto& owner : owners) owner->Turn();
    log.Turn();
    if (each_turn) each_turn();
    usleep(1000);
  }
  void RunFor(double seconds) {
    for (const double until = Now() + seconds; Now() < until;) Turn();
  }
  bool RunUntil(double seconds, const std::function<bool()>& holds) {
    for (const double until = Now() + seconds; Now() < until;) {
      if (holds()) return true;
      Turn();
    }
    return holds();
  }
  // Starts the scheduler and waits until it has passed a test.
  bool StartScheduler() {
    scheduler.Configure(log.Known(), log.address(), settings);
    scheduler.Start();
    return RunUntil(15, [this] {
      if (probe_ == nullptr || !probe_->IsOpen()) {
        probe_ = std::make_unique<Owner>("front", "127.0.0.9", scheduler.port(), &record);
        if (probe_->IsOpen()) probe_->Test();
      }
      probe_->Turn();
      const bool passed = probe_->has_passed();
      if (passed) probe_.reset();
      return passed;
    });
  }

  RecordFile record;
  json settings = SmallSettings();
  ChangeLog log;
  Scheduler scheduler;
  std::vector<std::unique_ptr<Machine>> machines;
  std::vector<std::unique_ptr<Owner>> owners;
  std::function<void()> each_turn;

 private:
  std::unique_ptr<Owner> probe_;
};

}  // namespace review

#endif  // REVIEW_SUPPORT_2_PLATFORM_HPP_
