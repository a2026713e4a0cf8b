#include "node_agent/end_reports.hpp"

#include <gtest/gtest.h>

namespace mountflow::node_agent {
namespace {

SubmittedTask TaskOf(const std::string& daemon) {
  SubmittedTask task;
  task.daemon = daemon;
  task.script = "sleep 1";
  return task;
}

TEST(EndReports, AReportWaitsForItsOwnDaemonsAcknowledgement) {
  EndReports reports(10);
  reports.Add({"a", "bytes of a"}, TaskOf("d0"));
  reports.Add({"b", "bytes of b"}, TaskOf("d1"));
  EXPECT_EQ(reports.ServersWithReports(), (std::vector<std::string>{"d0", "d1"}));
  ASSERT_EQ(reports.ReportsFor("d0").size(), 1u);
  EXPECT_EQ(reports.ReportsFor("d0")[0].bytes, "bytes of a");
  EXPECT_TRUE(reports.tasks().at("a").script.empty());
  reports.Acknowledge("d0", 5);
  EXPECT_EQ(reports.ServersWithReports(), std::vector<std::string>{"d1"});
  EXPECT_EQ(reports.tasks().count("a"), 0u);
  EXPECT_EQ(reports.tasks().count("b"), 1u);
}

TEST(EndReports, TheOldestIsDroppedBeyondTheLimit) {
  EndReports reports(2);
  for (const char* const attempt : {"a", "b", "c"}) reports.Add({attempt, ""}, TaskOf("d0"));
  ASSERT_EQ(reports.ReportsFor("d0").size(), 2u);
  EXPECT_EQ(reports.ReportsFor("d0")[0].attempt, "b");
  EXPECT_EQ(reports.dropped_reports(), 1u);
  EXPECT_EQ(reports.tasks().count("a"), 0u);
}

TEST(EndReports, TheLastAddressOfADaemonCounts) {
  EndReports reports(2);
  EXPECT_EQ(reports.AddressOf("d0"), "");
  EXPECT_TRUE(reports.ReportsFor("d0").empty());
  reports.SetAddress("d0", "host:1");
  reports.SetAddress("d0", "host:2");
  reports.SetAddress("d0", "");
  EXPECT_EQ(reports.AddressOf("d0"), "host:2");
  EXPECT_TRUE(reports.ServersWithReports().empty());
}

}  // namespace
}  // namespace mountflow::node_agent
