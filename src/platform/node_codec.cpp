#include "platform/node_codec.hpp"

#include <utility>

namespace mountflow::platform {
namespace {

constexpr std::size_t kHead = 2 + 1 + 8;

bool Known(std::uint8_t type) {
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

void Put16(std::size_t value, std::string* to) {
  to->push_back(static_cast<char>(value >> 8));
  to->push_back(static_cast<char>(value & 255));
}

}  // namespace

const std::string& NodeMessage::Text(std::uint8_t code) const {
  static const std::string none;
  const auto it = params.find(code);
  return it == params.end() ? none : it->second;
}

void NodeMessageReader::Feed(std::string_view bytes) {
  if (broken_) return;
  if (at_ > 0) {
    bytes_.erase(0, at_);
    at_ = 0;
  }
  bytes_.append(bytes);
}

NodeMessageReader::State NodeMessageReader::Break(const char* why) {
  error_ = why;
  broken_ = true;
  std::string().swap(bytes_);
  at_ = 0;
  return State::kBroken;
}

NodeMessageReader::State NodeMessageReader::Next(NodeMessage* message) {
  if (broken_) return State::kBroken;
  const auto byte = [&](std::size_t i) { return static_cast<std::uint8_t>(bytes_[at_ + i]); };
  const std::size_t there = bytes_.size() - at_;
  // What is wrong is told as soon as the bytes that are there show it: more may never come.
  const std::size_t size = there >= 2 ? 2 + (static_cast<std::size_t>(byte(0)) << 8 | byte(1)) : 0;
  if (there >= 2 && (size < kHead || size > kMaxMessageBytes)) return Break("a length that cannot be");
  if (there >= 3 && !Known(byte(2))) return Break("an unknown type of message");
  if (there < 2 || there < size) {
    if (there == 0 && at_ > 0) {  // a large buffer is given back
      if (bytes_.capacity() > kMaxMessageBytes) std::string().swap(bytes_);
      bytes_.clear();
      at_ = 0;
    }
    return State::kMore;
  }
  *message = {};
  message->kind = static_cast<NodeMessageKind>(byte(2));
  for (std::size_t i = 3; i < kHead; ++i) message->uid = message->uid << 8 | byte(i);
  for (std::size_t at = kHead; at < size;) {
    if (size - at < 3) return Break("a parameter that is cut off");
    const std::uint8_t code = byte(at);
    const std::size_t length = static_cast<std::size_t>(byte(at + 1)) << 8 | byte(at + 2);
    at += 3;
    if (length > size - at) return Break("a parameter longer than its message");
    if (code == kCauseCode) {
      if (length != 1 || message->cause) return Break("a cause that is not one byte");
      message->cause = byte(at);
    } else if (!message->params.emplace(code, bytes_.substr(at_ + at, length)).second) {
      return Break("a parameter given twice");
    }
    at += length;
  }
  at_ += size;
  return State::kMessage;
}

std::string EncodeNodeMessage(const NodeMessage& message) {
  std::string rest(1, static_cast<char>(message.kind));
  for (int shift = 56; shift >= 0; shift -= 8) rest.push_back(static_cast<char>(message.uid >> shift & 255));
  const auto put = [&](std::uint8_t code, std::string_view value) {
    rest.push_back(static_cast<char>(code));
    Put16(value.size(), &rest);
    rest.append(value);
  };
  for (const auto& [code, value] : message.params) {
    if (value.size() > kMaxMessageBytes) return {};
    put(code, value);
  }
  if (message.cause) put(kCauseCode, std::string(1, static_cast<char>(*message.cause)));
  if (rest.size() + 2 > kMaxMessageBytes) return {};
  std::string bytes;
  Put16(rest.size(), &bytes);
  return bytes + rest;
}

}  // namespace mountflow::platform
