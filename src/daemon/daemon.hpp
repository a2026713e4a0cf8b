// The daemon of mountflowd: creates its components and connects them to one event loop.
//
// The components perform no I/O: the job manager (jobs, attempts, the scheduler), the PBS server and the HTTP
// API (client requests), the node sessions (messages to nodes) and the registry clients. Classes named
// ...Connections perform the I/O for them. The daemon passes messages between the components after each turn
// of the event loop and makes no scheduling decisions itself.
#ifndef MOUNTFLOW_DAEMON_DAEMON_HPP_
#define MOUNTFLOW_DAEMON_DAEMON_HPP_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admission/admission.hpp"
#include "config/config.hpp"
#include "daemon/batch_connections.hpp"
#include "daemon/cpu_profile.hpp"
#include "daemon/daemon_error.hpp"
#include "daemon/durable_state.hpp"
#include "daemon/event_log.hpp"
#include "daemon/held_replies.hpp"
#include "daemon/http_api.hpp"
#include "daemon/http_connections.hpp"
#include "daemon/node_connections.hpp"
#include "daemon/node_list_source.hpp"
#include "daemon/registry_group.hpp"
#include "daemon/turn_committer.hpp"
#include "event_loop/event_loop.hpp"
#include "job_manager/job_manager.hpp"
#include "node_sessions/node_sessions.hpp"
#include "pbs_server/pbs_server.hpp"
#include "tls/keys.hpp"

namespace mountflow::daemon {

// Runs one daemon. Not thread-safe: may be used by the event loop's thread only; the event loop must outlive
// this object. The class has many fields because it owns one instance of each component. They are declared,
// and therefore constructed, in the order in which they depend on each other.
class Daemon {
 public:
  Daemon(event_loop::EventLoop* loop, config::DaemonConfig config, std::shared_ptr<spdlog::logger> logger);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Loads the TLS keys, opens the listening sockets and restores the stored state. If it returns an error,
  // the event loop must not be run.
  [[nodiscard]] DaemonStatus Start();
  // Begins a graceful shutdown: stops accepting jobs, waits until all queued jobs have their final answers,
  // for at most config.shutdown_timeout, and then stops the event loop.
  void Stop();
  // Reloads the TLS key files.
  void ReloadKeys() { tls_keys_.CheckNow(); }

  // The ports on which the daemon listens; 0 before Start() and for a disabled protocol.
  [[nodiscard]] int batch_port() const { return loop_->PortOf(batch_listener_); }
  [[nodiscard]] int http_port() const { return loop_->PortOf(http_listener_); }

  // Starts measuring the CPU time of the components.
  void EnableCpuProfile();
  [[nodiscard]] CpuTimes cpu_times() const;

 private:
  // ---- Start ----
  [[nodiscard]] DaemonStatus Listen();
  [[nodiscard]] DaemonStatus RestoreState();
  void LogStarted();

  // ---- The turn ----
  void AfterTurn();
  void PollTlsKeys();
  void PollGroup();
  void ExchangeUntilQuiet();
  [[nodiscard]] bool ExchangeMessages();
  [[nodiscard]] bool AdmitSubmissions();
  [[nodiscard]] bool DeliverReplies();
  void DispatchOutputs(const std::vector<job_manager::Output>& outputs);
  void Dispatch(const job_manager::Output& output);
  void SendNodeActions();
  void RearmTimer();
  void RunTimers();

  // ---- Graceful shutdown ----
  [[nodiscard]] bool IsShutdownComplete() const;
  void FinishShutdown();

  event_loop::EventLoop* loop_;
  const config::DaemonConfig config_;
  EventLog log_;
  CpuProfile cpu_profile_;
  job_manager::JobManager job_manager_;
  admission::AdmissionController admission_;

  // Registry.
  tls::Keys tls_keys_;  // for connections to the registry
  NodeListSource node_list_;
  std::optional<RegistryGroup> group_;  // set if the group configuration comes from the registry

  // Protocols.
  pbs_server::PbsServer pbs_server_;
  HttpApi http_api_;
  node_sessions::NodeSessions node_sessions_;

  // State on disk, and the replies that wait for commits.
  DurableState durable_state_;
  HeldReplies held_replies_;

  // Connections.
  NodeConnections node_connections_;
  BatchConnections batch_connections_;
  HttpConnections http_connections_;
  event_loop::ListenerId batch_listener_ = 0;
  event_loop::ListenerId http_listener_ = 0;

  TurnCommitter turn_committer_;
  std::optional<Micros> shutdown_deadline_;  // set by Stop()
};

}  // namespace mountflow::daemon

#endif  // MOUNTFLOW_DAEMON_DAEMON_HPP_
