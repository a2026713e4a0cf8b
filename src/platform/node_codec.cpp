#include "platform/node_codec.hpp"

#include <cstddef>
#include <tl/expected.hpp>
#include <utility>

namespace mountflow::platform {
namespace {

constexpr std::size_t kLengthBytes = 2;
constexpr std::size_t kTypeBytes = 1;
constexpr std::size_t kUidBytes = 8;
constexpr std::size_t kHeaderBytes = kLengthBytes + kTypeBytes + kUidBytes;
constexpr std::size_t kParameterHeaderBytes = 1 + kLengthBytes;
constexpr std::size_t kCauseBytes = 1;
constexpr int kBitsPerByte = 8;

// The error text names the expected and the received value.
using ReadResult = tl::expected<void, std::string>;

tl::unexpected<std::string> Expected(const std::string& expected, std::size_t got) {
  return tl::unexpected<std::string>(expected + ", got " + std::to_string(got));
}

bool IsKnownKind(std::uint8_t type) {
  switch (static_cast<NodeMessageKind>(type)) {
    case NodeMessageKind::kLaunch:
    case NodeMessageKind::kProgress:
    case NodeMessageKind::kAnswer:
    case NodeMessageKind::kStop:
    case NodeMessageKind::kStopped:
    case NodeMessageKind::kNote:
    case NodeMessageKind::kMigrate:
    case NodeMessageKind::kHealthCheck:
    case NodeMessageKind::kHealthCheckReply:
      return true;
  }
  return false;
}

// Reads the first `size` bytes of `bytes` as one big-endian number.
std::uint64_t ReadNumber(std::string_view bytes, std::size_t size) {
  std::uint64_t value = 0;
  for (const char byte : bytes.substr(0, size))
    value = value << kBitsPerByte | static_cast<std::uint8_t>(byte);
  return value;
}

void AppendNumber(std::uint64_t value, std::size_t size, std::string* bytes) {
  for (std::size_t i = size; i-- > 0;) {
    bytes->push_back(static_cast<char>(value >> (kBitsPerByte * i) & 0xff));
  }
}

void AppendParameter(std::uint8_t code, std::string_view value, std::string* bytes) {
  bytes->push_back(static_cast<char>(code));
  AppendNumber(value.size(), kLengthBytes, bytes);
  bytes->append(value);
}

// Returns the size of the first message in `unread` in bytes, including its length field, or 0 if the length
// field is incomplete.
std::size_t MessageSize(std::string_view unread) {
  return unread.size() < kLengthBytes ? 0 : kLengthBytes + ReadNumber(unread, kLengthBytes);
}

// Checks the part of a message's header that has been received.
ReadResult CheckHeader(std::string_view unread) {
  if (unread.size() < kLengthBytes) return {};
  const std::size_t size = MessageSize(unread);
  if (size < kHeaderBytes || size > kMaxMessageBytes) {
    return Expected("message: expected " + std::to_string(kHeaderBytes) + " to " +
                        std::to_string(kMaxMessageBytes) + " bytes",
                    size);
  }
  if (unread.size() < kLengthBytes + kTypeBytes) return {};
  const auto type = static_cast<std::uint8_t>(unread[kLengthBytes]);
  if (!IsKnownKind(type)) return Expected("message type: expected one of the protocol", type);
  return {};
}

ReadResult AddParameter(std::uint8_t code, std::string_view value, NodeMessage* message) {
  const std::string name = "parameter " + std::to_string(code);
  if (code == kCauseCode) {
    if (value.size() != kCauseBytes) return Expected(name + ": expected one byte", value.size());
    if (message->cause) return tl::unexpected<std::string>(name + ": expected once, got again");
    message->cause = static_cast<std::uint8_t>(value[0]);
  } else if (!message->params.emplace(code, value).second) {
    return tl::unexpected<std::string>(name + ": expected once, got again");
  }
  return {};
}

ReadResult ReadParameters(std::string_view bytes, NodeMessage* message) {
  while (!bytes.empty()) {
    if (bytes.size() < kParameterHeaderBytes) {
      return Expected("parameter: expected a header of " + std::to_string(kParameterHeaderBytes) + " bytes",
                      bytes.size());
    }
    const auto code = static_cast<std::uint8_t>(bytes[0]);
    const std::size_t size = ReadNumber(bytes.substr(1), kLengthBytes);
    bytes.remove_prefix(kParameterHeaderBytes);
    if (size > bytes.size()) {
      return Expected("parameter " + std::to_string(code) + ": expected " + std::to_string(size) + " bytes",
                      bytes.size());
    }
    ReadResult added = AddParameter(code, bytes.substr(0, size), message);
    if (!added) return added;
    bytes.remove_prefix(size);
  }
  return {};
}

}  // namespace

const std::string& NodeMessage::Text(std::uint8_t code) const {
  static const std::string kAbsent;
  const auto it = params.find(code);
  return it == params.end() ? kAbsent : it->second;
}

void NodeMessageReader::Feed(std::string_view bytes) {
  if (!broken_) buffer_.Append(bytes);
}

NodeMessageReader::State NodeMessageReader::Fail(std::string error) {
  error_ = std::move(error);
  broken_ = true;
  buffer_.Clear();
  return State::kBroken;
}

NodeMessageReader::State NodeMessageReader::Next(NodeMessage* message) {
  if (broken_) return State::kBroken;
  const std::string_view unread = buffer_.unread();
  // Check the header before the message is complete: the remaining bytes of a malformed message may never
  // arrive.
  if (const ReadResult header = CheckHeader(unread); !header) return Fail(header.error());
  const std::size_t size = MessageSize(unread);
  if (size == 0 || unread.size() < size) {
    buffer_.ReleaseIfEmpty();
    return State::kMore;
  }
  *message = {};
  message->kind = static_cast<NodeMessageKind>(unread[kLengthBytes]);
  message->uid = ReadNumber(unread.substr(kLengthBytes + kTypeBytes), kUidBytes);
  const std::string_view parameters = unread.substr(kHeaderBytes, size - kHeaderBytes);
  if (const ReadResult read = ReadParameters(parameters, message); !read) return Fail(read.error());
  buffer_.Consume(size);
  return State::kMessage;
}

std::string EncodeNodeMessage(const NodeMessage& message) {
  std::string body(1, static_cast<char>(message.kind));
  AppendNumber(message.uid, kUidBytes, &body);
  for (const auto& [code, value] : message.params) {
    if (value.size() > kMaxMessageBytes) return {};
    AppendParameter(code, value, &body);
  }
  if (message.cause) AppendParameter(kCauseCode, std::string(1, static_cast<char>(*message.cause)), &body);
  if (kLengthBytes + body.size() > kMaxMessageBytes) return {};
  std::string bytes;
  AppendNumber(body.size(), kLengthBytes, &bytes);
  return bytes + body;
}

}  // namespace mountflow::platform
