// Tests when calls for the node list are due.
#include "scheduler/list_watch.hpp"

#include <gtest/gtest.h>

#include "scheduler/time_units.hpp"

namespace mountflow::testing {
namespace {

TEST(ListWatch, DoublesTheBackoffUpToFourSeconds) {
  ListWatch watch;
  Micros now = 100 * kSecond;
  for (const Micros backoff : {1 * kSecond, 2 * kSecond, 4 * kSecond, 4 * kSecond}) {
    watch.NoteCall();
    EXPECT_FALSE(watch.IsDue(now + 100 * kSecond, now)) << "a call is in flight";
    watch.NoteFailure(now);
    EXPECT_FALSE(watch.IsDue(now + backoff - 1, now));
    EXPECT_TRUE(watch.IsDue(now + backoff, now));
    now += backoff;
  }
  watch.NoteCall();
  watch.NoteList(NodeListKind::kSnapshot);
  watch.NoteCall();
  watch.NoteFailure(now);
  EXPECT_TRUE(watch.IsDue(now + 1 * kSecond, now)) << "a list resets the backoff";
}

TEST(ListWatch, CachedListKeepsTheBackoff) {
  ListWatch watch;
  watch.NoteFailure(0);
  watch.NoteList(NodeListKind::kCached);
  watch.NoteFailure(0);
  EXPECT_FALSE(watch.IsDue(2 * kSecond - 1, 0));
  EXPECT_TRUE(watch.IsDue(2 * kSecond, 0));
}

TEST(ListWatch, RenewsAQuietSubscription) {
  ListWatch watch;
  watch.NoteCall();
  watch.NoteList(NodeListKind::kSnapshot);
  EXPECT_FALSE(watch.IsDue(18 * kSecond - 1, 10 * kSecond));
  EXPECT_TRUE(watch.IsDue(18 * kSecond, 10 * kSecond));
}

}  // namespace
}  // namespace mountflow::testing
