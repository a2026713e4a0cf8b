// qsub: submits a script as a job.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cctype>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "cli/commands.hpp"
#include "cli/directives.hpp"
#include "cli/option_values.hpp"
#include "cli/qsub_options.hpp"
#include "cli/requests.hpp"
#include "pbs_client/host.hpp"
#include "pbs_client/submission.hpp"

extern char** environ;

namespace mountflow::cli {
namespace {

constexpr char kCommand[] = "qsub";
constexpr char kDefaultJobName[] = "STDIN";
constexpr char kDefaultDirectivePrefix[] = "#PBS";
constexpr std::size_t kMaxNameBytes = 236;
constexpr std::size_t kMaxPathBytes = 4096;
constexpr int kMaxRetries = 100;
constexpr double kMinAnswerSeconds = 0.001;
constexpr Micros kRetriedClientTime = 8'000'000;  // client time of a submission that may be retried
constexpr Micros kConnectTimeout = 10'000'000;
constexpr Micros kStatusTimeout = 330'000'000;  // for one status request that waits for the job
constexpr char kStatusWait[] = ",seconds=300";  // the server replies after this time in any case

int Fail(const std::string& text) { return PrintError(kCommand, text); }

// ---- Script and options ----

struct Script {
  std::string text;
  std::string name;  // the default name of the job
};

// Reads the script that the operands name, or standard input. Returns nothing if the file cannot be opened.
std::optional<Script> ReadScript(const std::vector<std::string>& operands) {
  Script script;
  if (operands.empty() || operands[0] == "-") {
    script.text.assign(std::istreambuf_iterator<char>(std::cin), {});
    script.name = kDefaultJobName;
    return script;
  }
  const std::string& path = operands[0];
  std::ifstream in(path, std::ios::binary);
  if (!in) return std::nullopt;
  script.text.assign(std::istreambuf_iterator<char>(in), {});
  script.name = path.substr(path.rfind('/') + 1);
  return script;
}

std::string DirectivePrefix(const QsubOptions& options) {
  if (options.directive_prefix) return *options.directive_prefix;
  const char* stated = std::getenv("PBS_DPREFIX");
  return stated != nullptr ? stated : kDefaultDirectivePrefix;
}

// Merges the options of the script's directives into `options`, then those of the command line, which take
// precedence. The error is a message for users.
tl::expected<void, std::string> MergeOptions(const std::string& script,
                                             const std::vector<std::string>& command_line,
                                             QsubOptions* options) {
  const auto directives = ReadDirectives(script, DirectivePrefix(*options));
  if (!directives) return tl::make_unexpected(Describe(directives.error()));
  const auto parsed = MergeArguments(*directives, options);
  if (!parsed) return tl::make_unexpected("directive: " + parsed.error());
  return MergeArguments(command_line, options);
}

std::optional<std::string> CurrentDirectory() {
  char path[kMaxPathBytes] = "";
  if (getcwd(path, sizeof path) == nullptr) return std::nullopt;
  return path;
}

// ---- Attributes ----

// Builds the value of Variable_List. Commas and backslashes in the values of variables are escaped.
class VariableList {
 public:
  void Add(const std::string& name, const std::string& value) {
    text_ += (text_.empty() ? "" : ",") + name + "=";
    for (const char character : value) {
      if (character == ',' || character == '\\') text_.push_back('\\');
      text_.push_back(character);
    }
  }

  // Adds "NAME=VALUE". Has no effect if NAME is empty.
  void AddAssignment(const std::string& assignment) {
    const std::size_t equals = assignment.find('=');
    if (equals != std::string::npos && equals > 0)
      Add(assignment.substr(0, equals), assignment.substr(equals + 1));
  }

  // Adds a variable of the environment. Has no effect if it is not set.
  void AddFromEnvironment(const std::string& name, const std::string& prefix = "") {
    if (const char* value = std::getenv(name.c_str()); value != nullptr) Add(prefix + name, value);
  }

