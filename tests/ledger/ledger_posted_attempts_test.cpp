// Tests of ledger::PostedAttempts: a bounded number of attempts is remembered.
#include <gtest/gtest.h>

#include "ledger/posted_attempts.hpp"

namespace mountflow::testing {
namespace {

using namespace ledger;

TEST(PostedAttempts, ForgetsTheAttemptsThatEndedFirst) {
  PostedAttempts attempts(2);
  attempts.Add("late", 1, 30);
  attempts.Add("early", 2, 10);
  EXPECT_EQ(attempts.FindDigest("early"), std::optional<std::uint64_t>(2));
  EXPECT_EQ(attempts.forgotten_until(), 0u);
  attempts.Add("middle", 3, 20);
  EXPECT_FALSE(attempts.FindDigest("early"));
  EXPECT_EQ(attempts.FindDigest("late"), std::optional<std::uint64_t>(1));
  EXPECT_EQ(attempts.FindDigest("middle"), std::optional<std::uint64_t>(3));
  EXPECT_EQ(attempts.forgotten_until(), 10u);
  EXPECT_FALSE(attempts.FindDigest("unknown"));
}

}  // namespace
}  // namespace mountflow::testing
