// The binary message protocol between the scheduler and the nodes, the same in both directions. Numbers are
// big-endian; sizes are in bytes. `length` counts the bytes that follow it.
//
//   message   = length:2 type:1 uid:8 parameter*
//   parameter = code:1 length:2 value
#ifndef MOUNTFLOW_PLATFORM_NODE_CODEC_HPP_
#define MOUNTFLOW_PLATFORM_NODE_CODEC_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "platform/read_buffer.hpp"
#include "platform/transport.hpp"

namespace mountflow::platform {

// The type byte of a message. The scheduler neither sends nor handles the types without a comment.
enum class NodeMessageKind : std::uint8_t {
  kLaunch = 1,  // from the scheduler: start a task
  kProgress = 6,
  kAnswer = 9,  // from a node: the task has started
  kStop = 12,   // from the scheduler: cancel or terminate; from a node: rejected, failed or ended
  kStopped = 16,
  kNote = 44,  // from a node: progress of a running task
  kMigrate = 51,
  kHealthCheck = 52,      // from the scheduler
  kHealthCheckReply = 53  // from a node: reply to a health check
};

// The code byte of a parameter. The enum is unscoped because codes that are not listed here are decoded and
// encoded unchanged.
enum NodeParameter : std::uint8_t {
  kClass = 129,             // name of the task's class
  kWait = 132,              // how long the scheduler waits for the attempt, in milliseconds
  kTaskName = 141,          // the task's key, 16 hexadecimal digits
  kStatusText = 150,        // reason for the end of an attempt, or kind of a progress note
  kReport = 156,            // load report in the form name:value;...
  kProgressValue = 165,     // the number in a progress note
  kDeduplicationKey = 168,  // deduplication key, 32 hexadecimal digits
  kCauseCode = 171,         // cause of a kStop or health check message, one byte
  kDescription = 174        // passed unchanged between client and node
};

// A decoded message.
struct NodeMessage {
  NodeMessageKind kind = NodeMessageKind::kLaunch;
  RequestUid uid = 0;
  std::map<std::uint8_t, std::string> params;  // values by code, except kCauseCode
  std::optional<std::uint8_t> cause;           // value of kCauseCode, if present
  bool operator==(const NodeMessage&) const = default;

  // Returns the value of a parameter, or an empty string if it is absent.
  const std::string& Text(std::uint8_t code) const;
};

// NodeMessageReader decodes messages from the byte stream of one connection. The result does not depend on
// how the bytes are split between calls of Feed(). The reader buffers the bytes that Next() has not consumed
// yet: less than one message once Next() has returned kMore. Not thread-safe.
class NodeMessageReader {
 public:
  enum class State {
    kMore,     // no complete message is buffered; feed more bytes
    kMessage,  // a message was decoded
    kBroken    // the stream is malformed; permanent. error() describes the expected and the received value
  };

  // Appends received bytes. Does nothing once the stream is malformed.
  void Feed(std::string_view bytes);

  // Decodes the next message into `*message`. An error is reported as soon as the received bytes reveal it,
  // even before the message is complete.
  [[nodiscard]] State Next(NodeMessage* message);

  // Reports whether bytes are buffered that Next() has not consumed.
  bool within_message() const { return !buffer_.empty(); }
  const std::string& error() const { return error_; }

 private:
  State Fail(std::string error);

  ReadBuffer buffer_;
  bool broken_ = false;
  std::string error_;
};

// Encodes a message. Returns an empty string if the result would exceed kMaxMessageBytes.
std::string EncodeNodeMessage(const NodeMessage& message);

}  // namespace mountflow::platform

#endif  // MOUNTFLOW_PLATFORM_NODE_CODEC_HPP_
