// The event loop over loopback sockets. Each step waits for the event it needs; a time limit only ends a
// failing test.
#include "event_loop/event_loop.hpp"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mountflow::event_loop {
namespace {

constexpr Micros kTestLimit = 30'000'000;
constexpr Micros kTick = 1'000;
constexpr std::size_t kMoreThanKernelTakes = 16 << 20;

struct RecordingHandler : ConnectionHandler {
  void OnAccepted(ListenerId, ConnId connection, const PeerInfo& peer) override {
    accepted.push_back(connection);
    last_peer = peer;
  }
  void OnConnected(ConnId connection) override { connected.push_back(connection); }
  void OnReceived(ConnId connection, std::string_view bytes) override {
    received[connection] += bytes;
    largest_read = std::max(largest_read, bytes.size());
  }
  void OnSent(ConnId) override { ++sent; }
  void OnClosed(ConnId connection, const std::string& reason) override { closed[connection] = reason; }

  std::vector<ConnId> accepted;
  std::vector<ConnId> connected;
  std::map<ConnId, std::string> received;
  std::map<ConnId, std::string> closed;
  PeerInfo last_peer;
  std::size_t largest_read = 0;
  int sent = 0;
};

class EventLoopTest : public ::testing::Test {
 protected:
  // Serves events until `condition` holds after a turn; there is a turn each millisecond. False at the time
  // limit.
  bool RunUntil(const std::function<bool()>& condition) {
    const Micros limit = loop_.Now() + kTestLimit;
    loop_.SetAfterTurn([this, &condition, limit] {
      if (condition() || loop_.Now() > limit) loop_.Stop();
    });
    loop_.SetMainTimer(loop_.Now() + kTick, [this] { loop_.SetMainTimer(loop_.Now() + kTick, nullptr); });
    loop_.Run();
    loop_.SetAfterTurn({});
    return condition();
  }
  // Serves what is there, for some turns.
  void RunSomeTurns() {
    int turns = 0;
    ASSERT_TRUE(RunUntil([&turns] { return ++turns > 5; }));
  }
  void Listen(FilterFactory filters = {}) {
    const auto listener = loop_.Listen("127.0.0.1:0", &server_, std::move(filters));
    ASSERT_TRUE(listener.has_value()) << Describe(listener.error());
    listener_ = *listener;
    address_ = "127.0.0.1:" + std::to_string(loop_.PortOf(listener_));
  }
  // Both ends of a new connection.
  void Establish() {
    Listen();
    client_connection_ = loop_.Connect(address_, &client_);
    ASSERT_TRUE(RunUntil([this] { return !server_.accepted.empty() && !client_.connected.empty(); }));
    server_connection_ = server_.accepted.back();
  }

