// Tests of reading, writing and closing connections: bounds, order and the events at each end.
#include "tests/event_loop/event_loop_fixture.hpp"

namespace mountflow::event_loop {
namespace {

using EventLoopTraffic = EventLoopTest;

// ---- Reading ----

TEST_F(EventLoopTraffic, PausedConnectionIsReadWhenResumed) {
  Establish();
  loop_.PauseReading(server_connection_, true);
  loop_.Send(client_connection_, "waits");
  RunSomeTurns();
  EXPECT_TRUE(server_.received.empty());
  loop_.PauseReading(server_connection_, false);
  EXPECT_TRUE(RunUntil([this] { return server_.received[server_connection_] == "waits"; }));
}

TEST_F(EventLoopTraffic, ReadsAtMostTheBoundAtOnce) {
  Establish();
  loop_.SetMaxReadBytes(10);
  loop_.Send(client_connection_, std::string(95, 'x'));
  ASSERT_TRUE(RunUntil([this] { return server_.received[server_connection_].size() == 95; }));
  EXPECT_EQ(server_.largest_read, 10u);
}

TEST_F(EventLoopTraffic, DetectsPeerCloseWhileBytesAreUnread) {
  Establish();
  loop_.PauseReading(server_connection_, true);
  EXPECT_FALSE(loop_.PeerClosed(server_connection_));
  loop_.Send(client_connection_, "last words");
  loop_.Close(client_connection_);
  ASSERT_TRUE(RunUntil([this] { return loop_.PeerClosed(server_connection_); }));
  EXPECT_TRUE(server_.received.empty());
  EXPECT_TRUE(server_.closed.empty());
  loop_.PauseReading(server_connection_, false);
  ASSERT_TRUE(RunUntil([this] { return !server_.closed.empty(); }));
  EXPECT_EQ(server_.received[server_connection_], "last words");
  EXPECT_EQ(server_.closed[server_connection_], "closed by peer");
  EXPECT_TRUE(loop_.PeerClosed(server_connection_));  // the connection no longer exists
}

// ---- Writing and closing ----

TEST_F(EventLoopTraffic, ClosesConnectionBeyondWriteBufferBound) {
  Listen();
  loop_.SetMaxUnsentBytes(1000);
  const ConnId connection = loop_.Connect(address_, &client_);
  loop_.Send(connection, std::string(1000, 'x'));
  EXPECT_EQ(loop_.UnsentBytes(connection), 1000u);
  loop_.Send(connection, "y");
  EXPECT_EQ(loop_.UnsentBytes(connection), 0u);
  EXPECT_TRUE(client_.closed.empty());  // not called inside Send()
  ASSERT_TRUE(RunUntil([this] { return !client_.closed.empty(); }));
  EXPECT_EQ(client_.closed[connection], "does not read what is sent");
}

TEST_F(EventLoopTraffic, PeerThatDoesNotReadIsReset) {
  Establish();
  loop_.PauseReading(client_connection_, true);
  loop_.SetMaxUnsentBytes(kMoreThanKernelTakes);
  loop_.Send(server_connection_, std::string(kMoreThanKernelTakes, 'x'));
  EXPECT_GT(loop_.UnsentBytes(server_connection_), 0u);
  loop_.Send(server_connection_, std::string(kMoreThanKernelTakes, 'x'));
  ASSERT_TRUE(RunUntil([this] { return !server_.closed.empty(); }));
  EXPECT_EQ(server_.closed[server_connection_], "does not read what is sent");
  EXPECT_TRUE(loop_.PeerClosed(client_connection_));
}

TEST_F(EventLoopTraffic, FlushWritesAllBeforeItCloses) {
  Establish();
  loop_.Send(server_connection_, std::string(kMoreThanKernelTakes, 'x'));
  EXPECT_GT(loop_.UnsentBytes(server_connection_), 0u);
  loop_.Close(server_connection_, true);
  EXPECT_EQ(loop_.closing_count(), 1u);
  loop_.Send(server_connection_, "not sent any more");
  ASSERT_TRUE(RunUntil([this] { return !client_.closed.empty(); }));
  EXPECT_EQ(client_.received[client_connection_].size(), kMoreThanKernelTakes);
  EXPECT_EQ(client_.closed[client_connection_], "closed by peer");
  EXPECT_EQ(loop_.closing_count(), 0u);
  EXPECT_TRUE(server_.closed.empty());
  EXPECT_EQ(server_.sent, 0);
}

TEST_F(EventLoopTraffic, ReportsWhenWriteBufferBecomesEmpty) {
  Establish();
  loop_.Send(server_connection_, std::string(kMoreThanKernelTakes, 'x'));
  EXPECT_FALSE(loop_.AllWritten(server_connection_));
  ASSERT_TRUE(RunUntil([this] { return server_.sent == 1; }));
  EXPECT_TRUE(loop_.AllWritten(server_connection_));
  EXPECT_TRUE(
      RunUntil([this] { return client_.received[client_connection_].size() == kMoreThanKernelTakes; }));
}

TEST_F(EventLoopTraffic, NoCallbackComesAfterClose) {
  Establish();
  loop_.Send(client_connection_, "bytes");
  loop_.Close(client_connection_);
  loop_.Close(server_connection_);
  loop_.Close(server_connection_);  // a second Close() has no effect
  RunSomeTurns();
  EXPECT_TRUE(server_.received.empty());
  EXPECT_TRUE(server_.closed.empty());
  EXPECT_TRUE(client_.closed.empty());
}

TEST_F(EventLoopTraffic, AbortIsSeenAsReset) {
  Establish();
  loop_.Abort(server_connection_);
  ASSERT_TRUE(RunUntil([this] { return !client_.closed.empty(); }));
  EXPECT_EQ(client_.closed[client_connection_], std::make_error_code(std::errc::connection_reset).message());
}

}  // namespace
}  // namespace mountflow::event_loop
