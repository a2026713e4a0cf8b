// Regression test of everything that the PBS server sends to clients and returns to its caller. The server
// handles random requests from seeded runs and grids of attributes, and the test compares digests of the
// results with recorded ones. A refactoring must not change the digests. A commit that changes them on
// purpose records new ones and gives the reason.
#include <gtest/gtest.h>

#include <array>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "admission/admission.hpp"
#include "pbs_protocol/protocol.hpp"
#include "pbs_server/pbs_server.hpp"
#include "tests/support/digest.hpp"
#include "tests/support/job_manager_fixture.hpp"

namespace mountflow::testing {
namespace {

using namespace job_manager;
using pbs_protocol::Attribute;
using pbs_protocol::Attributes;
using pbs_protocol::Op;
using pbs_protocol::Reply;
using pbs_protocol::Request;
using pbs_protocol::RequestType;

constexpr std::array kRequestTypes = {
    RequestType::kConnect,   RequestType::kQueueJob,   RequestType::kJobScript,   RequestType::kReadyToCommit,
    RequestType::kCommit,    RequestType::kDeleteJob,  RequestType::kHoldJob,     RequestType::kModifyJob,
    RequestType::kMoveJob,   RequestType::kReleaseJob, RequestType::kRerunJob,    RequestType::kSelectJobs,
    RequestType::kSignalJob, RequestType::kStatusJob,  RequestType::kStatusQueue, RequestType::kStatusServer,
    RequestType::kJobObit,   RequestType::kDisconnect};

constexpr std::array kOperators = {Op::kSet, Op::kUnset, Op::kIncr, Op::kDecr, Op::kEq,
                                   Op::kNe,  Op::kGe,    Op::kGt,   Op::kLe,   Op::kLt};

// An attribute with valid and invalid values.
struct AttributeSample {
  const char* name;
  const char* resource;
  std::vector<std::string> values;
};

const std::vector<AttributeSample>& AttributeSamples() {
  static const std::vector<AttributeSample> kSamples = {
      {"Job_Name", "", {"recount", "", std::string(236, 'n'), std::string(237, 'n')}},
      {"Resource_List", "ncpus", {"1", "2.5", "0", "-1", "4096", "4097", "nan", "two", "", "1e400"}},
      {"Resource_List",
       "mem",
       {"512mb", "2GB", "1.5gb", "4096", "1tb", "0", "1zb", "", "gb", "1e18", "9999999tb"}},
      {"Resource_List",
       "walltime",
       {"0", "90", "1:30", "01:02:03", "1.5", "00:00:00.25", "1:2:3:4", "-5", "", "1e300"}},
      {"Resource_List", "gpus", {"1"}},
      {"Account_Name", "", {"maths", "physics", "nobody", ""}},
      {"Priority", "", {"0", "-1024", "1024", "1025", "1.5", "high", "1e3"}},
      {"Rerunable", "", {"y", "n", "True", "False", "true", "false", "1", "0", "perhaps", ""}},
      {"Hold_Types", "", {"u", "uos", "n", "", "x", "un"}},
      {"Execution_Time", "", {"1000010", "0", "32503680000", "32503680001", "tomorrow", "-1"}},
      {"service", "", {"stock", ""}},
      {"key", "", {"k", "", std::string(255, 'k'), std::string(256, 'k')}},
      {"repeat", "", {"true", "false", "maybe"}},
      {"owner_deadline", "", {"1000100000000", "0", "1.5", ""}},
      {"earlier_until", "", {"1000001000000", "soon"}},
      {"owner_time", "", {"00:00:05", "2.5", "0", "long"}},
      {"Variable_List", "", {"A=1,B=2", ""}},
      {"Output_Path", "", {"/out"}},
      {"Error_Path", "", {"/err"}},
      {"Join_Path", "", {"oe"}},
      {"Shell_Path_List", "", {"/bin/sh"}},
      {"Mail_Points", "", {"a"}},
      {"Mail_Users", "", {"thandi"}},
      {"Keep_Files", "", {"n"}},
      {"Checkpoint", "", {"n"}},
      {"umask", "", {"077"}},
      {"block", "", {"true"}},
      {"life", "", {"5"}},
      {"Executable", "", {"x"}},
      {"job_state", "", {"R"}},
      {"exec_host", "", {"a/0"}},
      {"comment", "", {"none"}},
      {"ctime", "", {"1"}},
      {"mtime", "", {"1"}},
      {"qtime", "", {"1"}},
      {"etime", "", {"1"}},
      {"stime", "", {"1"}},
      {"server", "", {"d0"}},
      {"exit_status", "", {"0"}},
      {"Job_Owner", "", {"thandi"}},
      {"answer", "", {"placed"}},
      {"run_count", "", {"1"}},
      {"queue", "", {"safe"}},
      {"Nonsense", "", {"1"}},
      {"", "", {"1"}},
  };
  return kSamples;
}

pbs_server::PbsServerOptions ServerOptions() {
  pbs_server::PbsServerOptions options;
  options.vocabulary.queues = {"keyed", "safe", "unsafe"};
  options.vocabulary.default_queue = "safe";
  options.max_script_bytes = 1000;
  options.max_unread_reply_bytes = 6000;
  options.managers = {"root"};
  options.max_wait = 3 * kSecond;
  return options;
}

std::string Bytes(const Request& request) {
  std::string bytes;
  pbs_protocol::Encode(request, &bytes);
  return bytes;
}

Request MakeRequest(RequestType type, const std::string& id = "", const std::string& user = "thandi") {
  Request request;
  request.type = type;
  request.user = user;
  request.id = id;
  return request;
}

// A server with a job manager whose simulated nodes answer at random.
class DrivenServer {
 public:
  DrivenServer(std::uint64_t seed, pbs_server::PbsServerOptions options)
      : fixture_(Options(), seed), random_(seed), server_(&fixture_.job_manager, std::move(options)) {
    fixture_.List({JobManagerFixture::Node("a"), JobManagerFixture::Node("b")});
    fixture_.ReconcileAll();
    fixture_.Clear();
  }

