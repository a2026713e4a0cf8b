#include "tools/chaos/log_entry.hpp"

#include <charconv>
#include <string_view>
#include <system_error>
#include <utility>

namespace mountflow::chaos {
namespace {

using nlohmann::json;

constexpr std::string_view kWaitForAnswer = "wait=answer";

// Returns the value of a text field, or an empty string if the field is missing or not a string.
std::string TextOf(const json& object, const char* key) {
  const auto it = object.find(key);
  return it != object.end() && it->is_string() ? it->get<std::string>() : "";
}

std::optional<Micros> ParseMicros(std::string_view text) {
  Micros value = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc{} || stop != end) return std::nullopt;
  return value;
}

Effect EffectOf(const std::string& text) {
  if (text == "safe") return Effect::kIdempotent;
  if (text == "keyed") return Effect::kIdempotentWithKey;
  return text == "unsafe" ? Effect::kNotIdempotent : Effect::kUnknown;
}

DeduplicationScope ScopeOf(const std::string& text) {
  if (text == "all") return DeduplicationScope::kAllNodes;
  if (text == "zone") return DeduplicationScope::kZone;
  return text == "cell" ? DeduplicationScope::kRack : DeduplicationScope::kNone;
}

// "silent" classes are spread without a limit, so there is nothing to check.
SpreadDomain SpreadOf(const std::string& text) {
  if (text == "none" || text == "silent") return SpreadDomain::kNone;
  if (text == "zone") return SpreadDomain::kZone;
  return text == "cell" ? SpreadDomain::kRack : SpreadDomain::kNode;
}

EventKind EventKindOf(const std::string& text) {
  static const std::map<std::string, EventKind> kKinds = {
      {"node_start", EventKind::kNodeStart},           {"node_kill", EventKind::kNodeKill},
      {"daemon_start", EventKind::kDaemonStart},       {"daemon_kill", EventKind::kDaemonKill},
      {"daemon_end", EventKind::kDaemonKill},          {"daemon_stall", EventKind::kDaemonStall},
      {"daemon_continue", EventKind::kDaemonContinue}, {"end", EventKind::kEnd}};
  const auto it = kKinds.find(text);
  return it == kKinds.end() ? EventKind::kOther : it->second;
}

ClientEventKind ClientEventKindOf(const std::string& text) {
  if (text == "answer") return ClientEventKind::kAnswer;
  return text == "gave_up" ? ClientEventKind::kGaveUp : ClientEventKind::kOther;
}

HeadEntry DecodeHead(const json& line) {
  HeadEntry head;
  for (const auto& [queue, fields] : line.at("classes").items()) {
    TaskClass& task_class = head.classes[queue];
    task_class.effect = EffectOf(fields.at("effect").get<std::string>());
    task_class.scope = ScopeOf(fields.at("scope").get<std::string>());
    task_class.spread = SpreadOf(fields.at("spread").get<std::string>());
    task_class.deduplication_window = fields.at("window").get<Micros>();
    task_class.hard_limit = fields.at("hard_limit").get<Micros>();
    task_class.max_per_domain = fields.at("most").get<int>();
  }
  for (const auto& [name, fields] : line.at("nodes").items()) {
    head.nodes[name] = {fields.at("rack").get<std::string>(), fields.at("room").get<std::string>()};
  }
  head.allowance = line.at("allowance").get<Micros>();
  head.answer_slack = line.at("answer_slack").get<Micros>();
  head.drain_grace = line.at("drain_grace").get<Micros>();
  head.warm_up_time = line.at("cold_time").get<Micros>();
  head.initial_capacity = line.at("cold_from").get<double>();
  head.overload_multiple = line.at("fall_multiple").get<double>();
  head.overload_window = line.at("fall_window").get<Micros>();
  head.min_slow_start_budget = line.at("cold_bears").get<double>();
  head.starts_per_second = line.at("starts_per_second").get<double>();
  return head;
}

tl::expected<ConnectionId, LogEntryError> DecodeConnection(const json& line) {
  const std::string name = line.at("tap").get<std::string>();
  for (const ProxyPoint point : {ProxyPoint::kClient, ProxyPoint::kNode, ProxyPoint::kReport}) {
    if (name != NameOf(point)) continue;
    return ConnectionId{point, line.at("who").get<std::string>(), line.at("conn").get<std::uint64_t>()};
  }
  return tl::unexpected(LogEntryError{LogEntryError::Code::kUnknownProxyPoint, name});
}

tl::expected<RequestEntry, LogEntryError> DecodeRequest(const json& line) {
  auto connection = DecodeConnection(line);
  if (!connection) return tl::unexpected(std::move(connection.error()));
  RequestEntry request;
  request.connection = std::move(*connection);
  request.type = static_cast<pbs_protocol::RequestType>(line.at("type").get<unsigned>());
  request.id = TextOf(line, "id");
  request.queue = TextOf(line, "queue");
  request.extension = TextOf(line, "extension");
  if (const auto attributes = line.find("attributes"); attributes != line.end()) {
    for (const auto& [name, value] : attributes->items()) {
      if (value.is_string()) request.attributes[name] = value.get<std::string>();
    }
  }
  const std::string deadline = request.Attribute("owner_deadline");
  if (deadline.empty()) return request;
  request.client_deadline = ParseMicros(deadline);
  if (!request.client_deadline) {
    return tl::unexpected(LogEntryError{LogEntryError::Code::kNotANumber, deadline});
  }
  return request;
}

StatusObjectEntry DecodeStatusObject(const json& fields) {
  StatusObjectEntry object;
  object.type = static_cast<pbs_protocol::ObjectType>(fields.at("type").get<unsigned>());
  object.name = TextOf(fields, "name");
  object.answer = TextOf(fields, "answer");
  object.started = ParseMicros(TextOf(fields, "started"));
  return object;
}

tl::expected<ReplyEntry, LogEntryError> DecodeReply(const json& line) {
  auto connection = DecodeConnection(line);
  if (!connection) return tl::unexpected(std::move(connection.error()));
  ReplyEntry reply;
  reply.connection = std::move(*connection);
  reply.code = static_cast<pbs_protocol::Code>(line.at("code").get<int>());
  reply.text = TextOf(line, "text");
  if (const auto objects = line.find("objects"); objects != line.end()) {
    for (const json& fields : *objects) reply.objects.push_back(DecodeStatusObject(fields));
  }
  return reply;
}

NodeListEntry DecodeNodeList(const json& line) {
  NodeListEntry list;
  list.daemon = line.at("who").get<std::string>();
  for (const auto& [name, fields] : line.at("nodes").items()) {
    list.nodes[name] = {fields.at(0) == "ready", fields.at(1).get<Micros>()};
  }
  return list;
}

tl::expected<LogEntry, LogEntryError> Decode(const json& line) {
  LogEntry entry;
  entry.time = line.at("t").get<Micros>();
  const std::string kind = line.at("k").get<std::string>();
  if (kind == "head") {
    entry.content = DecodeHead(line);
  } else if (kind == "ask") {
    auto request = DecodeRequest(line);
    if (!request) return tl::unexpected(std::move(request.error()));
    entry.content = std::move(*request);
  } else if (kind == "reply") {
    auto reply = DecodeReply(line);
    if (!reply) return tl::unexpected(std::move(reply.error()));
    entry.content = std::move(*reply);
  } else if (kind == "close") {
    auto connection = DecodeConnection(line);
    if (!connection) return tl::unexpected(std::move(connection.error()));
    entry.content = CloseEntry{std::move(*connection)};
  } else if (kind == "list") {
    entry.content = DecodeNodeList(line);
  } else if (kind == "event") {
    entry.content = EventEntry{EventKindOf(line.at("event").get<std::string>()), TextOf(line, "who")};
  } else if (kind == "client") {
    entry.content = ClientEntry{ClientEventKindOf(line.at("event").get<std::string>()), TextOf(line, "job"),
                                TextOf(line, "answer")};
  }
  return entry;
}

}  // namespace

