// qselect: writes the identifiers of the jobs that meet all criteria.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cli/commands.hpp"
#include "cli/option_values.hpp"
#include "cli/requests.hpp"

namespace mountflow::cli {
namespace {

using pbs_protocol::Op;

constexpr char kCommand[] = "qselect";
constexpr std::size_t kOperatorLength = 4;  // length of ".eq."

struct QselectOptions {
  std::optional<std::string> date, account, hold, name, priority, destination, rerun, states, users;
  std::vector<std::string> resources;
};

void BindOptions(CLI::App* app, QselectOptions* options) {
  app->add_option("-a", options->date, "[op]date_time: execution time");
  app->add_option("-A", options->account, "account");
  app->add_option("-h", options->hold, "hold types");
  app->add_option("-l", options->resources, "resource[op]value,...")->allow_extra_args(false);
  app->add_option("-N", options->name, "name");
  app->add_option("-p", options->priority, "[op]priority");
  app->add_option("-q", options->destination, "queue[@server]");
  app->add_option("-r", options->rerun, "y or n");
  app->add_option("-s", options->states, "states, letters of EHQRWC");
  app->add_option("-u", options->users, "user");
}

struct Comparison {
  Op op = Op::kEq;
  std::string value;
};

// Parses "[.op.]value", with the operators of POSIX. Returns nothing if the operator is unknown.
std::optional<Comparison> ParseComparison(const std::string& text) {
  static constexpr std::pair<const char*, Op> kOperators[] = {{".eq.", Op::kEq}, {".ne.", Op::kNe},
                                                              {".ge.", Op::kGe}, {".gt.", Op::kGt},
                                                              {".le.", Op::kLe}, {".lt.", Op::kLt}};
  for (const auto& [name, op] : kOperators) {
    if (text.rfind(name, 0) == 0) return Comparison{op, text.substr(kOperatorLength)};
  }
  if (!text.empty() && text[0] == '.') return std::nullopt;
  return Comparison{Op::kEq, text};
}

tl::unexpected<OptionError> IllegalValue(const char* option) {
  return tl::make_unexpected(OptionError{option, "", std::nullopt});
}

using Result = tl::expected<void, OptionError>;

void AddCriterion(pbs_protocol::Attributes* criteria, const char* attribute, const Comparison& comparison,
                  const std::string& resource = "") {
  criteria->push_back({attribute, resource, comparison.value, comparison.op});
}

void AddEqual(pbs_protocol::Attributes* criteria, const char* attribute,
              const std::optional<std::string>& value) {
  if (value) AddCriterion(criteria, attribute, {Op::kEq, *value});
}

Result AddDate(const std::string& text, pbs_protocol::Attributes* criteria) {
  const std::optional<Comparison> comparison = ParseComparison(text);
  if (!comparison) return IllegalValue("-a");
  const auto seconds = ParseDateTime(comparison->value);
  if (!seconds) return IllegalValue("-a");
  AddCriterion(criteria, "Execution_Time", {comparison->op, std::to_string(*seconds)});
  return {};
}

Result AddPriority(const std::string& text, pbs_protocol::Attributes* criteria) {
  const std::optional<Comparison> comparison = ParseComparison(text);
  if (!comparison) return IllegalValue("-p");
  AddCriterion(criteria, "Priority", *comparison);
  return {};
}

Result AddStates(const std::string& text, pbs_protocol::Attributes* criteria) {
  if (text.find_first_not_of("EHQRTWC") != std::string::npos) {
    return tl::make_unexpected(OptionError{"-s", "EHQRWC", std::nullopt});
  }
  AddCriterion(criteria, "job_state", {Op::kEq, text});
  return {};
}

// Adds the criterion "resource.op.value" or "resource=value".
Result AddResource(const std::string& text, pbs_protocol::Attributes* criteria) {
  const std::size_t dot = text.find('.');
  const bool has_operator =
      dot != std::string::npos && dot + kOperatorLength <= text.size() && text[dot + 3] == '.';
  if (has_operator) {
    const std::optional<Comparison> comparison = ParseComparison(text.substr(dot));
    if (!comparison) return tl::make_unexpected(OptionError{"-l", "", text});
    AddCriterion(criteria, "Resource_List", *comparison, text.substr(0, dot));
    return {};
  }
  const std::size_t equals = text.find('=');
  if (equals == std::string::npos) {
    return tl::make_unexpected(OptionError{"-l", "resource.op.value", text});
  }
  AddCriterion(criteria, "Resource_List", {Op::kEq, text.substr(equals + 1)}, text.substr(0, equals));
  return {};
}

Result AddResourceLists(const std::vector<std::string>& lists, pbs_protocol::Attributes* criteria) {
  for (const std::string& list : lists) {
    for (const std::string& item : Split(list, ',')) {
      const Result added = AddResource(item, criteria);
      if (!added) return tl::make_unexpected(added.error());
    }
  }
  return {};
}

// Adds all criteria except for the queue, in the order in which they are sent.
Result AddCriteria(const QselectOptions& options, pbs_protocol::Attributes* criteria) {
  Result added;
  if (options.date) added = AddDate(*options.date, criteria);
  if (!added) return added;
  AddEqual(criteria, "Account_Name", options.account);
  AddEqual(criteria, "Hold_Types", options.hold);
  AddEqual(criteria, "Job_Name", options.name);
  if (options.priority) added = AddPriority(*options.priority, criteria);
  if (!added) return added;
  if (options.rerun) {
    AddCriterion(criteria, "Rerunable", {Op::kEq, *options.rerun == "y" ? "True" : "False"});
  }
  if (options.states) added = AddStates(*options.states, criteria);
  if (!added) return added;
  AddEqual(criteria, "Job_Owner", options.users);
  return AddResourceLists(options.resources, criteria);
}

}  // namespace

int Qselect(int argc, char** argv) {
  CLI::App app{"qselect: writes the identifiers of batch jobs that meet all criteria"};
  app.set_help_flag("--help", "this text");
  QselectOptions options;
  BindOptions(&app, &options);
  CLI11_PARSE(app, argc, argv);
  pbs_protocol::Request request = MakeRequest(pbs_protocol::RequestType::kSelectJobs);
  const Result added = AddCriteria(options, &request.attributes);
  if (!added) return PrintError(kCommand, Describe(added.error()));
  const Destination destination = ParseDestination(options.destination.value_or(""));
  if (options.destination && options.destination->find('@') != 0) {
    AddCriterion(&request.attributes, "queue", {Op::kEq, destination.queue});
  }
  const std::string address = destination.address.empty() ? DefaultServers().front() : destination.address;
  const auto reply = CallServer(address, request);
  if (!reply) return PrintConnectionError(kCommand, reply.error());
  if (reply->code != pbs_protocol::Code::kNone) return PrintError(kCommand, DescribeRejection(*reply));
  for (const std::string& id : reply->ids) std::printf("%s\n", id.c_str());
  return 0;
}

}  // namespace mountflow::cli
