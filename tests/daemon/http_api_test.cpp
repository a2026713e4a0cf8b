// Tests the HTTP API with a job manager and without sockets: the handler that a request reaches, and the
// problem that an invalid request receives. wire_golden_test compares complete replies byte by byte.
#include "daemon/http_api.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <string>

#include "tests/support/job_manager_fixture.hpp"

namespace mountflow::testing {
namespace {

class HttpApiTest : public ::testing::Test {
 protected:
  HttpApiTest() : http_api_(&fixture_.job_manager, &options_, nullptr) {
    options_.vocabulary.queues = fixture_.job_manager.options().classes;
    fixture_.List({JobManagerFixture::Node("a")});
    fixture_.ReconcileAll();
  }

  struct Reply {
    int status = 0;
    std::string head;
    nlohmann::json body;
    bool reports_stored_state = true;

    [[nodiscard]] std::string Detail() const { return body.value("detail", ""); }
    [[nodiscard]] bool HeadHas(const std::string& text) const { return head.find(text) != std::string::npos; }
  };

  Reply Call(const std::string& method, const std::string& path, const std::string& body = "",
             const std::string& user = "thandi") {
    http::Message request;
    request.method = method;
    request.path = path;
    request.body = body;
    request.query = query_;
    pbs_server::Peer peer;
    peer.user = user;
    const daemon::HttpResponse response = http_api_.Handle(fixture_.now, request, peer, fixture_.now);
    fixture_.Collect();
    const std::size_t end_of_head = response.bytes.find("\r\n\r\n");
    Reply reply;
    reply.head = response.bytes.substr(0, end_of_head);
    reply.status = std::stoi(reply.head.substr(reply.head.find(' ') + 1));
    reply.body = nlohmann::json::parse(response.bytes.substr(end_of_head + 4));
    reply.reports_stored_state = response.reports_stored_state;
    return reply;
  }

  std::string SubmitHeldJob() {
    const Reply reply = Call("POST", "/v1/jobs", R"({"script": "true", "queue": "safe", "hold": "u"})");
    EXPECT_EQ(reply.status, 201) << reply.body;
    return reply.body.value("id", "");
  }

