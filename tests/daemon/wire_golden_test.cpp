// Guards the wire formats: every message must be encoded to the bytes recorded in tests/data/wire.txt, and
// the encoded bytes must decode to the original message. The bytes of the simulator's records are literals in
// codec_test.
#include <gtest/gtest.h>

#include "daemon/http_api.hpp"
#include "discovery/entry.hpp"
#include "discovery/etcd.hpp"
#include "http/message.hpp"
#include "pbs_protocol/protocol.hpp"
#include "platform/client_codec.hpp"
#include "platform/node_codec.hpp"
#include "tests/support/golden.hpp"
#include "tests/support/job_manager_fixture.hpp"

namespace mountflow::testing {
namespace {

std::string FromHex(const std::string& hex) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2) {
    bytes += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16));
  }
  return bytes;
}

void AddPbsRequests(GoldenFile* golden) {
  for (const unsigned type : {0, 1, 3, 4, 5, 6, 7, 11, 12, 13, 14, 16, 18, 19, 20, 21, 22, 59}) {
    pbs_protocol::Request request;
    request.type = static_cast<pbs_protocol::RequestType>(type);
    request.user = "thandi@host";
    request.id = "1.d0";
    request.destination = "batch";
    request.attributes = {{"Resource_List", "ncpus", "2", pbs_protocol::Op::kGe},
                          {"Job_Name", "", "recount", pbs_protocol::Op::kSet}};
    request.command = 2;
    request.sequence = 3;
    request.script = std::string("echo\0x\n", 7);
    request.signal = "SIGUSR1";
    request.status = -3;
    request.extension = "wait=answer";
    std::string bytes;
    pbs_protocol::Encode(request, &bytes);
    golden->AddBytes("pbs.request." + std::to_string(type), bytes);
    pbs_protocol::Request read;
    EXPECT_EQ(pbs_protocol::Decode(bytes, &read).state, pbs_protocol::DisState::kOk) << type;
    std::string again;
    pbs_protocol::Encode(read, &again);
    EXPECT_EQ(again, bytes) << type;
  }
}

void AddPbsReplies(GoldenFile* golden) {
  for (const unsigned choice : {1, 2, 3, 4, 5, 6, 7, 8}) {
    pbs_protocol::Reply reply;
    reply.choice = static_cast<pbs_protocol::Choice>(choice);
    reply.code = choice == 1 ? pbs_protocol::Code::kUnknownJob : pbs_protocol::Code::kNone;
    reply.auxiliary = -2;
    reply.text = "1.d0";
    reply.ids = {"1.d0", "2.d0"};
    reply.objects = {
        {pbs_protocol::ObjectType::kJob, "1.d0", {{"job_state", "", "R", pbs_protocol::Op::kSet}}},
        {pbs_protocol::ObjectType::kServer, "d0", {}}};
    std::string bytes;
    pbs_protocol::Encode(reply, &bytes);
    golden->AddBytes("pbs.reply." + std::to_string(choice), bytes);
    pbs_protocol::Reply read;
    EXPECT_EQ(pbs_protocol::Decode(bytes, &read).state, pbs_protocol::DisState::kOk) << choice;
    std::string again;
    pbs_protocol::Encode(read, &again);
    EXPECT_EQ(again, bytes) << choice;
  }
  for (const int code : {0, 15001, 15002, 15003, 15004, 15005, 15006, 15007, 15009, 15010, 15014, 15015,
                         15016, 15018, 15031, 15046}) {
    golden->AddBytes("pbs.code." + std::to_string(code),
                     pbs_protocol::Describe(static_cast<pbs_protocol::Code>(code)));
  }
}

void AddClientMessages(GoldenFile* golden) {
  for (int kind = 0; kind < 9; ++kind) {
    platform::ClientMessage message;
    message.kind = static_cast<platform::ClientMessageKind>(kind);
    message.uid = 0x9b1f03aa5c7e2d41u;
    message.fields = {{"class", "service"}, {"left", "2000"}};
    if (kind % 2 == 1) message.cause = 16;
    message.description = "a\r\nb \xc3\xa9 \"q\"";
    const std::string line = platform::EncodeClientMessage(message);
    golden->AddBytes("client." + std::to_string(kind), line);
    platform::ClientMessageReader reader;
    reader.Feed(line);
    platform::ClientMessage read;
    EXPECT_EQ(reader.Next(&read), platform::ClientMessageReader::State::kMessage) << kind;
    EXPECT_EQ(read, message) << kind;
  }
}

void AddNodeMessages(GoldenFile* golden) {
  for (const int kind : {1, 6, 9, 12, 16, 44, 51, 52, 53}) {
    platform::NodeMessage message;
    message.kind = static_cast<platform::NodeMessageKind>(kind);
    message.uid = 0x9b1f03aa5c7e2d41u;
    for (const platform::NodeParameter param :
         {platform::kClass, platform::kWait, platform::kTaskName, platform::kStatusText, platform::kReport,
          platform::kProgressValue, platform::kDeduplicationKey, platform::kDescription}) {
      message.params[param] = "value " + std::to_string(message.params.size());
    }
    message.cause = 41;
    const std::string bytes = platform::EncodeNodeMessage(message);
    golden->AddBytes("node." + std::to_string(kind), bytes);
    platform::NodeMessageReader reader;
    reader.Feed(bytes);
    platform::NodeMessage read;
    if (reader.Next(&read) == platform::NodeMessageReader::State::kMessage) {
      EXPECT_EQ(read, message) << kind;
    } else {
      ADD_FAILURE() << kind << ": " << reader.error();
    }
  }
}

