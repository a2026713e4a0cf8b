#include "pbs_server/request_error_log.hpp"

#include <gtest/gtest.h>

#include <string>

#include "tests/support/job_manager_fixture.hpp"

namespace mountflow::testing {
namespace {

TEST(RequestErrorLogTest, CoalescesErrorsOfOneKindWithinASecond) {
  pbs_server::RequestErrorLog request_errors;
  Micros now = 100 * kSecond;
  for (int i = 0; i < 10'000; ++i)
    request_errors.Add(now + i, i % 2 == 0 ? "a" : "b", "peer-" + std::to_string(i % 10), "bad");
  EXPECT_EQ(request_errors.Take(now + 10'000).size(), 2u) << "the first of each kind, at once";
  EXPECT_EQ(request_errors.NextTimer(), now + kSecond);
  const auto counts = request_errors.Take(now + kSecond);
  ASSERT_EQ(counts.size(), 2u);
  EXPECT_EQ(counts[0], "4999 more within a second, from 5 peers: a");
  EXPECT_EQ(request_errors.NextTimer(), ~Micros{0});
  EXPECT_EQ(request_errors.total(), 10'000u);
  for (int i = 0; i < 10'000; ++i)
    request_errors.Add(now + 2 * kSecond, "kind " + std::to_string(i), "p", "bad");
  EXPECT_EQ(request_errors.Take(now + 2 * kSecond).size(), pbs_server::RequestErrorLog::kMaxKinds);
  EXPECT_EQ(request_errors.Take(now + 3 * kSecond).size(), 1u) << "of other kinds";
}

}  // namespace
}  // namespace mountflow::testing