  JobManagerFixture fixture_;
  pbs_server::PbsServerOptions options_;
  daemon::HttpApi http_api_;
  std::map<std::string, std::string> query_;
};

TEST_F(HttpApiTest, UnknownPathIsNotFound) {
  for (const char* path : {"/", "/v1", "/v1/status/", "/v1/nodes/a", "/v1/jobsx", "/v2/jobs"}) {
    const Reply reply = Call("GET", path);
    EXPECT_EQ(reply.status, 404) << path;
    EXPECT_EQ(reply.Detail(), "no such path") << path;
    EXPECT_TRUE(reply.HeadHas("application/problem+json")) << path;
  }
}

// Nodes find a key only under the user that they store it with, whichever port the job came from.
TEST_F(HttpApiTest, ARepeatIsSearchedForUnderTheUserOfItsConnection) {
  for (const std::string user : {"thandi", "sipho"}) {
    const std::string body = R"({"script": "true", "queue": "keyed", "key": "k", "repeat": true})";
    EXPECT_EQ(Call("POST", "/v1/jobs", body, user).status, 201);
    const auto search = fixture_.Last<job_manager::FindKey>();
    ASSERT_TRUE(search.has_value());
    EXPECT_EQ(search->user, user);
    EXPECT_EQ(search->key, "k");
  }
  EXPECT_TRUE(fixture_.All<job_manager::PrepareAttempt>().empty());
}

TEST_F(HttpApiTest, MethodThatACollectionDoesNotHaveIsNotFound) {
  EXPECT_EQ(Call("POST", "/v1/status").status, 404);
  EXPECT_EQ(Call("DELETE", "/v1/nodes").status, 404);
  EXPECT_EQ(Call("PUT", "/v1/jobs").status, 404);
}

TEST_F(HttpApiTest, MethodOrCommandThatAJobDoesNotHaveIsNotAllowed) {
  const std::string job = "/v1/jobs/" + SubmitHeldJob();
  EXPECT_EQ(Call("PUT", job).status, 405);
  EXPECT_EQ(Call("POST", job).status, 405);
  EXPECT_EQ(Call("DELETE", job + "/hold").status, 405);
  const Reply reply = Call("POST", job + "/suspend");
  EXPECT_EQ(reply.status, 405);
  EXPECT_EQ(reply.Detail(), "expected DELETE, or POST of hold, release or rerun");
}

TEST_F(HttpApiTest, UnknownJobIdIsNotFound) {
  const Reply read = Call("GET", "/v1/jobs/77.d0");
  EXPECT_EQ(read.status, 404);
  EXPECT_EQ(read.Detail(), "no job 77.d0");
  EXPECT_EQ(Call("GET", "/v1/jobs/").Detail(), "no job ");
  EXPECT_EQ(Call("GET", "/v1/jobs/abc/hold").Detail(), "no job abc/hold");
  EXPECT_EQ(Call("DELETE", "/v1/jobs/abc").status, 404);
  EXPECT_EQ(Call("POST", "/v1/jobs/77.other/rerun").status, 404);
}

TEST_F(HttpApiTest, ChangesNeedAKnownUserAndReadingDoesNot) {
  const std::string id = SubmitHeldJob();
  EXPECT_EQ(Call("GET", "/v1/jobs/" + id, "", "").status, 200);
  for (const auto& [method, path] : {std::pair<std::string, std::string>("POST", "/v1/jobs"),
                                     {"DELETE", "/v1/jobs/" + id},
                                     {"POST", "/v1/jobs/" + id + "/release"},
                                     {"PUT", "/v1/jobs/" + id}}) {
    const Reply reply = Call(method, path, "{}", "");
    EXPECT_EQ(reply.status, 403) << method << " " << path;
    EXPECT_EQ(reply.Detail(), "who you are cannot be told from this connection");
  }
}

TEST_F(HttpApiTest, CommandsOfAnotherUserAreForbiddenUnlessAManager) {
  const std::string path = "/v1/jobs/" + SubmitHeldJob();
  EXPECT_EQ(Call("POST", path + "/release", "", "sipho").status, 403);
  EXPECT_EQ(Call("DELETE", path, "", "root").status, 200);
}

TEST_F(HttpApiTest, TrailingSlashDeletesToo) {
  EXPECT_EQ(Call("DELETE", "/v1/jobs/" + SubmitHeldJob() + "/").status, 200);
}

TEST_F(HttpApiTest, HoldAndReleaseShowTheJobsNewState) {
  const std::string path = "/v1/jobs/" + SubmitHeldJob();
  EXPECT_EQ(Call("GET", path).body["job_state"], "H");
  const Reply released = Call("POST", path + "/release");
  EXPECT_EQ(released.status, 200) << released.body;
  EXPECT_NE(released.body["job_state"], "H");
}

TEST_F(HttpApiTest, SubmissionMustBeAnObjectOfKnownMembers) {
  EXPECT_EQ(Call("POST", "/v1/jobs", "[]").Detail(), "expected a JSON object");
  EXPECT_EQ(Call("POST", "/v1/jobs", "{").Detail(), "expected a JSON object");
  EXPECT_EQ(Call("POST", "/v1/jobs", R"({"colour": 1})").Detail(), "/colour: unknown member");
  const Reply reply = Call("POST", "/v1/jobs", R"({"name": [1]})");
  EXPECT_EQ(reply.status, 400);
  EXPECT_EQ(reply.Detail(), "/name: expected a string, a number, true or false");
}

TEST_F(HttpApiTest, ScriptBeyondTheBoundIsTooLarge) {
  options_.max_script_bytes = 3;
  const Reply reply = Call("POST", "/v1/jobs", R"({"script": "true", "queue": "safe"})");
  EXPECT_EQ(reply.status, 413);
  EXPECT_EQ(reply.Detail(), "/script: expected at most 3 bytes");
  EXPECT_TRUE(reply.reports_stored_state);
}

TEST_F(HttpApiTest, SubmissionDuringShutdownReportsNoStoredState) {
  fixture_.job_manager.StopAccepting();
  const Reply reply = Call("POST", "/v1/jobs", R"({"script": "true", "queue": "safe"})");
  EXPECT_EQ(reply.status, 503);
  EXPECT_FALSE(reply.reports_stored_state);
}

TEST_F(HttpApiTest, AdmissionRejectsWithRetryAfterInWholeSeconds) {
  admission::AdmissionOptions options;
  options.max_wait = 1;
  options.initial_cost_per_job = 10'000'000;
  admission::AdmissionController admission(options);
  http_api_.SetAdmission(&admission);
  admission.SetStorageBacklogAge(1'000'000);
  const Reply reply = Call("POST", "/v1/jobs", R"({"script": "true", "queue": "safe"})");
  EXPECT_EQ(reply.status, 503);
  EXPECT_FALSE(reply.reports_stored_state);
  EXPECT_TRUE(Call("GET", "/v1/jobs").body["jobs"].empty());
}

TEST_F(HttpApiTest, ListIsPagedAndNamesTheNextJob) {
  const std::string first = SubmitHeldJob();
  const std::string second = SubmitHeldJob();
  query_ = {{"limit", "1"}};
  const Reply page = Call("GET", "/v1/jobs");
  ASSERT_EQ(page.body["jobs"].size(), 1u);
  EXPECT_EQ(page.body["jobs"][0]["id"], first);
  EXPECT_EQ(page.body["next"], second);
  query_ = {{"from", second}};
  const Reply rest = Call("GET", "/v1/jobs");
  ASSERT_EQ(rest.body["jobs"].size(), 1u);
  EXPECT_EQ(rest.body["jobs"][0]["id"], second);
  EXPECT_FALSE(rest.body.contains("next"));
}

TEST_F(HttpApiTest, ListFiltersByStateAndQueue) {
  SubmitHeldJob();
  query_ = {{"state", "H"}};
  EXPECT_EQ(Call("GET", "/v1/jobs").body["jobs"].size(), 1u);
  query_ = {{"state", "QR"}};
  EXPECT_EQ(Call("GET", "/v1/jobs").body["jobs"].size(), 0u);
  query_ = {{"queue", "safe"}};
  EXPECT_EQ(Call("GET", "/v1/jobs").body["jobs"].size(), 1u);
  query_ = {{"queue", "keyed"}};
  EXPECT_EQ(Call("GET", "/v1/jobs").body["jobs"].size(), 0u);
}

TEST_F(HttpApiTest, ListOmitsCompleteJobsUnlessRequested) {
  EXPECT_EQ(Call("DELETE", "/v1/jobs/" + SubmitHeldJob()).status, 200);
  EXPECT_EQ(Call("GET", "/v1/jobs").body["jobs"].size(), 0u);
  query_ = {{"history", "true"}};
  EXPECT_EQ(Call("GET", "/v1/jobs").body["jobs"].size(), 1u);
  query_ = {{"state", "C"}};
  EXPECT_EQ(Call("GET", "/v1/jobs").body["jobs"].size(), 1u);
}

TEST_F(HttpApiTest, ListChecksItsParameters) {
  for (const char* limit : {"0", "1001", "many", ""}) {
    query_ = {{"limit", limit}};
    const Reply reply = Call("GET", "/v1/jobs");
    EXPECT_EQ(reply.status, 400) << limit;
    EXPECT_EQ(reply.Detail(), "limit: expected 1 to 1000") << limit;
  }
  query_ = {{"from", "here"}};
  EXPECT_EQ(Call("GET", "/v1/jobs").Detail(), "from: expected a job id");
}

TEST_F(HttpApiTest, LedgerPathsExistOnlyWithABook) {
  EXPECT_EQ(Call("GET", "/v1/use").status, 404);
  EXPECT_EQ(Call("GET", "/v1/use/2026-01").status, 404);
  const ledger::Book book{ledger::BillingRules{}};
  http_api_.SetBook(&book);
  EXPECT_EQ(Call("GET", "/v1/use").body, nlohmann::json::parse(R"({"postings": 0, "periods": []})"));
  EXPECT_EQ(Call("GET", "/v1/use/2026-01").body, nlohmann::json::array());
  EXPECT_EQ(Call("POST", "/v1/use").status, 404);
}

TEST_F(HttpApiTest, NodesAreListed) {
  const Reply reply = Call("GET", "/v1/nodes");
  ASSERT_EQ(reply.body.size(), 1u);
  EXPECT_EQ(reply.body[0]["name"], "a");
  EXPECT_EQ(reply.body[0]["state"], "ready");
}

}  // namespace
}  // namespace mountflow::testing
