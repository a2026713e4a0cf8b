#include "pbs_server/attribute_mapping.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <iterator>
#include <optional>
#include <string_view>
#include <utility>

#include "pbs_server/attribute_values.hpp"

namespace mountflow::pbs_server {
namespace {

using job_manager::JobSpec;
using pbs_protocol::Attribute;
using pbs_protocol::Attributes;

constexpr Micros kSecond = 1'000'000;
constexpr std::size_t kMaxJobNameBytes = 236;
constexpr std::size_t kMaxKeyBytes = 255;
constexpr double kMaxPriority = 1024;
constexpr std::uint64_t kMaxExecutionTime = 32'503'680'000;  // seconds since the epoch: the year 3000
constexpr char kResourceList[] = "Resource_List";

// ---- Errors ----

tl::unexpected<AttributeError> Fail(AttributeError::Code code, const Attribute& attribute) {
  return tl::unexpected(AttributeError{code, attribute.name, attribute.resource, attribute.value, ""});
}

tl::unexpected<AttributeError> Invalid(const Attribute& attribute, std::string expected) {
  return tl::unexpected(AttributeError{AttributeError::Code::kInvalidValue, attribute.name,
                                       attribute.resource, attribute.value, std::move(expected)});
}

// ---- Values ----

AttributeResult DecodeFlag(const Attribute& attribute, const char* expected, bool* flag) {
  const std::string& text = attribute.value;
  const bool is_true = text == "True" || text == "true" || text == "y" || text == "1";
  const bool is_false = text == "False" || text == "false" || text == "n" || text == "0";
  if (!is_true && !is_false) return Invalid(attribute, expected);
  *flag = is_true;
  return {};
}

AttributeResult DecodeTimestamp(const Attribute& attribute, Micros* time) {
  const std::optional<std::uint64_t> count = ParseCount(attribute.value);
  if (!count) return Invalid(attribute, "microseconds since the epoch");
  *time = *count;
  return {};
}

// ---- Decoders and encoders, one for each attribute ----

AttributeResult DecodeJobName(const Attribute& attribute, const Vocabulary&, JobSpec* spec) {
  if (attribute.value.empty() || attribute.value.size() > kMaxJobNameBytes) {
    return Invalid(attribute, "a name of 1 to 236 bytes");
  }
  spec->name = attribute.value;
  return {};
}
std::string EncodeJobName(const JobSpec& spec, const Vocabulary&) { return spec.name; }

AttributeResult DecodeStatusOnly(const Attribute& attribute, const Vocabulary&, JobSpec*) {
  return Fail(AttributeError::Code::kStatusOnly, attribute);
}
std::string EncodeJobOwner(const JobSpec& spec, const Vocabulary&) { return spec.user; }

AttributeResult DecodeCores(const Attribute& attribute, const Vocabulary& vocabulary, JobSpec* spec) {
  const std::optional<double> cores = ParseNumber(attribute.value);
  if (!cores || *cores <= 0.0 || *cores > vocabulary.max_cores) {
    return Invalid(attribute, "cores above 0 and up to " + FormatNumber(vocabulary.max_cores));
  }
  spec->cores = *cores;
  return {};
}
std::string EncodeCores(const JobSpec& spec, const Vocabulary&) { return FormatNumber(spec.cores); }

AttributeResult DecodeMemory(const Attribute& attribute, const Vocabulary& vocabulary, JobSpec* spec) {
  const std::optional<double> bytes = ParseSize(attribute.value);
  if (!bytes || *bytes <= 0.0 || *bytes / vocabulary.memory_unit > vocabulary.max_memory) {
    return Invalid(attribute, "a size such as 512mb or 2gb, up to " +
                                  FormatSize(vocabulary.max_memory * vocabulary.memory_unit));
  }
  spec->memory = *bytes / vocabulary.memory_unit;
  return {};
}
std::string EncodeMemory(const JobSpec& spec, const Vocabulary& vocabulary) {
  return FormatSize(spec.memory * vocabulary.memory_unit);
}

AttributeResult DecodeWalltime(const Attribute& attribute, const Vocabulary&, JobSpec* spec) {
  const std::optional<Micros> walltime = ParseDuration(attribute.value);
  if (!walltime) return Invalid(attribute, "a time as HH:MM:SS or seconds");
  spec->walltime = *walltime;
  return {};
}
std::string EncodeWalltime(const JobSpec& spec, const Vocabulary&) {
  return spec.walltime == 0 ? "" : FormatDuration(spec.walltime);
}

AttributeResult DecodeAccount(const Attribute& attribute, const Vocabulary& vocabulary, JobSpec* spec) {
  spec->account = attribute.value;
  if (vocabulary.tenants.empty()) return {};
  const auto tenant = std::find(vocabulary.tenants.begin(), vocabulary.tenants.end(), attribute.value);
  if (tenant == vocabulary.tenants.end()) {
    return Invalid(attribute, "an account that this installation knows");
  }
  spec->tenant = static_cast<unsigned>(tenant - vocabulary.tenants.begin());
  return {};
}
std::string EncodeAccount(const JobSpec& spec, const Vocabulary&) { return spec.account; }

AttributeResult DecodeService(const Attribute& attribute, const Vocabulary&, JobSpec* spec) {
  if (attribute.value.empty()) return Invalid(attribute, "a name");
  spec->service = attribute.value;
  return {};
}
std::string EncodeService(const JobSpec& spec, const Vocabulary&) { return spec.service; }

AttributeResult DecodeKey(const Attribute& attribute, const Vocabulary&, JobSpec* spec) {
  if (attribute.value.empty() || attribute.value.size() > kMaxKeyBytes) {
    return Invalid(attribute, "a key of 1 to 255 bytes");
  }
  spec->key = attribute.value;
  return {};
}
std::string EncodeKey(const JobSpec& spec, const Vocabulary&) { return spec.key; }

AttributeResult DecodeRerunnable(const Attribute& attribute, const Vocabulary&, JobSpec* spec) {
  return DecodeFlag(attribute, "y or n", &spec->rerunnable);
}
std::string EncodeRerunnable(const JobSpec& spec, const Vocabulary&) { return spec.rerunnable ? "y" : ""; }

AttributeResult DecodeClientWait(const Attribute& attribute, const Vocabulary&, JobSpec* spec) {
  const std::optional<Micros> wait = ParseDuration(attribute.value);
  if (!wait || *wait == 0) {
    return Invalid(attribute, "how long the owner waits for an answer, as HH:MM:SS or seconds");
  }
  spec->client_wait = *wait;
  return {};
}
std::string EncodeClientWait(const JobSpec& spec, const Vocabulary&) {
  return spec.client_wait == 0 ? "" : FormatDuration(spec.client_wait);
}

AttributeResult DecodePriority(const Attribute& attribute, const Vocabulary&, JobSpec* spec) {
  const std::optional<double> priority = ParseNumber(attribute.value);
  if (!priority || std::fabs(*priority) > kMaxPriority || *priority != std::floor(*priority)) {
    return Invalid(attribute, "a whole number of -1024 to 1023");
  }
  spec->priority = static_cast<int>(*priority);
  return {};
}

AttributeResult DecodeHold(const Attribute& attribute, const Vocabulary&, JobSpec* spec) {
  const std::string hold = attribute.value == "n" ? "" : attribute.value;
  if (hold.find_first_not_of("uos") != std::string::npos) {
    return Invalid(attribute, "letters of u, o, s, or n");
  }
  spec->hold = hold;
  return {};
}

AttributeResult DecodeExecutionTime(const Attribute& attribute, const Vocabulary&, JobSpec* spec) {
  const std::optional<std::uint64_t> seconds = ParseCount(attribute.value);
  if (!seconds || *seconds > kMaxExecutionTime) return Invalid(attribute, "seconds since the epoch");
  spec->due = *seconds * kSecond;
  return {};
}

AttributeResult DecodeRepeat(const Attribute& attribute, const Vocabulary&, JobSpec* spec) {
  return DecodeFlag(attribute, "true or false", &spec->repeat);
}

AttributeResult DecodeClientDeadline(const Attribute& attribute, const Vocabulary&, JobSpec* spec) {
  return DecodeTimestamp(attribute, &spec->client_deadline);
}

AttributeResult DecodeEarlierUntil(const Attribute& attribute, const Vocabulary&, JobSpec* spec) {
  return DecodeTimestamp(attribute, &spec->earlier_until);
}

// ---- The tables ----

enum class Alteration : std::uint8_t { kAllowed, kFixedAtSubmission };

struct AttributeRow {
  const char* name;
  const char* resource;  // if empty, the attribute has no resource, and a resource in a request is ignored
  AttributeResult (*decode)(const Attribute&, const Vocabulary&, JobSpec*);
  // Encodes the value for a node; null if the attribute is not sent to nodes. An empty value is omitted if
  // `may_be_absent` is set.
  std::string (*encode)(const JobSpec&, const Vocabulary&);
  Alteration alteration;
  bool may_be_absent;
};

// Attributes that the daemon interprets, in the order in which they are sent to nodes.
constexpr AttributeRow kAttributes[] = {
    {"Job_Name", "", DecodeJobName, EncodeJobName, Alteration::kAllowed, false},
    {"Job_Owner", "", DecodeStatusOnly, EncodeJobOwner, Alteration::kAllowed, false},
    {kResourceList, "ncpus", DecodeCores, EncodeCores, Alteration::kAllowed, false},
    {kResourceList, "mem", DecodeMemory, EncodeMemory, Alteration::kAllowed, false},
    {kResourceList, "walltime", DecodeWalltime, EncodeWalltime, Alteration::kAllowed, true},
    {"Account_Name", "", DecodeAccount, EncodeAccount, Alteration::kAllowed, true},
    {"service", "", DecodeService, EncodeService, Alteration::kFixedAtSubmission, false},
    {"key", "", DecodeKey, EncodeKey, Alteration::kFixedAtSubmission, true},
    {"Rerunable", "", DecodeRerunnable, EncodeRerunnable, Alteration::kAllowed, true},
    {"owner_time", "", DecodeClientWait, EncodeClientWait, Alteration::kAllowed, true},
    {"Priority", "", DecodePriority, nullptr, Alteration::kAllowed, true},
    {"Hold_Types", "", DecodeHold, nullptr, Alteration::kAllowed, true},
    {"Execution_Time", "", DecodeExecutionTime, nullptr, Alteration::kAllowed, true},
    {"repeat", "", DecodeRepeat, nullptr, Alteration::kFixedAtSubmission, true},
    {"owner_deadline", "", DecodeClientDeadline, nullptr, Alteration::kFixedAtSubmission, true},
    {"earlier_until", "", DecodeEarlierUntil, nullptr, Alteration::kFixedAtSubmission, true},
};

// Attributes that are stored and passed to nodes unchanged. The job manager does not interpret them.
constexpr std::string_view kPassedAttributes[] = {
    "Variable_List", "Output_Path", "Error_Path", "Join_Path",  "Shell_Path_List",
    "Mail_Points",   "Mail_Users",  "Keep_Files", "Checkpoint", "umask",
    "block",         "life",        "Executable"};

// Attributes that appear in status replies and cannot be set.
constexpr std::string_view kStatusAttributes[] = {
    "job_state", "exec_host", "comment",     "ctime",  "mtime",     "qtime", "etime",
    "stime",     "server",    "exit_status", "answer", "run_count", "queue"};

template <typename Names>
bool Contains(const Names& names, std::string_view name) {
  return std::find(std::begin(names), std::end(names), name) != std::end(names);
}

// Returns the row for an attribute, or null if there is none.
const AttributeRow* FindRow(const Attribute& attribute) {
  const auto* const row = std::find_if(
      std::begin(kAttributes), std::end(kAttributes), [&attribute](const AttributeRow& candidate) {
        const std::string_view resource = candidate.resource;
        return attribute.name == candidate.name && (resource.empty() || attribute.resource == resource);
      });
  return row == std::end(kAttributes) ? nullptr : row;
}

// ---- Decoding ----

void SetPassedAttribute(const Attribute& attribute, JobSpec* spec) {
  std::erase_if(spec->forwarded_attributes,
                [&attribute](const auto& passed) { return passed.first == attribute.name; });
  spec->forwarded_attributes.emplace_back(attribute.name, attribute.value);
}

AttributeResult DecodeOtherAttribute(const Attribute& attribute, JobSpec* spec) {
  if (attribute.name == kResourceList) return Fail(AttributeError::Code::kUnknownResource, attribute);
  if (Contains(kStatusAttributes, attribute.name)) return Fail(AttributeError::Code::kStatusOnly, attribute);
  if (!Contains(kPassedAttributes, attribute.name)) {
    return Fail(AttributeError::Code::kUnknownAttribute, attribute);
  }
  SetPassedAttribute(attribute, spec);
  return {};
}

AttributeResult DecodeAttributes(const Attributes& attributes, const Vocabulary& vocabulary,
                                 bool is_alteration, JobSpec* spec) {
  for (const Attribute& attribute : attributes) {
    const AttributeRow* row = FindRow(attribute);
    if (is_alteration && row != nullptr && row->alteration == Alteration::kFixedAtSubmission) {
      return Fail(AttributeError::Code::kFixedAtSubmission, attribute);
    }
    AttributeResult decoded =
        row != nullptr ? row->decode(attribute, vocabulary, spec) : DecodeOtherAttribute(attribute, spec);
    if (!decoded) return decoded;
  }
  if (spec->service.empty()) spec->service = spec->name;
  return {};
}

// Decodes a destination: QUEUE, @SERVER or QUEUE@SERVER. The server part is ignored, because the client has
// used it to select this server.
AttributeResult DecodeQueue(const std::string& destination, const Vocabulary& vocabulary, JobSpec* spec) {
  Attribute queue;
  queue.value = destination.substr(0, destination.find('@'));
  if (queue.value.empty()) queue.value = vocabulary.default_queue;
  const auto known = std::find(vocabulary.queues.begin(), vocabulary.queues.end(), queue.value);
  if (known == vocabulary.queues.end()) {
    return Fail(
        queue.value.empty() ? AttributeError::Code::kNoQueueNamed : AttributeError::Code::kUnknownQueue,
        queue);
  }
  spec->queue = queue.value;
  spec->task_class = static_cast<unsigned>(known - vocabulary.queues.begin());
  return {};
}

// ---- Encoding ----

void AddAttribute(Attributes* attributes, const char* name, std::string value) {
  attributes->push_back({name, "", std::move(value), pbs_protocol::Op::kSet});
}

std::string FormatSeconds(Micros time) { return std::to_string(time / kSecond); }

}  // namespace

pbs_protocol::Code ReplyCodeOf(job_manager::CommandResult result) {
  switch (result) {
    case job_manager::CommandResult::kOk:
      return pbs_protocol::Code::kNone;
    case job_manager::CommandResult::kUnknownJob:
      return pbs_protocol::Code::kUnknownJob;
    case job_manager::CommandResult::kPermission:
      return pbs_protocol::Code::kPermission;
    case job_manager::CommandResult::kBadState:
      return pbs_protocol::Code::kBadState;
    case job_manager::CommandResult::kNotRunning:
      return pbs_protocol::Code::kNotRunning;
    case job_manager::CommandResult::kFull:
      return pbs_protocol::Code::kTooMany;
    case job_manager::CommandResult::kExists:
      return pbs_protocol::Code::kExists;
    case job_manager::CommandResult::kBadValue:
      return pbs_protocol::Code::kBadValue;
    case job_manager::CommandResult::kStopping:
      return pbs_protocol::Code::kSystem;
  }
  return pbs_protocol::Code::kSystem;
}

AttributeResult DecodeSubmission(const Attributes& attributes, const std::string& destination,
                                 const Vocabulary& vocabulary, JobSpec* spec) {
  AttributeResult queue = DecodeQueue(destination, vocabulary, spec);
  if (!queue) return queue;
  return DecodeAttributes(attributes, vocabulary, /*is_alteration=*/false, spec);
}

AttributeResult DecodeAlteration(const Attributes& attributes, const Vocabulary& vocabulary, JobSpec* spec) {
  return DecodeAttributes(attributes, vocabulary, /*is_alteration=*/true, spec);
}

Attributes EncodeForNode(const JobSpec& spec, const Vocabulary& vocabulary) {
  Attributes attributes;
  for (const AttributeRow& row : kAttributes) {
    if (row.encode == nullptr) continue;
    std::string value = row.encode(spec, vocabulary);
    if (value.empty() && row.may_be_absent) continue;
    attributes.push_back({row.name, row.resource, std::move(value), pbs_protocol::Op::kSet});
  }
  for (const auto& [name, value] : spec.forwarded_attributes) AddAttribute(&attributes, name.c_str(), value);
  return attributes;
}

Attributes EncodeForStatus(const job_manager::JobManager& job_manager, const job_manager::Job& job,
                           const Vocabulary& vocabulary) {
  const JobSpec& spec = *job.spec;
  Attributes attributes = EncodeForNode(spec, vocabulary);
  std::erase_if(attributes, [](const Attribute& attribute) { return attribute.name == "Rerunable"; });
  AddAttribute(&attributes, "job_state", std::string(1, static_cast<char>(job.state)));
  AddAttribute(&attributes, "queue", spec.queue);
  AddAttribute(&attributes, "server", job_manager.options().server);
  AddAttribute(&attributes, "Rerunable", spec.rerunnable ? "True" : "False");
  AddAttribute(&attributes, "Priority", std::to_string(spec.priority));
  AddAttribute(&attributes, "Hold_Types", spec.hold.empty() ? "n" : spec.hold);
  if (spec.due != 0) AddAttribute(&attributes, "Execution_Time", FormatSeconds(spec.due));
  AddAttribute(&attributes, "ctime", FormatSeconds(job.created));
  AddAttribute(&attributes, "qtime", FormatSeconds(job.queued));
  AddAttribute(&attributes, "mtime", FormatSeconds(job.changed));
  if (job.placed != 0) AddAttribute(&attributes, "stime", FormatSeconds(job.placed));
  if (!job.node.empty()) AddAttribute(&attributes, "exec_host", job.node + "/0");
  if (job.answer != job_manager::FinalAnswer::kNone) {
    AddAttribute(&attributes, "answer", job_manager::Name(job.answer));
  }
  if (!job.comment.empty()) AddAttribute(&attributes, "comment", job.comment);
  if (job.has_exit) AddAttribute(&attributes, "exit_status", std::to_string(job.exit_status));
  if (job.attempts_made != 0) AddAttribute(&attributes, "run_count", std::to_string(job.attempts_made));
  return attributes;
}

}  // namespace mountflow::pbs_server
