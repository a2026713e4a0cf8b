// Runs the batch commands against a daemon and a node that executes scripts.
#include <fstream>
#include <sstream>

#include "tests/support/daemon_process_fixture.hpp"
#include "tests/support/temporary_folder.hpp"

namespace mountflow::testing {
namespace {

class BatchCommands : public DaemonProcessTest {
 protected:
  void SetUp() override {
    ASSERT_EQ(chdir(folder.path().c_str()), 0);
    node = std::make_unique<Process>(std::vector<std::string>{
        "mountflow-node", "--name", "n", "--exec", "--cores", "8", "--list", site.registry_address()});
    ASSERT_FALSE(node->ReadLine().empty());
    daemon = site.StartDaemon("d0");
    DaemonSite::WaitForNodeCount(daemon, 1);
    environment = {{"PBS_DEFAULT", daemon.address()}, {"GREETING", "hello, \\ world"}};
  }
  void TearDown() override { ASSERT_EQ(chdir("/"), 0); }
  CommandResult Run(std::vector<std::string> arguments) {
    return RunCommand(std::move(arguments), environment);
  }
  // Runs qsub and returns the job id that it prints.
  std::string RunQsub(std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), "qsub");
    return WithoutLineEnds(Run(std::move(arguments)).output);
  }
  std::string ReadFile(const std::string& name) const {
    std::ifstream file(folder.File(name));
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
  }
  std::string WriteScript(const std::string& text) const {
    std::ofstream(folder.File("job.sh")) << text;
    return folder.File("job.sh");
  }
  static std::string WithoutLineEnds(std::string text) {
    while (!text.empty() && text.back() == '\n') text.pop_back();
    return text;
  }

  TemporaryFolder folder;
  std::unique_ptr<Process> node;
  RunningDaemon daemon;
  std::map<std::string, std::string> environment;
};

TEST_F(BatchCommands, ScriptRunsWithItsDirectivesVariablesAndFiles) {
  const std::string script = WriteScript(
      "#!/bin/sh\n#PBS -N recount -l ncpus=2,mem=256mb -j oe -v GREETING\n#PBS -o out.txt\n"
      "echo \"$PBS_JOBNAME $PBS_ENVIRONMENT $PBS_QUEUE $GREETING\"\necho err >&2\npwd\nexit 7\n");
  const CommandResult ran = Run({"qsub", "-W", "block=true", "-q", "batch", script});
  EXPECT_EQ(ran.status, 7);
  EXPECT_NE(ran.output.find(".d0"), std::string::npos);
  const std::string out = ReadFile("out.txt");
  EXPECT_NE(out.find("recount PBS_BATCH batch hello, \\ world\nerr\n"), std::string::npos) << out;
  const std::string id = WithoutLineEnds(ran.output);
  const CommandResult status = Run({"qstat", "-f", "-x", id});
  EXPECT_NE(status.output.find("    exit_status = 7\n"), std::string::npos) << status.output;
  EXPECT_NE(status.output.find("    Resource_List.ncpus = 2\n"), std::string::npos);
  // Command line options take precedence over the script's directives; -z prints nothing.
  const CommandResult quiet = Run({"qsub", "-z", "-N", "other", "-W", "block=true", script});
  EXPECT_EQ(quiet.output, "");
  EXPECT_NE(ReadFile("out.txt").find("other PBS_BATCH service"), std::string::npos);
}

TEST_F(BatchCommands, SignalsWalltimeAndDeletesEndTheWholeProcessGroup) {
  const std::string script =
      WriteScript("trap 'echo got; exit 5' USR1\necho ready > " + folder.File("up") + "\nsleep 60 & wait\n");
  const auto wait_until_running = [&] {
    ASSERT_TRUE(WaitForTextInFile(folder.File("up"), ""));
    EXPECT_FALSE(ReadFile("up").empty());
    unlink((folder.File("up")).c_str());
  };
  std::string id = RunQsub({"-o", "o1", "-e", "e1", script});
  wait_until_running();
  EXPECT_EQ(Run({"qsig", "-s", "SIGUSR1", id}).status, 0);
  BatchClient client(daemon);
  EXPECT_EQ(client.AttributeAfterEnd(id, "exit_status"), "5");
  EXPECT_EQ(ReadFile("o1"), "got\n");
  id = RunQsub({script});
  wait_until_running();
  EXPECT_EQ(Run({"qdel", id}).status, 0);
  EXPECT_EQ(client.AttributeAfterEnd(id, "exit_status"), "271");
  EXPECT_NE(Run({"qdel", id}).status, 0);  // the job has already ended
  id = RunQsub({"-l", "walltime=0.3", script});
  EXPECT_EQ(client.AttributeAfterEnd(id, "exit_status"), "271");
}

