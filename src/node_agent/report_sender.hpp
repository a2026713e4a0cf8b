// Sends a node's end reports to one daemon over a dedicated connection.
#ifndef MOUNTFLOW_NODE_AGENT_REPORT_SENDER_HPP_
#define MOUNTFLOW_NODE_AGENT_REPORT_SENDER_HPP_

#include <string>
#include <string_view>

#include "event_loop/event_loop.hpp"
#include "node_agent/node_server.hpp"

namespace mountflow::node_agent {

// Reports that are unacknowledged when the connection is lost are sent again over the next connection. The
// loop and the server must outlive this object.
class ReportSender : public event_loop::ConnectionHandler {
 public:
  ReportSender(event_loop::EventLoop* loop, NodeServer* server, std::string daemon);
  ReportSender(const ReportSender&) = delete;
  ReportSender& operator=(const ReportSender&) = delete;
  ~ReportSender() override;

  // Connects if necessary, sends pending reports up to the limit of unacknowledged reports, and aborts the
  // connection if it is not established, or a reply does not arrive, in time.
  void Dispatch();
  // Returns when Dispatch() is due; the maximum value if no report is pending.
  [[nodiscard]] Micros NextTimer() const;

  void OnConnected(event_loop::ConnId connection) override;
  void OnReceived(event_loop::ConnId connection, std::string_view bytes) override;
  void OnClosed(event_loop::ConnId connection, const std::string& reason) override;

 private:
  void Connect(Micros now);
  void AbortConnection();
  void HandleConnectionLoss();

  event_loop::EventLoop* loop_;
  NodeServer* server_;
  std::string daemon_;
  event_loop::ConnId connection_ = 0;  // 0: not connected
  bool connected_ = false;
  std::size_t unacknowledged_ = 0;  // reports sent over this connection
  unsigned failures_ = 0;           // consecutive
  Micros next_attempt_at_ = 0;
  Micros reply_due_at_ = 0;  // while connecting: deadline of the connection
  std::string input_;
};

}  // namespace mountflow::node_agent

#endif  // MOUNTFLOW_NODE_AGENT_REPORT_SENDER_HPP_
