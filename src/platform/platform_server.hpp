// mountflowd in the platform's service: joins the parts of platform/ to the loop. Listens on one address, and
// keeps nothing on disk. Log lines go to standard error, folded, and are dropped when nobody reads them.
#ifndef MOUNTFLOW_PLATFORM_PLATFORM_SERVER_HPP_
#define MOUNTFLOW_PLATFORM_PLATFORM_SERVER_HPP_

#include <cstdio>
#include <memory>
#include <set>
#include <string>

#include "event_loop/event_loop.hpp"
#include "platform/client_connections.hpp"
#include "platform/node_connections.hpp"
#include "platform/node_watch.hpp"
#include "platform/platform_config.hpp"
#include "platform/request_table.hpp"
#include "platform/transport.hpp"

namespace mountflow::daemon {

// After SIGTERM the front learns by a failing test that no more shall come; what still comes is served.
inline constexpr Micros kLeaveAfter = 800'000;
inline constexpr Micros kLeaveQuiet = 150'000;  // without a set-up or a connection
// SIGKILL comes 0.7 s after the longest deadline, which counts as this where it is longer.
inline constexpr Micros kLeaveLongest = 3'000'000;
inline constexpr Micros kLeaveMargin = 500'000;
inline constexpr Micros kLeaveFlush = 150'000;  // beyond that, for owners that are slow to take their answers

// Equal lines once a second, kLinesASecond in all; what is left out is counted. Never waits for whoever reads
// the other end.
class RateLimitedLog {
 public:
  void Write(Micros now, const std::string& line);

 private:
  void Put(const std::string& line);
  Micros second_ = 0;
  unsigned written_ = 0, left_out_ = 0;
  std::set<std::string> said_;  // in this second
};

class PlatformServer : public event_loop::ConnectionHandler, public platform::Transport {
 public:
  PlatformServer(event_loop::EventLoop* loop, const platform::PlatformConfig& config,
                 std::string config_file);
  bool Start(std::string* error);
  void Trace(std::FILE* to);  // what the module is told and does
  void Reload();
  void Leave();

  void OnAccepted(event_loop::ListenerId, event_loop::ConnId, const event_loop::PeerInfo&) override;
  void OnConnected(event_loop::ConnId) override;
  void OnReceived(event_loop::ConnId, std::string_view) override;
  void OnSent(event_loop::ConnId) override;
  void OnClosed(event_loop::ConnId, const std::string& reason) override;

  platform::ConnId Connect(const std::string& address) override;
  void Send(platform::ConnId conn, std::string_view bytes) override;
  bool AllWritten(platform::ConnId conn) const override;
  bool HungUp(platform::ConnId conn) const override;
  void Close(platform::ConnId conn, bool flush) override;
  void Log(const std::string& line) override;

 private:
  void AfterTurn();
  void OnTimer();
  void MaybeLeave(Micros now);

  event_loop::EventLoop* loop_;
  platform::PlatformConfig config_;
  std::string config_file_;
  RateLimitedLog log_;
  platform::NodeConnections links_;
  platform::Dispatcher tasks_;
  platform::ClientConnections owners_;
  platform::NodeWatch changes_;
  event_loop::ListenerId listener_ = 0;
  Micros leaving_ = 0, last_new_ = 0;
  bool looked_ = false;  // nothing was owed at the end of the turn before
};

// Reads LB_CONFIG, LB_NAME and LB_LISTEN and serves until told to leave. With `trace`, every event and action
// of the module goes to that file. The program's exit status.
int RunPlatform(const std::string& trace);

}  // namespace mountflow::daemon

#endif  // MOUNTFLOW_PLATFORM_PLATFORM_SERVER_HPP_
