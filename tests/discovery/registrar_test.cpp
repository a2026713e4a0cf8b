// Tests of the registrar with an etcd lease and with a Consul session.
#include "discovery/registrar.hpp"

#include <gtest/gtest.h>

#include "discovery/entry.hpp"
#include "tools/registry_standin/consul_registry.hpp"
#include "tools/registry_standin/etcd_registry.hpp"

namespace mountflow::discovery {
namespace {

constexpr Micros kSecond = 1'000'000;

// A registrar and the registries that it can write to, of which it uses one.
class RegistrarFixture {
 public:
  explicit RegistrarFixture(RegistryKind kind) : kind_(kind) {
    RegistrarOptions o;
    o.kind = kind;
    o.key = "nodes/a";
    registrar = std::make_unique<Registrar>(o, 3);
  }
  registry_standin::EtcdRegistry etcd;
  registry_standin::ConsulRegistry consul;
  std::unique_ptr<Registrar> registrar;
  Micros now = 1000 * kSecond;
  bool up = true;
  std::size_t requests = 0;

  void Step() {
    if (registrar->IsOverdue(now)) registrar->OnFailure(now, "no answer");
    etcd.Tick(now);
    consul.Tick(now);
    for (int i = 0; i < 10; ++i) {
      const auto request = registrar->NextRequest(now);
      if (!request) return;
      ++requests;
      if (!up) {
        registrar->OnFailure(now, "refused");
        continue;
      }
      http::Reader in(http::Reader::Side::kRequests, 1 << 20), out(http::Reader::Side::kReplies, 1 << 20);
      in.Feed(request->bytes);
      kind_ == RegistryKind::kEtcd ? etcd.Handle(now, 1, in.messages().front())
                                   : consul.Handle(now, 1, in.messages().front());
      for (const auto& s : etcd.Take()) out.Feed(s.bytes);
      for (const auto& s : consul.Take()) out.Feed(s.bytes);
      ASSERT_EQ(out.messages().size(), 1u);
      registrar->OnReply(now, out.messages().front());
    }
  }
  void Run(Micros length) {
    for (const Micros to = now + length; now < to;) {
      now += 100'000;
      Step();
    }
  }
  void Remove() {
    http::Message request;
    request.method = "DELETE", request.path = "/v1/kv/nodes/a";
    kind_ == RegistryKind::kEtcd ? void(etcd.Delete(now, "nodes/a")) : consul.Handle(now, 9, request);
    consul.Take();
  }
  std::string Value() {
    if (kind_ == RegistryKind::kEtcd) {
      const auto all = etcd.Now();
      const auto it = all.find("nodes/a");
      return it == all.end() ? "" : it->second;
    }
    http::Message get;
    get.method = "GET", get.path = "/v1/kv/nodes/a";
    consul.Handle(now, 9, get);
    http::Reader out(http::Reader::Side::kReplies, 1 << 20);
    for (const auto& s : consul.Take()) out.Feed(s.bytes);
    if (out.messages().front().status != 200) return "";
    return DecodeKeyValues(out.messages().front().body).value().at(0).value;
  }

 private:
  RegistryKind kind_;
};

class RegistrarOfEitherKind : public ::testing::TestWithParam<RegistryKind> {};

TEST_P(RegistrarOfEitherKind, KeepsItsEntryWhileTheLeaseIsRenewed) {
  RegistrarFixture fixture(GetParam());
  fixture.registrar->SetEntry(fixture.now, "one", true);
  fixture.Run(kSecond);
  EXPECT_EQ(fixture.Value(), "one");
  fixture.Run(60 * kSecond);
  EXPECT_EQ(fixture.Value(), "one");
  EXPECT_GT(fixture.registrar->HeldUntil(), fixture.now);
  EXPECT_LT(fixture.requests, 40u);  // one renewal per third of the time to live
  fixture.up = false;
  fixture.Run(9 * kSecond);
  fixture.Run(15 * kSecond);
  EXPECT_EQ(fixture.Value(), "");
  EXPECT_LE(fixture.registrar->HeldUntil(), fixture.now);  // the registrar knows that its entry has expired
  fixture.up = true;
  fixture.Run(10 * kSecond);
  EXPECT_EQ(fixture.Value(), "one");  // a new lease was opened and the entry written again
  EXPECT_EQ(fixture.registrar->incarnations(), 2u);
}

TEST_P(RegistrarOfEitherKind, NeverReportsItsEntryHeldLongerThanTheRegistryHasIt) {
  RegistrarFixture fixture(GetParam());
  fixture.registrar->SetEntry(fixture.now, "one", true);
  for (int i = 0; i < 600; ++i) {
    fixture.up = (i / 37) % 3 != 1;
    fixture.Run(100'000);
    if (fixture.registrar->HeldUntil() > fixture.now) {
      EXPECT_EQ(fixture.Value(), "one") << i;
    }
  }
}

// Guards against an entry that stays absent after another client removed it while the lease is still renewed.
TEST_P(RegistrarOfEitherKind, WritesAnEntryAgainThatOthersRemoved) {
  RegistrarFixture fixture(GetParam());
  fixture.registrar->SetEntry(fixture.now, "one", true);
  fixture.Run(5 * kSecond);
  const std::uint64_t incarnations = fixture.registrar->incarnations();
  fixture.Remove();
  fixture.registrar->OnEntryMissing(fixture.now);
  EXPECT_EQ(fixture.registrar->HeldUntil(), 0u);
  fixture.Step();
  EXPECT_EQ(fixture.Value(), "one");
  EXPECT_GT(fixture.registrar->incarnations(), incarnations);
  fixture.registrar->OnEntryMissing(fixture.now);  // an observation from before the write
  EXPECT_GT(fixture.registrar->HeldUntil(), fixture.now);
  fixture.Remove();  // OnEntryMissing is not called
  fixture.Run(80 * kSecond);
  EXPECT_EQ(fixture.Value(), "one");
}

TEST_P(RegistrarOfEitherKind, CoalescesChangesButNotAChangeOfStateOrARemoval) {
  RegistrarFixture fixture(GetParam());
  fixture.registrar->SetEntry(fixture.now, "v", true);
  fixture.Run(kSecond);
  const std::size_t before = fixture.requests;
  for (int i = 0; i < 100; ++i) {
    fixture.registrar->SetEntry(fixture.now, "v" + std::to_string(i), false);
    fixture.now += 10'000;
    fixture.Step();
  }
  EXPECT_LE(fixture.requests - before, 7u);
  fixture.registrar->SetEntry(fixture.now, "draining", true);
  fixture.Step();
  EXPECT_EQ(fixture.Value(), "draining");
  fixture.registrar->SetEntry(fixture.now, "", true);
  fixture.Run(kSecond);
  EXPECT_EQ(fixture.Value(), "");
  EXPECT_TRUE(fixture.registrar->IsUpToDate());
}

INSTANTIATE_TEST_SUITE_P(Kinds, RegistrarOfEitherKind,
                         ::testing::Values(RegistryKind::kConsul, RegistryKind::kEtcd),
                         [](const auto& k) { return k.param == RegistryKind::kEtcd ? "etcd" : "consul"; });

}  // namespace
}  // namespace mountflow::discovery
