// Cuts the bytes of one connection into replies.
#ifndef MOUNTFLOW_NODE_SESSIONS_REPLY_READER_HPP_
#define MOUNTFLOW_NODE_SESSIONS_REPLY_READER_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "pbs_protocol/protocol.hpp"

namespace mountflow::node_sessions {

enum class ReadResult : std::uint8_t {
  kReply,
  kIncomplete,  // more bytes are needed
  kMalformed,   // no further byte can make it valid
};

// Holds at most one incomplete reply, of at most pbs_protocol::kMaxReplyBytes bytes, and what came behind it.
class ReplyReader {
 public:
  void Append(std::string_view bytes) { input_.append(bytes); }
  // Takes the next reply from the front.
  [[nodiscard]] ReadResult Next(pbs_protocol::Reply* reply);

 private:
  void DropConsumed();

  std::string input_;
  std::size_t consumed_ = 0;  // the first bytes of input_ that were replies
  std::size_t needed_ = 1;    // bytes behind them with which decoding is worth trying
};

}  // namespace mountflow::node_sessions

#endif  // MOUNTFLOW_NODE_SESSIONS_REPLY_READER_HPP_
