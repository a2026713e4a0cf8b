#include "node_agent/report_sender.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace mountflow::node_agent {
namespace {

constexpr Micros kNever = std::numeric_limits<Micros>::max();
constexpr std::size_t kMaxUnacknowledged = 64;  // reports in flight on one connection
constexpr Micros kFirstBackoff = 200'000;
constexpr unsigned kMaxBackoffDoublings = 4;
constexpr Micros kReplyTimeout = 2'000'000;

}  // namespace

ReportSender::ReportSender(event_loop::EventLoop* loop, NodeServer* server, std::string daemon)
    : loop_(loop), server_(server), daemon_(std::move(daemon)) {}

ReportSender::~ReportSender() {
  if (connection_ != 0) loop_->Abort(connection_);
}

void ReportSender::Dispatch() {
  const auto& reports = server_->reports().ReportsFor(daemon_);
  if (reports.empty()) return;
  const Micros now = loop_->Now();
  if (connection_ == 0) {
    if (now >= next_attempt_at_) Connect(now);
    return;
  }
  const bool awaits_reply = !connected_ || unacknowledged_ > 0;
  if (awaits_reply && now >= reply_due_at_) return AbortConnection();
  if (!connected_) return;
  while (unacknowledged_ < reports.size() && unacknowledged_ < kMaxUnacknowledged) {
    if (unacknowledged_ == 0) reply_due_at_ = now + kReplyTimeout;
    loop_->Send(connection_, reports[unacknowledged_++].bytes);
  }
}

Micros ReportSender::NextTimer() const {
  if (server_->reports().ReportsFor(daemon_).empty()) return kNever;
  return connection_ == 0 ? next_attempt_at_ : reply_due_at_;
}

void ReportSender::Connect(Micros now) {
  connection_ = loop_->Connect(server_->reports().AddressOf(daemon_), this);
  reply_due_at_ = now + kReplyTimeout;
  unacknowledged_ = 0;
}

void ReportSender::OnConnected(event_loop::ConnId connection) {
  if (connection != connection_) return;
  connected_ = true;
  failures_ = 0;
}

void ReportSender::OnReceived(event_loop::ConnId connection, std::string_view bytes) {
  if (connection != connection_) return;
  input_.append(bytes);
  for (;;) {
    pbs_protocol::Reply reply;
    const pbs_protocol::DecodeResult parsed = pbs_protocol::Decode(input_, &reply);
    if (parsed.state == pbs_protocol::DisState::kMore) return;
    if (parsed.state == pbs_protocol::DisState::kBad || unacknowledged_ == 0) return AbortConnection();
    input_.erase(0, parsed.used);
    // Every reply acknowledges the oldest report, even a reply with an error code.
    server_->reports().Acknowledge(daemon_, 1);
    --unacknowledged_;
    reply_due_at_ = loop_->Now() + kReplyTimeout;
  }
}

void ReportSender::OnClosed(event_loop::ConnId connection, const std::string& /*reason*/) {
  if (connection == connection_) HandleConnectionLoss();
}

void ReportSender::AbortConnection() {
  if (connection_ != 0) loop_->Abort(connection_);
  HandleConnectionLoss();
}

void ReportSender::HandleConnectionLoss() {
  connection_ = 0;
  connected_ = false;
  unacknowledged_ = 0;
  input_.clear();
  next_attempt_at_ = loop_->Now() + (kFirstBackoff << std::min(failures_, kMaxBackoffDoublings));
  ++failures_;
}

}  // namespace mountflow::node_agent
