// What is known of a registry's keys: full reads and changes merged by revision.
#include <gtest/gtest.h>

#include "discovery/state.hpp"

namespace mountflow::discovery {
namespace {

// A key that came or went is counted, even where the keys look the same again; a changed value is not.
TEST(RegistryState, CountsKeysThatCameOrWentSeenAndUnseen) {
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
  EXPECT_FALSE(
      state.Replace(20, {kv("a", 11)}).lacks_most_entries);  // between 13 and 20 any key may have come and gone
  EXPECT_GT(state.incarnations(), second);
}

}  // namespace
}  // namespace mountflow::discovery
