// Log events of the job manager and their fields.
#include <gtest/gtest.h>

#include "tests/support/job_manager_fixture.hpp"

namespace mountflow::testing {
namespace {

using namespace job_manager;
using logging::LogEvent;

class LogEntriesTest : public JobManagerTest {
 protected:
  std::vector<LogEvent> Events() const {
    std::vector<LogEvent> events;
    for (const LogEntry& entry : fixture.All<LogEntry>()) events.push_back(entry.event);
    return events;
  }
  // Returns the value of a field of the latest entry, which must have the field.
  template <typename T>
  T Field(std::string_view name) const {
    const LogEntry entry = fixture.Last<LogEntry>().value();
    for (const logging::LogField& field : entry.fields) {
      if (field.name == name) return std::get<T>(field.value);
    }
    ADD_FAILURE() << "no field " << name;
    return T{};
  }
  void ChangeGroup(int size, int index) {
    MembershipChange change;
    change.size = size;
    change.index = index;
    fixture.job_manager.HandleMembershipChange(fixture.now, change);
    fixture.Collect();
  }
};

TEST_F(LogEntriesTest, JobIsSubmittedAnsweredAndComplete) {
  const PrepareAttempt prepare = fixture.SubmitAndStart(kIdempotent);
  EXPECT_EQ(Events(), (std::vector<LogEvent>{LogEvent::kSubmitted, LogEvent::kAnswered}));
  EXPECT_EQ(Field<std::string>(logging::kAnswerField), "placed");
  fixture.Take(AttemptFinished{prepare.attempt, EndReason::kExited, 0, "", {}, 1, 2});
  EXPECT_EQ(fixture.Last<LogEntry>()->event, LogEvent::kComplete);
  EXPECT_EQ(fixture.Last<LogEntry>()->job, prepare.attempt.job);
}

TEST_F(LogEntriesTest, DeletionNamesItsUser) {
  JobSpec spec;
  spec.user = "thandi", spec.task_class = kIdempotent, spec.queue = "safe", spec.hold = "u";
  const std::uint64_t first = fixture.Submit(spec);
  const std::uint64_t second = fixture.Submit(spec);
  const auto user_of_deletion = [this](std::uint64_t job, const std::string& user) {
    fixture.Clear();
    EXPECT_EQ(fixture.job_manager.Delete(fixture.now, job, user), CommandResult::kOk);
    fixture.Collect();
    const LogEntry entry = fixture.All<LogEntry>().at(0);
    EXPECT_EQ(entry.event, LogEvent::kDeleted);
    return std::get<std::string>(entry.fields.at(0).value);
  };
  EXPECT_EQ(user_of_deletion(first, "thandi"), "thandi");
  EXPECT_EQ(user_of_deletion(second, ""), "operator");
}

TEST_F(LogEntriesTest, GroupChangeHasSizeAndIndex) {
  ChangeGroup(3, 1);
  EXPECT_EQ(fixture.Last<LogEntry>()->event, LogEvent::kGroupChanged);
  EXPECT_EQ(Field<std::int64_t>(logging::kGroupSizeField), 3);
  EXPECT_EQ(Field<std::int64_t>(logging::kGroupIndexField), 1);
  fixture.Clear();
  ChangeGroup(3, 1);
  EXPECT_TRUE(Events().empty());
}

TEST_F(LogEntriesTest, UnknownIndexIsAnEventOfItsOwn) {
  ChangeGroup(3, -1);
  EXPECT_EQ(fixture.Last<LogEntry>()->event, LogEvent::kGroupIndexUnknown);
  EXPECT_EQ(Field<std::int64_t>(logging::kGroupIndexField), -1);
}

TEST_F(LogEntriesTest, RejectionByANodeNamesAttemptNodeAndReason) {
  fixture.Submit(kIdempotent);
  const PrepareAttempt prepare = fixture.Last<PrepareAttempt>().value();
  fixture.Clear();
  fixture.Take(AttemptRejected{prepare.attempt, RejectionReason{}, "no cores", {}, false});
  const LogEntry entry = fixture.All<LogEntry>().at(0);
  EXPECT_EQ(entry.event, LogEvent::kAttemptRejected);
  EXPECT_EQ(entry.job, prepare.attempt.job);
  EXPECT_EQ(entry.attempt, prepare.attempt.number);
  EXPECT_FALSE(entry.node.empty());
  EXPECT_EQ(entry.text, "no cores");
}

TEST_F(LogEntriesTest, NodeThatLeavesTheListIsRemoved) {
  fixture.List({JobManagerFixture::Node("a", "rack1"), JobManagerFixture::Node("b", "rack1")});
  const LogEntry entry = fixture.All<LogEntry>().at(0);
  EXPECT_EQ(entry.event, LogEvent::kNodeRemoved);
  EXPECT_EQ(entry.node, "c");
}

}  // namespace
}  // namespace mountflow::testing
