#include "cli/requests.hpp"

#include <cstdio>
#include <utility>

#include "pbs_client/host.hpp"

namespace mountflow::cli {
namespace {

constexpr Micros kTimeout = 10'000'000;  // for connecting, and again for the request and its reply

// Sends the request for one job. Returns the exit status.
int CallForJob(const std::string& command, const std::string& job_identifier,
               const std::function<pbs_protocol::Request(const JobReference&)>& make) {
  const auto reference = ParseJobReference(job_identifier);
  if (!reference) return PrintError(command, Describe(reference.error()));
  const auto reply = CallServer(reference->address, make(*reference));
  if (!reply) return PrintConnectionError(command, reply.error());
  if (reply->code == pbs_protocol::Code::kNone) return 0;
  return PrintError(command, DescribeRejection(*reply) + " " + job_identifier);
}

}  // namespace

std::string RequestUser() { return pbs_client::UserName() + "@" + pbs_client::HostName(); }

pbs_protocol::Request MakeRequest(pbs_protocol::RequestType type, std::string id) {
  pbs_protocol::Request request;
  request.type = type;
  request.user = RequestUser();
  request.id = std::move(id);
  return request;
}

tl::expected<pbs_protocol::Reply, pbs_client::ConnectionError> CallServer(
    const std::string& address, const pbs_protocol::Request& request) {
  pbs_client::BatchConnection connection;
  return connection.Connect(address, kTimeout).and_then([&] { return connection.Call(request, kTimeout); });
}

std::string DescribeRejection(const pbs_protocol::Reply& reply) {
  std::string text = pbs_protocol::Describe(reply.code);
  if (reply.choice != pbs_protocol::Choice::kText || reply.text.empty()) return text;
  return text.empty() ? reply.text : text + ": " + reply.text;
}

int PrintError(const std::string& command, const std::string& text) {
  std::fprintf(stderr, "%s: %s\n", command.c_str(), text.c_str());
  return kFailure;
}

int PrintConnectionError(const std::string& command, const pbs_client::ConnectionError& error) {
  return PrintError(command, "cannot connect to server: " + pbs_client::Describe(error));
}

int CallForEachJob(const std::string& command, const std::vector<std::string>& job_identifiers,
                   const std::function<pbs_protocol::Request(const JobReference&)>& make) {
  int status = 0;
  for (const std::string& job_identifier : job_identifiers) {
    if (CallForJob(command, job_identifier, make) != 0) status = kFailure;
  }
  return status;
}

}  // namespace mountflow::cli
