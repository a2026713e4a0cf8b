// qstat: shows the status of jobs, queues and servers.
#include <CLI/CLI.hpp>
#include <string>
#include <vector>

#include "cli/commands.hpp"
#include "cli/requests.hpp"
#include "cli/status_output.hpp"

namespace mountflow::cli {
namespace {

constexpr char kCommand[] = "qstat";

struct QstatOptions {
  bool full = false;
  bool queues = false;
  bool servers = false;
  bool history = false;
  std::vector<std::string> operands;
};

// The request for one operand, and the address of the server to which it is sent.
struct Query {
  pbs_protocol::Request request;
  std::string address;
};

bool IsJobIdentifier(const std::string& operand) {
  return !operand.empty() && operand[0] >= '0' && operand[0] <= '9';
}

tl::expected<Query, BadJobIdentifier> MakeQuery(const std::string& operand, const QstatOptions& options) {
  Query query{MakeRequest(pbs_protocol::RequestType::kStatusJob), DefaultServers().front()};
  if (options.servers) {
    query.request.type = pbs_protocol::RequestType::kStatusServer;
    if (!operand.empty()) query.address = ServerAddress(operand);
    return query;
  }
  if (!options.queues && IsJobIdentifier(operand)) {
    const auto reference = ParseJobReference(operand);
    if (!reference) return tl::make_unexpected(reference.error());
    query.request.id = reference->id;
    query.address = reference->address;
    return query;
  }
  const Destination destination = ParseDestination(operand);
  query.request.id = destination.queue;
  if (!destination.address.empty()) query.address = destination.address;
  if (options.queues) {
    query.request.type = pbs_protocol::RequestType::kStatusQueue;
  } else if (options.history) {
    query.request.extension = "x";
  }
  return query;
}

void PrintObjects(const std::vector<pbs_protocol::StatusObject>& objects, const QstatOptions& options,
                  bool* has_heading) {
  if (options.full) {
    for (const pbs_protocol::StatusObject& object : objects) PrintInFull(object);
  } else if (options.queues) {
    PrintQueues(objects);
  } else if (options.servers) {
    PrintServers(objects);
  } else if (!objects.empty()) {
    if (!*has_heading) PrintJobHeading();
    *has_heading = true;
    PrintJobs(objects);
  }
}

// Prints the status of one operand. Returns the exit status.
int ShowStatus(const std::string& operand, const QstatOptions& options, bool* has_heading) {
  const auto query = MakeQuery(operand, options);
  if (!query) return PrintError(kCommand, Describe(query.error()));
  const auto reply = CallServer(query->address, query->request);
  if (!reply) return PrintConnectionError(kCommand, reply.error());
  if (reply->code != pbs_protocol::Code::kNone) {
    return PrintError(kCommand, DescribeRejection(*reply) + " " + operand);
  }
  PrintObjects(reply->objects, options, has_heading);
  return 0;
}

}  // namespace

int Qstat(int argc, char** argv) {
  CLI::App app{"qstat: shows the status of batch jobs, queues and servers"};
  app.set_help_flag("--help", "this text");
  QstatOptions options;
  app.add_flag("-f", options.full, "in full");
  app.add_flag("-Q", options.queues, "queues");
  app.add_flag("-B", options.servers, "servers");
  app.add_flag("-x", options.history, "complete jobs too");
  app.add_option("operand", options.operands, "job identifiers, destinations or servers");
  CLI11_PARSE(app, argc, argv);
  if (options.queues && options.servers) {
    PrintError(kCommand, "-Q and -B exclude each other");
    return kUsageError;
  }
  if (options.operands.empty()) options.operands.emplace_back();
  int status = 0;
  bool has_heading = false;  // whether the heading of the table of jobs has been printed
  for (const std::string& operand : options.operands) {
    if (ShowStatus(operand, options, &has_heading) != 0) status = kFailure;
  }
  return status;
}

}  // namespace mountflow::cli