  void Open(std::uint64_t connection, const std::string& user, bool local) {
    pbs_server::Peer peer;
    peer.address = "peer-" + std::to_string(connection % 3);
    peer.user = user;
    peer.local = local;
    server_.Open(connection, peer);
  }

  void Receive(std::uint64_t connection, std::string_view bytes, Micros delay = 0) {
    server_.Receive(fixture_.now, connection, bytes, fixture_.now - delay);
    HandleOutputs();
  }

  // Passes the job manager's outputs to the server and to the nodes. A node answers at once or never.
  void HandleOutputs() {
    for (int round = 0; round < 20; ++round) {
      fixture_.Collect();
      fixture_.Clear();
      if (fixture_.last.empty()) return;
      const std::vector<Output> outputs = std::exchange(fixture_.last, {});
      for (const Output& output : outputs) {
        if (const auto* answered = std::get_if<JobAnswered>(&output))
          server_.HandleJobAnswered(fixture_.now, *answered);
        if (const auto* completed = std::get_if<JobCompleted>(&output))
          server_.HandleJobCompleted(fixture_.now, *completed);
      }
      for (const Output& output : outputs) AnswerAsNode(output);
    }
  }

  // Returns the replies sent on the connection since the last call. Adds them and the state of the connection
  // to the digest.
  std::vector<Reply> TakeReplies(std::uint64_t connection) {
    digest.Add(connection);
    digest.Add(server_.WantsClose(connection));
    digest.Add(server_.WantsRead(connection));
    digest.Add(server_.IsIndependentOfJobState(connection));
    std::vector<Reply> replies;
    std::string* output = server_.OutputOf(connection);
    if (output == nullptr) return replies;
    digest.Add(*output);
    bytes_out += output->size();
    Reply reply;
    for (std::string_view rest = *output; !rest.empty();) {
      const pbs_protocol::DecodeResult decoded = pbs_protocol::Decode(rest, &reply);
      if (decoded.state != pbs_protocol::DisState::kOk) break;
      rest.remove_prefix(decoded.used);
      ++codes[reply.code];
      ++choices[reply.choice];
      replies.push_back(reply);
    }
    output->clear();
    return replies;
  }

