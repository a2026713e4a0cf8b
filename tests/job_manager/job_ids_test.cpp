#include "job_manager/job_ids.hpp"

#include <gtest/gtest.h>

namespace mountflow::job_manager {
namespace {

TEST(JobIds, ReadsIdsOfItsOwnServer) {
  const JobIds ids("d0");
  EXPECT_EQ(ids.JobId(12), "12.d0");
  EXPECT_EQ(ids.ParseJobId("12.d0"), 12u);
  EXPECT_EQ(ids.ParseJobId("12"), 12u);
}

TEST(JobIds, RejectsOtherServersAndTextsThatAreNoNumbers) {
  const JobIds ids("d0");
  for (const char* text : {"12.d1", "12.", "x.d0", "12x.d0", "", ".d0", "-1.d0", "99999999999999999999.d0"}) {
    EXPECT_EQ(ids.ParseJobId(text), 0u) << text;
  }
}

TEST(JobIds, ReadsAttemptNamesOfAnyServer) {
  const JobIds ids("d0");
  EXPECT_EQ(ids.AttemptName({12, 3}), "12.d0/3");
  AttemptId id;
  std::string server;
  ASSERT_TRUE(JobIds::ParseAttemptName("12.other.site/3", &id, &server));
  EXPECT_EQ(id, (AttemptId{12, 3}));
  EXPECT_EQ(server, "other.site");
}

TEST(JobIds, RejectsTextsThatAreNoAttemptNames) {
  AttemptId id;
  std::string server;
  for (const char* text :
       {"", "12", "12.d0", "12/3", "12/3.d0", "x.d0/3", "12.d0/", "12.d0/x", "12.d0/4294967296"}) {
    EXPECT_FALSE(JobIds::ParseAttemptName(text, &id, &server)) << text;
  }
}

}  // namespace
}  // namespace mountflow::job_manager
