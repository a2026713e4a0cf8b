// Tests of RegistryState, which merges full reads and changes by revision.
#include <gtest/gtest.h>

#include "discovery/state.hpp"

namespace mountflow::discovery {
namespace {

// An added or removed key counts, even if the set of keys is the same afterwards. A changed value does not.
TEST(RegistryState, CountsObservedAndPossibleAdditionsAndRemovals) {
  RegistryState state;
  const auto kv = [](const char* key, std::uint64_t at) { return KeyValue{key, "v", at, at}; };
  EXPECT_FALSE(state.Replace(10, {kv("a", 5)}).lacks_most_entries);
  const std::uint64_t first = state.incarnations();
  EXPECT_FALSE(state.Replace(10, {kv("a", 5)}).lacks_most_entries);
  state.Apply({{"a", "w", 11, false}});
  EXPECT_EQ(state.incarnations(), first);
  state.Apply({{"b", "v", 12, false}, {"b", "", 13, true}});
  const std::uint64_t second = state.incarnations();
  EXPECT_GT(second, first);
  // A key may have been added and removed between 13 and 20.
  EXPECT_FALSE(state.Replace(20, {kv("a", 11)}).lacks_most_entries);
  EXPECT_GT(state.incarnations(), second);
}

}  // namespace
}  // namespace mountflow::discovery
