#include "node_agent/submitted_task.hpp"

#include <gtest/gtest.h>

namespace mountflow::node_agent {
namespace {

using pbs_protocol::Op;

pbs_protocol::Request Submission() {
  pbs_protocol::Request request;
  request.destination = "safe";
  request.attributes = {{"Resource_List", "ncpus", "2", Op::kSet},
                        {"Resource_List", "mem", "4gb", Op::kSet},
                        {"Resource_List", "walltime", "00:01:00", Op::kSet},
                        {"service", "", "web", Op::kSet},
                        {"key", "", "k", Op::kSet},
                        {"Job_Owner", "", "thandi", Op::kSet},
                        {"until", "", "77", Op::kSet},
                        {"class_priority", "", "3", Op::kSet},
                        {"life", "", "0.5", Op::kSet},
                        {"server", "", "d0", Op::kSet},
                        {"report_to", "", "host:1", Op::kSet}};
  return request;
}

TEST(SubmittedTask, AttributesAreReadIntoTheTaskSpec) {
  pbs_protocol::Request request = Submission();
  const SubmittedTask task = ReadSubmittedTask(&request);
  EXPECT_EQ(task.queue, "safe");
  EXPECT_EQ(task.daemon, "d0");
  EXPECT_EQ(ReadReportAddress(task.attributes), "host:1");
  const auto spec = ReadTaskSpec("a", task, 1024.0 * 1024.0 * 1024.0);
  ASSERT_TRUE(spec.has_value());
  EXPECT_EQ(spec->attempt, "a");
  EXPECT_EQ(spec->service, "web");
  EXPECT_EQ(spec->idempotency_key, "thandi\nk");
  EXPECT_EQ(spec->cores, 2.0);
  EXPECT_EQ(spec->memory, 4.0);
  EXPECT_EQ(spec->walltime, Micros{60'000'000});
  EXPECT_EQ(spec->commit_deadline, Micros{77});
  EXPECT_EQ(spec->priority, 3);
  EXPECT_EQ(spec->duration, Micros{500'000});
}

TEST(SubmittedTask, NonNumericResourcesAreAnError) {
  for (const std::size_t attribute : {0, 1, 2}) {
    pbs_protocol::Request request = Submission();
    request.attributes[attribute].value = "many";
    EXPECT_FALSE(ReadTaskSpec("a", ReadSubmittedTask(&request), 1.0)) << attribute;
  }
}

TEST(SubmittedTask, TheStatusOmitsInternalAttributes) {
  pbs_protocol::Request request = Submission();
  const auto status = EncodeTaskStatus("a", ReadSubmittedTask(&request), kTaskRunning);
  for (const char* const name : {"until", "report_to", "server", "class_priority"}) {
    EXPECT_TRUE(pbs_protocol::ValueOf(status.attributes, name).empty()) << name;
  }
  EXPECT_EQ(pbs_protocol::ValueOf(status.attributes, "job_state"), "R");
  EXPECT_EQ(pbs_protocol::ValueOf(status.attributes, "queue"), "safe");
}

TEST(SubmittedTask, AnEndReportNamesItsReasonAndTheTimesOfUse) {
  SubmittedTask task;
  task.acknowledged_at = 5;
  const TaskEnded ended{"a", TaskEnd::kPreempted, kExitStatusPreempted, "why"};
  pbs_protocol::Request report;
  const std::string bytes = EncodeEndReport("n", ended, task, 9, {});
  ASSERT_EQ(pbs_protocol::Decode(bytes, &report).state, pbs_protocol::DisState::kOk);
  EXPECT_EQ(report.user, "node@n");
  EXPECT_EQ(report.status, 271);
  EXPECT_EQ(pbs_protocol::ValueOf(report.attributes, "end_reason"), "pushed_out");
  EXPECT_EQ(pbs_protocol::ValueOf(report.attributes, "start"), "5");
  EXPECT_EQ(pbs_protocol::ValueOf(report.attributes, "end"), "9");
  EXPECT_EQ(pbs_protocol::ValueOf(report.attributes, "comment"), "why");
}

}  // namespace
}  // namespace mountflow::node_agent
