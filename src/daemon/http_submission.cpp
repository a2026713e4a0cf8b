#include "daemon/http_submission.hpp"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>

#include "pbs_protocol/protocol.hpp"
#include "pbs_server/attribute_mapping.hpp"

namespace mountflow::daemon {
namespace {

using nlohmann::json;

constexpr char kScriptMember[] = "script";
constexpr char kQueueMember[] = "queue";

// Maps a JSON member to an attribute of the batch protocol.
struct AttributeMember {
  std::string_view member;
  const char* attribute;
  const char* resource = "";
};
constexpr AttributeMember kAttributeMembers[] = {
    {"name", "Job_Name"},
    {"account", "Account_Name"},
    {"ncpus", "Resource_List", "ncpus"},
    {"mem", "Resource_List", "mem"},
    {"walltime", "Resource_List", "walltime"},
    {"service", "service"},
    {"key", "key"},
    {"rerunnable", "Rerunable"},
    {"priority", "Priority"},
    {"hold", "Hold_Types"},
    {"due", "Execution_Time"},
    {"owner_time", "owner_time"},
    {"repeat", "repeat"},
    {"output", "Output_Path"},
    {"error", "Error_Path"},
    {"join", "Join_Path"},
    {"variables", "Variable_List"},
    {"life", "life"},
};

HttpProblem BadMember(const std::string& name, const std::string& text) {
  return {HttpStatus::kBadRequest, "/" + name + ": " + text};
}

const AttributeMember* FindAttribute(std::string_view name) {
  const auto* found = std::find_if(std::begin(kAttributeMembers), std::end(kAttributeMembers),
                                   [name](const AttributeMember& known) { return known.member == name; });
  return found == std::end(kAttributeMembers) ? nullptr : found;
}

// The values of the members, before they are checked as a job.
struct Members {
  std::string script;
  std::string queue;
  pbs_protocol::Attributes attributes;
};

std::optional<HttpProblem> ReadMember(const std::string& name, const json& value, std::size_t max_script,
                                      Members* members) {
  if (!value.is_string() && !value.is_number() && !value.is_boolean()) {
    return BadMember(name, "expected a string, a number, true or false");
  }
  std::string text = value.is_string() ? value.get<std::string>() : value.dump();
  if (name == kScriptMember) {
    if (text.size() > max_script) {
      return HttpProblem{HttpStatus::kContentTooLarge,
                         "/script: expected at most " + std::to_string(max_script) + " bytes"};
    }
    members->script = std::move(text);
    return std::nullopt;
  }
  if (name == kQueueMember) {
    members->queue = std::move(text);
    return std::nullopt;
  }
  const AttributeMember* known = FindAttribute(name);
  if (known == nullptr) return BadMember(name, "unknown member");
  members->attributes.push_back({known->attribute, known->resource, std::move(text), pbs_protocol::Op::kSet});
  return std::nullopt;
}

}  // namespace

tl::expected<job_manager::JobSpec, HttpProblem> ReadSubmission(std::string_view body, const std::string& user,
                                                               const pbs_server::PbsServerOptions& options) {
  const json submission = json::parse(body, nullptr, false);
  if (!submission.is_object()) {
    return tl::unexpected(HttpProblem{HttpStatus::kBadRequest, "expected a JSON object"});
  }
  Members members;
  for (const auto& [name, value] : submission.items()) {
    const std::optional<HttpProblem> problem = ReadMember(name, value, options.max_script_bytes, &members);
    if (problem) return tl::unexpected(*problem);
  }
  job_manager::JobSpec spec;
  spec.user = user;
  spec.script = std::move(members.script);
  const pbs_server::AttributeResult decoded =
      pbs_server::DecodeSubmission(members.attributes, members.queue, options.vocabulary, &spec);
  if (!decoded) {
    return tl::unexpected(HttpProblem{HttpStatus::kBadRequest, pbs_server::Describe(decoded.error())});
  }
  return spec;
}

}  // namespace mountflow::daemon
