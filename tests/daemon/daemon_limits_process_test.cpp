// Tests the limits beyond which a daemon accepts no new jobs: a full disk and a spent budget.
#include <ctime>
#include <fstream>
#include <thread>

#include "tests/support/daemon_process_fixture.hpp"
#include "tests/support/temporary_folder.hpp"

namespace mountflow::testing {
namespace {

using pbs_protocol::Code;
using pbs_protocol::Op;
using pbs_protocol::RequestType;

class DaemonLimits : public DaemonProcessTest {
 protected:
  TemporaryFolder folder;
};

// Simulates a full disk by a limit on the size of files.
TEST_F(DaemonLimits, FullDiskRejectsNewJobsAndLosesNoneAccepted) {
  const std::vector<std::string> with_small_files = {"/bin/sh", "-c",
                                                     "trap '' XFSZ; ulimit -f 4; exec \"$@\"", "sh"};
  auto daemon = site.StartDaemon("d0", {0, folder.File("jobs"), with_small_files});
  std::string small;
  {
    BatchClient client(daemon);
    small = client.Submit("service", {{"Hold_Types", "", "u", Op::kSet}});
    pbs_client::BatchConnection large;
    ASSERT_TRUE(large.Connect(daemon.address(), kWaitLimit));
    pbs_protocol::Request queue;
    queue.type = RequestType::kQueueJob;
    queue.user = "root";
    queue.destination = "service";
    queue.attributes = {{"Hold_Types", "", "u", Op::kSet}};
    const auto queued = large.Call(queue, kWaitLimit);
    ASSERT_TRUE(queued) << pbs_client::Describe(queued.error());
    pbs_protocol::Request script;
    script.type = RequestType::kJobScript;
    script.user = "root";
    script.id = queued->text;
    script.script = std::string(10'000, '#');
    const auto sent = large.Call(script, kWaitLimit);
    ASSERT_TRUE(sent) << pbs_client::Describe(sent.error());
    pbs_protocol::Request commit;
    commit.type = RequestType::kCommit;
    commit.user = "root";
    commit.id = script.id;
    // The commit cannot be stored, so it gets no reply, and new jobs are rejected afterwards.
    bool answered = true;
    std::thread commits([&] { answered = large.Call(commit, kWaitLimit).has_value(); });
    pbs_protocol::Reply rejected;
    EXPECT_TRUE(PollUntil([&] {
      BatchClient other(daemon);
      rejected = other.Call(queue);
      return rejected.code != Code::kNone;
    }));
    EXPECT_NE(rejected.text.find("jobs cannot be kept now"), std::string::npos) << rejected.text;
    EXPECT_NE(rejected.text.find("File too large"), std::string::npos) << rejected.text;
    EXPECT_EQ(CallHttp(daemon.http_port, "POST", "/v1/jobs", R"({"script": "x"})").status, 503);
    daemon.process->Kill();
    commits.join();
    EXPECT_FALSE(answered);
  }
  daemon = site.StartDaemon("d0", {daemon.batch_port, folder.File("jobs"), {}});
  BatchClient client(daemon);
  EXPECT_EQ(client.Attribute(small, "job_state"), "H");
  EXPECT_FALSE(client.Submit("service", {{"Hold_Types", "", "u", Op::kSet}}).empty());
}

// The node reports the usage twice, and the daemon is killed in between.
TEST_F(DaemonLimits, UsageIsPostedOnceOverAKillAndASpentBudgetRejectsJobs) {
  FakeBatchNode node("n");
  site.Publish(node.Entry());
  std::ofstream(folder.File("daemon.json"))
      << R"({"name": "d0", "listen": {"batch": "127.0.0.1:0", "http": "127.0.0.1:0"},
    "list": {"address": "127.0.0.1:)"
      << site.registry_port() << R"("}, "storage": {"folder": ")" << folder.path() << R"(/jobs"},
    "billing": {"zone": "UTC0", "period": "day", "refuse_beyond": true, "budgets": {"": 0.5},
                "prices": [{"core_hour": 3600000}]}})";
  const auto start = [this] { return DaemonSite::StartConfiguredDaemon(folder.File("daemon.json")); };
  auto daemon = start();
  DaemonSite::WaitForNodeCount(daemon, 1);
  constexpr Micros kNoon = 1'795'996'800'000'000 + 43'200'000'000;  // 2026-11-30T12:00:00Z
  std::string attempt;
  {
    BatchClient client(daemon);
    const std::string id = client.Submit("batch");
    const auto commit = node.AcceptNextAttempt();
    EXPECT_EQ(client.AttributeAfterAnswer(id, "answer"), "placed");
    attempt = commit.request.id;
    EXPECT_EQ(FakeBatchNode::ReportEnd(daemon.batch_port, attempt, "exited", 0, kNoon, kNoon + 3'600'000'000),
              Code::kNone);
  }
  const std::string expected = "\"money\":\"3600000\"";
  std::string usage = CallHttp(daemon.http_port, "GET", "/v1/use/2026-11-30").body;
  EXPECT_NE(usage.find("\"millicore_us\":\"3600000000000\""), std::string::npos) << usage;
  EXPECT_NE(usage.find(expected), std::string::npos) << usage;
  daemon.process->Kill();
  daemon = start();
  usage = CallHttp(daemon.http_port, "GET", "/v1/use/2026-11-30").body;
  EXPECT_NE(usage.find(expected), std::string::npos) << usage;
  // The node repeats its report, as it does if the reply was lost.
  EXPECT_EQ(FakeBatchNode::ReportEnd(daemon.batch_port, attempt, "exited", 0, kNoon, kNoon + 3'600'000'000),
            Code::kNone);
  EXPECT_NE(CallHttp(daemon.http_port, "GET", "/v1/use").body.find("\"postings\":1}"), std::string::npos);
  EXPECT_EQ(CallHttp(daemon.http_port, "GET", "/v1/use/2026-11-29").body, "[]\n");
  // More than today's budget of half a core-hour is spent, so new jobs are rejected with this reason.
  const Micros now = static_cast<Micros>(time(nullptr)) * 1'000'000;
  DaemonSite::WaitForNodeCount(daemon, 1);
  BatchClient client(daemon);
  const std::string id = client.Submit("batch");
  const auto commit = node.AcceptNextAttempt();
  EXPECT_EQ(client.AttributeAfterAnswer(id, "answer"), "placed");
  EXPECT_EQ(FakeBatchNode::ReportEnd(daemon.batch_port, commit.request.id, "exited", 0, now - 60'000'000,
                                     now + 2 * 3'600'000'000),
            Code::kNone);
  const http::Message rejected = CallHttp(daemon.http_port, "POST", "/v1/jobs", R"({"script": "x"})");
  EXPECT_EQ(rejected.status, 503);
  EXPECT_NE(rejected.body.find("the budget of tenant"), std::string::npos) << rejected.body;
}

}  // namespace
}  // namespace mountflow::testing