  const std::string& text() const { return text_; }

 private:
  std::string text_;
};

// Adds "NAME" or "NAME=VALUE" from option -v. Unlike AddAssignment, accepts "=VALUE" with an empty name.
void AddStatedVariable(const std::string& stated, VariableList* list) {
  const std::size_t equals = stated.find('=');
  if (equals == std::string::npos) {
    list->AddFromEnvironment(stated);
  } else {
    list->Add(stated.substr(0, equals), stated.substr(equals + 1));
  }
}

std::string MakeVariableList(const QsubOptions& options, const std::string& queue) {
  VariableList list;
  for (const char* name : {"HOME", "LANG", "LOGNAME", "PATH", "MAIL", "SHELL", "TZ"}) {
    list.AddFromEnvironment(name, "PBS_O_");
  }
  if (const auto directory = CurrentDirectory()) list.Add("PBS_O_WORKDIR", *directory);
  list.Add("PBS_O_HOST", pbs_client::HostName());
  list.Add("PBS_O_QUEUE", queue);
  if (options.all_variables) {
    for (char** variable = environ; *variable != nullptr; ++variable) list.AddAssignment(*variable);
  }
  std::istringstream stated(options.variables.value_or(""));
  for (std::string item; std::getline(stated, item, ',');) AddStatedVariable(item, &list);
  return list.text();
}

// Returns HOST:PATH for an output file. If the path ends in a slash, the node appends the default file name.
std::string OutputPath(const std::optional<std::string>& stated, const std::string& directory) {
  if (!stated) return pbs_client::HostName() + ":" + directory + "/";
  const std::size_t colon = stated->find(':');
  const std::string host = colon == std::string::npos ? pbs_client::HostName() : stated->substr(0, colon);
  const std::string file = colon == std::string::npos ? *stated : stated->substr(colon + 1);
  const bool is_absolute = !file.empty() && file[0] == '/';
  return host + ":" + (is_absolute ? file : directory + "/" + file);
}

tl::unexpected<std::string> Illegal(const char* option, const char* expected) {
  return tl::make_unexpected(Describe(OptionError{option, expected, std::nullopt}));
}

using Result = tl::expected<void, std::string>;  // the error is a message for users

Result AddNameAndResources(const QsubOptions& options, const std::string& default_name,
                           pbs_protocol::Attributes* list) {
  const std::string name = options.name.value_or(default_name);
  if (name.empty() || name.size() > kMaxNameBytes || std::isspace(static_cast<unsigned char>(name[0]))) {
    return Illegal("-N", "a name of 1 to 236 bytes");
  }
  SetAttribute(list, "Job_Name", name);
  for (const std::string& resources : options.resources) {
    const auto added = AddResources(resources, list);
    if (!added) return tl::make_unexpected(Describe(added.error()));
  }
  return {};
}

Result AddExecutionAttributes(const QsubOptions& options, pbs_protocol::Attributes* list) {
  if (options.account) SetAttribute(list, "Account_Name", *options.account);
  if (options.priority) SetAttribute(list, "Priority", std::to_string(*options.priority));
  if (options.rerun) {
    if (*options.rerun != "y" && *options.rerun != "n") return Illegal("-r", "y or n");
    SetAttribute(list, "Rerunable", *options.rerun);
  }
  if (options.hold) SetAttribute(list, "Hold_Types", "u");
  if (options.date) {
    const auto seconds = ParseDateTime(*options.date);
    if (!seconds) return tl::make_unexpected(Describe(seconds.error()));
    SetAttribute(list, "Execution_Time", std::to_string(*seconds));
  }
  return {};
}

Result AddOutputs(const QsubOptions& options, pbs_protocol::Attributes* list) {
  const std::string join = options.join.value_or("n");
  if (join != "oe" && join != "eo" && join != "n") return Illegal("-j", "oe, eo or n");
  if (join != "n") SetAttribute(list, "Join_Path", join);
  const auto directory = CurrentDirectory();
  if (!directory) return tl::make_unexpected(std::string("the current directory cannot be told"));
  SetAttribute(list, "Output_Path", OutputPath(options.output_path, *directory));
  SetAttribute(list, "Error_Path", OutputPath(options.error_path, *directory));
  return {};
}

Result AddRemainingAttributes(const QsubOptions& options, const std::string& queue,
                              pbs_protocol::Attributes* list) {
  SetAttribute(list, "Variable_List", MakeVariableList(options, queue));
  const std::pair<const char*, const std::optional<std::string>&> texts[] = {
      {"Mail_Points", options.mail},
      {"Mail_Users", options.mail_users},
      {"Keep_Files", options.keep},
      {"Checkpoint", options.checkpoint},
      {"Shell_Path_List", options.shell}};
  for (const auto& [attribute, value] : texts) {
    if (value) SetAttribute(list, attribute, *value);
  }
  for (const std::string& additional : options.additional) {
    const auto added = AddAttributes(additional, list);
    if (!added) return tl::make_unexpected(Describe(added.error()));
  }
  return {};
}

Result AddAllAttributes(const QsubOptions& options, const std::string& default_name, const std::string& queue,
                        pbs_protocol::Attributes* list) {
  return AddNameAndResources(options, default_name, list)
      .and_then([&] { return AddExecutionAttributes(options, list); })
      .and_then([&] { return AddOutputs(options, list); })
      .and_then([&] { return AddRemainingAttributes(options, queue, list); });
}

// ---- Attributes that qsub itself interprets ----

// The event that the command waits for after the submission.
enum class Wait { kNothing, kAnswer, kEnd };

std::optional<Wait> ParseWait(const std::string& block) {
  if (block == "false") return Wait::kNothing;
  if (block == "answer") return Wait::kAnswer;
  if (block == "true") return Wait::kEnd;
  return std::nullopt;
}

// Removes the attributes that qsub itself interprets from the submission and applies them. Returns the event
// to wait for; the error is a message for users.
tl::expected<Wait, std::string> TakeCommandAttributes(pbs_client::Submission* submission) {
  Wait wait = Wait::kNothing;
  pbs_protocol::Attributes remaining;
  for (pbs_protocol::Attribute& attribute : submission->attributes) {
    if (attribute.name == "block") {
      const std::optional<Wait> parsed = ParseWait(attribute.value);
      if (!parsed) {
        return tl::make_unexpected(std::string("illegal -W value: block: expected true, false or answer"));
      }
      wait = *parsed;
    } else if (attribute.name == "retries") {
      const int retries = std::clamp(std::atoi(attribute.value.c_str()), 0, kMaxRetries);
      submission->max_attempts = 1 + static_cast<unsigned>(retries);
    } else if (attribute.name == "answer_within") {
      const double seconds = std::max(kMinAnswerSeconds, std::atof(attribute.value.c_str()));
      submission->answer_timeout = static_cast<Micros>(seconds * 1e6);
    } else if (attribute.name == "key") {
      submission->key = attribute.value;
    } else {
      remaining.push_back(std::move(attribute));
    }
  }
  submission->attributes = std::move(remaining);
  if (submission->max_attempts > 1 && submission->key.empty()) {
    return tl::make_unexpected(std::string("illegal -W value: retries: expected a key as well (-W key=...)"));
  }
  if (submission->max_attempts > 1) submission->client_time = kRetriedClientTime;
  return wait;
}

// ---- Waiting for the job ----

bool HasReached(const pbs_protocol::Attributes& job, Wait wait) {
  if (wait == Wait::kEnd) return pbs_protocol::ValueOf(job, "job_state") == "C";
  return !pbs_protocol::ValueOf(job, "answer").empty();
}

// Waits until the job has its final answer or is complete, depending on `wait`. Returns the job's attributes;
// the error is a message for users.
tl::expected<pbs_protocol::Attributes, std::string> WaitFor(const pbs_client::SubmittedJob& job, Wait wait) {
  pbs_protocol::Request request = MakeRequest(pbs_protocol::RequestType::kStatusJob, job.id);
  request.extension = std::string(wait == Wait::kEnd ? "wait=end" : "wait=answer") + kStatusWait;
  for (;;) {
    pbs_client::BatchConnection connection;
    const auto reply = connection.Connect(job.server, kConnectTimeout).and_then([&] {
      return connection.Call(request, kStatusTimeout);
    });
    if (!reply) {
      return tl::make_unexpected("waiting for " + job.id + ": " + pbs_client::Describe(reply.error()));
    }
    if (reply->code != pbs_protocol::Code::kNone || reply->objects.empty()) {
      return tl::make_unexpected(DescribeRejection(*reply) + " " + job.id);
    }
    if (HasReached(reply->objects[0].attributes, wait)) return reply->objects[0].attributes;
  }
}

// Waits as WaitFor does. Returns the job's attributes if its final answer reports success. The error, also
// for any other final answer, is a message for users.
tl::expected<pbs_protocol::Attributes, std::string> WaitForSuccess(const pbs_client::SubmittedJob& job,
                                                                   Wait wait) {
  auto attributes = WaitFor(job, wait);
  if (!attributes) return attributes;
  const std::string answer(pbs_protocol::ValueOf(*attributes, "answer"));
  if (answer == "placed") return attributes;
  return tl::make_unexpected("job " + job.id + " " + answer + ": " +
                             std::string(pbs_protocol::ValueOf(*attributes, "comment")));
}

// Waits for the job and returns the exit status. If the command waits for the job's completion, it is that of
// the job.
int WaitForJob(const pbs_client::SubmittedJob& job, Wait wait) {
  const auto answered = WaitForSuccess(job, Wait::kAnswer);
  if (!answered) return Fail(answered.error());
  if (wait == Wait::kAnswer) return 0;
  const auto ended = WaitForSuccess(job, Wait::kEnd);
  if (!ended) return Fail(ended.error());
  const std::string status(pbs_protocol::ValueOf(*ended, "exit_status"));
  return status.empty() ? kFailure : std::atoi(status.c_str()) & 255;
}

// ---- The command ----

int SubmitScript(const QsubOptions& options, Script script) {
  const Destination destination = ParseDestination(options.destination.value_or(""));
  pbs_client::Submission submission;
  submission.user = RequestUser();
  submission.destination = destination.queue;
  const Result added = AddAllAttributes(options, script.name, destination.queue, &submission.attributes);
  if (!added) return Fail(added.error());
  const auto wait = TakeCommandAttributes(&submission);
  if (!wait) return Fail(wait.error());
  submission.script = std::move(script.text);

  std::vector<std::string> servers = DefaultServers();
  if (!destination.address.empty()) servers = {destination.address};
  const auto job = pbs_client::Submit(servers, submission);
  if (!job) return Fail(pbs_client::Describe(job.error()));
  if (!options.quiet) {
    std::printf("%s\n", job->id.c_str());
    std::fflush(stdout);
  }
  return *wait == Wait::kNothing ? 0 : WaitForJob(*job, *wait);
}

}  // namespace

int Qsub(int argc, char** argv) {
  QsubOptions command_line;
  CLI::App app{"qsub: submits a script as a batch job"};
  app.set_help_flag("--help", "this text");
  BindOptions(&app, &command_line);
  CLI11_PARSE(app, argc, argv);
  std::optional<Script> script = ReadScript(command_line.operands);
  if (!script) return Fail("cannot open script file: " + command_line.operands[0]);

  QsubOptions options;
  options.directive_prefix = command_line.directive_prefix;
  const auto merged = MergeOptions(script->text, std::vector<std::string>(argv + 1, argv + argc), &options);
  if (!merged) return Fail(merged.error());
  if (options.interactive) return Fail("-I: interactive jobs are not served; submit a script");
  return SubmitScript(options, std::move(*script));
}

}  // namespace mountflow::cli
