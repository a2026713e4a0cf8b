// Requests of the commands to servers, and the messages about their failures.
#ifndef MOUNTFLOW_CLI_REQUESTS_HPP_
#define MOUNTFLOW_CLI_REQUESTS_HPP_

#include <functional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "cli/server_address.hpp"
#include "pbs_client/connection.hpp"
#include "pbs_protocol/protocol.hpp"

namespace mountflow::cli {

// Exit statuses beside 0.
inline constexpr int kFailure = 1;
inline constexpr int kUsageError = 2;

// The user that requests are made for: USER@HOST.
[[nodiscard]] std::string RequestUser();
[[nodiscard]] pbs_protocol::Request MakeRequest(pbs_protocol::RequestType type, std::string id = "");

// Connects, calls a server once, with a time-out, and closes the connection.
[[nodiscard]] tl::expected<pbs_protocol::Reply, pbs_client::ConnectionError> CallServer(
    const std::string& address, const pbs_protocol::Request& request);

// What a reply that rejects a request says: the meaning of its code and its text.
[[nodiscard]] std::string DescribeRejection(const pbs_protocol::Reply& reply);

// Writes "COMMAND: TEXT" to standard error. Returns kFailure.
int PrintError(const std::string& command, const std::string& text);
// The same for a server that did not reply.
int PrintConnectionError(const std::string& command, const pbs_client::ConnectionError& error);

// Calls the server of each job identifier with the request that `make` makes; failures go to standard error.
// Returns the exit status: 0 when all succeeded, else kFailure.
[[nodiscard]] int CallForEachJob(const std::string& command, const std::vector<std::string>& job_identifiers,
                                 const std::function<pbs_protocol::Request(const JobReference&)>& make);

}  // namespace mountflow::cli

#endif  // MOUNTFLOW_CLI_REQUESTS_HPP_