  // Adds the state of the server to the digest.
  void AddServerState() {
    for (const std::uint64_t connection : server_.TakeConnectionsWithOutput()) digest.Add(connection);
    for (const std::string& line : server_.TakeWarnings(fixture_.now)) {
      digest.Add(line);
      ++warnings;
    }
    digest.Add(server_.NextTimer());
    digest.Add(server_.awaiting_admission());
    digest.Add(server_.connections());
  }

  std::uint64_t Draw(std::uint64_t below) { return random_() % below; }
  bool Chance(unsigned percent) { return Draw(100) < percent; }
  JobManagerFixture& fixture() { return fixture_; }
  pbs_server::PbsServer& server() { return server_; }
  const std::vector<AttemptId>& running() const { return running_; }

  Digest digest;
  std::map<pbs_protocol::Code, std::size_t> codes;
  std::map<pbs_protocol::Choice, std::size_t> choices;
  std::size_t bytes_out = 0;
  std::size_t warnings = 0;

 private:
  void AnswerAsNode(const Output& output) {
    JobManager& job_manager = fixture_.job_manager;
    const Micros now = fixture_.now;
    if (const auto* prepare = std::get_if<PrepareAttempt>(&output)) {
      if (Chance(70))
        job_manager.HandleNodeMessage(now, AttemptPrepared{prepare->attempt});
      else if (Chance(50))
        job_manager.HandleNodeMessage(now, AttemptRejected{prepare->attempt, {}, "full", {}, false});
    } else if (const auto* commit = std::get_if<CommitAttempt>(&output)) {
      if (!Chance(85)) return;
      job_manager.HandleNodeMessage(now, AttemptCommitted{commit->attempt});
      running_.push_back(commit->attempt);
    } else if (const auto* stop = std::get_if<StopAttempt>(&output)) {
      job_manager.HandleNodeMessage(now, StopAnswered{stop->attempt, true});
    } else if (const auto* query = std::get_if<QueryAttempt>(&output)) {
      job_manager.HandleNodeMessage(now, QueryAnswered{query->attempt, Chance(50), 0});
    }
  }

  JobManagerFixture fixture_;
  std::mt19937_64 random_;
  pbs_server::PbsServer server_;
  std::vector<AttemptId> running_;
};

// A random run in which clients send requests of all types, whole or in pieces, read replies late, close
// connections, and use wrong job ids and users.
class DrawnRun {
 public:
  DrawnRun(std::uint64_t seed, pbs_server::PbsServerOptions options) : driven(seed, std::move(options)) {
    if (seed % 2 == 0) driven.server().SetAdmission(&admission_);
  }

  void Run(int steps) {
    for (int step = 0; step < steps; ++step) {
      DrawStep();
      if (driven.Chance(70)) {
        driven.digest.Add(driven.server().AdmitQueuedSubmissions(driven.fixture().now));
        driven.HandleOutputs();
      }
      if (driven.Chance(30)) AdvanceTime(driven.Draw(400 * kMs));
      for (auto& [connection, user] : users_) ReadOutput(connection);
      driven.AddServerState();
    }
  }

  DrivenServer driven;
  std::map<RequestType, std::size_t> sent;

 private:
  void ReadOutput(std::uint64_t connection) {
    if (driven.Chance(20)) return;
    for (const Reply& reply : driven.TakeReplies(connection)) {
      if (reply.choice == pbs_protocol::Choice::kQueued || reply.choice == pbs_protocol::Choice::kCommitted)
        ids_.push_back(reply.text);
    }
    driven.digest.Add(driven.server().Resume(driven.fixture().now, connection));
    driven.HandleOutputs();
  }

