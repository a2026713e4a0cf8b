#include "job_manager/stopping_attempts.hpp"

#include <gtest/gtest.h>

namespace mountflow::job_manager {
namespace {

TEST(StoppingAttempts, ReturnsTheAttemptThatWasAddedFirst) {
  StoppingAttempts stopping;
  stopping.Add({3, 1}, 10);
  stopping.Add({2, 1}, 20);
  stopping.Add({1, 1}, 10);
  EXPECT_EQ(stopping.size(), 3u);
  EXPECT_EQ(stopping.Oldest(), (AttemptId{1, 1}));
  stopping.Add({1, 1}, 30);  // replaces the earlier time
  EXPECT_EQ(stopping.size(), 3u);
  EXPECT_EQ(stopping.Oldest(), (AttemptId{3, 1}));
  stopping.Remove({3, 1});
  EXPECT_EQ(stopping.Oldest(), (AttemptId{2, 1}));
}

}  // namespace
}  // namespace mountflow::job_manager
