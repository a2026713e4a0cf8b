#include "platform/client_codec.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <nlohmann/json.hpp>
#include <tl/expected.hpp>
#include <utility>

namespace mountflow::platform {
namespace {

using nlohmann::json;

constexpr int kMaxCause = 255;

struct NamedKind {
  const char* name;
  ClientMessageKind kind;
};
constexpr std::array<NamedKind, 9> kKinds = {{{"launch", ClientMessageKind::kLaunch},
                                              {"staging", ClientMessageKind::kProgress},
                                              {"running", ClientMessageKind::kAnswer},
                                              {"stop", ClientMessageKind::kStop},
                                              {"stopped", ClientMessageKind::kStopped},
                                              {"check", ClientMessageKind::kHealthCheck},
                                              {"checked", ClientMessageKind::kHealthCheckReply},
                                              {"update", ClientMessageKind::kNote},
                                              {"migrate", ClientMessageKind::kMigrate}}};

const char* NameOf(ClientMessageKind kind) {
  const auto* const it =
      std::find_if(kKinds.begin(), kKinds.end(), [&](const NamedKind& named) { return named.kind == kind; });
  return it == kKinds.end() ? "" : it->name;
}

// Success, or the description of how a member of a message violates the protocol.
using MemberResult = tl::expected<void, std::string>;

tl::unexpected<std::string> Expected(const std::string& expected, const std::string& got) {
  return tl::unexpected<std::string>(expected + ", got " + got);
}

MemberResult ReadKind(const json& object, ClientMessage* message) {
  const auto kind = object.find("kind");
  if (kind == object.end()) return Expected("kind: expected a string", "nothing");
  if (!kind->is_string()) return Expected("kind: expected a string", kind->type_name());
  const auto& name = kind->get_ref<const std::string&>();
  const auto* const it =
      std::find_if(kKinds.begin(), kKinds.end(), [&](const NamedKind& named) { return name == named.name; });
  if (it == kKinds.end()) return Expected("kind: expected a message of the protocol", Quote(name));
  message->kind = it->kind;
  return {};
}

MemberResult ReadFields(const json& object, ClientMessage* message) {
  const auto meta = object.find("meta");
  if (meta == object.end()) return {};
  if (!meta->is_object()) return Expected("meta: expected an object", meta->type_name());
  if (meta->size() > kMaxFields) {
    return Expected("meta: expected at most " + std::to_string(kMaxFields) + " fields",
                    std::to_string(meta->size()));
  }
  for (const auto& [name, value] : meta->items()) {
    if (value.is_string()) {
      message->fields[name] = value.get_ref<const std::string&>();
    } else if (value.is_number() && std::isfinite(value.get<double>())) {
      message->fields[name] = value.dump();
    } else {
      return Expected("meta: " + Quote(name) + ": expected a string or a finite number", value.type_name());
    }
  }
  return {};
}

MemberResult ReadCause(const json& object, ClientMessage* message) {
  const auto reason = object.find("reason");
  if (reason == object.end()) return {};
  if (!reason->is_number_integer()) return Expected("reason: expected a whole number", reason->type_name());
  const auto cause = reason->get<double>();
  if (cause < 0 || cause > kMaxCause) return Expected("reason: expected 0 to 255", reason->dump());
  message->cause = static_cast<int>(cause);
  return {};
}

MemberResult ReadDescription(const json& object, ClientMessage* message) {
  const auto body = object.find("body");
  if (body == object.end()) return {};
  if (!body->is_string()) return Expected("body: expected a string", body->type_name());
  message->description = body->get_ref<const std::string&>();
  return {};
}

}  // namespace

void ClientMessageReader::Feed(std::string_view bytes) {
  if (!broken_) buffer_.Append(bytes);
}

ClientMessageReader::State ClientMessageReader::Break(std::string error) {
  error_ = std::move(error);
  broken_ = true;
  buffer_.Clear();
  return State::kBroken;
}

ClientMessageReader::State ClientMessageReader::Next(ClientMessage* message) {
  if (broken_) return State::kBroken;
  const std::string_view unread = buffer_.unread();
  const std::size_t end = unread.find('\n', searched_);
  const bool whole = end != std::string_view::npos;
  const std::size_t size = whole ? end + 1 : unread.size();
  if (size > kMaxMessageBytes) {
    return Break("line: expected at most " + std::to_string(kMaxMessageBytes) + " bytes, got " +
                 std::to_string(size) + (whole ? "" : " without a line feed"));
  }
  if (!whole) {
    searched_ = size;
    buffer_.ReleaseIfEmpty();
    return State::kMore;
  }
  buffer_.Consume(size);
  searched_ = 0;
  return ReadLine(unread.substr(0, end), message);
}

ClientMessageReader::State ClientMessageReader::ReadLine(std::string_view line, ClientMessage* message) {
  // Does not throw: input that is not JSON or not UTF-8 gives a discarded value, which is no object.
  const json object = json::parse(line.begin(), line.end(), nullptr, false);
  if (!object.is_object()) return Break("line: expected a JSON object, got " + Quote(line));
  const auto uid_member = object.find("uid");
  std::uint64_t uid = 0;
  if (uid_member == object.end() || !uid_member->is_string() ||
      !ReadHex(uid_member->get_ref<const std::string&>(), kHexDigits, &uid)) {
    return Break("uid: expected 16 hex digits, got " +
                 (uid_member == object.end() ? "nothing" : Quote(uid_member->dump())));
  }
  *message = {};
  message->uid = uid;
  const MemberResult result = ReadKind(object, message)
                                  .and_then([&] { return ReadFields(object, message); })
                                  .and_then([&] { return ReadCause(object, message); })
                                  .and_then([&] { return ReadDescription(object, message); });
  if (result) return State::kMessage;
  error_ = result.error();
  return State::kUnusable;
}

std::string EncodeClientMessage(const ClientMessage& message) {
  json line = {{"kind", NameOf(message.kind)}, {"uid", WriteHex(message.uid)}, {"meta", json::object()}};
  for (const auto& [name, value] : message.fields) line["meta"][name] = value;
  if (message.cause) line["reason"] = *message.cause;
  if (!message.description.empty()) line["body"] = message.description;
  // Callers check the text of peers with IsUtf8(). The replace mode ensures that dump() never throws.
  return line.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

}  // namespace mountflow::platform
