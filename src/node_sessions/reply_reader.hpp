// Splits the bytes received on one connection into replies.
#ifndef MOUNTFLOW_NODE_SESSIONS_REPLY_READER_HPP_
#define MOUNTFLOW_NODE_SESSIONS_REPLY_READER_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "pbs_protocol/protocol.hpp"

namespace mountflow::node_sessions {

// The result of decoding the next reply.
enum class ReadResult : std::uint8_t {
  kReply,
  kIncomplete,  // more bytes are needed
  kMalformed,   // the bytes can never become a valid reply
};

// Buffers received bytes and decodes replies from them. An incomplete reply takes at most
// pbs_protocol::kMaxReplyBytes bytes of the buffer.
class ReplyReader {
 public:
  // Adds received bytes to the end of the buffer.
  void Append(std::string_view bytes) { input_.append(bytes); }
  // Decodes the next reply and removes it from the buffer. `*reply` is valid only if the result is
  // kReply.
  [[nodiscard]] ReadResult Next(pbs_protocol::Reply* reply);

 private:
  void DropConsumed();

  std::string input_;
  std::size_t consumed_ = 0;  // number of leading bytes of input_ that are decoded
  std::size_t needed_ = 1;    // fewest undecoded bytes with which decoding can make progress
};

}  // namespace mountflow::node_sessions

#endif  // MOUNTFLOW_NODE_SESSIONS_REPLY_READER_HPP_
