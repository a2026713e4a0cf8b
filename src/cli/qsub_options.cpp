#include "cli/qsub_options.hpp"

#include <CLI/CLI.hpp>
#include <variant>

namespace mountflow::cli {
namespace {

using TextMember = std::optional<std::string> QsubOptions::*;
using NumberMember = std::optional<int> QsubOptions::*;
using ListMember = std::vector<std::string> QsubOptions::*;
using FlagMember = bool QsubOptions::*;

struct OptionRow {
  const char* flag;
  std::variant<TextMember, NumberMember, ListMember, FlagMember> member;
  const char* help;
};

// All options, in the order of the help text.
constexpr OptionRow kOptions[] = {
    {"-a", &QsubOptions::date, "not to be run before [[CC]YY]MMDDhhmm[.SS]"},
    {"-A", &QsubOptions::account, "account (tenant)"},
    {"-c", &QsubOptions::checkpoint, "checkpoint interval (taken, without effect)"},
    {"-C", &QsubOptions::directive_prefix, "directive prefix"},
    {"-e", &QsubOptions::error_path, "path of the standard error"},
    {"-h", &QsubOptions::hold, "user hold"},
    {"-j", &QsubOptions::join, "oe or eo: join the outputs; n: not"},
    {"-k", &QsubOptions::keep, "files to keep (taken, without effect)"},
    {"-l", &QsubOptions::resources, "ncpus=N,mem=SIZE,walltime=HH:MM:SS"},
    {"-m", &QsubOptions::mail, "mail points (taken, without effect)"},
    {"-M", &QsubOptions::mail_users, "mail users (taken, without effect)"},
    {"-N", &QsubOptions::name, "name of the job"},
    {"-o", &QsubOptions::output_path, "path of the standard output"},
    {"-p", &QsubOptions::priority, "priority, -1024 to 1023"},
    {"-q", &QsubOptions::destination, "queue[@server]"},
    {"-r", &QsubOptions::rerun, "y or n: rerunnable"},
    {"-S", &QsubOptions::shell, "shell path list (taken, without effect)"},
    {"-u", &QsubOptions::users, "user list (taken, without effect)"},
    {"-v", &QsubOptions::variables, "variables to hand over"},
    {"-V", &QsubOptions::all_variables, "hand over all variables"},
    {"-W", &QsubOptions::additional, "service=NAME,key=KEY,owner_time=TIME,block=true|answer,retries=N"},
    {"-z", &QsubOptions::quiet, "do not write the job identifier"},
    {"-I", &QsubOptions::interactive, "interactive jobs: not served"},
};

void Bind(CLI::App* app, const OptionRow& row, bool* flag) { app->add_flag(row.flag, *flag, row.help); }

void Bind(CLI::App* app, const OptionRow& row, std::vector<std::string>* list) {
  app->add_option(row.flag, *list, row.help)->allow_extra_args(false);
}

template <typename T>
void Bind(CLI::App* app, const OptionRow& row, std::optional<T>* value) {
  app->add_option(row.flag, *value, row.help)->multi_option_policy(CLI::MultiOptionPolicy::TakeLast);
}

void Merge(bool from, bool* to) { *to = *to || from; }

void Merge(const std::vector<std::string>& from, std::vector<std::string>* to) {
  to->insert(to->end(), from.begin(), from.end());
}

template <typename T>
void Merge(const std::optional<T>& from, std::optional<T>* to) {
  if (from) *to = from;
}

}  // namespace

void BindOptions(CLI::App* app, QsubOptions* options) {
  for (const OptionRow& row : kOptions) {
    std::visit([&](auto member) { Bind(app, row, &(options->*member)); }, row.member);
  }
  app->add_option("script", options->operands, "script file; - or nothing: standard input")->expected(0, 1);
}

tl::expected<void, std::string> MergeArguments(const std::vector<std::string>& arguments,
                                               QsubOptions* options) {
  CLI::App app{"qsub"};
  app.set_help_flag("--help");
  QsubOptions parsed;
  BindOptions(&app, &parsed);
  try {
    std::vector<std::string> reversed(arguments.rbegin(), arguments.rend());
    app.parse(reversed);
  } catch (const CLI::ParseError& error) {
    return tl::make_unexpected(std::string(error.what()));
  }
  for (const OptionRow& row : kOptions) {
    std::visit([&](auto member) { Merge(parsed.*member, &(options->*member)); }, row.member);
  }
  return {};
}

}  // namespace mountflow::cli
