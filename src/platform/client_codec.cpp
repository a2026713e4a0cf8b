#include "platform/client_codec.hpp"

#include <array>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

namespace mountflow::platform {
namespace {

using nlohmann::json;

constexpr std::array<std::pair<const char*, ClientMessageKind>, 9> kKinds = {
    {{"launch", ClientMessageKind::kLaunch},
     {"staging", ClientMessageKind::kProgress},
     {"running", ClientMessageKind::kAnswer},
     {"stop", ClientMessageKind::kStop},
     {"stopped", ClientMessageKind::kStopped},
     {"check", ClientMessageKind::kHealthCheck},
     {"checked", ClientMessageKind::kHealthCheckReply},
     {"update", ClientMessageKind::kNote},
     {"migrate", ClientMessageKind::kMigrate}}};

const char* NameOf(ClientMessageKind kind) {
  for (const auto& [name, one] : kKinds) {
    if (one == kind) return name;
  }
  return "";
}

}  // namespace

bool ReadHex(std::string_view text, std::size_t digits, std::uint64_t* value) {
  if (text.size() != digits || digits > 16) return false;
  std::uint64_t result = 0;
  for (const char c : text) {
    const int digit = c >= '0' && c <= '9' ? c - '0' : c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
    if (digit < 0) return false;
    result = result << 4 | static_cast<std::uint64_t>(digit);
  }
  *value = result;
  return true;
}

std::string WriteHex(std::uint64_t value) {
  std::string text(16, '0');
  for (std::size_t i = 16; i-- > 0; value >>= 4) text[i] = "0123456789abcdef"[value & 15];
  return text;
}

bool IsUtf8(std::string_view text) {
  const auto byte = [&](std::size_t i) { return static_cast<unsigned char>(text[i]); };
  for (std::size_t i = 0; i < text.size();) {
    const unsigned char c = byte(i);
    const std::size_t more = c < 0x80                ? 0
                             : c >= 0xc2 && c < 0xe0 ? 1
                             : (c & 0xf0) == 0xe0    ? 2
                             : c >= 0xf0 && c < 0xf5 ? 3
                                                     : 9;
    if (more == 9 || text.size() - i <= more) return false;
    for (std::size_t j = 1; j <= more; ++j) {
      if ((byte(i + j) & 0xc0) != 0x80) return false;
    }
    if (more > 1) {  // no overlong forms, no surrogates, nothing beyond the last code point
      const unsigned char next = byte(i + 1);
      if ((c == 0xe0 && next < 0xa0) || (c == 0xed && next > 0x9f) || (c == 0xf0 && next < 0x90) ||
          (c == 0xf4 && next > 0x8f)) {
        return false;
      }
    }
    i += more + 1;
  }
  return true;
}

void ClientMessageReader::Feed(std::string_view bytes) {
  if (broken_) return;
  if (at_ > 0) {
    bytes_.erase(0, at_);
    searched_ -= at_;
    at_ = 0;
  }
  bytes_.append(bytes);
}

ClientMessageReader::State ClientMessageReader::Break(std::string why) {
  error_ = std::move(why);
  broken_ = true;
  std::string().swap(bytes_);
  at_ = searched_ = 0;
  return State::kBroken;
}

ClientMessageReader::State ClientMessageReader::Next(ClientMessage* message) {
  if (broken_) return State::kBroken;
  const std::size_t end = bytes_.find('\n', searched_);
  const std::size_t size = (end == std::string::npos ? bytes_.size() : end + 1) - at_;
  if (size > kMaxMessageBytes) return Break("a message of over 16 KiB");
  if (end == std::string::npos) {
    searched_ = bytes_.size();
    if (at_ == bytes_.size()) {  // a large buffer is given back
      if (bytes_.capacity() > kMaxMessageBytes) std::string().swap(bytes_);
      bytes_.clear();
      at_ = searched_ = 0;
    }
    return State::kMore;
  }
  const std::string_view line(bytes_.data() + at_, end - at_);
  at_ = searched_ = end + 1;
  return Read(line, message);
}

ClientMessageReader::State ClientMessageReader::Read(std::string_view line, ClientMessage* message) {
  // The parser throws nothing here; what is no JSON or no UTF-8 is discarded.
  const json read = json::parse(line.begin(), line.end(), nullptr, false);
  if (!read.is_object()) return Break("a line that is no JSON object");
  const auto uid = read.find("uid");
  std::uint64_t id = 0;
  if (uid == read.end() || !uid->is_string() || !ReadHex(uid->get_ref<const std::string&>(), 16, &id)) {
    return Break("a message without an id of 16 hex digits");
  }
  *message = {};
  message->uid = id;
  const auto unusable = [&](const char* why) {
    error_ = why;
    return State::kUnusable;
  };
  const auto kind = read.find("kind");
  if (kind == read.end() || !kind->is_string()) return unusable("kind: expected a string");
  bool known = false;
  for (const auto& [name, one] : kKinds) {
    if (kind->get_ref<const std::string&>() != name) continue;
    message->kind = one;
    known = true;
  }
  if (!known) return unusable("kind: expected a message of the protocol");
  if (const auto meta = read.find("meta"); meta != read.end()) {
    if (!meta->is_object() || meta->size() > kMaxFields)
      return unusable("meta: expected an object of fields");
    for (const auto& [name, value] : meta->items()) {
      if (value.is_string()) {
        message->fields[name] = value.get_ref<const std::string&>();
      } else if (value.is_number() && std::isfinite(value.get<double>())) {
        message->fields[name] = value.dump();
      } else {
        return unusable("meta: expected strings or numbers");
      }
    }
  }
  if (const auto reason = read.find("reason"); reason != read.end()) {
    if (!reason->is_number_integer()) return unusable("reason: expected a whole number");
    const double cause = reason->get<double>();
    if (cause < 0 || cause > 255) return unusable("reason: expected 0 to 255");
    message->cause = static_cast<int>(cause);
  }
  if (const auto body = read.find("body"); body != read.end()) {
    if (!body->is_string()) return unusable("body: expected a string");
    message->description = body->get_ref<const std::string&>();
  }
  return State::kMessage;
}

std::string EncodeClientMessage(const ClientMessage& message) {
  json line = {{"kind", NameOf(message.kind)}, {"uid", WriteHex(message.uid)}, {"meta", json::object()}};
  for (const auto& [name, value] : message.fields) line["meta"][name] = value;
  if (message.cause) line["reason"] = *message.cause;
  if (!message.description.empty()) line["body"] = message.description;
  // Whoever passes on what is no UTF-8 has checked it before; here it must not throw.
  return line.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

}  // namespace mountflow::platform
