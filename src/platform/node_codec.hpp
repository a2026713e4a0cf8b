// The protocol between the scheduler and the nodes: binary messages, in both directions. Numbers are
// big-endian.
//
//   message   = length:2 type:1 uid:8 parameter*       length counts all that follows it
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

// The type byte of a message. The scheduler ignores, and never sends, those without a direction here.
enum class NodeMessageKind : std::uint8_t {
  kLaunch = 1,  // scheduler: start a task
  kProgress = 6,
  kAnswer = 9,  // node: the task has started
  kStop = 12,   // scheduler: cancel or terminate; node: rejected, failed or ended
  kStopped = 16,
  kNote = 44,  // node: progress of a running task
  kMigrate = 51,
  kHealthCheck = 52,      // scheduler: does the node answer?
  kHealthCheckReply = 53  // node: it does
};

// The code byte of a parameter. Unscoped, because codes that are not listed here are carried along.
enum NodeParameter : std::uint8_t {
  kClass = 129,       // name of the task's class
  kWait = 132,        // milliseconds for which the scheduler will wait
  kTaskName = 141,    // the task's key, 16 hex digits
  kSaid = 150,        // why an attempt ended, or what a note is about
  kReport = 156,      // load report: name:value;...
  kFigure = 165,      // the number in a note
  kIdem = 168,        // deduplication key, 32 hex digits
  kCauseCode = 171,   // one byte
  kDescription = 174  // passed through between client and node
};

struct NodeMessage {
  NodeMessageKind kind = NodeMessageKind::kLaunch;
  RequestUid uid = 0;
  std::map<std::uint8_t, std::string> params;  // by code, without kCauseCode
  std::optional<std::uint8_t> cause;
  bool operator==(const NodeMessage&) const = default;

  // The value of a parameter; empty where it is absent.
  const std::string& Text(std::uint8_t code) const;
};

// Reads messages from the bytes of one connection. How the bytes are split between calls of Feed() makes no
// difference. Holds less than one message between reads, plus what was fed and not yet taken by Next(). Not
// thread-safe.
class NodeMessageReader {
 public:
  enum class State {
    kMore,     // no whole message is left: feed more
    kMessage,  // a message was read
    kBroken    // the stream cannot be read; final. error() says what was expected and what came
  };

  // Ignored once the stream is broken.
  void Feed(std::string_view bytes);

  // Reads the next message into `*message`. A fault is reported as soon as the bytes that have come show it.
  [[nodiscard]] State Next(NodeMessage* message);

  // Whether bytes were fed that Next() has not consumed.
  bool within_message() const { return !buffer_.empty(); }
  const std::string& error() const { return error_; }

 private:
  State Break(std::string error);

  ReadBuffer buffer_;
  bool broken_ = false;
  std::string error_;
};

// Empty where the message would be longer than kMaxMessageBytes.
std::string EncodeNodeMessage(const NodeMessage& message);

}  // namespace mountflow::platform

#endif  // MOUNTFLOW_PLATFORM_NODE_CODEC_HPP_
