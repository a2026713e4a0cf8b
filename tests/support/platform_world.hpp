// A simulation of several schedulers, nodes, a node list and clients with one virtual clock and random faults
// from a seed. Equal seeds give equal runs. The recorded digest of platform_search_test depends on the order
// in which random numbers are drawn.
#ifndef MOUNTFLOW_TESTS_SUPPORT_PLATFORM_WORLD_HPP_
#define MOUNTFLOW_TESTS_SUPPORT_PLATFORM_WORLD_HPP_

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/support/platform_world_state.hpp"

namespace mountflow::testing {

// PlatformWorld runs the platform's classes in the simulation.
class PlatformWorld : public PlatformWorldState {
 public:
  PlatformWorld(std::uint64_t seed, unsigned scheduler_count) : PlatformWorldState(seed, scheduler_count) {
    for (unsigned i = 0; i < 2 * scheduler_count + 4; ++i) {
      AddNode("10.0." + std::to_string(i) + ".1:1", i / 2, 0);
    }
    for (unsigned i = 0; i < scheduler_count; ++i) {
      schedulers_.push_back(std::make_unique<SchedulerProcess>());
      StartScheduler(i);
    }
  }

  // Runs the simulation. Clients send requests and faults are injected for `length` microseconds. Then the
  // simulation continues for 12 s, so that all pending messages arrive.
  void Run(Micros length) {
    const Micros end = now_ + length;
    for (unsigned i = 0; i < schedulers_.size(); ++i) {
      At(now_ + Draw(50), [this, i, end] { LaunchRequests(i, end); });
    }
    for (Micros at = now_ + kSec; at < end; at += (300 + Draw(900)) * kMilli)
      At(at, [this] { InjectFault(); });
    RunQueue(end + 12 * kSec);
  }

 private:
  // ---- The node list ----

  void AddNode(const std::string& address, unsigned rack, Micros started_at);
  // Publishes a node's state in the node list. Each scheduler reads it up to 1.5 s later, in order.
  void ListNode(std::size_t node_index);

  // ---- Schedulers ----

  void StartScheduler(unsigned index);
  void KillScheduler(unsigned index);
  // Handles the effects of a call into a scheduler: the connections that it closed and opened, the bytes that
  // it sent, and its next timer. Must be called after each such call.
  void AfterCall(unsigned index);
  void DeliverBytes(unsigned index, ConnId conn, const std::string& bytes);
  void SetTimer(unsigned index);

  // ---- Nodes ----

  void OpenConnection(unsigned index, unsigned incarnation, ConnId conn);
  void NodeReads(unsigned index, unsigned incarnation, ConnId conn, const std::string& bytes);
  void HandleNodeMessage(unsigned index, ConnId conn, NodeConnection& connection, const NodeMessage& message,
                         Micros reads_at);
  // Answers an attempt. `roll` is a random number below 100 that selects the answer.
  void AnswerAttempt(unsigned index, ConnId conn, RequestUid uid, Micros roll);
  void EndTaskByItself(RequestUid uid, std::size_t node);
  void NodeSends(unsigned index, ConnId conn, const std::string& bytes);
  // Records the ends of tasks in `bytes`, which a scheduler did not read, so that the node reports them
  // again.
  void QueueUnreadEnds(unsigned index, std::size_t node, const std::string& bytes);
  void ReportEndsAgain(unsigned index, ConnId conn);
  void ResetConnection(unsigned index, ConnId conn);
  void ResetConnectionsOf(std::size_t node);

  // ---- Clients ----

  void ConnectClient(unsigned index);
  void LaunchRequests(unsigned index, Micros end);
  void CancelRequest(unsigned index, unsigned incarnation, ConnId conn, RequestUid uid);
  // Closes a client's connection. The scheduler reads the close `read_delay` after it has arrived.
  void CloseClient(unsigned index, ConnId conn, Micros read_delay);
  // Delivers bytes to a client. `knew_closed` is true if the client's close had arrived at the scheduler when
  // it sent the bytes.
  void ClientReads(unsigned index, unsigned incarnation, ConnId conn, const std::string& bytes,
                   bool knew_closed);
  void HandleClientMessage(SchedulerProcess& scheduler, ClientRequest& request, const ClientMessage& message);

  // ---- Faults ----

  void InjectFault();
  // Ends a node's process and starts a new node, which is warming up, at the same address. The node list
  // reports both later.
  void ReplaceNode(std::size_t node_index);
};

}  // namespace mountflow::testing

#endif  // MOUNTFLOW_TESTS_SUPPORT_PLATFORM_WORLD_HPP_
