// Tests attempts over real sockets: cancels that cross replies, and nodes that reply late, twice or not at
// all.
#include "tests/support/daemon_process_fixture.hpp"

namespace mountflow::testing {
namespace {

using pbs_protocol::Code;
using pbs_protocol::RequestType;

using DaemonAttempts = DaemonProcessTest;

TEST_F(DaemonAttempts, CancelBetweenReadyAndCommitLeavesNoTask) {
  FakeBatchNode node("n");
  const auto daemon = StartWithNodes({&node});
  BatchClient client(daemon), other(daemon);
  const std::string id = client.Submit("service");
  const auto ready = node.WaitForRequest(RequestType::kReadyToCommit);
  EXPECT_EQ(other.Delete(id).code, Code::kNone);
  node.Reply(ready);  // this reply crosses the cancel
  EXPECT_EQ(client.AttributeAfterAnswer(id, "answer"), "deleted");
  EXPECT_EQ(client.Attribute(id, "job_state"), "C");
  // The commit of another job shows that the daemon has read that reply.
  client.Submit("service");
  node.Reply(node.WaitForRequest(RequestType::kReadyToCommit));
  const auto commit = node.WaitForRequest(RequestType::kCommit);
  EXPECT_NE(commit.request.id.substr(0, id.size()), id);
  node.Reply(commit);
  EXPECT_EQ(node.CountRequests(RequestType::kCommit), 1u);
}

TEST_F(DaemonAttempts, CancelAfterTheCommitGivesOneAnswerAndStopsTheTask) {
  FakeBatchNode node("n");
  const auto daemon = StartWithNodes({&node});
  BatchClient client(daemon), other(daemon);
  const std::string id = client.Submit("service");
  node.Reply(node.WaitForRequest(RequestType::kReadyToCommit));
  const auto commit = node.WaitForRequest(RequestType::kCommit);
  EXPECT_EQ(other.Delete(id).code, Code::kNone);
  const auto stop = node.WaitForRequest(RequestType::kDeleteJob);
  EXPECT_EQ(stop.request.id, commit.request.id);
  node.Reply(commit);
  node.Reply(stop);
  EXPECT_EQ(client.AttributeAfterAnswer(id, "answer"), "deleted");
  EXPECT_EQ(client.Attribute(id, "job_state"), "E");  // the node has not reported the end yet
  EXPECT_EQ(FakeBatchNode::ReportEnd(daemon.batch_port, commit.request.id, "killed", 271), Code::kNone);
  EXPECT_EQ(client.AttributeAfterEnd(id, "job_state"), "C");
  EXPECT_EQ(client.Attribute(id, "answer"), "deleted");
}

TEST_F(DaemonAttempts, NodeThatAcceptsACancelledAttemptIsSentAStop) {
  FakeBatchNode slow("n1"), good("n2");
  site.Publish(slow.Entry());
  const auto daemon = site.StartDaemon("d0");
  DaemonSite::WaitForNodeCount(daemon, 1);
  BatchClient client(daemon);
  // Jobs of this queue are idempotent, so another node may be tried while this one does not reply.
  const std::string id = client.Submit("batch");
  const auto ready = slow.WaitForRequest(RequestType::kReadyToCommit);
  slow.Reply(ready);
  const auto commit = slow.WaitForRequest(RequestType::kCommit);
  site.Publish(good.Entry());
  DaemonSite::WaitForNodeCount(daemon, 2);
  ASSERT_TRUE(slow.ServeUntil([&] {  // the scheduler cancels the attempt at the slow node
    return slow.CountRequests(RequestType::kDeleteJob) == 1;
  }));
  good.Reply(good.WaitForRequest(RequestType::kReadyToCommit));
  good.Reply(good.WaitForRequest(RequestType::kCommit));
  EXPECT_EQ(client.AttributeAfterAnswer(id, "exec_host"), "n2/0");
  slow.Reply(commit);  // too late: the job runs on the other node
  const auto stop = slow.WaitForRequest(RequestType::kDeleteJob);
  slow.Reply(stop);
  EXPECT_EQ(FakeBatchNode::ReportEnd(daemon.batch_port, commit.request.id, "killed", 271), Code::kNone);
  EXPECT_EQ(client.Attribute(id, "exec_host"), "n2/0");
  EXPECT_EQ(client.Attribute(id, "job_state"), "R");
}

TEST_F(DaemonAttempts, SecondReplyAndSecondEndReportOfANodeChangeNothing) {
  FakeBatchNode node("n");
  const auto daemon = StartWithNodes({&node});
  BatchClient client(daemon);
  const std::string id = client.Submit("service");
  const auto ready = node.WaitForRequest(RequestType::kReadyToCommit);
  node.Reply(ready);
  const auto commit = node.WaitForRequest(RequestType::kCommit);
  node.Reply(commit);
  node.Reply(commit, Code::kNoRoom, 1, "no cores");  // a second reply that contradicts the first
  EXPECT_EQ(client.AttributeAfterAnswer(id, "answer"), "placed");
  EXPECT_EQ(FakeBatchNode::ReportEnd(daemon.batch_port, commit.request.id, "exited", 0), Code::kNone);
  EXPECT_EQ(FakeBatchNode::ReportEnd(daemon.batch_port, commit.request.id, "evicted", 271),
            Code::kNone);  // a second report
  EXPECT_EQ(client.AttributeAfterEnd(id, "exit_status"), "0");
  EXPECT_EQ(client.Attribute(id, "answer"), "placed");
}

// Guards against a job that runs twice: the node that got the commit died, and the new process does not know
// it.
TEST_F(DaemonAttempts, CommitWithoutReplyIsNotRepeatedWhenANewProcessDoesNotKnowIt) {
  FakeBatchNode node("n1"), other("n2");
  site.Publish(node.Entry());
  const auto daemon = site.StartDaemon("d0");
  DaemonSite::WaitForNodeCount(daemon, 1);
  BatchClient client(daemon);
  const std::string id = client.Submit("once");
  node.Reply(node.WaitForRequest(RequestType::kReadyToCommit));
  site.Publish(other.Entry());
  DaemonSite::WaitForNodeCount(daemon, 2);
  node.ResetConnection(node.WaitForRequest(RequestType::kCommit));
  const auto query = node.WaitForRequest(RequestType::kStatusJob);
  pbs_protocol::Reply unknown;
  unknown.code = Code::kUnknownJob;
  unknown.choice = pbs_protocol::Choice::kStatus;
  unknown.objects.push_back(
      {pbs_protocol::ObjectType::kServer, "n1", {{"process_started", "", "9000000000000000"}}});
  node.SendReply(query.connection, unknown);
  EXPECT_EQ(client.AttributeAfterAnswer(id, "answer"), "failed");
  EXPECT_EQ(other.CountRequests(RequestType::kReadyToCommit), 0u);
}

TEST_F(DaemonAttempts, CommitWithoutReplyIsQueriedAndFound) {
  FakeBatchNode node("n");
  const auto daemon = StartWithNodes({&node});
  BatchClient client(daemon);
  const std::string id = client.Submit("once");
  node.Reply(node.WaitForRequest(RequestType::kReadyToCommit));
  node.ResetConnection(node.WaitForRequest(RequestType::kCommit));
  const auto query = node.WaitForRequest(RequestType::kStatusJob);
  pbs_protocol::Reply found;
  found.choice = pbs_protocol::Choice::kStatus;
  found.objects.push_back({pbs_protocol::ObjectType::kJob, query.request.id, {}});
  node.SendReply(query.connection, found);
  EXPECT_EQ(client.AttributeAfterAnswer(id, "answer"), "placed");
  EXPECT_EQ(node.CountRequests(RequestType::kReadyToCommit), 1u);
}

}  // namespace
}  // namespace mountflow::testing
