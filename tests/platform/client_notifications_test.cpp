// Tests of the queue of messages for clients.
#include "platform/client_notifications.hpp"

#include <gtest/gtest.h>

namespace mountflow::platform {
namespace {

TEST(ClientNotifications, TakesEverythingOnceAndInOrder) {
  ClientNotifications notifications;
  notifications.AddFinalAnswer(5, MakeNegativeAnswer(77, kCauseRejected));
  notifications.AddTaskNotification(6, 9, 78, ClientMessageKind::kStop, kCauseFailed);
  const auto taken = notifications.Take();
  ASSERT_EQ(taken.size(), 2u);
  EXPECT_TRUE(notifications.Take().empty());
  EXPECT_EQ(taken[0].conn, 5u);
  EXPECT_FALSE(taken[0].any_connection);  // an answer is sent only on the connection of its request
  EXPECT_EQ(taken[0].message.kind, ClientMessageKind::kStop);
  EXPECT_EQ(taken[0].message.uid, 77u);
  EXPECT_EQ(taken[0].message.cause, kCauseRejected);
  EXPECT_EQ(taken[1].conn, 6u);
  EXPECT_EQ(taken[1].host, 9u);
  EXPECT_TRUE(taken[1].any_connection);
  EXPECT_EQ(taken[1].message.cause, kCauseFailed);
}

TEST(ClientNotifications, SetsACauseOnlyForStop) {
  ClientNotifications notifications;
  notifications.AddTaskNotification(6, 9, 78, ClientMessageKind::kMigrate, kCauseFailed);
  EXPECT_FALSE(notifications.Take().at(0).message.cause.has_value());
}

}  // namespace
}  // namespace mountflow::platform
