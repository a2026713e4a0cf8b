// The protocol between the scheduler and its clients: one JSON object per line, in both directions.
//
//   {"kind":"launch","uid":"9b1f03aa5c7e2d41","meta":{"class":"batch",...},"reason":16,"body":"..."}
//
// `kind` and `uid` are required; `meta` holds strings or numbers, `reason` is a cause code, `body` is the
// description. Other members are ignored.
#ifndef MOUNTFLOW_PLATFORM_CLIENT_CODEC_HPP_
#define MOUNTFLOW_PLATFORM_CLIENT_CODEC_HPP_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "platform/read_buffer.hpp"
#include "platform/text_encoding.hpp"
#include "platform/transport.hpp"

namespace mountflow::platform {

// Maximum number of members in the `meta` of one message.
inline constexpr std::size_t kMaxFields = 32;

// The `kind` of a message. The comments name the sender and what it means. The scheduler ignores kinds
// without a comment and never sends them.
enum class ClientMessageKind {
  kLaunch,  // client: start a task
  kProgress,
  kAnswer,  // scheduler: the task has started
  kStop,    // client: cancel the request or terminate the task; scheduler: rejected, failed or ended
  kStopped,
  kHealthCheck,       // client: is the scheduler ready?
  kHealthCheckReply,  // scheduler: the reply, as a cause code
  kNote,
  kMigrate  // scheduler: the task is being terminated, and the client must request it again
};

// A message in either direction.
struct ClientMessage {
  ClientMessageKind kind = ClientMessageKind::kLaunch;
  RequestUid uid = 0;
  std::map<std::string, std::string> fields;  // the members of `meta`; numbers as their JSON text
  std::optional<int> cause;                   // 0 to 255
  std::string description;                    // UTF-8; empty: absent
  bool operator==(const ClientMessage&) const = default;
};

// Parses messages from the byte stream of one connection. The stream may be split between calls of Feed() at
// any byte. Buffers less than one message between reads, plus fed bytes that Next() has not consumed. Not
// thread-safe.
class ClientMessageReader {
 public:
  enum class State {
    kMore,      // no complete message is buffered: feed more bytes
    kMessage,   // a message was read
    kUnusable,  // a message violates the protocol, but its uid was read; the next one may be valid
    kBroken     // the stream cannot be parsed; the reader stays in this state
  };

  // Appends received bytes. They are ignored once the stream is broken.
  void Feed(std::string_view bytes);

  // Parses the next message into `*message`. After kUnusable only its uid is meaningful. After kUnusable and
  // kBroken error() describes what was expected and what was found.
  [[nodiscard]] State Next(ClientMessage* message);

  // Reports whether there are fed bytes that Next() has not consumed.
  bool within_message() const { return !buffer_.empty(); }
  const std::string& error() const { return error_; }

 private:
  State ReadLine(std::string_view line, ClientMessage* message);
  // Puts the reader into the final state kBroken.
  State Break(std::string error);

  ReadBuffer buffer_;
  std::size_t searched_ = 0;  // length of the unread prefix that is known to have no line feed
  bool broken_ = false;
  std::string error_;
};

// Encodes a message as one line, with its line feed. Bytes that are not valid UTF-8 (see IsUtf8()) become
// replacement characters.
std::string EncodeClientMessage(const ClientMessage& message);

}  // namespace mountflow::platform

#endif  // MOUNTFLOW_PLATFORM_CLIENT_CODEC_HPP_
