// The registry client against stand-in stores: what it shows is what the registry held, after whatever break.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "discovery/client.hpp"
#include "tests/support/registry_fixture.hpp"

namespace mountflow::testing {
namespace {

using discovery::KeyValue;
using discovery::RegistryKind;
using discovery::RegistryState;

constexpr Micros kMs = 1000, kSecond = 1'000'000;

TEST(RegistryClient, ReadsInPagesThenFollowsEachChangeFromItsRevision) {
  for (const RegistryKind kind : {RegistryKind::kEtcd, RegistryKind::kConsul}) {
    RegistryRig rig(kind);
    for (int i = 0; i < 10; ++i) rig.Put("n" + std::to_string(i), i);
    rig.Run(kSecond);
    EXPECT_EQ(rig.full_views, 1u);
    EXPECT_EQ(rig.Seen(), rig.Truth());
    EXPECT_EQ(rig.view.size(), 10u);
    const auto rereads = rig.client->Status(rig.now).rereads;
    rig.Put("n3", 33);
    rig.Delete("n4");
    rig.Put("new", 1);
    rig.Run(kSecond);
    EXPECT_EQ(rig.Seen(), rig.Truth());
    EXPECT_EQ(rig.view.at("n3").free_cores, 33.0);
    EXPECT_EQ(rig.client->Status(rig.now).rereads, rereads);
    EXPECT_EQ(rig.full_views, 1u);
    EXPECT_TRUE(rig.complaints.empty()) << rig.complaints[0];
  }
}

TEST(RegistryClient, ABreakShorterThanCompactionResumesWithoutRereading) {
  RegistryRig rig(RegistryKind::kEtcd);
  rig.Put("a", 1);
  rig.Run(kSecond);
  rig.Cut();
  rig.up[0] = false;
  rig.Put("a", 2);
  rig.Put("b", 1);
  rig.Delete("a");
  rig.Run(2 * kSecond);
  rig.up[0] = true;
  rig.Run(10 * kSecond);
  EXPECT_EQ(rig.Seen(), rig.Truth());
  EXPECT_EQ(rig.client->Status(rig.now).rereads, 1u);
  EXPECT_EQ(rig.client->Status(rig.now).compactions, 0u);
}

TEST(RegistryClient, ABreakLongEnoughForCompactionRereadsAndTellsWhatVanished) {
  RegistryRig rig(RegistryKind::kEtcd);
  for (int i = 0; i < 8; ++i) rig.Put("n" + std::to_string(i), i);
  rig.Run(kSecond);
  rig.Cut();
  rig.up[0] = false;
  rig.Delete("n2");
  rig.Put("n3", 30);
  rig.Put("late", 1);
  rig.Etcd().Compact(rig.Etcd().revision());
  rig.Run(kSecond);
  rig.up[0] = true;
  rig.Run(10 * kSecond);
  EXPECT_EQ(rig.Seen(), rig.Truth());
  EXPECT_EQ(rig.view.count("n2"), 0u);
  EXPECT_EQ(rig.client->Status(rig.now).compactions, 1u);
  EXPECT_EQ(rig.client->Status(rig.now).rereads, 2u);
  EXPECT_EQ(rig.full_views, 1u);  // the reread is told as changes
}

TEST(RegistryClient, ACompactionDuringTheRereadBeginsItAnew) {
  RegistryRig rig(RegistryKind::kEtcd);
  for (int i = 0; i < 10; ++i) rig.Put("n" + std::to_string(i), i);
  rig.Etcd().breaks.compact_at_page = 0;
  // The second page is asked for at the first one's revision, which is compacted away by then.
  rig.Etcd().breaks.compact_at_page = 1000;
  rig.Put("n0", 5);
  // Compact() is bounded by the newest revision; one more change makes the first page's revision too old.
  bool changed = false;
  for (int i = 0; i < 200; ++i) {
    rig.Settle();
    if (!changed && rig.Etcd().breaks.compact_at_page != 0) {
      rig.Put("n1", 6);
      changed = true;
    }
    rig.now += 10 * kMs;
  }
  EXPECT_EQ(rig.Seen(), rig.Truth());
  EXPECT_EQ(rig.view.size(), 10u);
}

TEST(RegistryClient, AFloodIsFoldedAndADrainInItIsNotDelayed) {
  RegistryRig rig(RegistryKind::kEtcd);
  for (int i = 0; i < 50; ++i) rig.Put("n" + std::to_string(i), 0);
  rig.Run(kSecond);
  const std::size_t before = rig.views;
  const Micros from = rig.now;
  Micros drained_at = 0;
  for (int i = 0; i < 10'000; ++i) {
    rig.Put("n" + std::to_string(i % 50), i);
    if (i == 4321) {
      rig.Put("n7", 1, NodeState::kDraining);
      rig.Settle();
      drained_at = rig.now;
    }
    if (i % 10 == 0) {
      rig.now += kMs;
      rig.Settle();
    }
  }
  rig.Run(kSecond);
  EXPECT_EQ(rig.Seen(), rig.Truth());
  ASSERT_FALSE(rig.drains.empty());
  EXPECT_EQ(rig.drains[0].second, "n7");
  EXPECT_EQ(rig.drains[0].first, drained_at);
  const double seconds = static_cast<double>(rig.now - from) * 1e-6;
  EXPECT_LE(static_cast<double>(rig.views - before), seconds * 10.0 + 3.0);  // ten a second, and the drain's
}

TEST(RegistryClient, TenThousandChangesDuringAResumptionComeAsOneView) {
  RegistryRig rig(RegistryKind::kEtcd);
  rig.Put("a", 1);
  rig.Run(kSecond);
  rig.Cut();
  for (int i = 0; i < 10'000; ++i) rig.Put("n" + std::to_string(i % 100), i);
  const std::size_t before = rig.views;
  rig.Settle();
  EXPECT_EQ(rig.Seen(), rig.Truth());
  EXPECT_LE(rig.views - before, 2u);
  EXPECT_EQ(rig.client->Status(rig.now).rereads, 1u);
}

TEST(RegistryClient, PartsOfOneRevisionAreNotTakenByHalves) {
  RegistryRig rig(RegistryKind::kEtcd);
  rig.Put("a", 1);
  rig.Run(kSecond);
  rig.Etcd().breaks.most_events = 2;
  std::vector<std::pair<std::string, std::string>> pairs;
  for (int i = 0; i < 9; ++i) {
    const std::string name = "n" + std::to_string(i);
    pairs.emplace_back(rig.options.prefix + name, NodeValue(name));
  }
  rig.deliver = 1200;  // some fragments, and not the last
  rig.Etcd().PutAll(rig.now, pairs);
  rig.Run(5 * kSecond);
  EXPECT_EQ(rig.Seen(), rig.Truth());
  EXPECT_EQ(rig.view.size(), 10u);
  EXPECT_EQ(rig.client->Status(rig.now).rereads, 1u);
  EXPECT_GE(rig.client->Status(rig.now).breaks, 1u);
}

TEST(RegistryClient, AnEndpointThatServesOldDataIsNotBelieved) {
  RegistryRig rig(RegistryKind::kEtcd, 2);
  for (int i = 0; i < 5; ++i) rig.Put("n" + std::to_string(i), i);
  rig.Run(kSecond);
  // The second member falls behind; the first goes away.
  for (int i = 0; i < 5; ++i)
    rig.etcd[0]->Put(rig.now, rig.options.prefix + "n" + std::to_string(i),
                     NodeValue("n" + std::to_string(i), 50 + i));
  rig.etcd[0]->Delete(rig.now, rig.options.prefix + "n0");
  rig.Run(kSecond);
  EXPECT_EQ(rig.view.count("n0"), 0u);
  rig.up[0] = false;
  rig.Cut();
  rig.Run(20 * kSecond);
  EXPECT_EQ(rig.view.count("n0"), 0u);  // not resurrected
  EXPECT_EQ(rig.view.at("n1").free_cores, 51.0);
  EXPECT_FALSE(rig.complaints.empty());
  rig.up[0] = true;
  rig.Run(20 * kSecond);
  EXPECT_EQ(rig.Seen(), rig.Truth());
}

TEST(RegistryClient, ARestoredRegistryIsANewHistoryAndIsTakenWhole) {
  RegistryRig rig(RegistryKind::kEtcd);
  for (int i = 0; i < 5; ++i) rig.Put("n" + std::to_string(i), i);
  rig.Run(kSecond);
  const auto kept = rig.Etcd().revision();
  for (int i = 0; i < 5; ++i) rig.Put("later" + std::to_string(i), i);
  rig.Run(kSecond);
  rig.Etcd().Restore(kept);
  rig.Run(30 * kSecond);
  EXPECT_EQ(rig.Seen(), rig.Truth());
  EXPECT_EQ(rig.view.size(), 5u);
  EXPECT_EQ(rig.client->Status(rig.now).new_histories, 1u);
  rig.Put("n0", 99);  // changes count again, though their revisions are lower than what was once seen
  rig.Run(kSecond);
  EXPECT_EQ(rig.Seen(), rig.Truth());
}

// Shrunk from a random script: after a restore the counter comes back to the revision last seen, with other
// changes.
TEST(RegistryClient, ARestoreThatCountsUpToTheRevisionSeenIsNoticed) {
  RegistryRig rig(RegistryKind::kEtcd);
  rig.Put("n0", 0);
  rig.Put("n0", 0);
  rig.Put("n0", 0);
  rig.Run(kSecond);
  rig.Cut();
  rig.Etcd().Restore(rig.Etcd().revision() - 1);
  rig.Put("n1", 1);
  rig.Run(10 * kSecond);
  EXPECT_EQ(rig.Seen(), rig.Truth());
  EXPECT_EQ(rig.client->Status(rig.now).new_histories, 1u);
}

TEST(RegistryClient, DoubleAndReversedFramesDoNoHarm) {
  RegistryRig rig(RegistryKind::kEtcd);
  rig.Etcd().breaks.double_frames = true;
  rig.Etcd().breaks.reorder = true;
  rig.Put("a", 1);
  rig.Run(kSecond);
  rig.Cut();
  rig.Put("a", 2);
  rig.Delete("a");
  rig.Put("b", 1);
  rig.Put("a", 3);
  rig.Delete("b");
  rig.Run(5 * kSecond);
  EXPECT_EQ(rig.Seen(), rig.Truth());
}

TEST(RegistryClient, ATokenThatEndsIsAskedForAnew) {
  RegistryRig rig(RegistryKind::kEtcd);
  rig.Etcd().breaks.user = "mountflow", rig.Etcd().breaks.password = "secret";
  rig.options.user = "mountflow", rig.options.password = "secret";
  rig.client = std::make_unique<discovery::RegistryClient>(rig.options, 5);
  rig.Put("a", 1);
  rig.Run(kSecond);
  EXPECT_EQ(rig.Seen(), rig.Truth());
  rig.Etcd().RevokeTokens();
  rig.Cut();
  rig.Put("a", 2);
  rig.Run(10 * kSecond);
  EXPECT_EQ(rig.Seen(), rig.Truth());
}

TEST(RegistryClient, ARegistryThatEmptiesAtOnceIsToldTrulyAndFlagged) {
  for (const RegistryKind kind : {RegistryKind::kConsul, RegistryKind::kEtcd}) {
    RegistryRig rig(kind);
    for (int i = 0; i < 6; ++i) rig.Put("n" + std::to_string(i), i);
    rig.Run(kSecond);
    rig.Cut();
    rig.up[0] = false;
    for (int i = 0; i < 6; ++i) rig.Delete("n" + std::to_string(i));
    rig.Etcd().Compact(rig.Etcd().revision());
    rig.Run(kSecond);
    rig.up[0] = true;
    rig.Run(10 * kSecond);
    EXPECT_TRUE(rig.view.empty());
    EXPECT_EQ(rig.client->Status(rig.now).emptied, 1u);
  }
}

TEST(RegistryClient, ASilentRegistryIsLeftAndItsAgeIsTold) {
  RegistryRig rig(RegistryKind::kEtcd, 2);
  rig.Put("a", 1);
  rig.Run(kSecond);
  rig.deaf = true;  // the connection stays, nothing comes
  rig.Put("a", 2);
  rig.Run(10 * kSecond);
  EXPECT_GT(rig.client->Status(rig.now).age, 8 * kSecond);
  EXPECT_EQ(rig.view.at("a").free_cores, 1.0);  // the last view is kept
  rig.Run(20 * kSecond);
  EXPECT_GE(rig.client->Status(rig.now).breaks, 1u);  // left by itself
  rig.Hear();
  rig.Run(40 * kSecond);
  EXPECT_EQ(rig.Seen(), rig.Truth());
  EXPECT_LT(rig.client->Status(rig.now).age, 3 * kSecond);
}

// Danger: a resumed watch is created before what was missed is here; the view is old until then.
TEST(RegistryClient, AResumedWatchIsVouchedForOnlyWhenWhatWasMissedIsHere) {
  RegistryRig rig(RegistryKind::kEtcd);
  rig.Put("a", 1);
  rig.Run(kSecond);
  const std::uint64_t lives = rig.client->state().lives();
  rig.up[0] = false;
  rig.Cut();
  rig.Put("b", 1);
  rig.Run(10 * kSecond);
  rig.up[0] = true;
  // Only the reply's head and the word that the watch is created get through.
  rig.deliver = 400;
  for (int i = 0; i < 500 && rig.client->Status(rig.now).age > 9 * kSecond; ++i) {
    if (rig.view.count("b") == 0) {
      EXPECT_GT(rig.client->Status(rig.now).age, 9 * kSecond);
    }
    rig.Run(20'000);
  }
  EXPECT_EQ(rig.Seen(), rig.Truth());
  EXPECT_GT(rig.client->state().lives(), lives);
}

// Who came or went, though the keys look the same again, is counted; a changed value is not.
TEST(RegistryState, CountsLivesSeenAndUnseen) {
  RegistryState state;
  bool emptied = false;
  const auto kv = [](const char* key, std::uint64_t at) { return KeyValue{key, "v", at, at}; };
  state.Replace(10, {kv("a", 5)}, &emptied);
  const std::uint64_t first = state.lives();
  state.Replace(10, {kv("a", 5)}, &emptied);
  state.Apply({{"a", "w", 11, false}});
  EXPECT_EQ(state.lives(), first);
  state.Apply({{"b", "v", 12, false}, {"b", "", 13, true}});
  const std::uint64_t second = state.lives();
  EXPECT_GT(second, first);
  state.Replace(20, {kv("a", 11)}, &emptied);  // between 13 and 20 anybody may have been here
  EXPECT_GT(state.lives(), second);
}

TEST(RegistryClient, EntriesOfAbsurdShapeAreSkippedToldOnceAndTheRestKept) {
  RegistryRig rig(RegistryKind::kEtcd);
  rig.Put("good", 1);
  rig.Put("turns", 1);
  rig.Run(kSecond);
  rig.Etcd().Put(rig.now, rig.options.prefix + "bad", "{");
  rig.Etcd().Put(rig.now, rig.options.prefix + "huge", std::string(100'000, 'x'));
  rig.Etcd().Put(rig.now, rig.options.prefix + "turns", "[]");
  rig.Run(kSecond);
  EXPECT_EQ(rig.view.size(), 2u);  // what was known of the one that turned bad stands
  EXPECT_EQ(rig.complaints.size(), 3u);
  rig.Run(5 * kSecond);
  EXPECT_EQ(rig.complaints.size(), 3u);
}

// A random script of changes and breaks. While it is followed, the state is the registry's of that revision;
// after healing, the view is the registry's.
void PlayScript(RegistryKind kind, const std::vector<std::pair<int, int>>& script) {
  RegistryRig rig(kind);
  bool restored = false;
  for (const auto& [what, value] : script) {
    const int w = std::abs(what) % 20, v = std::abs(value) % 8;
    const std::string name = "n" + std::to_string(v);
    if (w < 6) rig.Put(name, value % 100);
    if (w == 6 || w == 7) rig.Delete(name);
    if (w == 8) rig.Put(name, 1, NodeState::kDraining);
    if (w == 9) rig.Cut();
    if (w == 10) rig.deliver = static_cast<std::size_t>(std::abs(value) % 3000);
    if (w == 11) rig.up[0] = !rig.up[0];
    if (w == 12)
      rig.Etcd().Compact(rig.Etcd().revision() - static_cast<std::uint64_t>(v) % rig.Etcd().revision());
    if (w == 13) rig.Etcd().breaks.double_frames = v % 2 == 0;
    if (w == 14) rig.Etcd().breaks.reorder = v % 2 == 0;
    if (w == 15) rig.Etcd().breaks.most_events = static_cast<std::size_t>(v % 4);
    if (w == 16) rig.Run(static_cast<Micros>(v) * 300 * kMs);
    if (w == 17 && rig.deaf)
      rig.Hear();
    else if (w == 17)
      rig.deaf = true;
    if (w == 18 && kind == RegistryKind::kEtcd && v == 0 && rig.Etcd().revision() > 4) {
      rig.Etcd().Restore(rig.Etcd().revision() - 2);
      restored = true;
    }
    if (w == 19) rig.client->ReadAnew(rig.now);
    rig.now += 5 * kMs;
    rig.Settle();
    if (kind == RegistryKind::kEtcd && !restored) {
      std::map<std::string, std::string> known;
      for (const auto& [key, kv] : rig.client->state().all()) known[key] = kv.value;
      if (rig.client->state().revision() != 0) {
        RC_ASSERT(known == rig.Etcd().At(rig.client->state().revision()));
      }
    }
  }
  rig.up[0] = true;
  if (rig.deaf) rig.Hear();
  rig.deliver = ~std::size_t{0};
  rig.Run(60 * kSecond, 100 * kMs);
  RC_ASSERT(rig.Seen() == rig.Truth());
}

TEST(RegistryProperty, EtcdAfterAnyScriptTheViewIsTheRegistrys) {
  EXPECT_TRUE(rc::check(
      [](const std::vector<std::pair<int, int>>& script) { PlayScript(RegistryKind::kEtcd, script); }));
}

TEST(RegistryProperty, ConsulAfterAnyScriptTheViewIsTheRegistrys) {
  EXPECT_TRUE(rc::check(
      [](const std::vector<std::pair<int, int>>& script) { PlayScript(RegistryKind::kConsul, script); }));
}

}  // namespace
}  // namespace mountflow::testing
