// qalter: alters jobs that are not running.
#include <CLI/CLI.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cli/commands.hpp"
#include "cli/option_values.hpp"
#include "cli/requests.hpp"

namespace mountflow::cli {
namespace {

constexpr char kCommand[] = "qalter";
constexpr int kSetCommand = 2;  // command number in Manage requests

struct QalterOptions {
  std::optional<std::string> date, account, error_path, hold, join, name, output_path, rerun;
  std::optional<int> priority;
  std::vector<std::string> resources, additional;
  std::vector<std::string> jobs;
};

void BindOptions(CLI::App* app, QalterOptions* options) {
  app->add_option("-a", options->date, "not to be run before [[CC]YY]MMDDhhmm[.SS]");
  app->add_option("-A", options->account, "account (tenant)");
  app->add_option("-e", options->error_path, "path of the standard error");
  app->add_option("-h", options->hold, "hold types, letters of u, o, s, or n");
  app->add_option("-j", options->join, "oe, eo or n");
  app->add_option("-l", options->resources, "ncpus=N,mem=SIZE,walltime=HH:MM:SS")->allow_extra_args(false);
  app->add_option("-N", options->name, "name of the job");
  app->add_option("-o", options->output_path, "path of the standard output");
  app->add_option("-p", options->priority, "priority");
  app->add_option("-r", options->rerun, "y or n");
  app->add_option("-W", options->additional, "attribute=value,...")->allow_extra_args(false);
  app->add_option("job", options->jobs, "job identifiers")->required();
}

tl::expected<pbs_protocol::Attributes, OptionError> MakeAttributes(const QalterOptions& options) {
  pbs_protocol::Attributes list;
  if (options.date) {
    const auto seconds = ParseDateTime(*options.date);
    if (!seconds) return tl::make_unexpected(seconds.error());
    SetAttribute(&list, "Execution_Time", std::to_string(*seconds));
  }
  const std::pair<const char*, const std::optional<std::string>&> texts[] = {
      {"Account_Name", options.account}, {"Error_Path", options.error_path},
      {"Hold_Types", options.hold},      {"Join_Path", options.join},
      {"Job_Name", options.name},        {"Output_Path", options.output_path},
      {"Rerunable", options.rerun}};
  for (const auto& [attribute, value] : texts) {
    if (value) SetAttribute(&list, attribute, *value);
  }
  if (options.priority) SetAttribute(&list, "Priority", std::to_string(*options.priority));
  for (const std::string& resources : options.resources) {
    const auto added = AddResources(resources, &list);
    if (!added) return tl::make_unexpected(added.error());
  }
  for (const std::string& additional : options.additional) {
    const auto added = AddAttributes(additional, &list);
    if (!added) return tl::make_unexpected(added.error());
  }
  return list;
}

}  // namespace

int Qalter(int argc, char** argv) {
  CLI::App app{"qalter: alters batch jobs that are not running"};
  app.set_help_flag("--help", "this text");
  QalterOptions options;
  BindOptions(&app, &options);
  CLI11_PARSE(app, argc, argv);
  const auto attributes = MakeAttributes(options);
  if (!attributes) return PrintError(kCommand, Describe(attributes.error()));
  return CallForEachJob(kCommand, options.jobs, [&](const JobReference& reference) {
    pbs_protocol::Request request = MakeRequest(pbs_protocol::RequestType::kModifyJob, reference.id);
    request.command = kSetCommand;
    request.attributes = *attributes;
    return request;
  });
}

}  // namespace mountflow::cli
