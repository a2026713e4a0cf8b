#include "pbs_client/pbs_client.hpp"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pwd.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <random>
#include <thread>

namespace mountflow::pbs_client {
namespace {

constexpr std::size_t kPiece = 64 << 10;
constexpr Micros kMostObeyedMs = 60'000;  // of a wait that a daemon tells

Micros Mono() {
  timespec t;
  clock_gettime(CLOCK_MONOTONIC, &t);
  return static_cast<Micros>(t.tv_sec) * 1'000'000u + static_cast<Micros>(t.tv_nsec) / 1000u;
}

// Waits for events on fd until the time. False when it is over.
bool Wait(int fd, short events, Micros until) {
  for (;;) {
    const Micros now = Mono();
    if (now >= until) return false;
    pollfd p{fd, events, 0};
    const int n = poll(&p, 1, static_cast<int>(std::min<Micros>((until - now + 999) / 1000, 1'000'000)));
    if (n > 0) return true;
    if (n < 0 && errno != EINTR) return false;
  }
}

}  // namespace

Micros WallTime() {
  timespec t;
  clock_gettime(CLOCK_REALTIME, &t);
  return static_cast<Micros>(t.tv_sec) * 1'000'000u + static_cast<Micros>(t.tv_nsec) / 1000u;
}

std::string UserName() {
  const passwd* entry = getpwuid(geteuid());
  return entry != nullptr ? entry->pw_name : std::to_string(geteuid());
}

std::string HostName() {
  char name[256] = "";
  gethostname(name, sizeof name - 1);
  return name;
}

Client::~Client() { Close(); }

void Client::Close() {
  if (fd_ >= 0) close(fd_);
  fd_ = -1;
  input_.clear();
}

bool Client::Connect(const std::string& text, Micros timeout, std::string* error) {
  Close();
  const std::size_t colon = text.rfind(':');
  std::string host = text.substr(0, colon);
  int port = 15001;
  if (colon != std::string::npos) {
    const auto read = std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    if (read.ec != std::errc() || port < 1 || port > 65535) {
      *error = text + ": expected HOST:PORT";
      return false;
    }
  }
  if (host == "localhost") host = "127.0.0.1";
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1) {
    *error = text + ": expected an IP address";
    return false;
  }
  const Micros until = Mono() + timeout;
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  int one = 1;
  setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    int problem = errno;
    if (problem == EINPROGRESS) {
      problem = ETIMEDOUT;
      socklen_t size = sizeof problem;
      if (Wait(fd_, POLLOUT, until)) getsockopt(fd_, SOL_SOCKET, SO_ERROR, &problem, &size);
    }
    if (problem != 0) {
      *error = text + ": " + strerror(problem);
      Close();
      return false;
    }
  }
  return true;
}

bool Client::Write(const std::string& bytes, Micros until, std::string* error) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n = send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n > 0) {
      sent += static_cast<std::size_t>(n);
    } else if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
      if (Wait(fd_, POLLOUT, until)) continue;
      *error = "time is over while sending";
      Close();
      return false;
    } else {
      *error = strerror(errno);
      Close();
      return false;
    }
  }
  return true;
}

bool Client::Read(pbs_protocol::Reply* reply, Micros until, std::string* error) {
  std::size_t needs = 1;
  for (;;) {
    if (input_.size() >= needs) {
      const pbs_protocol::DecodeResult parsed = pbs_protocol::Decode(input_, reply);
      if (parsed.state == pbs_protocol::DisState::kOk) {
        input_.erase(0, parsed.used);
        return true;
      }
      if (parsed.state == pbs_protocol::DisState::kBad) {
        *error = "reply: expected " + pbs_protocol::Describe(parsed.error);
        Close();
        return false;
      }
      needs = parsed.needs;
    }
    char buffer[64 << 10];
    const ssize_t n = recv(fd_, buffer, sizeof buffer, 0);
    if (n > 0) {
      input_.append(buffer, static_cast<std::size_t>(n));
    } else if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
      if (Wait(fd_, POLLIN, until)) continue;
      *error = "no reply in time";
      Close();
      return false;
    } else {
      *error = n == 0 ? "connection closed by the daemon" : strerror(errno);
      Close();
      return false;
    }
  }
}

bool Client::Call(const pbs_protocol::Request& request, pbs_protocol::Reply* reply, Micros timeout,
                  std::string* error) {
  if (fd_ < 0) {
    *error = "not connected";
    return false;
  }
  const Micros until = Mono() + timeout;
  std::string bytes;
  pbs_protocol::Encode(request, &bytes);
  return Write(bytes, until, error) && Read(reply, until, error);
}

