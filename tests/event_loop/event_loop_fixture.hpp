// Fixture for tests of the event loop over loopback sockets. Each step waits for the event that it needs; the
// time limit is reached only by a failing test.
#ifndef MOUNTFLOW_TESTS_EVENT_LOOP_EVENT_LOOP_FIXTURE_HPP_
#define MOUNTFLOW_TESTS_EVENT_LOOP_EVENT_LOOP_FIXTURE_HPP_

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "event_loop/event_loop.hpp"

namespace mountflow::event_loop {

inline constexpr Micros kTestLimit = 30'000'000;
inline constexpr Micros kTick = 1'000;
inline constexpr std::size_t kMoreThanKernelTakes = 16 << 20;

// Records the events of its connections.
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
  // Runs the loop until `condition` holds after a turn; there is at least one turn per millisecond. Returns
  // false if it does not hold within the time limit.
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
  // Runs some turns, to serve the events that are pending.
  void RunSomeTurns() {
    int turns = 0;
    ASSERT_TRUE(RunUntil([&turns] { return ++turns > 5; }));
  }
  // Opens a listener on a free loopback port.
  void Listen(FilterFactory filters = {}) {
    const auto listener = loop_.Listen("127.0.0.1:0", &server_, std::move(filters));
    ASSERT_TRUE(listener.has_value()) << Describe(listener.error());
    listener_ = *listener;
    address_ = "127.0.0.1:" + std::to_string(loop_.PortOf(listener_));
  }
  // Opens a listener and establishes a connection to it.
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

}  // namespace mountflow::event_loop

#endif  // MOUNTFLOW_TESTS_EVENT_LOOP_EVENT_LOOP_FIXTURE_HPP_
