// Tests of connections with a filter, such as TLS, between the socket and the handler.
#include <memory>

#include "tests/event_loop/event_loop_fixture.hpp"

namespace mountflow::event_loop {
namespace {

using EventLoopFilter = EventLoopTest;

// Shifts each byte by one. Becomes ready when the peer's "!" arrives; fails on a '#' from the peer.
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

TEST_F(EventLoopFilter, FilterTransformsBytesAndDelaysAccept) {
  Listen([] { return std::make_unique<ShiftFilter>(); });
  const ConnId plain = loop_.Connect(address_, &client_);  // has no filter, so it receives the encoded bytes
  ASSERT_TRUE(RunUntil([&] { return client_.received[plain] == "!"; }));
  EXPECT_TRUE(server_.accepted.empty());  // the handshake is not complete yet
  loop_.Send(plain, "!bc");
  ASSERT_TRUE(RunUntil([this] { return !server_.received.empty(); }));
  ASSERT_EQ(server_.accepted.size(), 1u);
  EXPECT_EQ(server_.received[server_.accepted[0]], "ab");
  loop_.Send(server_.accepted[0], "xy");
  loop_.Close(server_.accepted[0], true);
  ASSERT_TRUE(RunUntil([&] { return !client_.closed.empty(); }));
  EXPECT_EQ(client_.received[plain], "!yzZ");
}

TEST_F(EventLoopFilter, BytesSentBeforeFilterIsReadyWait) {
  Listen([] { return std::make_unique<ShiftFilter>(); });
  const ConnId connection = loop_.Connect(address_, &client_, 0, std::make_unique<ShiftFilter>());
  loop_.Send(connection, "early");
  EXPECT_EQ(loop_.UnsentBytes(connection), 5u);
  ASSERT_TRUE(RunUntil([this] { return !server_.received.empty(); }));
  EXPECT_EQ(client_.connected, std::vector<ConnId>{connection});
  EXPECT_EQ(server_.received.begin()->second, "early");
  EXPECT_EQ(loop_.UnsentBytes(connection), 0u);
}

TEST_F(EventLoopFilter, FilterErrorClosesAfterDeliveringEarlierBytes) {
  Listen([] { return std::make_unique<ShiftFilter>(); });
  const ConnId plain = loop_.Connect(address_, &client_);
  loop_.Send(plain, "!bc#de");
  ASSERT_TRUE(RunUntil([this] { return !server_.closed.empty(); }));
  EXPECT_EQ(server_.received.begin()->second, "ab");
  EXPECT_EQ(server_.closed.begin()->second, "bad byte");
}

TEST_F(EventLoopFilter, FailedHandshakeIsNotReportedByListener) {
  Listen([] { return std::make_unique<ShiftFilter>(); });
  const ConnId plain = loop_.Connect(address_, &client_);
  loop_.Send(plain, "hello");
  ASSERT_TRUE(RunUntil([this] { return !client_.closed.empty(); }));
  EXPECT_TRUE(server_.accepted.empty());
  EXPECT_TRUE(server_.closed.empty());
}

TEST_F(EventLoopFilter, ConnectionIsResetWhenNoFilterCanBeCreated) {
  Listen([] { return nullptr; });
  loop_.Connect(address_, &client_);
  ASSERT_TRUE(RunUntil([this] { return !client_.closed.empty(); }));
  EXPECT_TRUE(server_.accepted.empty());
}

}  // namespace
}  // namespace mountflow::event_loop
