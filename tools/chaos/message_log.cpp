#include "tools/chaos/message_log.hpp"

#include <fstream>
#include <string_view>
#include <utility>

namespace mountflow::chaos {
namespace {

constexpr std::size_t kMaxAttributeName = 40;  // bytes; attributes with longer names are not logged
constexpr const char* kEnvironmentAttribute = "Variable_List";
constexpr const char* kLoggedObjectAttributes[] = {"job_state", "answer",  "comment", "exit_status",
                                                   "exec_host", "started", "service", "queue"};

}  // namespace

std::string Describe(const MessageLogError& error) {
  switch (error.code) {
    case MessageLogError::Code::kNotWritable:
      return error.file + ": cannot be written";
    case MessageLogError::Code::kNotReadable:
      return error.file + ": cannot be read";
    case MessageLogError::Code::kNotAnEntry:
      return error.file + ":" + std::to_string(error.line) + ": expected an object with t and k";
  }
  return error.file;
}

MessageLogWriter::~MessageLogWriter() {
  if (file_ != nullptr) (void)std::fclose(file_);
}

tl::expected<void, MessageLogError> MessageLogWriter::Open(const std::string& file) {
  file_ = std::fopen(file.c_str(), "w");
  if (file_ == nullptr) return tl::unexpected(MessageLogError{MessageLogError::Code::kNotWritable, file});
  return {};
}

void MessageLogWriter::Flush() {
  if (file_ != nullptr) (void)std::fflush(file_);
}

void MessageLogWriter::Write(Micros now, const char* kind, json fields) {
  fields["t"] = now;
  fields["k"] = kind;
  const std::string line = fields.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
  (void)std::fwrite(line.data(), 1, line.size(), file_);
  ++lines_;
}

tl::expected<std::vector<json>, MessageLogError> ReadMessageLog(const std::string& file) {
  std::ifstream in(file);
  if (!in) return tl::unexpected(MessageLogError{MessageLogError::Code::kNotReadable, file});
  std::vector<json> lines;
  for (std::string text; std::getline(in, text);) {
    json line = json::parse(text, nullptr, false);
    if (!line.is_object() || !line.contains("t") || !line.contains("k")) {
      return tl::unexpected(MessageLogError{MessageLogError::Code::kNotAnEntry, file, lines.size() + 1});
    }
    lines.push_back(std::move(line));
  }
  return lines;
}

json LogFields(const pbs_protocol::Request& request) {
  json fields = {{"type", static_cast<unsigned>(request.type)}};
  if (!request.user.empty()) fields["user"] = request.user;
  if (!request.id.empty()) fields["id"] = request.id;
  if (!request.destination.empty()) fields["queue"] = request.destination;
  if (!request.extension.empty()) fields["extension"] = request.extension;
  if (request.status != 0) fields["status"] = request.status;
  for (const pbs_protocol::Attribute& attribute : request.attributes) {
    // The job's environment is long and not needed by any invariant.
    if (attribute.name == kEnvironmentAttribute || attribute.name.size() > kMaxAttributeName) continue;
    const std::string name =
        attribute.resource.empty() ? attribute.name : attribute.name + "." + attribute.resource;
    fields["attributes"][name] = attribute.value;
  }
  return fields;
}

json LogFields(const pbs_protocol::Reply& reply) {
  json fields = {{"code", static_cast<int>(reply.code)}};
  if (reply.auxiliary != 0) fields["aux"] = reply.auxiliary;
  if (!reply.text.empty()) fields["text"] = reply.text;
  if (!reply.ids.empty()) fields["ids"] = reply.ids;
  for (const pbs_protocol::StatusObject& object : reply.objects) {
    json status = {{"name", object.name}, {"type", static_cast<unsigned>(object.type)}};
    for (const char* name : kLoggedObjectAttributes) {
      const std::string_view value = pbs_protocol::ValueOf(object.attributes, name);
      if (!value.empty()) status[name] = std::string(value);
    }
    fields["objects"].push_back(std::move(status));
  }
  return fields;
}

}  // namespace mountflow::chaos
