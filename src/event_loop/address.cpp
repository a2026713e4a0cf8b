#include "event_loop/address.hpp"

#include <arpa/inet.h>

#include <charconv>
#include <cstdint>
#include <system_error>

namespace mountflow::event_loop {
namespace {

constexpr int kMaxPort = 65535;

}  // namespace

std::optional<HostAndPort> SplitAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  const char* first = address.data() + colon + 1;
  const char* last = address.data() + address.size();
  HostAndPort result;
  const auto parsed = std::from_chars(first, last, result.port);
  if (parsed.ec != std::errc() || parsed.ptr != last) return std::nullopt;
  if (result.port < 0 || result.port > kMaxPort) return std::nullopt;
  result.host = address.substr(0, colon);
  return result;
}

std::optional<sockaddr_in> ParseSocketAddress(const std::string& address) {
  const std::optional<HostAndPort> parts = SplitAddress(address);
  if (!parts) return std::nullopt;
  const std::string numeric_host = parts->host == "localhost" ? "127.0.0.1" : parts->host;
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(parts->port));
  if (inet_pton(AF_INET, numeric_host.c_str(), &result.sin_addr) != 1) return std::nullopt;
  return result;
}

std::string FormatSocketAddress(const sockaddr_in& address) {
  char host[INET_ADDRSTRLEN] = "";
  inet_ntop(AF_INET, &address.sin_addr, host, sizeof host);
  return std::string(host) + ":" + std::to_string(ntohs(address.sin_port));
}

}  // namespace mountflow::event_loop
