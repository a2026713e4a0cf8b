// Nodes and clients of the platform's soak test. They extend the fakes of platform_fakes.hpp and also track
// the outcome of attempts and answers when connections end, nodes hang or the program restarts.
#ifndef MOUNTFLOW_TESTS_SUPPORT_PLATFORM_SOAK_PEERS_HPP_
#define MOUNTFLOW_TESTS_SUPPORT_PLATFORM_SOAK_PEERS_HPP_

#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "tests/support/platform_fakes.hpp"

namespace mountflow::testing {

// A node that chooses its answers at random and accepts most attempts.
class SoakNode : public FakeNode {
 public:
  SoakNode(event_loop::EventLoop* loop, std::string name, unsigned rack, MessageLog* log, std::uint64_t seed)
      : FakeNode(loop, std::move(name), rack, log), random_(seed) {
    reply = [this](const NodeMessage& launch) { return AnswerLaunch(launch.uid); };
  }

  // Sets whether the node hangs. A hanging node does not respond. When it stops hanging, it accepts the
  // attempts that are still pending.
  void SetHanging(bool hanging) {
    hanging_ = hanging;
    answers_health_checks = !hanging;
    if (hanging) return;
    for (const auto& [uid, conn] : std::exchange(unanswered_, {})) loop_->Send(conn, Accept(uid));
  }
  // Ends the node's process with its attempts and running tasks.
  void End() {
    for (const auto& [uid, conn] : std::exchange(unanswered_, {})) {
      Log(LoggedMessage::Kind::kAttemptEnded, uid, kMayHaveRun);
    }
    for (const RequestUid uid : std::exchange(running, {})) {
      Log(LoggedMessage::Kind::kTaskEnded, uid, kMayHaveRun);
    }
    Kill();
  }
  // Ends a running task. The end is reported on the open connection, and again on each connection that is
  // accepted within kRepeatEndsTime.
  void EndTaskWithRepeats(RequestUid uid) {
    EndTask(uid, kCompleted);
    reported_ends_.emplace_back(loop_->Now(), uid);
  }
  // Ends a task that no client knows, without a notification.
  void EndUnknownTask(RequestUid uid) {
    running.erase(uid);
    Log(LoggedMessage::Kind::kTaskEnded, uid, kCancelled);
  }
  // Ends the attempts on connections that the scheduler has closed, even if the node has not read the close
  // yet.
  void EndClosedAttempts() {
    std::vector<event_loop::ConnId> closed;
    for (const auto& [uid, conn] : unanswered_) {
      if (loop_->PeerClosed(conn)) closed.push_back(conn);
    }
    for (const event_loop::ConnId conn : closed) EndAttemptsOf(conn);
  }

  void OnAccepted(event_loop::ListenerId listener, event_loop::ConnId conn,
                  const event_loop::PeerInfo& peer) override {
    FakeNode::OnAccepted(listener, conn, peer);
    std::erase_if(reported_ends_, [this](const auto& reported_end) {
      return reported_end.first + kRepeatEndsTime < loop_->Now();
    });
    for (const auto& [at, uid] : reported_ends_) loop_->Send(conn, EncodeTaskEnd(uid));
  }
  void OnReceived(event_loop::ConnId conn, std::string_view bytes) override {
    reading_ = conn;
    FakeNode::OnReceived(conn, bytes);
  }
  void OnClosed(event_loop::ConnId conn, const std::string& reason) override {
    EndAttemptsOf(conn);
    FakeNode::OnClosed(conn, reason);
  }

 protected:
  void HandleStop(event_loop::ConnId conn, RequestUid uid) override {
    unanswered_.erase(uid);
    FakeNode::HandleStop(conn, uid);
  }

 private:
  static constexpr int kCompleted = 16, kCancelled = 31, kMayHaveRun = 41;
  static constexpr Micros kRepeatEndsTime = 5'000'000;

