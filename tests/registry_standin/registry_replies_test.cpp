// Golden test: compares all reply bytes of the fake registries with those recorded in tests/data. The runs
// cover every route of both protocols, with expiry, loss of the leader, restored histories and compaction.
// Longer random runs are compared by a digest.
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "discovery/entry.hpp"
#include "tests/support/digest.hpp"
#include "tests/support/golden.hpp"
#include "tools/registry_standin/consul_catalog.hpp"
#include "tools/registry_standin/consul_registry.hpp"
#include "tools/registry_standin/etcd_registry.hpp"

namespace mountflow::testing {
namespace {

constexpr Micros kSecond = 1'000'000;
constexpr Micros kStart = 1'000 * kSecond;

http::Message Request(const std::string& method, const std::string& path, const std::string& body = "",
                      std::map<std::string, std::string> query = {}) {
  http::Message request;
  request.method = method;
  request.path = path;
  request.body = body;
  request.query = std::move(query);
  return request;
}

std::string Framed(std::uint64_t connection, const std::string& bytes, bool close) {
  return std::to_string(connection) + (close ? " closes\n" : "\n") + bytes;
}

// The key-value store and the catalog, combined as in the server.
class ConsulRun {
 public:
  void Send(std::uint64_t connection, const http::Message& request) {
    if (!catalog.Handle(now, connection, request)) keys.Handle(now, connection, request);
  }
  void Tick() {
    keys.Tick(now);
    catalog.Tick(now);
  }
  std::string TakeReplies() {
    std::string replies;
    for (const auto& sent : keys.Take()) replies += Framed(sent.connection, sent.bytes, sent.close_after);
    for (const auto& sent : catalog.Take()) replies += Framed(sent.connection, sent.bytes, sent.close_after);
    return replies + std::to_string(keys.NextTimer()) + " " + std::to_string(catalog.NextTimer()) + "\n";
  }

  registry_standin::ConsulRegistry keys;
  registry_standin::ConsulCatalog catalog;
  Micros now = kStart;
};

class EtcdRun {
 public:
  void Send(std::uint64_t connection, const http::Message& request) {
    registry.Handle(now, connection, request);
  }
  void Tick() { registry.Tick(now); }
  std::string TakeReplies() {
    std::string replies;
    for (const auto& sent : registry.Take()) replies += Framed(sent.connection, sent.bytes, sent.close_after);
    return replies + std::to_string(registry.NextTimer()) + " " + std::to_string(registry.revision()) + "\n";
  }

  registry_standin::EtcdRegistry registry;
  Micros now = kStart;
};

// Runs steps and records the replies of each step under a sequence number.
template <typename Run>
class Recording {
 public:
  Recording(std::string name, GoldenFile* golden) : name_(std::move(name)), golden_(golden) {}
  ~Recording() { EXPECT_GT(steps_, 0u); }
  void Step() {
    const std::string number = std::to_string(1000 + steps_++);
    golden_->AddBytes(name_ + "." + number, run.TakeReplies());
  }
  void Send(std::uint64_t connection, const http::Message& request) {
    run.Send(connection, request);
    Step();
  }
  void Advance(Micros length) {
    run.now += length;
    run.Tick();
    Step();
  }

  Run run;

