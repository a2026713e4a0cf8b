// Tests control requests over the control connection of a node, and nodes that change their address or are
// removed.
#include "tests/node_sessions/node_sessions_fixture.hpp"

namespace mountflow::testing {
namespace {

using ControlSessions = NodeSessionsTest;

// ---- Control requests ----

TEST_F(ControlSessions, ControlRequestsShareOneConnectionAndAreAnsweredInOrder) {
  const job_manager::AttemptId attempt{5, 1};
  Deliver(job_manager::StopAttempt{attempt, node_});
  Deliver(job_manager::SignalAttempt{attempt, node_, "TERM"});
  Deliver(job_manager::QueryAttempt{attempt, node_});
  Deliver(job_manager::FindKey{node_, 5, "thandi", "k"});
  Deliver(job_manager::CheckNodeHealth{node_});
  PerformActions();
  ASSERT_EQ(opened_.size(), 1u);
  const auto& requests = requests_[opened_[0]];
  ASSERT_EQ(requests.size(), 5u);
  EXPECT_EQ(requests[0].type, RequestType::kDeleteJob);
  EXPECT_EQ(requests[1].type, RequestType::kSignalJob);
  EXPECT_EQ(requests[1].signal, "TERM");
  EXPECT_EQ(requests[2].type, RequestType::kStatusJob);
  EXPECT_EQ(requests[2].id, fixture_.job_manager.AttemptName(attempt));
  EXPECT_EQ(requests[3].type, RequestType::kSelectJobs);
  EXPECT_EQ(pbs_protocol::ValueOf(requests[3].attributes, "key"), "thandi\nk");
  EXPECT_EQ(requests[4].type, RequestType::kStatusServer);
  Reply(opened_[0], {}, 3);
  pbs_protocol::Reply selected;
  selected.choice = pbs_protocol::Choice::kSelected;
  selected.ids = {"5.d1/3"};
  Reply(opened_[0], selected);
  fixture_.now += 7;
  Reply(opened_[0]);
  const auto messages = TakeMessages();
  ASSERT_EQ(messages.size(), 4u);  // a signal produces no message
  EXPECT_TRUE(std::get<job_manager::StopAnswered>(messages[0]).known);
  EXPECT_TRUE(std::get<job_manager::QueryAnswered>(messages[1]).found);
  const auto& key_found = std::get<job_manager::FindKeyAnswered>(messages[2]);
  EXPECT_TRUE(key_found.reached);
  EXPECT_TRUE(key_found.found);
  EXPECT_EQ(key_found.server, "d1");
  EXPECT_EQ(key_found.attempt, (job_manager::AttemptId{5, 3}));
  const auto& health_check = std::get<job_manager::NodeHealthChecked>(messages[3]);
  EXPECT_TRUE(health_check.answered);
  EXPECT_EQ(health_check.elapsed, 7u);
  EXPECT_EQ(sessions_->NextTimer(), kNever);
}

TEST_F(ControlSessions, ControlRequestsBeyondTheBoundFail) {
  NodeSessionOptions options;
  options.max_controls = 2;
  Restart(options);
  const job_manager::AttemptId attempt{5, 1};
  Deliver(job_manager::CheckNodeHealth{node_});
  Deliver(job_manager::CheckNodeHealth{node_});
  EXPECT_TRUE(sessions_->messages().empty());
  Deliver(job_manager::StopAttempt{attempt, node_});
  EXPECT_EQ(TakeMessage<job_manager::StopFailed>().attempt, attempt);
  Deliver(job_manager::QueryAttempt{attempt, node_});
  EXPECT_EQ(TakeMessage<job_manager::QueryFailed>().attempt, attempt);
  Deliver(job_manager::FindKey{node_, 5, "thandi", "k"});
  EXPECT_FALSE(TakeMessage<job_manager::FindKeyAnswered>().reached);
  Deliver(job_manager::ReconcileNode{node_});
  EXPECT_EQ(TakeMessage<job_manager::ReconcileFailed>().node, node_);
  Deliver(job_manager::CheckNodeHealth{node_});
  EXPECT_FALSE(TakeMessage<job_manager::NodeHealthChecked>().answered);
  Deliver(job_manager::SignalAttempt{attempt, node_, "TERM"});
  EXPECT_TRUE(sessions_->messages().empty());
  PerformActions();
  Reply(opened_[0]);
  TakeMessages();
  Deliver(job_manager::StopAttempt{attempt, node_});  // below the bound again
  EXPECT_TRUE(sessions_->messages().empty());
}

TEST_F(ControlSessions, SilentControlConnectionIsClosedAndAllItsRequestsFail) {
  const job_manager::AttemptId attempt{5, 1};
  Deliver(job_manager::StopAttempt{attempt, node_});
  Deliver(job_manager::QueryAttempt{attempt, node_});
  PerformActions();
  const Micros timeout = NodeSessionOptions{}.control_timeout;
  EXPECT_EQ(sessions_->NextTimer(), fixture_.now + timeout);
  fixture_.now += timeout / 2;
  Reply(opened_[0]);  // each reply restarts the timeout
  TakeMessages();
  EXPECT_EQ(sessions_->NextTimer(), fixture_.now + timeout);
  sessions_->Tick(fixture_.now + timeout);
  const auto messages = TakeMessages();
  ASSERT_EQ(messages.size(), 2u);
  EXPECT_EQ(std::get<job_manager::QueryFailed>(messages[0]).attempt, attempt);
  EXPECT_EQ(std::get<job_manager::ReconcileFailed>(messages[1]).node, node_);  // the node may have failed
  PerformActions();
  EXPECT_EQ(closed_, opened_);
}

TEST_F(ControlSessions, FailedReconciliationIsReportedOnce) {
  Deliver(job_manager::ReconcileNode{node_});
  PerformActions();
  sessions_->Closed(fixture_.now, opened_[0]);
  EXPECT_EQ(TakeMessage<job_manager::ReconcileFailed>().node, node_);
}

TEST_F(ControlSessions, MalformedControlReplyFailsAllRequests) {
  Deliver(job_manager::CheckNodeHealth{node_});
  PerformActions();
  sessions_->Received(fixture_.now, opened_[0], "no reply");
  const auto messages = TakeMessages();
  ASSERT_EQ(messages.size(), 2u);
  EXPECT_FALSE(std::get<job_manager::NodeHealthChecked>(messages[0]).answered);
  EXPECT_EQ(std::get<job_manager::ReconcileFailed>(messages[1]).node, node_);
  PerformActions();
  EXPECT_EQ(closed_, opened_);
}

TEST_F(ControlSessions, ReconciliationListsOurAttemptsAndTheStartOfTheNode) {
  Deliver(job_manager::ReconcileNode{node_});
  PerformActions();
  pbs_protocol::Reply reply;
  reply.choice = pbs_protocol::Choice::kStatus;
  reply.objects.resize(4);
  reply.objects[0].type = pbs_protocol::ObjectType::kServer;
  reply.objects[0].name = "a";
  reply.objects[0].attributes = {{"started", "", "1234", pbs_protocol::Op::kSet}};
  reply.objects[1].name = "5.d0/2";
  reply.objects[1].attributes = {{"job_state", "", "E", pbs_protocol::Op::kSet},
                                 {"Job_Owner", "", "thandi", pbs_protocol::Op::kSet},
                                 {"queue", "", "safe", pbs_protocol::Op::kSet}};
  reply.objects[2].name = "6.d1/1";  // attempt of another daemon
  reply.objects[3].name = "7.d0/1";
  reply.objects[3].attributes = {{"queue", "", "none of ours", pbs_protocol::Op::kSet}};
  Reply(opened_[0], reply);
  const auto reconciled = TakeMessage<job_manager::NodeReconciled>();
  EXPECT_EQ(reconciled.node, node_);
  EXPECT_EQ(reconciled.started, 1234u);
  ASSERT_EQ(reconciled.held.size(), 2u);
  EXPECT_EQ(reconciled.held[0].attempt, (job_manager::AttemptId{5, 2}));
  EXPECT_TRUE(reconciled.held[0].ended);
  EXPECT_EQ(reconciled.held[0].spec.user, "thandi");
  EXPECT_EQ(reconciled.held[0].spec.task_class, 1u);
  EXPECT_EQ(reconciled.held[1].attempt, (job_manager::AttemptId{7, 1}));
  EXPECT_EQ(reconciled.held[1].spec.task_class, ~0u);  // the job manager does not recover it
}

// Guards against a second start of a task that runs: an error reply says nothing about what the node holds,
// and was read as an empty list, an unknown attempt and the end of a stopped one.
TEST_F(ControlSessions, AnErrorReplyIsNoProofOfAbsence) {
  const job_manager::AttemptId attempt{5, 1};
  for (const auto code :
       {pbs_protocol::Code::kUnknownJob, pbs_protocol::Code::kSystem, pbs_protocol::Code::kUnknownRequest}) {
    const bool is_absence = code == pbs_protocol::Code::kUnknownJob;
    Deliver(job_manager::StopAttempt{attempt, node_});
    Deliver(job_manager::QueryAttempt{attempt, node_});
    Deliver(job_manager::FindKey{node_, 5, "thandi", "k"});
    Deliver(job_manager::ReconcileNode{node_});
    PerformActions();
    pbs_protocol::Reply error;
    error.code = code;
    Reply(opened_[0], error, 4);
    const auto messages = TakeMessages();
    ASSERT_EQ(messages.size(), 4u);
    EXPECT_EQ(std::holds_alternative<job_manager::StopAnswered>(messages[0]), is_absence);
    EXPECT_EQ(std::holds_alternative<job_manager::StopFailed>(messages[0]), !is_absence);
    EXPECT_EQ(std::holds_alternative<job_manager::QueryAnswered>(messages[1]), is_absence);
    EXPECT_EQ(std::holds_alternative<job_manager::QueryFailed>(messages[1]), !is_absence);
    EXPECT_FALSE(std::get<job_manager::FindKeyAnswered>(messages[2]).reached);
    EXPECT_TRUE(std::holds_alternative<job_manager::ReconcileFailed>(messages[3]));
  }
}

// A node that does not have an attempt says which process answers, because only the one that got it can know.
TEST_F(ControlSessions, QueriesAndStopsRequestAndReadTheStartOfTheNodesProcess) {
  const job_manager::AttemptId attempt{5, 1};
  for (const bool is_stated : {true, false}) {
    Deliver(job_manager::StopAttempt{attempt, node_});
    Deliver(job_manager::QueryAttempt{attempt, node_});
    PerformActions();
    for (const auto& request : requests_[opened_[0]]) {
      EXPECT_EQ(request.attributes,
                (pbs_protocol::Attributes{{"process_started", "", "", pbs_protocol::Op::kSet}}));
    }
    pbs_protocol::Reply unknown;
    unknown.code = pbs_protocol::Code::kUnknownJob;
    if (is_stated) {
      unknown.choice = pbs_protocol::Choice::kStatus;
      unknown.objects = {
          {pbs_protocol::ObjectType::kServer, "a", {{"process_started", "", "1700000000000001"}}}};
    }
    Reply(opened_[0], unknown, 2);
    const auto messages = TakeMessages();
    ASSERT_EQ(messages.size(), 2u);
    const std::optional<Micros> expected =
        is_stated ? std::optional<Micros>(1'700'000'000'000'001) : std::nullopt;
    EXPECT_FALSE(std::get<job_manager::StopAnswered>(messages[0]).known);
    EXPECT_EQ(std::get<job_manager::StopAnswered>(messages[0]).process_started, expected);
    EXPECT_FALSE(std::get<job_manager::QueryAnswered>(messages[1]).found);
    EXPECT_EQ(std::get<job_manager::QueryAnswered>(messages[1]).process_started, expected);
  }
}

TEST_F(ControlSessions, ControlRequestToAnUnknownNodeFails) {
  Deliver(job_manager::ReconcileNode{node_ + 1000});
  EXPECT_EQ(TakeMessage<job_manager::ReconcileFailed>().node, node_ + 1000);
  EXPECT_TRUE(sessions_->actions().empty());
}

// ---- Nodes that change their address or are removed ----

TEST_F(ControlSessions, ConnectionsToAnOldAddressAreClosedWhenIdle) {
  SubmitAttempt();
  PerformActions();
  Reply(opened_[0], Rejection("full"), kSubmissionReplies);
  Deliver(job_manager::CheckNodeHealth{node_});
  PerformActions();
  Reply(opened_[1]);
  TakeMessages();
  job_manager::ListedNode moved = JobManagerFixture::Node("a");
  moved.address = "127.0.0.1:2";
  fixture_.List({moved});
  Deliver(job_manager::CheckNodeHealth{node_});
  PerformActions();
  EXPECT_EQ(closed_,
            opened_.size() == 3 ? std::vector<ConnId>({opened_[0], opened_[1]}) : std::vector<ConnId>{});
  ASSERT_EQ(opened_.size(), 3u);
  EXPECT_EQ(addresses_[opened_[2]], "127.0.0.1:2");
}

TEST_F(ControlSessions, ForgottenNodeLosesAllItsConnectionsSilently) {
  const job_manager::AttemptId attempt = SubmitAttempt();
  Deliver(job_manager::CheckNodeHealth{node_});
  PerformActions();
  ASSERT_EQ(opened_.size(), 2u);
  Deliver(job_manager::ForgetNode{node_});
  PerformActions();
  EXPECT_EQ(closed_, opened_);
  EXPECT_EQ(sessions_->connections(), 0u);
  EXPECT_EQ(sessions_->NextTimer(), kNever);
  EXPECT_TRUE(sessions_->messages().empty());
  Deliver(job_manager::CommitAttempt{attempt, node_});
  EXPECT_FALSE(TakeMessage<job_manager::AttemptDisconnected>().sent);
}

}  // namespace
}  // namespace mountflow::testing
