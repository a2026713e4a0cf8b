#include "node_agent/job_environment.hpp"

#include <gtest/gtest.h>
#include <signal.h>

#include <algorithm>

namespace mountflow::node_agent {
namespace {

using pbs_protocol::Op;

TEST(JobEnvironment, AVariableListIsSplitAtCommasThatNoBackslashPrecedes) {
  const std::vector<std::pair<std::string, std::string>> expected = {{"A", "1"}, {"B", "x,y\\"}, {"C", ""}};
  EXPECT_EQ(ParseVariableList("A=1,B=x\\,y\\\\,=lost,lost,C="), expected);
  EXPECT_TRUE(ParseVariableList("").empty());
}

TEST(JobEnvironment, SignalsAreKnownByNameAndNumber) {
  EXPECT_EQ(SignalNumber("SIGTERM"), SIGTERM);
  EXPECT_EQ(SignalNumber("KILL"), SIGKILL);
  EXPECT_EQ(SignalNumber("10"), 10);
  for (const char* const name : {"", "0", "65", "-9", "9x", "SIG", "NOTHING"}) {
    EXPECT_EQ(SignalNumber(name), 0) << name;
  }
}

TEST(JobEnvironment, OutputPathsMayNameAHostADirectoryOrNothing) {
  EXPECT_EQ(ResolveOutputPath("", "/home/u", "job.o1"), "/home/u/job.o1");
  EXPECT_EQ(ResolveOutputPath("host:/var/out", "/home/u", "job.o1"), "/var/out");
  EXPECT_EQ(ResolveOutputPath("logs/", "/home/u", "job.o1"), "/home/u/logs/job.o1");
  EXPECT_EQ(ResolveOutputPath("/var/a:b", "/home/u", "job.o1"), "/var/a:b");
}

TEST(JobEnvironment, FilesAndVariablesAreNamedAfterTheJob) {
  SubmittedTask task;
  task.queue = "safe";
  task.attributes = {{"Job_Name", "", "job", Op::kSet},
                     {"Join_Path", "", "oe", Op::kSet},
                     {"Variable_List", "", "A=1", Op::kSet}};
  const OutputFiles files = OutputFilesOf("7.d0/2", task, "/home/u");
  EXPECT_EQ(files.out, "/home/u/job.o7");
  EXPECT_EQ(files.err, "/home/u/job.e7");
  EXPECT_TRUE(files.joins_err_to_out);
  EXPECT_FALSE(files.joins_out_to_err);
  const std::vector<std::string> environment = EnvironmentOf("7.d0/2", task, "/home/u");
  EXPECT_EQ(environment.front(), "A=1");
  for (const char* const variable : {"PBS_JOBID=7.d0", "PBS_JOBNAME=job", "PBS_QUEUE=safe", "HOME=/home/u"}) {
    EXPECT_EQ(std::count(environment.begin(), environment.end(), variable), 1) << variable;
  }
}

}  // namespace
}  // namespace mountflow::node_agent