SubmitResult Submit(const std::vector<std::string>& daemons, const Submission& s) {
  SubmitResult result;
  if (daemons.empty()) {
    result.error = "no daemon is named";
    return result;
  }
  Micros earlier_until = 0;  // an ask of which nothing is known may be started until then
  const unsigned tries = std::max(1u, s.tries);
  for (unsigned n = 0; n < tries; ++n) {
    const std::string& address = daemons[n % daemons.size()];
    const Micros until = Mono() + s.answer_within;
    const auto left = [until] {
      const Micros now = Mono();
      return until > now ? until - now : Micros{1};
    };
    Client client;
    if (!client.Connect(address, left(), &result.error)) continue;
    pbs_protocol::Request queue;
    queue.type = pbs_protocol::RequestType::kQueueJob;
    queue.user = s.user;
    queue.destination = s.destination;
    queue.attributes = s.attributes;
    const auto put = [&queue](const char* name, std::string value) {
      queue.attributes.push_back({name, "", std::move(value), pbs_protocol::Op::kSet});
    };
    if (!s.key.empty()) put("key", s.key);
    const Micros deadline = s.owner_time != 0 ? WallTime() + s.owner_time : 0;
    if (deadline != 0) put("owner_deadline", std::to_string(deadline));
    // Said to the same daemon too: it may have been started anew meanwhile and know nothing of the first ask.
    if (earlier_until != 0) {
      put("repeat", "true");
      put("earlier_until", std::to_string(earlier_until));
    }
    pbs_protocol::Reply reply;
    const auto refused = [&] {
      result.code = reply.code;
      result.error = reply.choice == pbs_protocol::Choice::kText && !reply.text.empty()
                         ? reply.text
                         : pbs_protocol::Describe(reply.code);
    };
    if (!client.Call(queue, &reply, left(), &result.error)) continue;
    if (reply.code == pbs_protocol::Code::kExists && reply.choice == pbs_protocol::Choice::kText) {
      result.ok = result.repeated = true;
      result.id = reply.text;
      result.server = address;
      return result;
    }
    if (reply.code != pbs_protocol::Code::kNone) {
      refused();
      // Refused at the door: asked again after the wait that it told, and up to a quarter more, so that those
      // who were refused together do not come back together.
      if (reply.auxiliary <= 0 || n + 1 >= tries) return result;
      const Micros wait = std::min<Micros>(static_cast<Micros>(reply.auxiliary), kMostObeyedMs) * 1000;
      std::random_device draw;
      std::this_thread::sleep_for(std::chrono::microseconds(wait + draw() % (wait / 4 + 1)));
      continue;
    }
    const std::string id = reply.text;
    pbs_protocol::Request r;
    r.user = s.user;
    r.id = id;
    r.type = pbs_protocol::RequestType::kJobScript;
    bool sent = true;
    std::size_t at = 0;
    do {
      r.script = s.script.substr(at, kPiece);
      at += r.script.size();
      sent = client.Call(r, &reply, left(), &result.error);
      ++r.sequence;
    } while (sent && reply.code == pbs_protocol::Code::kNone && at < s.script.size());
    if (!sent) continue;  // no commit went out: no job
    r.script.clear();
    if (reply.code == pbs_protocol::Code::kNone) {
      r.type = pbs_protocol::RequestType::kReadyToCommit;
      if (!client.Call(r, &reply, left(), &result.error)) continue;
    }
    if (reply.code != pbs_protocol::Code::kNone) {
      refused();
      return result;
    }
    r.type = pbs_protocol::RequestType::kCommit;
    if (!client.Call(r, &reply, left(), &result.error)) {
      // It may be there. Without a key nobody could tell a repeat from a second job.
      if (s.key.empty()) {
        result.error += "; the job may have been taken as " + id;
        return result;
      }
      earlier_until = std::max(earlier_until, deadline != 0 ? deadline : WallTime() + 600'000'000);
      continue;
    }
    if (reply.code == pbs_protocol::Code::kExists && !reply.text.empty()) {
      result.ok = result.repeated = true;
      result.id = reply.text;
      result.server = address;
      return result;
    }
    if (reply.code != pbs_protocol::Code::kNone) {
      refused();
      return result;
    }
    result.ok = true;
    result.id = id;
    result.server = address;
    return result;
  }
  return result;
}

}  // namespace mountflow::pbs_client
