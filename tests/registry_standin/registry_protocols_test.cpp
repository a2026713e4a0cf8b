// Tests of the protocols of the fake registries: routes, the order of expiry, changes and replies, and fault
// injection.
#include <gtest/gtest.h>

#include <map>
#include <string>

#include "discovery/entry.hpp"
#include "tools/registry_standin/consul_blocking_query.hpp"
#include "tools/registry_standin/etcd_json.hpp"
#include "tools/registry_standin/fault_control.hpp"
#include "tools/registry_standin/registry_backend.hpp"

namespace mountflow::registry_standin {
namespace {

constexpr Micros kSecond = 1'000'000;

http::Message Request(const std::string& method, const std::string& path, const std::string& body = "",
                      std::map<std::string, std::string> query = {}) {
  http::Message request;
  request.method = method;
  request.path = path;
  request.body = body;
  request.query = std::move(query);
  return request;
}

http::Message ParseReply(const Reply& reply) {
  http::Reader reader(http::Reader::Side::kReplies, 1 << 20);
  EXPECT_TRUE(reader.Feed(reply.bytes));
  EXPECT_EQ(reader.messages().size(), 1u);
  return reader.messages().empty() ? http::Message{} : reader.messages().front();
}

template <typename Registry>
http::Message Ask(Registry* registry, Micros now, const http::Message& request) {
  registry->Handle(now, 1, request);
  const std::vector<Reply> replies = registry->Take();
  EXPECT_EQ(replies.size(), 1u);
  return replies.empty() ? http::Message{} : ParseReply(replies.front());
}

TEST(ConsulDuration, AcceptsOnlyANumberWithAUnit) {
  EXPECT_EQ(ParseDuration("10s"), 10 * kSecond);
  EXPECT_EQ(ParseDuration("500ms"), 500'000u);
  EXPECT_EQ(ParseDuration("5m"), 300 * kSecond);
  EXPECT_EQ(ParseDuration("-1s"), 0u);
  EXPECT_EQ(ParseDuration("ever"), 0u);
}

TEST(ConsulBlockingQuery, WaitsFiveMinutesByDefaultAndTenAtMost) {
  EXPECT_EQ(ParseBlockingQuery(0, 1, Request("GET", "/")).expires_at, 300 * kSecond);
  const BlockingQuery longest = ParseBlockingQuery(0, 1, Request("GET", "/", "", {{"wait", "60m"}}));
  EXPECT_EQ(longest.expires_at, 600 * kSecond);
  const BlockingQuery query =
      ParseBlockingQuery(7, 3, Request("GET", "/", "", {{"wait", "1s"}, {"index", "9"}}));
  EXPECT_EQ(query.connection, 3u);
  EXPECT_EQ(query.known_index, 9u);
  EXPECT_EQ(query.expires_at, kSecond + 7);
}

TEST(ConsulRegistry, ASessionThatExpiresDeletesItsKeysAndWakesQueriesInTheSameTick) {
  ConsulRegistry registry;
  registry.Handle(0, 1, Request("PUT", "/v1/session/create", R"({"TTL": "10s"})"));
  registry.Handle(0, 1, Request("PUT", "/v1/kv/a", "x", {{"acquire", "session-1"}}));
  registry.Take();
  const std::string index = std::to_string(registry.index());
  registry.Handle(0, 2, Request("GET", "/v1/kv/a", "", {{"index", index}, {"wait", "60s"}}));
  EXPECT_TRUE(registry.Take().empty());
  EXPECT_EQ(registry.NextTimer(), 10 * kSecond);
  registry.Tick(10 * kSecond);
  const std::vector<Reply> replies = registry.Take();
  ASSERT_EQ(replies.size(), 1u);
  EXPECT_EQ(replies[0].connection, 2u);
  EXPECT_EQ(ParseReply(replies[0]).status, 404);
}

TEST(ConsulRegistry, AKeyIsLockedByOneSessionAtATime) {
  ConsulRegistry registry;
  registry.Handle(0, 1, Request("PUT", "/v1/session/create"));
  registry.Handle(0, 1, Request("PUT", "/v1/session/create"));
  registry.Take();
  const auto acquire = [&registry](const std::string& session) {
    return Ask(&registry, 0, Request("PUT", "/v1/kv/a", "x", {{"acquire", session}}));
  };
  EXPECT_EQ(acquire("session-1").body, "true");
  EXPECT_EQ(acquire("session-2").body, "false");
  EXPECT_EQ(acquire("session-3").status, 500);
}

// Checks that the reply contains the session id although the session was already removed from the table.
TEST(ConsulRegistry, DestroyingASessionNamesItAndDeletesItsKeys) {
  ConsulRegistry registry;
  registry.Handle(0, 1, Request("PUT", "/v1/session/create"));
  registry.Handle(0, 1, Request("PUT", "/v1/kv/a", "x", {{"acquire", "session-1"}}));
  registry.Take();
  const http::Message reply = Ask(&registry, 0, Request("PUT", "/v1/session/destroy/session-1"));
  EXPECT_EQ(reply.body, R"([{"ID":"session-1"}])");
  EXPECT_EQ(Ask(&registry, 0, Request("GET", "/v1/kv/a")).status, 404);
  EXPECT_EQ(Ask(&registry, 0, Request("PUT", "/v1/session/renew/session-1")).status, 404);
}

TEST(ConsulRegistry, WithoutALeaderOnlyStaleReadsAndTheDelayAreServed) {
  ConsulRegistry registry;
  registry.SetLeader(0, false);
  EXPECT_EQ(Ask(&registry, 0, Request("PUT", "/v1/kv/a", "x")).status, 500);
  EXPECT_EQ(Ask(&registry, 0, Request("PUT", "/v1/unknown")).status, 500);
  EXPECT_EQ(Ask(&registry, 0, Request("GET", "/v1/unknown")).status, 404);
  EXPECT_EQ(Ask(&registry, 0, Request("GET", "/v1/kv/a")).status, 500);
  EXPECT_EQ(Ask(&registry, 0, Request("GET", "/v1/kv/a", "", {{"stale", ""}})).status, 404);
  EXPECT_EQ(Ask(&registry, 0, Request("PUT", "/v1/delay", "", {{"ms", "5"}})).status, 200);
}

// A fake Consul at index 10 with a visibility delay and one pending change.
class ConsulRestore : public ::testing::Test {
 protected:
  static constexpr Micros kDelay = 300'000;
  static constexpr ConsulIndex kKnownIndex = 10;

  ConsulRestore() {
    while (registry_.index() < kKnownIndex) registry_.Put(0, "a", "before");
    registry_.SetDelay(kDelay);
    registry_.Put(kWrittenAt, "b", "pending");
    EXPECT_EQ(registry_.index(), kKnownIndex);
  }
  void ReadFrom(ConnectionId connection, ConsulIndex known_index) {
    const http::Message read = Request(
        "GET", "/v1/kv/", "", {{"recurse", ""}, {"wait", "10s"}, {"index", std::to_string(known_index)}});
    registry_.Handle(kWrittenAt, connection, read);
  }
  // Returns the index in the reply to this connection's read; 0 if the read is still waiting.
  ConsulIndex AnsweredIndex(ConnectionId connection) {
    for (const Reply& reply : registry_.Take()) {
      if (reply.connection == connection) return std::stoull(ParseReply(reply).Header("x-consul-index"));
    }
    return 0;
  }

  static constexpr Micros kWrittenAt = kSecond;
  ConsulRegistry registry_;
};

// Guards against pending changes that raise the index again, so that readers miss that it moved back.
TEST_F(ConsulRestore, APendingChangeDoesNotRaiseTheIndexOverTheOneReadersKnow) {
  registry_.RestoreIndex(5);
  ReadFrom(1, kKnownIndex);
  registry_.Tick(kWrittenAt + kDelay);
  EXPECT_EQ(AnsweredIndex(1), 0u);
  EXPECT_EQ(registry_.index(), 6u);
  registry_.Tick(kWrittenAt + 10 * kSecond);
  EXPECT_EQ(AnsweredIndex(1), 6u) << "the reader sees that the index went back";
}

TEST_F(ConsulRestore, AReadThatWaitsIsAnsweredWithTheRestoredIndex) {
  ReadFrom(1, kKnownIndex);
  registry_.RestoreIndex(5);
  registry_.Tick(kWrittenAt);
  EXPECT_EQ(AnsweredIndex(1), 5u);
}

TEST_F(ConsulRestore, ASecondRestoreCountsPendingChangesUpFromItsOwnIndex) {
  registry_.RestoreIndex(5);
  registry_.Put(kWrittenAt, "c", "pending too");
  registry_.RestoreIndex(3);
  registry_.Tick(kWrittenAt + kDelay);
  EXPECT_EQ(registry_.index(), 5u);
  registry_.SetDelay(0);
  registry_.Put(kWrittenAt + kDelay, "d", "after");
  EXPECT_EQ(registry_.index(), 6u) << "indices rise from restore to restore";
}

TEST_F(ConsulRestore, APendingRemovalOfAnExpiredSessionIsNotLost) {
  registry_.SetDelay(0);
  registry_.Handle(kWrittenAt, 2, Request("PUT", "/v1/session/create", R"({"TTL": "10s"})"));
  registry_.Handle(kWrittenAt, 2, Request("PUT", "/v1/kv/node", "x", {{"acquire", "session-1"}}));
  registry_.SetDelay(kDelay);
  registry_.Tick(kWrittenAt + 10 * kSecond);
  registry_.RestoreIndex(5);
  registry_.Tick(kWrittenAt + 10 * kSecond + kDelay);
  registry_.Take();
  const http::Message reply =
      Ask(&registry_, kWrittenAt + 10 * kSecond + kDelay, Request("GET", "/v1/kv/node"));
  EXPECT_EQ(reply.status, 404);
}

TEST(ConsulCatalog, AServiceThatStaysCriticalIsDeregistered) {
  ConsulCatalog catalog;
  const std::string service =
      R"({"NAME": "s", "check": {"TTL": "2s", "Status": "passing", "DeregisterCriticalServiceAfter": "3s"}})";
  EXPECT_EQ(Ask(&catalog, 0, Request("PUT", "/v1/agent/service/register", service)).status, 200);
  EXPECT_EQ(catalog.NextTimer(), 2 * kSecond);
  catalog.Tick(2 * kSecond);
  const http::Message passing = Request("GET", "/v1/health/service/s", "", {{"passing", ""}});
  EXPECT_EQ(Ask(&catalog, 2 * kSecond, passing).body, "[]");
  EXPECT_NE(Ask(&catalog, 2 * kSecond, Request("GET", "/v1/catalog/service/s")).body, "[]");
  EXPECT_EQ(catalog.NextTimer(), 5 * kSecond);
  EXPECT_EQ(Ask(&catalog, 5 * kSecond, Request("GET", "/v1/catalog/service/s")).body, "[]");
}

TEST(ConsulCatalog, IgnoresPathsOutsideTheCatalog) {
  ConsulCatalog catalog;
  EXPECT_FALSE(catalog.Handle(0, 1, Request("GET", "/v1/kv/a")));
  EXPECT_TRUE(catalog.Take().empty());
}

TEST(EtcdJson, ReadsNumbersAsTextsToo) {
  const nlohmann::json object = {{"number", 7}, {"text", "8"}, {"other", {1}}};
  EXPECT_EQ(NumberOf(object, "number"), 7u);
  EXPECT_EQ(NumberOf(object, "text"), 8u);
  EXPECT_EQ(NumberOf(object, "other"), 0u);
  EXPECT_EQ(NumberOf(object, "missing"), 0u);
}

TEST(EtcdJson, AStreamMessageIsOneChunkWithItsSizeInHex) {
  EXPECT_EQ(WriteStreamMessage({{"a", 12}}), "14\r\n{\"result\":{\"a\":12}}\n\r\n");
}

TEST(EtcdError, HasTheStatusOfTheGateway) {
  EXPECT_EQ((EtcdError{GrpcCode::kInvalidArgument, ""}.HttpStatus()), 400);
  EXPECT_EQ((EtcdError{GrpcCode::kOutOfRange, ""}.HttpStatus()), 400);
  EXPECT_EQ((EtcdError{GrpcCode::kUnauthenticated, ""}.HttpStatus()), 401);
  EXPECT_EQ((EtcdError{GrpcCode::kNotFound, ""}.HttpStatus()), 404);
  EXPECT_EQ((EtcdError{GrpcCode::kUnavailable, ""}.HttpStatus()), 503);
}

TEST(EtcdRegistry, TheTokenIsCheckedBeforeThePath) {
  EtcdRegistry registry;
  EXPECT_EQ(Ask(&registry, 0, Request("POST", "/v3/unknown", "{}")).status, 404);
  registry.faults.user = "user";
  EXPECT_EQ(Ask(&registry, 0, Request("POST", "/v3/unknown", "{}")).status, 401);
  registry.SetLeader(0, false);
  EXPECT_EQ(Ask(&registry, 0, Request("POST", "/v3/unknown", "{}")).status, 503);
  EXPECT_EQ(Ask(&registry, 0, Request("GET", "/v3/unknown", "{}")).status, 400);
}

TEST(EtcdRegistry, ExpiryComesBeforeTheProgressNotificationThatNamesItsRevision) {
  EtcdRegistry registry;
  registry.Handle(0, 1, Request("POST", "/v3/lease/grant", R"({"ID": 5, "TTL": 1})"));
  registry.Put(0, "a", "x", 5);
  registry.Handle(
      0, 2, Request("POST", "/v3/watch", R"({"create_request": {"key": "eg==", "progress_notify": true}})"));
  registry.Take();
  registry.Tick(kSecond);
  EXPECT_TRUE(registry.Now().empty());
  const std::vector<Reply> replies = registry.Take();
  ASSERT_EQ(replies.size(), 1u) << "the watch is for another key";
  EXPECT_NE(replies[0].bytes.find("\"revision\":\"" + std::to_string(registry.revision()) + "\""),
            std::string::npos);
}

TEST(EtcdRegistry, ARestoreClosesTheWatchesAndBeginsAnotherCluster) {
  EtcdRegistry registry;
  registry.Put(0, "a", "1");
  registry.Put(0, "a", "2");
  registry.Handle(0, 2, Request("POST", "/v3/watch", R"({"create_request": {"key": "YQ=="}})"));
  registry.Take();
  registry.Restore(2);
  const std::vector<Reply> replies = registry.Take();
  ASSERT_EQ(replies.size(), 1u);
  EXPECT_TRUE(replies[0].close_after);
  EXPECT_EQ(registry.Now().at("a"), "1");
  const http::Message range = Ask(&registry, 0, Request("POST", "/v3/kv/range", R"({"key": "YQ=="})"));
  EXPECT_NE(range.body.find(R"("cluster_id":"2")"), std::string::npos);
}

// Guards against the expiry of a lease that deletes a key which was attached to another lease after a
// restore.
TEST(EtcdRegistry, AKeyPutUnderAnotherLeaseAfterARestoreOutlivesItsFirstLease) {
  EtcdRegistry registry;
  for (const char* body : {R"({"ID": "1", "TTL": "5"})", R"({"ID": "2", "TTL": "60"})"}) {
    registry.Handle(0, 1, Request("POST", "/v3/lease/grant", body));
  }
  const Revision backup = registry.Put(0, "node", "first", 1);
  registry.Put(0, "other", "later");
  registry.Restore(backup);
  registry.Put(kSecond, "node", "again", 2);
  registry.Tick(6 * kSecond);
  EXPECT_EQ(registry.Now().count("node"), 1u);
  registry.Tick(60 * kSecond);
  EXPECT_EQ(registry.Now().count("node"), 0u);
}

TEST(EtcdRegistry, AKeyThatARestoreDroppedBelongsToNoLease) {
  EtcdRegistry registry;
  registry.Handle(0, 1, Request("POST", "/v3/lease/grant", R"({"ID": "1", "TTL": "5"})"));
  const Revision backup = registry.Put(0, "other", "");
  registry.Put(0, "node", "under a lease", 1);
  registry.Restore(backup);
  registry.Put(kSecond, "node", "without one");
  registry.Tick(6 * kSecond);
  EXPECT_EQ(registry.Now().count("node"), 1u);
}

// Guards against the expiry of a lease that deletes a key which was deleted and created again without a
// lease.
TEST(EtcdRegistry, ADeletedKeyBelongsToNoLease) {
  EtcdRegistry registry;
  registry.Handle(0, 1, Request("POST", "/v3/lease/grant", R"({"ID": "1", "TTL": "5"})"));
  for (const char* key : {"one", "of a range"}) registry.Put(0, key, "under a lease", 1);
  registry.Delete(0, "one");
  registry.DeleteRange(0, {"of a range", ""});
  for (const char* key : {"one", "of a range"}) registry.Put(kSecond, key, "without one");
  registry.Tick(6 * kSecond);
  EXPECT_EQ(registry.Now().size(), 2u);
}

TEST(EtcdWatches, AnOversizedMessageIsSentInFragmentsOfWhichTheLastIsUnmarked) {
  EtcdRegistry registry;
  registry.Handle(0, 2,
                  Request("POST", "/v3/watch",
                          R"({"create_request": {"key": "YQ==", "range_end": "AA==", "fragment": true}})"));
  registry.Take();
  registry.watch_faults().max_events = 2;
  registry.PutAll(0, {{"a", "1"}, {"b", "2"}, {"c", "3"}});
  const std::vector<Reply> replies = registry.Take();
  ASSERT_EQ(replies.size(), 2u);
  EXPECT_NE(replies[0].bytes.find("\"fragment\":true"), std::string::npos);
  EXPECT_EQ(replies[1].bytes.find("\"fragment\""), std::string::npos);
}

http::Message FaultRequest(std::map<std::string, std::string> query) {
  return Request("PUT", "/v1/break", "", std::move(query));
}

TEST(FaultControl, AFloodThatLeavesItsEntriesHasFifty) {
  EXPECT_TRUE(IsFaultRequest(FaultRequest({})));
  EXPECT_FALSE(IsFaultRequest(Request("GET", "/v1/kv/a")));
  ConsulBackend backend(0);
  InjectFaults(0, FaultRequest({{"flood", "120"}, {"prefix", "nodes/"}, {"leave", "true"}}), &backend);
  const http::Message read = Request("GET", "/v1/kv/nodes/", "", {{"recurse", ""}});
  const auto pairs = discovery::DecodeKeyValues(Ask(&backend, 0, read).body);
  ASSERT_TRUE(pairs) << Describe(pairs.error());
  EXPECT_EQ(pairs->size(), 50u);
  InjectFaults(0, FaultRequest({{"empty", "nodes/"}}), &backend);
  EXPECT_EQ(Ask(&backend, 0, read).status, 404);
}

TEST(FaultControl, AFloodEndsWithoutItsEntries) {
  EtcdBackend backend;
  InjectFaults(0, FaultRequest({{"flood", "60"}, {"prefix", "n/"}}), &backend);
  const http::Message range =
      Ask(&backend, 0, Request("POST", "/v3/kv/range", R"({"key": "AA==", "range_end": "AA=="})"));
  EXPECT_NE(range.body.find(R"("count":"0")"), std::string::npos);
  EXPECT_NE(range.body.find(R"("revision":"111")"), std::string::npos) << "60 writes, 50 removals";
}

TEST(FaultControl, LosesTheLeaderAndRestoresNoFurtherThanTheFirstRevision) {
  EtcdBackend backend;
  backend.Put(0, "a", "1");
  InjectFaults(0, FaultRequest({{"restore", "99"}, {"leader", "false"}}), &backend);
  const http::Message read = Request("POST", "/v3/kv/range", R"({"key": "YQ=="})");
  EXPECT_EQ(Ask(&backend, 0, read).status, 503);
  InjectFaults(0, FaultRequest({{"leader", "true"}}), &backend);
  EXPECT_NE(Ask(&backend, 0, read).body.find(R"("revision":"1")"), std::string::npos);
}

TEST(ConsulBackend, LeavesTheConnectionOpenIfTheClientRequestedToCloseIt) {
  ConsulBackend backend(0);
  http::Message request = Request("GET", "/v1/kv/a");
  request.keep_alive = false;
  backend.Handle(0, 1, request);
  const std::vector<Reply> replies = backend.Take();
  ASSERT_EQ(replies.size(), 1u);
  EXPECT_FALSE(replies[0].close_after);
  EXPECT_EQ(ParseReply(replies[0]).Header("connection"), "close");
}

}  // namespace
}  // namespace mountflow::registry_standin
