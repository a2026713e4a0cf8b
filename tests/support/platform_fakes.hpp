// Fakes of the peers of the platform program on loopback sockets: nodes, the change log of the node list, and
// clients. They implement the documented protocols and log the messages on their sockets.
#ifndef MOUNTFLOW_TESTS_SUPPORT_PLATFORM_FAKES_HPP_
#define MOUNTFLOW_TESTS_SUPPORT_PLATFORM_FAKES_HPP_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "event_loop/event_loop.hpp"
#include "http/message.hpp"
#include "platform/client_codec.hpp"
#include "platform/node_codec.hpp"
#include "tests/support/platform_invariants.hpp"

namespace mountflow::testing {

// A fake node. It listens and answers each attempt with the result of `reply`, or accepts it if `reply` is
// empty.
class FakeNode : public event_loop::ConnectionHandler {
 public:
  FakeNode(event_loop::EventLoop* loop, std::string name, unsigned rack, MessageLog* log)
      : name(std::move(name)), rack(rack), loop_(loop), log_(log) {
    listener_ = loop_->Listen("127.0.0.1:0", this).value_or(0);
    address = "127.0.0.1:" + std::to_string(loop_->PortOf(listener_));
  }

  // Simulates the end of the node's process: connections are reset, and new ones are refused.
  void Kill() {
    if (listener_ != 0) loop_->CloseListener(std::exchange(listener_, 0));
    for (const auto& [conn, reader] : connections) loop_->Abort(conn);
    connections.clear();
  }
  // Sends bytes on the newest connection.
  void Send(const std::string& bytes) {
    if (!connections.empty()) loop_->Send(connections.rbegin()->first, bytes);
  }
  void EndTask(RequestUid uid, int cause) {
    running.erase(uid);
    Log(LoggedMessage::Kind::kTaskEnded, uid, cause);
    NodeMessage stop;
    stop.kind = NodeMessageKind::kStop;
    stop.uid = uid;
    stop.cause = static_cast<std::uint8_t>(cause);
    Send(EncodeNodeMessage(stop));
  }
  // Returns the encoded answer that the task of an attempt runs.
  std::string Accept(RequestUid uid) {
    running.insert(uid);
    Log(LoggedMessage::Kind::kAttemptEnded, uid, 0);
    NodeMessage answer;
    answer.kind = NodeMessageKind::kAnswer;
    answer.uid = uid;
    answer.params[kDescription] = "accepted by " + name;
    return EncodeNodeMessage(answer);
  }
  // Returns the encoded answer that an attempt ended.
  std::string Reject(RequestUid uid, int cause, const std::string& reason = "") {
    Log(LoggedMessage::Kind::kAttemptEnded, uid, cause);
    NodeMessage stop;
    stop.kind = NodeMessageKind::kStop;
    stop.uid = uid;
    stop.cause = static_cast<std::uint8_t>(cause);
    if (!reason.empty()) stop.params[kStatusText] = reason;
    return EncodeNodeMessage(stop);
  }

  void OnAccepted(event_loop::ListenerId, event_loop::ConnId conn, const event_loop::PeerInfo&) override {
    ++accepted;
    connections[conn];
    if (connections_to_reset > 0) {
      --connections_to_reset;
      connections.erase(conn);
      loop_->Abort(conn);
    }
  }
  void OnReceived(event_loop::ConnId conn, std::string_view bytes) override {
    if (silent) return;
    NodeMessageReader& reader = connections[conn];
    reader.Feed(bytes);
    NodeMessage message;
    while (connections.count(conn) > 0 && reader.Next(&message) == NodeMessageReader::State::kMessage) {
      HandleMessage(conn, message);
    }
  }
  void OnClosed(event_loop::ConnId conn, const std::string&) override { connections.erase(conn); }

  std::string name;
  std::string address;
  unsigned rack;
  // Returns the bytes that answer an attempt, or "reset" to reset the connection.
  std::function<std::string(const NodeMessage&)> reply;
  bool silent = false;
  bool answers_health_checks = true;
  int connections_to_reset = 0;
  int accepted = 0;
  std::map<event_loop::ConnId, NodeMessageReader> connections;
  std::vector<NodeMessage> launches;
  std::vector<RequestUid> stops;
  std::set<RequestUid> running;

 protected:
  // Handles the cancellation of an attempt or the termination of a running task.
  virtual void HandleStop(event_loop::ConnId conn, RequestUid uid) {
    stops.push_back(uid);
    if (running.erase(uid) > 0) {
      Log(LoggedMessage::Kind::kTaskEnded, uid, 31);
      loop_->Send(conn, Reject(uid, 31));
    } else {
      Log(LoggedMessage::Kind::kAttemptEnded, uid, 41);  // cancelled: it may have run
    }
  }
  void Log(LoggedMessage::Kind kind, RequestUid uid, int cause) {
    LoggedMessage message{loop_->Now(), kind, uid, name};
    message.cause = cause;
    log_->push_back(message);
  }

