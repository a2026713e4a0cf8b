#include "platform/pending_terminations.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace mountflow::platform {
namespace {

constexpr Micros kNow = 1'800'000'000'000'000;

// Sends what is unsent, after the health check with this number. Returns the uids in order.
std::vector<RequestUid> Send(PendingTerminations* terminations, Micros now, std::uint64_t last_health_check) {
  std::vector<RequestUid> sent;
  for (auto uid = terminations->TakeUnsent(now, last_health_check); uid.has_value();
       uid = terminations->TakeUnsent(now, last_health_check)) {
    sent.push_back(*uid);
  }
  return sent;
}

TEST(PendingTerminationsTest, SendsEachOnceOnAConnectionAndAllUnconfirmedOnTheNext) {
  PendingTerminations terminations;
  for (const RequestUid uid : {5, 3, 9}) terminations.Add(kNow, uid);
  terminations.Add(kNow, 3);
  EXPECT_EQ(terminations.size(), 3u);
  EXPECT_EQ(Send(&terminations, kNow, 0), (std::vector<RequestUid>{5, 3, 9}));
  EXPECT_TRUE(Send(&terminations, kNow, 0).empty());
  terminations.Add(kNow, 1);
  EXPECT_EQ(Send(&terminations, kNow, 0), std::vector<RequestUid>{1});
  EXPECT_TRUE(terminations.Remove(3));
  EXPECT_FALSE(terminations.Remove(3));
  terminations.MarkAllUnsent();
  EXPECT_EQ(Send(&terminations, kNow, 0), (std::vector<RequestUid>{5, 9, 1}));
}

// Guards against a termination that counts as confirmed by the reply to a health check before it, or on
// another connection.
TEST(PendingTerminationsTest, AHealthCheckConfirmsOnlyWhatWasSentBeforeIt) {
  PendingTerminations terminations;
  terminations.Add(kNow, 1);
  static_cast<void>(Send(&terminations, kNow, 7));
  terminations.Add(kNow, 2);
  static_cast<void>(Send(&terminations, kNow, 8));
  terminations.Add(kNow, 3);
  terminations.RemoveSentBefore(7);
  EXPECT_EQ(terminations.size(), 3u);
  terminations.RemoveSentBefore(8);
  EXPECT_FALSE(terminations.Contains(1));
  EXPECT_TRUE(terminations.Contains(2));
  terminations.MarkAllUnsent();
  terminations.RemoveSentBefore(9);
  EXPECT_TRUE(terminations.Contains(2));
  static_cast<void>(Send(&terminations, kNow, 9));
  terminations.RemoveSentBefore(10);
  EXPECT_TRUE(terminations.empty());
}

TEST(PendingTerminationsTest, RemovesThoseThatWereRequestedBeforeATime) {
  PendingTerminations terminations;
  for (const RequestUid uid : {1, 2, 3}) terminations.Add(kNow + uid, uid);
  terminations.RemoveRequestedBefore(kNow + 2);
  EXPECT_FALSE(terminations.Contains(1));
  EXPECT_TRUE(terminations.Contains(2));
  EXPECT_EQ(terminations.NextExpiry(), kNow + 2 + kTerminationRetention);
  terminations.Clear();
  EXPECT_TRUE(terminations.empty());
  EXPECT_FALSE(terminations.Contains(3));
  EXPECT_EQ(terminations.NextExpiry(), kNever);
  terminations.Add(kNow, 3);
  EXPECT_EQ(Send(&terminations, kNow, 0), std::vector<RequestUid>{3});
}

TEST(PendingTerminationsTest, TellsSinceWhenTheOldestIsUnconfirmedOnTheConnection) {
  PendingTerminations terminations;
  EXPECT_EQ(terminations.OldestSentAt(), kNever);
  terminations.Add(kNow, 1);
  EXPECT_EQ(terminations.OldestSentAt(), kNever);
  static_cast<void>(Send(&terminations, kNow + 1, 0));
  terminations.Add(kNow + 2, 2);
  static_cast<void>(Send(&terminations, kNow + 3, 0));
  EXPECT_EQ(terminations.OldestSentAt(), kNow + 1);
  terminations.Remove(1);
  EXPECT_EQ(terminations.OldestSentAt(), kNow + 3);
  terminations.MarkAllUnsent();
  EXPECT_EQ(terminations.OldestSentAt(), kNever);
}

}  // namespace
}  // namespace mountflow::platform
