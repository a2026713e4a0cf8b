// Tests which paths a route pattern matches, and the parameter that it returns.
#include "daemon/path_pattern.hpp"

#include <gtest/gtest.h>

namespace mountflow::daemon {
namespace {

TEST(PathPattern, PatternWithoutParameterMatchesOnlyThisPath) {
  EXPECT_EQ(MatchPath("/v1/jobs", "/v1/jobs"), "");
  EXPECT_EQ(MatchPath("/v1/jobs", "/v1/jobs/"), std::nullopt);
  EXPECT_EQ(MatchPath("/v1/jobs", "/v1/job"), std::nullopt);
  EXPECT_EQ(MatchPath("/v1/jobs", ""), std::nullopt);
}

TEST(PathPattern, SegmentEndsAtTheNextSlash) {
  EXPECT_EQ(MatchPath("/v1/jobs/{id}", "/v1/jobs/7.d0"), "7.d0");
  EXPECT_EQ(MatchPath("/v1/jobs/{id}", "/v1/jobs/"), "");
  EXPECT_EQ(MatchPath("/v1/jobs/{id}", "/v1/jobs/7.d0/hold"), std::nullopt);
  EXPECT_EQ(MatchPath("/v1/jobs/{id}", "/v1/jobs"), std::nullopt);
}

TEST(PathPattern, TextAfterTheSegmentMustMatch) {
  EXPECT_EQ(MatchPath("/v1/jobs/{id}/hold", "/v1/jobs/7.d0/hold"), "7.d0");
  EXPECT_EQ(MatchPath("/v1/jobs/{id}/hold", "/v1/jobs/7.d0/holds"), std::nullopt);
  EXPECT_EQ(MatchPath("/v1/jobs/{id}/hold", "/v1/jobs/7.d0/hold/"), std::nullopt);
  EXPECT_EQ(MatchPath("/v1/jobs/{id}/hold", "/v1/jobs/7.d0"), std::nullopt);
  EXPECT_EQ(MatchPath("/v1/jobs/{id}/hold", "/v1/jobs/hold"), std::nullopt);
}

TEST(PathPattern, RestMatchesToTheEndIncludingSlashes) {
  EXPECT_EQ(MatchPath("/v1/jobs/{rest...}", "/v1/jobs/7.d0/hold"), "7.d0/hold");
  EXPECT_EQ(MatchPath("/v1/jobs/{rest...}", "/v1/jobs/"), "");
  EXPECT_EQ(MatchPath("/v1/jobs/{rest...}", "/v1/nodes/7.d0"), std::nullopt);
}

}  // namespace
}  // namespace mountflow::daemon