  void AdvanceTime(Micros by) {
    driven.fixture().Run(driven.fixture().now + by);
    // Run() has collected the outputs that the timers caused; moves them back to where HandleOutputs expects
    // them.
    driven.fixture().job_manager.outputs() = std::exchange(driven.fixture().all, {});
    driven.HandleOutputs();
    driven.server().Tick(driven.fixture().now);
    driven.HandleOutputs();
  }

  void DrawStep() {
    if (users_.size() < 3 || (users_.size() < 8 && driven.Chance(10))) {
      static const char* const kUsers[] = {"", "", "thandi", "sipho", "root"};
      const std::string user = kUsers[driven.Draw(std::size(kUsers))];
      users_[++last_connection_] = user;
      driven.Open(last_connection_, user, driven.Chance(50));
      return;
    }
    auto drawn = users_.begin();
    std::advance(drawn, driven.Draw(users_.size()));
    const std::uint64_t connection = drawn->first;
    if (driven.Chance(2) || (driven.server().WantsClose(connection) && driven.Chance(70))) {
      driven.TakeReplies(connection);
      driven.server().Close(driven.fixture().now, connection);
      users_.erase(drawn);
      unsent_.erase(connection);
      return;
    }
    if (driven.Chance(3)) SaturateEventLoop();
    std::string bytes = std::exchange(unsent_[connection], {});
    if (bytes.empty()) bytes = DrawInput(drawn->second);
    SendInPieces(connection, bytes);
  }

