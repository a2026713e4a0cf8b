// Tests the executor with real processes on the event loop.
#include "node_agent/task_executor.hpp"

#include <gtest/gtest.h>

#include <memory>

namespace mountflow::node_agent {
namespace {

using pbs_protocol::Op;

constexpr Micros kMaxRunTime = 20'000'000;

SubmittedTask Script(const std::string& script, const std::string& output = "/dev/null") {
  SubmittedTask task;
  task.script = script;
  task.attributes = {{"Output_Path", "", output, Op::kSet}, {"Join_Path", "", "oe", Op::kSet}};
  return task;
}

struct ExecutorFixture {
  event_loop::EventLoop loop;
  std::map<std::string, int> exits;
  std::size_t expected_exits = 1;
  std::unique_ptr<TaskExecutor> executor =
      std::make_unique<TaskExecutor>(&loop, [this](const std::string& attempt, int status) {
        exits[attempt] = status;
        if (exits.size() == expected_exits) loop.Stop();
      });
  void RunLoop() {
    loop.AddTimer(loop.Now() + kMaxRunTime, [this] { loop.Stop(); });
    loop.Run();
  }
};

TEST(TaskExecutor, ReportsTheExitStatusOrTheSignalThatEndedATask) {
  ExecutorFixture fixture;
  fixture.expected_exits = 3;
  fixture.executor->Run("exits", Script("exit 3"));
  fixture.executor->Run("is_killed", Script("kill -KILL $$"));
  fixture.executor->Run("is_signalled", Script("read forever </dev/zero"));
  fixture.executor->Signal("is_signalled", "SIGKILL");
  fixture.RunLoop();
  EXPECT_EQ(fixture.exits["exits"], 3);
  EXPECT_EQ(fixture.exits["is_killed"], kExitStatusKilled);
  EXPECT_EQ(fixture.exits["is_signalled"], kExitStatusKilled);
}

TEST(TaskExecutor, ATaskWhoseOutputCannotBeOpenedHasFailed) {
  ExecutorFixture fixture;
  fixture.executor->Run("a", Script("exit 0", "/dev/null/no/file"));
  EXPECT_TRUE(fixture.exits.empty());  // the loop reports the failure later
  fixture.RunLoop();
  EXPECT_EQ(fixture.exits["a"], 1);
}

// Killing a node destroys its executor while the loop still has its callbacks.
TEST(TaskExecutor, NothingIsReportedAfterItsDestruction) {
  ExecutorFixture fixture;
  fixture.executor->Run("not_started", Script("exit 0", "/dev/null/no/file"));
  fixture.executor->Run("runs", Script("exit 0"));
  fixture.executor.reset();
  ExecutorFixture* const fixture_pointer = &fixture;
  TaskExecutor next(&fixture.loop,
                    [fixture_pointer](const std::string&, int) { fixture_pointer->loop.Stop(); });
  next.Run("next", Script("exit 0"));
  fixture.RunLoop();
  EXPECT_TRUE(fixture.exits.empty());
}

}  // namespace
}  // namespace mountflow::node_agent
