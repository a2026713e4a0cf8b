// Tests a node's server together with the daemon's sessions. Their bytes are exchanged without sockets.
#include "node_agent/node_server.hpp"

#include <gtest/gtest.h>

#include "node_agent/node_emulator.hpp"
#include "node_sessions/node_sessions.hpp"
#include "tests/support/job_manager_fixture.hpp"

namespace mountflow::testing {
namespace {

class NodeServerTest : public ::testing::Test {
 protected:
  JobManagerFixture fixture;
  pbs_server::Vocabulary vocabulary;
  std::unique_ptr<node_sessions::NodeSessions> sessions;
  std::unique_ptr<node_agent::NodeServer> server;
  std::set<node_sessions::ConnId> open;

  void SetUp() override {
    vocabulary.queues = {"keyed", "safe", "unsafe"};
    node_sessions::NodeSessionOptions o;
    o.report_to = "127.0.0.1:9";
    sessions = std::make_unique<node_sessions::NodeSessions>(&fixture.job_manager, vocabulary, o);
    StartServer(fixture.now - kSecond);
    fixture.List({JobManagerFixture::Node("a")});
    Settle();
  }
  // Starts a process of the node, in place of an earlier one.
  void StartServer(Micros process_started) {
    node_agent::NodeConfig config;
    config.cores = 4.0;
    config.memory = 8.0;
    config.admission_time = 0;
    config.admission_queue_size = 2;
    config.max_concurrent_starts = 1;
    server = std::make_unique<node_agent::NodeServer>(
        std::make_unique<node_agent::NodeEmulator>(config, nullptr, fixture.now, 0),
        node_agent::NodeServerOptions{.process_started = process_started});
  }
  // Which bytes are lost between daemon and node.
  enum class Loss { kNone, kCommits, kRepliesFromTheCommitOn };

