// Tests of the key-value store and of the lease table of the fake registries.
#include "tools/registry_standin/key_value_store.hpp"

#include <gtest/gtest.h>

#include "tools/registry_standin/lease_table.hpp"

namespace mountflow::registry_standin {
namespace {

using Change = KeyValueStore::Change;

const KeyRange kAllKeys = {"", std::string(1, '\0')};

TEST(KeyRange, AnEmptyEndSelectsOneKeyAndAZeroByteAllKeysFromTheFirstOn) {
  EXPECT_TRUE((KeyRange{"b", ""}.Contains("b")));
  EXPECT_FALSE((KeyRange{"b", ""}.Contains("ba")));
  EXPECT_TRUE((KeyRange{"b", "d"}.Contains("c")));
  EXPECT_FALSE((KeyRange{"b", "d"}.Contains("d")));
  EXPECT_TRUE((KeyRange{"b", std::string(1, '\0')}.Contains("z")));
  EXPECT_FALSE((KeyRange{"b", std::string(1, '\0')}.Contains("a")));
}

TEST(KeyValueStore, CountsVersionsFromTheCreationOfAKey) {
  KeyValueStore store;
  store.Commit(2, {Change::Write("a", "1"), Change::Write("b", "1")});
  store.Commit(3, {Change::Write("a", "2")});
  EXPECT_EQ(store.entries().at("a").create_revision, 2u);
  EXPECT_EQ(store.entries().at("a").modify_revision, 3u);
  EXPECT_EQ(store.entries().at("a").version, 2u);
  store.Commit(4, {Change::Removal("a")});
  EXPECT_EQ(store.last_removal(), 4u);
  store.Commit(5, {Change::Write("a", "3")});
  EXPECT_EQ(store.entries().at("a").create_revision, 5u);
  EXPECT_EQ(store.entries().at("a").version, 1u);
}

TEST(KeyValueStore, RemovingAMissingKeyAdvancesTheRevisionOnly) {
  KeyValueStore store;
  store.Commit(2, {Change::Removal("a")});
  EXPECT_EQ(store.revision(), 2u);
  EXPECT_EQ(store.last_removal(), 0u);
}

TEST(KeyValueStore, ShowsTheKeysOfEachRevision) {
  KeyValueStore store;
  store.Commit(2, {Change::Write("a", "1")});
  store.Commit(3, {Change::Write("b", "1")});
  store.Commit(4, {Change::Removal("a")});
  store.Compact(9);
  EXPECT_EQ(store.compacted(), 4u) << "at most the newest";
  EXPECT_EQ(store.EntriesAt(3, kAllKeys).size(), 2u) << "compacted ones too";
  EXPECT_EQ(store.EntriesAt(4, kAllKeys).count("a"), 0u);
  EXPECT_EQ(store.EntriesAt(3, {"b", ""}).size(), 1u);
  const auto changes = store.ChangesSince(3);
  ASSERT_EQ(changes.size(), 2u);
  EXPECT_EQ(changes[0]->key, "b");
  EXPECT_TRUE(changes[1]->removed);
}

TEST(KeyValueStore, RestoringDropsLaterChangesAndRewindingKeepsTheKeys) {
  KeyValueStore restored;
  restored.Commit(2, {Change::Write("a", "1")});
  restored.Commit(3, {Change::Write("b", "1")});
  restored.Compact(3);
  KeyValueStore rewound = restored;
  restored.RestoreTo(2);
  EXPECT_EQ(restored.KeysWithPrefix(""), (std::vector<std::string>{"a"}));
  EXPECT_EQ(restored.revision(), 2u);
  EXPECT_EQ(restored.compacted(), 2u);
  rewound.RewindTo(2);
  EXPECT_EQ(rewound.KeysWithPrefix(""), (std::vector<std::string>{"a", "b"}));
  EXPECT_EQ(rewound.entries().at("b").modify_revision, 2u);
  EXPECT_EQ(rewound.last_removal(), 2u) << "removals in between are not recorded";
}

TEST(KeyValueStore, FindsKeysByPrefix) {
  KeyValueStore store;
  store.Commit(2, {Change::Write("a/1", ""), Change::Write("a/2", ""), Change::Write("b", "")});
  EXPECT_EQ(store.KeysWithPrefix("a/"), (std::vector<std::string>{"a/1", "a/2"}));
  EXPECT_TRUE(store.KeysWithPrefix("c").empty());
}

TEST(LeaseTable, ALeaseThatIsNotRenewedExpiresWithItsKeys) {
  LeaseTable<int> leases;
  leases.Grant(0, 1, 10);
  leases.Grant(0, 2, 20);
  leases.Attach(1, "a");
  leases.Attach(2, "b");
  leases.Attach(2, "c");
  leases.Detach(2, "c");
  EXPECT_EQ(leases.NextExpiry(), 10u);
  leases.Renew(5, 1);
  EXPECT_TRUE(leases.TakeExpiredKeys(14).empty());
  EXPECT_EQ(leases.TakeExpiredKeys(15), (std::vector<std::string>{"a"}));
  EXPECT_EQ(leases.Find(1), nullptr);
  leases.Revoke(16, 2);
  EXPECT_EQ(leases.TakeExpiredKeys(16), (std::vector<std::string>{"b"}));
  EXPECT_EQ(leases.NextExpiry(), kNoTimer);
}

TEST(LeaseTable, LeasesExpireInTheOrderOfTheirIdsRegardlessOfTheirTimes) {
  LeaseTable<std::string> leases;
  leases.Grant(0, "session-2", 1);
  leases.Grant(0, "session-10", 2);
  leases.Attach("session-2", "a");
  leases.Attach("session-10", "b");
  leases.Attach("session-9", "no such lease");
  EXPECT_EQ(leases.TakeExpiredKeys(9), (std::vector<std::string>{"b", "a"}));
}

TEST(LeaseTable, ANewLeaderRenewsAllAndANewGrantKeepsTheKeys) {
  LeaseTable<int> leases;
  leases.Grant(0, 1, 10);
  leases.Attach(1, "a");
  leases.RenewAll(100);
  EXPECT_EQ(leases.NextExpiry(), 110u);
  leases.Grant(100, 1, 50);
  ASSERT_NE(leases.Find(1), nullptr);
  EXPECT_EQ(leases.Find(1)->expires_at, 150u);
  EXPECT_EQ(leases.Find(1)->keys.count("a"), 1u);
}

}  // namespace
}  // namespace mountflow::registry_standin