 private:
  std::string name_;
  GoldenFile* golden_;
  std::size_t steps_ = 0;
};

void RecordConsulKeys(GoldenFile* golden) {
  Recording<ConsulRun> recording("consul.keys", golden);
  recording.Send(1, Request("GET", "/v1/kv/nodes/", "", {{"recurse", ""}}));
  recording.Send(1, Request("PUT", "/v1/kv/nodes/a", "first"));
  recording.Send(1, Request("PUT", "/v1/kv/nodes/b", "second"));
  recording.Send(1, Request("PUT", "/v1/kv/other", "third"));
  recording.Send(1, Request("GET", "/v1/kv/nodes/", "", {{"recurse", ""}}));
  recording.Send(1, Request("GET", "/v1/kv/nodes/a"));
  recording.Send(1, Request("GET", "/v1/kv/nodes/"));
  recording.Send(2, Request("GET", "/v1/kv/nodes/", "", {{"recurse", ""}, {"index", "3"}, {"wait", "5s"}}));
  recording.Send(3, Request("GET", "/v1/kv/nodes/a", "", {{"index", "2"}, {"wait", "500ms"}}));
  recording.Send(4, Request("GET", "/v1/kv/none", "", {{"index", "9"}}));
  recording.Send(5, Request("GET", "/v1/kv/none", "", {{"index", "9"}, {"wait", "20m"}}));
  recording.Advance(kSecond);
  recording.Send(1, Request("PUT", "/v1/kv/nodes/b", "changed"));
  recording.Send(1, Request("DELETE", "/v1/kv/nodes/missing"));
  recording.Send(1, Request("DELETE", "/v1/kv/nodes/a"));
  recording.run.keys.Forget(4);
  recording.Advance(601 * kSecond);
  http::Message last = Request("GET", "/v1/kv/nodes/b");
  last.keep_alive = false;
  recording.Send(1, last);
  recording.Send(1, Request("POST", "/v1/kv/nodes/b"));
  recording.Send(1, Request("GET", "/v1/unknown"));
  recording.Send(1, Request("PUT", "/v1/delay", "", {{"ms", "250"}}));
  recording.Send(1, Request("GET", "/v1/delay"));
  recording.Send(1, Request("PUT", "/v1/kv/nodes/c", "delayed"));
  recording.Send(1, Request("GET", "/v1/kv/nodes/c"));
  recording.Advance(250'000);
  recording.Send(1, Request("GET", "/v1/kv/nodes/c"));
  recording.Send(1, Request("DELETE", "/v1/kv/nodes/", "", {{"recurse", ""}}));
  recording.Advance(kSecond);
  recording.Send(1, Request("GET", "/v1/kv/", "", {{"recurse", ""}}));
}

void RecordConsulSessions(GoldenFile* golden) {
  Recording<ConsulRun> recording("consul.sessions", golden);
  recording.Send(1, Request("PUT", "/v1/session/create", R"({"TTL": "10s"})"));
  recording.Send(1, Request("PUT", "/v1/session/create", R"({"TTL": "1m"})"));
  recording.Send(1, Request("PUT", "/v1/session/create", "not JSON"));
  recording.Send(1, Request("PUT", "/v1/kv/nodes/a", "one", {{"acquire", "session-1"}}));
  recording.Send(1, Request("PUT", "/v1/kv/nodes/a", "two", {{"acquire", "session-2"}}));
  recording.Send(1, Request("PUT", "/v1/kv/nodes/b", "two", {{"acquire", "session-2"}}));
  recording.Send(1, Request("PUT", "/v1/kv/nodes/c", "x", {{"acquire", "session-9"}}));
  recording.Send(1, Request("GET", "/v1/kv/nodes/", "", {{"recurse", ""}}));
  recording.Advance(6 * kSecond);
  recording.Send(1, Request("PUT", "/v1/session/renew/session-1"));
  recording.Send(1, Request("PUT", "/v1/session/renew/session-9"));
  recording.Send(1, Request("PUT", "/v1/session/renew"));
  recording.Send(1, Request("GET", "/v1/session/create"));
  recording.Advance(5 * kSecond);
  recording.Send(2, Request("GET", "/v1/kv/nodes/", "", {{"recurse", ""}, {"index", "8"}, {"wait", "90s"}}));
  recording.Advance(6 * kSecond);
  recording.Send(1, Request("GET", "/v1/kv/nodes/", "", {{"recurse", ""}}));
  recording.Send(1, Request("PUT", "/v1/session/destroy/session-2"));
  recording.Send(1, Request("GET", "/v1/kv/nodes/", "", {{"recurse", ""}}));
  recording.Send(1, Request("PUT", "/v1/session/create", R"({"TTL": "10s"})"));
  recording.Send(1, Request("PUT", "/v1/kv/nodes/d", "d", {{"acquire", "session-4"}}));
  recording.Send(2, Request("GET", "/v1/kv/nodes/", "", {{"recurse", ""}, {"index", "99"}, {"wait", "90s"}}));
  recording.run.keys.SetLeader(recording.run.now, false);
  recording.Step();
  recording.Send(1, Request("GET", "/v1/kv/nodes/d"));
  recording.Send(1, Request("GET", "/v1/kv/nodes/d", "", {{"stale", ""}}));
  recording.Send(1, Request("PUT", "/v1/kv/nodes/d", "e"));
  recording.Advance(20 * kSecond);
  recording.run.keys.SetLeader(recording.run.now, true);
  recording.Step();
  recording.Send(2, Request("GET", "/v1/kv/nodes/", "", {{"recurse", ""}, {"index", "99"}, {"wait", "90s"}}));
  recording.run.keys.RestoreIndex(5);
  recording.Advance(kSecond);
  recording.Send(1, Request("PUT", "/v1/kv/nodes/e", "e"));
  recording.Send(1, Request("GET", "/v1/kv/nodes/", "", {{"recurse", ""}}));
  recording.run.keys.DeletePrefix(recording.run.now, "nodes/");
  recording.Step();
  recording.Send(1, Request("GET", "/v1/kv/nodes/", "", {{"recurse", ""}}));
}

void RecordConsulCatalog(GoldenFile* golden) {
  Recording<ConsulRun> recording("consul.catalog", golden);
  const auto health = [&](std::map<std::string, std::string> query = {}) {
    recording.Send(1, Request("GET", "/v1/health/service/nodes", "", std::move(query)));
  };
  health();
  recording.Send(1, Request("PUT", "/v1/agent/service/register", "[]"));
  recording.Send(1, Request("PUT", "/v1/agent/service/register", R"({"Name": "plain"})"));
  recording.Send(2, Request("GET", "/v1/health/service/nodes", "", {{"index", "1"}, {"wait", "9s"}}));
  recording.Send(1, Request("PUT", "/v1/agent/service/register",
                            R"({"name": "nodes", "ID": "n1", "Address": "10.0.0.1", "Port": 7,
            "Meta": {"Rack": "r1"}, "Tags": ["x"],
            "Check": {"TTL": "10s", "DeregisterCriticalServiceAfter": "1m"}})"));
  recording.Send(1, Request("PUT", "/v1/agent/service/register",
                            R"({"Name": "nodes", "ID": "n2", "Check": {"TTL": "5s", "Status": "passing"}})"));
  health();
  health({{"passing", ""}});
  recording.Send(1, Request("PUT", "/v1/agent/check/pass/service:n1"));
  recording.Send(1, Request("GET", "/v1/agent/check/warn/service:n2"));
  recording.Send(1, Request("PUT", "/v1/agent/check/pass/service:none"));
  recording.Send(1, Request("PUT", "/v1/agent/check/pass"));
  recording.Send(1, Request("PUT", "/v1/agent/check/pass/service:plain"));
  health();
  recording.Send(1, Request("GET", "/v1/catalog/service/nodes"));
  recording.Send(1, Request("PUT", "/v1/agent/service/maintenance/n1", "", {{"enable", "true"}}));
  recording.Send(1, Request("PUT", "/v1/agent/service/maintenance/none", "", {{"enable", "true"}}));
  health({{"passing", ""}});
  health();
  recording.Send(1, Request("PUT", "/v1/agent/service/maintenance/n1", "", {{"enable", "false"}}));
  recording.Send(3, Request("GET", "/v1/catalog/service/nodes", "", {{"index", "99"}, {"wait", "30s"}}));
  recording.Send(4, Request("GET", "/v1/health/service/nodes", "", {{"index", "99"}}));
  recording.Advance(6 * kSecond);
  recording.Advance(5 * kSecond);
  health();
  recording.Advance(61 * kSecond);
  health();
  recording.run.catalog.Forget(4);
  recording.Send(1, Request("PUT", "/v1/agent/check/fail/service:n2"));
  recording.Send(1, Request("PUT", "/v1/agent/service/deregister/n2"));
  recording.Send(1, Request("PUT", "/v1/agent/service/deregister/n2"));
  health();
  recording.Advance(300 * kSecond);
}

void RecordEtcdKeys(GoldenFile* golden) {
  Recording<EtcdRun> recording("etcd.keys", golden);
  const auto post = [&](const std::string& path, const std::string& body, std::uint64_t connection = 1) {
    recording.Send(connection, Request("POST", path, body));
  };
  const std::string all = R"({"key": "YQ==", "range_end": "eg==")";  // "a" to "z"
  recording.Send(1, Request("GET", "/v3/kv/range"));
  post("/v3/kv/range", "[]");
  post("/v3/unknown", "{}");
  post("/v3/kv/range", all + "}");
  post("/v3/watch", "{}");
  post("/v3/watch", R"({"create_request": )" + all + R"(, "progress_notify": true, "fragment": true}})", 2);
  post("/v3/kv/put", R"({"key": "YQ==", "value": "MQ=="})");
  post("/v3/kv/put", R"({"key": "Yg==", "value": "Mg=="})");
  post("/v3/kv/put", R"({"key": "YQ==", "value": "Mw=="})");
  post("/v3/kv/range", R"({"key": "YQ=="})");
  post("/v3/kv/range", R"({"key": "YQ==", "range_end": "AA==", "limit": "1"})");
  post("/v3/kv/range", all + R"(, "limit": 1, "revision": "3"})");
  post("/v3/kv/range", all + R"(, "revision": 99})");
  recording.run.registry.watch_faults().max_events = 2;
  recording.run.registry.watch_faults().duplicate_messages = true;
  recording.run.registry.watch_faults().reverse_events = true;
  recording.run.registry.PutAll(recording.run.now, {{"c", "1"}, {"d", "2"}, {"e", "3"}, {"c", "4"}});
  recording.Step();
  recording.run.registry.watch_faults() = {};
  recording.Advance(kSecond);
  post("/v3/kv/deleterange", R"({"key": "Yw==", "range_end": "ZQ=="})");
  post("/v3/kv/deleterange", R"({"key": "Yw=="})");
  recording.run.registry.Delete(recording.run.now, "missing");
  recording.Step();
  post("/v3/kv/put", R"({"key": "Yw==", "value": "Mw=="})");
  post("/v3/watch", R"({"create_request": )" + all + R"(, "start_revision": "2"}})", 3);
  recording.run.registry.faults.compact_at_page = 4;
  post("/v3/kv/range", all + R"(, "limit": 1})");
  post("/v3/kv/range", all + R"(, "revision": "3"})");
  post("/v3/watch", R"({"create_request": )" + all + R"(, "start_revision": "2"}})", 4);
  post("/v3/kv/compaction", R"({"revision": "5"})");
  post("/v3/kv/range", all + R"(, "revision": 4})");
  recording.run.registry.Forget(3);
  recording.run.registry.Put(recording.run.now, "f", "6");
  recording.Step();
  recording.run.registry.Restore(4);
  recording.Step();
  post("/v3/kv/range", all + "}");
  recording.run.registry.Put(recording.run.now, "a", "again");
  recording.Step();
  post("/v3/kv/range", all + "}");
  recording.run.registry.DeletePrefix(recording.run.now, "a");
  recording.Step();
  post("/v3/kv/range", all + "}");
  recording.Advance(2 * kSecond);
}

void RecordEtcdLeases(GoldenFile* golden) {
  Recording<EtcdRun> recording("etcd.leases", golden);
  const auto post = [&](const std::string& path, const std::string& body, std::uint64_t connection = 1) {
    recording.Send(connection, Request("POST", path, body));
  };
  post("/v3/lease/grant", R"({"TTL": "10"})");
  post("/v3/lease/grant", R"({"TTL": 0, "ID": "7"})");
  post("/v3/kv/put", R"({"key": "YQ==", "value": "MQ==", "lease": "1001"})");
  post("/v3/kv/put", R"({"key": "Yg==", "value": "MQ==", "lease": "1001"})");
  post("/v3/kv/put", R"({"key": "Yw==", "value": "MQ==", "lease": "7"})");
  post("/v3/kv/put", R"({"key": "Yw==", "value": "MQ==", "lease": "8"})");
  post("/v3/lease/timetolive", R"({"ID": "1001", "keys": true})");
  post("/v3/kv/lease/timetolive", R"({"ID": "99"})");
  post("/v3/lease/keepalive", R"({"ID": "1001"})");
  post("/v3/lease/keepalive", R"({"ID": "99"})");
  post("/v3/watch", R"({"create_request": {"key": "YQ==", "range_end": "AA=="}})", 2);
  recording.Advance(2 * kSecond);
  post("/v3/kv/put", R"({"key": "Yg==", "value": "Mg=="})");
  recording.Advance(9 * kSecond);
  post("/v3/kv/range", R"({"key": "YQ==", "range_end": "AA=="})");
  post("/v3/lease/grant", R"({"TTL": "5"})");
  post("/v3/kv/put", R"({"key": "YQ==", "value": "MQ==", "lease": "1002"})");
  recording.run.registry.SetLeader(recording.run.now, false);
  post("/v3/kv/range", R"({"key": "YQ=="})");
  recording.Advance(20 * kSecond);
  recording.run.registry.SetLeader(recording.run.now, true);
  recording.Advance(kSecond);
  post("/v3/kv/lease/revoke", R"({"ID": "1002"})");
  post("/v3/lease/revoke", R"({"ID": "1002"})");
  recording.run.registry.faults.user = "user";
  recording.run.registry.faults.password = "secret";
  post("/v3/kv/range", R"({"key": "YQ=="})");
  post("/v3/auth/authenticate", R"({"name": "user", "password": "wrong"})");
  post("/v3/auth/authenticate", R"({"name": "user", "password": "secret"})");
  http::Message authorized = Request("POST", "/v3/kv/range", R"({"key": "YQ=="})");
  authorized.headers["authorization"] = "token-1003";
  recording.Send(1, authorized);
  recording.run.registry.RevokeTokens();
  recording.Send(1, authorized);
  authorized.keep_alive = false;
  recording.Send(1, authorized);
}

std::uint64_t ConsulDigest(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto draw = [&random](std::uint64_t count) { return random() % count; };
  ConsulRun run;
  Digest digest;
  for (int step = 0; step < 4'000; ++step) {
    const std::string key = "/v1/kv/nodes/" + std::to_string(draw(6));
    const std::string session = "session-" + std::to_string(1 + draw(12));
    const std::string service = "n" + std::to_string(draw(4));
    const std::string index = std::to_string(draw(40) + static_cast<std::uint64_t>(step) / 4);
    switch (draw(16)) {
      case 0:
        run.Send(1, Request("PUT", key, std::to_string(step)));
        break;
      case 1:
        run.Send(1, Request("PUT", key, "held", {{"acquire", session}}));
        break;
      case 2:
        run.Send(1, Request("DELETE", key));
        break;
      case 3:
        run.Send(draw(9), Request("GET", key, "", {{"index", index}, {"wait", "3s"}}));
        break;
      case 4:
        run.Send(draw(9), Request("GET", "/v1/kv/nodes/", "", {{"recurse", ""}}));
        break;
      case 5:
        run.Send(draw(9), Request("GET", "/v1/kv/", "", {{"recurse", ""}, {"index", index}, {"wait", "9s"}}));
        break;
      case 6:
        run.Send(1, Request("PUT", "/v1/session/create", R"({"TTL": "3s"})"));
        break;
      case 7:
        run.Send(1, Request("PUT", "/v1/session/renew/" + session));
        break;
      case 8:
        run.keys.SetLeader(run.now, draw(4) != 0);
        break;
      case 9:
        run.Send(1, Request("PUT", "/v1/agent/check/pass/service:" + service));
        break;
      case 10:
        run.Send(1, Request("PUT", "/v1/agent/service/register",
                            R"({"Name": "s", "ID": ")" + service +
                                R"(", "Check": {"TTL": "2s", "DeregisterCriticalServiceAfter": "3s"}})"));
        break;
      case 11:
        run.Send(draw(9), Request("GET", "/v1/health/service/s", "", {{"index", index}}));
        break;
      case 12:
        run.keys.SetDelay(draw(3) * 100'000);
        break;
      case 13:
        run.keys.Forget(draw(9));
        break;
      case 14:
        if (draw(20) == 0) run.keys.RestoreIndex(1 + draw(run.keys.index()));
        break;
      default:
        run.now += draw(900'000);
    }
    run.Tick();
    digest.Add(run.TakeReplies());
  }
  return digest.Value();
}

std::uint64_t EtcdDigest(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto draw = [&random](std::uint64_t count) { return random() % count; };
  EtcdRun run;
  Digest digest;
  const auto post = [&](const std::string& path, const nlohmann::json& body) {
    run.Send(draw(9), Request("POST", path, body.dump()));
  };
  for (int step = 0; step < 4'000; ++step) {
    const std::string key = discovery::Base64("k" + std::to_string(draw(6)));
    const std::string end = discovery::Base64("k" + std::to_string(draw(6)));
    const std::uint64_t revision = run.registry.revision();
    switch (draw(16)) {
      case 0:
      case 1:
        post("/v3/kv/put", {{"key", key}, {"value", key}});
        break;
      case 2:
        post("/v3/kv/put", {{"key", key}, {"value", end}, {"lease", 1 + draw(6)}});
        break;
      case 3:
        post("/v3/kv/range", {{"key", key}, {"range_end", end}});
        break;
      case 4:
        post("/v3/kv/range",
             {{"key", key}, {"range_end", "AA=="}, {"limit", draw(4)}, {"revision", draw(revision + 2)}});
        break;
      case 5:
        if (draw(3) == 0) post("/v3/kv/deleterange", {{"key", key}, {"range_end", end}});
        break;
      case 6:
        post("/v3/lease/grant", {{"TTL", draw(4)}, {"ID", 1 + draw(6)}});
        break;
      case 7:
        post("/v3/lease/keepalive", {{"ID", 1 + draw(6)}});
        break;
      case 8:
        post("/v3/lease/timetolive", {{"ID", 1 + draw(6)}, {"keys", true}});
        break;
      case 9:
        post("/v3/watch", {{"create_request",
                            {{"key", key},
                             {"range_end", draw(2) == 0 ? end : "AA=="},
                             {"start_revision", draw(revision + 2)},
                             {"fragment", draw(2) == 0},
                             {"progress_notify", draw(2) == 0}}}});
        break;
      case 10:
        run.registry.Forget(draw(9));
        break;
      case 11:
        run.registry.SetLeader(run.now, draw(4) != 0);
        break;
      case 12:
        if (draw(10) == 0) run.registry.Restore(1 + draw(revision));
        break;
      case 13:
        if (draw(10) == 0) run.registry.Compact(draw(revision + 1));
        break;
      case 14:
        run.registry.watch_faults().max_events = draw(3);
        run.registry.watch_faults().reverse_events = draw(2) == 0;
        run.registry.PutAll(run.now, {{"k1", end}, {"k3", key}, {"k5", "x"}});
        break;
      default:
        run.now += draw(900'000);
    }
    run.Tick();
    digest.Add(run.TakeReplies());
  }
  for (const auto& [key, value] : run.registry.At(run.registry.revision() / 2)) digest.Add(key + value);
  return digest.Value();
}

TEST(RegistryReplies, MatchTheRecordedReplies) {
  GoldenFile golden("registry_replies.txt");
  RecordConsulKeys(&golden);
  RecordConsulSessions(&golden);
  RecordConsulCatalog(&golden);
  RecordEtcdKeys(&golden);
  RecordEtcdLeases(&golden);
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    golden.Add("consul.random." + std::to_string(seed), std::to_string(ConsulDigest(seed)));
    golden.Add("etcd.random." + std::to_string(seed), std::to_string(EtcdDigest(seed)));
  }
  EXPECT_GT(golden.recorded().size(), 150u);
  golden.Compare();
}

}  // namespace
}  // namespace mountflow::testing
