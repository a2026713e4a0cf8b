// HTTP connections: reads requests, passes them to HttpApi and sends the replies. With durable state, a reply
// is sent only after the state that it reports is durable.
//
// At most kMaxHttpConnections connections are open at a time; further ones are reset. A request body has at
// most kMaxHttpBodyBytes bytes. A connection is not read while one of its replies is held, so the held
// requests of a connection are at most those of one read.
#ifndef MOUNTFLOW_DAEMON_HTTP_CONNECTIONS_HPP_
#define MOUNTFLOW_DAEMON_HTTP_CONNECTIONS_HPP_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "daemon/durable_state.hpp"
#include "daemon/held_replies.hpp"
#include "daemon/http_api.hpp"
#include "event_loop/event_loop.hpp"
#include "http/message.hpp"
#include "pbs_server/pbs_server.hpp"

namespace mountflow::daemon {

inline constexpr std::size_t kMaxHttpConnections = 4096;
inline constexpr std::size_t kMaxHttpBodyBytes = 2 << 20;

// Accepts HTTP connections and exchanges their requests and replies. Not thread-safe: may be used by the
// event loop's thread only. All pointers must outlive this object.
class HttpConnections : public event_loop::ConnectionHandler {
 public:
  HttpConnections(event_loop::EventLoop* loop, HttpApi* http_api, const DurableState* durable_state,
                  HeldReplies* held_replies)
      : loop_(loop), http_api_(http_api), durable_state_(durable_state), held_replies_(held_replies) {}

  // Sends a held reply after its turn has become durable.
  void SendHeld(const HttpReply& reply);

  void OnAccepted(event_loop::ListenerId listener, event_loop::ConnId connection,
                  const event_loop::PeerInfo& info) override;
  void OnReceived(event_loop::ConnId connection, std::string_view bytes) override;
  void OnClosed(event_loop::ConnId connection, const std::string& reason) override;

 private:
  struct Connection {
    http::Reader reader;
    pbs_server::Peer peer;
  };
  // Answers all requests that have been read completely. Returns false if the connection is to be closed
  // after the last reply.
  bool AnswerRequests(event_loop::ConnId id, Connection* connection);
  void AnswerMalformed(event_loop::ConnId id, const http::Reader& reader);
  // Sends a reply or holds it. With `reports_stored_state`, the reply must not be sent before its turn is
  // durable.
  void SendOrHold(HttpReply reply, bool reports_stored_state);
  void Send(const HttpReply& reply);

  event_loop::EventLoop* loop_;
  HttpApi* http_api_;
  const DurableState* durable_state_;
  HeldReplies* held_replies_;
  std::map<event_loop::ConnId, Connection> connections_;
};

}  // namespace mountflow::daemon

#endif  // MOUNTFLOW_DAEMON_HTTP_CONNECTIONS_HPP_