  event_loop::EventLoop* loop_;

 private:
  void HandleMessage(event_loop::ConnId conn, NodeMessage message) {
    if (message.kind == NodeMessageKind::kHealthCheck) {
      if (!answers_health_checks) return;
      message.kind = NodeMessageKind::kHealthCheckReply;
      message.cause = 1;
      loop_->Send(conn, EncodeNodeMessage(message));
    } else if (message.kind == NodeMessageKind::kLaunch) {
      HandleLaunch(conn, message);
    } else if (message.kind == NodeMessageKind::kStop) {
      HandleStop(conn, message.uid);
    }
  }
  void HandleLaunch(event_loop::ConnId conn, const NodeMessage& message) {
    LoggedMessage attempt{loop_->Now(), LoggedMessage::Kind::kAttempt, message.uid, name};
    attempt.task_class = message.Text(kClass);
    log_->push_back(attempt);
    launches.push_back(message);
    const std::string answer = reply ? reply(message) : Accept(message.uid);
    if (answer == "reset") {
      Log(LoggedMessage::Kind::kAttemptEnded, message.uid, 41);
      connections.erase(conn);
      loop_->Abort(conn);
      return;
    }
    loop_->Send(conn, answer);
  }
  MessageLog* log_;
  event_loop::ListenerId listener_ = 0;
};

// A fake change log of the node list: numbered events, served by long polling.
class FakeChangeLog : public event_loop::ConnectionHandler {
 public:
  explicit FakeChangeLog(event_loop::EventLoop* loop) : loop_(loop) {
    listener_ = loop_->Listen("127.0.0.1:0", this).value_or(0);
    address = "127.0.0.1:" + std::to_string(loop_->PortOf(listener_));
  }

  void AddEvent(const std::string& entries, bool snapshot = false) {
    events.push_back(R"({"seq":)" + std::to_string(first_number + events.size()) +
                     R"(,"fleet":{"index":1,"snapshot":)" + (snapshot ? "true" : "false") +
                     R"(,"endpoints":[)" + entries + "]}}");
    const auto waiting = std::exchange(waiting_, {});
    for (const auto& [conn, since] : waiting) Answer(conn, since);
  }
  // Returns all events as JSON, in the form used in a configuration.
  std::string AllEvents() const { return ReplyBody(0); }
  // Starts or stops listening. Stopping also closes the open connections.
  void SetListening(bool listening) {
    if (listening) {
      listener_ = loop_->Listen(address, this).value_or(0);
    } else {
      loop_->CloseListener(listener_);
      const auto readers = std::exchange(readers_, {});
      for (const auto& [conn, reader] : readers) loop_->Abort(conn);
      waiting_.clear();
    }
  }

  void OnAccepted(event_loop::ListenerId, event_loop::ConnId conn, const event_loop::PeerInfo&) override {
    readers_.emplace(conn, std::make_unique<http::Reader>(http::Reader::Side::kRequests, 1 << 10));
  }
  void OnReceived(event_loop::ConnId conn, std::string_view bytes) override {
    http::Reader& reader = *readers_.at(conn);
    reader.Feed(bytes);
    while (!reader.messages().empty()) {
      if (silent) {
        reader.messages().clear();
        return;
      }
      const std::uint64_t since = std::stoull(reader.messages().front().Query("since", "0"));
      reader.messages().pop_front();
      requested_since.push_back(since);
      if (since + 1 < first_number + events.size()) {
        Answer(conn, since);
      } else {
        waiting_[conn] = since;
        loop_->AddTimer(loop_->Now() + 1'000'000, [this, conn, since] {
          if (waiting_.erase(conn) > 0) Answer(conn, since);
        });
      }
    }
  }
  void OnClosed(event_loop::ConnId conn, const std::string&) override {
    waiting_.erase(conn);
    readers_.erase(conn);
  }

  std::string address;
  std::uint64_t first_number = 1;
  std::vector<std::string> events;
  std::vector<std::uint64_t> requested_since;
  int replies_to_cut = 0;  // number of replies that are cut short, with the connection closed
  bool silent = false;     // if set, requests are read but never answered

 private:
  std::string ReplyBody(std::uint64_t since) const {
    std::string results;
    for (std::size_t i = since + 1 > first_number ? since + 1 - first_number : 0; i < events.size(); ++i) {
      results += (results.empty() ? "" : ",") + events[i];
    }
    return R"({"seq":)" + std::to_string(first_number + events.size() - 1) + R"(,"results":[)" + results +
           "]}";
  }
  void Answer(event_loop::ConnId conn, std::uint64_t since) {
    const std::string bytes = http::WriteReply(200, {}, ReplyBody(since), true);
    if (replies_to_cut > 0) {
      --replies_to_cut;
      loop_->Send(conn, bytes.substr(0, bytes.size() - 9));
      loop_->Close(conn, true);
      OnClosed(conn, "");
      return;
    }
    loop_->Send(conn, bytes);
  }