TEST_F(BatchCommands, HoldAlterSelectAndRejectFollowThePbsProtocol) {
  const std::string script = WriteScript("true\n");
  const std::string id = RunQsub({"-h", "-N", "held", script});
  EXPECT_EQ(WithoutLineEnds(Run({"qselect", "-s", "H", "-N", "held"}).output), id);
  EXPECT_EQ(Run({"qselect", "-s", "R"}).output, "");
  EXPECT_EQ(Run({"qalter", "-l", "mem=2gb", "-N", "renamed", id}).status, 0);
  EXPECT_NE(Run({"qstat", id}).output.find(" renamed "), std::string::npos);
  EXPECT_EQ(Run({"qrls", id}).status, 0);
  BatchClient client(daemon);
  EXPECT_EQ(client.AttributeAfterEnd(id, "exit_status"), "0");
  EXPECT_EQ(Run({"qsub", "-I", script}).status, 1);
  EXPECT_EQ(Run({"qsub", "-l", "ncpus=many", script}).status, 1);
  EXPECT_EQ(Run({"qsub", "-q", "nowhere", script}).status, 1);
  EXPECT_EQ(Run({"qsub", "/no/such/script"}).status, 1);
  EXPECT_EQ(Run({"qdel", "nonsense"}).status, 1);
  EXPECT_EQ(Run({"qstat", "1.d0"}).status, 1);
  // A job that exceeds every node is rejected at once, with a reason.
  const CommandResult rejected = Run({"qsub", "-l", "ncpus=100", "-W", "block=true", script});
  EXPECT_EQ(rejected.status, 1);
  EXPECT_NE(Run({"qstat", "-Q"}).output.find("keyed"), std::string::npos);
  EXPECT_NE(Run({"qstat", "-B"}).output.find("d0"), std::string::npos);
}

// The daemon takes a client's user from the kernel and ignores the user name in the request.
TEST_F(BatchCommands, AnotherUserCannotCancelReleaseOrPoseAsTheJobOwner) {
  if (geteuid() != 0) GTEST_SKIP() << "needs to start a process as another user";
  const std::string id = RunQsub({"-h", WriteScript("true\n")});
  constexpr unsigned kNobody = 65534;
  // The program is copied because other users may have no access to the build folder.
  ASSERT_EQ(
      RunCommand({"/bin/cp", ProgramFolder() + "/mountflow-batch", folder.File("mountflow-batch")}).status,
      0);
  ASSERT_EQ(RunCommand({"/bin/chmod", "0755", folder.path()}).status, 0);
  const std::string batch = folder.File("mountflow-batch");
  EXPECT_EQ(RunCommand({batch, "qstat", id}, environment, kNobody).status, 0);
  EXPECT_EQ(RunCommand({batch, "qdel", id}, environment, kNobody).status, 1);
  EXPECT_EQ(RunCommand({batch, "qrls", id}, environment, kNobody).status, 1);
  BatchClient root(daemon);
  EXPECT_EQ(root.Attribute(id, "job_state"), "H");
  EXPECT_EQ(Run({"qdel", id}).status, 0);
}

TEST_F(BatchCommands, HttpServesTheSameJobsAsTheBatchPort) {
  const http::Message created =
      CallHttp(daemon.http_port, "POST", "/v1/jobs",
               R"({"script": "exit 4\n", "name": "web", "queue": "batch", "ncpus": 1})");
  EXPECT_EQ(created.status, 201) << created.body;
  const std::string id = created.body.substr(created.body.find("\"id\":\"") + 6,
                                             created.body.find(".d0") - created.body.find("\"id\":\"") - 3);
  BatchClient client(daemon);
  EXPECT_EQ(client.AttributeAfterEnd(id, "exit_status"), "4");
  EXPECT_NE(CallHttp(daemon.http_port, "GET", "/v1/jobs/" + id).body.find("\"exit_status\":\"4\""),
            std::string::npos);
  EXPECT_EQ(CallHttp(daemon.http_port, "GET", "/v1/jobs/1.d0").status, 404);
  EXPECT_EQ(CallHttp(daemon.http_port, "POST", "/v1/jobs", R"({"colour": "red"})").status, 400);
  EXPECT_EQ(CallHttp(daemon.http_port, "POST", "/v1/jobs", "[").status, 400);
  EXPECT_NE(CallHttp(daemon.http_port, "GET", "/v1/jobs?history=true&limit=1").body.find(id),
            std::string::npos);
  EXPECT_EQ(CallHttp(daemon.http_port, "DELETE", "/v1/jobs/" + id).status, 409);
  const http::Message unknown = CallHttp(daemon.http_port, "DELETE", "/v1/jobs/1.d0");
  EXPECT_EQ(unknown.status, 404);
  EXPECT_NE(unknown.body.find("Unknown Job Id"), std::string::npos) << unknown.body;
}

TEST_F(BatchCommands, GracefulShutdownEndsWithStatusZero) {
  EXPECT_EQ(Run({"qsub", WriteScript("true\n")}).status, 0);
  daemon.process->Signal(SIGTERM);
  EXPECT_EQ(daemon.process->Wait(), 0);
}

}  // namespace
}  // namespace mountflow::testing
