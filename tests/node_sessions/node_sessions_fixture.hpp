// The fixture of the node session tests. It uses a real job manager, and the test plays the nodes.
#ifndef MOUNTFLOW_TESTS_NODE_SESSIONS_NODE_SESSIONS_FIXTURE_HPP_
#define MOUNTFLOW_TESTS_NODE_SESSIONS_NODE_SESSIONS_FIXTURE_HPP_

#include <gtest/gtest.h>

#include <limits>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "node_sessions/node_sessions.hpp"
#include "tests/support/job_manager_fixture.hpp"

namespace mountflow::testing {

using node_sessions::ConnId;
using node_sessions::NodeSessionOptions;
using node_sessions::NodeSessions;
using pbs_protocol::RequestType;

inline constexpr Micros kNever = std::numeric_limits<Micros>::max();

// Runs NodeSessions with one node, "a", which is listed and reconciled.
class NodeSessionsTest : public ::testing::Test {
 protected:
  void SetUp() override {
    Restart({});
    fixture_.List({JobManagerFixture::Node("a")});
    node_ = fixture_.All<job_manager::ReconcileNode>().at(0).node;
    fixture_.ReconcileAll();
    fixture_.Clear();
  }
  void Restart(NodeSessionOptions options) {
    pbs_server::Vocabulary vocabulary;
    vocabulary.queues = {"keyed", "safe", "unsafe"};
    sessions_ = std::make_unique<NodeSessions>(&fixture_.job_manager, vocabulary, std::move(options));
  }

  // ---- The job manager's side ----

  // Submits a job, delivers its first attempt to the sessions and returns the id of the attempt.
  job_manager::AttemptId SubmitAttempt() {
    fixture_.Clear();
    fixture_.Submit(1);
    const job_manager::PrepareAttempt prepare = fixture_.Last<job_manager::PrepareAttempt>().value();
    Deliver(prepare);
    return prepare.attempt;
  }
  template <typename Message>
  void Deliver(const Message& message) {
    sessions_->Deliver(fixture_.now, message);
  }
  std::vector<job_manager::NodeMessage> TakeMessages() { return std::exchange(sessions_->messages(), {}); }
  // Takes the only message, which must be of this type.
  template <typename Message>
  Message TakeMessage() {
    const auto messages = TakeMessages();
    EXPECT_EQ(messages.size(), 1u);
    if (messages.size() != 1 || !std::holds_alternative<Message>(messages[0])) {
      ADD_FAILURE() << "another message";
      return {};
    }
    return std::get<Message>(messages[0]);
  }

  // ---- The node's side ----

  // Carries out the actions: connections are established immediately if accept_connections_ is set, and sent
  // bytes are decoded into requests_.
  void PerformActions() {
    for (const auto& action : std::exchange(sessions_->actions(), {})) {
      if (const auto* open = std::get_if<node_sessions::OpenConn>(&action)) {
        opened_.push_back(open->conn);
        addresses_[open->conn] = open->address;
        if (accept_connections_) sessions_->Connected(fixture_.now, open->conn);
      } else if (const auto* send = std::get_if<node_sessions::SendBytes>(&action)) {
        Decode(send->conn, send->bytes);
      } else if (const auto* close = std::get_if<node_sessions::CloseConn>(&action)) {
        closed_.push_back(close->conn);
      }
    }
    if (!sessions_->actions().empty()) PerformActions();
  }
  void Decode(ConnId connection, std::string_view bytes) {
    while (!bytes.empty()) {
      pbs_protocol::Request request;
      const pbs_protocol::DecodeResult parsed = pbs_protocol::Decode(bytes, &request);
      ASSERT_EQ(parsed.state, pbs_protocol::DisState::kOk);
      bytes.remove_prefix(parsed.used);
      requests_[connection].push_back(std::move(request));
    }
  }
  void Reply(ConnId connection, const pbs_protocol::Reply& reply = {}, int times = 1) {
    std::string bytes;
    for (int i = 0; i < times; ++i) pbs_protocol::Encode(reply, &bytes);
    sessions_->Received(fixture_.now, connection, bytes);
  }
  static pbs_protocol::Reply Rejection(const std::string& text) {
    pbs_protocol::Reply reply;
    reply.code = pbs_protocol::Code::kNoRoom;
    reply.choice = pbs_protocol::Choice::kText;
    reply.text = text;
    return reply;
  }
  // Replies to the submission of the last attempt, so that its node is ready for the commit. Returns the
  // connection.
  ConnId MakeReady() {
    PerformActions();
    const ConnId connection = opened_.back();
    Reply(connection, {}, kSubmissionReplies);
    EXPECT_TRUE(std::holds_alternative<job_manager::AttemptPrepared>(TakeMessages().at(0)));
    return connection;
  }

  static constexpr int kSubmissionReplies = 3;  // to QueueJob, JobScript and ReadyToCommit

  JobManagerFixture fixture_;
  std::unique_ptr<NodeSessions> sessions_;
  NodeId node_ = 0;
  bool accept_connections_ = true;
  std::vector<ConnId> opened_;
  std::vector<ConnId> closed_;
  std::map<ConnId, std::string> addresses_;
  std::map<ConnId, std::vector<pbs_protocol::Request>> requests_;
};

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_NODE_SESSIONS_NODE_SESSIONS_FIXTURE_HPP_
