#include "tools/chaos/message_log.hpp"

#include <fstream>

namespace mountflow::chaos {

Recorder::~Recorder() {
  if (file_ != nullptr) std::fclose(file_);
}

bool Recorder::Open(const std::string& file, std::string* error) {
  file_ = std::fopen(file.c_str(), "w");
  if (file_ == nullptr) *error = file + ": cannot be written";
  return file_ != nullptr;
}

void Recorder::Flush() {
  if (file_ != nullptr) std::fflush(file_);
}

void Recorder::Write(Micros now, const char* kind, json fields) {
  fields["t"] = now;
  fields["k"] = kind;
  const std::string line = fields.dump(-1, ' ', false, json::error_handler_t::replace);
  std::fwrite(line.data(), 1, line.size(), file_);
  std::fputc('\n', file_);
  ++lines_;
}

bool ReadRecord(const std::string& file, std::vector<json>* lines, std::string* error) {
  std::ifstream in(file);
  if (!in) {
    *error = file + ": cannot be read";
    return false;
  }
  std::size_t number = 0;
  for (std::string text; std::getline(in, text);) {
    ++number;
    json line = json::parse(text, nullptr, false);
    if (!line.is_object() || !line.contains("t") || !line.contains("k")) {
      *error = file + ":" + std::to_string(number) + ": expected an object with t and k";
      return false;
    }
    lines->push_back(std::move(line));
  }
  return true;
}

json Describe(const pbs_protocol::Request& r) {
  json j = {{"type", static_cast<unsigned>(r.type)}};
  if (!r.user.empty()) j["user"] = r.user;
  if (!r.id.empty()) j["id"] = r.id;
  if (!r.destination.empty()) j["queue"] = r.destination;
  if (!r.extension.empty()) j["extension"] = r.extension;
  if (r.status != 0) j["status"] = r.status;
  for (const pbs_protocol::Attribute& a : r.attributes) {
    if (a.name == "Variable_List" || a.name.size() > 40) continue;  // long, and of no matter here
    j["attributes"][a.resource.empty() ? a.name : a.name + "." + a.resource] = a.value;
  }
  return j;
}

json Describe(const pbs_protocol::Reply& r) {
  json j = {{"code", static_cast<int>(r.code)}};
  if (r.auxiliary != 0) j["aux"] = r.auxiliary;
  if (!r.text.empty()) j["text"] = r.text;
  if (!r.ids.empty()) j["ids"] = r.ids;
  for (const pbs_protocol::StatusObject& o : r.objects) {
    json one = {{"name", o.name}, {"type", static_cast<unsigned>(o.type)}};
    for (const char* name :
         {"job_state", "answer", "comment", "exit_status", "exec_host", "started", "service", "queue"}) {
      const std::string_view value = pbs_protocol::ValueOf(o.attributes, name);
      if (!value.empty()) one[name] = std::string(value);
    }
    j["objects"].push_back(std::move(one));
  }
  return j;
}

}  // namespace mountflow::chaos
