// Tests the state that a killed daemon recovers after its restart, and the folder in which it stores its
// jobs.
#include <fstream>

#include "tests/support/daemon_process_fixture.hpp"
#include "tests/support/temporary_folder.hpp"

namespace mountflow::testing {
namespace {

using pbs_protocol::Code;
using pbs_protocol::Op;
using pbs_protocol::RequestType;

class DaemonRestart : public DaemonProcessTest {
 protected:
  TemporaryFolder folder;
};

TEST_F(DaemonRestart, KilledDaemonAdoptsRunningTasksAndStartsNoneTwice) {
  Process node({"mountflow-node", "--name", "n", "--list", site.registry_address()});
  ASSERT_FALSE(node.ReadLine().empty());
  auto daemon = site.StartDaemon("d0");
  const int port = daemon.batch_port;
  DaemonSite::WaitForNodeCount(daemon, 1);
  std::string id;
  {
    BatchClient client(daemon);
    const pbs_protocol::Attributes attributes = {{"key", "", "k", Op::kSet}, {"life", "", "60", Op::kSet}};
    id = client.Submit("service", attributes);
    EXPECT_EQ(client.AttributeAfterAnswer(id, "answer"), "placed");
    client.Submit("service", {{"life", "", "60", Op::kSet}});  // in flight when the daemon is killed
  }
  daemon.process->Kill();
  daemon = site.StartDaemon("d0", {port, "none", {}});
  DaemonSite::WaitForNodeCount(daemon, 1);
  BatchClient client(daemon);
  EXPECT_TRUE(PollUntil([&] { return client.Attribute(id, "job_state") == "R"; }));
  EXPECT_EQ(client.Attribute(id, "job_state"), "R");
  EXPECT_EQ(client.Attribute(id, "exec_host"), "n/0");
  EXPECT_EQ(client.Queue("service", {{"key", "", "k", Op::kSet}}).text, id);
  // The restarted daemon receives the report of the task's end.
  EXPECT_EQ(client.Delete(id).code, Code::kNone);
  EXPECT_EQ(client.AttributeAfterEnd(id, "job_state"), "C");
}

TEST_F(DaemonRestart, KilledDaemonRecoversItsJobsAnswersAndKeys) {
  FakeBatchNode node("n");
  site.Publish(node.Entry());
  auto daemon = site.StartDaemon("d0", {0, folder.File("jobs"), {}});
  DaemonSite::WaitForNodeCount(daemon, 1);
  std::string held_job, running_job, ended_job;
  {
    BatchClient client(daemon);
    held_job = client.Submit("service", {{"Hold_Types", "", "u", Op::kSet}});
    running_job = client.Submit("service", {{"key", "", "k-1", Op::kSet}});
    node.AcceptNextAttempt();
    EXPECT_EQ(client.AttributeAfterAnswer(running_job, "answer"), "placed");
    ended_job = client.Submit("batch");
    const auto commit = node.AcceptNextAttempt();
    EXPECT_EQ(client.AttributeAfterAnswer(ended_job, "answer"), "placed");
    EXPECT_EQ(FakeBatchNode::ReportEnd(daemon.batch_port, commit.request.id, "exited", 5), Code::kNone);
    EXPECT_EQ(client.AttributeAfterEnd(ended_job, "exit_status"), "5");
  }
  const int port = daemon.batch_port;
  daemon.process->Kill();
  daemon = site.StartDaemon("d0", {port, folder.File("jobs"), {}});
  BatchClient client(daemon);
  EXPECT_EQ(client.Attribute(held_job, "job_state"), "H");
  EXPECT_EQ(client.Attribute(running_job, "answer"), "placed");
  EXPECT_EQ(client.Attribute(ended_job, "exit_status", "x"), "5");
  EXPECT_EQ(client.Call(RequestType::kDeleteJob, held_job).code, Code::kNone);
}

// The daemon is killed after it sent the commit and before the reply. The restarted daemon queries the node
// before it sends anything else.
TEST_F(DaemonRestart, AttemptInFlightAtAKillIsQueriedAndItsJobAnsweredOnce) {
  for (const bool node_runs_it : {true, false}) {
    const std::string name = node_runs_it ? "d1" : "d2";
    FakeBatchNode node(node_runs_it ? "n1" : "n2");
    site.Publish(node.Entry());
    auto daemon = site.StartDaemon(name, {0, folder.File(name), {}});
    DaemonSite::WaitForNodeCount(daemon, 1);
    std::string id;
    {
      BatchClient client(daemon);
      id = client.Submit("once");
      node.Reply(node.WaitForRequest(RequestType::kReadyToCommit));
      node.WaitForRequest(RequestType::kCommit);
    }
    daemon.process->Kill();
    const std::size_t commits = node.CountRequests(RequestType::kCommit);
    const auto again = site.StartDaemon(name, {daemon.batch_port, folder.File(name), {}});
    const auto query = node.WaitForRequest(RequestType::kStatusJob);
    EXPECT_EQ(query.request.id.substr(0, id.size()), id);
    BatchClient client(again);
    EXPECT_EQ(client.Attribute(id, "answer"), "");
    EXPECT_EQ(node.CountRequests(RequestType::kCommit), commits);
    if (node_runs_it) {
      pbs_protocol::Reply found;
      found.choice = pbs_protocol::Choice::kStatus;
      found.objects.push_back({pbs_protocol::ObjectType::kJob, query.request.id, {}});
      node.SendReply(query.connection, found);
    } else {
      node.Reply(query, Code::kUnknownJob);
      node.AcceptNextAttempt();
    }
    EXPECT_EQ(client.AttributeAfterAnswer(id, "answer"), "placed");
    EXPECT_EQ(node.CountRequests(RequestType::kCommit), commits + (node_runs_it ? 0 : 1));
    job_manager::ListedNode gone = node.Entry();
    gone.state = NodeState::kGone;
    site.Publish(gone);
  }
}

// Guards against reordering: a reply that need not wait for the disk must not overtake an earlier reply on
// the same connection that must.
TEST_F(DaemonRestart, RepliesOfOneHttpConnectionStayInOrder) {
  const auto daemon = site.StartDaemon("d0", {0, folder.File("jobs"), {}});
  const auto replies = ExchangeHttpBytes(
      daemon.http_port,
      http::WriteRequest("POST", "/v1/jobs", {{"Host", "h"}}, R"({"script": "x", "hold": "u"})") +
          "no request\r\n\r\n");
  ASSERT_EQ(replies.size(), 2u);
  EXPECT_EQ(replies[0].status, 201);
  EXPECT_EQ(replies[1].status, 400);
}

TEST_F(DaemonRestart, DamagedFolderAndSecondDaemonAreRejected) {
  auto daemon = site.StartDaemon("d0", {0, folder.File("jobs"), {}});
  {
    BatchClient client(daemon);
    for (int i = 0; i < 3; ++i) client.Submit("service", {{"Hold_Types", "", "u", Op::kSet}});
  }
  const std::vector<std::string> second = {"mountflowd", "--batch",   "127.0.0.1:0",      "--http",
                                           "",           "--storage", folder.File("jobs")};
  EXPECT_EQ(RunCommand(second).status, 1);  // another process has locked the folder
  daemon.process->Kill();
  const std::string file = folder.File("jobs") + "/jobs-00000000000000000001.log";
  {
    std::fstream f(file, std::ios::in | std::ios::out | std::ios::binary);
    f.seekp(60);
    f.put('\x7f');
  }
  EXPECT_EQ(RunCommand(second).status, 1);  // a byte of the log is corrupt
}

}  // namespace
}  // namespace mountflow::testing
