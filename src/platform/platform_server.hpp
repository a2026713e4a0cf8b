// The platform mode of mountflowd. It connects the classes of platform/ to the event loop, listens on one
// address and stores nothing on disk.
#ifndef MOUNTFLOW_PLATFORM_PLATFORM_SERVER_HPP_
#define MOUNTFLOW_PLATFORM_PLATFORM_SERVER_HPP_

#include <spdlog/logger.h>

#include <cstdio>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "event_loop/event_loop.hpp"
#include "platform/client_connections.hpp"
#include "platform/dispatcher.hpp"
#include "platform/graceful_shutdown.hpp"
#include "platform/node_connections.hpp"
#include "platform/node_watch.hpp"
#include "platform/platform_config.hpp"
#include "platform/transport.hpp"

namespace mountflow::daemon {

// PlatformServer runs the platform's protocols on an event loop. It must be used only by the thread that runs
// the loop.
class PlatformServer : public event_loop::ConnectionHandler, public platform::Transport {
 public:
  // `loop` must outlive the server.
  PlatformServer(event_loop::EventLoop* loop, const platform::PlatformConfig& config,
                 std::string config_file);

  // Starts to listen for clients and to watch the node list. Returns an error if the address cannot be used.
  [[nodiscard]] tl::expected<void, event_loop::EventLoopError> Start();
  // Writes the traced events and actions of the scheduler to `file`, which must outlive the server.
  void TraceTo(std::FILE* file);
  // Reads the configuration file again and switches to the change log address in it. If the file cannot be
  // used, the error is logged and nothing changes.
  void Reload();
  // Begins the graceful shutdown; the loop stops when it is complete. Further calls have no effect.
  void Shutdown();

  void OnAccepted(event_loop::ListenerId listener, event_loop::ConnId conn,
                  const event_loop::PeerInfo& peer) override;
  void OnConnected(event_loop::ConnId conn) override;
  void OnReceived(event_loop::ConnId conn, std::string_view bytes) override;
  void OnSent(event_loop::ConnId conn) override;
  void OnClosed(event_loop::ConnId conn, const std::string& reason) override;

  platform::ConnId Connect(const std::string& address) override;
  void Send(platform::ConnId conn, std::string_view bytes) override;
  bool AllWritten(platform::ConnId conn) const override;
  bool HungUp(platform::ConnId conn) const override;
  void Close(platform::ConnId conn, bool flush) override;
  void Log(const logging::LogRecord& record) override;

 private:
  void ConfigureLoop();
  void OnTimer();
  void OnTurnEnded();
  void ApplyNodeListEvents(Micros now);
  void ProcessClientBacklog(Micros now);
  void ContinueShutdown(Micros now);
  void SetNextTimer(Micros now);

  event_loop::EventLoop* loop_;
  platform::PlatformConfig config_;
  std::string config_file_;
  spdlog::logger log_;
  platform::NodeConnections node_connections_;
  platform::Dispatcher dispatcher_;
  platform::ClientConnections client_connections_;
  platform::NodeWatch node_watch_;
  platform::GracefulShutdown shutdown_;
  event_loop::ListenerId listener_ = 0;
  Micros last_accepted_at_ = 0;
};

// Reads the environment variables LB_CONFIG, LB_NAME and LB_LISTEN and serves until SIGTERM or SIGINT. If
// `trace_file` is not empty, the traced events and actions of the scheduler are written to that file. Returns
// the exit status of the program.
int RunPlatform(const std::string& trace_file);

}  // namespace mountflow::daemon

#endif  // MOUNTFLOW_PLATFORM_PLATFORM_SERVER_HPP_