void AddRegistryMessages(GoldenFile* golden) {
  job_manager::ListedNode node = JobManagerFixture::Node("a", "rack-1", 7 * kSecond);
  for (const NodeState state : {NodeState::kGone, NodeState::kReady, NodeState::kDraining}) {
    node.state = state;
    const std::string entry = discovery::EncodeNodeEntry(node);
    golden->AddBytes("registry.entry." + std::to_string(static_cast<int>(state)), entry);
    const auto read = discovery::DecodeNodeEntry(entry);
    ASSERT_TRUE(read) << Describe(read.error());
    EXPECT_EQ(discovery::EncodeNodeEntry(*read), entry);
  }
  golden->AddBytes("consul.kv", discovery::EncodeKeyValues({{"k/a", "value", 3, 4}, {"k/b", "", 5, 6}}));
  golden->AddBytes("etcd.range", discovery::WriteRange("k/a", "k/", 9, 100));
  golden->AddBytes("etcd.watch", discovery::WriteWatch("k/", 10));
  golden->AddBytes("etcd.authenticate", discovery::WriteAuthenticate("user", "word"));
  golden->AddBytes("etcd.lease_grant", discovery::WriteLeaseGrant(7, 10));
  golden->AddBytes("etcd.keep_alive", discovery::WriteKeepAlive(7));
  golden->AddBytes("etcd.put", discovery::WritePut("k/a", "value", 7));
  golden->AddBytes("etcd.delete", discovery::WriteDelete("k/a"));
}

// Adds replies of the HTTP API for jobs in each state.
void AddHttpReplies(GoldenFile* golden) {
  golden->AddBytes("http.request", http::WriteRequest("PUT", "/a?b=c", {{"X-One", "1"}}, "body"));
  golden->AddBytes("http.reply", http::WriteReply(503, {{"Retry-After", "2"}}, "body", false));
  JobManagerFixture fixture;
  pbs_server::PbsServerOptions options;
  daemon::HttpApi http_api(&fixture.job_manager, &options, nullptr);
  fixture.List({JobManagerFixture::Node("a")});
  fixture.ReconcileAll();
  const std::string running_job = fixture.job_manager.JobId(fixture.SubmitAndStart(1, "key-1").attempt.job);
  job_manager::JobSpec held;
  held.user = "thandi", held.task_class = 1, held.queue = "safe", held.hold = "u";
  const std::string held_job = fixture.job_manager.JobId(fixture.Submit(held));
  int request_count = 0;
  const auto call = [&](const std::string& method, const std::string& path, const std::string& body = "") {
    http::Message request;
    request.method = method;
    request.path = path;
    request.body = body;
    pbs_server::Peer peer;
    peer.user = "thandi";
    golden->AddBytes("http." + std::to_string(++request_count) + "." + method,
                     http_api.Handle(fixture.now, request, peer, fixture.now).bytes);
    fixture.Collect();
  };
  call("GET", "/v1/jobs");
  call("GET", "/v1/jobs/" + running_job);
  call("GET", "/v1/jobs/77.d0");
  call("GET", "/v1/use");
  call("GET", "/v1/nodes");
  call("POST", "/v1/jobs", "{\"script\":\"echo\",\"queue\":\"none\"}");
  call("POST", "/v1/jobs/" + held_job + "/release");
  call("DELETE", "/v1/jobs/" + running_job);
  call("PATCH", "/v1/jobs");
  call("GET", "/v2");
}

TEST(WireGolden, EachMessageHasTheRecordedBytes) {
  GoldenFile golden("wire.txt");
  AddPbsRequests(&golden);
  AddPbsReplies(&golden);
  AddClientMessages(&golden);
  AddNodeMessages(&golden);
  AddRegistryMessages(&golden);
  AddHttpReplies(&golden);
  golden.Compare();
}

// Checks the opposite direction: the recorded bytes can be decoded, independently of the current encoder.
TEST(WireGolden, RecordedBytesAreRead) {
  std::size_t read = 0;
  const GoldenFile golden("wire.txt");
  for (const auto& [name, hex] : golden.recorded()) {
    const std::string bytes = FromHex(hex);
    if (name.rfind("pbs.request.", 0) == 0) {
      pbs_protocol::Request request;
      EXPECT_EQ(pbs_protocol::Decode(bytes, &request).state, pbs_protocol::DisState::kOk) << name;
      EXPECT_EQ("pbs.request." + std::to_string(static_cast<unsigned>(request.type)), name);
    } else if (name.rfind("pbs.reply.", 0) == 0) {
      pbs_protocol::Reply reply;
      EXPECT_EQ(pbs_protocol::Decode(bytes, &reply).state, pbs_protocol::DisState::kOk) << name;
      EXPECT_EQ("pbs.reply." + std::to_string(static_cast<unsigned>(reply.choice)), name);
    } else if (name.rfind("client.", 0) == 0) {
      platform::ClientMessageReader reader;
      reader.Feed(bytes);
      platform::ClientMessage message;
      EXPECT_EQ(reader.Next(&message), platform::ClientMessageReader::State::kMessage) << name;
      EXPECT_EQ("client." + std::to_string(static_cast<int>(message.kind)), name);
    } else if (name.rfind("node.", 0) == 0) {
      platform::NodeMessageReader reader;
      reader.Feed(bytes);
      platform::NodeMessage message;
      EXPECT_EQ(reader.Next(&message), platform::NodeMessageReader::State::kMessage) << name;
      EXPECT_EQ("node." + std::to_string(static_cast<int>(message.kind)), name);
    } else {
      continue;
    }
    ++read;
  }
  EXPECT_EQ(read, 18u + 8u + 9u + 9u);
}

}  // namespace
}  // namespace mountflow::testing
