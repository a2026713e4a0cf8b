// The owners' wire: JSON lines, both ways. Sans-I/O and incremental: any split of the bytes reads the same.
//
// Bounds: a line of kMostMessage bytes with its line feed; kMostFields fields of a set-up. What is kept
// between reads is less than one line, plus what was fed and not yet taken by Next().
// Bad input is a value: a line whose id can be read is kUnusable, any other ends the stream as kBroken.
#ifndef MOUNTFLOW_PLATFORM_CLIENT_CODEC_HPP_
#define MOUNTFLOW_PLATFORM_CLIENT_CODEC_HPP_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "platform/transport.hpp"

namespace mountflow::platform {

inline constexpr std::size_t kMaxFields = 32;

enum class ClientMessageKind {
  kLaunch,
  kProgress,
  kAnswer,
  kStop,
  kStopped,
  kHealthCheck,
  kHealthCheckReply,
  kNote,
  kMigrate
};

struct ClientMessage {
  ClientMessageKind kind = ClientMessageKind::kLaunch;
  RequestUid uid = 0;
  std::map<std::string, std::string> fields;  // numbers as their text
  std::optional<int> cause;                   // 0 to 255
  std::string description;                    // UTF-8, byte for byte as its JSON string says
  bool operator==(const ClientMessage&) const = default;
};

class ClientMessageReader {
 public:
  enum class State { kMore, kMessage, kUnusable, kBroken };

  void Feed(std::string_view bytes);
  // kMessage: `message` is whole. kUnusable: only its uid is; error() says why. kBroken: nothing more can be
  // read, ever.
  State Next(ClientMessage* message);
  bool within_message() const { return at_ < bytes_.size(); }  // bytes are there that Next() has not taken
  const std::string& error() const { return error_; }

 private:
  State Read(std::string_view line, ClientMessage* message);
  State Break(std::string why);

  std::string bytes_;
  std::size_t at_ = 0, searched_ = 0;
  bool broken_ = false;
  std::string error_;
};

// One line. The description must be valid UTF-8: see IsUtf8.
std::string EncodeClientMessage(const ClientMessage& message);
bool IsUtf8(std::string_view text);
// 1 to 16 lower-case hex digits, exactly `digits` of them.
bool ReadHex(std::string_view text, std::size_t digits, std::uint64_t* value);
std::string WriteHex(std::uint64_t value);  // 16 digits

}  // namespace mountflow::platform

#endif  // MOUNTFLOW_PLATFORM_CLIENT_CODEC_HPP_
