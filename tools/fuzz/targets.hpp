// The fuzz targets. Each accepts arbitrary bytes and must not crash. It aborts the process if one of its
// checks fails.
#ifndef MOUNTFLOW_TOOLS_FUZZ_TARGETS_HPP_
#define MOUNTFLOW_TOOLS_FUZZ_TARGETS_HPP_

#include <ostream>
#include <string_view>

namespace mountflow::fuzz {

// Decodes requests and replies of the batch protocol. A decoded message must survive encoding and decoding.
void PbsProtocol(std::string_view bytes);
// Feeds a connection to the PBS server in pieces whose size is given by the first byte. Each accepted job
// that is neither held nor due at a later time must get its final answer.
void PbsServer(std::string_view bytes);
// Parses HTTP requests and replies, whole and byte by byte.
void Http(std::string_view bytes);
// Reads the directives of a job script. The first line of the input is the directive prefix.
void Directives(std::string_view bytes);
// Parses the configuration of a daemon.
void Config(std::string_view bytes);
// Decodes a node's registry entry and a list of key-value pairs.
void Entry(std::string_view bytes);
// Reads the JSON lines between the platform and its clients, whole and in pieces. A decoded message must
// survive encoding and decoding.
void ClientMessages(std::string_view bytes);
// Reads the binary messages between the platform and its nodes, with the same checks.
void NodeMessages(std::string_view bytes);

// A fuzz target. `name` is the folder of its seeds in tools/fuzz/corpus and the name of its test; it stays
// the same if the function is renamed.
struct Target {
  const char* name;
  void (*run)(std::string_view bytes);
};

inline std::ostream& operator<<(std::ostream& out, const Target& target) { return out << target.name; }

inline constexpr Target kTargets[] = {{"dis", PbsProtocol},       {"front", PbsServer},     {"http", Http},
                                      {"directives", Directives}, {"config", Config},       {"entry", Entry},
                                      {"owner", ClientMessages},  {"machine", NodeMessages}};

}  // namespace mountflow::fuzz

#endif  // MOUNTFLOW_TOOLS_FUZZ_TARGETS_HPP_
