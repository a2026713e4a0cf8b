// Tests of the requests that each protocol sends and of how it handles replies, for reads of the node list
// and for the registrar's entry.
#include "discovery/registry_protocol.hpp"

#include <gtest/gtest.h>

#include "discovery/consul_protocol.hpp"
#include "discovery/etcd_protocol.hpp"
#include "discovery/lease_protocol.hpp"
#include "tests/discovery/scripted_registry.hpp"

namespace mountflow::discovery {
namespace {

using testing::Json;
using testing::ToBase64;

const ReadStep kFullStep{ReadKind::kFull, 0, 0};
const ReadStep kFollowStep{ReadKind::kFollow, 0, 7};

http::Message Reply(int status, const std::string& body) {
  http::Message reply;
  reply.status = status;
  reply.body = body;
  return reply;
}

http::Message ConsulReply(int status, const std::string& body) {
  http::Message reply = Reply(status, body);
  reply.headers["x-consul-index"] = "9";
  return reply;
}

// Returns the next request that a protocol sends.
http::Message NextRequest(RegistryProtocol* protocol) {
  const auto event = protocol->NextEvent();
  if (!event || !std::holds_alternative<SendRequest>(*event)) {
    ADD_FAILURE() << "no request";
    return {};
  }
  http::Reader reader(http::Reader::Side::kRequests, 1 << 20);
  EXPECT_TRUE(reader.Feed(std::get<SendRequest>(*event).bytes));
  return reader.messages().front();
}

// Returns the next event, which must be of type T.
template <typename T>
T NextEventOf(RegistryProtocol* protocol) {
  const auto event = protocol->NextEvent();
  if (event && std::holds_alternative<T>(*event)) return std::get<T>(*event);
  ADD_FAILURE() << "another event, or none";
  return {};
}

std::string Page(const std::string& cluster, const std::string& key, bool more) {
  return Json{{"header", {{"revision", "12"}, {"cluster_id", cluster}}},
              {"kvs", {{{"key", ToBase64(key)}, {"value", ToBase64("v")}, {"mod_revision", "5"}}}},
              {"more", more}}
      .dump();
}

std::string WatchLine(Json result, const std::string& cluster = "1") {
  result["header"] = {{"revision", "12"}, {"cluster_id", cluster}};
  return Json{{"result", result}}.dump() + "\n";
}

Json Event(const std::string& key) {
  return {{"kv", {{"key", ToBase64(key)}, {"value", ToBase64("v")}, {"mod_revision", "12"}}}};
}

TEST(EtcdProtocol, AuthenticatesBeforeItsFirstRead) {
  ClientOptions options;
  options.user = "mountflow", options.password = "secret";
  EtcdProtocol protocol(options);
  protocol.StartRead(kFullStep);
  EXPECT_EQ(NextRequest(&protocol).path, "/v3/auth/authenticate");
  EXPECT_TRUE(protocol.IsAuthenticating());
  protocol.ReceiveReply(Reply(200, R"({"token": "t1"})"));
  const http::Message read = NextRequest(&protocol);
  EXPECT_EQ(read.path, "/v3/kv/range");
  EXPECT_EQ(read.Header("authorization"), "t1");
  EXPECT_FALSE(protocol.IsAuthenticating());
}

TEST(EtcdProtocol, RequestsAnotherTokenWhenItsTokenHasExpired) {
  ClientOptions options;
  options.user = "mountflow", options.password = "secret";
  EtcdProtocol protocol(options);
  protocol.StartRead(kFullStep);
  NextRequest(&protocol);
  protocol.ReceiveReply(Reply(200, R"({"token": "t1"})"));
  NextRequest(&protocol);
  protocol.ReceiveReply(Reply(401, R"({"code": 16, "message": "invalid auth token"})"));
  const auto failure = NextEventOf<ReadFailed>(&protocol);
  EXPECT_TRUE(failure.is_rejection);
  EXPECT_EQ(failure.reason, "invalid auth token");
  protocol.Reset();
  protocol.StartRead(kFullStep);
  EXPECT_EQ(NextRequest(&protocol).path, "/v3/auth/authenticate");
}

TEST(EtcdProtocol, ReadsLaterPagesAtTheRevisionOfTheFirst) {
  EtcdProtocol protocol(ClientOptions{});
  protocol.StartRead(kFullStep);
  EXPECT_EQ(Json::parse(NextRequest(&protocol).body).count("revision"), 0u);
  protocol.ReceiveReply(Reply(200, Page("1", "a", true)));
  const Json next = Json::parse(NextRequest(&protocol).body);
  EXPECT_EQ(next["revision"], "12");
  EXPECT_EQ(next["key"], ToBase64(std::string("a\0", 2)));
  protocol.ReceiveReply(Reply(200, Page("1", "b", false)));
  const auto read = NextEventOf<FullRead>(&protocol);
  EXPECT_EQ(read.revision, 12u);
  EXPECT_EQ(read.pairs.size(), 2u);
  EXPECT_FALSE(protocol.NextEvent());
}

TEST(EtcdProtocol, InvalidatesAReadWhoseLaterPageIsOfAnotherCluster) {
  EtcdProtocol protocol(ClientOptions{});
  protocol.StartRead(kFullStep);
  NextRequest(&protocol);
  protocol.ReceiveReply(Reply(200, Page("1", "a", true)));
  NextRequest(&protocol);
  protocol.ReceiveReply(Reply(200, Page("2", "b", false)));
  EXPECT_TRUE(NextEventOf<ClusterChanged>(&protocol).is_read_invalid);
  EXPECT_FALSE(protocol.NextEvent());
}

TEST(EtcdProtocol, ReportsACompactedRevisionInEitherKindOfRead) {
  EtcdProtocol protocol(ClientOptions{});
  protocol.StartRead(kFullStep);
  NextRequest(&protocol);
  protocol.ReceiveReply(Reply(400, R"({"code": 11, "message": "required revision has been compacted"})"));
  NextEventOf<ReadCompacted>(&protocol);
  protocol.Reset();
  protocol.StartRead(kFollowStep);
  EXPECT_EQ(Json::parse(NextRequest(&protocol).body)["create_request"]["start_revision"], "8");
  protocol.ReceiveStream(WatchLine({{"canceled", true}, {"compact_revision", "10"}}));
  NextEventOf<ReadCompacted>(&protocol);
  EXPECT_FALSE(protocol.NextEvent());
}

TEST(EtcdProtocol, StoresTheFragmentsOfARevisionUntilTheLastArrives) {
  EtcdProtocol protocol(ClientOptions{});
  protocol.StartRead(kFollowStep);
  NextRequest(&protocol);
  const std::string last = WatchLine({{"events", {Event("b")}}});
  protocol.ReceiveStream(WatchLine({{"fragment", true}, {"events", {Event("a")}}}) + last.substr(0, 20));
  const auto fragment = NextEventOf<WatchProgress>(&protocol);
  EXPECT_TRUE(fragment.is_fragment);
  EXPECT_TRUE(fragment.changes.empty());
  EXPECT_FALSE(protocol.NextEvent());
  protocol.ReceiveStream(last.substr(20));
  EXPECT_EQ(NextEventOf<WatchProgress>(&protocol).changes.size(), 2u);
}

// Checks the invariant of RegistryClient::ProcessEvents: messages that were not handled yet do not change the
// protocol's state.
TEST(EtcdProtocol, DecodesOneMessageOfAWatchAtATime) {
  EtcdProtocol protocol(ClientOptions{});
  protocol.StartRead(kFollowStep);
  NextRequest(&protocol);
  protocol.ReceiveStream(WatchLine({{"created", true}}) + WatchLine({{"canceled", true}}, "1") +
                         WatchLine(Json::object(), "2"));
  EXPECT_TRUE(NextEventOf<WatchProgress>(&protocol).is_created);
  EXPECT_TRUE(NextEventOf<ReadFailed>(&protocol).is_rejection);
  protocol.Reset();  // the message of cluster 2 was never decoded
  EXPECT_FALSE(protocol.NextEvent());
  protocol.StartRead(kFollowStep);
  NextRequest(&protocol);
  protocol.ReceiveStream(WatchLine(Json::object(), "2"));
  EXPECT_TRUE(NextEventOf<ClusterChanged>(&protocol).is_read_invalid);
}

TEST(EtcdProtocol, FailsAWatchWhoseMessageIsTooLong) {
  ClientOptions options;
  options.max_message_bytes = 100;
  EtcdProtocol protocol(options);
  protocol.StartRead(kFollowStep);
  NextRequest(&protocol);
  protocol.ReceiveStream(std::string(100, 'x'));
  EXPECT_FALSE(protocol.NextEvent());
  protocol.ReceiveStream("x");
  EXPECT_EQ(NextEventOf<ReadFailed>(&protocol).reason, "expected a watch message of at most 100 bytes");
}

TEST(ConsulProtocol, FollowsByABlockingReadFromTheIndex) {
  ClientOptions options;
  options.token = "secret";
  ConsulProtocol protocol(options, 1);
  protocol.StartRead(kFullStep);
  const http::Message full = NextRequest(&protocol);
  EXPECT_EQ(full.path, "/v1/kv/mountflow/nodes/");
  EXPECT_EQ(full.query.count("index"), 0u);
  EXPECT_EQ(full.Header("x-consul-token"), "secret");
  for (int i = 0; i < 100; ++i) {
    protocol.StartRead(kFollowStep);
    const http::Message follow = NextRequest(&protocol);
    EXPECT_EQ(follow.Query("index"), "7");
    const int wait = std::stoi(follow.Query("wait"));
    EXPECT_LE(wait, 10'000);
    EXPECT_GE(wait, 8'750);
  }
}

TEST(ConsulProtocol, ABriefReadWaitsASecondAndNeverLongerThanAnyOther) {
  const ReadStep brief_step{ReadKind::kFollow, 0, 7, true};
  ClientOptions options;
  ConsulProtocol protocol(options, 1);
  options.wait = 400'000;
  ConsulProtocol short_waits(options, 1);
  for (int i = 0; i < 100; ++i) {
    protocol.StartRead(brief_step);
    const int wait = std::stoi(NextRequest(&protocol).Query("wait"));
    EXPECT_LE(wait, 1'000);
    EXPECT_GE(wait, 875);
    short_waits.StartRead(brief_step);
    EXPECT_LE(std::stoi(NextRequest(&short_waits).Query("wait")), 400);
  }
}

TEST(ConsulProtocol, TreatsAMissingPrefixAsAnEmptyListButNotAMissingService) {
  ClientOptions options;
  ConsulProtocol keys(options, 1);
  keys.ReceiveReply(ConsulReply(404, ""));
  EXPECT_EQ(NextEventOf<FullRead>(&keys).revision, 9u);
  options.service = "nodes";
  ConsulProtocol service(options, 1);
  service.ReceiveReply(ConsulReply(404, ""));
  EXPECT_EQ(NextEventOf<ReadFailed>(&service).reason, "status 404");
}

TEST(ConsulProtocol, RejectsRepliesThatCannotBeTrusted) {
  ClientOptions options;
  options.mode = ConsulMode::kStale;
  ConsulProtocol protocol(options, 1);
  const auto reason_of = [&protocol](const http::Message& reply) {
    protocol.ReceiveReply(reply);
    const auto failure = NextEventOf<ReadFailed>(&protocol);
    EXPECT_TRUE(failure.is_rejection);
    return failure.reason;
  };
  EXPECT_EQ(reason_of(ConsulReply(500, "no leader")), "status 500 no leader");
  EXPECT_EQ(reason_of(Reply(200, "[]")), "expected an X-Consul-Index");
  EXPECT_EQ(reason_of(ConsulReply(200, "{}")), "expected a JSON list of keys");
  http::Message reply = ConsulReply(200, "[]");
  reply.headers["x-consul-lastcontact"] = "10001";
  EXPECT_EQ(reason_of(reply), "its last contact with the leader is too long ago");
  reply.headers["x-consul-knownleader"] = "false";
  EXPECT_EQ(reason_of(reply), "it knows no leader");
}

TEST(LeaseProtocol, DistinguishesAnUnknownLeaseFromOtherRejections) {
  RegistrarOptions options;
  options.kind = RegistryKind::kEtcd;
  const auto protocol = MakeLeaseProtocol(options);
  const auto lost = protocol->ReceiveReply(
      LeaseStep::kRenew, Reply(400, R"({"message": "etcdserver: requested lease not found"})"));
  ASSERT_FALSE(lost);
  EXPECT_TRUE(lost.error().is_lease_lost);
  EXPECT_EQ(lost.error().reason, "status 400 etcdserver: requested lease not found");
  const auto rejected = protocol->ReceiveReply(LeaseStep::kRenew, Reply(503, "no leader"));
  ASSERT_FALSE(rejected);
  EXPECT_FALSE(rejected.error().is_lease_lost);
}

TEST(LeaseProtocol, TreatsAnEtcdLeaseWithoutTimeLeftAsLost) {
  RegistrarOptions options;
  options.kind = RegistryKind::kEtcd;
  const auto protocol = MakeLeaseProtocol(options);
  ASSERT_TRUE(protocol->ReceiveReply(LeaseStep::kOpen, Reply(200, R"({"ID": "5", "TTL": "10"})")));
  EXPECT_TRUE(protocol->HasLease());
  const auto renewed = protocol->ReceiveReply(LeaseStep::kRenew, Reply(200, R"({"ID": "5"})"));
  ASSERT_TRUE(renewed);
  EXPECT_TRUE(renewed->is_lease_lost);
  protocol->DropLease();
  EXPECT_FALSE(protocol->HasLease());
}

TEST(LeaseProtocol, RejectsAConsulKeyThatAnotherSessionHolds) {
  const auto protocol = MakeLeaseProtocol(RegistrarOptions{});
  ASSERT_TRUE(protocol->ReceiveReply(LeaseStep::kOpen, Reply(200, R"({"ID": "s1"})")));
  const auto rejected = protocol->ReceiveReply(LeaseStep::kWrite, Reply(200, "false"));
  ASSERT_FALSE(rejected);
  EXPECT_EQ(rejected.error().reason, "the key is held by another session");
  const auto written = protocol->ReceiveReply(LeaseStep::kWrite, Reply(200, "true"));
  ASSERT_TRUE(written);
  EXPECT_TRUE(written->is_entry_written);
  EXPECT_FALSE(written->is_lease_extended);
}

TEST(LeaseProtocol, OpensTheLeaseAndWritesTheEntryOfAServiceInOneRequest) {
  RegistrarOptions options;
  options.service = "nodes";
  const auto protocol = MakeLeaseProtocol(options);
  const auto opened = protocol->ReceiveReply(LeaseStep::kOpen, Reply(200, ""));
  ASSERT_TRUE(opened);
  EXPECT_TRUE(opened->is_entry_written);
  EXPECT_TRUE(opened->is_lease_extended);
  const auto removed = protocol->ReceiveReply(LeaseStep::kRemove, Reply(404, ""));
  ASSERT_TRUE(removed);
  EXPECT_TRUE(removed->is_lease_lost);
}

}  // namespace
}  // namespace mountflow::discovery
