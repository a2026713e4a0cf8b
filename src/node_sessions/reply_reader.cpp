#include "node_sessions/reply_reader.hpp"

namespace mountflow::node_sessions {

ReadResult ReplyReader::Next(pbs_protocol::Reply* reply) {
  std::string_view rest = input_;
  rest.remove_prefix(consumed_);
  if (rest.size() < needed_) {
    DropConsumed();
    return ReadResult::kIncomplete;
  }
  const pbs_protocol::DecodeResult parsed = pbs_protocol::Decode(rest, reply);
  if (parsed.state == pbs_protocol::DisState::kMore) {
    needed_ = parsed.needs;
    DropConsumed();
    return ReadResult::kIncomplete;
  }
  needed_ = 1;
  if (parsed.state == pbs_protocol::DisState::kBad) return ReadResult::kMalformed;
  consumed_ += parsed.used;
  return ReadResult::kReply;
}

void ReplyReader::DropConsumed() {
  input_.erase(0, consumed_);
  consumed_ = 0;
}

}  // namespace mountflow::node_sessions
