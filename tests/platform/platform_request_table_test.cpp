// Tests of the request table: look-up, counts per connection, and limits.
#include <gtest/gtest.h>

#include <string>

#include "platform/request_table.hpp"

namespace mountflow::platform {
namespace {

constexpr ConnId kConn = 5;
constexpr ConnId kOtherConn = 6;
constexpr ClientHost kHost = 0x0a090001;

LaunchPayload PayloadOf(std::size_t description_bytes) {
  LaunchPayload payload;
  payload.task_class = "service";
  payload.description = std::string(description_bytes, 'x');
  return payload;
}

Request& AddUnanswered(RequestTable& table, RequestUid uid, ConnId conn = kConn, std::size_t bytes = 0) {
  Request& request = table.Add(uid, conn, kHost);
  table.AddUnanswered(request, PayloadOf(bytes));
  return request;
}

TEST(RequestTable, FindsARequestByIdAndByUid) {
  RequestTable table(100);
  Request& request = table.Add(77, kConn, kHost);
  EXPECT_EQ(table.Find(request.id), &request);
  EXPECT_EQ(table.FindByUid(77), &request);
  EXPECT_TRUE(table.Contains(77));
  EXPECT_EQ(request.state, RequestState::kPending);
  EXPECT_EQ(table.Find(request.id + 1), nullptr);
  EXPECT_EQ(table.FindByUid(78), nullptr);
  EXPECT_FALSE(table.Contains(78));
}

TEST(RequestTable, NeverReusesAnId) {
  RequestTable table(100);
  const RequestId first = table.Add(1, kConn, kHost).id;
  table.Remove(first);
  EXPECT_NE(table.Add(1, kConn, kHost).id, first);
}

TEST(RequestTable, RemovesARequestAndItsDescriptionBytes) {
  RequestTable table(100);
  const RequestId id = AddUnanswered(table, 7, kConn, 40).id;
  EXPECT_EQ(table.description_bytes(), 40u);
  table.Remove(id);
  table.Remove(id);  // has no effect
  EXPECT_EQ(table.description_bytes(), 0u);
  EXPECT_EQ(table.size(), 0u);
  EXPECT_FALSE(table.Contains(7));
}

TEST(RequestTable, ReleasesThePayloadOnce) {
  RequestTable table(100);
  Request& request = AddUnanswered(table, 7, kConn, 40);
  table.ReleasePayload(request);
  EXPECT_EQ(table.description_bytes(), 0u);
  EXPECT_TRUE(request.payload.description.empty());
  EXPECT_TRUE(request.payload.task_class.empty());
  table.Remove(request.id);
  EXPECT_EQ(table.description_bytes(), 0u);
}

TEST(RequestTable, CountsUnansweredRequestsByConnection) {
  RequestTable table(100);
  Request& first = AddUnanswered(table, 1);
  AddUnanswered(table, 2);
  AddUnanswered(table, 3, kOtherConn);
  EXPECT_EQ(table.unanswered(), 3u);
  EXPECT_EQ(table.unanswered_on(kConn), 2u);
  EXPECT_EQ(table.UnansweredOn(kOtherConn).size(), 1u);
  EXPECT_EQ(table.Unanswered().size(), 3u);
  table.MarkAnswered(first);
  table.MarkAnswered(first);  // has no effect
  EXPECT_TRUE(first.answered);
  EXPECT_EQ(table.unanswered(), 2u);
  EXPECT_EQ(table.unanswered_on(kConn), 1u);
  EXPECT_EQ(table.unanswered_on(99), 0u);
  EXPECT_TRUE(table.UnansweredOn(99).empty());
}

TEST(RequestTable, CountsRunningTasksByConnection) {
  RequestTable table(100);
  const Request& request = table.Add(1, kConn, kHost);
  table.CountRunning(request);
  table.CountRunning(request);
  EXPECT_EQ(table.running_on(kConn), 2u);
  table.UncountRunning(request);
  table.UncountRunning(request);
  table.UncountRunning(request);  // has no effect, because the count is 0
  EXPECT_EQ(table.running_on(kConn), 0u);
}

TEST(RequestTable, BoundsUnansweredRequestsOfOneConnectionAndOfAll) {
  RequestTable table(100);
  for (RequestUid uid = 1; uid <= kMaxUnansweredPerConnection; ++uid) {
    EXPECT_TRUE(table.HasCapacityForRequest(kConn, 0));
    AddUnanswered(table, uid);
  }
  EXPECT_FALSE(table.HasCapacityForRequest(kConn, 0));
  EXPECT_TRUE(table.HasCapacityForRequest(kOtherConn, 0));
  for (RequestUid uid = kMaxUnansweredPerConnection + 1; uid <= kMaxUnanswered; ++uid) {
    AddUnanswered(table, uid, 100 + uid);
  }
  EXPECT_FALSE(table.HasCapacityForRequest(kOtherConn, 0));
  EXPECT_TRUE(table.HasCapacityForRunningTask());
}

TEST(RequestTable, BoundsTheBytesOfDescriptions) {
  RequestTable table(100);
  AddUnanswered(table, 1, kConn, 60);
  EXPECT_TRUE(table.HasCapacityForRequest(kConn, 40));
  EXPECT_FALSE(table.HasCapacityForRequest(kConn, 41));
}

TEST(RequestTable, BoundsAllRecords) {
  RequestTable table(100);
  for (RequestUid uid = 1; uid <= kMaxRequests; ++uid) table.Add(uid, kConn, kHost);
  EXPECT_FALSE(table.HasCapacityForRunningTask());
  EXPECT_FALSE(table.HasCapacityForRequest(kConn, 0));
}

TEST(Request, DerivesHasAttemptAndIsRunningFromItsState) {
  Request request;
  EXPECT_FALSE(request.HasAttempt());
  EXPECT_FALSE(request.IsRunning());
  request.state = RequestState::kAttemptInFlight;
  EXPECT_TRUE(request.HasAttempt());
  EXPECT_FALSE(request.IsRunning());
  for (const RequestState state : {RequestState::kRunning, RequestState::kTerminating}) {
    request.state = state;
    EXPECT_TRUE(request.HasAttempt());
    EXPECT_TRUE(request.IsRunning());
  }
}

}  // namespace
}  // namespace mountflow::platform
