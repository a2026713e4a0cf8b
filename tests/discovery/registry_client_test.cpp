// Tests of the registry client against in-memory registries. After any failure its list equals the registry.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "discovery/client.hpp"
#include "tests/support/registry_fixture.hpp"

namespace mountflow::testing {
namespace {

using discovery::RegistryKind;

constexpr Micros kMs = 1000, kSecond = 1'000'000;

TEST(RegistryClient, ReadsInPagesThenFollowsEachChangeFromItsRevision) {
  for (const RegistryKind kind : {RegistryKind::kEtcd, RegistryKind::kConsul}) {
    RegistryFixture fixture(kind);
    for (int i = 0; i < 10; ++i) fixture.Put("n" + std::to_string(i), i);
    fixture.Run(kSecond);
    EXPECT_EQ(fixture.snapshots, 1u);
    EXPECT_EQ(fixture.PublishedEntries(), fixture.StoredEntries());
    EXPECT_EQ(fixture.nodes.size(), 10u);
    const auto rereads = fixture.client->Status(fixture.now).rereads;
    fixture.Put("n3", 33);
    fixture.Delete("n4");
    fixture.Put("new", 1);
    fixture.Run(kSecond);
    EXPECT_EQ(fixture.PublishedEntries(), fixture.StoredEntries());
    EXPECT_EQ(fixture.nodes.at("n3").free_cores, 33.0);
    EXPECT_EQ(fixture.client->Status(fixture.now).rereads, rereads);
    EXPECT_EQ(fixture.snapshots, 1u);
    EXPECT_TRUE(fixture.warnings.empty()) << fixture.warnings[0];
  }
}

TEST(RegistryClient, ResumesWithoutAFullReadAfterAFailureShorterThanCompaction) {
  RegistryFixture fixture(RegistryKind::kEtcd);
  fixture.Put("a", 1);
  fixture.Run(kSecond);
  fixture.CloseConnection();
  fixture.up[0] = false;
  fixture.Put("a", 2);
  fixture.Put("b", 1);
  fixture.Delete("a");
  fixture.Run(2 * kSecond);
  fixture.up[0] = true;
  fixture.Run(10 * kSecond);
  EXPECT_EQ(fixture.PublishedEntries(), fixture.StoredEntries());
  EXPECT_EQ(fixture.client->Status(fixture.now).rereads, 1u);
  EXPECT_EQ(fixture.client->Status(fixture.now).compactions, 0u);
}

TEST(RegistryClient, ReadsAllAfterACompactionAndPublishesWhatVanished) {
  RegistryFixture fixture(RegistryKind::kEtcd);
  for (int i = 0; i < 8; ++i) fixture.Put("n" + std::to_string(i), i);
  fixture.Run(kSecond);
  fixture.CloseConnection();
  fixture.up[0] = false;
  fixture.Delete("n2");
  fixture.Put("n3", 30);
  fixture.Put("late", 1);
  fixture.Etcd().Compact(fixture.Etcd().revision());
  fixture.Run(kSecond);
  fixture.up[0] = true;
  fixture.Run(10 * kSecond);
  EXPECT_EQ(fixture.PublishedEntries(), fixture.StoredEntries());
  EXPECT_EQ(fixture.nodes.count("n2"), 0u);
  EXPECT_EQ(fixture.client->Status(fixture.now).compactions, 1u);
  EXPECT_EQ(fixture.client->Status(fixture.now).rereads, 2u);
  EXPECT_EQ(fixture.snapshots, 1u);  // the second full read is published as changes
}

TEST(RegistryClient, StartsAFullReadOverWhenItsRevisionIsCompacted) {
  RegistryFixture fixture(RegistryKind::kEtcd);
  for (int i = 0; i < 10; ++i) fixture.Put("n" + std::to_string(i), i);
  fixture.Etcd().faults.compact_at_page = 0;
  // The second page is requested at the revision of the first one, which has been compacted by then.
  fixture.Etcd().faults.compact_at_page = 1000;
  fixture.Put("n0", 5);
  // Compact() stops at the newest revision, so another change must make the first page's revision older.
  bool changed = false;
  for (int i = 0; i < 200; ++i) {
    fixture.RunUntilIdle();
    if (!changed && fixture.Etcd().faults.compact_at_page != 0) {
      fixture.Put("n1", 6);
      changed = true;
    }
    fixture.now += 10 * kMs;
  }
  EXPECT_EQ(fixture.PublishedEntries(), fixture.StoredEntries());
  EXPECT_EQ(fixture.nodes.size(), 10u);
}

TEST(RegistryClient, CoalescesAFloodWithoutDelayingADrainInIt) {
  RegistryFixture fixture(RegistryKind::kEtcd);
  for (int i = 0; i < 50; ++i) fixture.Put("n" + std::to_string(i), 0);
  fixture.Run(kSecond);
  const std::size_t before = fixture.events;
  const Micros from = fixture.now;
  Micros drained_at = 0;
  for (int i = 0; i < 10'000; ++i) {
    fixture.Put("n" + std::to_string(i % 50), i);
    if (i == 4321) {
      fixture.Put("n7", 1, NodeState::kDraining);
      fixture.RunUntilIdle();
      drained_at = fixture.now;
    }
    if (i % 10 == 0) {
      fixture.now += kMs;
      fixture.RunUntilIdle();
    }
  }
  fixture.Run(kSecond);
  EXPECT_EQ(fixture.PublishedEntries(), fixture.StoredEntries());
  ASSERT_FALSE(fixture.drains.empty());
  EXPECT_EQ(fixture.drains[0].second, "n7");
  EXPECT_EQ(fixture.drains[0].first, drained_at);
  const double seconds = static_cast<double>(fixture.now - from) * 1e-6;
  EXPECT_LE(static_cast<double>(fixture.events - before),
            seconds * 10.0 + 3.0);  // ten per second, and the event of the drain
}

TEST(RegistryClient, PublishesTenThousandChangesOfAResumptionAsOneEvent) {
  RegistryFixture fixture(RegistryKind::kEtcd);
  fixture.Put("a", 1);
  fixture.Run(kSecond);
  fixture.CloseConnection();
  for (int i = 0; i < 10'000; ++i) fixture.Put("n" + std::to_string(i % 100), i);
  const std::size_t before = fixture.events;
  fixture.RunUntilIdle();
  EXPECT_EQ(fixture.PublishedEntries(), fixture.StoredEntries());
  EXPECT_LE(fixture.events - before, 2u);
  EXPECT_EQ(fixture.client->Status(fixture.now).rereads, 1u);
}

TEST(RegistryClient, AppliesTheFragmentsOfARevisionTogether) {
  RegistryFixture fixture(RegistryKind::kEtcd);
  fixture.Put("a", 1);
  fixture.Run(kSecond);
  fixture.Etcd().watch_faults().max_events = 2;
  std::vector<std::pair<std::string, std::string>> pairs;
  for (int i = 0; i < 9; ++i) {
    const std::string name = "n" + std::to_string(i);
    pairs.emplace_back(fixture.options.prefix + name, NodeValue(name));
  }
  fixture.bytes_until_close = 1200;  // some fragments, but not the last one
  fixture.Etcd().PutAll(fixture.now, pairs);
  fixture.Run(5 * kSecond);
  EXPECT_EQ(fixture.PublishedEntries(), fixture.StoredEntries());
  EXPECT_EQ(fixture.nodes.size(), 10u);
  EXPECT_EQ(fixture.client->Status(fixture.now).rereads, 1u);
  EXPECT_GE(fixture.client->Status(fixture.now).breaks, 1u);
}

TEST(RegistryClient, RejectsTheDataOfAnEndpointThatIsBehind) {
  RegistryFixture fixture(RegistryKind::kEtcd, 2);
  for (int i = 0; i < 5; ++i) fixture.Put("n" + std::to_string(i), i);
  fixture.Run(kSecond);
  // The second member falls behind, then the first one fails.
  for (int i = 0; i < 5; ++i)
    fixture.etcd[0]->Put(fixture.now, fixture.options.prefix + "n" + std::to_string(i),
                         NodeValue("n" + std::to_string(i), 50 + i));
  fixture.etcd[0]->Delete(fixture.now, fixture.options.prefix + "n0");
  fixture.Run(kSecond);
  EXPECT_EQ(fixture.nodes.count("n0"), 0u);
  fixture.up[0] = false;
  fixture.CloseConnection();
  fixture.Run(20 * kSecond);
  EXPECT_EQ(fixture.nodes.count("n0"), 0u);  // not resurrected
  EXPECT_EQ(fixture.nodes.at("n1").free_cores, 51.0);
  EXPECT_FALSE(fixture.warnings.empty());
  fixture.up[0] = true;
  fixture.Run(20 * kSecond);
  EXPECT_EQ(fixture.PublishedEntries(), fixture.StoredEntries());
}

TEST(RegistryClient, ReadsAllOfARestoredRegistry) {
  RegistryFixture fixture(RegistryKind::kEtcd);
  for (int i = 0; i < 5; ++i) fixture.Put("n" + std::to_string(i), i);
  fixture.Run(kSecond);
  const auto backup_revision = fixture.Etcd().revision();
  for (int i = 0; i < 5; ++i) fixture.Put("later" + std::to_string(i), i);
  fixture.Run(kSecond);
  fixture.Etcd().Restore(backup_revision);
  fixture.Run(30 * kSecond);
  EXPECT_EQ(fixture.PublishedEntries(), fixture.StoredEntries());
  EXPECT_EQ(fixture.nodes.size(), 5u);
  EXPECT_EQ(fixture.client->Status(fixture.now).new_histories, 1u);
  // Applied, although its revision is lower than the newest one seen before the restore.
  fixture.Put("n0", 99);
  fixture.Run(kSecond);
  EXPECT_EQ(fixture.PublishedEntries(), fixture.StoredEntries());
}

// Guards against a restore that goes unnoticed because the revision counts up to the last one seen again,
// with different changes. A random script found this case.
TEST(RegistryClient, NoticesARestoreThatCountsUpToTheRevisionSeen) {
  RegistryFixture fixture(RegistryKind::kEtcd);
  fixture.Put("n0", 0);
  fixture.Put("n0", 0);
  fixture.Put("n0", 0);
  fixture.Run(kSecond);
  fixture.CloseConnection();
  fixture.Etcd().Restore(fixture.Etcd().revision() - 1);
  fixture.Put("n1", 1);
  fixture.Run(10 * kSecond);
  EXPECT_EQ(fixture.PublishedEntries(), fixture.StoredEntries());
  EXPECT_EQ(fixture.client->Status(fixture.now).new_histories, 1u);
}

// Restores a Consul registry between two blocking reads, so that its index decreases, and drains a node right
// after.
class ConsulRestoreBetweenReads : public ::testing::Test {
 protected:
  ConsulRestoreBetweenReads() : fixture_(RegistryKind::kConsul) {
    for (int i = 0; i < 20; ++i) fixture_.Put("n" + std::to_string(i), i);
    fixture_.Run(20 * kSecond);
  }
  registry_standin::ConsulRegistry& Registry() { return *fixture_.consul[0]; }
  // Changes a node twice. The read of the second change is answered, and the next one waits for min_interval.
  void BeginPause() {
    for (const int cores : {50, 51}) {
      fixture_.Put("n1", cores);
      fixture_.RunUntilIdle();
    }
  }
  // Drains a node and returns how long the client takes to publish this. Fails the test if it takes longer
  // than a minute. `is_busy`: another node changes every 0.1 s in the meantime.
  Micros TimeUntilDrainIsListed(bool is_busy = false) {
    const Micros drained_at = fixture_.now;
    fixture_.Put("n0", 0, NodeState::kDraining);
    for (int turn = 0; fixture_.drains.empty() && fixture_.now < drained_at + 60 * kSecond; ++turn) {
      if (is_busy && turn % 5 == 0) fixture_.Put("n2", turn);
      fixture_.Run(20 * kMs);
    }
    EXPECT_FALSE(fixture_.drains.empty());
    EXPECT_EQ(fixture_.PublishedEntries(), fixture_.StoredEntries());
    return fixture_.now - drained_at;
  }

  static constexpr Micros kMaxDelay = 1'200'000;  // duration of a brief read and of the pause before it
  RegistryFixture fixture_;
};

// Guards against a list that stays outdated for a whole blocking read because the registry was restored in
// the pause before the read.
TEST_F(ConsulRestoreBetweenReads, InThePauseAfterAChangeADrainIsListedWithinABriefRead) {
  BeginPause();
  Registry().RestoreIndex(5);
  EXPECT_LE(TimeUntilDrainIsListed(), kMaxDelay);
  EXPECT_EQ(fixture_.client->Status(fixture_.now).new_histories, 1u);
}

TEST_F(ConsulRestoreBetweenReads, InABusyRegistryADrainIsListedWithinABriefRead) {
  for (int i = 0; i < 500; ++i) fixture_.Put("n3", i);
  fixture_.Run(20 * kSecond);
  BeginPause();
  Registry().RestoreIndex(5);
  EXPECT_LE(TimeUntilDrainIsListed(true), kMaxDelay);
  EXPECT_EQ(fixture_.client->Status(fixture_.now).new_histories, 1u);
}

TEST_F(ConsulRestoreBetweenReads, DuringAnOutageADrainIsListedWithinABriefRead) {
  fixture_.up[0] = false;
  fixture_.CloseConnection();
  Registry().RestoreIndex(5);
  fixture_.Run(3 * kSecond);
  fixture_.up[0] = true;
  while (!fixture_.client->Status(fixture_.now).current) fixture_.Run(20 * kMs);
  EXPECT_LE(TimeUntilDrainIsListed(), kMaxDelay);
  EXPECT_EQ(fixture_.client->Status(fixture_.now).new_histories, 1u);
}

TEST_F(ConsulRestoreBetweenReads, CountedUpToTheIndexSeenADrainIsListedWithinABriefRead) {
  BeginPause();
  const auto seen_index = Registry().index();
  Registry().RestoreIndex(seen_index - 1);
  EXPECT_LE(TimeUntilDrainIsListed(), kMaxDelay);
  EXPECT_EQ(Registry().index(), seen_index);
}

TEST_F(ConsulRestoreBetweenReads, WhileAReadWaitsADrainIsListedAtOnce) {
  Registry().RestoreIndex(5);
  EXPECT_LE(TimeUntilDrainIsListed(), 200 * kMs);
  EXPECT_EQ(fixture_.client->Status(fixture_.now).new_histories, 1u);
}

TEST(RegistryClient, ToleratesRepeatedAndReorderedMessages) {
  RegistryFixture fixture(RegistryKind::kEtcd);
  fixture.Etcd().watch_faults().duplicate_messages = true;
  fixture.Etcd().watch_faults().reverse_events = true;
  fixture.Put("a", 1);
  fixture.Run(kSecond);
  fixture.CloseConnection();
  fixture.Put("a", 2);
  fixture.Delete("a");
  fixture.Put("b", 1);
  fixture.Put("a", 3);
  fixture.Delete("b");
  fixture.Run(5 * kSecond);
  EXPECT_EQ(fixture.PublishedEntries(), fixture.StoredEntries());
}

TEST(RegistryClient, RequestsAnotherTokenWhenItsTokenHasExpired) {
  RegistryFixture fixture(RegistryKind::kEtcd);
  fixture.Etcd().faults.user = "mountflow", fixture.Etcd().faults.password = "secret";
  fixture.options.user = "mountflow", fixture.options.password = "secret";
  fixture.client = std::make_unique<discovery::RegistryClient>(fixture.options, 5);
  fixture.Put("a", 1);
  fixture.Run(kSecond);
  EXPECT_EQ(fixture.PublishedEntries(), fixture.StoredEntries());
  fixture.Etcd().RevokeTokens();
  fixture.CloseConnection();
  fixture.Put("a", 2);
  fixture.Run(10 * kSecond);
  EXPECT_EQ(fixture.PublishedEntries(), fixture.StoredEntries());
}

TEST(RegistryClient, PublishesAndCountsARegistryThatEmptiesSuddenly) {
  for (const RegistryKind kind : {RegistryKind::kConsul, RegistryKind::kEtcd}) {
    RegistryFixture fixture(kind);
    for (int i = 0; i < 6; ++i) fixture.Put("n" + std::to_string(i), i);
    fixture.Run(kSecond);
    fixture.CloseConnection();
    fixture.up[0] = false;
    for (int i = 0; i < 6; ++i) fixture.Delete("n" + std::to_string(i));
    fixture.Etcd().Compact(fixture.Etcd().revision());
    fixture.Run(kSecond);
    fixture.up[0] = true;
    fixture.Run(10 * kSecond);
    EXPECT_TRUE(fixture.nodes.empty());
    EXPECT_EQ(fixture.client->Status(fixture.now).emptied, 1u);
  }
}

TEST(RegistryClient, LeavesASilentEndpointAndReportsTheAgeOfTheList) {
  RegistryFixture fixture(RegistryKind::kEtcd, 2);
  fixture.Put("a", 1);
  fixture.Run(kSecond);
  fixture.drops_replies = true;  // the connection stays open without receiving bytes
  fixture.Put("a", 2);
  fixture.Run(10 * kSecond);
  EXPECT_GT(fixture.client->Status(fixture.now).age, 8 * kSecond);
  EXPECT_EQ(fixture.nodes.at("a").free_cores, 1.0);  // the last known state is retained
  fixture.Run(20 * kSecond);
  EXPECT_GE(fixture.client->Status(fixture.now).breaks, 1u);  // the client has left the endpoint
  fixture.StopDroppingReplies();
  fixture.Run(40 * kSecond);
  EXPECT_EQ(fixture.PublishedEntries(), fixture.StoredEntries());
  EXPECT_LT(fixture.client->Status(fixture.now).age, 3 * kSecond);
}

// Guards against a list that counts as current too early: a resumed watch is created before the missed
// changes arrive.
TEST(RegistryClient, ConfirmsAResumedWatchOnlyWhenTheMissedChangesHaveArrived) {
  RegistryFixture fixture(RegistryKind::kEtcd);
  fixture.Put("a", 1);
  fixture.Run(kSecond);
  const std::uint64_t incarnations = fixture.client->state().incarnations();
  fixture.up[0] = false;
  fixture.CloseConnection();
  fixture.Put("b", 1);
  fixture.Run(10 * kSecond);
  fixture.up[0] = true;
  // Only the header of the reply and the message that the watch was created are delivered.
  fixture.bytes_until_close = 400;
  for (int i = 0; i < 500 && fixture.client->Status(fixture.now).age > 9 * kSecond; ++i) {
    if (fixture.nodes.count("b") == 0) {
      EXPECT_GT(fixture.client->Status(fixture.now).age, 9 * kSecond);
    }
    fixture.Run(20'000);
  }
  EXPECT_EQ(fixture.PublishedEntries(), fixture.StoredEntries());
  EXPECT_GT(fixture.client->state().incarnations(), incarnations);
}

TEST(RegistryClient, SkipsInvalidEntriesWithOneWarningEach) {
  RegistryFixture fixture(RegistryKind::kEtcd);
  fixture.Put("good", 1);
  fixture.Put("turns", 1);
  fixture.Run(kSecond);
  fixture.Etcd().Put(fixture.now, fixture.options.prefix + "bad", "{");
  fixture.Etcd().Put(fixture.now, fixture.options.prefix + "huge", std::string(100'000, 'x'));
  fixture.Etcd().Put(fixture.now, fixture.options.prefix + "turns", "[]");
  fixture.Run(kSecond);
  EXPECT_EQ(fixture.nodes.size(), 2u);  // the node whose entry became invalid retains its last valid state
  EXPECT_EQ(fixture.warnings.size(), 3u);
  fixture.Run(5 * kSecond);
  EXPECT_EQ(fixture.warnings.size(), 3u);
}

// Runs a random script of changes and faults. Checks that, after the faults have ended, the published list
// equals the registry. For etcd without a restore it also checks after each step that the client's state
// equals the registry at the state's revision.
void RunScript(RegistryKind kind, const std::vector<std::pair<int, int>>& script) {
  RegistryFixture fixture(kind);
  bool restored = false;
  for (const auto& [what, value] : script) {
    const int w = std::abs(what) % 20, v = std::abs(value) % 8;
    const std::string name = "n" + std::to_string(v);
    if (w < 6) fixture.Put(name, value % 100);
    if (w == 6 || w == 7) fixture.Delete(name);
    if (w == 8) fixture.Put(name, 1, NodeState::kDraining);
    if (w == 9) fixture.CloseConnection();
    if (w == 10) fixture.bytes_until_close = static_cast<std::size_t>(std::abs(value) % 3000);
    if (w == 11) fixture.up[0] = !fixture.up[0];
    if (w == 12)
      fixture.Etcd().Compact(fixture.Etcd().revision() -
                             static_cast<std::uint64_t>(v) % fixture.Etcd().revision());
    if (w == 13) fixture.Etcd().watch_faults().duplicate_messages = v % 2 == 0;
    if (w == 14) fixture.Etcd().watch_faults().reverse_events = v % 2 == 0;
    if (w == 15) fixture.Etcd().watch_faults().max_events = static_cast<std::size_t>(v % 4);
    if (w == 16) fixture.Run(static_cast<Micros>(v) * 300 * kMs);
    if (w == 17 && fixture.drops_replies)
      fixture.StopDroppingReplies();
    else if (w == 17)
      fixture.drops_replies = true;
    if (w == 18 && kind == RegistryKind::kEtcd && v == 0 && fixture.Etcd().revision() > 4) {
      fixture.Etcd().Restore(fixture.Etcd().revision() - 2);
      restored = true;
    }
    if (w == 19) fixture.client->StartFullRead(fixture.now);
    fixture.now += 5 * kMs;
    fixture.RunUntilIdle();
    if (kind == RegistryKind::kEtcd && !restored) {
      std::map<std::string, std::string> known;
      for (const auto& [key, kv] : fixture.client->state().entries()) known[key] = kv.value;
      if (fixture.client->state().revision() != 0) {
        RC_ASSERT(known == fixture.Etcd().At(fixture.client->state().revision()));
      }
    }
  }
  fixture.up[0] = true;
  if (fixture.drops_replies) fixture.StopDroppingReplies();
  fixture.bytes_until_close = ~std::size_t{0};
  fixture.Run(60 * kSecond, 100 * kMs);
  RC_ASSERT(fixture.PublishedEntries() == fixture.StoredEntries());
}

TEST(RegistryProperty, EtcdListEqualsTheRegistryAfterAnyScript) {
  EXPECT_TRUE(rc::check(
      [](const std::vector<std::pair<int, int>>& script) { RunScript(RegistryKind::kEtcd, script); }));
}

TEST(RegistryProperty, ConsulListEqualsTheRegistryAfterAnyScript) {
  EXPECT_TRUE(rc::check(
      [](const std::vector<std::pair<int, int>>& script) { RunScript(RegistryKind::kConsul, script); }));
}

}  // namespace
}  // namespace mountflow::testing
