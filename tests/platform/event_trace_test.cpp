#include "platform/event_trace.hpp"

#include <gtest/gtest.h>

namespace mountflow::platform {
namespace {

Task ExampleTask() {
  Task task;
  task.request = 7;
  task.task_class = 1;
  task.deadline = 3'000'000;
  task.key = 0xff;
  task.cores = 1.5;
  task.memory = 2;
  return task;
}

constexpr const char* kTaskFields =
    " request=7 class=1 tenant=0 key=00000000000000ff service=0000000000000000 cores=1.5 memory=2"
    " deadline_us=3000000";

TEST(EventTrace, WritesEachEventAsKeysAndValues) {
  NodeListUpdate update;
  update.kind = NodeListKind::kSnapshot;
  update.nodes.push_back({3, 1, 0, 0, 5000, NodeState::kDraining, 1.5, 2});
  AttemptEnded ended;
  ended.request = 7;
  ended.attempt = 1;
  ended.node = 3;
  ended.elapsed = 900;
  ended.result = AttemptResult::kRejected;
  ended.reason = RejectionReason::kNoCores;
  ended.report.queued = 4;
  const std::pair<Event, std::string> expected[] = {
      {update,
       "node_list list=snapshot node=3 rack=1 zone=0 kind=0 state=draining started_at_us=5000 free_cores=1.5"
       " free_memory=2"},
      {TaskSubmitted{ExampleTask()}, std::string("task_submitted") + kTaskFields},
      {TaskRecovered{ExampleTask(), 3}, std::string("task_recovered") + kTaskFields + " node=3"},
      {TaskStarted{7, 1, 3, 900}, "task_started request=7 attempt=1 node=3 elapsed_us=900"},
      {TaskProgress{7, 1, 3, ProgressKind::kCoresUsed, 0.5},
       "task_progress request=7 kind=cores_used value=0.5"},
      {ended,
       "attempt_ended request=7 attempt=1 node=3 result=rejected reason=no_cores closed=0 elapsed_us=900"
       " queued=4"},
      {TaskCancelled{7}, "task_cancelled request=7"},
      {TimerFired{}, ""}};
  for (const auto& [event, line] : expected) EXPECT_EQ(Describe(event), line);
}

TEST(EventTrace, WritesEachActionAsKeysAndValues) {
  const std::pair<Action, std::string> expected[] = {
      {StartAttempt{7, 1, 3, 900}, "start_attempt request=7 attempt=1 node=3 deadline_us=900"},
      {CancelAttempt{7, 1}, "cancel_attempt request=7 attempt=1"},
      {RejectTask{7, 900}, "reject_task request=7 retry_after_us=900"},
      {FailTask{7}, "fail_task request=7"},
      {MigrateTask{7}, "migrate_task request=7"},
      {LogLine{"a line"}, "log a line"},
      {WatchNodes{}, ""}};
  for (const auto& [action, line] : expected) EXPECT_EQ(Describe(action), line);
}

}  // namespace
}  // namespace mountflow::platform
