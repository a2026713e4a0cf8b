// Tests of the PBS server with a job manager and without sockets: submissions truncated at every byte,
// permissions of users, waits, limits, malformed input, admission.
#include "pbs_server/pbs_server.hpp"

#include <gtest/gtest.h>

#include "pbs_server/attribute_mapping.hpp"
#include "tests/support/job_manager_fixture.hpp"

namespace mountflow::testing {
namespace {

using pbs_protocol::Code;
using pbs_protocol::Reply;
using pbs_protocol::Request;
using pbs_protocol::RequestType;

class PbsServerTest : public ::testing::Test {
 protected:
  JobManagerFixture fixture;
  pbs_server::PbsServerOptions options;
  std::unique_ptr<pbs_server::PbsServer> server;
  std::uint64_t next = 0;

  void SetUp() override {
    fixture.List({JobManagerFixture::Node("a"), JobManagerFixture::Node("b")});
    fixture.ReconcileAll();
    fixture.Clear();
    options.vocabulary.queues = {"keyed", "safe", "unsafe"};
    options.vocabulary.default_queue = "safe";
    options.max_script_bytes = 1000;
    options.managers = {"root"};
    server = std::make_unique<pbs_server::PbsServer>(&fixture.job_manager, options);
  }
  std::uint64_t Open(const std::string& user = "") {
    pbs_server::Peer peer;
    peer.address = "test";
    peer.user = user;
    server->Open(++next, peer);
    return next;
  }
  static Request Make(RequestType type, const std::string& id = "", const std::string& user = "thandi") {
    Request request;
    request.type = type;
    request.user = user;
    request.id = id;
    return request;
  }
  static std::string Bytes(const Request& request) {
    std::string bytes;
    pbs_protocol::Encode(request, &bytes);
    return bytes;
  }
  std::vector<Reply> Replies(std::uint64_t connection) {
    std::vector<Reply> replies;
    std::string* out = server->OutputOf(connection);
    if (out == nullptr) return replies;
    Reply reply;
    for (;;) {
      const pbs_protocol::DecodeResult parsed = pbs_protocol::Decode(*out, &reply);
      if (parsed.state != pbs_protocol::DisState::kOk) break;
      out->erase(0, parsed.used);
      replies.push_back(reply);
    }
    EXPECT_TRUE(out->empty());
    return replies;
  }
  std::vector<Reply> Send(std::uint64_t connection, const std::string& bytes) {
    server->Receive(fixture.now, connection, bytes);
    fixture.Collect();
    for (const auto& a : JobManagerFixture::Of<job_manager::JobAnswered>(fixture.last))
      server->HandleJobAnswered(fixture.now, a);
    for (const auto& e : JobManagerFixture::Of<job_manager::JobCompleted>(fixture.last))
      server->HandleJobCompleted(fixture.now, e);
    return Replies(connection);
  }
  Reply Call(std::uint64_t connection, const Request& request) {
    const auto replies = Send(connection, Bytes(request));
    EXPECT_EQ(replies.size(), 1u);
    return replies.empty() ? Reply{} : replies[0];
  }
  static Request Queue(const std::string& queue = "safe", const std::string& key = "",
                       const std::string& user = "thandi") {
    Request request = Make(RequestType::kQueueJob, "", user);
    request.destination = queue;
    request.attributes = {{"Job_Name", "", "recount", pbs_protocol::Op::kSet},
                          {"Resource_List", "ncpus", "2", pbs_protocol::Op::kSet}};
    if (!key.empty()) request.attributes.push_back({"key", "", key, pbs_protocol::Op::kSet});
    return request;
  }
  // Returns the four requests of a submission, pipelined, with an empty job id.
  static std::string PipelinedSubmission(const std::string& queue = "safe", const std::string& key = "") {
    Request script = Make(RequestType::kJobScript);
    script.script = "echo\n";
    return Bytes(Queue(queue, key)) + Bytes(script) + Bytes(Make(RequestType::kReadyToCommit)) +
           Bytes(Make(RequestType::kCommit));
  }
  std::size_t JobCount() {
    std::size_t count = 0;
    fixture.job_manager.ForEach(0, [&count](const job_manager::Job&) { return ++count, true; });
    return count;
  }
};

TEST_F(PbsServerTest, ASubmissionTakesFourRequestsOnOneConnection) {
  const auto connection = Open();
  const Reply queued = Call(connection, Queue());
  ASSERT_EQ(queued.choice, pbs_protocol::Choice::kQueued);
  Request script = Make(RequestType::kJobScript, queued.text);
  script.script = "echo\n";
  EXPECT_EQ(Call(connection, script).code, Code::kNone);
  EXPECT_EQ(Call(connection, Make(RequestType::kReadyToCommit, queued.text)).choice,
            pbs_protocol::Choice::kReady);
  EXPECT_EQ(JobCount(), 0u);
  EXPECT_EQ(Call(connection, Make(RequestType::kCommit, queued.text)).choice,
            pbs_protocol::Choice::kCommitted);
  EXPECT_EQ(JobCount(), 1u);
  const job_manager::Job& job = fixture.Job(fixture.job_manager.ParseJobId(queued.text));
  EXPECT_EQ(job.spec->script, "echo\n");
  EXPECT_EQ(job.spec->cores, 2.0);
  // A repeated commit is replied to with kExists.
  EXPECT_EQ(Call(connection, Make(RequestType::kCommit, queued.text)).code, Code::kExists);
}

// A connection that is lost before the server has received the whole Commit must leave no job. One that is
// lost afterwards must leave one job.
TEST_F(PbsServerTest, AConnectionCutAtAnyByteLeavesNoPartialJob) {
  const std::string submission = PipelinedSubmission();
  for (std::size_t cut = 0; cut <= submission.size(); ++cut) {
    const std::size_t before = JobCount();
    const auto connection = Open();
    server->Receive(fixture.now, connection, std::string_view(submission).substr(0, cut));
    server->Close(fixture.now, connection);
    fixture.Collect();
    EXPECT_EQ(JobCount() - before, cut == submission.size() ? 1u : 0u) << cut;
  }
  EXPECT_EQ(server->connections(), 0u);
}

TEST_F(PbsServerTest, BytesReceivedOneByOneAreHandledLikeAllAtOnce) {
  const auto connection = Open();
  std::size_t replies = 0;
  for (const char c : PipelinedSubmission()) replies += Send(connection, std::string(1, c)).size();
  EXPECT_EQ(replies, 4u);
  EXPECT_EQ(JobCount(), 1u);
}

TEST_F(PbsServerTest, ASecondSubmissionOfAKeyIsRepliedToWithTheIdOfTheFirst) {
  const auto first = Open();
  const auto submitted = Send(first, PipelinedSubmission("keyed", "k"));
  ASSERT_EQ(submitted.size(), 4u);
  const auto again = Open();
  const Reply reply = Call(again, Queue("keyed", "k"));
  EXPECT_EQ(reply.code, Code::kExists);
  EXPECT_EQ(reply.text, submitted[3].text);
  EXPECT_EQ(JobCount(), 1u);
  // Two concurrent submissions with one key: the second Commit is answered with the id of the first job.
  const auto a = Open(), b = Open();
  const std::string id_a = Call(a, Queue("keyed", "twins")).text,
                    id_b = Call(b, Queue("keyed", "twins")).text;
  EXPECT_EQ(Call(a, Make(RequestType::kCommit, id_a)).code, Code::kNone);
  const Reply second = Call(b, Make(RequestType::kCommit, id_b));
  EXPECT_EQ(second.code, Code::kExists);
  EXPECT_EQ(second.text, id_a);
}

TEST_F(PbsServerTest, UsersActOnlyForThemselvesUnlessTheyAreManagers) {
  const auto sipho = Open("sipho");
  Request request = Queue();
  request.user = "thandi";
  EXPECT_EQ(Call(sipho, request).code, Code::kPermission);
  const auto thandi = Open("thandi");
  const auto submitted = Send(thandi, PipelinedSubmission());
  Request del = Make(RequestType::kDeleteJob, submitted[3].text, "sipho");
  EXPECT_EQ(Call(sipho, del).code, Code::kPermission);
  const auto root = Open("root");
  del.user = "sipho";  // root may act for any user, but sipho may not delete the job of thandi
  EXPECT_EQ(Call(root, del).code, Code::kPermission);
  del.user = "root";
  EXPECT_EQ(Call(root, del).code, Code::kNone);
  EXPECT_EQ(server->TakeWarnings(fixture.now).size(), 1u);
  // Only nodes may send obituaries.
  Request obit = Make(RequestType::kJobObit, submitted[3].text + "/1", "node");
  EXPECT_EQ(Call(sipho, obit).code, Code::kPermission);
}

TEST_F(PbsServerTest, AWaitIsRepliedToWithTheFinalAnswerAndBlocksLaterRequests) {
  const auto connection = Open();
  const auto submitted = Send(connection, PipelinedSubmission());
  const std::string id = submitted[3].text;
  Request wait = Make(RequestType::kStatusJob, id);
  wait.extension = "wait=answer";
  EXPECT_TRUE(Send(connection, Bytes(wait) + Bytes(Make(RequestType::kStatusServer))).empty());
  const auto prepare = *fixture.Last<job_manager::PrepareAttempt>();
  fixture.Take(job_manager::AttemptPrepared{prepare.attempt});
  fixture.Take(job_manager::AttemptCommitted{prepare.attempt});
  for (const auto& a : JobManagerFixture::Of<job_manager::JobAnswered>(fixture.last))
    server->HandleJobAnswered(fixture.now, a);
  const auto replies = Replies(connection);
  ASSERT_EQ(replies.size(), 2u);
  EXPECT_EQ(pbs_protocol::ValueOf(replies[0].objects[0].attributes, "answer"), "placed");
  EXPECT_EQ(replies[1].objects[0].type, pbs_protocol::ObjectType::kServer);
}

TEST_F(PbsServerTest, AWaitEndsAtItsDeadlineAndWithItsConnection) {
  const auto connection = Open();
  const std::string id = Send(connection, PipelinedSubmission())[3].text;
  Request wait = Make(RequestType::kStatusJob, id);
  wait.extension = "wait=end,seconds=2";
  EXPECT_TRUE(Send(connection, Bytes(wait)).empty());
  EXPECT_EQ(server->NextTimer(), fixture.now + 2 * kSecond);
  server->Tick(fixture.now + 2 * kSecond);
  const auto replies = Replies(connection);
  ASSERT_EQ(replies.size(), 1u);
  EXPECT_NE(pbs_protocol::ValueOf(replies[0].objects[0].attributes, "job_state"), "C");
  EXPECT_TRUE(Send(connection, Bytes(wait)).empty());
  server->Close(fixture.now, connection);
  EXPECT_EQ(server->NextTimer(), ~Micros{0});
}

TEST_F(PbsServerTest, MalformedInputIsRepliedToAndClosesTheConnection) {
  for (const std::string& bad : {std::string("GET / HTTP/1.1\r\n"), std::string("+2+12+77+0"),
                                 std::string("+2+1+1+0+0+0"
                                             "3+999"),
                                 std::string(64, '9')}) {
    const auto connection = Open();
    const auto replies = Send(connection, bad);
    ASSERT_EQ(replies.size(), 1u) << bad;
    EXPECT_TRUE(replies[0].code == Code::kProtocol || replies[0].code == Code::kUnknownRequest);
    EXPECT_TRUE(server->WantsClose(connection));
    EXPECT_EQ(server->TakeWarnings(fixture.now).size(), 1u);
    EXPECT_TRUE(Send(connection, PipelinedSubmission()).empty());  // nothing more is read
  }
}

TEST_F(PbsServerTest, RepliesNameTheAttributeThatIsOutOfBounds) {
  const auto connection = Open();
  const auto code_of = [&](const char* name, const char* value, const char* resource = "") {
    Request request = Make(RequestType::kQueueJob);
    request.destination = "safe";
    request.attributes = {{name, resource, value, pbs_protocol::Op::kSet}};
    const Reply reply = Call(connection, request);
    EXPECT_NE(reply.text.find(name), std::string::npos) << reply.text;
    return reply.code;
  };
  EXPECT_EQ(code_of("Resource_List", "99999999", "ncpus"), Code::kBadValue);
  EXPECT_EQ(code_of("Resource_List", "-1", "ncpus"), Code::kBadValue);
  EXPECT_EQ(code_of("Resource_List", "nan", "ncpus"), Code::kBadValue);
  EXPECT_EQ(code_of("Resource_List", "1zb", "mem"), Code::kBadValue);
  EXPECT_EQ(code_of("Resource_List", "1:2:3:4", "walltime"), Code::kBadValue);
  EXPECT_EQ(code_of("Resource_List", "1", "gpus"), Code::kNoAttribute);
  EXPECT_EQ(code_of("Execution_Time", "tomorrow"), Code::kBadValue);
  EXPECT_EQ(code_of("Hold_Types", "xyz"), Code::kBadValue);
  EXPECT_EQ(code_of("Priority", "1e9"), Code::kBadValue);
  EXPECT_EQ(code_of("Rerunable", "perhaps"), Code::kBadValue);
  EXPECT_EQ(code_of("job_state", "R"), Code::kReadOnly);
  EXPECT_EQ(code_of("Nonsense", "1"), Code::kNoAttribute);
  Request request = Queue("no-such-queue");
  EXPECT_EQ(Call(connection, request).code, Code::kUnknownQueue);
  EXPECT_EQ(JobCount(), 0u);
}

TEST_F(PbsServerTest, AScriptBeyondItsBoundDropsTheSubmission) {
  const auto connection = Open();
  const std::string id = Call(connection, Queue()).text;
  Request script = Make(RequestType::kJobScript, id);
  script.script = std::string(600, 'x');
  EXPECT_EQ(Call(connection, script).code, Code::kNone);
  EXPECT_EQ(Call(connection, script).code, Code::kBadValue);
  EXPECT_EQ(Call(connection, Make(RequestType::kCommit, id)).code, Code::kUnknownJob);
  EXPECT_EQ(Call(connection, Queue()).code, Code::kNone);     // the connection is still usable
  EXPECT_EQ(Call(connection, Queue()).code, Code::kTooMany);  // one submission in progress at most
}

TEST_F(PbsServerTest, JobsAreSelectedModifiedMovedAndReleased) {
  const auto connection = Open();
  Request held = Queue();
  held.attributes.push_back({"Hold_Types", "", "u", pbs_protocol::Op::kSet});
  const std::string id = Call(connection, held).text;
  Call(connection, Make(RequestType::kCommit, id));
  Request select = Make(RequestType::kSelectJobs);
  select.attributes = {{"job_state", "", "H", pbs_protocol::Op::kEq},
                       {"Resource_List", "ncpus", "2", pbs_protocol::Op::kGe}};
  EXPECT_EQ(Call(connection, select).ids, std::vector<std::string>{id});
  select.attributes[1].op = pbs_protocol::Op::kGt;
  EXPECT_TRUE(Call(connection, select).ids.empty());
  Request alter = Make(RequestType::kModifyJob, id);
  alter.command = 2;
  alter.attributes = {{"Resource_List", "mem", "3gb", pbs_protocol::Op::kSet},
                      {"Job_Name", "", "renamed", pbs_protocol::Op::kSet}};
  EXPECT_EQ(Call(connection, alter).code, Code::kNone);
  alter.attributes = {{"key", "", "other", pbs_protocol::Op::kSet}};
  EXPECT_EQ(Call(connection, alter).code, Code::kReadOnly);
  Request move = Make(RequestType::kMoveJob, id);
  move.destination = "unsafe";
  EXPECT_EQ(Call(connection, move).code, Code::kNone);
  const Reply status = Call(connection, Make(RequestType::kStatusJob, id));
  EXPECT_EQ(pbs_protocol::ValueOf(status.objects[0].attributes, "queue"), "unsafe");
  EXPECT_EQ(pbs_protocol::ValueOf(status.objects[0].attributes, "Resource_List", "mem"), "3gb");
  EXPECT_EQ(pbs_protocol::ValueOf(status.objects[0].attributes, "Job_Name"), "renamed");
  Request operator_hold = Make(RequestType::kHoldJob, id);
  operator_hold.attributes = {{"Hold_Types", "", "o", pbs_protocol::Op::kSet}};
  EXPECT_EQ(Call(connection, operator_hold).code, Code::kPermission);
  EXPECT_EQ(Call(connection, Make(RequestType::kRerunJob, id)).code, Code::kNotRunning);
  EXPECT_EQ(Call(connection, Make(RequestType::kStatusJob, "1.other")).code, Code::kUnknownJob);
  EXPECT_EQ(Call(connection, Make(RequestType::kStatusQueue)).objects.size(), 3u);
  EXPECT_EQ(Call(connection, Make(RequestType::kReleaseJob, id)).code, Code::kNone);
  EXPECT_EQ(fixture.All<job_manager::PrepareAttempt>().size(), 1u);
}

// ---- Admission ----

class PbsServerAdmissionTest : public PbsServerTest {
 protected:
  admission::AdmissionController admission_controller{admission::AdmissionOptions{}};
  void SetUp() override {
    PbsServerTest::SetUp();
    server->SetAdmission(&admission_controller);
  }
  // Simulates an event loop that is never idle and spends 5 ms on each job, so that 100 queued jobs take half
  // a second.
  void Saturate() {
    Micros at = fixture.now;
    for (int i = 0; i < 400; ++i) {
      for (int a = 0; a < 2; ++a) admission_controller.RecordAnswer();
      admission_controller.RecordLoopIteration(at, at + 10'000);
      at += 10'000;
    }
    fixture.now = at;
  }
  std::vector<Reply> Admit(std::uint64_t connection) {
    server->AdmitQueuedSubmissions(fixture.now);
    return Replies(connection);
  }
};

TEST_F(PbsServerAdmissionTest, ASubmissionIsQueuedUntilRequestsForOtherJobsAreHandled) {
  const auto a = Open(), b = Open();
  EXPECT_TRUE(Send(a, PipelinedSubmission()).empty());
  EXPECT_EQ(server->awaiting_admission(), 1u);
  EXPECT_EQ(Call(b, Make(RequestType::kStatusServer)).code, Code::kNone)
      << "requests of other connections are handled";
  const auto replies = Admit(a);
  ASSERT_EQ(replies.size(), 4u) << "the requests pipelined after it follow";
  EXPECT_EQ(replies[3].choice, pbs_protocol::Choice::kCommitted);
  EXPECT_EQ(fixture.job_manager.Count().queued, 1u);
}

TEST_F(PbsServerAdmissionTest, ASubmissionThatWouldWaitTooLongIsRejectedAtOnceWithARetryTime) {
  Saturate();
  std::vector<std::uint64_t> connections;
  std::size_t rejected = 0;
  std::int64_t last = 0;
  for (int i = 0; i < 300; ++i) {
    const auto connection = Open();
    server->Receive(fixture.now, connection, Bytes(Queue()));
    const auto replies = Replies(connection);
    if (replies.empty()) continue;  // queued
    ++rejected;
    EXPECT_NE(replies[0].code, Code::kNone);
    EXPECT_GE(replies[0].auxiliary, last) << "the retry times are spread";
    last = replies[0].auxiliary;
    EXPECT_NE(replies[0].text.find("ask again in " + std::to_string(last) + " ms"), std::string::npos);
  }
  EXPECT_GT(rejected, 150u);
  EXPECT_LT(server->awaiting_admission(), 150u);
  EXPECT_GT(server->awaiting_admission(), 50u);
  EXPECT_EQ(fixture.job_manager.Count().queued, 0u) << "the job manager saw none of them";
}

TEST_F(PbsServerAdmissionTest, ASubmissionThatWasQueuedForTooLongIsRejectedAtTheHeadOfTheQueue) {
  const auto a = Open();
  server->Receive(fixture.now, a, Bytes(Queue()));
  fixture.now += 700'000;
  const auto replies = Admit(a);
  ASSERT_EQ(replies.size(), 1u);
  EXPECT_NE(replies[0].code, Code::kNone);
  EXPECT_GT(replies[0].auxiliary, 0);
}

TEST_F(PbsServerAdmissionTest, ASubmissionBeyondItsClientsDeadlineIsRejectedWithoutARetryTime) {
  const auto a = Open();
  Request request = Queue();
  request.attributes.push_back(
      {"owner_deadline", "", std::to_string(fixture.now - 1), pbs_protocol::Op::kSet});
  const auto replies = Send(a, Bytes(request));
  ASSERT_EQ(replies.size(), 1u);
  EXPECT_EQ(replies[0].auxiliary, 0);
  EXPECT_NE(replies[0].text.find("owner's time was over"), std::string::npos);
}

TEST_F(PbsServerAdmissionTest, TheTimeInTheQueueCountsFromTheArrivalOfTheBytes) {
  const auto a = Open();
  server->Receive(fixture.now, a, Bytes(Queue()), fixture.now - 600'000);
  EXPECT_EQ(Replies(a).size(), 1u) << "read late: rejected at once";
  server->Receive(fixture.now, a, Bytes(Queue()), fixture.now);
  EXPECT_TRUE(Replies(a).empty()) << "the bytes of the next request arrived now";
}

TEST_F(PbsServerAdmissionTest, AConnectionClosedWhileQueuedLeavesNoJob) {
  const auto a = Open(), b = Open();
  server->Receive(fixture.now, a, PipelinedSubmission());
  server->Receive(fixture.now, b, PipelinedSubmission());
  server->Close(fixture.now, a);
  EXPECT_EQ(Admit(b).size(), 4u);
  EXPECT_EQ(fixture.job_manager.Count().queued, 1u);
  EXPECT_FALSE(server->AdmitQueuedSubmissions(fixture.now));
}

}  // namespace
}  // namespace mountflow::testing
