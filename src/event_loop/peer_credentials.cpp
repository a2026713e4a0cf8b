#include "event_loop/peer_credentials.hpp"

#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/types.h>

namespace mountflow::event_loop {
namespace {

constexpr std::size_t kMaxReplyBytes = 4096;

struct DiagnosticRequest {
  nlmsghdr header;
  inet_diag_req_v2 query;
};

// Returns a query for the socket whose local address is `peer` and whose remote address is `self`.
DiagnosticRequest MakeRequest(const sockaddr_in& peer, const sockaddr_in& self) {
  DiagnosticRequest request{};
  request.header.nlmsg_len = sizeof request;
  request.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
  request.header.nlmsg_flags = NLM_F_REQUEST;
  request.query.sdiag_family = AF_INET;
  request.query.sdiag_protocol = IPPROTO_TCP;
  request.query.idiag_states = ~0u;
  request.query.id.idiag_sport = peer.sin_port;
  request.query.id.idiag_dport = self.sin_port;
  request.query.id.idiag_src[0] = peer.sin_addr.s_addr;
  request.query.id.idiag_dst[0] = self.sin_addr.s_addr;
  request.query.id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
  request.query.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
  return request;
}

// Returns the netlink socket of the process; negative if the kernel does not provide one.
int DiagnosticSocket() {
  static const int kSocket = socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
  return kSocket;
}

}  // namespace

std::optional<std::uint32_t> PeerUid(int fd) {
  sockaddr_in peer{};
  socklen_t size = sizeof peer;
  if (getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) != 0) return std::nullopt;
  sockaddr_in self{};
  size = sizeof self;
  if (getsockname(fd, reinterpret_cast<sockaddr*>(&self), &size) != 0) return std::nullopt;
  if (peer.sin_family != AF_INET) return std::nullopt;
  const int diagnostic_socket = DiagnosticSocket();
  if (diagnostic_socket < 0) return std::nullopt;
  const DiagnosticRequest request = MakeRequest(peer, self);
  if (send(diagnostic_socket, &request, sizeof request, 0) < 0) return std::nullopt;
  alignas(nlmsghdr) char reply[kMaxReplyBytes];
  const ssize_t received = recv(diagnostic_socket, reply, sizeof reply, 0);
  if (received < static_cast<ssize_t>(sizeof(nlmsghdr) + sizeof(inet_diag_msg))) return std::nullopt;
  const auto* header = reinterpret_cast<const nlmsghdr*>(reply);
  if (header->nlmsg_type != SOCK_DIAG_BY_FAMILY) return std::nullopt;
  return reinterpret_cast<const inet_diag_msg*>(NLMSG_DATA(header))->idiag_uid;
}

}  // namespace mountflow::event_loop
