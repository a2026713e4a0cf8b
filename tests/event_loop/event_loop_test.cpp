// Tests of establishing connections, timers and turns, signals, descriptors and child processes.
#include <fcntl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>

#include "tests/event_loop/event_loop_fixture.hpp"

namespace mountflow::event_loop {
namespace {

// ---- Establishing ----

TEST_F(EventLoopTest, CarriesBytesBothWays) {
  Establish();
  EXPECT_EQ(client_.connected, std::vector<ConnId>{client_connection_});
  EXPECT_EQ(server_.last_peer.address.substr(0, 10), "127.0.0.1:");
  loop_.Send(client_connection_, "request");
  ASSERT_TRUE(RunUntil([this] { return server_.received[server_connection_] == "request"; }));
  loop_.Send(server_connection_, "reply");
  ASSERT_TRUE(RunUntil([this] { return client_.received[client_connection_] == "reply"; }));
  EXPECT_TRUE(loop_.AllWritten(client_connection_));
  EXPECT_EQ(loop_.UnsentBytes(client_connection_), 0u);
}

TEST_F(EventLoopTest, ReportsUserOfPeerUnlessTurnedOff) {
  Establish();
  EXPECT_TRUE(server_.last_peer.has_uid);
  EXPECT_EQ(server_.last_peer.uid, getuid());
  loop_.SetReportPeerUid(false);
  loop_.Connect(address_, &client_);
  ASSERT_TRUE(RunUntil([this] { return server_.accepted.size() == 2; }));
  EXPECT_FALSE(server_.last_peer.has_uid);
}

TEST_F(EventLoopTest, DeliversBytesSentBeforeConnectionIsEstablished) {
  Listen();
  const ConnId connection = loop_.Connect(address_, &client_, 77);
  EXPECT_EQ(connection, 77u);
  loop_.Send(connection, "early");
  EXPECT_EQ(loop_.UnsentBytes(connection), 5u);
  EXPECT_FALSE(loop_.AllWritten(connection));
  ASSERT_TRUE(RunUntil([this] { return !server_.received.empty(); }));
  EXPECT_EQ(server_.received.begin()->second, "early");
}

TEST_F(EventLoopTest, RejectsMalformedAddress) {
  const auto listener = loop_.Listen("nowhere", &server_);
  ASSERT_FALSE(listener.has_value());
  EXPECT_EQ(listener.error().code, EventLoopErrorCode::kInvalidAddress);
  EXPECT_EQ(Describe(listener.error()), "'nowhere': expected IP:PORT");
  const ConnId connection = loop_.Connect("nowhere", &client_);
  EXPECT_TRUE(client_.closed.empty());  // not called inside Connect()
  ASSERT_TRUE(RunUntil([this] { return !client_.closed.empty(); }));
  EXPECT_EQ(client_.closed[connection], "'nowhere': expected IP:PORT");
}

TEST_F(EventLoopTest, ReportsAddressInUse) {
  Listen();
  const auto second = loop_.Listen(address_, &server_);
  ASSERT_FALSE(second.has_value());
  EXPECT_EQ(second.error().code, EventLoopErrorCode::kListenFailed);
  EXPECT_EQ(second.error().system_error, std::errc::address_in_use);
  EXPECT_EQ(second.error().address, address_);
}

TEST_F(EventLoopTest, ReportsConnectionRefusedByClosedListener) {
  Listen();
  loop_.CloseListener(listener_);
  EXPECT_EQ(loop_.PortOf(listener_), 0);
  const ConnId connection = loop_.Connect(address_, &client_);
  ASSERT_TRUE(RunUntil([this] { return !client_.closed.empty(); }));
  EXPECT_TRUE(IsConnectionRefused(client_.closed[connection]));
  EXPECT_TRUE(client_.connected.empty());
}

TEST_F(EventLoopTest, PausedListenerAcceptsWhenResumed) {
  Listen();
  loop_.PauseAccepting(listener_, true);
  loop_.Connect(address_, &client_);
  ASSERT_TRUE(RunUntil([this] { return !client_.connected.empty(); }));  // in the listen queue of the kernel
  RunSomeTurns();
  EXPECT_TRUE(server_.accepted.empty());
  loop_.PauseAccepting(listener_, false);
  EXPECT_TRUE(RunUntil([this] { return server_.accepted.size() == 1; }));
}

// Guards against a busy loop: without a free descriptor, the listener stays readable.
TEST_F(EventLoopTest, ListenerPausesWhileDescriptorsAreExhausted) {
  Listen();
  loop_.Connect(address_, &client_);
  const int lowest_free = open("/dev/null", O_RDONLY | O_CLOEXEC);
  close(lowest_free);
  rlimit usual{};
  ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &usual), 0);
  rlimit exhausted = usual;
  exhausted.rlim_cur = static_cast<rlim_t>(lowest_free);
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &exhausted), 0);
  EXPECT_TRUE(RunUntil([this] { return !client_.connected.empty(); }));
  const Micros begin = loop_.Now();
  int turns = 0;
  EXPECT_TRUE(RunUntil([this, begin, &turns] {
    ++turns;
    return loop_.Now() > begin + 20 * kTick;
  }));
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &usual), 0);
  EXPECT_TRUE(server_.accepted.empty());
  EXPECT_LE(turns, 30);  // turns caused by the test's own timer
  EXPECT_TRUE(RunUntil([this] { return server_.accepted.size() == 1; }));
}

