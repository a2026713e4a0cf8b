// One node of a host, across its incarnations: its port, its connections and its report senders.
#ifndef MOUNTFLOW_NODE_AGENT_HOSTED_NODE_HPP_
#define MOUNTFLOW_NODE_AGENT_HOSTED_NODE_HPP_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "event_loop/event_loop.hpp"
#include "job_manager/messages.hpp"
#include "node_agent/host_options.hpp"
#include "node_agent/idempotency_key_store.hpp"
#include "node_agent/node_server.hpp"
#include "node_agent/report_sender.hpp"
#include "node_agent/task_executor.hpp"

namespace mountflow::node_agent {

// Runs the incarnations of one node on the event loop, which must outlive this object.
class HostedNode : public event_loop::ConnectionHandler {
 public:
  HostedNode(event_loop::EventLoop* loop, double memory_unit, HostedNodeConfig config,
             std::shared_ptr<IdempotencyKeyStore> keys);

  // Starts an incarnation, on the port of the previous one. Returns an error if it cannot listen there.
  [[nodiscard]] tl::expected<void, event_loop::EventLoopError> Start(bool warms_up);
  // Ends the incarnation like a crash: connections are reset, tasks and reports are lost.
  void Kill();
  // Makes the node hang or resume. A hanging node accepts connections and bytes but sends no reply. The bytes
  // received meanwhile are processed when it resumes.
  void SetHanging(bool hangs);

  // Runs the timers that are due. Does nothing while the node is down or hangs.
  void Tick();
  // Sends replies and reports, and starts and signals processes. Must be called after each turn of the loop.
  void Dispatch();
  // Returns when Tick() or Dispatch() is due; the maximum value if no timer is set.
  [[nodiscard]] Micros NextTimer() const;

  void OnAccepted(event_loop::ListenerId listener, event_loop::ConnId connection,
                  const event_loop::PeerInfo& peer) override;
  void OnReceived(event_loop::ConnId connection, std::string_view bytes) override;
  void OnClosed(event_loop::ConnId connection, const std::string& reason) override;

  [[nodiscard]] bool IsAlive() const { return server_ != nullptr; }
  [[nodiscard]] bool hangs() const { return hangs_; }
  // server() and NodeListEntry() may only be called while the node is alive.
  [[nodiscard]] NodeServer& server() { return *server_; }
  [[nodiscard]] job_manager::ListedNode NodeListEntry() const;
  [[nodiscard]] const std::string& address() const { return address_; }
  // Returns why the most recently failed incarnation failed, as shown by the control API. Empty if none
  // failed.
  [[nodiscard]] const std::string& last_failure() const { return last_failure_; }

 private:
  void SendOutput(event_loop::ConnId connection);
  void CarryOutProcessOrders();
  void SendReports();

  event_loop::EventLoop* loop_;
  const double memory_unit_;
  const HostedNodeConfig config_;
  const std::shared_ptr<IdempotencyKeyStore> keys_;
  std::string address_;
  event_loop::ListenerId listener_ = 0;
  std::set<event_loop::ConnId> connections_;
  std::unique_ptr<NodeServer> server_;                                   // null while the node is down
  std::unique_ptr<TaskExecutor> executor_;                               // null if tasks are emulated
  std::map<std::string, std::unique_ptr<ReportSender>> report_senders_;  // by daemon; use server_
  std::map<event_loop::ConnId, std::string> unread_input_;               // received while it hangs
  std::uint64_t incarnations_ = 0;
  bool hangs_ = false;
  std::string last_failure_;
};

}  // namespace mountflow::node_agent

#endif  // MOUNTFLOW_NODE_AGENT_HOSTED_NODE_HPP_