  event_loop::EventLoop* loop_;
  event_loop::ListenerId listener_ = 0;
  std::map<event_loop::ConnId, std::unique_ptr<http::Reader>> readers_;
  std::map<event_loop::ConnId, std::uint64_t> waiting_;
};

// A fake client with one connection. It stores the messages that it received.
class FakeClient : public event_loop::ConnectionHandler {
 public:
  FakeClient(event_loop::EventLoop* loop, const std::string& to, MessageLog* log) : loop_(loop), log_(log) {
    conn = loop_->Connect(to, this);
  }
  ~FakeClient() override { loop_->Close(conn); }

  // Sends a launch message. `time_left` is in milliseconds. With `more` extras the request is not logged.
  void Launch(RequestUid uid, const std::string& task_class, int time_left,
              const std::string& service = "00000000b4d65521", const std::string& more = "") {
    launched.insert(uid);
    if (more.empty()) LogRequest(uid, task_class, time_left, service);
    loop_->Send(conn, EncodeLaunch(uid, task_class, time_left, service, more));
  }
  static std::string EncodeLaunch(RequestUid uid, const std::string& task_class, int time_left,
                                  const std::string& service, const std::string& more = "") {
    ClientMessage message;
    message.uid = uid;
    message.fields = {{"class", task_class},
                      {"left", std::to_string(time_left)},
                      {"tenant", "acme"},
                      {"key", WriteHex(uid ^ 0xff)},
                      {"idem", WriteHex(uid) + WriteHex(uid)},
                      {"extras", "cores:1;memory:2;service:" + service + more}};
    message.description = "requested by " + WriteHex(uid);
    return EncodeClientMessage(message);
  }
  void LogRequest(RequestUid uid, const std::string& task_class, int time_left, const std::string& service) {
    LoggedMessage request{loop_->Now(), LoggedMessage::Kind::kRequested, uid};
    request.time_left = static_cast<Micros>(time_left) * 1000;
    request.service = service;
    request.task_class = task_class;
    log_->push_back(request);
  }
  void Stop(RequestUid uid) {
    if (final_answers.count(uid) == 0) {
      log_->push_back({loop_->Now(), LoggedMessage::Kind::kCancelled, uid});
    }
    ClientMessage message;
    message.kind = ClientMessageKind::kStop;
    message.uid = uid;
    message.cause = 16;
    loop_->Send(conn, EncodeClientMessage(message));
  }
  void CheckHealth() {
    ClientMessage message;
    message.kind = ClientMessageKind::kHealthCheck;
    message.uid = 1;
    message.cause = 0;
    loop_->Send(conn, EncodeClientMessage(message));
  }
  void SendRaw(const std::string& bytes) { loop_->Send(conn, bytes); }
  // Closes the connection after the sent bytes are written, and logs that the client has left each of its
  // unanswered requests.
  void Leave() {
    for (const LoggedMessage& message : MessageLog(*log_)) {
      const bool own_request =
          message.kind == LoggedMessage::Kind::kRequested && launched.count(message.uid) > 0;
      if (own_request && final_answers.count(message.uid) == 0) {
        log_->push_back({loop_->Now(), LoggedMessage::Kind::kClientLeft, message.uid});
      }
    }
    loop_->Close(conn, true);
  }

  void OnReceived(event_loop::ConnId, std::string_view bytes) override {
    reader_.Feed(bytes);
    ClientMessage message;
    while (reader_.Next(&message) == ClientMessageReader::State::kMessage) {
      if (message.kind == ClientMessageKind::kHealthCheckReply) {
        health_replies.push_back(message.cause.value_or(-1));
      } else if (final_answers.count(message.uid) == 0) {
        final_answers[message.uid] = message;
        LoggedMessage answer{loop_->Now(), LoggedMessage::Kind::kAnswered, message.uid};
        answer.cause = message.kind == ClientMessageKind::kAnswer ? 0 : message.cause.value_or(-1);
        log_->push_back(answer);
      } else {
        notifications[message.uid].push_back(message);
        if (message.kind == ClientMessageKind::kStop) {
          log_->push_back({loop_->Now(), LoggedMessage::Kind::kNotified, message.uid});
        }
      }
    }
  }
  void OnClosed(event_loop::ConnId, const std::string&) override { closed = true; }

  event_loop::ConnId conn = 0;
  bool closed = false;
  std::set<RequestUid> launched;
  std::map<RequestUid, ClientMessage> final_answers;
  std::map<RequestUid, std::vector<ClientMessage>> notifications;
  std::vector<int> health_replies;

 protected:
  event_loop::EventLoop* loop_;
  MessageLog* log_;

 private:
  ClientMessageReader reader_;
};

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_SUPPORT_PLATFORM_FAKES_HPP_
