// Requests from the commands to servers, and messages about failed requests.
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

// Exit statuses other than 0.
inline constexpr int kFailure = 1;
inline constexpr int kUsageError = 2;

// Returns the user in whose name requests are sent, as USER@HOST.
[[nodiscard]] std::string RequestUser();
// Returns a request of that user.
[[nodiscard]] pbs_protocol::Request MakeRequest(pbs_protocol::RequestType type, std::string id = "");

// Connects to a server, sends a request, waits for the reply and closes the connection. Connecting and the
// exchange have a timeout each.
[[nodiscard]] tl::expected<pbs_protocol::Reply, pbs_client::ConnectionError> CallServer(
    const std::string& address, const pbs_protocol::Request& request);

// Returns a message for a reply that rejects a request: the meaning of its code, followed by its text.
[[nodiscard]] std::string DescribeRejection(const pbs_protocol::Reply& reply);

// Writes "COMMAND: TEXT" to standard error. Returns kFailure.
int PrintError(const std::string& command, const std::string& text);
// Writes the message about a server that did not reply. Returns kFailure.
int PrintConnectionError(const std::string& command, const pbs_client::ConnectionError& error);

// Sends the request that `make` returns for each job identifier to the server of that job. Writes a message
// about each failure to standard error. Returns the exit status: 0 if all requests succeeded, else kFailure.
[[nodiscard]] int CallForEachJob(const std::string& command, const std::vector<std::string>& job_identifiers,
                                 const std::function<pbs_protocol::Request(const JobReference&)>& make);

}  // namespace mountflow::cli

#endif  // MOUNTFLOW_CLI_REQUESTS_HPP_