  EventLoop loop_;
  RecordingHandler server_;
  RecordingHandler client_;
  ListenerId listener_ = 0;
  std::string address_;
  ConnId client_connection_ = 0;
  ConnId server_connection_ = 0;
};

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

TEST_F(EventLoopTest, ReportsOwnerOfPeerUnlessTurnedOff) {
  Establish();
  EXPECT_TRUE(server_.last_peer.has_uid);
  EXPECT_EQ(server_.last_peer.uid, getuid());
  loop_.SetReportPeerUid(false);
  loop_.Connect(address_, &client_);
  ASSERT_TRUE(RunUntil([this] { return server_.accepted.size() == 2; }));
  EXPECT_FALSE(server_.last_peer.has_uid);
}

TEST_F(EventLoopTest, SendsWhatWasSentBeforeConnectionIsEstablished) {
  Listen();
  const ConnId connection = loop_.Connect(address_, &client_, 77);
  EXPECT_EQ(connection, 77u);
  loop_.Send(connection, "early");
  EXPECT_EQ(loop_.UnsentBytes(connection), 5u);
  EXPECT_FALSE(loop_.AllWritten(connection));
  ASSERT_TRUE(RunUntil([this] { return !server_.received.empty(); }));
  EXPECT_EQ(server_.received.begin()->second, "early");
}

TEST_F(EventLoopTest, RejectsAddressThatIsMalformed) {
  const auto listener = loop_.Listen("nowhere", &server_);
  ASSERT_FALSE(listener.has_value());
  EXPECT_EQ(listener.error().code, EventLoopErrorCode::kInvalidAddress);
  EXPECT_EQ(Describe(listener.error()), "'nowhere': expected IP:PORT");
  const ConnId connection = loop_.Connect("nowhere", &client_);
  EXPECT_TRUE(client_.closed.empty());  // not inside the call
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
  ASSERT_TRUE(RunUntil([this] { return !client_.connected.empty(); }));  // the kernel has it
  RunSomeTurns();
  EXPECT_TRUE(server_.accepted.empty());
  loop_.PauseAccepting(listener_, false);
  EXPECT_TRUE(RunUntil([this] { return server_.accepted.size() == 1; }));
}

// The danger: without a descriptor the listener stays readable, and the loop would spin.
TEST_F(EventLoopTest, ListenerPausesWhileThereIsNoDescriptor) {
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
  EXPECT_LE(turns, 30);  // those of the test's own timer
  EXPECT_TRUE(RunUntil([this] { return server_.accepted.size() == 1; }));
}

// ---- Reading ----

TEST_F(EventLoopTest, PausedConnectionIsReadWhenResumed) {
  Establish();
  loop_.PauseReading(server_connection_, true);
  loop_.Send(client_connection_, "waits");
  RunSomeTurns();
  EXPECT_TRUE(server_.received.empty());
  loop_.PauseReading(server_connection_, false);
  EXPECT_TRUE(RunUntil([this] { return server_.received[server_connection_] == "waits"; }));
}

TEST_F(EventLoopTest, ReadsAtMostTheBoundAtOnce) {
  Establish();
  loop_.SetMaxReadBytes(10);
  loop_.Send(client_connection_, std::string(95, 'x'));
  ASSERT_TRUE(RunUntil([this] { return server_.received[server_connection_].size() == 95; }));
  EXPECT_EQ(server_.largest_read, 10u);
}

TEST_F(EventLoopTest, SeesPeerCloseWhileBytesWaitUnread) {
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
  EXPECT_TRUE(loop_.PeerClosed(server_connection_));  // gone
}

// ---- Writing and closing ----

TEST_F(EventLoopTest, ClosesConnectionBeyondWriteBufferBound) {
  Listen();
  loop_.SetMaxUnsentBytes(1000);
  const ConnId connection = loop_.Connect(address_, &client_);
  loop_.Send(connection, std::string(1000, 'x'));
  EXPECT_EQ(loop_.UnsentBytes(connection), 1000u);
  loop_.Send(connection, "y");
  EXPECT_EQ(loop_.UnsentBytes(connection), 0u);
  EXPECT_TRUE(client_.closed.empty());  // not inside the call
  ASSERT_TRUE(RunUntil([this] { return !client_.closed.empty(); }));
  EXPECT_EQ(client_.closed[connection], "does not read what is sent");
}

TEST_F(EventLoopTest, PeerThatDoesNotReadIsReset) {
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

TEST_F(EventLoopTest, FlushWritesAllBeforeItCloses) {
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

TEST_F(EventLoopTest, ReportsWhenWriteBufferBecomesEmpty) {
  Establish();
  loop_.Send(server_connection_, std::string(kMoreThanKernelTakes, 'x'));
  EXPECT_FALSE(loop_.AllWritten(server_connection_));
  ASSERT_TRUE(RunUntil([this] { return server_.sent == 1; }));
  EXPECT_TRUE(loop_.AllWritten(server_connection_));
  EXPECT_TRUE(
      RunUntil([this] { return client_.received[client_connection_].size() == kMoreThanKernelTakes; }));
}

TEST_F(EventLoopTest, NoCallbackComesAfterClose) {
  Establish();
  loop_.Send(client_connection_, "bytes");
  loop_.Close(client_connection_);
  loop_.Close(server_connection_);
  loop_.Close(server_connection_);  // again changes nothing
  RunSomeTurns();
  EXPECT_TRUE(server_.received.empty());
  EXPECT_TRUE(server_.closed.empty());
  EXPECT_TRUE(client_.closed.empty());
}

TEST_F(EventLoopTest, AbortIsSeenAsReset) {
  Establish();
  loop_.Abort(server_connection_);
  ASSERT_TRUE(RunUntil([this] { return !client_.closed.empty(); }));
  EXPECT_EQ(client_.closed[client_connection_], std::make_error_code(std::errc::connection_reset).message());
}

// ---- Filters ----

// Shifts each byte by one; ready when the peer's "!" has come. A '#' from the peer is an error.
class ShiftFilter : public ConnectionFilter {
 public:
  void Start(std::string* out) override { *out += '!'; }
  bool Receive(std::string_view bytes, std::string* plain, std::string* out) override {
    (void)out;
    if (!ready_ && !bytes.empty()) {
      ready_ = bytes.front() == '!';
      bytes.remove_prefix(1);
      if (!ready_) error_ = "no greeting";
    }
    for (const char byte : bytes) {
      if (byte == '#') error_ = "bad byte";
      if (!error_.empty()) break;
      *plain += static_cast<char>(byte - 1);
    }
    return error_.empty();
  }
  bool Send(std::string_view plain, std::string* out) override {
    for (const char byte : plain) *out += static_cast<char>(byte + 1);
    return true;
  }
  void Finish(std::string* out) override { *out += 'Z'; }
  bool ready() const override { return ready_; }
  const std::string& error() const override { return error_; }

 private:
  bool ready_ = false;
  std::string error_;
};

TEST_F(EventLoopTest, FilterTransformsBytesAndDelaysAccept) {
  Listen([] { return std::make_unique<ShiftFilter>(); });
  const ConnId plain = loop_.Connect(address_, &client_);  // without a filter: sees what is on the wire
  ASSERT_TRUE(RunUntil([&] { return client_.received[plain] == "!"; }));
  EXPECT_TRUE(server_.accepted.empty());  // its handshake is not complete
  loop_.Send(plain, "!bc");
  ASSERT_TRUE(RunUntil([this] { return !server_.received.empty(); }));
  ASSERT_EQ(server_.accepted.size(), 1u);
  EXPECT_EQ(server_.received[server_.accepted[0]], "ab");
  loop_.Send(server_.accepted[0], "xy");
  loop_.Close(server_.accepted[0], true);
  ASSERT_TRUE(RunUntil([&] { return !client_.closed.empty(); }));
  EXPECT_EQ(client_.received[plain], "!yzZ");
}

TEST_F(EventLoopTest, BytesSentBeforeFilterIsReadyWait) {
  Listen([] { return std::make_unique<ShiftFilter>(); });
  const ConnId connection = loop_.Connect(address_, &client_, 0, std::make_unique<ShiftFilter>());
  loop_.Send(connection, "early");
  EXPECT_EQ(loop_.UnsentBytes(connection), 5u);
  ASSERT_TRUE(RunUntil([this] { return !server_.received.empty(); }));
  EXPECT_EQ(client_.connected, std::vector<ConnId>{connection});
  EXPECT_EQ(server_.received.begin()->second, "early");
  EXPECT_EQ(loop_.UnsentBytes(connection), 0u);
}

TEST_F(EventLoopTest, FilterErrorClosesAfterBytesThatCameBefore) {
  Listen([] { return std::make_unique<ShiftFilter>(); });
  const ConnId plain = loop_.Connect(address_, &client_);
  loop_.Send(plain, "!bc#de");
  ASSERT_TRUE(RunUntil([this] { return !server_.closed.empty(); }));
  EXPECT_EQ(server_.received.begin()->second, "ab");
  EXPECT_EQ(server_.closed.begin()->second, "bad byte");
}

TEST_F(EventLoopTest, FailedHandshakeIsNotReportedByListener) {
  Listen([] { return std::make_unique<ShiftFilter>(); });
  const ConnId plain = loop_.Connect(address_, &client_);
  loop_.Send(plain, "hello");
  ASSERT_TRUE(RunUntil([this] { return !client_.closed.empty(); }));
  EXPECT_TRUE(server_.accepted.empty());
  EXPECT_TRUE(server_.closed.empty());
}

TEST_F(EventLoopTest, ConnectionWithoutFilterToBeHadIsReset) {
  Listen([] { return nullptr; });
  loop_.Connect(address_, &client_);
  ASSERT_TRUE(RunUntil([this] { return !client_.closed.empty(); }));
  EXPECT_TRUE(server_.accepted.empty());
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
  EXPECT_EQ(calls, 2);  // one byte is left
  close(ends[0]);
  close(ends[1]);
}

}  // namespace
}  // namespace mountflow::event_loop
