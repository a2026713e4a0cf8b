// Tests of the blocking queries of the fake Consul.
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "discovery/entry.hpp"
#include "http/message.hpp"
#include "tools/registry_standin/consul_registry.hpp"

namespace mountflow {
namespace {

constexpr Micros kSecond = 1'000'000;

http::Message Get(const std::string& path, std::map<std::string, std::string> query = {}) {
  http::Message m;
  m.method = "GET", m.path = path, m.query = std::move(query);
  return m;
}

http::Message Parse(const std::string& bytes) {
  http::Reader reader(http::Reader::Side::kReplies, 1 << 20);
  EXPECT_TRUE(reader.Feed(bytes));
  EXPECT_EQ(reader.messages().size(), 1u);
  return reader.messages().empty() ? http::Message{} : reader.messages().front();
}

TEST(ConsulBlockingQuery, ABlockedReadIsAnsweredWithTheChangeAfterTheConfiguredDelay) {
  registry_standin::ConsulRegistry registry;
  http::Message put = Get("/v1/kv/nodes/a");
  put.method = "PUT", put.body = "one";
  registry.Handle(0, 1, put);
  registry.Take();
  registry.Handle(0, 2, Get("/v1/kv/nodes/", {{"recurse", ""}}));
  const http::Message first = Parse(registry.Take()[0].bytes);
  const std::string index = first.Header("x-consul-index");
  registry.Handle(0, 2, Get("/v1/kv/nodes/", {{"recurse", ""}, {"index", index}, {"wait", "10s"}}));
  EXPECT_TRUE(registry.Take().empty());
  registry.SetDelay(3 * kSecond);
  put.body = "two";
  registry.Handle(kSecond, 1, put);
  EXPECT_EQ(registry.Take().size(), 1u);  // the writer's reply
  registry.Tick(3'900'000);
  EXPECT_TRUE(registry.Take().empty());
  registry.Tick(4 * kSecond);
  const auto woken = registry.Take();
  ASSERT_EQ(woken.size(), 1u);
  const auto pairs = discovery::DecodeKeyValues(Parse(woken[0].bytes).body);
  ASSERT_TRUE(pairs);
  EXPECT_EQ(pairs->at(0).value, "two");
  EXPECT_EQ(registry.NextTimer(), ~Micros{0});
}

TEST(ConsulBlockingQuery, ABlockedReadEndsAtItsTimeoutAndARemovalEndsItEarlier) {
  registry_standin::ConsulRegistry registry;
  http::Message put = Get("/v1/kv/a");
  put.method = "PUT", put.body = "x";
  registry.Handle(0, 1, put);
  registry.Take();
  registry.Handle(0, 2, Get("/v1/kv/a", {{"index", "99"}, {"wait", "2s"}}));
  registry.Tick(2 * kSecond);
  EXPECT_EQ(registry.Take().size(), 1u);
  registry.Handle(0, 2, Get("/v1/kv/a", {{"index", std::to_string(registry.index())}}));
  http::Message gone = Get("/v1/kv/a");
  gone.method = "DELETE";
  registry.Handle(kSecond, 1, gone);
  const auto woken = registry.Take();
  ASSERT_EQ(woken.size(), 2u);
  EXPECT_EQ(Parse(woken[1].connection == 2 ? woken[1].bytes : woken[0].bytes).status, 404);
}

}  // namespace
}  // namespace mountflow
