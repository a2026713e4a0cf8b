// Tests of nodes that are registered as instances of a Consul service: their health and the registrar.
#include <gtest/gtest.h>

#include "discovery/health.hpp"
#include "discovery/registrar.hpp"
#include "tools/registry_standin/consul_catalog.hpp"
#include "tools/registry_standin/consul_registry.hpp"

namespace mountflow::discovery {
namespace {

constexpr Micros kSecond = 1'000'000;

// Returns the nodes in a reply of /v1/health, by key.
std::map<std::string, job_manager::ListedNode> Instances(registry_standin::ConsulCatalog* catalog,
                                                         Micros now) {
  http::Message get;
  get.method = "GET", get.path = "/v1/health/service/nodes";
  catalog->Handle(now, 9, get);
  http::Reader out(http::Reader::Side::kReplies, 1 << 20);
  for (const auto& s : catalog->Take()) out.Feed(s.bytes);
  const auto pairs = DecodeHealth(out.messages().front().body);
  std::map<std::string, job_manager::ListedNode> all;
  EXPECT_TRUE(pairs) << Describe(pairs.error());
  if (!pairs) return all;
  for (const KeyValue& kv : *pairs) {
    const auto node = DecodeNodeEntry(kv.value);
    EXPECT_TRUE(node) << Describe(node.error()) << " " << kv.value;
    if (node) all[kv.key] = *node;
  }
  return all;
}

// Sends a PUT request to the catalog.
void Put(registry_standin::ConsulCatalog* catalog, Micros now, const std::string& path,
         const std::string& body = "", const std::string& query = "") {
  http::Message put;
  put.method = "PUT", put.path = path, put.body = body;
  if (!query.empty()) put.query = {{query, "true"}};
  EXPECT_TRUE(catalog->Handle(now, 9, put));
  catalog->Take();
}

TEST(ServiceHealth, ListsNodesWithPassingChecksAndMaintenanceAsDraining) {
  registry_standin::ConsulCatalog catalog;
  Micros now = 1000 * kSecond;
  job_manager::ListedNode n;
  n.name = "a", n.address = "10.0.0.1:15002", n.rack = "r1", n.room = "x", n.kind = "small";
  n.started = 5, n.free_cores = 2.5;
  Put(&catalog, now, "/v1/agent/service/register", EncodeService(EncodeNodeEntry(n), "nodes", 10 * kSecond));
  Put(&catalog, now, "/v1/agent/service/register",
      R"({"name": "nodes", "id": "tagged", "port": 7, "tags": ["rack=r2", "plain", "free_cores=3"]})");
  auto all = Instances(&catalog, now);
  ASSERT_EQ(all.size(), 2u);
  EXPECT_EQ(EncodeNodeEntry(all["a"]), EncodeNodeEntry(n));
  EXPECT_EQ(all["tagged"].address, "127.0.0.1:7");  // the address of its agent
  EXPECT_EQ(all["tagged"].rack, "r2");
  EXPECT_EQ(all["tagged"].free_cores, 3.0);
  Put(&catalog, now, "/v1/agent/service/maintenance/a", "", "enable");
  EXPECT_EQ(Instances(&catalog, now)["a"].state, NodeState::kDraining);
  now += 11 * kSecond;  // the check has expired
  all = Instances(&catalog, now);
  EXPECT_EQ(all.count("a"), 0u);
  EXPECT_EQ(all.count("tagged"), 1u);
  Put(&catalog, now, "/v1/agent/check/pass/service:a");
  EXPECT_EQ(Instances(&catalog, now).count("a"), 1u);
}

TEST(ServiceRegistrar, KeepsItsCheckPassingAndRegistersAgainAfterTheAgentLostIt) {
  registry_standin::ConsulCatalog catalog;
  RegistrarOptions o;
  o.key = "nodes/a";
  o.service = "nodes";
  Registrar registrar(o, 3);
  Micros now = 1000 * kSecond;
  job_manager::ListedNode n;
  n.name = "a", n.address = "10.0.0.1:15002";
  std::size_t requests = 0;
  const auto run = [&](Micros length, bool up, bool check_entry = true) {
    for (const Micros to = now + length; now < to; now += 100'000) {
      catalog.Tick(now);
      while (const auto request = registrar.NextRequest(now)) {
        ++requests;
        if (!up) {
          registrar.OnFailure(now, "refused");
          continue;
        }
        http::Reader in(http::Reader::Side::kRequests, 1 << 20), out(http::Reader::Side::kReplies, 1 << 20);
        in.Feed(request->bytes);
        catalog.Handle(now, 1, in.messages().front());
        for (const auto& s : catalog.Take()) out.Feed(s.bytes);
        ASSERT_EQ(out.messages().size(), 1u);
        registrar.OnReply(now, out.messages().front());
      }
      if (check_entry && registrar.HeldUntil() > now) {
        EXPECT_EQ(Instances(&catalog, now).count("a"), 1u);
      }
    }
  };
  registrar.SetEntry(now, EncodeNodeEntry(n), true);
  run(30 * kSecond, true);
  EXPECT_GT(registrar.HeldUntil(), now);
  EXPECT_LT(requests, 14u);
  run(15 * kSecond, false);
  EXPECT_EQ(Instances(&catalog, now).count("a"), 0u);
  run(5 * kSecond, true);
  EXPECT_EQ(Instances(&catalog, now).count("a"), 1u);
  catalog = registry_standin::ConsulCatalog();  // the agent has lost its data and rejects renewals
  run(10 * kSecond, true, false);
  EXPECT_EQ(Instances(&catalog, now).count("a"), 1u);
  n.state = NodeState::kDraining;
  registrar.SetEntry(now, EncodeNodeEntry(n), true);
  run(kSecond, true);
  EXPECT_EQ(Instances(&catalog, now)["a"].state, NodeState::kDraining);
  registrar.SetEntry(now, "", true);
  run(kSecond, true);
  EXPECT_TRUE(Instances(&catalog, now).empty());
}

TEST(ServiceHealth, NamesWhatIsInvalid) {
  const auto no_list = DecodeHealth("{}");
  ASSERT_FALSE(no_list);
  EXPECT_EQ(Describe(no_list.error()), "an array of service instances");
  const auto no_service = DecodeHealth(R"([{"Node": {}}])");
  ASSERT_FALSE(no_service);
  EXPECT_EQ(Describe(no_service.error()), "instances with a Service and its ID");
  // A field with an invalid number is an error of the entry.
  const auto pairs = DecodeHealth(
      R"([{"Service": {"ID": "a", "Address": "h", "Port": 1, "Meta": {"free_cores": "many"}}}])");
  ASSERT_TRUE(pairs);
  const auto node = DecodeNodeEntry(pairs->back().value);
  ASSERT_FALSE(node);
  EXPECT_EQ(Describe(node.error()), "free_cores: a number");
}

}  // namespace
}  // namespace mountflow::discovery
