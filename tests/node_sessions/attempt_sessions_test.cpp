// Tests attempts over connections to nodes: bounds, timeouts and malformed replies.
#include "tests/node_sessions/node_sessions_fixture.hpp"

namespace mountflow::testing {
namespace {

using AttemptSessions = NodeSessionsTest;

// ---- Attempts ----

TEST_F(AttemptSessions, SubmitsAndCommitsAnAttempt) {
  const job_manager::AttemptId attempt = SubmitAttempt();
  PerformActions();
  ASSERT_EQ(opened_.size(), 1u);
  const ConnId connection = opened_[0];
  EXPECT_EQ(addresses_[connection], "127.0.0.1:1");
  ASSERT_EQ(requests_[connection].size(), 3u);
  EXPECT_EQ(requests_[connection][0].type, RequestType::kQueueJob);
  EXPECT_EQ(requests_[connection][0].destination, "safe");
  EXPECT_EQ(requests_[connection][0].id, fixture_.job_manager.AttemptName(attempt));
  EXPECT_EQ(pbs_protocol::ValueOf(requests_[connection][0].attributes, "server"), "d0");
  EXPECT_EQ(requests_[connection][1].type, RequestType::kJobScript);
  EXPECT_EQ(requests_[connection][2].type, RequestType::kReadyToCommit);
  Reply(connection, {}, 2);
  EXPECT_TRUE(sessions_->messages().empty());
  Reply(connection);
  EXPECT_EQ(TakeMessage<job_manager::AttemptPrepared>().attempt, attempt);
  Deliver(job_manager::CommitAttempt{attempt, node_});
  PerformActions();
  ASSERT_EQ(requests_[connection].size(), 4u);
  EXPECT_EQ(requests_[connection][3].type, RequestType::kCommit);
  Reply(connection);
  EXPECT_EQ(TakeMessage<job_manager::AttemptCommitted>().attempt, attempt);
  EXPECT_EQ(sessions_->NextTimer(), kNever);
}

TEST_F(AttemptSessions, SendsALongScriptInPieces) {
  job_manager::JobSpec spec;
  spec.user = "thandi";
  spec.task_class = 1;
  spec.queue = "safe";
  spec.service = "stock";
  spec.script = std::string((64 << 10) + 1, 's');
  fixture_.Submit(spec);
  Deliver(fixture_.Last<job_manager::PrepareAttempt>().value());
  PerformActions();
  const auto& requests = requests_[opened_.at(0)];
  ASSERT_EQ(requests.size(), 4u);
  EXPECT_EQ(requests[1].sequence, 0u);
  EXPECT_EQ(requests[1].script.size(), 64u << 10);
  EXPECT_EQ(requests[2].sequence, 1u);
  EXPECT_EQ(requests[2].script, "s");
}

TEST_F(AttemptSessions, ReusesAConnectionForTheNextAttempt) {
  SubmitAttempt();
  PerformActions();
  Reply(opened_[0], Rejection("full"), kSubmissionReplies);
  EXPECT_EQ(TakeMessage<job_manager::AttemptRejected>().reason, "full");
  SubmitAttempt();
  PerformActions();
  EXPECT_EQ(opened_.size(), 1u);
  EXPECT_EQ(requests_[opened_[0]].size(), 6u);
}

TEST_F(AttemptSessions, ClosesConnectionsBeyondTheIdleBound) {
  NodeSessionOptions options;
  options.max_idle = 1;
  Restart(options);
  SubmitAttempt();
  SubmitAttempt();
  PerformActions();
  ASSERT_EQ(opened_.size(), 2u);
  for (const ConnId connection : opened_) Reply(connection, Rejection("full"), kSubmissionReplies);
  PerformActions();
  EXPECT_EQ(closed_, std::vector<ConnId>{opened_[1]});
  EXPECT_EQ(sessions_->connections(), 1u);
}

TEST_F(AttemptSessions, AttemptsBeyondTheConnectionsWaitAndThoseBeyondThatAreNotSent) {
  NodeSessionOptions options;
  options.max_connections = 2;
  options.max_waiting = 1;
  Restart(options);
  SubmitAttempt();
  SubmitAttempt();
  const job_manager::AttemptId waiting = SubmitAttempt();
  EXPECT_TRUE(sessions_->messages().empty());
  const job_manager::AttemptId rejected = SubmitAttempt();
  const auto disconnected = TakeMessage<job_manager::AttemptDisconnected>();
  EXPECT_EQ(disconnected.attempt, rejected);
  EXPECT_FALSE(disconnected.sent);
  PerformActions();
  EXPECT_EQ(opened_.size(), 2u);
  Reply(opened_[0], Rejection("full"), kSubmissionReplies);
  PerformActions();
  EXPECT_EQ(opened_.size(), 2u);  // the waiting attempt uses the released connection
  ASSERT_EQ(requests_[opened_[0]].size(), 6u);
  EXPECT_EQ(requests_[opened_[0]][3].id, fixture_.job_manager.AttemptName(waiting));
}

TEST_F(AttemptSessions, AbandonedAttemptLosesItsConnectionOrItsPlaceInTheQueue) {
  NodeSessionOptions options;
  options.max_connections = 1;
  options.max_waiting = 2;
  Restart(options);
  const job_manager::AttemptId first = SubmitAttempt();
  const job_manager::AttemptId second = SubmitAttempt();
  const job_manager::AttemptId third = SubmitAttempt();
  PerformActions();
  Deliver(job_manager::AbandonAttempt{second, node_});
  Deliver(job_manager::AbandonAttempt{first, node_});
  PerformActions();
  EXPECT_EQ(closed_, std::vector<ConnId>{opened_[0]});
  ASSERT_EQ(opened_.size(), 2u);
  EXPECT_EQ(requests_[opened_[1]][0].id, fixture_.job_manager.AttemptName(third));
  EXPECT_TRUE(sessions_->messages().empty());
  sessions_->Closed(fixture_.now, opened_[0]);  // a late event of a closed connection
  EXPECT_TRUE(sessions_->messages().empty());
}

TEST_F(AttemptSessions, DisconnectBeforeTheCommitReportsItAsNotSent) {
  const job_manager::AttemptId attempt = SubmitAttempt();
  const ConnId connection = MakeReady();
  sessions_->Closed(fixture_.now, connection);
  const auto disconnected = TakeMessage<job_manager::AttemptDisconnected>();
  EXPECT_EQ(disconnected.attempt, attempt);
  EXPECT_FALSE(disconnected.sent);
  Deliver(job_manager::CommitAttempt{attempt,
                                     node_});  // the job manager sent it before it handled the disconnect
  EXPECT_FALSE(TakeMessage<job_manager::AttemptDisconnected>().sent);
  EXPECT_EQ(sessions_->connections(), 0u);
}

TEST_F(AttemptSessions, DisconnectAfterTheCommitReportsItAsSent) {
  const job_manager::AttemptId attempt = SubmitAttempt();
  const ConnId connection = MakeReady();
  Deliver(job_manager::CommitAttempt{attempt, node_});
  sessions_->Closed(fixture_.now, connection);
  const auto disconnected = TakeMessage<job_manager::AttemptDisconnected>();
  EXPECT_EQ(disconnected.attempt, attempt);
  EXPECT_TRUE(disconnected.sent);
}

TEST_F(AttemptSessions, ConnectingHasATimeLimit) {
  accept_connections_ = false;
  const job_manager::AttemptId attempt = SubmitAttempt();
  PerformActions();
  const Micros due = fixture_.now + NodeSessionOptions{}.connect_timeout;
  EXPECT_EQ(sessions_->NextTimer(), due);
  sessions_->Tick(due - 1);
  EXPECT_TRUE(sessions_->messages().empty());
  sessions_->Tick(due);
  const auto disconnected = TakeMessage<job_manager::AttemptDisconnected>();
  EXPECT_EQ(disconnected.attempt, attempt);
  EXPECT_FALSE(disconnected.sent);
  PerformActions();
  EXPECT_EQ(closed_, opened_);
  EXPECT_EQ(sessions_->NextTimer(), kNever);
}

TEST_F(AttemptSessions, StoppedAttemptLosesItsConnectionAtTheTimeLimit) {
  const job_manager::AttemptId attempt = SubmitAttempt();
  const ConnId connection = MakeReady();
  Deliver(job_manager::CommitAttempt{attempt, node_});
  Deliver(job_manager::StopAttempt{attempt, node_});
  PerformActions();
  const Micros timeout = NodeSessionOptions{}.control_timeout;
  Reply(opened_.back());  // reply to the stop; the commit gets no reply
  EXPECT_TRUE(TakeMessage<job_manager::StopAnswered>().known);
  EXPECT_EQ(sessions_->NextTimer(), fixture_.now + 2 * timeout);
  sessions_->Tick(fixture_.now + 2 * timeout);
  EXPECT_TRUE(TakeMessage<job_manager::AttemptDisconnected>().sent);
  PerformActions();
  EXPECT_EQ(closed_, std::vector<ConnId>{connection});
}

TEST_F(AttemptSessions, AttemptOfAnUnknownNodeOrJobIsNotSent) {
  Deliver(job_manager::PrepareAttempt{{1, 1}, node_ + 1000});
  EXPECT_FALSE(TakeMessage<job_manager::AttemptDisconnected>().sent);
  Deliver(job_manager::PrepareAttempt{{999, 1}, node_});
  EXPECT_FALSE(TakeMessage<job_manager::AttemptDisconnected>().sent);
  EXPECT_TRUE(sessions_->actions().empty());
}

// ---- Malformed replies ----

TEST_F(AttemptSessions, MalformedReplyDisconnectsTheAttempt) {
  const job_manager::AttemptId attempt = SubmitAttempt();
  PerformActions();
  sessions_->Received(fixture_.now, opened_[0], "no reply");
  EXPECT_EQ(TakeMessage<job_manager::AttemptDisconnected>().attempt, attempt);
  PerformActions();
  EXPECT_EQ(closed_, opened_);
}

TEST_F(AttemptSessions, UnexpectedReplyDisconnectsTheAttempt) {
  SubmitAttempt();
  const ConnId connection = MakeReady();
  Reply(connection);  // before any commit
  EXPECT_FALSE(TakeMessage<job_manager::AttemptDisconnected>().sent);
  PerformActions();
  EXPECT_EQ(closed_, std::vector<ConnId>{connection});
}

TEST_F(AttemptSessions, ReplyOnAnIdleConnectionClosesItSilently) {
  SubmitAttempt();
  PerformActions();
  Reply(opened_[0], Rejection("full"), kSubmissionReplies);
  TakeMessages();
  Reply(opened_[0]);
  EXPECT_TRUE(sessions_->messages().empty());
  PerformActions();
  EXPECT_EQ(closed_, opened_);
  SubmitAttempt();
  PerformActions();
  EXPECT_EQ(opened_.size(), 2u);
}

TEST_F(AttemptSessions, ReadsAReplyInPieces) {
  const job_manager::AttemptId attempt = SubmitAttempt();
  PerformActions();
  std::string bytes;
  for (int i = 0; i < kSubmissionReplies; ++i) pbs_protocol::Encode(pbs_protocol::Reply{}, &bytes);
  for (const char byte : bytes) {
    EXPECT_TRUE(sessions_->messages().empty());
    sessions_->Received(fixture_.now, opened_[0], std::string_view(&byte, 1));
  }
  EXPECT_EQ(TakeMessage<job_manager::AttemptPrepared>().attempt, attempt);
}

}  // namespace
}  // namespace mountflow::testing
