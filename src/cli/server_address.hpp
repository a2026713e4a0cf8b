// Addresses of servers, and parsing of destinations and job identifiers.
#ifndef MOUNTFLOW_CLI_SERVER_ADDRESS_HPP_
#define MOUNTFLOW_CLI_SERVER_ADDRESS_HPP_

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace mountflow::cli {

// Splits `text` at each separator. Returns at least one part; parts may be empty.
[[nodiscard]] std::vector<std::string> Split(const std::string& text, char separator);

// Returns the addresses of the servers in the environment variable PBS_DEFAULT, a comma-separated list of
// names or "ip:port". If there are none, returns one address: this host with the default port.
[[nodiscard]] std::vector<std::string> DefaultServers();

// Returns the address of SERVER in an identifier or destination "...@SERVER". SERVER may be an address with a
// port, a name that the environment variable PBS_SERVERS="name=ip:port,..." defines, or else a host, which
// gets the default port.
[[nodiscard]] std::string ServerAddress(const std::string& server);

// A destination: QUEUE, @SERVER or QUEUE@SERVER.
struct Destination {
  std::string queue;    // may be empty
  std::string address;  // address of the server; empty if the destination names none
};
[[nodiscard]] Destination ParseDestination(const std::string& text);

// A job identifier: sequence_number[.server_name][@server].
struct JobReference {
  std::string id;       // the identifier without "@server", as sent in requests
  std::string address;  // address of the server to which requests are sent
};
struct BadJobIdentifier {
  std::string text;
};
// Returns a message for users.
[[nodiscard]] std::string Describe(const BadJobIdentifier& error);
[[nodiscard]] tl::expected<JobReference, BadJobIdentifier> ParseJobReference(const std::string& text);

}  // namespace mountflow::cli

#endif  // MOUNTFLOW_CLI_SERVER_ADDRESS_HPP_
