// Commands that send one request for each job: qdel, qhold, qrls, qsig, qrerun, qmove.
#include <CLI/CLI.hpp>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "cli/commands.hpp"
#include "cli/option_values.hpp"
#include "cli/requests.hpp"

namespace mountflow::cli {
namespace {

using pbs_protocol::Request;
using pbs_protocol::RequestType;

// Command numbers in Manage requests.
constexpr int kDeleteCommand = 1;
constexpr int kSetCommand = 2;

// An option with a value.
struct ValueOption {
  const char* flag;
  const char* help;
  std::string value;  // the default value until the option is parsed
};

// Runs a command that has at most one option. `option` may be null. `make` returns the request for one job;
// its second argument is the value of the option. Returns the exit status.
int RunJobCommand(int argc, char** argv, const std::string& name, const std::string& purpose,
                  ValueOption* option,
                  const std::function<Request(const JobReference&, const std::string&)>& make) {
  CLI::App app{name + ": " + purpose};
  app.set_help_flag("--help", "this text");
  if (option != nullptr) {
    app.add_option(option->flag, option->value, option->help)
        ->multi_option_policy(CLI::MultiOptionPolicy::TakeLast);
  }
  std::vector<std::string> jobs;
  app.add_option("job", jobs, "job identifiers")->required();
  CLI11_PARSE(app, argc, argv);
  const std::string value = option != nullptr ? option->value : "";
  return CallForEachJob(name, jobs, [&](const JobReference& reference) { return make(reference, value); });
}

// Runs qhold or qrls.
int RunHoldCommand(int argc, char** argv, const std::string& name, const std::string& purpose,
                   RequestType type) {
  ValueOption types{"-h", "hold types, letters of u, o, s", "u"};
  return RunJobCommand(argc, argv, name, purpose, &types,
                       [type](const JobReference& reference, const std::string& hold_types) {
                         Request request = MakeRequest(type, reference.id);
                         request.command = kSetCommand;
                         SetAttribute(&request.attributes, "Hold_Types", hold_types);
                         return request;
                       });
}

}  // namespace

int Qdel(int argc, char** argv) {
  return RunJobCommand(argc, argv, "qdel", "deletes batch jobs", nullptr,
                       [](const JobReference& reference, const std::string&) {
                         Request request = MakeRequest(RequestType::kDeleteJob, reference.id);
                         request.command = kDeleteCommand;
                         return request;
                       });
}

int Qhold(int argc, char** argv) {
  return RunHoldCommand(argc, argv, "qhold", "holds batch jobs", RequestType::kHoldJob);
}

int Qrls(int argc, char** argv) {
  return RunHoldCommand(argc, argv, "qrls", "releases holds on batch jobs", RequestType::kReleaseJob);
}

int Qsig(int argc, char** argv) {
  ValueOption signal_option{"-s", "signal, by name or number", "SIGTERM"};
  return RunJobCommand(argc, argv, "qsig", "signals batch jobs", &signal_option,
                       [](const JobReference& reference, const std::string& signal) {
                         Request request = MakeRequest(RequestType::kSignalJob, reference.id);
                         request.signal = signal;
                         return request;
                       });
}

int Qrerun(int argc, char** argv) {
  return RunJobCommand(argc, argv, "qrerun", "reruns batch jobs", nullptr,
                       [](const JobReference& reference, const std::string&) {
                         return MakeRequest(RequestType::kRerunJob, reference.id);
                       });
}

int Qmove(int argc, char** argv) {
  CLI::App app{"qmove: moves batch jobs to another queue of their server"};
  app.set_help_flag("--help", "this text");
  std::string destination;
  std::vector<std::string> jobs;
  app.add_option("destination", destination, "queue")->required();
  app.add_option("job", jobs, "job identifiers")->required();
  CLI11_PARSE(app, argc, argv);
  return CallForEachJob("qmove", jobs, [&](const JobReference& reference) {
    Request request = MakeRequest(RequestType::kMoveJob, reference.id);
    request.destination = destination;
    return request;
  });
}

}  // namespace mountflow::cli