const char* NameOf(ProxyPoint point) {
  switch (point) {
    case ProxyPoint::kClient:
      return "client";
    case ProxyPoint::kNode:
      return "node";
    case ProxyPoint::kReport:
      return "report";
    case ProxyPoint::kNodeList:
      return "list";
  }
  return "";
}

std::string Describe(const ConnectionId& connection) {
  return std::string(NameOf(connection.point)) + "/" + connection.peer + "/" +
         std::to_string(connection.number);
}

std::string RequestEntry::Attribute(const std::string& name) const {
  const auto it = attributes.find(name);
  return it == attributes.end() ? "" : it->second;
}

bool RequestEntry::WaitsForAnswer() const {
  return type == pbs_protocol::RequestType::kStatusJob && extension.starts_with(kWaitForAnswer);
}

std::string Describe(const LogEntryError& error) {
  switch (error.code) {
    case LogEntryError::Code::kMalformed:
      return error.detail;
    case LogEntryError::Code::kUnknownProxyPoint:
      return "expected client, node or report as tap, not '" + error.detail + "'";
    case LogEntryError::Code::kNotANumber:
      return "expected microseconds as owner_deadline, not '" + error.detail + "'";
  }
  return error.detail;
}

tl::expected<LogEntry, LogEntryError> DecodeLogEntry(const json& line) {
  try {
    return Decode(line);
  } catch (const json::exception& failure) {
    return tl::unexpected(LogEntryError{LogEntryError::Code::kMalformed, failure.what()});
  }
}

}  // namespace mountflow::chaos