  void SaturateEventLoop() {
    Micros at = driven.fixture().now;
    for (int iteration = 0; iteration < 60; ++iteration) {
      admission_.RecordAnswer();
      admission_.RecordLoopIteration(at, at + 10'000);
      at += 10'000;
    }
    AdvanceTime(at - driven.fixture().now);
    admission_.SetStorageBacklogAge(driven.Chance(20) ? kSecond : 0);
  }

  void SendInPieces(std::uint64_t connection, std::string_view bytes) {
    const Micros delay = driven.Chance(10) ? driven.Draw(800 * kMs) : 0;
    while (!bytes.empty()) {
      const std::size_t size = driven.Chance(50) ? bytes.size() : 1 + driven.Draw(bytes.size());
      driven.Receive(connection, bytes.substr(0, size), delay);
      bytes.remove_prefix(size);
      if (!bytes.empty() && driven.Chance(10)) {
        unsent_[connection] = bytes;
        return;
      }
    }
  }

  std::string DrawInput(const std::string& user) {
    const std::string claimed = driven.Chance(90) && !user.empty() ? user
                                : driven.Chance(70)                ? "thandi"
                                                                   : "sipho@far";
    if (driven.Chance(2)) return "GET / HTTP/1.1\r\n";
    if (driven.Chance(1)) return "+2+12+77+0";
    std::string bytes;
    if (driven.Chance(25)) {
      for (const RequestType type : {RequestType::kQueueJob, RequestType::kJobScript,
                                     RequestType::kReadyToCommit, RequestType::kCommit}) {
        bytes += Bytes(DrawRequest(type, claimed, ""));
      }
      return bytes;
    }
    for (std::uint64_t count = 1 + driven.Draw(3); count > 0; --count) {
      const RequestType type = kRequestTypes[driven.Draw(kRequestTypes.size() - (driven.Chance(90) ? 1 : 0))];
      bytes += Bytes(DrawRequest(type, claimed, DrawId()));
    }
    return bytes;
  }

  std::string DrawId() {
    if (driven.Chance(5)) return "";
    if (driven.Chance(5)) return "12.other";
    if (driven.Chance(5)) return "no job";
    if (ids_.empty()) return "1.d0";
    const std::size_t recent = std::min<std::size_t>(ids_.size(), 12);
    return ids_[ids_.size() - 1 - driven.Draw(recent)];
  }

  Request DrawRequest(RequestType type, const std::string& user, const std::string& id) {
    static const char* const kQueues[] = {"safe", "keyed", "unsafe", "", "@d0", "safe@d0", "none"};
    ++sent[type];
    Request request = MakeRequest(type, id, user);
    switch (type) {
      case RequestType::kQueueJob:
        request.id = driven.Chance(90) ? "" : id;
        request.destination = kQueues[driven.Draw(driven.Chance(80) ? 3 : std::size(kQueues))];
        request.attributes = DrawAttributes(driven.Chance(80) ? 0 : 3);
        if (driven.Chance(20))
          request.attributes.push_back({"key", "", "k" + std::to_string(driven.Draw(5)), Op::kSet});
        if (driven.Chance(20)) {
          const Micros deadline = driven.fixture().now + driven.Draw(2 * kSecond) - kSecond / 2;
          request.attributes.push_back({"owner_deadline", "", std::to_string(deadline), Op::kSet});
        }
        break;
      case RequestType::kJobScript:
        request.script = std::string(driven.Draw(driven.Chance(90) ? 100 : 1500), 's');
        break;
      case RequestType::kHoldJob:
      case RequestType::kReleaseJob: {
        static const char* const kTypes[] = {"", "u", "n", "o", "us", "x"};
        request.attributes = {{"Hold_Types", "", kTypes[driven.Draw(std::size(kTypes))], Op::kSet}};
        break;
      }
      case RequestType::kModifyJob:
        request.command = 2;
        request.attributes = DrawAttributes(2);
        break;
      case RequestType::kMoveJob:
        request.destination = kQueues[driven.Draw(std::size(kQueues))];
        break;
      case RequestType::kSelectJobs:
        request.attributes = DrawAttributes(2);
        for (Attribute& attribute : request.attributes)
          attribute.op = kOperators[driven.Draw(kOperators.size())];
        break;
      case RequestType::kSignalJob:
        request.signal = driven.Chance(50) ? "SIGTERM" : "SIGUSR1";
        break;
      case RequestType::kStatusJob: {
        static const char* const kExtensions[] = {"",
                                                  "x",
                                                  "wait=answer",
                                                  "wait=end",
                                                  "wait=answer,seconds=1",
                                                  "wait=end,seconds=0.2",
                                                  "wait=end,seconds=x"};
        request.extension = kExtensions[driven.Draw(std::size(kExtensions))];
        if (driven.Chance(10)) request.id = kQueues[driven.Draw(4)];
        if (driven.Chance(10)) request.attributes = DrawAttributes(2);
        break;
      }
      case RequestType::kStatusQueue:
        request.id = kQueues[driven.Draw(std::size(kQueues))];
        break;
      case RequestType::kJobObit:
        DrawObit(&request);
        break;
      default:
        break;
    }
    return request;
  }

  void DrawObit(Request* request) {
    static const char* const kReasons[] = {"exited",    "killed", "evicted", "pushed_out",
                                           "sent_away", "error",  "lost",    "?"};
    if (!driven.running().empty() && driven.Chance(90)) {
      const std::size_t recent = std::min<std::size_t>(driven.running().size(), 6);
      request->id = driven.fixture().job_manager.AttemptName(
          driven.running()[driven.running().size() - 1 - driven.Draw(recent)]);
      if (driven.Chance(5)) request->id = "7.other/1";
    }
    request->user = "node";
    request->status = static_cast<std::int64_t>(driven.Draw(3)) - 1;
    request->attributes = {{"end_reason", "", kReasons[driven.Draw(std::size(kReasons))], Op::kSet},
                           {"comment", "", "over", Op::kSet},
                           {"start", "", "1000000000000", Op::kSet},
                           {"end", "", driven.Chance(80) ? "1000000500000" : "late", Op::kSet},
                           {"load", "", "x0=3 x1=7.5 queue=1 util=0.5", Op::kSet}};
  }

  Attributes DrawAttributes(std::uint64_t most) {
    Attributes attributes;
    for (std::uint64_t count = most == 0 ? 0 : driven.Draw(most + 1); count > 0; --count) {
      const AttributeSample& sample = AttributeSamples()[driven.Draw(AttributeSamples().size())];
      const std::string& value = sample.values[driven.Draw(sample.values.size())];
      attributes.push_back({sample.name, sample.resource, value, Op::kSet});
    }
    return attributes;
  }

  admission::AdmissionController admission_{admission::AdmissionOptions{}};
  std::map<std::uint64_t, std::string> users_;  // users of open connections, by connection id
  std::map<std::uint64_t, std::string> unsent_;
  std::vector<std::string> ids_;
  std::uint64_t last_connection_ = 0;
};

TEST(PbsServerBytesTest, SendsTheRecordedBytesOverDrawnRuns) {
  static constexpr std::array<std::uint64_t, 6> kExpected = {4451429635639895607u,  17324193767536495007u,
                                                             7792019831239004934u,  6110668657492533373u,
                                                             15876186495861506204u, 10622380252438541088u};
  std::map<RequestType, std::size_t> sent;
  std::map<pbs_protocol::Code, std::size_t> codes;
  std::map<pbs_protocol::Choice, std::size_t> choices;
  for (std::uint64_t seed = 1; seed <= kExpected.size(); ++seed) {
    pbs_server::PbsServerOptions options = ServerOptions();
    if (seed % 3 == 0) options.vocabulary.tenants = {"maths", "physics"};
    if (seed % 3 == 1) options.vocabulary.default_queue = "";
    DrawnRun run(seed, options);
    run.Run(1500);
    EXPECT_EQ(run.driven.digest.Value(), kExpected[seed - 1]) << "seed " << seed;
    EXPECT_GT(run.driven.bytes_out, 100'000u);
    EXPECT_GT(run.driven.warnings, 10u);
    for (const auto& [type, count] : run.sent) sent[type] += count;
    for (const auto& [code, count] : run.driven.codes) codes[code] += count;
    for (const auto& [choice, count] : run.driven.choices) choices[choice] += count;
  }
  for (const RequestType type : kRequestTypes) EXPECT_GT(sent[type], 50u) << static_cast<unsigned>(type);
  using pbs_protocol::Code;
  for (const Code code :
       {Code::kNone, Code::kUnknownJob, Code::kNoAttribute, Code::kReadOnly, Code::kUnknownRequest,
        Code::kTooMany, Code::kPermission, Code::kExists, Code::kBadValue, Code::kNotRunning, Code::kBadState,
        Code::kUnknownQueue, Code::kProtocol}) {
    EXPECT_GT(codes[code], 0u) << static_cast<int>(code);
  }
  using pbs_protocol::Choice;
  for (const Choice choice : {Choice::kNull, Choice::kQueued, Choice::kReady, Choice::kCommitted,
                              Choice::kSelected, Choice::kStatus, Choice::kText}) {
    EXPECT_GT(choices[choice], 0u) << static_cast<unsigned>(choice);
  }
}

// Sends every attribute with every sample value in a submission and in an alteration of a held job, and
// requests the status of both jobs.
TEST(PbsServerBytesTest, SendsTheRecordedBytesForEveryAttribute) {
  static constexpr std::uint64_t kExpected = 10774787783937152815u;
  pbs_server::PbsServerOptions options = ServerOptions();
  options.vocabulary.tenants = {"maths", "physics"};
  DrivenServer driven(1, options);
  driven.Open(1, "", true);
  const auto call = [&driven](const Request& request) {
    driven.Receive(1, Bytes(request));
    const std::vector<Reply> replies = driven.TakeReplies(1);
    EXPECT_EQ(replies.size(), 1u);
    return replies.empty() ? Reply{} : replies.front();
  };
  Request held = MakeRequest(RequestType::kQueueJob);
  held.attributes = {{"Hold_Types", "", "u", Op::kSet}};
  const std::string held_id = call(held).text;
  call(MakeRequest(RequestType::kCommit, held_id));
  for (const AttributeSample& sample : AttributeSamples()) {
    for (const std::string& value : sample.values) {
      Request submission = MakeRequest(RequestType::kQueueJob);
      submission.attributes = {{sample.name, sample.resource, value, Op::kSet}};
      const Reply queued = call(submission);
      if (queued.code == pbs_protocol::Code::kNone) {
        call(MakeRequest(RequestType::kCommit, queued.text));
        call(MakeRequest(RequestType::kStatusJob, queued.text));
      }
      Request change = MakeRequest(RequestType::kModifyJob, held_id);
      change.command = 2;
      change.attributes = submission.attributes;
      call(change);
      call(MakeRequest(RequestType::kStatusJob, held_id));
    }
  }
  EXPECT_EQ(driven.digest.Value(), kExpected);
}

// Selects jobs with every operator on attributes of each type, compared with equal, lower and higher values
// and with values of another type.
TEST(PbsServerBytesTest, SendsTheRecordedBytesForEverySelection) {
  static constexpr std::uint64_t kExpected = 2182024411992345971u;
  DrivenServer driven(2, ServerOptions());
  driven.Open(1, "", true);
  const auto call = [&driven](const Request& request) {
    driven.Receive(1, Bytes(request));
    const std::vector<Reply> replies = driven.TakeReplies(1);
    EXPECT_EQ(replies.size(), 1u);
    return replies.empty() ? Reply{} : replies.front();
  };
  for (int job = 0; job < 12; ++job) {
    Request submission = MakeRequest(RequestType::kQueueJob, "", job % 2 == 0 ? "thandi@here" : "sipho");
    submission.destination = job % 3 == 0 ? "keyed" : "safe";
    submission.attributes = {{"Job_Name", "", "job" + std::to_string(job % 4), Op::kSet},
                             {"Resource_List", "ncpus", std::to_string(1 + job % 4), Op::kSet},
                             {"Resource_List", "mem", std::to_string(512 * (1 + job % 3)) + "mb", Op::kSet},
                             {"Resource_List", "walltime", std::to_string(50 * job), Op::kSet},
                             {"Priority", "", std::to_string(job - 5), Op::kSet},
                             {"Hold_Types", "", job % 4 == 3 ? "u" : "n", Op::kSet}};
    const std::string id = call(submission).text;
    call(MakeRequest(RequestType::kCommit, id, submission.user));
    if (job % 5 == 0) call(MakeRequest(RequestType::kDeleteJob, id, submission.user));
  }
  const std::vector<AttributeSample> wanted = {
      {"job_state", "", {"Q", "H", "RH", "C", "CQ", ""}},
      {"Job_Name", "", {"job1", "job2", "a", "z", ""}},
      {"Job_Owner", "", {"thandi", "thandi@there", "sipho", "nobody"}},
      {"Resource_List", "ncpus", {"1", "2", "2.5", "x", ""}},
      {"Resource_List", "mem", {"1gb", "512mb", "1024mb", "100", "x"}},
      {"Resource_List", "walltime", {"100", "00:01:40", "1:40", "0", "x"}},
      {"Resource_List", "gpus", {"1", ""}},
      {"Priority", "", {"0", "-3", "3", "x"}},
      {"Hold_Types", "", {"u", "n"}},
      {"queue", "", {"safe", "keyed"}},
      {"exec_host", "", {"a/0", "b/0", ""}},
      {"answer", "", {"placed", "deleted"}},
      {"ctime", "", {"1000000", "999999"}},
      {"Nonsense", "", {"1", ""}},
  };
  std::size_t selected = 0;
  for (const AttributeSample& sample : wanted) {
    for (const std::string& value : sample.values) {
      for (const Op op : kOperators) {
        Request select = MakeRequest(RequestType::kSelectJobs);
        select.attributes = {{sample.name, sample.resource, value, op}};
        selected += call(select).ids.size();
      }
    }
  }
  EXPECT_GT(selected, 1000u);
  EXPECT_EQ(driven.digest.Value(), kExpected);
}

}  // namespace
}  // namespace mountflow::testing
