// A TCP proxy on loopback that loses or delays answers. It forwards all bytes in both directions until a
// client's chunk of bytes begins with the text of --hold-after. That chunk still reaches the server; from
// then on the server's bytes are held, on all connections, for --hold-ms milliseconds. Bytes of clients are
// forwarded all the time. Connections stay open as long as both sides keep them open.
//
//   proxy --to IP:PORT [--listen IP:PORT] [--hold-after TEXT] [--hold-ms MS]
//
// Prints "ready PORT" and one line for each hold.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <memory>
#include <string>
#include <vector>

namespace {

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

sockaddr_in Parse(const std::string& text) {
  sockaddr_in address{};
  const std::size_t colon = text.rfind(':');
  address.sin_family = AF_INET;
  if (colon == std::string::npos ||
      inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) != 1) {
    std::fprintf(stderr, "proxy: expected IP:PORT, got '%s'\n", text.c_str());
    std::exit(2);
  }
  address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
  return address;
}

struct Pair {
  int client = -1;
  int server = -1;
  std::string to_client;  // read from the server and not yet written
  std::string to_server;
  bool client_ended = false;
  bool server_ended = false;
};

// Reads what is there. Returns false at the end of the connection.
bool ReadSome(int fd, std::string* to) {
  char buffer[65536];
  const ssize_t count = read(fd, buffer, sizeof buffer);
  if (count > 0) to->append(buffer, static_cast<std::size_t>(count));
  return count > 0 || (count < 0 && (errno == EAGAIN || errno == EINTR));
}

bool WriteSome(int fd, std::string* from) {
  const ssize_t count = write(fd, from->data(), from->size());
  if (count > 0) from->erase(0, static_cast<std::size_t>(count));
  return count >= 0 || errno == EAGAIN || errno == EINTR;
}

}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  std::string listen_on = "127.0.0.1:0";
  std::string to;
  std::string hold_after;
  std::int64_t hold_ms = 0;
  for (int i = 1; i + 1 < argc; i += 2) {
    const std::string name = argv[i];
    if (name == "--listen") listen_on = argv[i + 1];
    if (name == "--to") to = argv[i + 1];
    if (name == "--hold-after") hold_after = argv[i + 1];
    if (name == "--hold-ms") hold_ms = std::atoll(argv[i + 1]);
  }
  const sockaddr_in target = Parse(to);
  sockaddr_in own = Parse(listen_on);
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  socklen_t size = sizeof own;
  if (bind(listener, reinterpret_cast<sockaddr*>(&own), size) != 0 || listen(listener, 64) != 0) {
    std::perror("proxy: listen");
    return 2;
  }
  getsockname(listener, reinterpret_cast<sockaddr*>(&own), &size);
  std::printf("ready %d\n", ntohs(own.sin_port));
  std::fflush(stdout);

  std::vector<std::unique_ptr<Pair>> pairs;
  std::int64_t held_until = 0;
  for (;;) {
    const bool held = NowMs() < held_until;
    std::vector<pollfd> fds{{listener, POLLIN, 0}};
    for (const auto& pair : pairs) {
      short client_events = pair->client_ended ? 0 : POLLIN;
      if (!pair->to_client.empty() && !held) client_events |= POLLOUT;
      short server_events = pair->server_ended ? 0 : POLLIN;
      if (!pair->to_server.empty()) server_events |= POLLOUT;
      fds.push_back({pair->client, client_events, 0});
      fds.push_back({pair->server, server_events, 0});
    }
    poll(fds.data(), fds.size(), held ? 10 : 1000);
    for (std::size_t i = 0; i < pairs.size(); ++i) {
      Pair& pair = *pairs[i];
      const short client = fds[1 + 2 * i].revents;
      const short server = fds[2 + 2 * i].revents;
      if ((client & (POLLIN | POLLHUP | POLLERR)) != 0 && !pair.client_ended) {
        std::string chunk;
        pair.client_ended = !ReadSome(pair.client, &chunk);
        if (!hold_after.empty() && held_until == 0 && chunk.compare(0, hold_after.size(), hold_after) == 0) {
          held_until = NowMs() + hold_ms;
          std::printf("%lld answers are held for %lld ms\n", static_cast<long long>(NowMs()),
                      static_cast<long long>(hold_ms));
          std::fflush(stdout);
        }
        pair.to_server += chunk;
      }
      if ((server & (POLLIN | POLLHUP | POLLERR)) != 0 && !pair.server_ended) {
        pair.server_ended = !ReadSome(pair.server, &pair.to_client);
      }
      const bool may_answer = NowMs() >= held_until;
      if (!pair.to_server.empty() && !WriteSome(pair.server, &pair.to_server)) pair.server_ended = true;
      if (!pair.to_client.empty() && may_answer && !WriteSome(pair.client, &pair.to_client)) {
        pair.client_ended = true;
      }
    }
    std::erase_if(pairs, [&](const std::unique_ptr<Pair>& pair) {
      const bool server_done = pair->server_ended && (pair->to_client.empty() || pair->client_ended);
      const bool client_done = pair->client_ended && (pair->to_server.empty() || pair->server_ended);
      if ((server_done && NowMs() >= held_until) || client_done) {
        close(pair->client);
        close(pair->server);
        return true;
      }
      return false;
    });
    if ((fds[0].revents & POLLIN) == 0) continue;
    const int accepted = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted < 0) continue;
    const int connected = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(connected, reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0) {
      const linger reset{1, 0};
      setsockopt(accepted, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      close(accepted);
      close(connected);
      continue;
    }
    fcntl(connected, F_SETFL, O_NONBLOCK);
    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(connected, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto pair = std::make_unique<Pair>();
    pair->client = accepted;
    pair->server = connected;
    pairs.push_back(std::move(pair));
  }
}