  static std::string EncodeTaskEnd(RequestUid uid) {
    NodeMessage stop;
    stop.kind = NodeMessageKind::kStop;
    stop.uid = uid;
    stop.cause = kCompleted;
    return EncodeNodeMessage(stop);
  }
  std::string AnswerLaunch(RequestUid uid) {
    const std::uint64_t drawn = random_() % 100;
    if (hanging_ || drawn < 2) {
      unanswered_[uid] = reading_;
      return "";
    }
    if (drawn == 2) {
      EndAttemptsOf(reading_);
      return "reset";
    }
    if (drawn == 3) return Reject(uid, 102);
    if (drawn < 8) return Reject(uid, 34, "no_cores");
    return Accept(uid);
  }
  void EndAttemptsOf(event_loop::ConnId conn) {
    std::erase_if(unanswered_, [this, conn](const auto& attempt) {
      if (attempt.second != conn) return false;
      Log(LoggedMessage::Kind::kAttemptEnded, attempt.first, kMayHaveRun);
      return true;
    });
  }

  std::mt19937_64 random_;
  bool hanging_ = false;
  event_loop::ConnId reading_ = 0;
  std::map<RequestUid, event_loop::ConnId> unanswered_;
  std::vector<std::pair<Micros, RequestUid>> reported_ends_;
};

// Final answers received on any connection. All connections of the soak test belong to one client.
using AnswerHistory = std::vector<std::pair<RequestUid, ClientMessage>>;

// One connection of the client of the soak test.
class SoakClient : public FakeClient {
 public:
  SoakClient(event_loop::EventLoop* loop, const std::string& to, MessageLog* log, AnswerHistory* history)
      : FakeClient(loop, to, log), created_at(loop->Now()), history_(history) {}

  // Sends the bytes of a request or a part of them. The caller logs the request when it sends the last byte.
  void SendLaunch(RequestUid uid, const std::string& bytes) {
    launched.insert(uid);
    SendRaw(bytes);
  }
  // Cancels a request. It may still be answered if the program sent the answer before it read the
  // cancellation.
  void Cancel(RequestUid uid) {
    log_->push_back({loop_->Now(), LoggedMessage::Kind::kClientLeft, uid});
    ClientMessage message;
    message.kind = ClientMessageKind::kStop;
    message.uid = uid;
    message.cause = 16;
    SendRaw(EncodeClientMessage(message));
  }

  void OnConnected(event_loop::ConnId) override { connected = true; }
  void OnClosed(event_loop::ConnId conn, const std::string& reason) override {
    FakeClient::OnClosed(conn, reason);
    closed_at = loop_->Now();
  }
  void OnReceived(event_loop::ConnId conn, std::string_view bytes) override {
    for (; known_ < history_->size(); ++known_) final_answers.insert((*history_)[known_]);
    const std::size_t answered_before = final_answers.size();
    FakeClient::OnReceived(conn, bytes);
    if (final_answers.size() != answered_before) ShareAnswers();
    LogSecondAnswers();
  }

  Micros created_at = 0;
  Micros closed_at = 0;
  bool connected = false;
  RequestUid part = 0;  // uid of a request that was sent only in part; 0 if there is none

 private:
  void ShareAnswers() {
    for (const RequestUid uid : launched) {
      const auto answer = final_answers.find(uid);
      if (answer != final_answers.end() && shared_.insert(uid).second) history_->push_back(*answer);
    }
  }
  // Logs second answers as answers, because the base class records them as notifications. The checker reports
  // them as violations.
  void LogSecondAnswers() {
    for (auto& [uid, messages] : notifications) {
      std::erase_if(messages, [this, uid = uid](const ClientMessage& message) {
        if (message.kind != ClientMessageKind::kAnswer) return false;
        log_->push_back({loop_->Now(), LoggedMessage::Kind::kAnswered, uid});
        return true;
      });
    }
  }

  AnswerHistory* history_;
  std::size_t known_ = 0;
  std::set<RequestUid> shared_;
};

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_SUPPORT_PLATFORM_SOAK_PEERS_HPP_
