#include "cli/server_address.hpp"

#include <cstdlib>

namespace mountflow::cli {
namespace {

constexpr char kDefaultServer[] = "127.0.0.1:15001";
constexpr char kDefaultPortSuffix[] = ":15001";

}  // namespace

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::size_t from = 0;
  for (;;) {
    const std::size_t end = text.find(separator, from);
    parts.push_back(text.substr(from, end - from));
    if (end == std::string::npos) return parts;
    from = end + 1;
  }
}

std::vector<std::string> DefaultServers() {
  const char* stated = std::getenv("PBS_DEFAULT");
  std::vector<std::string> servers;
  for (const std::string& server : Split(stated != nullptr ? stated : "", ',')) {
    if (!server.empty()) servers.push_back(ServerAddress(server));
  }
  if (servers.empty()) servers.emplace_back(kDefaultServer);
  return servers;
}

std::string ServerAddress(const std::string& server) {
  if (server.find(':') != std::string::npos) return server;
  const char* known = std::getenv("PBS_SERVERS");
  for (const std::string& entry : Split(known != nullptr ? known : "", ',')) {
    const std::size_t equals = entry.find('=');
    if (equals != std::string::npos && entry.substr(0, equals) == server) return entry.substr(equals + 1);
  }
  return server + kDefaultPortSuffix;
}

Destination ParseDestination(const std::string& text) {
  const std::size_t separator = text.find('@');
  Destination destination;
  destination.queue = text.substr(0, separator);
  if (separator != std::string::npos) destination.address = ServerAddress(text.substr(separator + 1));
  return destination;
}

std::string Describe(const BadJobIdentifier& error) {
  return "illegally formed job identifier: " + error.text;
}

tl::expected<JobReference, BadJobIdentifier> ParseJobReference(const std::string& text) {
  const std::size_t separator = text.find('@');
  JobReference reference;
  reference.id = text.substr(0, separator);
  const std::size_t dot = reference.id.find('.');
  const std::string digits = reference.id.substr(0, dot);
  if (digits.empty() || digits.find_first_not_of("0123456789") != std::string::npos) {
    return tl::make_unexpected(BadJobIdentifier{text});
  }
  if (separator != std::string::npos) {
    reference.address = ServerAddress(text.substr(separator + 1));
    return reference;
  }
  // Uses the server named in the identifier if its address is known, else the default server.
  reference.address = DefaultServers().front();
  const std::string server = dot == std::string::npos ? "" : reference.id.substr(dot + 1);
  if (!server.empty()) {
    const std::string address = ServerAddress(server);
    if (address != server + kDefaultPortSuffix) reference.address = address;
  }
  return reference;
}

}  // namespace mountflow::cli
