// Where servers are, and which server a job identifier leads to.
#ifndef MOUNTFLOW_CLI_SERVER_ADDRESS_HPP_
#define MOUNTFLOW_CLI_SERVER_ADDRESS_HPP_

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace mountflow::cli {

// The parts of `text` between the separators; at least one, which may be empty.
[[nodiscard]] std::vector<std::string> Split(const std::string& text, char separator);

// The servers that the environment variable PBS_DEFAULT names, "ip:port" or names, with commas; else the
// default port on this host. At least one.
[[nodiscard]] std::vector<std::string> DefaultServers();

// The address for "@SERVER" of an identifier or destination: an address, or a name that the environment
// variable PBS_SERVERS="name=ip:port,..." tells.
[[nodiscard]] std::string ServerAddress(const std::string& server);

// QUEUE, @SERVER or QUEUE@SERVER.
struct Destination {
  std::string queue;    // may be empty
  std::string address;  // empty: no server is named
};
[[nodiscard]] Destination ParseDestination(const std::string& text);

// A job identifier: sequence_number[.server_name][@server].
struct JobReference {
  std::string id;       // as it is sent
  std::string address;  // of the server
};
struct BadJobIdentifier {
  std::string text;
};
[[nodiscard]] std::string Describe(const BadJobIdentifier& error);
[[nodiscard]] tl::expected<JobReference, BadJobIdentifier> ParseJobReference(const std::string& text);

}  // namespace mountflow::cli

#endif  // MOUNTFLOW_CLI_SERVER_ADDRESS_HPP_