// ---- Timers and turns ----

TEST_F(EventLoopTest, TimersRunInOrderUnlessCancelled) {
  std::string order;
  const Micros now = loop_.Now();
  loop_.AddTimer(now + 2000, [&order] { order += 'c'; });
  loop_.AddTimer(now + 1000, [&order] { order += 'a'; });
  loop_.AddTimer(now + 1000, [&order] { order += 'b'; });
  const TimerId cancelled = loop_.AddTimer(now + 1500, [&order] { order += 'x'; });
  loop_.CancelTimer(cancelled);
  ASSERT_TRUE(RunUntil([&order] { return order.size() == 3; }));
  EXPECT_EQ(order, "abc");
  EXPECT_GE(loop_.Now(), now + 2000);
}

TEST_F(EventLoopTest, TurnsBeginOneAfterTheOther) {
  RunSomeTurns();
  EXPECT_LT(loop_.PreviousTurnStart(), loop_.TurnStart());
  EXPECT_LE(loop_.TurnStart(), loop_.Now());
}

// ---- Signals, descriptors and child processes ----

TEST_F(EventLoopTest, ReportsSignal) {
  int signals = 0;
  loop_.OnSignal(SIGUSR1, [&signals] { ++signals; });
  ASSERT_EQ(raise(SIGUSR1), 0);
  EXPECT_EQ(signals, 0);
  EXPECT_TRUE(RunUntil([&signals] { return signals == 1; }));
}

TEST_F(EventLoopTest, ReportsExitStatusOfChild) {
  const pid_t pid = fork();
  if (pid == 0) _exit(3);
  ASSERT_GT(pid, 0);
  int status = -1;
  loop_.OnChild(pid, [&status](int exit_status) { status = exit_status; });
  ASSERT_TRUE(RunUntil([&status] { return status != -1; }));
  EXPECT_TRUE(WIFEXITED(status));
  EXPECT_EQ(WEXITSTATUS(status), 3);
}

TEST_F(EventLoopTest, ReportsReadableDescriptorUntilCallbackEndsIt) {
  int ends[2];
  ASSERT_EQ(pipe(ends), 0);
  int calls = 0;
  loop_.OnReadable(ends[0], [&calls, &ends] {
    char byte = 0;
    EXPECT_EQ(read(ends[0], &byte, 1), 1);
    return ++calls < 2;
  });
  RunSomeTurns();
  EXPECT_EQ(calls, 0);
  ASSERT_EQ(write(ends[1], "abc", 3), 3);
  ASSERT_TRUE(RunUntil([&calls] { return calls == 2; }));
  RunSomeTurns();
  EXPECT_EQ(calls, 2);  // one byte remains unread
  close(ends[0]);
  close(ends[1]);
}

}  // namespace
}  // namespace mountflow::event_loop
