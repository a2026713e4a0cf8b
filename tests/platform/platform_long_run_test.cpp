// A long run under a controlled clock, in which requests, clients and nodes come and go all the time.
#include <malloc.h>

#include <random>

#include "tests/support/platform_fixture.hpp"

namespace mountflow::testing {
namespace {

// Guards against leaks: tables and memory must not grow with the number of past requests, clients and nodes.
TEST(PlatformLongRun, KeepsNothingOfPastRequests) {
  PlatformFixture fixture;
  std::mt19937_64 random(2026);
  std::map<std::string, std::vector<std::pair<Micros, RequestUid>>> ends;  // when tasks end, by node address
  [[maybe_unused]] std::size_t bytes_at_half = 0;  // not measured under the sanitizers
  std::size_t started = 0;
  std::size_t max_requests = 0;
  ConnId client = 1;
  std::vector<std::string> names = {"m-1", "m-2"};
  constexpr int kSteps = 20'000;
  for (int step = 0; step < kSteps; ++step) {
    fixture.AdvanceTime(40 * kMilli);
    if (step % 50 == 0) {  // a new node replaces one of the two, sometimes at an address used before
      const std::size_t which = random() % 2;
      NodeListEvent change;
      ListedNode gone;
      gone.name = names[which];
      gone.status = "gone";
      ListedNode new_node;
      new_node.name = "m-" + std::to_string(step + 10);
      new_node.status = "ready";
      new_node.zone = "left";
      new_node.kind = "big";
      new_node.address = "10.0.0." + std::to_string(random() % 4) + ":1";
      new_node.free_cores = 32;
      new_node.free_memory = 64;
      names[which] = new_node.name;
      change.nodes = {gone, new_node};
      fixture.dispatcher.ApplyNodeList(fixture.now, change);
      fixture.client_connections.DeliverNotifications(fixture.now);
    }
    if (step % 3 == 0) {
      fixture.client_connections.OnClosed(fixture.now, client);
      fixture.client_connections.Accept(fixture.now, ++client + 1'000'000'000,
                                        "10.9.0." + std::to_string(random() % 200) + ":1");
      client += 1'000'000'000;
    }
    const RequestUid uid = 0x1000000 + static_cast<RequestUid>(step) * 16;
    fixture.ClientSends(LaunchLine(uid), client);
    for (const auto& [conn, address] : std::map<ConnId, std::string>(fixture.transport.outgoing)) {
      fixture.Establish(conn);
      for (const NodeMessage& message : fixture.transport.SentToNode(conn)) {
        if (message.kind == NodeMessageKind::kHealthCheck)
          fixture.NodeSends(conn, NodeMessageBytes(NodeMessageKind::kHealthCheckReply, message.uid, 1));
        if (message.kind != NodeMessageKind::kLaunch) continue;
        fixture.NodeSends(conn, random() % 20 == 0 ? std::string("\x00\x01", 2) : StartedBytes(message.uid));
        ends[address].emplace_back(fixture.now + random() % (3 * kSec), message.uid);
        ++started;
        break;
      }
      for (const auto& [at, uid] : std::vector(ends[address])) {  // reported again on each connection
        if (at <= fixture.now && fixture.transport.outgoing.count(conn) > 0)
          fixture.NodeSends(conn, EndedBytes(uid, 16));
      }
      std::erase_if(ends[address], [&](const auto& end) {
        return end.first <= fixture.now && !fixture.dispatcher.requests().Contains(end.second);
      });
    }
    fixture.transport.closed.clear();
    fixture.transport.log.clear();
    for (auto it = fixture.transport.sent.begin(); it != fixture.transport.sent.end();) {
      it =
          fixture.transport.outgoing.count(it->first) == 0 ? fixture.transport.sent.erase(it) : std::next(it);
    }
    max_requests = std::max(max_requests, fixture.dispatcher.requests().size());
    ASSERT_LE(fixture.node_connections.node_count(), 12u) << step;
    ASSERT_LE(fixture.node_connections.connection_count(), 12u);
    ASSERT_LE(fixture.dispatcher.scheduler_timers(), 2u);
    ASSERT_LE(fixture.client_connections.connection_count(), 1u);
    ASSERT_LE(fixture.client_connections.undelivered_count(), 400u);
    static_cast<void>(fixture.dispatcher.TakeLogRecords());
#ifndef __SANITIZE_ADDRESS__
    if (step == kSteps / 2) bytes_at_half = mallinfo2().uordblks;
    if (step == kSteps - 1) {
      EXPECT_LT(mallinfo2().uordblks, bytes_at_half + (400u << 10)) << "at half: " << bytes_at_half;
    }
#endif
  }
  EXPECT_GT(started, static_cast<std::size_t>(kSteps) / 2);
  EXPECT_LT(max_requests, 1000u);
}

}  // namespace
}  // namespace mountflow::testing
