// The path from clients to a batch daemon. Everything passes unchanged, but with --lose commit the answer to
// the first Commit request gets lost: the request reaches the daemon, and nothing comes back on that
// connection.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <list>
#include <string>
#include <vector>

namespace {

// The first bytes of a Commit request: protocol type 2, version 1, request 5.
constexpr char kCommitHead[] = "+2+1+5";
constexpr int kPollMillis = 5;

volatile sig_atomic_t stopped = 0;

void Record(const char* file_name, const char* text) {
  std::FILE* file = std::fopen(file_name, "a");
  if (file == nullptr) return;
  timeval now{};
  gettimeofday(&now, nullptr);
  std::fprintf(file, "%ld.%03ld path to the daemon: %s\n", static_cast<long>(now.tv_sec),
               static_cast<long>(now.tv_usec / 1000), text);
  std::fclose(file);
}

int NewSocket(sockaddr_in* address, int port) {
  *address = {};
  address->sin_family = AF_INET;
  address->sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address->sin_port = htons(static_cast<std::uint16_t>(port));
  return socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
}

struct Pair {
  int client = -1, daemon = -1;
  std::string to_client, to_daemon, tail;
  bool ended = false;
  bool loses_answer = false;
};

// Returns false when the peer has closed.
bool ReadAll(int fd, std::string* to) {
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

void Write(int fd, std::string* from) {
  while (!from->empty()) {
    const ssize_t count = send(fd, from->data(), from->size(), MSG_NOSIGNAL);
    if (count <= 0) return;
    from->erase(0, static_cast<std::size_t>(count));
  }
}

}  // namespace

// Arguments: the port of the daemon, the record, and `commit` or `none`.
int main(int argc, char** argv) {
  if (argc != 4) return 2;
  const int daemon_port = std::atoi(argv[1]);
  bool loses = std::strcmp(argv[3], "commit") == 0;
  signal(SIGTERM, [](int) { stopped = 1; });
  sockaddr_in address{};
  const int listener = NewSocket(&address, 0);
  socklen_t size = sizeof address;
  if (bind(listener, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(listener, 64) != 0) return 2;
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  fcntl(listener, F_SETFL, O_NONBLOCK);
  std::printf("path ready: %d\n", ntohs(address.sin_port));
  std::fflush(stdout);
  std::list<Pair> pairs;
  while (stopped == 0) {
    std::vector<pollfd> polled = {{listener, POLLIN, 0}};
    for (const Pair& pair : pairs) {
      polled.push_back({pair.client, POLLIN, 0});
      polled.push_back({pair.daemon, POLLIN, 0});
    }
    poll(polled.data(), polled.size(), kPollMillis);
    for (int client = 0; (client = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;) {
      sockaddr_in daemon_address{};
      const int daemon = NewSocket(&daemon_address, daemon_port);
      if (connect(daemon, reinterpret_cast<sockaddr*>(&daemon_address), sizeof daemon_address) != 0) {
        close(daemon);
        close(client);
        continue;
      }
      fcntl(daemon, F_SETFL, O_NONBLOCK);
      const int on = 1;
      setsockopt(daemon, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      pairs.emplace_back();
      pairs.back().client = client;
      pairs.back().daemon = daemon;
    }
    for (auto pair = pairs.begin(); pair != pairs.end();) {
      std::string arrived;
      if (!ReadAll(pair->client, &arrived)) pair->ended = true;
      pair->to_daemon += arrived;
      pair->tail += arrived;
      Write(pair->daemon, &pair->to_daemon);
      if (pair->tail.find(kCommitHead) != std::string::npos) {
        pair->tail.clear();
        if (loses) {
          loses = false;
          pair->loses_answer = true;
          Record(argv[2], "a commit has been handed to the daemon, its answer gets lost");
        }
      }
      if (!ReadAll(pair->daemon, &pair->to_client)) pair->ended = true;
      if (pair->loses_answer && !pair->to_client.empty()) {
        Record(argv[2], "the daemon has answered the commit");
        pair->to_client.clear();
      }
      Write(pair->client, &pair->to_client);
      if (pair->ended) {
        close(pair->client);
        close(pair->daemon);
      }
      pair = pair->ended ? pairs.erase(pair) : std::next(pair);
    }
  }
  return 0;
}
