#include "node_agent/pbs_session.hpp"

namespace mountflow::node_agent {
namespace {

constexpr std::size_t kMaxReadInput = 64 << 10;  // bytes of read requests that may stay buffered

pbs_protocol::Reply ErrorReply(const pbs_protocol::DecodeError& error) {
  const bool unknown = error.code == pbs_protocol::DecodeErrorCode::kUnknownRequestType;
  pbs_protocol::Reply reply;
  reply.code = unknown ? pbs_protocol::Code::kUnknownRequest : pbs_protocol::Code::kProtocol;
  reply.choice = pbs_protocol::Choice::kText;
  reply.text = "expected " + pbs_protocol::Describe(error);
  return reply;
}

}  // namespace

std::optional<pbs_protocol::Request> PbsSession::ReadRequest() {
  std::string_view unread = input_;
  unread.remove_prefix(read_);
  if (unread.size() < needed_bytes_) return std::nullopt;
  pbs_protocol::Request request;
  const pbs_protocol::DecodeResult result = pbs_protocol::Decode(unread, &request);
  switch (result.state) {
    case pbs_protocol::DisState::kMore:
      needed_bytes_ = result.needs;
      return std::nullopt;
    case pbs_protocol::DisState::kBad:
      AddReply(ErrorReply(result.error));
      closing_ = true;
      return std::nullopt;
    case pbs_protocol::DisState::kOk:
      break;
  }
  read_ += result.used;
  needed_bytes_ = 1;
  return request;
}

void PbsSession::DiscardReadInput() {
  if (read_ != input_.size() && read_ <= kMaxReadInput) return;
  input_.erase(0, read_);
  read_ = 0;
}

}  // namespace mountflow::node_agent