  // Exchanges messages until none is pending.
  void Settle() {
    for (int i = 0; i < 100; ++i) {
      if (Exchange(Loss::kNone) && fixture.last.empty()) return;
    }
    FAIL() << "never quiet";
  }
  void Exchange(Loss loss, int times) {
    for (int i = 0; i < times; ++i) Exchange(loss);
  }
  // Passes on what daemon and node have for each other. Returns whether there was nothing.
  bool Exchange(Loss loss) {
    bool quiet = true;
    bool commit_sent = false;
    for (const auto& output : std::exchange(fixture.last, {})) sessions->Deliver(fixture.now, output);
    for (const auto& action : std::exchange(sessions->actions(), {})) {
      quiet = false;
      const auto* send = std::get_if<node_sessions::SendBytes>(&action);
      const bool is_commit = send != nullptr && send->bytes.find("+2+1+5") != std::string::npos;
      commit_sent |= is_commit;
      if (!is_commit || loss != Loss::kCommits) PerformAction(action);
    }
    server->Tick(fixture.now);
    server->Dispatch(fixture.now);
    for (const auto id : server->TakeConnectionsWithOutput()) {
      std::string* output = server->OutputOf(id);
      if (output == nullptr) continue;
      quiet = false;
      const std::string bytes = std::exchange(*output, {});
      const bool is_lost = commit_sent && loss == Loss::kRepliesFromTheCommitOn;
      if (!is_lost) sessions->Received(fixture.now, id, bytes);
    }
    for (const auto& message : std::exchange(sessions->messages(), {})) {
      quiet = false;
      fixture.job_manager.HandleNodeMessage(fixture.now, message);
    }
    fixture.Collect();
    return quiet;
  }
  void PerformAction(const node_sessions::SessionAction& action) {
    if (const auto* connect = std::get_if<node_sessions::OpenConn>(&action)) {
      open.insert(connect->conn);
      server->Open(connect->conn);
      sessions->Connected(fixture.now, connect->conn);
    } else if (const auto* send = std::get_if<node_sessions::SendBytes>(&action)) {
      server->Receive(fixture.now, send->conn, send->bytes);
    } else if (const auto* close = std::get_if<node_sessions::CloseConn>(&action)) {
      server->Close(fixture.now, close->conn);
      open.erase(close->conn);
    }
  }
  // Replaces the daemon by another one, which has no jobs.
  void UseOtherDaemon() {
    CutAll();
    job_manager::JobManagerOptions options = Options();
    options.server = "d1";
    fixture.job_manager = job_manager::JobManager(options, 9, fixture.now);
    sessions = std::make_unique<node_sessions::NodeSessions>(&fixture.job_manager, vocabulary,
                                                             node_sessions::NodeSessionOptions{});
    fixture.List({JobManagerFixture::Node("a")});
    Settle();
  }
  void CutAll() {
    for (const auto id : std::exchange(open, {})) {
      server->Close(fixture.now, id);
      sessions->Closed(fixture.now, id);
    }
    for (const auto& m : std::exchange(sessions->messages(), {}))
      fixture.job_manager.HandleNodeMessage(fixture.now, m);
    fixture.Collect();
  }
};

TEST_F(NodeServerTest, AJobStartsAndItsConnectionIsUsedAgain) {
  const auto first = fixture.Submit(1);
  Settle();
  EXPECT_EQ(fixture.Job(first).answer, job_manager::FinalAnswer::kStarted);
  const std::size_t connections = sessions->connections();
  for (int i = 0; i < 2; ++i) fixture.Submit(1), Settle();
  EXPECT_EQ(sessions->connections(), connections);
  EXPECT_EQ(server->node().CommittedAttempts().size(), 3u);
}

TEST_F(NodeServerTest, ANodesRejectionComesWithItsReason) {
  job_manager::JobSpec spec;
  spec.user = "thandi", spec.task_class = 1, spec.queue = "safe", spec.service = "s", spec.cores = 6.0;
  const auto job = fixture.Submit(spec);
  Settle();
  EXPECT_EQ(fixture.Job(job).answer, job_manager::FinalAnswer::kRejected);
  EXPECT_EQ(fixture.Job(job).comment, "node a: no cores: 4 of 4 free, asked for 6");
}

TEST_F(NodeServerTest, AnAttemptWhoseCommitWasLostIsRejected) {
  const auto job = fixture.Submit(2);
  // Proceeds until the node is ready to commit. The commit is then lost with the connection.
  Exchange(Loss::kCommits, 3);
  ASSERT_FALSE(fixture.All<job_manager::CommitAttempt>().empty());
  CutAll();
  EXPECT_EQ(fixture.Job(job).answer, job_manager::FinalAnswer::kNone);
  Settle();  // the daemon queries the attempt, which the node never accepts afterwards
  EXPECT_EQ(fixture.Job(job).answer, job_manager::FinalAnswer::kRejected);
  EXPECT_TRUE(server->node().CommittedAttempts().empty());
}

// Guards against a task that runs twice: a new process of the node does not know what the earlier one ran.
TEST_F(NodeServerTest, ANewProcessDoesNotShowThatAnAttemptOfTheEarlierOneNeverRan) {
  const auto job = fixture.Submit(2);
  Exchange(Loss::kRepliesFromTheCommitOn, 4);
  EXPECT_EQ(server->node().CommittedAttempts().size(), 1u);  // the earlier process has started the task
  CutAll();
  StartServer(fixture.now);  // as warm as the earlier one, so that the node list shows no difference
  Settle();
  EXPECT_EQ(fixture.Job(job).answer, job_manager::FinalAnswer::kFailed);
  EXPECT_EQ(fixture.All<job_manager::PrepareAttempt>().size(), 1u);
}

TEST_F(NodeServerTest, ATaskWhoseCommitReplyWasLostIsFoundRunning) {
  const auto job = fixture.Submit(2);
  Settle();
  EXPECT_EQ(fixture.Job(job).answer, job_manager::FinalAnswer::kStarted);
  const auto second = fixture.Submit(2);
  Exchange(Loss::kRepliesFromTheCommitOn, 4);
  EXPECT_EQ(server->node().CommittedAttempts().size(), 2u);
  EXPECT_EQ(fixture.Job(second).answer, job_manager::FinalAnswer::kNone);
  CutAll();
  Settle();
  EXPECT_EQ(fixture.Job(second).answer, job_manager::FinalAnswer::kStarted);
  EXPECT_EQ(server->node().CommittedAttempts().size(), 2u);
}

TEST_F(NodeServerTest, AReportWaitsUntilItIsAcknowledged) {
  const auto job = fixture.Submit(1);
  Settle();
  const auto attempt = fixture.Last<job_manager::PrepareAttempt>()->attempt;
  fixture.job_manager.Delete(fixture.now, job, "");
  fixture.Collect();
  Settle();
  ASSERT_EQ(server->reports().ServersWithReports(), std::vector<std::string>{"d0"});
  EXPECT_EQ(server->reports().AddressOf("d0"), "127.0.0.1:9");
  EXPECT_EQ(server->reports().ReportsFor("d0").size(), 1u);
  EXPECT_EQ(fixture.Job(job).state, job_manager::JobState::kExiting);  // the report is not delivered yet
  pbs_protocol::Request obit;
  ASSERT_EQ(pbs_protocol::Decode(server->reports().ReportsFor("d0")[0].bytes, &obit).state,
            pbs_protocol::DisState::kOk);
  EXPECT_EQ(obit.id, fixture.job_manager.AttemptName(attempt));
  server->reports().Acknowledge("d0", 1);
  EXPECT_TRUE(server->reports().ServersWithReports().empty());
}

TEST_F(NodeServerTest, ARestartedDaemonRecoversItsJobsFromTheNodesList) {
  const auto job = fixture.Submit(0, "k");
  Settle();
  const std::string id = fixture.job_manager.JobId(job);
  fixture.job_manager = job_manager::JobManager(Options(), 9, fixture.now + kSecond);  // the daemon restarts
  fixture.now += kSecond;
  sessions = std::make_unique<node_sessions::NodeSessions>(&fixture.job_manager, vocabulary,
                                                           node_sessions::NodeSessionOptions{});
  fixture.List({JobManagerFixture::Node("a")});
  Settle();
  ASSERT_NE(fixture.job_manager.Find(job), nullptr);
  EXPECT_TRUE(fixture.Job(job).recovered);
  EXPECT_EQ(fixture.Job(job).spec->key, "k");
  EXPECT_EQ(fixture.job_manager.FindJobByKey("thandi", "k"), job);
  EXPECT_EQ(fixture.job_manager.JobId(job), id);
}

// By task class, and whether the repeat is of the same user.
class NodeServerKeySearchTest : public NodeServerTest,
                                public ::testing::WithParamInterface<std::tuple<unsigned, bool>> {};
INSTANTIATE_TEST_SUITE_P(ClassesAndUsers, NodeServerKeySearchTest,
                         ::testing::Combine(::testing::Values(0u, 2u), ::testing::Bool()));

// Guards against a second start of a job that its client submitted again at another daemon: the daemon
// searched for the key alone, under which no node finds anything, because nodes store it with its user.
TEST_P(NodeServerKeySearchTest, ARepeatAtAnotherDaemonFindsTheRunningTaskOfItsUserAlone) {
  const auto [task_class, same_user] = GetParam();
  const std::string first = fixture.job_manager.JobId(fixture.Submit(task_class, "k"));
  Settle();
  ASSERT_EQ(server->node().CommittedAttempts(), std::vector<std::string>{first + "/1"});
  UseOtherDaemon();
  job_manager::JobSpec spec;
  spec.user = same_user ? "thandi" : "sipho", spec.task_class = task_class, spec.key = "k";
  spec.queue = vocabulary.queues[task_class], spec.repeat = true;
  spec.earlier_until = fixture.now + kSecond;
  const auto job = fixture.Submit(spec);
  for (const Micros until = fixture.now + 4 * kSecond; fixture.now < until;) {
    Settle();
    fixture.Run(std::min(until, fixture.job_manager.NextTimer()));
  }
  EXPECT_EQ(fixture.Job(job).answer, job_manager::FinalAnswer::kStarted);
  EXPECT_EQ(fixture.Job(job).comment.find("runs already as " + first) != std::string::npos, same_user);
  EXPECT_EQ(server->node().CommittedAttempts().size(), same_user ? 1u : 2u);
}

// A daemon of an earlier version searches for the key alone. It takes an error as a node that did not answer,
// and rejects the repeat in time; a reply without attempts would let it start the task again.
TEST_F(NodeServerTest, ASearchWithoutAUserIsAnError) {
  for (const std::string key : {"", "k"}) {
    pbs_protocol::Request search;
    search.type = pbs_protocol::RequestType::kSelectJobs;
    search.user = "root";
    search.attributes = {{"key", "", key, pbs_protocol::Op::kEq}};
    std::string bytes;
    pbs_protocol::Encode(search, &bytes);
    constexpr std::uint64_t kSession = 1'000'000;
    server->Open(kSession);
    server->Receive(fixture.now, kSession, bytes);
    pbs_protocol::Reply reply;
    ASSERT_EQ(pbs_protocol::Decode(*server->OutputOf(kSession), &reply).state, pbs_protocol::DisState::kOk);
    EXPECT_EQ(reply.code, pbs_protocol::Code::kBadValue);
    server->Close(fixture.now, kSession);
  }
}

TEST_F(NodeServerTest, BeyondItsBoundsAnAttemptIsReportedAsNeverSent) {
  node_sessions::NodeSessionOptions o;
  o.max_connections = 1;
  o.max_waiting = 1;
  sessions = std::make_unique<node_sessions::NodeSessions>(&fixture.job_manager, vocabulary, o);
  for (int i = 0; i < 3; ++i) fixture.Submit(1);
  const auto asks = fixture.All<job_manager::PrepareAttempt>();
  for (const auto& ask : asks) sessions->Deliver(fixture.now, ask);
  ASSERT_EQ(sessions->messages().size(), 1u);
  EXPECT_FALSE(std::get<job_manager::AttemptDisconnected>(sessions->messages()[0]).sent);
  EXPECT_EQ(sessions->connections(), 1u);
}

}  // namespace
}  // namespace mountflow::testing
